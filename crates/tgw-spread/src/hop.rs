//! Sends that one VM asks another to make, on connections that the other VM holds.

use serde::{Deserialize, Serialize};
use std::rc::Rc;
use tgw_forward::load::Load;
use tgw_quarantine::{Fingerprint, message::Rounds};
use tgw_tenant::Principal;

/// Asks a VM to send a request to one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Identifies the request among those of the same VM.
    pub number: u64,
    /// The identity of the upstream.
    pub upstream: Rc<str>,
    /// When its process started, in ms of Unix time.
    pub started: u64,
    /// Whether to send even if the upstream is suspected, as no other one is left.
    #[serde(rename = "insist")]
    pub fallback: bool,
    /// Whether to charge the send to the receiver's budget, as the sender's is used up.
    pub lent: bool,
    /// Most records of the answer that the reply is a part of; zero if the whole reply is wanted.
    pub limit: u64,
    /// The least record that can be in that answer.
    #[serde(rename = "floor")]
    pub min_record: Option<[u8; 16]>,
    /// Time left for the reply, in whole ms.
    #[serde(rename = "left")]
    pub time_left_ms: u64,
    /// The method.
    pub method: String,
    /// The path and query, as the caller sent them.
    pub uri: String,
    /// End-to-end headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Vec<u8>,
    /// Fingerprint of the request; the receiver cannot compute it, as it does not know the caller.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// Rounds in which upstreams ended under the request, as the sender knows them.
    #[serde(rename = "seen")]
    pub rounds: Rounds,
    /// Who the request is made for; `None` where it needed no API key.
    pub principal: Option<Principal>,
}

/// The result of a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The number of the request.
    pub number: u64,
    /// How the send ended.
    pub outcome: Outcome,
}

/// How the send ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// With a complete reply.
    Answered {
        /// Its status.
        status: u16,
        /// The upstream's signature, if there is one.
        #[serde(rename = "seal")]
        signature: Option<Vec<u8>>,
        /// The load that the upstream reported in the reply.
        load: Option<Load>,
        /// Its whole body.
        body: Vec<u8>,
    },
    /// Not sent: the VM has as many sends for other VMs in flight as it may.
    #[serde(rename = "Full")]
    AtCapacity,
    /// Not sent: the VM has no free connection to the upstream, or suspects it.
    Busy,
    /// Not sent: the VM does not know the upstream, or could not connect to it.
    #[serde(rename = "Unsent")]
    NotConnected,
    /// The upstream stated that it did not run the request.
    Declined,
    /// The reply was cut off, corrupted, or too large for a packet: the request may have run.
    Broken,
    /// No reply in time: the request may have run.
    #[serde(rename = "Silent")]
    TimedOut,
    /// The upstream's process ended: the request may have run.
    #[serde(rename = "Gone")]
    Terminated,
}
