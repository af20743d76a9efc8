//! Orders: non-idempotent requests that run at most once.
//!
//! Before an order is sent to an upstream, a claim for its key is written to the platform's store by
//! a conditional update. Claims of one bucket and period share an object, so that many travel in one
//! write. The [`Clerk`] of a bucket batches them; any VM may be a clerk of any bucket at any time, and
//! two at once are told apart by the store alone.
//!
//! Performs no I/O: events and the time go in, actions come out.

/// One object as the clerk knows it.
mod book;
/// The state machine that claims, runs and records orders.
mod clerk;
/// Callers' keys.
pub mod key;
/// The objects that hold claims.
pub mod ledger;

pub use clerk::{Action, Clerk, Event, Ran, Stats, Stored, Waiter};
pub use key::Key;
pub use ledger::{Ledger, Outcome};
