//! The client of one upstream: pooled connections within a limit, warm before use, the deadline
//! passed on, explicit cancellation, bounded reads, and typed errors that cost one attempt only.

/// The client of one upstream.
mod client;
/// The protocol's names: paths and headers.
pub mod protocol;
/// Reading of replies.
mod reply;

pub use client::{Client, Ordered, Probe, Search};
