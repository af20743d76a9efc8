//! What travels on links.

use serde::{Deserialize, Serialize};
use tgw_member::Record;
use tgw_node::Message;
use tgw_table::{Edit, document::Delta};
use tgw_topology::{
    Vm,
    catalog::{Part, Version},
};

/// One frame on a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Letter {
    /// The VM that sends it.
    pub from: Vm,
    /// That VM's life.
    pub incarnation: u64,
    /// What it carries.
    pub parcel: Parcel,
}

/// What a frame carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Parcel {
    /// Messages between cores.
    Messages(Vec<Message>),
    /// Records of VMs, for comparison.
    Records(Vec<Record>),
    /// Asks for what changed after these versions.
    Ask {
        /// The edition of the table that the asker has.
        edit: Edit,
        /// The version of the catalog that the asker has.
        world: Version,
    },
    /// What changed in the table.
    Table(Delta),
    /// What changed in the catalog.
    World {
        /// The version that the catalog is as new as.
        version: Version,
        /// Services that changed.
        parts: Vec<Part>,
    },
}
