//! Rate limits of tenants: how many requests all VMs together admit in any window, and how many of those
//! within the limit, with the admission and membership code of real VMs under a virtual clock.

/// What a run measured.
mod outcome;
/// Setups of runs.
mod setup;
/// The simulation of VMs, callers and network.
mod simulation;
/// State of one VM.
mod vm;

pub use outcome::{Outcome, text};
pub use setup::{EAGER_FACTOR, Setup, Way, setups};
pub use simulation::play;
