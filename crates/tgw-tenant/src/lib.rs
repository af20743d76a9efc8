//! Tenants: who a request is made for, and how many requests each of them may make.
//!
//! A [`Directory`] finds the [`Tenant`] of an API key; the [`Principal`] of a request names both. The rate
//! limit of a tenant holds over all VMs together: [`limit`] decides which VM admits a request. No I/O.

/// Tenants by API key.
mod directory;
/// API keys, kept as hashes.
mod key;
/// Rate limits of tenants, enforced by all VMs together.
pub mod limit;
/// Who a request is made for.
mod principal;
/// One tenant.
mod tenant;

pub use directory::Directory;
pub use key::ApiKey;
pub use principal::Principal;
pub use tenant::{Allowance, Tenant};
