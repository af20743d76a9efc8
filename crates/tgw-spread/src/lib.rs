//! Distributes the configuration, the list of upstreams and the evacuations among VMs: a few VMs of each
//! failure domain read them from the platform's store, and all others receive changes from their peers.
//!
//! The configuration is one document with one version ([`Configuration`]). Each upstream's entry has a version of its
//! own ([`VersionedMap`]). No I/O.

/// Comparison of lists between VMs.
pub mod agreement;
/// The operators' configuration: one document with one version.
pub mod configuration;
/// The entries of one kind in a document.
mod entries;
/// Evacuated failure domains, whose upstreams receive no further requests.
pub mod evacuations;
/// Whether a VM's configuration is the newest.
mod freshness;
/// Queries that one VM hands to another.
pub mod gather;
/// The versions of a document from which a VM can tell the changes.
mod history;
/// Sends that one VM asks another to make.
pub mod hop;
/// Finding other VMs through the store, and evidence that there are none.
mod lookup;
/// Messages between VMs.
pub mod message;
/// Whether the store answers this VM, and what others may conclude from that.
pub mod reachability;
/// The configuration, the list of upstreams and the evacuations as this VM has them.
mod replicated_state;
/// When a VM that starts reads the store, and which VMs it asks before.
pub mod start;
/// When a VM lists the store, watches it, or leaves that to another VM.
pub mod store_reads;
/// The list of upstreams, and the fleet that follows it.
pub mod upstreams;
/// Values with versions, and the changes since a version.
mod versioned_map;

pub use configuration::Configuration;
pub use evacuations::Evacuations;
pub use freshness::Freshness;
pub use lookup::Lookup;
pub use message::Message;
pub use replicated_state::ReplicatedState;
pub use start::Bootstrap;
pub use store_reads::Schedule;
pub use upstreams::Upstreams;
pub use versioned_map::{Applied, Delta, VersionedMap};
