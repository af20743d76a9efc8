//! Admission control of queries over shards.
//!
//! An [`Admission`] decides whether a query may start, waits for others to end, or is rejected before anything is
//! sent. [`capacity`] holds the evidence of overload and the limit that follows from it, [`queue`] the order of the
//! queries that wait. Times are arguments; no I/O.

mod admission;
/// Evidence of overload, and the limit on queries that run at once.
pub mod capacity;
/// The queries over one set of services, and what is known of each service.
mod group;
/// Permits and places in the queue that are released when dropped.
mod permit;
/// Queries that ask for admission, and the decisions.
mod query;
/// Order and fairness among queries that wait.
pub mod queue;
/// What the VMs of a region agree on.
mod region;
/// Messages between VMs of a region.
pub mod report;
/// VMs whose reports are taken in.
mod senders;
/// Weights of the decisions.
mod settings;

pub use admission::Admission;
pub use permit::{Permit, Ticket};
pub use query::{Decision, Outcome, Query, Reason, Rejection, Reply};
pub use report::Report;
pub use settings::Settings;
