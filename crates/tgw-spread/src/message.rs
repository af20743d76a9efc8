//! Messages between VMs, over TCP and in packets.

use crate::{
    Delta, agreement::Digests, evacuations, gather, hop, reachability::Silence, start::PeerState,
    upstreams,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tgw_member::Record;
use tgw_quarantine::message as quarantine;
use tgw_route::{Limits, Route, Service};
use tgw_tenant::{Tenant, limit};

/// The versions that a VM holds; zero for what it does not hold.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// The version of its configuration.
    pub config: u64,
    /// The version of its list of upstreams.
    pub upstreams: u64,
    /// The version of its list of evacuated failure domains.
    pub evacuations: u64,
}

impl Versions {
    /// Whether any of these versions is newer than that of `other`.
    pub fn is_ahead_of(self, other: Self) -> bool {
        self.config > other.config
            || self.upstreams > other.upstreams
            || self.evacuations > other.evacuations
    }
}

/// A message over TCP.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Records of VMs, for anti-entropy; not answered.
    Records(Vec<Record>),
    /// Asks for changes after these versions; answered by [`Message::Update`] or [`Message::Busy`].
    Ask {
        /// The versions that the sender holds.
        #[serde(rename = "held")]
        versions: Versions,
        /// The address at which the sender can be asked in turn once it has the state.
        #[serde(rename = "listens")]
        listen_addr: SocketAddr,
    },
    /// The changes.
    #[serde(rename = "News")]
    Update(Box<Update>),
    /// Answers [`Message::Ask`] on a VM that already updates as many others as it may at once: VMs that it
    /// has just updated.
    Busy(Vec<SocketAddr>),
}

/// A packet between VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Membership.
    Member(Box<tgw_member::Packet>),
    /// Reports on overdue or slow upstreams.
    #[serde(rename = "Late")]
    PeerReports(Vec<PeerReport>),
    /// Asks the receiver to make a send.
    Hop(Box<hop::Request>),
    /// The result of a send that the receiver asked for.
    HopEnded(Box<hop::Reply>),
    /// The receiver may cancel a send, by its number: its result is not needed any more.
    HopCancelled(u64),
    /// Asks for the versions that the receiver holds; answered by [`Datagram::VersionReply`].
    #[serde(rename = "Seek")]
    VersionQuery,
    /// The versions that the sender holds.
    #[serde(rename = "Found")]
    VersionReply(PeerState),
    /// Upstreams that ended under requests, and quarantined requests.
    Quarantine(quarantine::Update),
    /// Digests of the lists that the sender holds.
    Digests {
        /// The digests.
        digests: Digests,
        /// They answer the receiver's digests, with which they do not agree.
        is_reply: bool,
    },
    /// Asks a VM that reported that it cannot reach the store whether it does again; answered by
    /// [`Datagram::StoreReply`] if so.
    StoreQuery,
    /// The store answers the sender again. When it did not, as times ago; `None` if it always did.
    StoreReply(Option<Silence>),
    /// Admission of tenants' requests.
    Limit(limit::Message),
    /// Queries that are handed over.
    Gather(gather::Message),
}

/// A report on an overdue or slow upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerReport {
    /// Its identity.
    pub upstream: std::rc::Rc<str>,
    /// When its process started, in ms of Unix time.
    pub started: u64,
    /// Whether a send to it is overdue now.
    pub overdue: bool,
    /// Its expected latency, in ms.
    #[serde(rename = "expected")]
    pub expected_latency_ms: f32,
}

/// The changes that the receiver lacks; `None` for a part in which the sender has nothing newer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The configuration.
    pub config: Option<ConfigUpdate>,
    /// The list of upstreams.
    pub upstreams: Option<upstreams::Update>,
    /// The evacuated failure domains.
    pub evacuations: Option<evacuations::Update>,
    /// Quarantined requests and the evidence against all others, for a VM that starts.
    #[serde(rename = "held")]
    pub quarantine: quarantine::Update,
}

/// Changes of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// Routes by name.
    pub routes: Delta<Route>,
    /// Services by name.
    pub services: Delta<Service>,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// Tenants by name; `None` where requests need no API key.
    pub tenants: Option<Delta<Tenant>>,
}
