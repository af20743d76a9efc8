//! One VM's process: the duty threads round the decision core, joined by bounded rings.
//!
//! Duties: callers (HTTP), queries (the core), upstreams, peers, configuration, operators.

/// The callers' duty: HTTP in, answers out.
mod callers;
/// The configuration duty: table, catalog and VM list from the platform and from peers.
mod config;
/// The decision log and what `explain` reads.
mod log;
/// Counters and the metrics made of them.
mod metrics;
/// The operators' duty.
mod operators;
/// The queries' duty: the thread that runs the core.
mod queries;
/// Starts and stops all duties.
mod serve;
/// What operators are told of one VM.
pub mod status;
/// The upstreams' duty: connections, searches, load probes.
mod upstreams;
/// What the duties send one another.
mod work;

pub use serve::{Handle, MakeTap, Options, spawn};
pub use status::Status;
