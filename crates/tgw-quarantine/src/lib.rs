//! Requests under which upstreams end: which are the same, what is known of them, and when they are held back.
//!
//! A request may end each process that begins to run it, and its caller, to whom it has just failed, sends it again.
//! Nothing in one attempt tells it from a request that met a fault of its upstreams; what does is that it happens
//! again, at other upstreams, each time that it is sent, and that none ever answers it. A [`Ledger`] counts that in
//! rounds, one VM's words to the others included, and says of each send whether it may be made. No I/O.

/// Which requests are the same.
pub mod fingerprint;
/// What is known of all requests.
pub mod ledger;
/// What is known of one request at one service, or at all.
mod mark;
/// What VMs tell one another.
pub mod message;
/// What is known of one request.
mod record;
/// Who tries a request again that is held back.
mod roster;

pub use fingerprint::Fingerprint;
pub use ledger::Ledger;
