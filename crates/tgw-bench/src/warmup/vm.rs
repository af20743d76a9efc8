use super::Setup;
use crate::address::address;
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
};
use tgw_clock::Millis;
use tgw_forward::{
    Core, Policy,
    core::{Budget, Vms},
    fleet,
    upstream::Entry,
    warmup::{Candidate, Candidates, DEAD_VM_LEASE_RETENTION_MS},
};
use tgw_member::{Member, Options};
use tgw_owner::State;
use tgw_route::{Config, Service, Warmup};
use tgw_topology::{
    Place, Vm as Id,
    place::{Domain, Region},
};

pub(super) const SERVICE: &str = "s";
pub(super) const UPSTREAM: &str = "u";
/// Time until a VM relies on its list of VMs, as in the gateway.
const SETTLE_MS: Millis = Millis::new(1_500);
const REGIONS: usize = 3;
const CONNECTIONS: u32 = 73;
const WARMUP_MS: Millis = Millis::new(3_600_000);

/// State of one VM: its decision and membership code.
pub(super) struct Vm {
    pub(super) member: Member,
    pub(super) core: Core,
    pub(super) region: usize,
    began: Millis,
    number: usize,
    pub(super) paused_until: Millis,
    /// Its process does not run.
    pub(super) is_down: bool,
}

fn domain(number: u8) -> String {
    format!("d{number}")
}

impl Vm {
    pub(super) fn start(now: Millis, setup: &Setup, number: usize, seed: u64) -> Self {
        let domains = if setup.vms <= 9 { REGIONS } else { 2 * REGIONS };
        let at = number % domains;
        let region = at % REGIONS;
        let place = Place { region: Region(region as u8), domain: Domain(at as u8) };
        let options = Options {
            vm: Id::from_name(&format!("vm-{number}")),
            name: format!("vm-{number}"),
            incarnation: (1 << 16) + now.as_whole_ms(),
            place,
            addr: address(number),
            seeds: (0..domains).map(address).collect(),
            rng_seed: seed,
            power: 0,
        };
        let regions = (0..domains).map(|d| (domain(d as u8), format!("r{}", d % REGIONS)));
        let place = fleet::Place { domain: domain(at as u8), regions: regions.collect() };
        let policy = Policy { warm_holders: setup.holders as f64, ..Policy::default() };
        let mut core = Core::new(place, Budget::default(), policy);
        core.set_headroom(setup.headroom);
        let warmup = Warmup { duration: WARMUP_MS, requests_per_s: setup.rate };
        let mut config = Config::default();
        config.services.insert(SERVICE.into(), Service { max_connections: CONNECTIONS, warmup });
        core.configure(&config);
        core.fleet.put(now, entry());
        let near = setup.vms.div_ceil(REGIONS) as u32;
        core.set_vms(Vms { all: setup.vms as u32, in_region: near });
        let member = Member::new(options);
        Self {
            member,
            core,
            region,
            began: now,
            number,
            paused_until: Millis::ZERO,
            is_down: false,
        }
    }

    /// Updates the candidates for leases from membership, once the VM relies on it.
    pub(super) fn update_candidates(&mut self, now: Millis) {
        if now - self.began < SETTLE_MS {
            return;
        }
        let directory = self.member.directory();
        let mut domains: BTreeMap<Rc<str>, Vec<Candidate>> = BTreeMap::new();
        for (vm, member) in &directory.members {
            if member.state != State::Leaving {
                let dead_until =
                    self.member.departed_since(*vm).map(|at| at + DEAD_VM_LEASE_RETENTION_MS);
                let candidate = Candidate { vm: vm.0, addr: member.addr, dead_until };
                domains.entry(domain(member.place.domain.0).into()).or_default().push(candidate);
            }
        }
        let own = Id::from_name(&format!("vm-{}", self.number)).0;
        self.core.fleet.set_candidates(Candidates::new(own, domains));
    }
}

fn entry() -> Entry {
    Entry {
        id: UPSTREAM.into(),
        started: 0,
        heartbeats: 0,
        service: SERVICE.into(),
        addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        domain: domain(0).into(),
        slots: 4,
        draining: false,
        warmup: WARMUP_MS,
    }
}
