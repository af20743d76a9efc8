//! What VMs tell one another.

use crate::Fingerprint;
use serde::{Deserialize, Serialize};

/// How far the rounds of a request had come, as known where one of its sends was made.
///
/// Counted as logical time is: an upstream that ends under a send that knew of round 1 makes round 2, whoever saw
/// it. Sends that were made without knowing of one another, as the first ones of a search to all of its shards, make
/// one round between them: a rack that loses power ends them all, and is no evidence against any of them.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// Of the request wherever it was sent.
    pub all: u8,
    /// Of the request at the service of the send.
    pub service: u8,
}

/// An upstream ended under a request.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The request.
    pub print: Fingerprint,
    /// The upstream's service, hashed.
    pub service: u32,
    /// The upstream's incarnation, hashed.
    pub upstream: u32,
    /// What was known where it was sent.
    pub seen: Seen,
}

/// Whether a request is held back.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The request.
    pub print: Fingerprint,
    /// The service where it is held back, hashed; `None` where it is everywhere.
    pub service: Option<u32>,
    /// How often it was held back and let go: odd while it is held back.
    pub turn: u16,
    /// How often it was tried again since.
    pub trials: u8,
    /// Time left until it may be tried again, in whole ms.
    pub wait: u32,
}

impl Hold {
    /// A request that was never held back.
    pub fn of(print: Fingerprint) -> Self {
        Self { print, service: None, turn: 0, trials: 0, wait: 0 }
    }
}

/// What one VM tells others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// Upstreams that ended, in the order in which that was learnt.
    pub ends: Vec<End>,
    /// Requests that are held back, or were let go.
    pub holds: Vec<Hold>,
}

impl News {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.holds.is_empty()
    }
}
