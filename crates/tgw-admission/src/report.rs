use serde::{Deserialize, Serialize};

/// Units of the shares and waits of a report.
pub(crate) const SHARE_UNIT: f64 = 250.0;
pub(crate) const WAIT_UNIT: f64 = 100.0;
/// Units of the counts of a report.
pub(crate) const COUNT_UNIT: f64 = 100.0;
/// Units of the usual work, in 1/ms.
pub(crate) const WORK_UNIT: f64 = 10.0;
/// Bounds on what a report may hold.
pub(crate) const MAX_GROUPS: usize = 4;
pub(crate) const MAX_ROUTES: usize = 8;
pub(crate) const MAX_SERVICES: usize = 256;
/// A wait counts as at most this many times the allowed one.
pub(crate) const MAX_WAIT: f64 = 2.0;

/// Evidence of overload that a VM sends to others of its region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Time in ms since the start of the sender's process: tells delayed and replayed reports.
    pub sent_ms: u64,
    /// Age of the latest reply taken into account, in ms.
    pub age_ms: u16,
    /// The evidence by set of services.
    pub groups: Vec<GroupReport>,
    /// Usual work of routes in 1/10 ms, by the hash of their names.
    pub usual: Vec<(u32, u16)>,
}

/// Evidence on the queries over one set of services, averaged over VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupReport {
    /// Identifies the set of services; a VM with another configuration does not know it.
    pub group: u64,
    /// The share of the queries that is admitted, in 1/250.
    pub level: u8,
    /// Recent queries, in 1/100.
    pub offered: u32,
    /// Recent queries that were served, in 1/100.
    pub served: u32,
    /// The evidence by service, in the order of the set.
    pub services: Vec<ServiceReport>,
}

/// Evidence on one service.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Mean wait at its upstreams in 1/100 of the allowed one, at most 200.
    pub wait: u8,
    /// Recent requests whose wait is known, in 1/100.
    pub requests: u32,
}

impl Report {
    /// Whether all its figures are possible.
    pub(crate) fn is_valid(&self) -> bool {
        let max_wait = (MAX_WAIT * WAIT_UNIT) as u8;
        let valid = |group: &GroupReport| {
            f64::from(group.level) <= SHARE_UNIT
                && group.services.len() <= MAX_SERVICES
                && group.services.iter().all(|service| service.wait <= max_wait)
        };
        self.usual.len() <= MAX_ROUTES
            && self.groups.len() <= MAX_GROUPS
            && self.groups.iter().all(valid)
    }
}
