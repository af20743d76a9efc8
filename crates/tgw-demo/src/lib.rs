//! The demo: a stand-in platform, stand-in upstreams and several VMs on loopback in one process,
//! at the size of a user's installation, with queries, injected faults, and a checker that compares every
//! answer with the contents of the stand-ins and the orders they ran.

/// Checks of answers and orders.
pub mod check;
/// HTTP client of callers and operators.
mod client;
/// Faults injected while queries run.
pub mod fault;
/// Stand-ins and VMs of a demo.
mod fleet;
/// Simulated delays and partitions between the VMs.
mod links;
/// Load generator and its result.
mod load;
/// Result of a demo.
pub mod report;
/// Runs a demo.
mod run;

pub use client::Client;
pub use fleet::{ADMIN_TOKEN, Fleet, Size};
pub use report::Report;
pub use run::{Options, Ready, hold, run};
