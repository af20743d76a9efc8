//! Routes: the service, weighted services or set of shards that a caller's request is sent to.
//!
//! A [`Config`] is one validated version of the operators' configuration. A [`Table`] finds the
//! route of a request in it; a [`RoundRobin`] distributes requests by weight. Performs no I/O.

/// One version of the configuration: routes, services and limits.
pub mod config;
/// Smooth weighted round robin over services.
mod round_robin;
/// Route lookup by host and path.
mod table;

pub use config::{Config, Limits, Route, Safety, Service, Target, Warmup};
pub use round_robin::RoundRobin;
pub use table::Table;
pub use tgw_topology::Residency;
