//! One VM's process: the worker threads around the decision core, connected by bounded ring buffers.
//!
//! Workers: callers (HTTP), queries (the core), upstreams, peers, configuration, operators.

/// The HTTP server for callers.
mod callers;
/// The configuration worker: reads table, catalog and VM list from the platform and from peers.
mod config;
/// The decision log, which also serves `explain`.
mod log;
/// Messages between the workers.
mod messages;
/// Counters and the metrics exported from them.
mod metrics;
/// The HTTP server for operators.
mod operators;
/// What the peers worker reports to the other workers.
mod peer_reports;
/// The queries worker: the thread that runs the core.
mod queries;
/// Starts and stops all workers.
mod serve;
/// The status that a VM reports to operators.
pub mod status;
/// The upstreams worker: connections, searches, orders and load probes.
mod upstreams;

pub use serve::{Handle, Options, TapFactory, spawn};
pub use status::Status;
