//! A cold upstream that all VMs want to send to: how many requests it gets in any second, under a virtual clock, with the
//! decisions and the membership of real VMs.

/// What is played, and what came of it.
mod setup;
/// One VM.
mod vm;
/// The VMs, the upstream and the ways between them.
mod world;

pub use setup::{Outcome, Setup, Trouble, What, setups, text};
pub use world::play;
