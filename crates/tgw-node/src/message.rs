//! What VMs tell one another over their links.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tgw_clock::Millis;
use tgw_dispatch::leaf::{Key, Outcome, Stock, Work};
use tgw_topology::{Group, Snapshot, Upstream};

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Dispatch a leaf request.
    Ask(Ask),
    /// A leaf request's outcome is no longer wanted.
    Cancel(Key),
    /// What came of a leaf request.
    Outcome(Told),
    /// The VM lives and works on what it was asked.
    Alive,
    /// Asks a VM that has been silent whether it lives.
    Probe,
    /// An order for the clerk of its key.
    Order(Order),
    /// What came of an order.
    Ordered(u64, tgw_order::Outcome),
    /// An upstream leaves: no new work for it from anyone.
    Leaving(Upstream),
}

/// A leaf request for the VM that dispatches to its group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The replica group.
    pub group: Group,
    /// The VM is asked in the owner's place.
    pub stand_in: bool,
    /// The request.
    pub key: Key,
    /// The snapshot to be searched.
    pub snapshot: Snapshot,
    /// Time left; clocks of two VMs are not compared.
    pub left: Millis,
    /// Time after which it is given back if it still waits.
    pub patience: Option<Millis>,
    /// What is searched for.
    #[serde(with = "tgw_topology::text")]
    pub body: Bytes,
    /// Whether decisions about it are logged.
    pub traced: bool,
    /// What the upstream does for it.
    pub work: Work,
}

/// An order for the clerk of its key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Names the request at the VM that took it in.
    pub number: u64,
    /// The caller's key.
    pub key: tgw_order::Key,
    /// Seconds since the key was made, as far as the clocks go; `None` if it is from the future.
    pub age_s: Option<u64>,
    /// Time left.
    pub left: Millis,
    /// What is ordered.
    #[serde(with = "tgw_topology::text")]
    pub body: Bytes,
}

/// What came of a leaf request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// The request.
    pub key: Key,
    /// What came of it.
    pub outcome: Outcome,
    /// The snapshots held in its group, if known.
    pub stock: Option<Stock>,
    /// Sendings beyond the first.
    pub extra: u8,
    /// Time in the queue.
    pub waited: Millis,
    /// Requests that wait or run in the group, as a part of its slots.
    pub pressure: f32,
}

impl Told {
    /// An outcome that no queue was involved in.
    pub fn bare(key: Key, outcome: Outcome) -> Self {
        Self { key, outcome, stock: None, extra: 0, waited: Millis::ZERO, pressure: 0.0 }
    }
}
