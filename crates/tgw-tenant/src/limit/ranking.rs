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

/// What a VM knows of the others that admit requests.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub enum Knowledge {
    /// It has just started, and waits for them to be found.
    #[default]
    Starting,
    /// It knows none, and cannot tell whether there are any.
    Unknown,
    /// It knows others, or has evidence that there are none.
    Informed,
}

/// The VMs that admit requests, as one VM sees them. Each selects the same VMs, except while news of a change
/// spreads.
#[derive(Clone, Debug, Default)]
pub struct Ranking {
    own: u64,
    region: Vec<Candidate>,
    other_regions: BTreeMap<u8, Vec<Candidate>>,
    /// When the VMs of the region, or what is known of them, last changed.
    changed_at: Millis,
    knowledge: Knowledge,
}

impl Ranking {
    /// Takes over the VMs of the own region and of the others, by the number of their region. `knowledge` tells what
    /// this VM may make of it if there are no others among them.
    pub fn update(
        &mut self,
        now: Millis,
        own: u64,
        mut region: Vec<Candidate>,
        other_regions: BTreeMap<u8, Vec<Candidate>>,
        knowledge: Knowledge,
    ) {
        region.sort_by_key(|candidate| candidate.vm);
        if self.own != own || self.region != region || self.knowledge != knowledge {
            self.changed_at = now;
        }
        *self = Self { own, region, other_regions, changed_at: self.changed_at, knowledge };
    }

    /// What this VM knows of the others. Of VMs that have not found one another yet, each would take itself for the holder
    /// of every tenant.
    pub fn knowledge(&self) -> Knowledge {
        let knows_others = self.region.len() > 1 || !self.other_regions.is_empty();
        if knows_others { Knowledge::Informed } else { self.knowledge }
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
        let knowledge = self.knowledge();
        Standing {
            knowledge,
            is_holder: is_holder && knowledge == Knowledge::Informed,
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
    /// What it knows of the other VMs.
    pub knowledge: Knowledge,
    /// Whether it is the holder of its region.
    pub is_holder: bool,
    /// When the VMs of its region last changed.
    pub since: Millis,
    /// The part of the region's VMs that answers, 0 to 1.
    pub live_part: f64,
    /// The holders of the other regions.
    pub lenders: SmallVec<[SocketAddr; 7]>,
}
