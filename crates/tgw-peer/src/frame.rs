//! Frames that are sent over links.

use serde::{Deserialize, Serialize};
use tgw_member::Record;
use tgw_node::Message;
use tgw_table::{Edition, document::Delta};
use tgw_topology::{
    Vm,
    catalog::{ServiceUpdate, Version},
};

/// One frame on a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Letter {
    /// The sending VM.
    pub from: Vm,
    /// The sending VM's incarnation.
    pub incarnation: u64,
    /// The frame's payload.
    pub parcel: Parcel,
}

/// The payload of a frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Parcel {
    /// Messages between the decision cores of two VMs.
    Messages(Vec<Message>),
    /// Membership records, for anti-entropy.
    Records(Vec<Record>),
    /// Requests the changes since these versions.
    Ask {
        /// The edition of the table at the requesting VM.
        edit: Edition,
        /// The version of the catalog at the requesting VM.
        world: Version,
    },
    /// Changes of the table.
    Table(Delta),
    /// Changes of the catalog.
    World {
        /// The version of the catalog with these changes.
        version: Version,
        /// The services that changed.
        parts: Vec<ServiceUpdate>,
    },
}
