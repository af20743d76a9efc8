//! Dispatch of leaf requests to upstreams by the VM that owns their replica group.
//!
//! The owner keeps one queue a group in deadline order and binds a request to a replica only when
//! that replica has a free slot, so that what waits never waits behind a straggler. It hedges what
//! runs late within a budget, retries what failed, and stops placing on upstreams that are overdue,
//! failing or leaving. Performs no I/O: events and the time go in, actions come out.

/// One replica group: its queue, running requests and upstreams.
mod group;
/// What time alone brings about in a group: deadlines, lateness, hedges.
mod late;
/// Leaf requests, their outcomes and what upstreams reply.
pub mod leaf;
/// All groups that a VM owns.
pub mod owner;
/// Choice of an upstream for a leaf request.
pub mod pick;
/// What the owner believes of one upstream.
mod trust;
/// What a group looks like to a policy, to the entry and to the log.
mod view;

pub use leaf::{Leaf, Outcome};
pub use owner::{Action, Event, Owner};
pub use trust::Rank;
