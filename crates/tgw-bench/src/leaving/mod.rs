//! Upstreams that leave and failure domains that are evacuated: how long after the store's
//! acknowledgement the last VM may still send to them.
//!
//! The decision code of real VMs runs under a virtual clock, with faults of the store, the VMs and
//! the network.

/// Store calls and decisions of a VM.
mod actions;
/// The figures of a run.
mod outcome;
/// Messages between VMs.
mod peers;
/// The store's replies and the faults.
mod platform;
/// Setups of runs.
mod setup;
/// The simulation of VMs, store and network.
mod simulation;
/// Contents of the store.
mod store;
/// A VM's view of the upstreams or evacuations.
mod view;
/// State of one VM.
mod vm;

pub use outcome::{Outcome, text};
pub use setup::{
    Fault, FaultKind, Setup, Subject, Target, setups, with_followers_cut_in_turn,
    with_refused_watchers, with_two_followers_cut,
};
pub use simulation::play;
