//! The topology that the tier serves: services, shards, replicas, upstreams, VMs, and their regions
//! and failure domains. Data types only, without decision logic.

/// Serialization of bytes as text in human-readable formats.
pub mod bytes_as_text;
/// Services, layouts and upstreams as the platform's objects describe them.
pub mod catalog;
/// Identities used in frames and logs.
mod id;
/// Regions and failure domains.
pub mod place;
/// The regions in which requests may be served.
mod residency;

pub use catalog::Catalog;
pub use id::{Group, Layout, Order, Query, Service, Shard, Snapshot, Upstream, Vm};
pub use place::Place;
pub use residency::Residency;
