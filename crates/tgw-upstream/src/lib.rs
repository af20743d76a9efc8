//! The client of one upstream: a bounded pool of connections opened in advance, deadlines passed
//! on, explicit cancellation, bounded replies, and typed errors that fail only one attempt.

/// The client and its connection pool.
mod client;
/// The paths, headers and reasons of the protocol.
pub mod protocol;
/// Decoding of replies.
mod reply;

pub use client::{Client, OrderOutcome, Response, Search};
