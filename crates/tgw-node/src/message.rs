//! Messages between the cores of two VMs.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tgw_clock::Millis;
use tgw_dispatch::leaf::{Key, Operation, Outcome, SnapshotCounts};
use tgw_topology::{Group, Snapshot, Upstream};

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Dispatch a leaf request.
    #[serde(rename = "Ask")]
    Request(Request),
    /// Cancel a leaf request.
    Cancel(Key),
    /// The outcome of a leaf request.
    Outcome(Completion),
    /// Heartbeat of a VM that works on requests of the receiver.
    #[serde(rename = "Alive")]
    Heartbeat,
    /// Asks an unresponsive VM for a heartbeat.
    Probe,
    /// An order, to the VM that claims orders of its key's bucket.
    Order(Order),
    /// The outcome of an order, by its request id.
    #[serde(rename = "Ordered")]
    OrderOutcome(u64, tgw_order::Outcome),
    /// An upstream leaves: no VM may send it new requests.
    Leaving(Upstream),
}

/// A leaf request for the VM that dispatches to its group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The replica group.
    pub group: Group,
    /// The receiver stands in for the group's owner.
    pub stand_in: bool,
    /// The request.
    pub key: Key,
    /// The snapshot to search.
    pub snapshot: Snapshot,
    /// Time until the deadline; a duration, as the clocks of two VMs differ.
    #[serde(rename = "left")]
    pub remaining: Millis,
    /// Time after which the request is returned if it is still queued.
    #[serde(rename = "patience")]
    pub queue_timeout: Option<Millis>,
    /// The body of the search.
    #[serde(with = "tgw_topology::bytes_as_text")]
    pub body: Bytes,
    /// Whether decisions about the request are logged.
    #[serde(rename = "traced")]
    pub log_decisions: bool,
    /// The operation at the upstream.
    #[serde(rename = "work")]
    pub operation: Operation,
}

/// An order, to the VM that claims orders of its key's bucket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Identifies the request at the VM that received it from the caller.
    #[serde(rename = "number")]
    pub request_id: u64,
    /// The caller's key.
    pub key: tgw_order::Key,
    /// Seconds since the key was made, by the clocks of caller and VM; `None` if the key's time is in the
    /// future.
    #[serde(rename = "age_s")]
    pub key_age_s: Option<u64>,
    /// Time until the deadline.
    #[serde(rename = "left")]
    pub remaining: Millis,
    /// The body of the order.
    #[serde(with = "tgw_topology::bytes_as_text")]
    pub body: Bytes,
}

/// The outcome of a leaf request, with the state of its group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// The request.
    pub key: Key,
    /// Its outcome.
    pub outcome: Outcome,
    /// The snapshots that the group's upstreams hold, if known.
    #[serde(rename = "stock")]
    pub snapshot_counts: Option<SnapshotCounts>,
    /// Sends to upstreams beyond the first.
    #[serde(rename = "extra")]
    pub extra_sends: u8,
    /// Time in the queue.
    #[serde(rename = "waited")]
    pub queue_wait: Millis,
    /// Queued and running requests of the group, as a ratio of its slots.
    #[serde(rename = "pressure")]
    pub load_ratio: f32,
}

impl Completion {
    /// An outcome of a request that was never queued.
    pub fn unqueued(key: Key, outcome: Outcome) -> Self {
        Self {
            key,
            outcome,
            snapshot_counts: None,
            extra_sends: 0,
            queue_wait: Millis::ZERO,
            load_ratio: 0.0,
        }
    }
}
