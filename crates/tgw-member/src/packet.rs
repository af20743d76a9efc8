//! What VMs send one another over UDP.

use crate::Record;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::net::SocketAddr;
use tgw_topology::{Vm, place::Domain};

/// Most news in one packet, so that it stays below the size that networks carry whole.
pub const NEWS: usize = 12;

/// One packet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// The VM that sends it.
    pub from: Vm,
    /// The edition of the table in force there.
    pub edit: u64,
    /// The version of the catalog in use there.
    pub world: u64,
    /// The version of the list of evacuated failure domains that is in force there. Traces recorded before do not
    /// hold it.
    #[serde(default)]
    pub evacuations: u64,
    /// What it is for.
    pub body: Body,
    /// News that travels along.
    pub news: SmallVec<[News; 2]>,
}

/// What a packet is for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an acknowledgement.
    Ping {
        /// Repeated in the acknowledgement.
        seq: u64,
    },
    /// A ping of a VM that knows no other and asks for all records.
    Join {
        /// Repeated in the acknowledgement.
        seq: u64,
    },
    /// Answers a ping.
    Ack {
        /// The ping's number.
        seq: u64,
    },
    /// Asks a third VM to ping another and to pass the acknowledgement on.
    Indirect {
        /// Repeated in the acknowledgement.
        seq: u64,
        /// The VM to be pinged.
        target: SocketAddr,
    },
    /// News only.
    Push,
    /// The edition in force, told to the relays of the domain.
    Report,
    /// The state of the records kept, by domain, for comparison.
    Hashes(SmallVec<[(Domain, u64); 4]>),
}

/// One piece of news.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum News {
    /// A VM's record.
    Record(Record),
    /// Whether a domain can be reached from the sender's domain.
    Reach {
        /// The domain from which it was tried.
        seen_from: Domain,
        /// The domain that was tried.
        domain: Domain,
        /// Whether it is cut off.
        cut: bool,
        /// Higher for later news of the same kind.
        stamp: u64,
    },
    /// What a domain's live VMs have in force.
    Force {
        /// The domain.
        domain: Domain,
        /// The lowest edition in force at any of them.
        edit: u64,
        /// How many are below the highest known there.
        behind: u16,
        /// One of these.
        example: Option<Vm>,
        /// Higher for later news of the same kind.
        stamp: u64,
    },
}
