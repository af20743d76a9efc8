use super::{
    run::{Event, Sim},
    vms::{REGIONS, add_upstream, connect},
};
use rand::seq::index;
use tgw_clock::Millis;
use tgw_forward::{plan::SendResult, upstream::SendOutcome};
use tgw_quarantine::{
    Fingerprint,
    message::{Rounds, Termination, Update},
    tracker::{self, Change},
};

/// Time after which the store no longer lists an upstream that ended.
const UNLIST_DELAY_MS: Millis = Millis::new(2_400);

/// VMs to which each VM forwards a new update, as in the gateway.
const UPDATE_FANOUT: usize = 8;

/// A request at an upstream or on its way there, with the numbers of the events that will end it.
pub(super) struct InFlight {
    /// Event at the VM that took the query in.
    pub(super) ended: u64,
    /// Event at the peer VM that sends on its behalf.
    pub(super) hosted: Option<u64>,
    /// When the request reaches the upstream.
    pub(super) arrives: Millis,
    /// The VM on whose connection it arrives.
    pub(super) from: usize,
    pub(super) print: Fingerprint,
    pub(super) rounds: Rounds,
}

/// Upstreams that end, and the processes that replace them.
impl Sim {
    /// Records a request that an upstream holds.
    pub(super) fn record_in_flight(&mut self, upstream: usize, request: InFlight) {
        let events = &self.events;
        let in_flight = &mut self.in_flight[upstream];
        in_flight.retain(|f| events.contains_key(&f.ended));
        in_flight.push(request);
    }

    /// Ends an upstream's process of this `generation`, unless it has ended already. Requests that
    /// it holds break; requests on their way to it are refused.
    pub(super) fn end(&mut self, now: Millis, (upstream, generation): (usize, u32), content: u64) {
        if self.pool.upstreams[upstream].generation() != generation {
            return;
        }
        let restart_at = self.pool.upstreams[upstream].end(now);
        self.tally.record_end(now, content);
        self.schedule(now + UNLIST_DELAY_MS, Event::Unlisted { upstream, generation });
        self.schedule(restart_at, Event::Started { upstream, generation: generation + 1 });
        for request in std::mem::take(&mut self.in_flight[upstream]) {
            let InFlight { ended, hosted, arrives, from, print, rounds } = request;
            let held = arrives <= now;
            let delay = self.pool.delay(self.vms[from].region, upstream % REGIONS);
            // The sender opens a new connection after the break, which is refused.
            let reconnect_delay = delay.mul_f64(2.0);
            if held {
                let end = termination_report(upstream, generation, print, rounds);
                self.schedule(
                    now + delay + reconnect_delay,
                    Event::EndDetected { vm: from, upstream, generation, end },
                );
            }
            let at = arrives.max(now);
            let outcome = if held { SendOutcome::Broken } else { SendOutcome::Unreachable };
            if let Some(Event::Hosted { vm, ticket, .. }) =
                hosted.and_then(|h| self.events.remove(&h))
            {
                self.schedule(
                    at + reconnect_delay,
                    Event::Hosted { vm, ticket, outcome, load: None },
                );
            }
            if let Some(Event::Ended { vm, query, part, ticket, .. }) = self.events.remove(&ended) {
                let delay = self.pool.delay(self.vms[vm].region, upstream % REGIONS);
                let result = if held { SendResult::Terminated } else { SendResult::NotConnected };
                let extra_delay = if held { reconnect_delay } else { Millis::ZERO };
                self.schedule(
                    at + delay + extra_delay,
                    Event::Ended { vm, query, part, ticket, outcome, result },
                );
            }
        }
    }

    /// A VM finds that an upstream ended during a request: it marks the upstream as unreachable, records
    /// the end for the quarantine, and sends the resulting updates to peers.
    pub(super) fn detect_end(
        &mut self,
        now: Millis,
        vm: usize,
        (upstream, generation): (usize, u32),
        end: &Termination,
    ) {
        let core = &mut self.vms[vm].core;
        if let Some(key) = core.fleet.key(&name(upstream, generation)) {
            core.fleet.mark_unreachable(now, key);
        }
        let change = core.quarantine.record_end(now, end);
        self.record_change(end.fingerprint, change);
        self.forward_updates(now, vm);
    }

    /// A VM receives an update on quarantined requests from a peer.
    pub(super) fn receive_update(&mut self, now: Millis, vm: usize, update: &Update) {
        let tracker = &mut self.vms[vm].core.quarantine;
        let ends = update.terminations.iter();
        let ends = ends.map(|end| (end.fingerprint, tracker.record_end(now, end)));
        let mut changes: Vec<(Fingerprint, Change)> = ends.collect();
        let answers = update.answers.iter();
        changes.extend(answers.map(|a| (a.fingerprint, tracker.merge_answer(now, a))));
        let states = update.states.iter();
        changes.extend(states.map(|state| (state.fingerprint, tracker.merge(now, state))));
        for (fingerprint, change) in changes {
            self.record_change(fingerprint, change);
        }
        self.forward_updates(now, vm);
    }

    fn record_change(&mut self, fingerprint: Fingerprint, change: Change) {
        if matches!(change, Change::Quarantined { .. }) {
            self.tally.record_quarantine(fingerprint);
        }
    }

    /// Forwards the updates that are new to a VM to some randomly chosen peers.
    pub(super) fn forward_updates(&mut self, now: Millis, vm: usize) {
        while let Some(update) = self.vms[vm].core.quarantine.take_update() {
            let others: Vec<usize> = (0..self.vms.len()).filter(|other| *other != vm).collect();
            for at in index::sample(&mut self.rng, others.len(), UPDATE_FANOUT.min(others.len())) {
                let to = others[at];
                let delay = self.pool.delay(self.vms[vm].region, self.vms[to].region);
                self.schedule(
                    now + delay,
                    Event::UpdateReceived { vm: to, update: update.clone() },
                );
            }
        }
    }

    /// All VMs remove an upstream that has ended.
    pub(super) fn unlist(&mut self, upstream: usize, generation: u32) {
        for vm in &mut self.vms {
            vm.core.fleet.remove(&name(upstream, generation));
        }
    }

    /// All VMs add an upstream that started, and the VMs of its region connect to it.
    pub(super) fn add_upstream(&mut self, now: Millis, upstream: usize, generation: u32) {
        for vm in &mut self.vms {
            add_upstream(&mut vm.core, now, upstream, generation);
            if vm.region == upstream % REGIONS {
                connect(&mut vm.core, upstream, generation);
            }
        }
    }
}

fn termination_report(
    upstream: usize,
    generation: u32,
    print: Fingerprint,
    rounds: Rounds,
) -> Termination {
    let service = tracker::hash_name(&format!("s{}", upstream / REGIONS));
    Termination {
        fingerprint: print,
        service,
        upstream: tracker::hash_name(&name(upstream, generation)),
        rounds,
    }
}

/// Identity of an upstream's process of this generation.
pub(super) fn name(upstream: usize, generation: u32) -> String {
    format!("i-{upstream}.{generation}")
}

/// Number of the upstream with this identity.
pub(super) fn number(id: &str) -> Option<usize> {
    id.strip_prefix("i-")?.split('.').next()?.parse().ok()
}
