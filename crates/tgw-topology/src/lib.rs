//! What the tier knows of the world it serves: services, shards, replicas, upstreams, VMs and the
//! regions and failure domains they lie in. Plain values, no behaviour that decides anything.

/// Services, layouts and upstreams as the platform's objects describe them.
pub mod catalog;
/// Identities that travel in frames and logs.
mod id;
/// Regions and failure domains.
pub mod place;
/// Bytes that are text in formats for people.
pub mod text;

pub use catalog::Catalog;
pub use id::{Group, Layout, Order, Query, Service, Shard, Snapshot, Upstream, Vm};
pub use place::Place;
