//! Answers and refusals to callers.

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use tgw_clock::Millis;
use tgw_topology::{Query, Shard, Snapshot};

/// Why a shard is missing from an answer.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MissingReason {
    /// No available replica holds the snapshot.
    #[display("snapshot_gone")]
    SnapshotGone,
    /// Every available replica shed the request.
    #[display("shed")]
    Shed,
    /// The attempts failed.
    #[display("failed")]
    Failed,
    /// No outcome arrived before the deadline.
    #[display("deadline")]
    Deadline,
    /// No VM that dispatches to a replica of the shard is reachable.
    #[display("unreachable")]
    Unreachable,
}

/// The shards that an answer covers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Coverage {
    /// Shards of the layout.
    pub shards: usize,
    /// Shards whose items are in the answer.
    pub answered: usize,
    /// The other shards, each with the reason.
    pub missing: Vec<(Shard, MissingReason)>,
}

impl Coverage {
    /// The ratio of answered shards, 0 to 1; 1 for an empty layout.
    pub fn ratio(&self) -> f64 {
        if self.shards == 0 { 1.0 } else { self.answered as f64 / self.shards as f64 }
    }
}

/// The merged answer to one query.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The query.
    pub query: Query,
    /// The snapshot that all items come from.
    pub snapshot: Snapshot,
    /// The shards that it covers.
    pub coverage: Coverage,
    /// Each answered shard's items as a JSON array, by shard.
    pub items: Vec<(Shard, Bytes)>,
    /// Whether the least coverage of the service's row is met; if not, the caller gets an error.
    pub meets_least_coverage: bool,
    /// Time since the query was submitted.
    pub elapsed: Millis,
}

/// A refused query: no leaf request was or will be sent for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Delay before the caller should retry.
    pub retry_after: Millis,
}

/// Why a query was refused.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The service has no row in the table, or is not in the catalog.
    #[display("unknown_service")]
    UnknownService,
    /// The VM has no table or no catalog yet.
    #[display("not_ready")]
    NotReady,
    /// The service's queue is full, or the query would wait there past its deadline.
    #[display("busy")]
    Busy,
    /// The deadline passed while the query waited to be admitted.
    #[display("deadline")]
    Deadline,
    /// The VM is leaving.
    #[display("draining")]
    Draining,
    /// The service accepts no orders.
    #[display("no_orders")]
    NoOrders,
    /// No shard of any snapshot of the service can be served.
    #[display("no_snapshot")]
    NoSnapshot,
}
