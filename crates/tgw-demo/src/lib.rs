//! The demo: a stand-in platform, stand-in upstreams and several VMs on loopback in one process,
//! at a user's size, with queries, faults, and a checker that compares every answer with what the
//! stand-ins hold and ran.

/// Compares answers with what the stand-ins hold and ran.
pub mod check;
/// Calls as a caller makes them.
mod client;
/// Faults that are brought about while queries run.
pub mod fault;
/// The stand-ins and VMs of one demo.
mod fleet;
/// The load and its result.
mod load;
/// What the demo prints.
pub mod report;
/// Runs one demo.
mod run;
/// Delays and cuts between the VMs.
mod way;

pub use client::Client;
pub use fleet::{Fleet, Size, TOKEN};
pub use report::Report;
pub use run::{Options, Ready, hold, run};
