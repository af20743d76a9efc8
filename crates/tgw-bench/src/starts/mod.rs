//! Simultaneous starts of many VMs under a virtual clock: which VMs read the platform's store,
//! which copy the state from a peer, and how long that takes.

/// The figures of a start.
mod outcome;
/// Setups of starts.
mod setup;
/// The simulation of VMs, store and network.
mod simulation;

pub use outcome::{Outcome, text};
pub use setup::{Setup, setups};
pub use simulation::play;
