//! Quarantine of queries of death, requests that end the upstreams which run them: fingerprints that tell which
//! requests are the same, the evidence against each, and the decision to quarantine it.
//!
//! Such a request may end every process that starts to run it, and its caller, whose call has just failed, sends it
//! again. Within one attempt it looks like a request that met a fault of its upstreams. What distinguishes it is that
//! each send ends other upstreams and that none ever answers. A [`Tracker`] counts this in rounds, including the
//! reports of other VMs, and decides for each send whether it may be made. No I/O.

/// Recent answers.
mod answers;
/// Which of the requests that ran on an upstream ended it.
mod attribution;
/// Upstreams that ended, and the requests that each of them ran.
mod ends;
/// Evidence against one request, at one service or at all.
mod evidence;
/// Which requests are the same.
pub mod fingerprint;
/// Which VM tries a quarantined request again.
mod live_vms;
/// Quarantine messages between VMs.
pub mod message;
/// Quarantined requests as shown to operators.
mod quarantined;
/// Evidence against one request.
mod record;
/// The requests that are remembered.
mod records;
/// What a VM keeps over a restart.
mod snapshot;
/// Evidence against all requests.
pub mod tracker;
/// Decisions on requests.
mod verdict;

pub use fingerprint::Fingerprint;
pub use tracker::Tracker;
