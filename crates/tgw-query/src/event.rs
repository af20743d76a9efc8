//! Events, actions and inputs of the entry.

use crate::answer::{Answer, MissingReason, Refusal};
use bytes::Bytes;
use derive_more::Display;
use smallvec::SmallVec;
use tgw_clock::Millis;
use tgw_dispatch::leaf::{Key, Leaf, Outcome, SnapshotCounts};
use tgw_table::Document;
use tgw_topology::{
    Catalog, Group, Place, Query, Service, Shard, Snapshot, Vm, catalog::Index, place::Latency,
};

/// Identifies a caller's request between the thread that serves callers and the core.
pub type Token = u64;

/// The VMs that dispatch to each replica group.
pub trait Owners {
    /// The owner of a group, then its stand-ins.
    fn owners(&self, group: Group) -> SmallVec<[Vm; 2]>;
    /// The region and failure domain of a VM.
    fn place(&self, vm: Vm) -> Option<Place>;
}

/// State of the VM that the entry reads while it handles an event.
#[derive(Copy, Clone)]
pub struct View<'a> {
    /// Services, layouts, upstreams.
    pub catalog: &'a Catalog,
    /// The replica groups of the catalog.
    pub index: &'a Index,
    /// The current table; `None` until one is loaded.
    pub table: Option<&'a Document>,
    /// The VMs that dispatch to each group.
    pub owners: &'a dyn Owners,
    /// The region and failure domain of this VM.
    pub local_place: Place,
    /// Network delays, the base of the latency estimates.
    pub network_delays: Latency,
}

/// Input of the entry.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's search.
    Submit {
        /// Identifies the caller's request.
        token: Token,
        /// The service.
        service: Service,
        /// The caller's timeout, applied if shorter than the deadline of the service's row.
        timeout: Option<Millis>,
        /// The search itself, opaque to the tier.
        body: Bytes,
    },
    /// The caller closed its request.
    Abandon(Token),
    /// A dispatching VM reports the outcome of a leaf request.
    Outcome {
        /// The VM.
        from: Vm,
        /// The request.
        key: Key,
        /// The outcome.
        outcome: Outcome,
        /// The snapshots held in its group, if known.
        snapshot_counts: Option<SnapshotCounts>,
        /// Sends beyond the first.
        extra_sends: u8,
        /// Time in the owner's queue.
        queue_wait: Millis,
        /// Queued and in-flight requests of the group as a ratio of its slots.
        load_ratio: f32,
    },
    /// A frame arrived from a VM.
    MessageReceived(Vm),
    /// The connection to a VM closed, or membership no longer lists the VM as live.
    Disconnected(Vm),
    /// Periodic tick for deadlines, hedges and unresponsive owners.
    Tick,
}

/// Output of the entry, to be carried out by the caller.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a leaf request to a VM that dispatches it.
    Request {
        /// The VM.
        to: Vm,
        /// The replica group.
        group: Group,
        /// Whether the VM must dispatch the request in place of the owner.
        stand_in: bool,
        /// The request.
        leaf: Leaf,
    },
    /// Cancel a leaf request at a VM.
    Cancel {
        /// The VM.
        to: Vm,
        /// The request.
        key: Key,
    },
    /// Answer the caller.
    Answer {
        /// The caller's request.
        token: Token,
        /// The answer.
        answer: Answer,
    },
    /// Refuse the query, which was not run.
    Refuse {
        /// The caller's request.
        token: Token,
        /// The reason, and when to retry.
        refusal: Refusal,
    },
    /// Log a decision.
    LogDecision(Decision),
}

/// A decision about one query.
#[derive(Clone, Debug)]
pub struct Decision {
    /// The query.
    pub query: Query,
    /// Its service.
    pub service: Service,
    /// Time left until its deadline.
    pub remaining: Millis,
    /// The kind of decision.
    pub kind: DecisionKind,
}

/// The kind of a decision about a query.
#[derive(Clone, Debug, Display)]
pub enum DecisionKind {
    /// The query was admitted and is answered from this snapshot.
    #[display("start {snapshot} over {shards} shards, {servable} servable")]
    Start {
        /// The snapshot.
        snapshot: Snapshot,
        /// Shards of its layout.
        shards: usize,
        /// Shards that some group holds, as far as is known.
        servable: usize,
    },
    /// The query restarts on another snapshot.
    #[display("restart from {from} on {to}")]
    Restart {
        /// The previous snapshot.
        from: Snapshot,
        /// The next snapshot.
        to: Snapshot,
    },
    /// A leaf request is sent to a group.
    #[display(
        "ask shard {shard}#{attempt} group {group} via {to} ({why}), {estimate:.1} ms expected, passed {passed:?}"
    )]
    Ask {
        /// The shard.
        shard: Shard,
        /// The attempt.
        attempt: u8,
        /// The group chosen.
        group: Group,
        /// The VM that the request is sent to.
        to: Vm,
        /// The reason for the attempt.
        why: AttemptReason,
        /// Expected time to the answer in milliseconds.
        estimate: f64,
        /// Groups not chosen, with their estimates in milliseconds.
        passed: SmallVec<[(Group, f64); 3]>,
    },
    /// A shard is left out of the answer.
    #[display("miss shard {shard}: {reason}")]
    Miss {
        /// The shard.
        shard: Shard,
        /// Why.
        reason: MissingReason,
    },
    /// The query is answered.
    #[display("answer {answered} of {shards} shards after {took}")]
    Finish {
        /// Shards answered.
        answered: usize,
        /// Shards of the layout.
        shards: usize,
        /// Time since it was submitted.
        took: Millis,
    },
}

/// Why a leaf request is sent.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq)]
pub enum AttemptReason {
    /// The first attempt.
    #[display("first")]
    First,
    /// The earlier attempt is late.
    #[display("hedge")]
    Hedge,
    /// The earlier attempt failed.
    #[display("retry")]
    Retry,
    /// The VM of the earlier attempt is unresponsive or disconnected.
    #[display("owner silent")]
    Silent,
    /// The group of the earlier attempt is overloaded and returned the request unsent.
    #[display("crowded")]
    Crowded,
    /// The VM of the earlier attempt does not own the group and may have named the owner.
    #[display("moved")]
    Moved,
}
