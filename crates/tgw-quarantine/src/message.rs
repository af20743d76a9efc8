//! Quarantine messages between VMs.

use crate::Fingerprint;
use serde::{Deserialize, Serialize};

/// Rounds of a request that were known when one of its sends was made.
///
/// Rounds are counted like logical time: an upstream that ends under a send made with round 1 known makes round 2,
/// whichever VM saw it. Sends made without knowing of one another, such as the first ones of a search to all of its
/// shards, make one round together: a rack that loses power ends them all, which is no evidence against any of them.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rounds {
    /// Rounds at all services together.
    #[serde(rename = "all")]
    pub total: u8,
    /// Rounds at the service of the send.
    pub service: u8,
}

/// An upstream's process that ended while it ran a request.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Termination {
    /// Fingerprint of the request.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// The upstream's service, hashed.
    pub service: u32,
    /// The upstream's incarnation, hashed.
    pub upstream: u32,
    /// Rounds known when the request was sent.
    #[serde(rename = "seen")]
    pub rounds: Rounds,
}

/// Quarantine of a request, begun or ended, at one service or everywhere.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineState {
    /// Fingerprint of the request.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// Hash of the service where the state applies; `None` for all services.
    pub service: Option<u32>,
    /// Number of quarantines and releases so far: odd while the request is quarantined.
    #[serde(rename = "turn")]
    pub epoch: u16,
    /// Whether it is known to be this request that ends the upstreams, not one that ran beside it.
    pub confirmed: bool,
    /// Trials since the quarantine began or was confirmed.
    pub trials: u8,
    /// Time left until the next trial, in whole ms.
    pub wait: u32,
}

impl QuarantineState {
    /// The state of a request that was never quarantined. `Tracker` uses it to name the request whose state is to be
    /// reported; the evidence against the request then fills in `epoch`, `trials` and `wait`.
    pub fn initial(fingerprint: Fingerprint) -> Self {
        Self { fingerprint, service: None, epoch: 0, confirmed: false, trials: 0, wait: 0 }
    }
}

/// When an upstream answered a request, compared with the ends of upstreams under it.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Shortly before the first end.
    Before,
    /// After the last end.
    After,
}

/// An answer to a request under which upstreams ended.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Fingerprint of the request.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// Hash of the service whose evidence it concerns; `None` for that of all services together.
    pub service: Option<u32>,
    /// When it was answered.
    pub order: Order,
}

/// An update from one VM to others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Upstreams that ended, in the order in which the sender learnt of them.
    #[serde(rename = "ends")]
    pub terminations: Vec<Termination>,
    /// Requests that were quarantined or released.
    #[serde(rename = "holds")]
    pub states: Vec<QuarantineState>,
    /// Answers to requests under which upstreams ended.
    pub answers: Vec<Answer>,
}

impl Update {
    /// Whether the update contains nothing.
    pub fn is_empty(&self) -> bool {
        self.terminations.is_empty() && self.states.is_empty() && self.answers.is_empty()
    }
}
