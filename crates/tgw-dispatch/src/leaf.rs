//! Leaf requests, their outcomes and what upstreams reply.

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tgw_clock::Millis;
use tgw_topology::{Query, Shard, Snapshot, Vm};

/// The snapshots that an upstream holds.
pub type Held = SmallVec<[Snapshot; 4]>;

/// The snapshots that a group holds, and at how many of its upstreams that may be used.
pub type Stock = SmallVec<[(Snapshot, u8); 4]>;

/// Tells an attempt at one shard of one query from every other, over all VMs and restarts.
#[derive(
    Copy, Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{query}/{shard}#{attempt}")]
pub struct Key {
    /// The VM that took the query in and waits for the outcome.
    pub from: Vm,
    /// The query.
    pub query: Query,
    /// The shard.
    pub shard: Shard,
    /// The attempt, counted over the whole query from zero.
    pub attempt: u8,
}

/// A request for one shard.
#[derive(Clone, Debug)]
pub struct Leaf {
    /// Its identity.
    pub key: Key,
    /// The only snapshot whose items may be returned.
    pub snapshot: Snapshot,
    /// When its outcome stops being of use.
    pub deadline: Millis,
    /// When it is given back if it still waits, because another group promises an earlier answer.
    pub give_back: Option<Millis>,
    /// What is searched for, opaque to the tier.
    pub body: Bytes,
    /// Whether decisions about it are logged.
    pub traced: bool,
    /// What the upstream does for it.
    pub work: Work,
}

/// What an upstream does for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// Searches a shard.
    Search,
    /// Runs the order of this name, which must not be sent twice.
    Order(String),
}

impl Leaf {
    /// Whether it must not be sent a second time once it may have been run.
    pub fn once(&self) -> bool {
        matches!(self.work, Work::Order(_))
    }
}

/// What came of a leaf request, as the entry VM is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The items of the shard in the snapshot that was asked for.
    Items(#[serde(with = "tgw_topology::text")] Bytes),
    /// No upstream of the group that could be asked holds the snapshot.
    Gone,
    /// Every upstream that could be asked shed the request.
    Shed,
    /// It waited for so long that another group promises an earlier answer; it was not sent.
    Crowded,
    /// The attempts failed.
    Failed(Failure),
    /// The deadline passed first.
    Expired,
    /// The VM does not own the group; another may.
    Moved(Option<Vm>),
}

/// What an upstream replied to one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Items, with what the upstream says it served.
    Items {
        /// The snapshot that was searched.
        snapshot: Snapshot,
        /// The shard that was searched.
        shard: Shard,
        /// The items as a JSON array.
        #[serde(with = "tgw_topology::text")]
        items: Bytes,
    },
    /// It ran the order and answered this.
    Ran(#[serde(with = "tgw_topology::text")] Bytes),
    /// It does not hold the snapshot.
    Gone,
    /// It refuses work for now.
    Shed,
    /// It is leaving and refuses new work.
    Draining,
    /// It gave up at the deadline that was passed on.
    Expired,
    /// It stopped because it was asked to.
    Cancelled,
}

/// Why a request brought no usable reply.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// No connection could be had.
    #[display("connect")]
    Connect,
    /// The connection broke.
    #[display("closed")]
    Closed,
    /// The reply could not be understood.
    #[display("malformed")]
    Malformed,
    /// The reply was larger than allowed.
    #[display("oversized")]
    Oversized,
    /// The upstream answered with an error of its own.
    #[display("upstream error")]
    Upstream,
    /// No upstream of the group may be used.
    #[display("no upstream")]
    NoUpstream,
}
