//! What the entry is told, what it asks for, and what it reads.

use crate::answer::{Answer, Reason, Refusal};
use bytes::Bytes;
use derive_more::Display;
use smallvec::SmallVec;
use tgw_clock::Millis;
use tgw_dispatch::leaf::{Key, Leaf, Outcome, Stock};
use tgw_table::Document;
use tgw_topology::{
    Catalog, Group, Place, Query, Service, Shard, Snapshot, Vm, catalog::Index, place::Distance,
};

/// Names a caller's request between the callers' duty and the core.
pub type Token = u64;

/// Who dispatches to a replica group.
pub trait Owners {
    /// The owner first, then the VMs that stand in for it.
    fn owners(&self, group: Group) -> SmallVec<[Vm; 2]>;
    /// Where a VM lies.
    fn place(&self, vm: Vm) -> Option<Place>;
}

/// What the entry reads while it handles an event.
#[derive(Copy, Clone)]
pub struct View<'a> {
    /// Services, layouts, upstreams.
    pub catalog: &'a Catalog,
    /// The replica groups of the catalog.
    pub index: &'a Index,
    /// The table in force; `None` before the first.
    pub table: Option<&'a Document>,
    /// Who dispatches to each group.
    pub owners: &'a dyn Owners,
    /// Where this VM lies.
    pub here: Place,
    /// Network delays that estimates start from.
    pub distance: Distance,
}

/// What the entry is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's search.
    Submit {
        /// Names the caller's request.
        token: Token,
        /// The service.
        service: Service,
        /// Time that the caller gives, if less than the row's.
        within: Option<Millis>,
        /// What is searched for.
        body: Bytes,
    },
    /// The caller went away.
    Abandon(Token),
    /// A VM that dispatches tells what came of a leaf request.
    Outcome {
        /// The VM.
        from: Vm,
        /// The request.
        key: Key,
        /// What came of it.
        outcome: Outcome,
        /// The snapshots held in its group, if known.
        stock: Option<Stock>,
        /// Sendings beyond the first.
        extra: u8,
        /// Time in the owner's queue.
        waited: Millis,
        /// Requests that wait or run in the group, as a part of its slots.
        pressure: f32,
    },
    /// Any frame came from a VM.
    Heard(Vm),
    /// The connection to a VM broke, or it left its domain's view.
    Lost(Vm),
    /// Time has passed.
    Tick,
}

/// What must be done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Ask a VM to dispatch a leaf request.
    Ask {
        /// The VM.
        to: Vm,
        /// The replica group.
        group: Group,
        /// The VM is asked in the owner's place.
        stand_in: bool,
        /// The request.
        leaf: Leaf,
    },
    /// Tell a VM that a request's outcome is no longer wanted.
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
    /// Tell the caller that the query was not run.
    Refuse {
        /// The caller's request.
        token: Token,
        /// Why.
        refusal: Refusal,
    },
    /// A decision for the log.
    Note(Note),
}

/// A decision about one query.
#[derive(Clone, Debug)]
pub struct Note {
    /// The query.
    pub query: Query,
    /// Its service.
    pub service: Service,
    /// Time left until its deadline.
    pub left: Millis,
    /// What was decided.
    pub what: What,
}

/// What was decided.
#[derive(Clone, Debug, Display)]
pub enum What {
    /// The query was admitted and takes this snapshot.
    #[display("start {snapshot} over {shards} shards, {servable} servable")]
    Start {
        /// The snapshot.
        snapshot: Snapshot,
        /// Shards of its layout.
        shards: usize,
        /// Shards that some group is believed to hold.
        servable: usize,
    },
    /// The query begins again on another snapshot.
    #[display("restart from {from} on {to}")]
    Restart {
        /// The snapshot given up.
        from: Snapshot,
        /// The snapshot taken.
        to: Snapshot,
    },
    /// A leaf request goes to a group.
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
        /// The VM asked.
        to: Vm,
        /// Why it is asked.
        why: Why,
        /// When the answer is expected, in milliseconds.
        estimate: f64,
        /// Groups passed over, with their estimates.
        passed: SmallVec<[(Group, f64); 3]>,
    },
    /// A shard will not be in the answer.
    #[display("miss shard {shard}: {reason}")]
    Miss {
        /// The shard.
        shard: Shard,
        /// Why.
        reason: Reason,
    },
    /// The query is answered.
    #[display("answer {answered} of {shards} shards after {took}")]
    Finish {
        /// Shards answered.
        answered: usize,
        /// Shards of the layout.
        shards: usize,
        /// Time since it was taken in.
        took: Millis,
    },
}

/// Why a leaf request goes out.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq)]
pub enum Why {
    /// The first attempt.
    #[display("first")]
    First,
    /// The earlier attempt runs late.
    #[display("hedge")]
    Hedge,
    /// The earlier attempt brought nothing.
    #[display("retry")]
    Retry,
    /// The VM asked before is silent or gone.
    #[display("owner silent")]
    Silent,
    /// The group asked before is crowded and has given the request back.
    #[display("crowded")]
    Crowded,
    /// The VM asked before named another owner.
    #[display("moved")]
    Moved,
}
