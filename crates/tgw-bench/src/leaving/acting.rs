use super::{
    What,
    platform::STORE,
    setup::Subject,
    store::Change,
    vm::Call,
    world::{Due, LEAVING, SETTLE, TICK, World},
};
use tgw_clock::Millis;
use tgw_forward::upstream::Entry;
use tgw_member::Event;
use tgw_spread::store_reads::{
    PROBE_INTERVAL_MS, PROBE_TIMEOUT_MS, ProbeResult, Step, TAKEOVER_OUTAGE_VMS,
    WATCH_REPLY_MARGIN_MS,
};

/// One way between VMs, from the users' networks: within a region and between two.
pub(super) const NEAR: Millis = Millis::from_micros(1_400);
pub(super) const FAR: Millis = Millis::new(20);
/// Time for one call of the store that waits for nothing, as in the adapter.
const CALL: Millis = Millis::new(1_500);

/// What a VM does.
impl World {
    pub(super) fn step(&mut self, vm: usize) {
        let seat = &mut self.vms[vm];
        if seat.call.is_some() {
            return;
        }
        let step = seat.schedule.next_step(self.now, seat.rank());
        match step {
            Step::Idle(time) | Step::Backoff(time) => self.step_at(vm, self.now + time),
            Step::List | Step::Watch { .. } => self.call(vm, step),
        }
    }

    pub(super) fn step_at(&mut self, vm: usize, at: Millis) {
        self.vms[vm].steps += 1;
        let number = self.vms[vm].steps;
        self.at(at, Due::Step(vm, number));
    }

    pub(super) fn call(&mut self, vm: usize, step: Step) {
        self.next += 1;
        let number = self.next;
        self.vms[vm].call = Some(Call { number, step, began: self.now });
        self.at(self.now + NEAR, Due::Arrive(vm, number));
        let waits = match step {
            Step::Watch { wait, .. } => wait,
            _ => Millis::ZERO,
        };
        let limit = if waits > Millis::ZERO { WATCH_REPLY_MARGIN_MS } else { CALL };
        self.at(self.now + waits + limit, Due::Failed(vm, number));
        if waits > Millis::ZERO {
            // A watch that ends without news.
            self.at(self.now + waits + STORE, Due::Watched(vm, number, 0, vec![]));
        }
    }

    /// A VM that follows the store asks whether it answers.
    pub(super) fn probe(&mut self, vm: usize) {
        self.at(self.now + PROBE_INTERVAL_MS, Due::Probe(vm));
        if self.vms[vm].relay != Some(true) {
            return;
        }
        let (after, result) = match self.treats(vm) {
            None => (self.answer(), ProbeResult::Answered),
            Some(What::Refused) => (STORE, ProbeResult::Refused),
            Some(_) => (PROBE_TIMEOUT_MS, ProbeResult::TimedOut),
        };
        self.at(self.now + after, Due::Probed(vm, result));
    }

    /// Ends a call, if it is still under way.
    pub(super) fn done(&mut self, vm: usize, call: u64) -> Option<Call> {
        let done = self.vms[vm].call.filter(|c| c.number == call)?;
        self.vms[vm].call = None;
        Some(done)
    }

    pub(super) fn listed(
        &mut self,
        vm: usize,
        call: u64,
        version: u64,
        entries: Vec<(u64, Entry)>,
    ) {
        if self.done(vm, call).is_none() {
            return;
        }
        let seat = &mut self.vms[vm];
        if seat.member.blind_near() >= TAKEOVER_OUTAGE_VMS {
            seat.known.note(|known| known.record_store_failure(self.now));
        }
        seat.schedule.record_list(version);
        seat.reachability.record_list(seat.known.read_mode());
        seat.known.apply_list(self.now, version, entries);
        self.tell(vm);
        self.step(vm);
    }

    pub(super) fn watched(&mut self, vm: usize, call: u64, version: u64, changes: Vec<Change>) {
        // A watch that nobody waits for at the store, and that brings nothing, was lost.
        let waits = self.waiting.iter().any(|w| w.1 == call);
        if changes.is_empty() && !waits {
            return;
        }
        self.waiting.retain(|w| w.1 != call);
        if self.done(vm, call).is_none() {
            return;
        }
        let seat = &mut self.vms[vm];
        let news = !changes.is_empty();
        seat.known.note(|known| known.record_store_answer(self.now));
        changes.into_iter().for_each(|change| seat.known.apply_change(self.now, version, change));
        seat.schedule.record_watch(self.now, version, news);
        if news {
            self.tell(vm);
        }
        self.step(vm);
    }

    pub(super) fn failed(&mut self, vm: usize, call: u64) {
        let Some(Call { step, began, .. }) = self.done(vm, call) else { return };
        self.waiting.retain(|w| w.1 != call);
        let seat = &mut self.vms[vm];
        let blind_near = seat.member.blind_near();
        match step {
            Step::List => {
                seat.known.note(|known| known.record_store_failure(self.now));
                seat.schedule.record_list_failure(self.now, blind_near);
                seat.reachability.record(seat.known.read_mode(), seat.schedule.store_unreachable());
            }
            Step::Watch { wait, .. } => {
                if self.now - began >= wait {
                    seat.known.note(|known| known.record_store_failure(self.now));
                }
                seat.schedule.stop_watch(self.now);
            }
            Step::Idle(_) | Step::Backoff(_) => {}
        }
        self.tell(vm);
        self.step(vm);
    }

    pub(super) fn tell(&mut self, vm: usize) {
        for event in self.vms[vm].told() {
            self.member(vm, event);
        }
    }

    pub(super) fn tick(&mut self, vm: usize) {
        self.at(self.now + TICK, Due::Tick(vm));
        self.member(vm, Event::Tick);
        let seat = &mut self.vms[vm];
        seat.known.tick(self.now);
        if self.now < SETTLE {
            return;
        }
        let seat = &mut self.vms[vm];
        let relay = Some(seat.member.follows());
        if relay == seat.relay {
            return;
        }
        seat.relay = relay;
        let watching = seat.call.filter(|c| matches!(c.step, Step::Watch { .. }));
        if let Some(call) = watching.filter(|_| relay == Some(false)) {
            seat.call = None;
            seat.schedule.stop_watch(self.now);
            self.waiting.retain(|w| w.1 != call.number);
        }
        self.step(vm);
    }

    /// Notes which of the upstreams that have left it sends to no more.
    pub(super) fn note(&mut self, vm: usize) {
        let now = self.now;
        let seat = &mut self.vms[vm];
        for (number, left) in self.left_at.iter().enumerate() {
            if left.is_some() {
                let knows = seat.known.knows(number);
                let aware = &mut seat.aware[number];
                *aware = knows.then(|| aware.unwrap_or(now));
            }
        }
        let judged = self.setup.subject == Subject::Upstreams && now > SETTLE;
        if judged && seat.judged_from == Millis::ZERO {
            let live = LEAVING..self.setup.upstreams;
            let used = live.clone().filter(|number| seat.known.uses(*number)).count();
            self.usable = self.usable.min(used as f64 / live.len() as f64);
        }
    }
}
