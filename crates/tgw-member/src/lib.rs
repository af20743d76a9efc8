//! Membership: which VMs live, by probes, indirect probes, suspicion and refutation within a failure
//! domain, and by a few relays between domains.
//!
//! Performs no I/O: packets and the time go in, packets to send and news come out. The platform's
//! list of VMs only names addresses to ask first.

/// Comparison of records with another VM.
mod compare;
/// Which VMs keep contact between failure domains and with the platform, and how they do.
mod contact;
/// News on its way to other VMs, and how often it still has to be told.
mod gossip;
/// Judgement of other VMs: probes, suspicion, last tries.
mod judge;
/// What a VM makes of what others say of VMs.
mod learn;
/// The state machine.
mod member;
/// What VMs send one another over UDP.
pub mod packet;
/// Probes of other VMs.
mod probe;
/// What is known of each VM, and which of two words about it counts.
mod record;
/// Contact between failure domains, and what they have in force.
mod relay;

pub use member::{Action, Event, Force, Member, Options, Stats};
pub use packet::Packet;
pub use record::Record;
