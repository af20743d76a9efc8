//! Leaf requests, their outcomes and the replies of upstreams.

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tgw_clock::Millis;
use tgw_topology::{Query, Shard, Snapshot, Vm};

/// The snapshots that an upstream holds.
pub type HeldSnapshots = SmallVec<[Snapshot; 4]>;

/// The snapshots that a group holds, each with the number of usable upstreams that hold it.
pub type SnapshotCounts = SmallVec<[(Snapshot, u8); 4]>;

/// Identifies one attempt at one shard of one query, unique over all VMs and restarts.
#[derive(
    Copy, Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{query}/{shard}#{attempt}")]
pub struct Key {
    /// The entry VM, which received the query and waits for the outcome.
    pub from: Vm,
    /// The query.
    pub query: Query,
    /// The shard.
    pub shard: Shard,
    /// The number of the attempt within its shard. Restarts of the query skip ahead, so that it is
    /// never reused.
    pub attempt: u8,
}

/// A request for one shard.
#[derive(Clone, Debug)]
pub struct Leaf {
    /// Its identity.
    pub key: Key,
    /// The snapshot to search; items of any other one are rejected.
    pub snapshot: Snapshot,
    /// When the caller no longer needs the outcome.
    pub deadline: Millis,
    /// When it is returned to the entry VM if it is still queued, because another group is expected
    /// to answer earlier.
    pub queue_deadline: Option<Millis>,
    /// The search or order itself, opaque to the tier.
    pub body: Bytes,
    /// Whether dispatch decisions about it are logged.
    pub traced: bool,
    /// The operation that the upstream performs.
    pub operation: Operation,
}

/// The operation that an upstream performs for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Searches a shard.
    Search,
    /// Runs the order of this name, at most once.
    Order(String),
}

impl Leaf {
    /// Whether it is an order, which is not sent again once an upstream may have run it.
    pub fn is_order(&self) -> bool {
        matches!(self.operation, Operation::Order(_))
    }
}

/// The outcome of a leaf request, as reported to the entry VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The items of the shard in the requested snapshot, or the result of an order.
    Items(#[serde(with = "tgw_topology::bytes_as_text")] Bytes),
    /// No upstream of the group that may be sent the request holds the snapshot.
    Gone,
    /// Every upstream that may be sent the request shed it.
    Shed,
    /// It was queued for so long that another group is expected to answer earlier, or only ejected
    /// upstreams were left; it was not sent.
    Crowded,
    /// The last send failed and the request was not retried.
    Failed(Failure),
    /// The deadline passed before a reply.
    Expired,
    /// The VM does not own the group; the owner is named if known.
    Moved(Option<Vm>),
}

/// The reply of an upstream to one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Items, with the snapshot and shard that the upstream says it searched.
    Items {
        /// The snapshot that was searched.
        snapshot: Snapshot,
        /// The shard that was searched.
        shard: Shard,
        /// The items as a JSON array.
        #[serde(with = "tgw_topology::bytes_as_text")]
        items: Bytes,
    },
    /// The upstream ran the order; the bytes are its result.
    Ran(#[serde(with = "tgw_topology::bytes_as_text")] Bytes),
    /// The upstream does not hold the snapshot.
    Gone,
    /// The upstream is overloaded and rejected the request.
    Shed,
    /// The upstream is leaving and rejects new work.
    Draining,
    /// The upstream stopped at the deadline sent with the request.
    Expired,
    /// The upstream stopped because the request was cancelled.
    Cancelled,
}

/// Why a request has no usable reply.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// No connection could be made.
    #[display("connect")]
    Connect,
    /// The connection closed before the reply was complete.
    #[display("closed")]
    Closed,
    /// The reply could not be parsed, or was for another snapshot or shard.
    #[display("malformed")]
    Malformed,
    /// The reply exceeded the size limit.
    #[display("oversized")]
    Oversized,
    /// The upstream returned an error.
    #[display("upstream error")]
    Upstream,
    /// No upstream of the group may be sent the request.
    #[display("no upstream")]
    NoUpstream,
}
