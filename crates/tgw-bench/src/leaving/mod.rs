//! Upstreams that leave: how long after the store's acknowledgement the last VM may still send to them, under a
//! virtual clock, with the decisions of a real VM and beside faults of the store, of VMs and of the ways between.

/// What came of a run.
mod outcome;
/// What is played.
mod setup;
/// The platform's store.
mod store;
/// One VM.
mod vm;
/// The VMs, the store and the ways between them.
mod world;

pub use outcome::{Outcome, text};
pub use setup::{Setup, Trouble, What, Whom, setups, turned_away};
pub use world::play;
