//! What operators are told of one VM.

use serde::{Deserialize, Serialize};

pub use crate::log::Line;

/// One VM's view of itself and the fleet.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Status {
    /// The VM's name.
    pub vm: String,
    /// Its place.
    pub place: String,
    /// Whether it takes new queries.
    pub ready: bool,
    /// Whether it leaves.
    pub draining: bool,
    /// The edition of the table in force.
    pub edit: u64,
    /// The version of the catalog in use.
    pub world: u64,
    /// The VMs as it sees them.
    pub vms: Vec<VmLine>,
    /// What the failure domains have in force.
    pub domains: Vec<DomainLine>,
    /// The upstreams as it sees them.
    pub upstreams: Vec<UpstreamLine>,
    /// Its counters.
    pub counters: Counters,
}

/// One VM as another sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VmLine {
    /// Its name.
    pub name: String,
    /// Its place.
    pub place: String,
    /// Its state.
    pub state: String,
    /// Its peers' address.
    pub addr: String,
    /// Whether its domain can be reached.
    pub reachable: bool,
}

/// What a failure domain has in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DomainLine {
    /// The domain.
    pub domain: u8,
    /// Whether it can be reached.
    pub reachable: bool,
    /// The lowest edition in force at any of its live VMs.
    pub edit: u64,
    /// VMs below the highest edition known there.
    pub behind: u16,
    /// One of these.
    pub example: Option<String>,
}

/// One upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UpstreamLine {
    /// The upstream.
    pub upstream: String,
    /// Its service.
    pub service: String,
    /// Its group.
    pub group: String,
    /// The name of the VM that owns it, as this VM sees it.
    pub owner: String,
    /// What its owner believes of it; empty where this VM is not the owner.
    pub state: String,
    /// Requests running on it from this VM.
    pub running: usize,
    /// Whether it leaves.
    pub leaving: bool,
}

/// Counts since the process started.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counters {
    /// Leaf requests, the first of each shard.
    pub leafs: u64,
    /// Leaf requests beyond the first, made by the entry.
    pub extra_entry: u64,
    /// Sendings beyond the first, made by owners.
    pub extra_owner: u64,
    /// Outcomes that came too late.
    pub late: u64,
    /// Outcomes that belonged to nothing asked here.
    pub crossed: u64,
    /// Queries begun again on another snapshot.
    pub restarts: u64,
    /// Whole answers.
    pub whole: u64,
    /// Partial answers.
    pub partial: u64,
    /// Answers below the row's least coverage.
    pub short: u64,
    /// Queries refused as not run.
    pub refused: u64,
}
