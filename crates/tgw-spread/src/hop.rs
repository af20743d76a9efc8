//! A send that one VM asks another to make, on connections that the other holds.

use serde::{Deserialize, Serialize};
use std::rc::Rc;
use tgw_forward::load::Load;
use tgw_quarantine::{Fingerprint, message::Seen};

/// Asks a VM to send a request to one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Told apart from other requests of the same VM by this.
    pub number: u64,
    /// The identity of the upstream.
    pub upstream: Rc<str>,
    /// When its process started, in ms of Unix time.
    pub started: u64,
    /// Send also if the upstream is doubted: there is no other left.
    pub insist: bool,
    /// Charge it to the receiver's budget, as the sender's is used up.
    pub lent: bool,
    /// Records of the answer that this is a part of; zero where the reply is wanted whole.
    pub limit: u64,
    /// The least record that can be in that answer.
    pub floor: Option<[u8; 16]>,
    /// Time left for its reply, in whole ms.
    pub left: u64,
    /// The method.
    pub method: String,
    /// The path and query, as the caller sent them.
    pub uri: String,
    /// End-to-end headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Vec<u8>,
    /// Tells which requests are the same: its caller is known only where it came in.
    pub print: Fingerprint,
    /// What the sender knows of upstreams that ended under it.
    pub seen: Seen,
}

/// How such a send ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// Of the request.
    pub number: u64,
    /// How.
    pub outcome: Outcome,
}

/// How the send ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// With a complete reply.
    Answered {
        /// Its status.
        status: u16,
        /// The upstream's signature, if it bears one.
        seal: Option<Vec<u8>>,
        /// The load that the upstream told with it.
        load: Option<Load>,
        /// Its whole body.
        body: Vec<u8>,
    },
    /// Not sent: the VM makes as many sends for others as it may.
    Full,
    /// Not sent: the VM has no connection left to the upstream, or doubts it.
    Busy,
    /// Not sent: the upstream is not known here, or no connection could be made.
    Unsent,
    /// The upstream stated that it did not run the request.
    Declined,
    /// Cut, spoiled, or too large for a packet: it may have run.
    Broken,
    /// No reply in time: it may have run.
    Silent,
    /// The upstream's process ended: it may have run.
    Gone,
}
