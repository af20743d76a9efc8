use super::{
    Outcome, Setup,
    outcome::{Place, Record, allowance_at},
    setup::EAGER_FACTOR,
    vm::{REGIONS, Vm},
};
use crate::{
    address::{address, number},
    event_queue::EventQueue,
    vm_faults::{ActiveFaults, FaultKind, Site},
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use std::{collections::BTreeMap, net::SocketAddr, rc::Rc};
use tgw_clock::Millis;
use tgw_member::{Action as MemberAction, Event, Packet, Record as MemberRecord};
use tgw_tenant::limit::{Action, Asker, BORROW_TIMEOUT_MS, Case, Decision, Message};

/// Interval between a VM's timer checks.
const TICK_INTERVAL_MS: Millis = Millis::new(100);
/// One-way delay between VMs, within a region and between regions.
const SAME_REGION_DELAY_MS: Millis = Millis::from_micros(900);
const CROSS_REGION_DELAY_MS: Millis = Millis::new(12);
/// Time after which the next VM is asked, and for which a silent one is not asked first, as in the gateway.
const ASK_TIMEOUT_MS: Millis = Millis::new(60);
const SILENCE_MS: Millis = Millis::new(1_000);
/// When the first callers arrive, once the VMs know one another for certain, and how long a run lasts.
pub(super) const FIRST_ARRIVAL_MS: Millis = Millis::new(16_000);
pub(super) const RUN_END_MS: Millis = Millis::new(36_000);
/// Probability that a packet is lost, usually and beside [`FaultKind::Lossy`].
const PACKET_LOSS_RATIO: f64 = 0.002;
const LOSSY_RATIO: f64 = 0.2;
/// Times that a caller whose request no VM could decide about comes back.
const MAX_RETRIES: u32 = 1;

enum Scheduled {
    Tick(usize),
    Packet { to: usize, from: SocketAddr, packet: Box<Packet> },
    Records { to: usize, records: Vec<MemberRecord> },
    Limit { to: usize, from: SocketAddr, message: Message },
    LoanOverdue { vm: usize, tenant: usize },
    Arrive { tenant: usize },
    Retry { place: Place, retries: u32 },
    AskTimeout { question: u64 },
    FaultBegins(usize),
    FaultEnds(usize),
}

/// A request that waits for a decision.
struct Question {
    place: Place,
    vm: usize,
    asked_at: Millis,
    retries: u32,
    /// VMs still to be asked, the next one last.
    order: Vec<SocketAddr>,
    asked: SocketAddr,
}

struct Simulation {
    setup: Setup,
    now: Millis,
    vms: Vec<Vm>,
    faults: ActiveFaults,
    events: EventQueue<Scheduled>,
    questions: BTreeMap<u64, Question>,
    names: Vec<Rc<str>>,
    record: Record,
    rng: SmallRng,
}

/// Runs one setup.
pub fn play(setup: Setup) -> Outcome {
    let mut simulation = Simulation::new(setup);
    while let Some((at, event)) = simulation.events.pop(RUN_END_MS) {
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.record.outcome(&simulation.setup)
}

impl Simulation {
    fn new(setup: Setup) -> Self {
        let mut simulation = Self {
            now: Millis::ZERO,
            vms: Vec::new(),
            faults: ActiveFaults::default(),
            events: EventQueue::default(),
            questions: BTreeMap::new(),
            names: (0..setup.tenants).map(|tenant| format!("tenant-{tenant}").into()).collect(),
            record: Record::new(setup.tenants),
            rng: SmallRng::seed_from_u64(setup.seed),
            setup,
        };
        for vm in 0..simulation.setup.vms {
            let seed = simulation.rng.random();
            simulation.vms.push(Vm::start(Millis::ZERO, &simulation.setup, vm, seed));
            let jitter = TICK_INTERVAL_MS.mul_f64(simulation.rng.random_range(0.0..1.0));
            simulation.schedule(jitter, Scheduled::Tick(vm));
        }
        for (number, fault) in simulation.setup.faults.clone().into_iter().enumerate() {
            simulation.schedule(fault.at, Scheduled::FaultBegins(number));
            simulation.schedule(fault.until, Scheduled::FaultEnds(number));
        }
        for tenant in 0..simulation.setup.tenants {
            let first = simulation.gap(tenant);
            simulation.schedule(FIRST_ARRIVAL_MS + first, Scheduled::Arrive { tenant });
        }
        simulation
    }

    fn schedule(&mut self, at: Millis, event: Scheduled) {
        self.events.schedule(at, event);
    }

    fn handle(&mut self, event: Scheduled) {
        let recipient = match &event {
            Scheduled::Tick(vm) | Scheduled::LoanOverdue { vm, .. } => Some(*vm),
            Scheduled::Packet { to, .. }
            | Scheduled::Records { to, .. }
            | Scheduled::Limit { to, .. } => Some(*to),
            _ => None,
        };
        if let Some(vm) = recipient.map(|vm| &self.vms[vm]) {
            if vm.is_down {
                return;
            }
            if vm.paused_until > self.now {
                let until = vm.paused_until;
                return self.schedule(until, event);
            }
        }
        match event {
            Scheduled::Tick(vm) => {
                self.schedule(self.now + TICK_INTERVAL_MS, Scheduled::Tick(vm));
                self.on_member_event(vm, Event::Tick);
                let (now, state) = (self.now, &mut self.vms[vm]);
                state.update_ranking(now);
                state.holder.tick(now);
                state.silent.retain(|_, until| now < *until);
            }
            Scheduled::Packet { to, from, packet } => {
                self.on_member_event(to, Event::Packet(from, packet));
            }
            Scheduled::Records { to, records } => {
                self.on_member_event(to, Event::Records(records));
            }
            Scheduled::Limit { to, from, message } => self.on_message(to, from, message),
            Scheduled::LoanOverdue { vm, tenant } => {
                self.with_case(vm, tenant, |now, holder, case, out| {
                    holder.loan_overdue(now, case, out);
                });
            }
            Scheduled::Arrive { tenant } => self.arrive(tenant),
            Scheduled::Retry { place, retries } => self.ask_first(place, retries),
            Scheduled::AskTimeout { question } => self.ask_timed_out(question),
            Scheduled::FaultBegins(number) => self.begin_fault(number),
            Scheduled::FaultEnds(number) => self.end_fault(number),
        }
    }

    fn on_member_event(&mut self, vm: usize, event: Event) {
        let mut out = Vec::new();
        self.vms[vm].member.handle(self.now, event, &mut out);
        for action in out {
            match action {
                MemberAction::Send(to, packet) => {
                    if let Some((to, delay)) = self.delivery(vm, to) {
                        let from = address(vm);
                        self.schedule(self.now + delay, Scheduled::Packet { to, from, packet });
                    }
                }
                MemberAction::SendRecords(to, records) => {
                    if let Some((to, delay)) = self.delivery(vm, to) {
                        let at = self.now + delay + delay + delay;
                        self.schedule(at, Scheduled::Records { to, records });
                    }
                }
                MemberAction::PeerNewer { .. }
                | MemberAction::Paused(_)
                | MemberAction::DirectoryChanged => {}
            }
        }
    }

    /// The receiver of a packet and its delay, unless the packet is lost.
    fn delivery(&mut self, from: usize, to: SocketAddr) -> Option<(usize, Millis)> {
        let to = number(to);
        let sites = [from, to].map(|vm| Some(Site { vm, region: self.vms.get(vm)?.region }));
        let [from, to_site] = [sites[0]?, sites[1]?];
        if self.faults.are_partitioned(from, to_site) {
            return None;
        }
        let loss = if self.faults.are_ways_lossy() { LOSSY_RATIO } else { PACKET_LOSS_RATIO };
        let is_near = from.region == to_site.region;
        let delay = if is_near { SAME_REGION_DELAY_MS } else { CROSS_REGION_DELAY_MS };
        let jitter = delay.mul_f64(self.rng.random_range(0.0..0.2));
        (!self.rng.random_bool(loss)).then_some((to, delay + jitter))
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        self.record.packets += 1;
        self.record.bytes += tgw_wire::encode(&tgw_wire::Keys::new([0; 32], None), &message)
            .map_or(0, |frame| frame.len() as u64);
        if let Some((to, delay)) = self.delivery(from, to) {
            self.schedule(self.now + delay, Scheduled::Limit { to, from: address(from), message });
        }
    }

    fn on_message(&mut self, vm: usize, from: SocketAddr, message: Message) {
        let tenant_of = |names: &[Rc<str>], name: &Rc<str>| {
            names.iter().position(|known| known == name).unwrap_or_default()
        };
        match message {
            Message::Ask { number, tenant } => {
                let tenant = tenant_of(&self.names, &tenant);
                let asker = Asker { vm: Some(from), number };
                self.with_case(vm, tenant, |now, holder, case, out| {
                    holder.ask(now, case, asker, out);
                });
            }
            Message::Decided { number, decision } => self.decided(number, from, decision),
            Message::Borrow { number, tenant, tokens: wanted } => {
                let index = tenant_of(&self.names, &tenant);
                let mut tokens = 0.0;
                self.with_case(vm, index, |now, holder, case, _| {
                    tokens = holder.lend(now, case, wanted);
                });
                self.send(vm, from, Message::Lent { number, tenant, tokens });
            }
            Message::Lent { number, tenant, tokens } => {
                let tenant = tenant_of(&self.names, &tenant);
                self.with_case(vm, tenant, |now, holder, case, out| {
                    holder.lent(now, case, number, tokens, out);
                });
            }
            Message::Returned { tenant } => {
                let tenant = tenant_of(&self.names, &tenant);
                self.with_case(vm, tenant, |now, holder, case, _| holder.give_back(now, case));
            }
        }
    }

    fn with_case(
        &mut self,
        vm: usize,
        tenant: usize,
        f: impl FnOnce(Millis, &mut tgw_tenant::limit::Holder, Case<'_>, &mut Vec<Action>),
    ) {
        let mut out = Vec::new();
        let allowance = allowance_at(&self.setup, tenant, self.now);
        let state = &mut self.vms[vm];
        let name = &self.names[tenant];
        let standing = state.ranking.standing(name);
        let case = Case { tenant: name, allowance, standing: &standing };
        f(self.now, &mut state.holder, case, &mut out);
        for action in out {
            match action {
                Action::Decide(Asker { vm: Some(to), number }, decision) => {
                    self.send(vm, to, Message::Decided { number, decision });
                }
                Action::Decide(Asker { vm: None, number }, decision) => {
                    self.decided(number, address(vm), decision);
                }
                Action::Send(to, message) => {
                    self.send(vm, to, message);
                    let at = self.now + BORROW_TIMEOUT_MS;
                    self.schedule(at, Scheduled::LoanOverdue { vm, tenant });
                }
            }
        }
    }

    fn gap(&mut self, tenant: usize) -> Millis {
        let hot = tenant == 0 && self.now >= super::setup::FAULT_START_MS;
        let demand = match self.setup.is_eager(tenant) {
            true => self.setup.allowance(tenant).rate_per_s * EAGER_FACTOR,
            false if hot => self.setup.demand(tenant) * self.setup.hot_factor,
            false => self.setup.demand(tenant),
        };
        let mean = 1_000.0 / demand;
        Millis::from_f64(-mean * (1.0 - self.rng.random_range(0.0..1.0_f64)).ln())
    }

    fn arrive(&mut self, tenant: usize) {
        let gap = self.gap(tenant);
        self.schedule(self.now + gap, Scheduled::Arrive { tenant });
        if !self.reachable(tenant).is_empty() {
            let place = self.record.arrived(self.now, tenant);
            self.ask_first(place, 0);
        }
    }

    /// The VMs that a tenant's callers reach: those that run, of one region if all its callers are there.
    fn reachable(&self, tenant: usize) -> Vec<usize> {
        let one_sided = self.setup.one_sided && tenant == 1;
        (0..self.vms.len())
            .filter(|vm| !self.vms[*vm].is_down && self.vms[*vm].paused_until <= self.now)
            .filter(|vm| !one_sided || self.vms[*vm].region == REGIONS - 1)
            .collect()
    }

    fn ask_first(&mut self, place: Place, retries: u32) {
        let now = self.now;
        let reachable = self.reachable(place.tenant);
        let Some(vm) = reachable.choose(&mut self.rng).copied() else { return };
        let state = &self.vms[vm];
        let mut ranked = state.ranking.ranked(&self.names[place.tenant]);
        ranked.sort_by_key(|candidate| state.silent.contains_key(&candidate.addr));
        let order = ranked.iter().rev().map(|candidate| candidate.addr).collect();
        let question = Question { place, vm, asked_at: now, retries, order, asked: address(vm) };
        self.ask_next(question);
    }

    fn ask_next(&mut self, mut question: Question) {
        let Some(to) = question.order.pop() else { return self.retry(&question) };
        let (vm, tenant) = (question.vm, question.place.tenant);
        question.asked = to;
        let number = self.events.next_number();
        self.questions.insert(number, question);
        self.schedule(self.now + ASK_TIMEOUT_MS, Scheduled::AskTimeout { question: number });
        if to == address(vm) {
            let asker = Asker { vm: None, number };
            self.with_case(vm, tenant, |now, holder, case, out| holder.ask(now, case, asker, out));
        } else {
            let tenant = self.names[tenant].clone();
            self.send(vm, to, Message::Ask { number, tenant });
        }
    }

    fn ask_timed_out(&mut self, number: u64) {
        let Some(question) = self.questions.remove(&number) else { return };
        let until = self.now + SILENCE_MS;
        self.vms[question.vm].silent.insert(question.asked, until);
        self.ask_next(question);
    }

    fn retry(&mut self, question: &Question) {
        let (place, retries) = (question.place, question.retries);
        if retries < MAX_RETRIES {
            let at = self.now + Millis::new(150);
            self.schedule(at, Scheduled::Retry { place, retries: retries + 1 });
        }
    }

    fn decided(&mut self, number: u64, from: SocketAddr, decision: Decision) {
        let Some(question) = self.questions.remove(&number) else { return };
        let Question { place, asked_at, .. } = question;
        match decision {
            Decision::Admitted => self.record.admitted(self.now, asked_at, place),
            Decision::OverLimit { .. } => {}
            Decision::Undecided { .. } => {
                debug_assert_eq!(from, question.asked);
                self.ask_next(question);
            }
        }
    }

    fn begin_fault(&mut self, number: usize) {
        let fault = self.setup.faults[number];
        for vm in self.faults.begin(number, fault, self.vms.len(), &mut self.rng) {
            match fault.kind {
                FaultKind::Paused => self.vms[vm].paused_until = fault.until,
                FaultKind::Restarted => self.vms[vm].is_down = true,
                _ => {}
            }
        }
    }

    fn end_fault(&mut self, number: usize) {
        for vm in self.faults.end(number) {
            let seed = self.rng.random();
            self.vms[vm] = Vm::start(self.now, &self.setup, vm, seed);
            self.schedule(self.now, Scheduled::Tick(vm));
        }
    }
}
