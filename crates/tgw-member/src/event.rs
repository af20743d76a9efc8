//! Inputs and outputs of the state machine.

use crate::{Packet, Record};
use std::net::SocketAddr;
use tgw_clock::Millis;
use tgw_topology::Vm;

/// An input of the state machine.
#[derive(Debug)]
pub enum Event {
    /// A packet was received.
    Packet(SocketAddr, Box<Packet>),
    /// Another VM sent its records after a comparison.
    Records(Vec<Record>),
    /// The platform has listed seed addresses.
    Seeds(Vec<SocketAddr>),
    /// These VMs have published their addresses, as they may not have found any other VM yet.
    Call(Vec<SocketAddr>),
    /// This edition of the table is in force on this VM.
    Edition(u64),
    /// The catalog of this version is in use on this VM.
    CatalogVersion(u64),
    /// The list of evacuated failure domains of this version is in force on this VM.
    EvacuationsVersion(u64),
    /// Whether this VM cannot reach the platform.
    PlatformUnreachable(bool),
    /// This VM leaves.
    Leave,
    /// Time has passed.
    Tick,
}

/// An output of the state machine, to be carried out by its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a packet.
    Send(SocketAddr, Box<Packet>),
    /// Send these records to another VM reliably.
    SendRecords(SocketAddr, Vec<Record>),
    /// The directory has changed.
    DirectoryChanged,
    /// Another VM has a newer edition of the table, a newer catalog or a newer list of evacuations.
    PeerNewer {
        /// The other VM.
        vm: Vm,
        /// Its address.
        addr: SocketAddr,
        /// Its edition of the table.
        edition: u64,
        /// The version of its catalog.
        catalog_version: u64,
        /// The version of its list of evacuated failure domains.
        evacuations_version: u64,
    },
    /// This VM was paused for this long: other VMs may have taken over its groups.
    Paused(Millis),
}
