//! Experiments that run the decision core of several VMs under a virtual clock, with small models
//! of the upstreams and of the network delay between places. The same seed gives the same figures.
//!
//! This is a measuring tool, not a cluster simulator: membership and the platform are reduced to
//! the time at which a VM learns of a change, and every delay is a constant or drawn from one
//! distribution.

/// Addresses of simulated VMs.
mod address;
/// Checks and counts the answers that callers get.
mod answers;
/// Events of a virtual clock.
mod event_queue;
/// Injects faults into a run.
mod faults;
/// Figures of one run.
pub mod figures;
/// Cost of forwarding a query's parts.
mod forward;
/// Upstreams that leave, and how long VMs still send to them.
pub mod leaving;
/// Rate limits of tenants, under demand from all VMs.
pub mod limits;
/// Membership of many VMs under a virtual clock.
pub mod members;
/// Model of an upstream: slots, queue and service time.
mod model;
/// Forwarding under overload and faults of upstreams.
pub mod overload;
/// SVG plots.
pub mod plot;
/// The dispatch policies that are compared.
pub mod policy;
/// The experiments and their reports.
pub mod scenario;
/// How the modelled upstreams answer requests.
mod serving;
/// Configuration of one run: sizes and faults.
mod setup;
/// Event loop of the virtual clock.
mod sim;
/// Cost of one unit of state or work.
pub mod slopes;
/// Simultaneous starts of many VMs.
pub mod starts;
/// Faults of simulated VMs and of the ways between them.
pub mod vm_faults;
/// Leases to send to cold upstreams, under demand from all VMs.
pub mod warmup;

pub use figures::Figures;
pub use policy::Policy;
pub use scenario::{Report, Scenario};
pub use setup::{Fault, Setup};
pub use sim::run;
