//! Inputs and outputs of a plan.

use crate::{
    fleet::{Hop, Key, Ticket},
    load::Load,
    merge::PartLimits,
};
use bytes::Bytes;
use derive_more::Display;
use http::{HeaderMap, HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};
use tgw_clock::Millis;
use tgw_quarantine::message::Rounds;

/// A complete reply of an upstream.
#[derive(Clone, Debug)]
pub struct Response {
    /// Its status.
    pub status: StatusCode,
    /// Its end-to-end headers.
    pub headers: HeaderMap,
    /// The upstream's signature, if the reply has one.
    pub signature: Option<HeaderValue>,
    /// The load that the upstream reported with it.
    pub load: Option<Load>,
    /// Its complete body.
    pub body: Bytes,
}

impl Response {
    /// Whether it is a success that the upstream signed.
    pub fn is_signed_success(&self) -> bool {
        self.status.is_success() && self.signature.is_some()
    }
}

/// How one send ended.
#[derive(Debug)]
pub enum SendResult {
    /// With a complete reply.
    Answered(Box<Response>),
    /// The upstream stated that it did not execute the request.
    Declined,
    /// No connection was made, so nothing was sent.
    NotConnected,
    /// The peer VM did not send it, as it had no room or suspects the upstream.
    PeerRefused,
    /// The reply was truncated, corrupt or reset: the request may have been executed.
    Broken,
    /// The upstream's process terminated: the request may have been executed, and may be the cause.
    Terminated,
    /// No reply by the deadline: the request may have been executed.
    TimedOut,
}

/// An event for a plan.
#[derive(Debug)]
pub enum Event {
    /// The request arrived.
    Start,
    /// A send of the plan ended.
    SendEnded {
        /// The part that was sent.
        part: usize,
        /// The upstream it was sent to.
        upstream: Key,
        /// How the send ended.
        result: SendResult,
    },
    /// The time returned by [`crate::Plan::next_wakeup`] has come.
    Tick,
}

/// Why a send is made.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq)]
pub enum Trigger {
    /// It is the first of its part.
    #[display("first")]
    First,
    /// The previous send of the part is late.
    #[display("hedge")]
    Hedge,
    /// The previous send of the part failed.
    #[display("retry")]
    Retry,
}

/// Whether an answer needs a part to be a success.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Requirement {
    /// Without the part the answer is a failure.
    Required,
    /// Without the part the answer is a success with less coverage.
    Optional,
}

/// A send to be made.
#[derive(Clone, Debug)]
pub struct SendOrder {
    /// The index of the part, from zero.
    pub part: usize,
    /// The upstream and the number of the send.
    pub ticket: Ticket,
    /// Why it is made.
    pub trigger: Trigger,
    /// How it reaches the upstream.
    pub hop: Hop,
    /// Fallback send: no other upstream is left, so it is made even if the upstream is suspected.
    pub fallback: bool,
    /// Whether it is charged to the budget of the VM that makes it, as this VM's own is exhausted.
    pub lent: bool,
    /// The upstream of the part's previous send.
    pub previous: Option<Key>,
    /// Limits on what the answer can use of the part; `None` where the reply is forwarded
    /// unchanged.
    pub limits: Option<PartLimits>,
    /// Upstream terminations known for the request.
    pub seen: Rounds,
}

/// The answer to a caller.
#[derive(Debug)]
pub enum Answer {
    /// The reply of an upstream, unchanged.
    Forward(Box<Response>),
    /// The greatest records of the parts received.
    Merged {
        /// The signatures of these parts.
        signatures: Vec<HeaderValue>,
        /// The number of parts not received.
        missing: usize,
        /// The records.
        body: Bytes,
    },
    /// The request was not executed, and never will be.
    Refused {
        /// When the caller may retry.
        retry_after: Millis,
        /// The reason.
        cause: Cause,
    },
    /// The request failed; it may have been executed.
    Failed(Cause),
    /// The deadline has passed; the request may have been executed.
    TimedOut,
}

/// Why a request was not served.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// A service has no known upstream that is not draining.
    NoUpstream,
    /// All upstreams of a service may be cold, and their rate limit is reached.
    Cold,
    /// Upstreams that could serve the request are outside its home regions.
    Residency,
    /// All upstreams hold as many sends as this VM may make, or declined the request.
    Full,
    /// Upstreams failed, and no further send was allowed.
    UpstreamsFailed,
    /// Too few parts can still be received.
    TooFewParts,
    /// The request is quarantined, as upstreams terminate under it.
    Quarantined,
    /// Callers ask for more queries than the upstreams can serve in time.
    Overload,
}

impl Cause {
    /// The name in logs and metrics.
    pub fn text(self) -> &'static str {
        match self {
            Self::NoUpstream => "no upstream",
            Self::Cold => "cold upstreams bear no more",
            Self::Residency => "no upstream in its home regions",
            Self::Full => "all upstreams full",
            Self::UpstreamsFailed => "upstreams failed",
            Self::TooFewParts => "too few parts",
            Self::Quarantined => "upstreams end under it",
            Self::Overload => "overload",
        }
    }
}

/// A send that was wanted but not made.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Withheld {
    /// The index of its part.
    pub part: usize,
    /// Why it was wanted.
    pub trigger: Trigger,
    /// Why it was not made.
    pub reason: Reason,
}

/// Why a send was not made.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// The route allows no more attempts.
    #[display("attempts used up")]
    Attempts,
    /// No untried upstream has room.
    #[display("no upstream with room")]
    Upstream,
    /// No upstream is in the request's home regions.
    #[display("no upstream in its home regions")]
    Residency,
    /// All upstreams may be cold, and this VM may not send to them now.
    #[display("cold upstreams bear no more")]
    Cold,
    /// The budget for extra sends is exhausted.
    #[display("budget used up")]
    Budget,
    /// The request is quarantined, as upstreams terminate under it.
    #[display("upstreams end under it")]
    Quarantined,
    /// Other queries wait for the upstreams, and the answer does not need the part.
    #[display("overload")]
    Overload,
}
