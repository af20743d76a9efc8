//! The entry VM's part of a search: admission, choice of a snapshot, one leaf request per shard,
//! matching of outcomes to attempts, hedges and retries across replica groups, and the merged
//! answer with its coverage.
//!
//! Performs no I/O: takes events and the time, returns actions.

/// Admission control: concurrency limits, weighted fairness, early refusal.
pub mod admission;
/// Answers and refusals to callers.
pub mod answer;
/// Attempts at shards: choice of the replica group and the VM.
mod attempt;
/// Context of one step: time, inputs, actions.
mod context;
/// The state machine of all queries of one VM.
mod entry;
/// Events, actions and inputs of the entry.
pub mod event;
/// Outcomes of leaf requests.
mod outcome;
/// State of one running query.
mod running;
/// Choice of the snapshot that a query is answered from.
pub mod snapshot;
/// Time-driven work: deadlines, hedges, unresponsive owners.
mod timeouts;
/// Latency, load and snapshots of replica groups, and responsiveness of VMs.
mod tracker;

pub use answer::Answer;
pub use entry::{Entry, Options, Stats};
pub use event::{Action, Event, Owners, View};
pub use tracker::Tracker;
