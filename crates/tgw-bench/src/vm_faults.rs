//! Faults of simulated VMs and of the ways between them.

use rand::{rngs::SmallRng, seq::SliceRandom};
use std::collections::BTreeMap;
use tgw_clock::Millis;

/// Kind of a fault.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Each of these VMs is partitioned from every other VM; callers and upstreams still reach it.
    Isolated,
    /// These VMs are partitioned from the others, but reach one another.
    Partitioned,
    /// The first region is partitioned from the others.
    RegionCut,
    /// These VMs are paused.
    Paused,
    /// The processes of these VMs end, and start again when the fault ends.
    Restarted,
    /// Packets between all VMs are lost with a probability of a fifth.
    Lossy,
    /// No VM is affected: a limit of the operators is halved, for good.
    LimitLowered,
}

/// One fault.
#[derive(Copy, Clone, Debug)]
pub struct Fault {
    /// When it begins.
    pub at: Millis,
    /// When it ends.
    pub until: Millis,
    /// Its kind.
    pub kind: FaultKind,
    /// Share of the VMs that it affects, where it affects some.
    pub share: f64,
}

/// A VM and the number of its region.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) struct Site {
    pub(crate) vm: usize,
    pub(crate) region: usize,
}

/// The active faults, by their numbers, and the VMs that each affects.
#[derive(Debug, Default)]
pub(crate) struct ActiveFaults(BTreeMap<usize, (FaultKind, Vec<usize>)>);

impl ActiveFaults {
    /// Begins a fault at VMs that no other one affects; returns these.
    pub(crate) fn begin(
        &mut self,
        number: usize,
        fault: Fault,
        vms: usize,
        rng: &mut SmallRng,
    ) -> Vec<usize> {
        let taken: Vec<usize> = self.0.values().flat_map(|(_, vms)| vms).copied().collect();
        let mut affected: Vec<usize> = (0..vms).filter(|vm| !taken.contains(vm)).collect();
        affected.shuffle(rng);
        affected.truncate((fault.share * vms as f64).round() as usize);
        self.0.insert(number, (fault.kind, affected.clone()));
        affected
    }

    /// Ends a fault; returns the VMs that start again.
    pub(crate) fn end(&mut self, number: usize) -> Vec<usize> {
        match self.0.remove(&number) {
            Some((FaultKind::Restarted, vms)) => vms,
            _ => Vec::new(),
        }
    }

    /// Whether no packet reaches one VM from another.
    pub(crate) fn are_partitioned(&self, from: Site, to: Site) -> bool {
        self.0.values().any(|(kind, vms)| {
            let (here, there) = (vms.contains(&from.vm), vms.contains(&to.vm));
            match kind {
                FaultKind::Isolated => from != to && (here || there),
                FaultKind::Partitioned => here != there,
                FaultKind::RegionCut => (from.region == 0) != (to.region == 0),
                FaultKind::Paused
                | FaultKind::Restarted
                | FaultKind::Lossy
                | FaultKind::LimitLowered => false,
            }
        })
    }

    /// Whether packets are lost more often than usual.
    pub(crate) fn are_ways_lossy(&self) -> bool {
        self.0.values().any(|(kind, _)| *kind == FaultKind::Lossy)
    }
}
