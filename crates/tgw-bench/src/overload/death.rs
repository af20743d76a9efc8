use super::{
    run::{Event, Sim},
    vms::{REGIONS, connect, enter},
};
use tgw_clock::Millis;
use tgw_forward::{plan::Ended, upstream::Sign};

/// Time in ms after which the store has forgotten an upstream that ended.
const FORGOTTEN: Millis = Millis::new(2_400);

/// A request that an upstream holds, by the events of its end.
pub(super) struct Flight {
    /// At the VM that took the query in.
    pub(super) ended: u64,
    /// At the VM that sends for it.
    pub(super) hosted: Option<u64>,
    /// When the request comes to the upstream.
    pub(super) arrives: Millis,
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
        for Flight { ended, hosted, arrives } in std::mem::take(&mut self.flights[upstream]) {
            let held = arrives <= now;
            let at = arrives.max(now);
            let sign = if held { Sign::Broken } else { Sign::Unreachable };
            if let Some(Event::Hosted { vm, ticket, .. }) =
                hosted.and_then(|h| self.events.remove(&h))
            {
                self.at(at, Event::Hosted { vm, ticket, sign });
            }
            if let Some(Event::Ended { vm, query, part, ticket, .. }) = self.events.remove(&ended) {
                let way = self.world.way(self.vms[vm].region, upstream % REGIONS);
                let ended = if held { Ended::Broken } else { Ended::Unsent };
                self.at(at + way, Event::Ended { vm, query, part, ticket, sign, ended });
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

/// The identity of an upstream in one of its lives.
pub(super) fn name(upstream: usize, life: u32) -> String {
    format!("i-{upstream}.{life}")
}

/// The upstream of an identity.
pub(super) fn number(id: &str) -> Option<usize> {
    id.strip_prefix("i-")?.split('.').next()?.parse().ok()
}
