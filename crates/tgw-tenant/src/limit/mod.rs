//! Rate limits of tenants, enforced by all VMs together.
//!
//! The limit binds the sum over all VMs in any span of [`Terms::window`](crate::limit::Terms::window). Each region holds a part of it as a
//! token bucket at one VM, the holder, which rendezvous hashing selects for each tenant; a VM asks the holder
//! of its region before it sends a request. Regions lend one another tokens, so that callers who all use one
//! region get the whole limit. Tokens are never created by a message: a lost packet loses tokens, and a
//! region without contact to the others keeps its own part.
//!
//! A VM that becomes the holder does not know what its predecessor admitted. It starts with the tokens of a
//! backup and refills as a holder only once others have seen the change. Backups are also asked while a
//! holder does not answer. Where a part of a region's VMs does not answer, the holder refills in
//! proportion to those that do, so that the parts of a region that is cut in two sum up to one. A VM that knows
//! no other one and cannot tell whether there are any admits a few requests in place of a part. What all this
//! admits beyond the operators' limit stays within the headroom that they grant ([`Terms`](crate::limit::Terms)).

/// What a region admits for one tenant.
mod account;
/// Token buckets.
mod bucket;
/// The accounts that one VM keeps.
mod holder;
/// Messages between VMs.
pub mod message;
/// Which VMs admit the requests of a tenant.
pub mod ranking;
/// Rates and sizes of the buckets.
mod share;

pub use account::BORROW_TIMEOUT_MS;
pub use holder::{Action, Asker, Case, Holder};
pub use message::{Decision, Message};
pub use ranking::{Knowledge, Ranking, Standing};
pub use share::Terms;
