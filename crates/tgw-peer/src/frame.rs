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
pub struct Frame {
    /// The sending VM.
    pub from: Vm,
    /// The sending VM's incarnation.
    pub incarnation: u64,
    /// The frame's payload.
    #[serde(rename = "parcel")]
    pub payload: Payload,
}

/// The payload of a frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// Messages between the decision cores of two VMs.
    Messages(Vec<Message>),
    /// Membership records, for anti-entropy.
    Records(Vec<Record>),
    /// Requests the changes since these versions.
    #[serde(rename = "Ask")]
    RequestUpdates {
        /// The edition of the table at the requesting VM.
        #[serde(rename = "edit")]
        edition: Edition,
        /// The version of the catalog at the requesting VM.
        #[serde(rename = "world")]
        catalog_version: Version,
    },
    /// Changes of the table.
    #[serde(rename = "Table")]
    TableUpdate(Delta),
    /// Changes of the catalog.
    #[serde(rename = "World")]
    CatalogUpdate {
        /// The version of the catalog with these changes.
        version: Version,
        /// The services that changed.
        #[serde(rename = "parts")]
        updates: Vec<ServiceUpdate>,
    },
}
