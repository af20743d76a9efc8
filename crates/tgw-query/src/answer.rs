//! What a caller is told.

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use tgw_clock::Millis;
use tgw_topology::{Query, Shard, Snapshot};

/// Why a shard is not in an answer.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No replica that could be asked holds the snapshot.
    #[display("snapshot_gone")]
    SnapshotGone,
    /// Every replica that could be asked shed the request.
    #[display("shed")]
    Shed,
    /// The attempts failed.
    #[display("failed")]
    Failed,
    /// Nothing came before the deadline.
    #[display("deadline")]
    Deadline,
    /// No VM that could dispatch to a replica can be reached.
    #[display("unreachable")]
    Unreachable,
}

/// What part of the service an answer covers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Coverage {
    /// Shards of the layout.
    pub shards: usize,
    /// Shards whose items are in the answer.
    pub answered: usize,
    /// The others, and why.
    pub missing: Vec<(Shard, Reason)>,
}

impl Coverage {
    /// The answered part, 0 to 1; an empty layout counts as covered.
    pub fn part(&self) -> f64 {
        if self.shards == 0 { 1.0 } else { self.answered as f64 / self.shards as f64 }
    }
}

/// The merged answer to one query.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The query.
    pub query: Query,
    /// The one snapshot that every item comes from.
    pub snapshot: Snapshot,
    /// What part of the service it covers.
    pub coverage: Coverage,
    /// Each answered shard's items as a JSON array, by shard.
    pub items: Vec<(Shard, Bytes)>,
    /// Whether the row's least coverage is met; if not, the caller gets an error.
    pub enough: bool,
    /// Time since the query was taken in.
    pub took: Millis,
}

/// A query that was not run: nothing was sent for it and nothing will be.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: Cause,
    /// When it may be worth asking again.
    pub retry_after: Millis,
}

/// Why a query was not run.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The service has no row in the table, or is not in the catalog.
    #[display("unknown_service")]
    UnknownService,
    /// The VM has no table or no catalog yet.
    #[display("not_ready")]
    NotReady,
    /// The service's queue is full, or its wait would outlast the deadline.
    #[display("busy")]
    Busy,
    /// The deadline passed while the query waited to be admitted.
    #[display("deadline")]
    Deadline,
    /// The VM is leaving.
    #[display("draining")]
    Draining,
    /// The service takes no orders.
    #[display("no_orders")]
    NoOrders,
    /// No snapshot of the service can be served at all.
    #[display("no_snapshot")]
    NoSnapshot,
}
