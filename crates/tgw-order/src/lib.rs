//! Orders: non-idempotent requests that run at most once.
//!
//! Before an order is sent to an upstream, a claim for its key is written to the platform's store by
//! a conditional update. Claims of one bucket and period share an object, so that one write carries
//! many. The [`Worker`] that owns a bucket batches them. Several VMs may act for the same bucket at
//! once: the store's conditional updates alone let only one of them claim an order.
//!
//! Performs no I/O: events and the time go in, actions come out.

/// The state machine that claims, runs and records orders.
mod claims;
/// Callers' keys.
pub mod key;
/// The objects that hold claims.
pub mod ledger;
/// The worker's state for one stored object of claims.
mod object;

pub use claims::{Action, Event, RunOutcome, Stats, Waiter, Worker, WriteOutcome};
pub use key::Key;
pub use ledger::{Ledger, Outcome};
