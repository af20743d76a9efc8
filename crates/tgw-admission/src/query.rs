use crate::{Permit, Ticket};
use derive_more::Display;
use std::rc::Rc;
use tgw_clock::Millis;

/// A query that asks for admission.
#[derive(Clone, Debug)]
pub struct Query {
    /// Identifies the set of its services: queries of the same set share one limit.
    pub group: u64,
    /// The name of its route: queries of a route take about the same work.
    pub route: Rc<str>,
    /// Its priority; zero is the highest.
    pub priority: u32,
    /// The tenant that it is made for, if any.
    pub tenant: Option<Rc<str>>,
    /// When it arrived.
    pub arrived: Millis,
    /// Until when an answer meets the caller's latency target.
    pub answer_by: Millis,
    /// Until when the caller waits.
    pub deadline: Millis,
    /// The number of parts that its answer may miss.
    pub max_missing: usize,
    /// A number that differs between queries; spreads the retries of rejected callers.
    pub retry_spread: u32,
}

/// The decision on a query.
#[derive(Debug)]
pub enum Decision {
    /// It may start.
    Admitted(Permit),
    /// It waits; to be polled when its ticket's number is among the wakeups, and at [`Ticket::expires_at`].
    Queued(Ticket),
    /// It must not start.
    Rejected(Rejection),
}

/// Why a query is rejected, and when its caller may retry.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The time after which the caller may retry.
    pub retry_after: Millis,
    /// The reason.
    pub reason: Reason,
}

/// The reason for a [`Rejection`].
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// The queries ahead of it take longer than its latency target leaves.
    #[display("backlog")]
    Backlog,
    /// It waited until it could no longer meet its latency target.
    #[display("expired")]
    Expired,
    /// The queue is full, and it is the last in order.
    #[display("displaced")]
    Displaced,
}

/// How an admitted query ended.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered within its latency target.
    InTime,
    /// Answered later.
    Late,
    /// Not answered.
    Failed,
}

/// A reply of an upstream to one part.
#[derive(Copy, Clone, Debug)]
pub struct Reply<'a> {
    /// The service of the part.
    pub service: &'a str,
    /// Tells the upstreams of the service apart.
    pub upstream: u64,
    /// The route of the query.
    pub route: &'a str,
    /// When the part was sent.
    pub sent_at: Millis,
    /// The round trip to the upstream without its work, in ms.
    pub round_trip_ms: f64,
}
