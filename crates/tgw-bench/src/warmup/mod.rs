//! A cold upstream that all VMs want to send to: how many requests reach it in any second, with the
//! decision and membership code of real VMs under a virtual clock.

/// Setups and outcomes of runs.
mod setup;
/// The simulation of VMs, upstream and network.
mod simulation;
/// State of one VM.
mod vm;

pub use setup::{Outcome, Setup, setups, text};
pub use simulation::play;
