use super::{
    FaultKind,
    platform::STORE_REPLY_MS,
    setup::Subject,
    simulation::{LEAVING_COUNT, SETTLE_MS, Scheduled, Simulation, TICK_INTERVAL_MS},
    store::Change,
    view::is_leaving,
    vm::Call,
};
use tgw_clock::Millis;
use tgw_forward::upstream::Entry;
use tgw_member::Event;
use tgw_spread::{
    reachability::{
        self, PROBE_INTERVAL_MS, PROBE_TIMEOUT_MS, ProbeResult, REPORT_TIMEOUT_MS, Silence,
    },
    store_reads::{Step, WATCH_REPLY_MARGIN_MS},
};

/// One-way delay between VMs, within a region and between regions.
pub(super) const SAME_REGION_DELAY_MS: Millis = Millis::from_micros(1_400);
pub(super) const CROSS_REGION_DELAY_MS: Millis = Millis::new(20);
/// Timeout of a store call other than a watch, as in the store's adapter.
const STORE_CALL_TIMEOUT_MS: Millis = Millis::new(1_500);

/// The decisions of a VM and its calls of the store.
impl Simulation {
    pub(super) fn step(&mut self, vm: usize) {
        let state = &mut self.vms[vm];
        if state.call.is_some() {
            return;
        }
        let step = state.store_schedule.next_step(self.now, state.rank());
        match step {
            Step::Idle(time) | Step::Backoff(time) => self.schedule_step(vm, self.now + time),
            Step::List | Step::Watch { .. } => self.call(vm, step),
        }
    }

    pub(super) fn schedule_step(&mut self, vm: usize, at: Millis) {
        self.vms[vm].steps += 1;
        let number = self.vms[vm].steps;
        self.schedule(at, Scheduled::Step(vm, number));
    }

    pub(super) fn call(&mut self, vm: usize, step: Step) {
        let number = self.events.next_number();
        self.vms[vm].call = Some(Call { number, step, began: self.now });
        self.schedule(self.now + SAME_REGION_DELAY_MS, Scheduled::CallReceived(vm, number));
        let waits = match step {
            Step::Watch { wait, .. } => wait,
            _ => Millis::ZERO,
        };
        let limit =
            if waits > Millis::ZERO { WATCH_REPLY_MARGIN_MS } else { STORE_CALL_TIMEOUT_MS };
        self.schedule(self.now + waits + limit, Scheduled::Failed(vm, number));
        if waits > Millis::ZERO {
            // The watch ends without changes.
            self.schedule(
                self.now + waits + STORE_REPLY_MS,
                Scheduled::Watched(vm, number, 0, vec![]),
            );
        }
    }

    /// A VM that watches the store, or reports that it cannot reach it, probes whether it answers.
    pub(super) fn probe(&mut self, vm: usize) {
        self.schedule(self.now + PROBE_INTERVAL_MS, Scheduled::Probe(vm));
        if self.vms[vm].relay != Some(true) && !self.recheck_due(vm) {
            return;
        }
        let (after, result) = match self.store_fault(vm) {
            None => (self.answer_delay(), ProbeResult::Answered),
            Some(FaultKind::Refused) => (STORE_REPLY_MS, ProbeResult::Refused),
            Some(_) => (PROBE_TIMEOUT_MS, ProbeResult::TimedOut),
        };
        self.schedule(self.now + after, Scheduled::Probed(vm, result));
    }

    fn recheck_due(&mut self, vm: usize) -> bool {
        let state = &mut self.vms[vm];
        if !state.reachability.is_unreachable() {
            state.recheck_at = Millis::ZERO;
        }
        if state.recheck_at > self.now {
            return false;
        }
        let next = state.reachability.next_recheck();
        state.recheck_at = next.map_or(Millis::ZERO, |interval| self.now + interval);
        next.is_some()
    }

    pub(super) fn probed(&mut self, vm: usize, result: ProbeResult) {
        let (now, state) = (self.now, &mut self.vms[vm]);
        if state.relay == Some(true) {
            match result {
                ProbeResult::Answered => {
                    state.view.with_upstreams(|view| view.record_probe_answer(now));
                }
                ProbeResult::TimedOut => {
                    state.view.with_upstreams(|view| view.record_store_failure(now));
                }
                ProbeResult::Refused => {}
            }
            state.reachability.record_probe(now, result);
        } else {
            state.reachability.record_recheck(now, result);
        }
        self.announce(vm);
    }

    /// What the VMs say that reported to this one that they cannot reach the store; each of them probes it first.
    fn store_reports(&mut self, vm: usize) -> Vec<Option<Silence>> {
        let asked = self.vms[vm].reporters.to_ask(self.now);
        let reports = asked.into_iter().map(|addr| {
            let other = self.vms.iter().position(|other| other.addr == addr)?;
            let is_cut = self.store_fault(other).is_some()
                || self.vms[other].dead
                || self.vms[other].paused_until > self.now
                || self.delivery(other, self.vms[vm].addr).is_none();
            if is_cut {
                return None;
            }
            self.probed(other, ProbeResult::Answered);
            self.vms[other].reachability.silence().map(|silence| silence.ago(self.now))
        });
        reports.collect()
    }

