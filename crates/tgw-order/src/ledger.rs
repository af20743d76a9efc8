//! The objects that hold claims.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Claims that one object may hold: about 100 bytes each, and a result of a few hundred.
pub const LIMIT_BYTES: usize = 900_000;
/// Largest result that is kept with a claim; a larger one is replaced by nothing.
pub const RESULT_BYTES: usize = 2_048;

/// What came of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran once; the upstream answered this.
    Ran {
        /// The upstream's answer.
        result: String,
    },
    /// It did not run and never will.
    NotRun {
        /// Why.
        reason: Reason,
    },
    /// It was sent and no certain reply came: it may have run once, and will not be sent again.
    Unknown,
}

/// Why an order did not run.
#[derive(Copy, Clone, Debug, derive_more::Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The platform's store could not be reached, so no claim was made.
    #[display("store_unavailable")]
    StoreUnavailable,
    /// The deadline passed before it was sent.
    #[display("deadline")]
    Deadline,
    /// No upstream took it; each that was asked stated so.
    #[display("no_upstream")]
    NoUpstream,
    /// The object for claims of the key's time is full.
    #[display("claims_full")]
    ClaimsFull,
}

/// One claim: who may send the order, and what came of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The clerk that made it, by its VM and life: nobody else ever sends the order.
    pub holder: u64,
    /// What came of it; `None` while it may be sent or running.
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
    /// About how many bytes it takes as JSON.
    pub fn bytes(&self) -> usize {
        /// A claim without its name and result.
        const CLAIM: usize = 80;
        let result = |c: &Claim| match &c.outcome {
            Some(Outcome::Ran { result }) => result.len(),
            _ => 0,
        };
        self.claims.iter().map(|(name, c)| name.len() + CLAIM + result(c)).sum()
    }
}
