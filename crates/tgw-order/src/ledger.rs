//! The objects that hold claims.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most bytes of claims in one object: a claim takes about 100, and its result a few hundred.
pub const MAX_OBJECT_BYTES: usize = 900_000;
/// Largest result that is kept with a claim; a larger one is replaced by an empty one.
pub const MAX_RESULT_BYTES: usize = 2_048;

/// The outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran once.
    Ran {
        /// The upstream's answer.
        result: String,
    },
    /// It did not run and never will.
    NotRun {
        /// Why it did not run.
        reason: Reason,
    },
    /// It was sent, and no reply says whether it ran: it may have run once and is not sent again.
    Unknown,
}

/// Why an order did not run.
#[derive(Copy, Clone, Debug, derive_more::Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The platform's store could not be reached, so no claim was made.
    #[display("store_unavailable")]
    StoreUnavailable,
    /// The deadline passed before the order was sent.
    #[display("deadline")]
    Deadline,
    /// There was no upstream to send it to, or each that it was sent to stated that it did not run it.
    #[display("no_upstream")]
    NoUpstream,
    /// The object for the key's claim is full.
    #[display("claims_full")]
    ClaimsFull,
}

/// One claim: the worker that may send the order, and the order's outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The worker that made it, one incarnation of one VM: no other ever sends the order.
    pub holder: u64,
    /// The order's outcome; `None` while the order may be sent or running.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
}

/// The claims of one object, by the names of their keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Claims by name.
    pub claims: BTreeMap<String, Claim>,
}

impl Ledger {
    /// Approximate size as JSON. An estimate is enough, as it is only compared with `MAX_OBJECT_BYTES` to
    /// tell whether the object has room for more claims.
    pub fn approx_bytes(&self) -> usize {
        /// Size of a claim without its name and result.
        const CLAIM_OVERHEAD_BYTES: usize = 80;
        let result = |c: &Claim| match &c.outcome {
            Some(Outcome::Ran { result }) => result.len(),
            _ => 0,
        };
        self.claims.iter().map(|(name, c)| name.len() + CLAIM_OVERHEAD_BYTES + result(c)).sum()
    }
}