    /// Ends a call and returns it, if it is still in flight.
    pub(super) fn take_call(&mut self, vm: usize, call: u64) -> Option<Call> {
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
        let reports = self.store_reports(vm);
        if reports.is_empty() {
            return self.apply_list(vm, call, version, entries, false);
        }
        let own = self.vms[vm].reachability.silence().map(|silence| silence.ago(self.now));
        let was_down = reachability::was_down(own, &reports);
        let is_missing = reports.iter().any(Option::is_none);
        let after = if is_missing { REPORT_TIMEOUT_MS } else { STORE_REPLY_MS };
        let event = Scheduled::ListedAfter { vm, call, version, entries, was_down };
        self.schedule(self.now + after, event);
    }

    pub(super) fn apply_list(
        &mut self,
        vm: usize,
        call: u64,
        version: u64,
        entries: Vec<(u64, Entry)>,
        was_down: bool,
    ) {
        if self.take_call(vm, call).is_none() {
            return;
        }
        let state = &mut self.vms[vm];
        if was_down {
            state.view.with_upstreams(|view| view.record_store_failure(self.now));
        }
        state.store_schedule.record_list(version);
        state.reachability.record_list(self.now, state.view.read_mode());
        state.view.apply_list(self.now, version, entries);
        self.announce(vm);
        self.step(vm);
    }

    pub(super) fn watched(&mut self, vm: usize, call: u64, version: u64, changes: Vec<Change>) {
        // A watch that no longer waits at the store and brings no changes was lost.
        let waits = self.waiting.iter().any(|w| w.1 == call);
        if changes.is_empty() && !waits {
            return;
        }
        self.waiting.retain(|w| w.1 != call);
        if self.take_call(vm, call).is_none() {
            return;
        }
        let misses = self.misses_leavings(vm);
        let state = &mut self.vms[vm];
        let has_changes = !changes.is_empty();
        state.view.with_upstreams(|view| view.record_store_answer(self.now));
        for change in changes.into_iter().filter(|change| !misses || !is_leaving(&change.1)) {
            state.view.apply_change(self.now, version, change);
        }
        state.store_schedule.record_watch(self.now, version, has_changes);
        if has_changes {
            self.announce(vm);
        }
        self.step(vm);
    }

    pub(super) fn failed(&mut self, vm: usize, call: u64) {
        let Some(Call { step, began, .. }) = self.take_call(vm, call) else { return };
        self.waiting.retain(|w| w.1 != call);
        let state = &mut self.vms[vm];
        let unreachable_count = state.member.platform_unreachable_count();
        match step {
            Step::List => {
                state.view.with_upstreams(|view| view.record_store_failure(self.now));
                state.store_schedule.record_list_failure(self.now, unreachable_count);
                state.reachability.record_list_failure(
                    began,
                    state.view.read_mode(),
                    state.store_schedule.store_unreachable(),
                );
            }
            Step::Watch { wait, .. } => {
                if self.now - began >= wait {
                    state.view.with_upstreams(|view| view.record_store_failure(self.now));
                }
                state.store_schedule.stop_watch(self.now);
            }
            Step::Idle(_) | Step::Backoff(_) => {}
        }
        self.announce(vm);
        self.step(vm);
    }

    pub(super) fn announce(&mut self, vm: usize) {
        for event in self.vms[vm].announcements() {
            self.handle_member_event(vm, event);
        }
    }

    pub(super) fn tick(&mut self, vm: usize) {
        self.schedule(self.now + TICK_INTERVAL_MS, Scheduled::Tick(vm));
        self.handle_member_event(vm, Event::Tick);
        let state = &mut self.vms[vm];
        state.reporters.update(self.now, state.member.platform_unreachable_peers());
        state.view.tick(self.now);
        if self.now < SETTLE_MS {
            return;
        }
        let state = &mut self.vms[vm];
        let relay = Some(state.member.watches_platform());
        if relay == state.relay {
            return;
        }
        state.relay = relay;
        let watching = state.call.filter(|c| matches!(c.step, Step::Watch { .. }));
        if let Some(call) = watching.filter(|_| relay == Some(false)) {
            state.call = None;
            state.store_schedule.stop_watch(self.now);
            self.waiting.retain(|w| w.1 != call.number);
        }
        self.step(vm);
    }

    /// Records when the VM learned of each change, and the least share of usable upstreams.
    pub(super) fn record_learned(&mut self, vm: usize) {
        let now = self.now;
        let state = &mut self.vms[vm];
        for (number, left) in self.left_at.iter().enumerate() {
            if left.is_some() {
                let has_learned = state.view.has_learned(number);
                let learned_at = &mut state.learned_at[number];
                *learned_at = has_learned.then(|| learned_at.unwrap_or(now));
            }
        }
        let measured = self.setup.subject == Subject::Upstreams && now > SETTLE_MS;
        if measured && state.measured_from == Millis::ZERO {
            let live = LEAVING_COUNT..self.setup.upstreams;
            let used = live.clone().filter(|number| state.view.may_send_to(*number)).count();
            self.usable = self.usable.min(used as f64 / live.len() as f64);
        }
    }
}
