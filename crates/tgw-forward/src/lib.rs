//! Decides where each request is sent, when it is hedged or retried, and what its caller is
//! answered.
//!
//! A [`Core`] holds the state of one VM: the upstreams with their latency and load ([`Fleet`]), the
//! budgets for extra sends, and the hedge delays. A [`Plan`] drives one request. Both take the time
//! as an argument and perform no I/O.

/// Admission of queries before anything is sent.
mod admission;
/// When a request is answered, and with what.
mod answer;
/// The list of upstreams, kept across outages of the store.
pub mod catalog;
/// Sends to cold upstreams with a configured warm-up rate.
mod cold;
/// State of one VM.
pub mod core;
/// The upstreams, their state, and load balancing.
pub mod fleet;
/// Which VM sends the parts of a query.
pub mod gather;
/// Sends on behalf of other VMs.
pub mod hosting;
/// Load that upstreams report.
pub mod load;
/// Time reserved before the latency target to deliver an answer.
mod margin;
/// Selection of the greatest records of several parts.
pub mod merge;
/// Inputs and outputs of a plan.
mod message;
/// One part of a request.
mod part;
/// One request from its arrival to its answer.
pub mod plan;
/// Mechanisms and weights that experiments may change.
pub mod policy;
/// Limits on requests that may terminate upstreams.
pub mod quarantine;
/// Regions to which a request may be sent.
mod scope;
/// First sends, hedges and retries of a request.
mod sends;
/// Upstreams that go out of service or come back.
pub mod transition;
/// One upstream: its entry in the store, and its state as observed.
pub mod upstream;
/// Leases to send to cold upstreams.
pub mod warmup;
/// Sliding-window budgets for extra sends.
mod window;

pub use catalog::Catalog;
pub use core::Core;
pub use fleet::Fleet;
pub use gather::Gathering;
pub use margin::Margin;
pub use plan::Plan;
pub use policy::Policy;
pub use scope::Scope;
pub use upstream::Upstream;
pub use window::Window;
