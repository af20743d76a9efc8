//! What VMs ask one another over TCP.

use crate::{Delta, evacuations, hop, start::Found, upstreams};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tgw_member::Record;
use tgw_quarantine::message as quarantine;
use tgw_route::{Limits, Route, Service};

/// How far a VM is; zero for what it does not hold.
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
    /// Whether it is further than `other` in anything.
    pub fn is_beyond(self, other: Self) -> bool {
        self.config > other.config
            || self.upstreams > other.upstreams
            || self.evacuations > other.evacuations
    }
}

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Records of VMs, for comparison; not answered.
    Records(Vec<Record>),
    /// Asks for what changed after these versions; answered by [`Message::News`].
    Ask {
        /// How far the asker is.
        held: Versions,
        /// Where the asker can be asked once it was told.
        listens: SocketAddr,
    },
    /// What changed.
    News(Box<News>),
    /// Answers [`Message::Ask`] where as many others are being told as this VM tells at once: VMs that were
    /// told just now.
    Busy(Vec<SocketAddr>),
}

/// One packet between VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Membership.
    Member(Box<tgw_member::Packet>),
    /// Upstreams that are late or slow.
    Late(Vec<Late>),
    /// A send that the receiver is asked to make.
    Hop(Box<hop::Request>),
    /// How a send ended that the receiver asked for.
    HopEnded(Box<hop::Reply>),
    /// The receiver may end a send, by its number: nobody waits for it.
    HopCancelled(u64),
    /// Asks a VM how far it is; answered by [`Datagram::Found`].
    Seek,
    /// How far the sender is.
    Found(Found),
    /// Upstreams that ended under requests, and requests that are held back.
    Quarantine(quarantine::News),
}

/// An upstream that is late or slow.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Late {
    /// Its identity.
    pub upstream: std::rc::Rc<str>,
    /// When its process started, in ms of Unix time.
    pub started: u64,
    /// A send to it is overdue now.
    pub overdue: bool,
    /// The latency that is expected of it, in ms.
    pub expected: f32,
}

/// What changed, where the answering VM is further.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// The configuration.
    pub config: Option<ConfigNews>,
    /// The list of upstreams.
    pub upstreams: Option<upstreams::News>,
    /// The evacuated failure domains.
    pub evacuations: Option<evacuations::News>,
    /// Requests that are held back, for a VM that starts.
    pub held: Vec<quarantine::QuarantineState>,
}

/// What changed in the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigNews {
    /// Routes by name.
    pub routes: Delta<Route>,
    /// Services by name.
    pub services: Delta<Service>,
    /// What callers may send.
    pub limits: Limits,
}
