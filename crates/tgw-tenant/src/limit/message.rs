//! Messages between VMs about the limits of tenants.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use tgw_clock::Millis;

/// A message to another VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks to admit one request; answered by [`Message::Decided`].
    Ask {
        /// Identifies the question among those of the same VM.
        number: u64,
        /// The tenant.
        tenant: Rc<str>,
    },
    /// Answers [`Message::Ask`].
    Decided {
        /// The number of the question.
        number: u64,
        /// The decision.
        decision: Decision,
    },
    /// Asks a holder of another region for tokens; answered by [`Message::Lent`].
    Borrow {
        /// Identifies the question among those of the same VM.
        number: u64,
        /// The tenant.
        tenant: Rc<str>,
        /// The number of tokens that the sender can use.
        tokens: f64,
    },
    /// Answers [`Message::Borrow`].
    Lent {
        /// The number of the question.
        number: u64,
        /// The tenant.
        tenant: Rc<str>,
        /// The tokens, which the sender has taken from its own account; may be zero.
        tokens: f64,
    },
    /// Returns the token of an admitted request that was never sent to an upstream.
    Returned {
        /// The tenant.
        tenant: Rc<str>,
    },
}

/// Whether a request is admitted.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// It is.
    #[display("admitted")]
    Admitted,
    /// It exceeds the tenant's limit.
    #[display("over the limit")]
    OverLimit {
        /// When the region has a token again.
        retry_after: Millis,
    },
    /// It may be within the limit, but this VM cannot tell: it became the holder only now, lacks contact to
    /// other VMs, or does not know the tenant.
    #[display("undecided")]
    Undecided {
        /// When a holder can probably decide.
        retry_after: Millis,
    },
}
