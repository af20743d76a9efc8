use crate::{hop::Hosts, peers::Peers};
use std::{collections::BTreeMap, net::SocketAddr, rc::Rc};
use tgw_clock::Millis;
use tgw_forward::{
    Gathering,
    core::Vms,
    gather as gathering,
    warmup::{Candidate, Candidates, DEAD_VM_LEASE_RETENTION_MS},
};
use tgw_owner::{Directory, State};
use tgw_spread::start;
use tgw_tenant::limit::ranking as limit;
use tgw_topology::Vm;

/// Minimum interval between two counts of the live VMs. While 295 VMs start at once, each learns of
/// the others one by one within 250 ms; a count at each of these would make 26,000 counts over
/// lists of 295.
const COUNT_INTERVAL_MS: Millis = Millis::new(50);

/// What other parts of this VM are told of the live VMs.
impl Peers {
    /// Counts the VMs again if they have changed, limited to one count per interval.
    pub(crate) fn recount_if_due(self: &Rc<Self>) {
        let now = self.shared.now();
        if self.membership_changed.get() && now - self.counted_at.get() >= COUNT_INTERVAL_MS {
            self.membership_changed.set(false);
            self.counted_at.set(now);
            self.count_vms();
        }
    }

    pub(crate) fn count_vms(self: &Rc<Self>) {
        let directory = self.member.borrow().directory();
        self.shared.peers_without_store.set(self.member.borrow().platform_unreachable_count());
        let unreachable = self.member.borrow().platform_unreachable_peers();
        let reporters = &self.shared.store_reports.reporters;
        reporters.borrow_mut().update(self.shared.now(), unreachable);
        self.update_gathering(&directory);
        self.update_hosts(&directory);
        self.update_admission(&directory);
        let own = Vm::from_name(&self.shared.settings.vm);
        let own_region = directory.members.get(&own).map(|m| m.place.region);
        let all = directory.owners().count();
        let others = || directory.owners().filter(|(vm, _)| *vm != own);
        let in_region = others().filter(|(_, m)| Some(m.place.region) == own_region);
        let in_region: Vec<SocketAddr> = in_region.map(|(_, m)| m.addr).collect();
        let near = in_region.len() + 1;
        if all > 1 {
            self.has_met_others.set(true);
        }
        self.on_start_event(start::Event::Peers(&in_region));
        self.region_peers.replace(in_region);
        self.all_peers.replace(others().map(|(_, m)| m.addr).collect());
        let other_vms = others().map(|(vm, _)| vm.0).collect();
        self.shared.core.borrow_mut().quarantine.set_vms(own.0, other_vms);
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let vms = Vms { all: count(all), in_region: count(near) };
        // At its start a VM knows no other VM, and would claim all connections as its own share.
        if !self.is_settled() && vms.all <= self.shared.core.borrow().vms().all {
            return;
        }
        let mut core = self.shared.core.borrow_mut();
        if self.is_settled() {
            core.fleet.set_candidates(self.candidates(&directory));
        }
        if core.vms() != vms {
            tracing::info!(
                vms = vms.all,
                near = vms.in_region,
                before = core.vms().all,
                "VMs counted"
            );
            core.set_vms(vms);
        }
    }

    /// The VMs that can hold leases to send to cold upstreams. A leaving VM releases its leases by
    /// itself.
    fn candidates(&self, directory: &Directory) -> Candidates {
        let member = self.member.borrow();
        let mut domains: BTreeMap<Rc<str>, Vec<Candidate>> = BTreeMap::new();
        for (vm, entry) in &directory.members {
            let Some(domain) = self.shared.settings.place.domain_by_number(entry.place.domain.0)
            else {
                continue;
            };
            if entry.state == State::Leaving {
                continue;
            }
            let dead_until = member.departed_since(*vm).map(|at| at + DEAD_VM_LEASE_RETENTION_MS);
            let candidate = Candidate { vm: vm.0, addr: entry.addr, dead_until };
            domains.entry(domain.into()).or_default().push(candidate);
        }
        Candidates::new(Vm::from_name(&self.shared.settings.vm).0, domains)
    }

    /// Updates the VMs that gather. Until this VM knows the others, it hands its queries over to none, and takes
    /// no gatherer's share.
    fn update_gathering(&self, directory: &Directory) {
        if !self.is_settled() {
            return;
        }
        let vm = |(vm, member): (Vm, &tgw_owner::Member)| gathering::Vm {
            id: vm.0,
            addr: member.addr,
            power: member.power,
            domain: member.place.domain.0,
            region: member.place.region.0,
        };
        let vms: Vec<gathering::Vm> = directory.owners().map(vm).collect();
        let own = Vm::from_name(&self.shared.settings.vm);
        self.shared.core.borrow_mut().set_gathering(Gathering::new(own.0, &vms));
    }

    /// Updates the VMs that admit tenants' requests and those that read the store.
    fn update_admission(&self, directory: &Directory) {
        let own = Vm::from_name(&self.shared.settings.vm);
        let own_region = self.shared.settings.peer.place.region;
        let mut regions: BTreeMap<u8, Vec<limit::Candidate>> = BTreeMap::new();
        for (vm, entry) in &directory.members {
            if entry.state != State::Leaving {
                let alive = entry.state != State::Dead;
                let candidate = limit::Candidate { vm: vm.0, addr: entry.addr, alive };
                regions.entry(entry.place.region.0).or_default().push(candidate);
            }
        }
        let region = regions.remove(&own_region.0).unwrap_or_default();
        let (now, knowledge) = (self.shared.now(), self.knowledge());
        self.counted_with.set(knowledge);
        self.shared.admission.set_vms(now, own.0, region, regions, knowledge);
        let readers = self.member.borrow().platform_watchers();
        self.shared.newest_check.set_store_readers(readers);
    }

    /// Updates the addresses of the live VMs of other regions.
    fn update_hosts(&self, directory: &Directory) {
        let place = &self.shared.settings.place;
        let mut hosts = Hosts::default();
        for (_, member) in directory.owners() {
            let Some(domain) = place.domain_by_number(member.place.domain.0) else { continue };
            let Some(region) = place.regions.get(domain) else { continue };
            hosts.domains.entry(domain.into()).or_default().push(member.addr);
            hosts.regions.entry(region.clone()).or_default().push(member.addr);
        }
        if let Some(own) = place.regions.get(&place.domain) {
            hosts.regions.remove(own);
        }
        let served_regions = hosts.regions.keys().cloned().collect();
        let mut core = self.shared.core.borrow_mut();
        core.fleet.set_peer_regions(served_regions);
        hosts.prefer(|addr| core.gathering().contains(addr));
        drop(core);
        self.shared.hops.set_hosts(hosts);
    }
}
