//! Spreads the configuration and the list of upstreams among VMs, so that a few of each failure
//! domain read them from the platform's store and all others learn of changes from their peers.
//!
//! A [`Ledger`] keeps values with the version of their last change and tells what changed since a
//! version. No I/O.

/// Failure domains whose upstreams are to get nothing more.
pub mod evacuations;
/// When a VM reads the store, watches it, or leaves it to another.
pub mod follow;
/// A send that one VM asks another to make.
pub mod hop;
/// Values with versions, and what changed since one.
mod ledger;
/// What VMs ask one another.
pub mod message;
/// Whether a VM that starts reads the store, and whom it asks before.
pub mod start;
/// The list of upstreams, and the fleet that is kept by it.
pub mod upstreams;
/// The configuration and the list of upstreams as this VM has them.
mod world;

pub use evacuations::Evacuations;
pub use follow::Follow;
pub use ledger::{Applied, Delta, Ledger};
pub use message::Message;
pub use start::Start;
pub use upstreams::Upstreams;
pub use world::World;
