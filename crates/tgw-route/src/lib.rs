//! Routes: which service, weighted services or set of shards a caller's request goes to.
//!
//! A [`Config`] is one version of the operators' configuration, already checked. A [`Table`] finds
//! the route of a request in it; a [`Share`] deals requests out by weight. No I/O.

/// One version of the configuration: routes, services and limits.
pub mod config;
/// Where requests may be served.
mod residency;
/// Dealing requests out by weight.
mod share;
/// Finding the route of a request.
mod table;

pub use config::{Config, Limits, Route, Safety, Service, Target, Warmup};
pub use residency::Residency;
pub use share::Share;
pub use table::Table;
