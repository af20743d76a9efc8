//! Upstreams that leave, and failure domains that are evacuated: how long after the store's acknowledgement the last VM may still send to them, under a
//! virtual clock, with the decisions of a real VM and beside faults of the store, of VMs and of the ways between.

/// What a VM does.
mod acting;
/// What a VM knows.
mod known;
/// What came of a run.
mod outcome;
/// What VMs say to one another.
mod peers;
/// What happens at the store, and to whom.
mod platform;
/// What is played.
mod setup;
/// What the store holds.
mod store;
/// One VM.
mod vm;
/// The VMs, the store and the ways between them.
mod world;

pub use outcome::{Outcome, text};
pub use setup::{Setup, Subject, Trouble, What, Whom, setups, turned_away};
pub use world::play;
