//! Experiments: the decision core of several VMs under a virtual clock, with small models of
//! upstreams and of the way between places. The same seed gives the same figures.
//!
//! A measuring tool, not a cluster simulator: membership and platform are reduced to when a VM
//! learns of a change, and every delay is a constant or drawn from one distribution.

/// What callers get.
mod answers;
/// What goes wrong in a run.
mod faults;
/// What one run yields.
pub mod figures;
/// What forwarding on the users' platform costs.
mod forward;
/// Upstreams that leave, and how long VMs still send to them.
pub mod leaving;
/// Membership of many VMs under a virtual clock.
pub mod members;
/// The upstreams' model.
mod model;
/// Forwarding under load at its worst.
pub mod overload;
/// SVG plots.
pub mod plot;
/// The ways of dispatching that are compared.
pub mod policy;
/// The experiments.
pub mod scenario;
/// What the upstreams do.
mod serving;
/// One run: how large, and what goes wrong.
mod setup;
/// The virtual clock's loop.
mod sim;
/// What one unit of state or work costs.
pub mod slopes;
/// Starts of many VMs at once.
pub mod starts;
/// Cold upstreams that all VMs want to send to.
pub mod warmup;

pub use figures::Figures;
pub use policy::Policy;
pub use scenario::{Report, Scenario};
pub use setup::{Fault, Setup};
pub use sim::run;
