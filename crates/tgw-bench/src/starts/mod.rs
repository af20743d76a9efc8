//! Starts of many VMs: who reads the platform's store, who is told by whom, and how long that takes, under a
//! virtual clock.

/// What came of a start.
mod outcome;
/// What is played.
mod setup;
/// The VMs, the store and the ways between them.
mod world;

pub use outcome::{Outcome, text};
pub use setup::{Setup, setups};
pub use world::play;
