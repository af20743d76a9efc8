use crate::Message;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::sync::Arc;
use tgw_clock::Millis;
use tgw_dispatch::{
    Leaf,
    leaf::{Failure, Held, Reply},
    owner::{self, Ticket},
    pick::{Late, Policy},
};
use tgw_owner::Directory;
use tgw_query::{
    Answer,
    answer::Refusal,
    step::{Note as EntryNote, Token},
};
use tgw_table::Document;
use tgw_topology::{Catalog, Group, Place, Service, Upstream, Vm, place::Distance};

/// How the core works.
pub struct Options {
    /// The entry's options.
    pub entry: tgw_query::Options,
    /// Where the VM lies.
    pub place: Place,
    /// Network delays that estimates start from.
    pub distance: Distance,
    /// How upstreams are chosen in a group.
    pub policy: Box<dyn Fn(Group) -> Box<dyn Policy> + Send>,
    /// How groups are dispatched to; budgets are taken from the table's rows.
    pub dispatch: owner::Options,
}

/// Who a core is and how it is set up: with its inputs, all that its decisions depend on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Identity {
    /// The VM.
    pub vm: Vm,
    /// This life of the VM.
    pub incarnation: u64,
    /// Where it lies.
    pub place: Place,
    /// Network delays that estimates start from.
    pub distance: Distance,
    /// Queries that run at once over all services.
    pub places: u32,
    /// One in this many queries has its decisions logged.
    pub sample: u64,
}

impl Options {
    /// The core as it ships.
    pub fn shipped(identity: &Identity) -> Self {
        let Identity { vm, incarnation, place, distance, places, sample } = identity.clone();
        Self {
            entry: tgw_query::Options { vm, incarnation, places, adapt: true, sample, hedge: true },
            place,
            distance,
            policy: Box::new(|_| Box::new(Late)),
            dispatch: owner::Options { hedge: 1.0, ramp: true, ..owner::Options::default() },
        }
    }
}

/// A caller's order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Intake {
    /// Names the caller's request.
    pub token: Token,
    /// The caller's key.
    pub key: tgw_order::Key,
    /// Seconds since the key was made; `None` if it is from the future.
    pub age_s: Option<u64>,
    /// Time that the caller gives, if less than the row's.
    pub within: Option<Millis>,
    /// What is ordered.
    #[serde(with = "tgw_topology::text")]
    pub body: bytes::Bytes,
}

/// Listens to all that a core is told and does, as for a trace.
pub trait Tap: Send {
    /// The core is told something.
    fn input(&mut self, now: Millis, input: &Input);
    /// What it does about that.
    fn outputs(&mut self, outputs: &[Output]);
}

/// What the core is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Input {
    /// A caller's search.
    Submit {
        /// Names the caller's request.
        token: Token,
        /// The service.
        service: Service,
        /// Time that the caller gives, if less than the row's.
        within: Option<Millis>,
        /// What is searched for.
        #[serde(with = "tgw_topology::text")]
        body: bytes::Bytes,
    },
    /// The caller went away.
    Abandon(Token),
    /// A message from another VM.
    Peer(Vm, Message),
    /// The connection to a VM broke, or it is dead.
    Lost(Vm),
    /// A sending to an upstream has ended.
    Done {
        /// The sending.
        ticket: Ticket,
        /// The reply, or why there is none.
        result: Result<Reply, Failure>,
        /// The snapshots that the upstream says it holds.
        held: Option<Held>,
    },
    /// The upstream's own word, or the platform's, that it leaves.
    Leaving(Upstream),
    /// An upstream answers with another incarnation than before.
    Restarted(Upstream),
    /// An upstream's own word on the snapshots it holds.
    Held(Upstream, Held),
    /// A caller's order.
    Order(Intake),
    /// The store's answer to a call of the clerk.
    Store(tgw_order::Event),
    /// Services and upstreams as the platform describes them now.
    Catalog(Arc<Catalog>),
    /// A newer edition of the table.
    Table(Arc<Document>),
    /// The VMs as membership sees them now.
    Directory(Arc<Directory>),
    /// The VM was paused: others may have taken over what it owned.
    Paused,
    /// The VM leaves: refuse new queries, finish the rest.
    Drain,
    /// Time has passed.
    Tick,
}

/// What must be done.
#[derive(Debug)]
pub enum Output {
    /// Send a message to another VM.
    Tell(Vm, Message),
    /// Send a request to an upstream.
    Send {
        /// Names the sending in [`Input::Done`].
        ticket: Ticket,
        /// The upstream.
        upstream: Upstream,
        /// The request.
        leaf: Leaf,
    },
    /// Ask an upstream to stop.
    Abort {
        /// The sending.
        ticket: Ticket,
        /// The upstream.
        upstream: Upstream,
    },
    /// Answer a caller.
    Answer(Token, Answer),
    /// Tell a caller that the query was not run.
    Refuse(Token, Refusal),
    /// Tell a caller what came of an order.
    Ordered(Token, tgw_order::Outcome),
    /// A call of the platform's store for the clerk, answered by [`Input::Store`].
    Store(tgw_order::Action),
    /// Dispatching to these upstreams begins: connect to them.
    Connect(SmallVec<[Upstream; 4]>),
    /// Dispatching to these upstreams has ended: close their connections.
    Disconnect(SmallVec<[Upstream; 4]>),
    /// A decision for the log.
    Note(Note),
}

/// A decision for the log.
#[derive(Clone, Debug)]
pub enum Note {
    /// About a query, at its entry.
    Entry(EntryNote),
    /// About a leaf request or an upstream, at the owner.
    Dispatch(owner::Note),
    /// About a group.
    Placement(Placement),
}

/// A move of a group between VMs.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The group.
    pub group: Group,
    /// Its upstreams.
    pub upstreams: SmallVec<[Upstream; 4]>,
    /// Its owner now, as this VM sees it.
    pub owner: Option<Vm>,
    /// What this VM does, and why.
    pub what: &'static str,
}
