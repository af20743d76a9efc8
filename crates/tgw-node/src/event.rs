use crate::Message;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::sync::Arc;
use tgw_clock::Millis;
use tgw_dispatch::{
    Leaf,
    leaf::{Failure, HeldSnapshots, Reply},
    owner::{self, SendId},
    policy::{LateBinding, Policy},
};
use tgw_owner::Directory;
use tgw_query::{
    Answer,
    answer::Refusal,
    event::{Decision as QueryDecision, Token},
};
use tgw_table::Document;
use tgw_topology::{Catalog, Group, Place, Service, Upstream, Vm, place::Latency};

/// Options of the core.
pub struct Options {
    /// Options of the query fan-out.
    pub entry: tgw_query::Options,
    /// The VM's region and failure domain.
    pub place: Place,
    /// Network delays that estimates start from.
    pub network_delays: Latency,
    /// Makes the policy that chooses upstreams in a group.
    pub policy: Box<dyn Fn(Group) -> Box<dyn Policy> + Send>,
    /// Options of the dispatch to groups; budgets are replaced by those in the table's rows.
    pub dispatch: owner::Options,
}

/// Identity and configuration of a core. Its decisions depend on these and its inputs only.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Identity {
    /// The VM.
    pub vm: Vm,
    /// The VM's incarnation.
    pub incarnation: u64,
    /// Its region and failure domain.
    pub place: Place,
    /// Network delays that estimates start from.
    #[serde(rename = "distance")]
    pub network_delays: Latency,
    /// Most queries that run at once, over all services.
    #[serde(rename = "places")]
    pub max_running: u32,
    /// The decisions of one in this many queries are logged.
    #[serde(rename = "sample")]
    pub log_sample_interval: u64,
}

impl Options {
    /// The options used in production.
    pub fn production(identity: &Identity) -> Self {
        let Identity { vm, incarnation, place, network_delays, max_running, log_sample_interval } =
            identity.clone();
        Self {
            entry: tgw_query::Options {
                vm,
                incarnation,
                max_running,
                adaptive_limits: true,
                log_sample_interval,
                hedge_across_groups: true,
            },
            place,
            network_delays,
            policy: Box::new(|_| Box::new(LateBinding)),
            dispatch: owner::Options {
                hedge_budget: 1.0,
                slow_start: true,
                ..owner::Options::default()
            },
        }
    }
}

/// A caller's order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct IncomingOrder {
    /// Identifies the caller's request.
    pub token: Token,
    /// The caller's key.
    pub key: tgw_order::Key,
    /// Seconds since the key was made; `None` if the key's time is in the future.
    #[serde(rename = "age_s")]
    pub key_age_s: Option<u64>,
    /// The caller's timeout; applies if it is shorter than the one in the service's row.
    #[serde(rename = "within")]
    pub timeout: Option<Millis>,
    /// The body of the order.
    #[serde(with = "tgw_topology::bytes_as_text")]
    pub body: bytes::Bytes,
}

/// Observes all inputs and outputs of a core, for example to record a trace.
pub trait Observer: Send {
    /// Called with each input before it is handled.
    fn input(&mut self, now: Millis, input: &Input);
    /// Called with the outputs of that input.
    fn outputs(&mut self, outputs: &[Output]);
}

/// An input of the core.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Input {
    /// A caller's search.
    Submit {
        /// Identifies the caller's request.
        token: Token,
        /// The service.
        service: Service,
        /// The caller's timeout; applies if it is shorter than the one in the service's row.
        #[serde(rename = "within")]
        timeout: Option<Millis>,
        /// The body of the search.
        #[serde(with = "tgw_topology::bytes_as_text")]
        body: bytes::Bytes,
    },
    /// The caller disconnected.
    #[serde(rename = "Abandon")]
    CallerDisconnected(Token),
    /// A message from another VM.
    #[serde(rename = "Peer")]
    MessageReceived(Vm, Message),
    /// The connection to a VM broke, or the VM is dead.
    #[serde(rename = "Lost")]
    Disconnected(Vm),
    /// A send to an upstream has ended.
    #[serde(rename = "Done")]
    SendEnded {
        /// The send.
        #[serde(rename = "ticket")]
        send_id: SendId,
        /// The reply, or why there is none.
        result: Result<Reply, Failure>,
        /// The snapshots that the upstream says it holds.
        #[serde(rename = "held")]
        snapshots: Option<HeldSnapshots>,
    },
    /// The upstream or the platform reports that the upstream leaves.
    Leaving(Upstream),
    /// An upstream answered with a different incarnation than before.
    Restarted(Upstream),
    /// An upstream reported the snapshots that it holds.
    #[serde(rename = "Held")]
    SnapshotsReported(Upstream, HeldSnapshots),
    /// A caller's order.
    Order(IncomingOrder),
    /// The store's answer to a call requested by [`Output::CallStore`].
    #[serde(rename = "Store")]
    StoreAnswered(tgw_order::Event),
    /// The platform's current description of services and upstreams.
    Catalog(Arc<Catalog>),
    /// A newer edition of the table.
    Table(Arc<Document>),
    /// Membership's current view of the VMs.
    Directory(Arc<Directory>),
    /// The VM was paused: other VMs may have taken over its groups.
    Paused,
    /// The VM leaves: reject new queries, finish those in flight.
    Drain,
    /// Time has passed.
    Tick,
}

/// An output of the core: what its caller must do.
#[derive(Debug)]
pub enum Output {
    /// Send a message to another VM.
    SendMessage(Vm, Message),
    /// Send a request to an upstream.
    Send {
        /// Identifies the send in [`Input::SendEnded`].
        send_id: SendId,
        /// The upstream.
        upstream: Upstream,
        /// The request.
        leaf: Leaf,
    },
    /// Cancel a request at an upstream.
    Cancel {
        /// The send.
        send_id: SendId,
        /// The upstream.
        upstream: Upstream,
    },
    /// Answer a caller.
    Answer(Token, Answer),
    /// Reject a caller's query without running it.
    Refuse(Token, Refusal),
    /// Answer a caller's order.
    AnswerOrder(Token, tgw_order::Outcome),
    /// Call the platform's store to claim or record orders; answered by [`Input::StoreAnswered`].
    CallStore(tgw_order::Action),
    /// Connect to these upstreams, as dispatch to them begins.
    Connect(SmallVec<[Upstream; 4]>),
    /// Close the connections to these upstreams, as dispatch to them has ended.
    Disconnect(SmallVec<[Upstream; 4]>),
    /// A decision for the log.
    LogDecision(Decision),
}

/// A decision for the log.
#[derive(Clone, Debug)]
pub enum Decision {
    /// About a query, at the VM that received it.
    Query(QueryDecision),
    /// About a leaf request or an upstream, at the group's owner.
    Dispatch(owner::Decision),
    /// About the ownership of a group.
    Placement(Placement),
}

/// A change in how this VM serves a group.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The group.
    pub group: Group,
    /// Its upstreams.
    pub upstreams: SmallVec<[Upstream; 4]>,
    /// Its current owner in this VM's view of membership.
    pub owner: Option<Vm>,
    /// The reason for the change.
    pub reason: &'static str,
}
