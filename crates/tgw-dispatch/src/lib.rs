//! Dispatch of leaf requests to upstreams by the VM that owns their replica group.
//!
//! The owner keeps one queue per replica group in deadline order and assigns a request to a replica
//! only when that replica has a free slot, so that no request queues behind a straggler. It hedges
//! late requests within a budget, retries failed ones, and sends no new work to upstreams that are
//! overdue, failing or leaving. Performs no I/O: takes events and the time, returns actions.

/// One replica group: its queue, in-flight requests and upstreams.
mod group;
/// Health and latency estimate of one upstream.
mod health;
/// Leaf requests, their outcomes and the replies of upstreams.
pub mod leaf;
/// All replica groups that a VM owns.
pub mod owner;
/// Policies that choose an upstream for a leaf request.
pub mod policy;
/// What follows from the results of sends: health, retries, answers.
mod results;
/// Time-driven work of a group: deadlines, late requests, hedges.
mod timeouts;
/// State of a group as read by the policy, the entry VM and the log.
mod view;

pub use health::Rank;
pub use leaf::{Leaf, Outcome};
pub use owner::{Action, Event, Owner};
