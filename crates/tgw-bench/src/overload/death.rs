use super::{
    run::{Event, Sim},
    vms::{REGIONS, connect, enter},
};
use rand::seq::index;
use tgw_clock::Millis;
use tgw_forward::{plan::Ended, upstream::Sign};
use tgw_quarantine::{
    Fingerprint,
    message::{Rounds, Termination, Update},
    tracker,
};

/// Time in ms after which the store has forgotten an upstream that ended.
const FORGOTTEN: Millis = Millis::new(2_400);

/// VMs to which each one passes on what is new to it, as in the product.
const FANOUT: usize = 8;

/// A request that an upstream holds, by the events of its end.
pub(super) struct Flight {
    /// At the VM that took the query in.
    pub(super) ended: u64,
    /// At the VM that sends for it.
    pub(super) hosted: Option<u64>,
    /// When the request comes to the upstream.
    pub(super) arrives: Millis,
    /// The VM whose connection it came on.
    pub(super) from: usize,
    pub(super) print: Fingerprint,
    pub(super) rounds: Rounds,
}

/// Upstreams that end, and others that start in their place.
impl Sim {
    /// Takes note of a request that an upstream holds.
    pub(super) fn hold(&mut self, upstream: usize, flight: Flight) {
        let events = &self.events;
        let flights = &mut self.flights[upstream];
        flights.retain(|f| events.contains_key(&f.ended));
        flights.push(flight);
    }

    /// An upstream ends in its `life`, unless it has ended already. Requests that it holds break; those that are on
    /// their way find nobody.
    pub(super) fn end(&mut self, now: Millis, upstream: usize, life: u32) {
        if self.world.upstreams[upstream].life() != life {
            return;
        }
        let back = self.world.upstreams[upstream].end(now);
        self.tally.deaths.ended(now);
        self.at(now + FORGOTTEN, Event::Forgotten { upstream, life });
        self.at(back, Event::Started { upstream, life: life + 1 });
        for flight in std::mem::take(&mut self.flights[upstream]) {
            let Flight { ended, hosted, arrives, from, print, rounds } = flight;
            let held = arrives <= now;
            let way = self.world.way(self.vms[from].region, upstream % REGIONS);
            // After the break a new connection is tried, and refused.
            let looked = way.scale(2.0);
            if held {
                let end = end_of(upstream, life, print, rounds);
                self.at(now + way + looked, Event::Lost { vm: from, upstream, life, end });
            }
            let at = arrives.max(now);
            let sign = if held { Sign::Broken } else { Sign::Unreachable };
            if let Some(Event::Hosted { vm, ticket, .. }) =
                hosted.and_then(|h| self.events.remove(&h))
            {
                self.at(at + looked, Event::Hosted { vm, ticket, sign, load: None });
            }
            if let Some(Event::Ended { vm, query, part, ticket, .. }) = self.events.remove(&ended) {
                let way = self.world.way(self.vms[vm].region, upstream % REGIONS);
                let ended = if held { Ended::Gone } else { Ended::Unsent };
                let look = if held { looked } else { Millis::ZERO };
                self.at(at + way + look, Event::Ended { vm, query, part, ticket, sign, ended });
            }
        }
    }

    /// A VM finds that an upstream ended under a request.
    pub(super) fn lost(
        &mut self,
        now: Millis,
        vm: usize,
        (upstream, life): (usize, u32),
        end: &Termination,
    ) {
        let core = &mut self.vms[vm].core;
        if let Some(key) = core.fleet.key(&name(upstream, life)) {
            core.fleet.lost(now, key);
        }
        core.quarantine.record_end(now, end);
        self.pass_on(now, vm);
    }

    /// A VM is told by another one.
    pub(super) fn hear(&mut self, now: Millis, vm: usize, update: &Update) {
        let tracker = &mut self.vms[vm].core.quarantine;
        for end in &update.terminations {
            tracker.record_end(now, end);
        }
        for state in &update.states {
            tracker.merge(now, state);
        }
        self.pass_on(now, vm);
    }

    /// A VM passes on what is new to it, to some others.
    fn pass_on(&mut self, now: Millis, vm: usize) {
        while let Some(update) = self.vms[vm].core.quarantine.take_update() {
            let others: Vec<usize> = (0..self.vms.len()).filter(|other| *other != vm).collect();
            for at in index::sample(&mut self.rng, others.len(), FANOUT.min(others.len())) {
                let to = others[at];
                let way = self.world.way(self.vms[vm].region, self.vms[to].region);
                self.at(now + way, Event::Heard { vm: to, update: update.clone() });
            }
        }
    }

    /// All VMs learn that an upstream has ended.
    pub(super) fn forget(&mut self, upstream: usize, life: u32) {
        for vm in &mut self.vms {
            vm.core.fleet.remove(&name(upstream, life));
        }
    }

    /// All VMs learn of an upstream that started, and those beside it connect.
    pub(super) fn enter(&mut self, now: Millis, upstream: usize, life: u32) {
        for vm in &mut self.vms {
            enter(&mut vm.core, now, upstream, life);
            if vm.region == upstream % REGIONS {
                connect(&mut vm.core, upstream, life);
            }
        }
    }
}

fn end_of(upstream: usize, life: u32, print: Fingerprint, rounds: Rounds) -> Termination {
    let service = tracker::hash_name(&format!("s{}", upstream / REGIONS));
    Termination {
        fingerprint: print,
        service,
        upstream: tracker::hash_name(&name(upstream, life)),
        rounds,
    }
}

/// The identity of an upstream in one of its lives.
pub(super) fn name(upstream: usize, life: u32) -> String {
    format!("i-{upstream}.{life}")
}

/// The upstream of an identity.
pub(super) fn number(id: &str) -> Option<usize> {
    id.strip_prefix("i-")?.split('.').next()?.parse().ok()
}
