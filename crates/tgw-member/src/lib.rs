//! Membership of the tier: a SWIM-like failure detector (probes, indirect probes, suspicion,
//! refutation) within each failure domain, and a few relay VMs that connect the domains.
//!
//! Performs no I/O: the caller passes in packets and the time, and sends the packets that come out.
//! The platform's list of VMs only supplies seed addresses.

/// Anti-entropy: comparison of all records with another VM.
mod anti_entropy;
/// Applies updates received from other VMs.
mod apply;
/// Relay VMs: contact with other failure domains and with the platform.
mod cross_domain;
/// Inputs and outputs of the state machine.
mod event;
/// Probes, suspicion and the final probes before a VM is declared dead.
mod failure_detector;
/// Updates queued for other VMs and how many more times each is sent.
mod gossip;
/// The state machine.
mod member;
/// Packets that VMs exchange over UDP.
pub mod packet;
/// Probes in flight.
mod probe;
/// The record of one VM and which of two records supersedes the other.
mod record;
/// Reachability of other failure domains and the editions in force in each.
mod relay;

pub use event::{Action, Event};
pub use member::{Member, Options, Rollout, Stats};
pub use packet::Packet;
pub use record::Record;
