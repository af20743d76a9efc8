use crate::place::Domain;
use derive_more::{Display, From};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A VM of the tier: the hash of its configured name, which has a fixed size in frames.
#[derive(
    Copy, Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct Vm(pub u64);

impl Vm {
    /// The identity of the VM with this configured name.
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// A service, by its number in the catalog.
#[derive(
    Copy, Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("s{_0}")]
pub struct Service(pub u16);

/// An upstream, by its number in the catalog.
#[derive(
    Copy, Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("u{_0}")]
pub struct Upstream(pub u32);

/// A shard within a layout, counted from zero.
#[derive(
    Copy, Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0}")]
pub struct Shard(pub u16);

/// A partitioning of a service's index into shards.
#[derive(
    Copy, Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0}")]
pub struct Layout(pub u32);

/// An index version in one layout; an answer never mixes two snapshots. Ordered oldest first.
#[derive(
    Copy, Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("v{version}/l{layout}")]
pub struct Snapshot {
    /// The index version.
    pub version: u32,
    /// The layout that partitions it.
    pub layout: Layout,
}

/// A query, unique over all VMs and their restarts: a VM's incarnation and a counter.
#[derive(
    Copy, Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{incarnation:x}-{number:x}")]
pub struct Query {
    /// The incarnation of the VM that accepted the query.
    pub incarnation: u64,
    /// The query's number within that incarnation.
    pub number: u64,
}

/// A non-idempotent request: the service and the hash of the caller's idempotency key.
#[derive(
    Copy, Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{service}-{key:032x}")]
pub struct Order {
    /// The service that the order is for.
    pub service: Service,
    /// The 128-bit hash of the caller's idempotency key.
    pub key: u128,
}

/// A replica group: the upstreams of one instance of a service within one failure domain. One VM
/// owns it and holds its queue.
#[derive(
    Copy, Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{service}.{instance}@{domain}")]
pub struct Group {
    /// The service that the upstreams belong to.
    pub service: Service,
    /// The instance; zero for a service without instances.
    pub instance: u16,
    /// The failure domain.
    pub domain: Domain,
}
