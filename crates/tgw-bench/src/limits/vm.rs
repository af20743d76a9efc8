use super::{Setup, Way};
use crate::address::address;
use std::{collections::BTreeMap, net::SocketAddr};
use tgw_clock::Millis;
use tgw_member::{Member, Options};
use tgw_owner::State;
use tgw_tenant::limit::{Holder, Knowledge, Ranking, ranking::Candidate};
use tgw_topology::{
    Place, Vm as Id,
    place::{Domain, Region},
};

pub(super) const REGIONS: usize = 3;
/// Time for which a VM that knows no other one waits for them, as in the gateway. After that it cannot tell: there is no
/// store here that could show whether it is the only one.
const SETTLE_ALONE_MS: Millis = Millis::new(4_500);

/// State of one VM: its admission and membership code.
pub(super) struct Vm {
    pub(super) member: Member,
    pub(super) holder: Holder,
    pub(super) ranking: Ranking,
    pub(super) region: usize,
    number: usize,
    way: Way,
    began: Millis,
    pub(super) paused_until: Millis,
    /// Its process does not run.
    pub(super) is_down: bool,
    /// VMs that did not answer, until when they are not asked first.
    pub(super) silent: BTreeMap<SocketAddr, Millis>,
}

impl Vm {
    pub(super) fn start(now: Millis, setup: &Setup, number: usize, seed: u64) -> Self {
        let domains = if setup.vms <= 9 { REGIONS } else { 2 * REGIONS };
        let at = number % domains;
        let region = at % REGIONS;
        let options = Options {
            vm: Id::from_name(&format!("vm-{number}")),
            name: format!("vm-{number}"),
            incarnation: (1 << 16) + now.as_whole_ms(),
            place: Place { region: Region(region as u8), domain: Domain(at as u8) },
            addr: address(number),
            seeds: (0..domains).map(address).collect(),
            rng_seed: seed,
            power: 0,
        };
        Self {
            member: Member::new(options),
            holder: Holder::new(setup.terms(), seed),
            ranking: Ranking::default(),
            region,
            number,
            way: setup.way,
            began: now,
            paused_until: Millis::ZERO,
            is_down: false,
            silent: BTreeMap::new(),
        }
    }

    /// Takes the VMs that admit requests over from membership.
    pub(super) fn update_ranking(&mut self, now: Millis) {
        let mut regions: BTreeMap<u8, Vec<Candidate>> = BTreeMap::new();
        for (vm, member) in &self.member.directory().members {
            if member.state != State::Leaving {
                let alive = member.state != State::Dead;
                let region = match self.way {
                    Way::PerRegion => member.place.region.0,
                    Way::Single => 0,
                };
                let candidate = Candidate { vm: vm.0, addr: member.addr, alive };
                regions.entry(region).or_default().push(candidate);
            }
        }
        let own_region = match self.way {
            Way::PerRegion => self.region as u8,
            Way::Single => 0,
        };
        let region = regions.remove(&own_region).unwrap_or_default();
        let own = Id::from_name(&format!("vm-{}", self.number)).0;
        let has_waited = now - self.began >= SETTLE_ALONE_MS;
        let knowledge = if has_waited { Knowledge::Unknown } else { Knowledge::Starting };
        self.ranking.update(now, own, region, regions, knowledge);
    }
}
