//! Which VMs admit the requests of a tenant.

use smallvec::SmallVec;
use std::{collections::BTreeMap, net::SocketAddr};
use tgw_clock::Millis;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// VMs of a region that may be asked about one tenant: its holder and two backups.
pub const MAX_RANKED: usize = 3;

/// A VM that takes part in admission.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its identity.
    pub vm: u64,
    /// Its address.
    pub addr: SocketAddr,
    /// Whether it answers. A VM that left in order is not a candidate.
    pub alive: bool,
}

/// The VMs that admit requests, as one VM sees them. Each selects the same VMs, except while news of a change
/// spreads.
#[derive(Clone, Debug, Default)]
pub struct Ranking {
    own: u64,
    region: Vec<Candidate>,
    other_regions: BTreeMap<u8, Vec<Candidate>>,
    /// When the VMs of the region last changed.
    changed_at: Millis,
    /// Whether this VM has run for long enough to rely on knowing no other one.
    is_settled: bool,
}

impl Ranking {
    /// Takes over the VMs of the own region and of the others, by the number of their region. `is_settled` tells whether
    /// this VM has run for long enough to rely on them.
    pub fn update(
        &mut self,
        now: Millis,
        own: u64,
        mut region: Vec<Candidate>,
        other_regions: BTreeMap<u8, Vec<Candidate>>,
        is_settled: bool,
    ) {
        region.sort_by_key(|candidate| candidate.vm);
        if self.own != own || self.region != region {
            self.changed_at = now;
        }
        *self = Self { own, region, other_regions, changed_at: self.changed_at, is_settled };
    }

    /// The VMs of this region that admit the requests of a tenant, the holder first.
    pub fn ranked(&self, tenant: &str) -> SmallVec<[Candidate; MAX_RANKED]> {
        ranked(&self.region, tenant, MAX_RANKED)
    }

    /// Whether a VM is this one.
    pub fn is_own(&self, candidate: &Candidate) -> bool {
        candidate.vm == self.own
    }

    /// This VM's standing for a tenant.
    pub fn standing(&self, tenant: &str) -> Standing {
        let is_holder = self.ranked(tenant).first().is_some_and(|first| self.is_own(first));
        let live = self.region.iter().filter(|candidate| candidate.alive).count();
        let lenders = self.other_regions.values().filter_map(|vms| ranked(vms, tenant, 1).pop());
        // Of VMs that all start at once, each would take itself for the holder of every tenant.
        let is_informed =
            self.is_settled || self.region.len() > 1 || !self.other_regions.is_empty();
        Standing {
            is_informed,
            is_holder,
            since: self.changed_at,
            live_part: live as f64 / self.region.len().max(1) as f64,
            lenders: lenders.map(|candidate| candidate.addr).collect(),
        }
    }
}

fn ranked(vms: &[Candidate], tenant: &str, count: usize) -> SmallVec<[Candidate; MAX_RANKED]> {
    let mut live: Vec<(u64, Candidate)> = vms
        .iter()
        .filter(|candidate| candidate.alive)
        .map(|candidate| (xxh3_64_with_seed(tenant.as_bytes(), candidate.vm), *candidate))
        .collect();
    live.sort_unstable_by_key(|(rank, candidate)| (*rank, candidate.vm));
    live.into_iter().take(count).map(|(_, candidate)| candidate).collect()
}

/// One VM's standing in the admission of a tenant's requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Standing {
    /// Whether it knows other VMs, or can rely on being the only one.
    pub is_informed: bool,
    /// Whether it is the holder of its region.
    pub is_holder: bool,
    /// When the VMs of its region last changed.
    pub since: Millis,
    /// The part of the region's VMs that answers, 0 to 1.
    pub live_part: f64,
    /// The holders of the other regions.
    pub lenders: SmallVec<[SocketAddr; 7]>,
}
