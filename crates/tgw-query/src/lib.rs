//! The entry VM's part of a search: admission, choice of a snapshot, the plan of shards, matching
//! of replies, hedges and retries across replica groups, and the merged answer with its coverage.
//!
//! Performs no I/O: events and the time go in, actions come out.

/// Admission: limits, weighted fairness, truthful early refusal.
pub mod admit;
/// What a caller is told.
pub mod answer;
/// Sending of leaf requests: which group, which VM.
mod attempt;
/// What every step needs.
mod context;
/// The state machine of all queries of one VM.
mod entry;
/// What time alone brings about: deadlines, hedges, silent owners.
mod late;
/// What comes back for leaf requests.
mod outcome;
/// What is known of the ways to replica groups and of other VMs.
mod path;
/// One running query.
mod running;
/// Choice of the snapshot that a query is answered from.
pub mod snapshot;
/// What the entry is told, what it asks for, and what it reads.
pub mod step;

pub use answer::Answer;
pub use entry::{Entry, Options, Stats};
pub use path::Paths;
pub use step::{Action, Event, Owners, View};
