//! What a plan is told and what it says.

use crate::{
    fleet::{Hop, Key, Ticket},
    load::Load,
    merge::Cut,
};
use bytes::Bytes;
use derive_more::Display;
use http::{HeaderMap, HeaderValue, StatusCode};
use tgw_clock::Millis;
use tgw_quarantine::message::Seen;

/// A complete reply of an upstream.
#[derive(Clone, Debug)]
pub struct Response {
    /// Its status.
    pub status: StatusCode,
    /// Its end-to-end headers.
    pub headers: HeaderMap,
    /// The upstream's signature, if it bears one.
    pub seal: Option<HeaderValue>,
    /// The load that the upstream told with it.
    pub load: Option<Load>,
    /// Its whole body.
    pub body: Bytes,
}

impl Response {
    /// Whether it is a success that the upstream signed.
    pub fn good(&self) -> bool {
        self.status.is_success() && self.seal.is_some()
    }
}

/// How one send ended.
#[derive(Debug)]
pub enum Ended {
    /// With a complete reply.
    Answered(Box<Response>),
    /// The upstream stated that it did not run the request.
    Declined,
    /// No connection was made, so nothing was sent.
    Unsent,
    /// The VM that was asked to send it did not: it had no room, or doubts the upstream.
    Busy,
    /// The reply was cut, spoiled or reset: the request may have run.
    Broken,
    /// The upstream's process ended: the request may have run, and may be why.
    Gone,
    /// No reply by the deadline: the request may have run.
    Silent,
}

/// What a plan is told.
#[derive(Debug)]
pub enum Event {
    /// The request arrived.
    Start,
    /// A send of the plan ended.
    Ended {
        /// The part it was for.
        part: usize,
        /// The upstream it was meant for.
        upstream: Key,
        /// How.
        ended: Ended,
    },
    /// The time of [`crate::Plan::wake`] has come.
    Tick,
}

/// Why a send is made.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq)]
pub enum Why {
    /// The first of its part.
    #[display("first")]
    First,
    /// The one before is late.
    #[display("hedge")]
    Hedge,
    /// The one before failed.
    #[display("retry")]
    Retry,
}

/// What a part is to its answer.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Need {
    /// Without it the answer is no success.
    Least,
    /// Without it the answer is a success that covers less.
    Raise,
}

/// A send to be made.
#[derive(Clone, Debug)]
pub struct Order {
    /// The part of the request, from zero.
    pub part: usize,
    /// The upstream and the number of the send.
    pub ticket: Ticket,
    /// Why.
    pub why: Why,
    /// The way to the upstream.
    pub hop: Hop,
    /// There is no other upstream left: it is to be sent also where it is doubted.
    pub insist: bool,
    /// It is charged to the budget of the VM that makes it for this one, whose own is used up.
    pub lent: bool,
    /// The upstream of the send that it makes up for.
    pub after: Option<Key>,
    /// What the answer takes of the part; `None` where the reply is passed on whole.
    pub cut: Option<Cut>,
    /// What is known of upstreams that ended under the request.
    pub seen: Seen,
}

/// What the caller is answered.
#[derive(Debug)]
pub enum Answer {
    /// The reply of an upstream, unchanged.
    Forward(Box<Response>),
    /// The greatest records of the parts that are in.
    Merged {
        /// The signatures of these parts.
        seals: Vec<HeaderValue>,
        /// The number of parts that are not in.
        missing: usize,
        /// The records.
        body: Bytes,
    },
    /// Not run, and never will be.
    Refused {
        /// When to come back.
        retry_after: Millis,
        /// The reason.
        cause: Cause,
    },
    /// Given up; it may have run.
    Failed(Cause),
    /// The time is over; it may have run.
    TimedOut,
}

/// Why a request was not served.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No upstream of a service is known that is not leaving.
    NoUpstream,
    /// All upstreams of a service may be cold, and bear no more now.
    Cold,
    /// Upstreams that would serve it lie outside of its home regions.
    Residency,
    /// All upstreams hold as many sends as this VM may make, or turned it away.
    Full,
    /// Upstreams failed it, and no further send was allowed.
    Upstreams,
    /// Too few parts can still come.
    TooFew,
    /// Upstreams end under it.
    Quarantined,
}

impl Cause {
    /// Its name in logs and metrics.
    pub fn text(self) -> &'static str {
        match self {
            Self::NoUpstream => "no upstream",
            Self::Cold => "cold upstreams bear no more",
            Self::Residency => "no upstream in its home regions",
            Self::Full => "all upstreams full",
            Self::Upstreams => "upstreams failed",
            Self::TooFew => "too few parts",
            Self::Quarantined => "upstreams end under it",
        }
    }
}

/// A send that was wanted and not made.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Withheld {
    /// The part it was wanted for.
    pub part: usize,
    /// Why it was wanted.
    pub why: Why,
    /// Why it was not made.
    pub reason: Reason,
}

/// Why a send was not made.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// The route allows no more.
    #[display("attempts used up")]
    Attempts,
    /// No upstream that was not tried has room for it.
    #[display("no upstream with room")]
    Upstream,
    /// None lies in the request's home regions.
    #[display("no upstream in its home regions")]
    Residency,
    /// All may be cold, and bear no more now from this VM.
    #[display("cold upstreams bear no more")]
    Cold,
    /// The budget for extra sends is used up.
    #[display("budget used up")]
    Budget,
    /// Upstreams end under the request.
    #[display("upstreams end under it")]
    Quarantined,
}
