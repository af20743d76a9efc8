//! Decides where each request is sent, when it is sent again, and what its caller is answered.
//!
//! A [`Core`] is what one VM knows: the upstreams with what their replies told ([`Fleet`]), the
//! budgets for extra sends, the delays of second sends. A [`Plan`] drives one request. Both are
//! told the time and perform no I/O.

/// Which upstreams exist, from a store that may be away.
pub mod catalog;
/// Requests under which upstreams may end.
mod caution;
/// Sends to upstreams that bear few requests while they are cold.
mod cold;
/// When a request is answered, and by what.
mod conclude;
/// What one VM knows.
pub mod core;
/// The upstreams, their state, and the choice among them.
pub mod fleet;
/// Sends that other VMs ask this one to make.
pub mod hosting;
/// What upstreams tell of their load.
pub mod load;
/// How long before its aim an answer leaves.
mod margin;
/// The greatest records of several parts.
pub mod merge;
/// What a plan is told and what it says.
mod message;
/// One part of a request.
mod part;
/// One request from its arrival to its answer.
pub mod plan;
/// What an experiment may change.
pub mod policy;
/// Where a request may be sent.
mod scope;
/// Which sends a request makes.
mod sends;
/// One upstream: what the store says of it and what its replies told.
pub mod upstream;
/// Upstreams that bear few requests while they are cold.
pub mod warmup;
/// Sliding budgets for extra sends.
mod window;

pub use catalog::Catalog;
pub use core::Core;
pub use fleet::Fleet;
pub use margin::Margin;
pub use plan::Plan;
pub use policy::Policy;
pub use scope::Scope;
pub use upstream::Upstream;
pub use window::Window;
