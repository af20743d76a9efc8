use super::{
    run::{Event, Sim},
    vms::{REGIONS, connect, enter},
};
use rand::seq::index;
use tgw_clock::Millis;
use tgw_forward::{plan::SendResult, upstream::SendOutcome};
use tgw_quarantine::{
    Fingerprint, ledger,
    message::{End, News, Seen},
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
    pub(super) seen: Seen,
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
            let Flight { ended, hosted, arrives, from, print, seen } = flight;
            let held = arrives <= now;
            let way = self.world.way(self.vms[from].region, upstream % REGIONS);
            // After the break a new connection is tried, and refused.
            let looked = way.scale(2.0);
            if held {
                let end = end_of(upstream, life, print, seen);
                self.at(now + way + looked, Event::Lost { vm: from, upstream, life, end });
            }
            let at = arrives.max(now);
            let outcome = if held { SendOutcome::Broken } else { SendOutcome::Unreachable };
            if let Some(Event::Hosted { vm, ticket, .. }) =
                hosted.and_then(|h| self.events.remove(&h))
            {
                self.at(at + looked, Event::Hosted { vm, ticket, outcome, load: None });
            }
            if let Some(Event::Ended { vm, query, part, ticket, .. }) = self.events.remove(&ended) {
                let way = self.world.way(self.vms[vm].region, upstream % REGIONS);
                let result = if held { SendResult::Terminated } else { SendResult::NotConnected };
                let look = if held { looked } else { Millis::ZERO };
                self.at(at + way + look, Event::Ended { vm, query, part, ticket, outcome, result });
            }
        }
    }

    /// A VM finds that an upstream ended under a request.
    pub(super) fn lost(
        &mut self,
        now: Millis,
        vm: usize,
        (upstream, life): (usize, u32),
        end: &End,
    ) {
        let core = &mut self.vms[vm].core;
        if let Some(key) = core.fleet.key(&name(upstream, life)) {
            core.fleet.mark_unreachable(now, key);
        }
        core.quarantine.ended(now, end);
        self.pass_on(now, vm);
    }

    /// A VM is told by another one.
    pub(super) fn hear(&mut self, now: Millis, vm: usize, news: &News) {
        let ledger = &mut self.vms[vm].core.quarantine;
        for end in &news.ends {
            ledger.ended(now, end);
        }
        for hold in &news.holds {
            ledger.merge(now, hold);
        }
        self.pass_on(now, vm);
    }

    /// A VM passes on what is new to it, to some others.
    fn pass_on(&mut self, now: Millis, vm: usize) {
        while let Some(news) = self.vms[vm].core.quarantine.take_news() {
            let others: Vec<usize> = (0..self.vms.len()).filter(|other| *other != vm).collect();
            for at in index::sample(&mut self.rng, others.len(), FANOUT.min(others.len())) {
                let to = others[at];
                let way = self.world.way(self.vms[vm].region, self.vms[to].region);
                self.at(now + way, Event::Heard { vm: to, news: news.clone() });
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

fn end_of(upstream: usize, life: u32, print: Fingerprint, seen: Seen) -> End {
    let service = ledger::name(&format!("s{}", upstream / REGIONS));
    End { print, service, upstream: ledger::name(&name(upstream, life)), seen }
}

/// The identity of an upstream in one of its lives.
pub(super) fn name(upstream: usize, life: u32) -> String {
    format!("i-{upstream}.{life}")
}

/// The upstream of an identity.
pub(super) fn number(id: &str) -> Option<usize> {
    id.strip_prefix("i-")?.split('.').next()?.parse().ok()
}
