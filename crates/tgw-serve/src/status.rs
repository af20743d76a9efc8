//! The status that a VM reports to operators.

use serde::{Deserialize, Serialize};

pub use crate::log::Line;

/// One VM's view of itself and the fleet.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Status {
    /// The VM's name.
    pub vm: String,
    /// The VM's region and failure domain.
    pub place: String,
    /// Whether the VM accepts new queries.
    pub ready: bool,
    /// Whether the VM is draining.
    pub draining: bool,
    /// The edition of the table in force.
    #[serde(rename = "edit")]
    pub edition: u64,
    /// The version of the catalog in force.
    #[serde(rename = "world")]
    pub catalog_version: u64,
    /// The VMs as seen by this VM.
    pub vms: Vec<VmStatus>,
    /// The state of the table's rollout in each failure domain.
    pub domains: Vec<DomainStatus>,
    /// The upstreams as seen by this VM.
    pub upstreams: Vec<UpstreamStatus>,
    /// The VM's counters.
    pub counters: Counters,
}

/// A VM as seen by the reporting VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VmStatus {
    /// The VM's name.
    pub name: String,
    /// The VM's region and failure domain.
    pub place: String,
    /// The VM's membership state.
    pub state: String,
    /// The address on which the VM receives peer traffic.
    pub addr: String,
    /// Whether the VM's failure domain is reachable.
    pub reachable: bool,
}

/// The state of the table's rollout in a failure domain.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DomainStatus {
    /// The failure domain's number.
    pub domain: u8,
    /// Whether the failure domain is reachable.
    pub reachable: bool,
    /// The lowest table edition in force on any live VM of the domain.
    #[serde(rename = "edit")]
    pub lowest_edition: u64,
    /// Number of VMs below the highest edition known in the domain.
    #[serde(rename = "behind")]
    pub vms_behind: u16,
    /// The name of one VM that is behind.
    #[serde(rename = "example")]
    pub example_behind: Option<String>,
}

/// An upstream as seen by the reporting VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// The upstream's identifier.
    pub upstream: String,
    /// The upstream's service.
    pub service: String,
    /// The upstream's replica group.
    pub group: String,
    /// The name of the VM that owns the group, as seen by this VM.
    pub owner: String,
    /// The owner's health estimate of the upstream; empty if this VM is not the owner.
    pub state: String,
    /// Requests from this VM in flight at the upstream.
    #[serde(rename = "running")]
    pub in_flight: usize,
    /// Whether the upstream is draining.
    pub leaving: bool,
}

/// Counters since the process started.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counters {
    /// First leaf requests, one for each shard of a query.
    #[serde(rename = "leafs")]
    pub first_requests: u64,
    /// Leaf requests beyond the first of a shard, made by the entry.
    #[serde(rename = "extra_entry")]
    pub extra_requests: u64,
    /// Sends beyond the first of a leaf request, made by owners.
    #[serde(rename = "extra_owner")]
    pub extra_sends: u64,
    /// Outcomes that arrived too late to be used.
    #[serde(rename = "late")]
    pub late_outcomes: u64,
    /// Outcomes that match no request of this VM.
    #[serde(rename = "crossed")]
    pub unmatched_outcomes: u64,
    /// Queries restarted on another snapshot.
    pub restarts: u64,
    /// Complete answers.
    #[serde(rename = "whole")]
    pub complete: u64,
    /// Partial answers.
    pub partial: u64,
    /// Answers below the row's least coverage.
    #[serde(rename = "short")]
    pub below_least_coverage: u64,
    /// Queries refused without being run.
    pub refused: u64,
}
