//! Packets that VMs exchange over UDP.

use crate::Record;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::net::SocketAddr;
use tgw_topology::{Vm, place::Domain};

/// Keeps a packet below the size that networks carry without fragmentation.
pub const MAX_UPDATES_PER_PACKET: usize = 12;

/// One packet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// The VM that sends it.
    pub from: Vm,
    /// The edition of the table in force at the sender.
    #[serde(rename = "edit")]
    pub edition: u64,
    /// The version of the catalog in use at the sender.
    #[serde(rename = "world")]
    pub catalog_version: u64,
    /// The version of the list of evacuated failure domains in force at the sender. Defaults to 0
    /// for recorded traces that lack it.
    #[serde(default, rename = "evacuations")]
    pub evacuations_version: u64,
    /// The packet's purpose.
    pub body: Body,
    /// Membership updates piggybacked on the packet.
    #[serde(rename = "news")]
    pub updates: SmallVec<[Update; 2]>,
}

/// The purpose of a packet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an acknowledgement.
    Ping {
        /// Repeated in the acknowledgement.
        seq: u64,
    },
    /// A ping from a VM that knows no other and asks for all records.
    Join {
        /// Repeated in the acknowledgement.
        seq: u64,
    },
    /// Answers a ping.
    Ack {
        /// The ping's number.
        seq: u64,
    },
    /// Asks a third VM to ping the target and to forward the acknowledgement.
    Indirect {
        /// Repeated in the acknowledgement.
        seq: u64,
        /// The VM to be pinged.
        target: SocketAddr,
    },
    /// Carries only updates and the sender's versions.
    Push,
    /// Reports the edition in force to the relays of the domain.
    Report,
    /// A hash of the sender's records for each domain, for anti-entropy.
    Hashes(SmallVec<[(Domain, u64); 4]>),
}

/// One update that VMs pass on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// A VM's record.
    Record(Record),
    /// Whether a domain can be reached from the sender's domain.
    #[serde(rename = "Reach")]
    Reachability {
        /// The domain that probed.
        seen_from: Domain,
        /// The domain that was probed.
        domain: Domain,
        /// Whether the probed domain is unreachable.
        #[serde(rename = "cut")]
        unreachable: bool,
        /// Higher for later updates on the same domain.
        stamp: u64,
    },
    /// How far the newest edition has been adopted by a domain's live VMs.
    #[serde(rename = "Force")]
    Rollout {
        /// The domain.
        domain: Domain,
        /// The lowest edition in force at any live VM of the domain.
        #[serde(rename = "edit")]
        lowest_edition: u64,
        /// The number of VMs below the domain's highest edition.
        behind: u16,
        /// One of the VMs that are behind.
        example: Option<Vm>,
        /// Higher for later updates on the same domain.
        stamp: u64,
    },
}
