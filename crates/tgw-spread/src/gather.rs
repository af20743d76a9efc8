//! Queries that one VM hands to another, which makes all sends and returns one answer.

use serde::{Deserialize, Serialize};
use tgw_clock::Millis;
use tgw_forward::plan::Cause;
use tgw_quarantine::Fingerprint;
use tgw_tenant::Principal;

/// A message about a query that is handed over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Hands a query over; answered by [`Message::Accepted`] or [`Message::Refused`] at once, and by
    /// [`Message::Ended`] later.
    Query(Box<Query>),
    /// The query with this number runs.
    Accepted(u64),
    /// The query with this number was not started, and will not be.
    Refused(u64),
    /// Asks whether the query with this number still runs; answered like [`Message::Query`].
    Probe(u64),
    /// The query with this number has ended.
    Ended(u64, Outcome),
    /// The answer to the query with this number is not needed any more.
    Cancelled(u64),
    /// The query with this number was not started, and will not be, as the gatherer holds as many as it may; its caller
    /// may retry after this time. Spreading the retries is left to the sender.
    Full(u64, Millis),
}

impl Message {
    /// What VMs of builds that cannot decode this message are told instead; `None` if all builds can. It is sent after
    /// the message, so that VMs which decode both act on the first.
    pub fn fallback(&self) -> Option<Self> {
        match self {
            Self::Full(number, _) => Some(Self::Refused(*number)),
            Self::Ended(number, Outcome::Refused { retry_after, cause: Cause::Overload }) => {
                let outcome = Outcome::Refused { retry_after: *retry_after, cause: Cause::Full };
                Some(Self::Ended(*number, outcome))
            }
            Self::Query(_)
            | Self::Accepted(_)
            | Self::Refused(_)
            | Self::Probe(_)
            | Self::Ended(..)
            | Self::Cancelled(_) => None,
        }
    }
}

/// A query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Query {
    /// Identifies the query among those of the same VM.
    pub number: u64,
    /// The time since the query arrived at the sender.
    pub age: Millis,
    /// The time that the sender needs to answer its caller once it has the outcome.
    pub delivery: Millis,
    /// The timeout that the caller gave, if any, from the arrival on.
    pub caller_timeout: Option<Millis>,
    /// The version of the configuration by which the sender found its route.
    pub config: u64,
    /// The method.
    pub method: String,
    /// The path and query, as the caller sent them.
    pub uri: String,
    /// End-to-end headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Vec<u8>,
    /// Fingerprint of the request; the receiver cannot compute it, as it does not know the caller.
    pub fingerprint: Fingerprint,
    /// Who the request is made for; `None` where it needed no API key.
    pub principal: Option<Principal>,
}

/// How a query ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// With an answer.
    Merged {
        /// The signatures of its parts.
        signatures: Vec<Vec<u8>>,
        /// The number of parts that are missing.
        missing: u32,
        /// The records.
        body: Vec<u8>,
    },
    /// It was not executed, and never will be.
    Refused {
        /// When the caller may retry.
        retry_after: Millis,
        /// Why.
        cause: Cause,
    },
    /// It failed, and may have been executed.
    Failed(Cause),
    /// Its deadline has passed, and it may have been executed.
    TimedOut,
}
