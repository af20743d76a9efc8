use super::{
    Outcome, Setup,
    vm::{SERVICE, UPSTREAM, Vm},
};
use crate::{
    address::{address, number},
    event_queue::EventQueue,
    vm_faults::{ActiveFaults, FaultKind, Site},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::net::SocketAddr;
use tgw_clock::Millis;
use tgw_forward::{
    Scope,
    core::SendMode,
    fleet::{Hop, Ticket},
    hosting::Request,
    upstream::SendOutcome,
};
use tgw_member::{Action, Event, Packet, Record};

/// Interval between a VM's timer checks.
const TICK_INTERVAL_MS: Millis = Millis::new(100);
/// One-way delay between VMs, within a region and between regions.
const SAME_REGION_DELAY_MS: Millis = Millis::from_micros(1_400);
const CROSS_REGION_DELAY_MS: Millis = Millis::new(12);
/// Duration of a request, and the longest time until it is written while it waits for a connection.
const REQUEST_MS: Millis = Millis::new(15);
const CONNECTION_WAIT_MS: Millis = Millis::new(60);
/// When the first callers arrive, and how long a run lasts.
const FIRST_ARRIVAL_MS: Millis = Millis::new(2_500);
const RUN_END_MS: Millis = Millis::new(18_000);
const SECOND: Millis = Millis::new(1_000);
/// Probability that a packet is lost.
const PACKET_LOSS_RATIO: f64 = 0.01;

enum Scheduled {
    Tick(usize),
    Packet { to: usize, from: SocketAddr, packet: Box<Packet> },
    Records { to: usize, records: Vec<Record> },
    Arrive,
    Host { to: usize },
    Write { vm: usize, ticket: Ticket },
    SendEnds { vm: usize, ticket: Ticket },
    FaultBegins(usize),
    FaultEnds(usize),
}

struct Simulation {
    setup: Setup,
    now: Millis,
    vms: Vec<Vm>,
    faults: ActiveFaults,
    events: EventQueue<Scheduled>,
    /// When requests reached the upstream.
    written: Vec<Millis>,
    rng: SmallRng,
}

/// Runs one setup.
pub fn play(setup: Setup) -> Outcome {
    let mut simulation = Simulation::new(setup);
    while let Some((at, event)) = simulation.events.pop(RUN_END_MS) {
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.outcome()
}

impl Simulation {
    fn new(setup: Setup) -> Self {
        let mut simulation = Self {
            now: Millis::ZERO,
            vms: Vec::new(),
            faults: ActiveFaults::default(),
            events: EventQueue::default(),
            written: Vec::new(),
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
        simulation.schedule(FIRST_ARRIVAL_MS, Scheduled::Arrive);
        simulation
    }

    fn schedule(&mut self, at: Millis, event: Scheduled) {
        self.events.schedule(at, event);
    }

    fn handle(&mut self, event: Scheduled) {
        let recipient = match &event {
            Scheduled::Tick(vm) | Scheduled::Write { vm, .. } | Scheduled::SendEnds { vm, .. } => {
                Some(*vm)
            }
            Scheduled::Packet { to, .. }
            | Scheduled::Records { to, .. }
            | Scheduled::Host { to } => Some(*to),
            Scheduled::Arrive | Scheduled::FaultBegins(_) | Scheduled::FaultEnds(_) => None,
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
                self.handle_member_event(vm, Event::Tick);
                self.vms[vm].update_candidates(self.now);
            }
            Scheduled::Packet { to, from, packet } => {
                self.vms[to].core.fleet.record_contact(self.now);
                self.handle_member_event(to, Event::Packet(from, packet));
            }
            Scheduled::Records { to, records } => {
                self.handle_member_event(to, Event::Records(records));
            }
            Scheduled::Arrive => self.arrive(),
            Scheduled::Host { to } => self.host(to),
            Scheduled::Write { vm, ticket } => self.write(vm, ticket),
            Scheduled::SendEnds { vm, ticket } => {
                self.vms[vm].core.fleet.record_outcome(self.now, ticket, SendOutcome::Reply);
            }
            Scheduled::FaultBegins(number) => self.begin_fault(number),
            Scheduled::FaultEnds(number) => self.end_fault(number),
        }
    }

    fn handle_member_event(&mut self, vm: usize, event: Event) {
        let mut out = Vec::new();
        self.vms[vm].member.handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send(to, packet) => {
                    let lost = self.rng.random_bool(PACKET_LOSS_RATIO);
                    if let Some((to, delay)) = self.delivery(vm, to).filter(|_| !lost) {
                        let from = address(vm);
                        self.schedule(self.now + delay, Scheduled::Packet { to, from, packet });
                    }
                }
                Action::SendRecords(to, records) => {
                    if let Some((to, delay)) = self.delivery(vm, to) {
                        self.schedule(
                            self.now + delay + delay + delay,
                            Scheduled::Records { to, records },
                        );
                    }
                }
                Action::PeerNewer { .. } | Action::Paused(_) | Action::DirectoryChanged => {}
            }
        }
    }

    fn delivery(&self, from: usize, to: SocketAddr) -> Option<(usize, Millis)> {
        let to = number(to);
        let site = |vm: usize| Some(Site { vm, region: self.vms.get(vm)?.region });
        let (here, there) = (site(from)?, site(to)?);
        let is_near = here.region == there.region;
        let delay = if is_near { SAME_REGION_DELAY_MS } else { CROSS_REGION_DELAY_MS };
        (!self.faults.are_partitioned(here, there)).then_some((to, delay))
    }

    /// A caller's request arrives at any VM that accepts callers.
    fn arrive(&mut self) {
        let gap = 1_000.0 / (self.setup.rate * self.setup.demand);
        let gap = Millis::from_f64(gap * self.rng.random_range(0.0..2.0));
        self.schedule(self.now + gap, Scheduled::Arrive);
        let vm = self.rng.random_range(0..self.vms.len());
        let now = self.now;
        let state = &mut self.vms[vm];
        if state.is_down || state.paused_until > now {
            return;
        }
        let most = state.core.send_limits(SERVICE, SendMode::Peers);
        let choice = state.core.fleet.pick(now, SERVICE, most, &[], Scope::default());
        let Some(choice) = choice else { return };
        let lease_holder = state.core.fleet.lease_holder(now, choice.key).map(|holder| holder.addr);
        let ticket = state.core.fleet.record_send(now, choice.key);
        match (choice.hop, lease_holder) {
            (Hop::Direct, _) => self.connect(vm, ticket),
            (Hop::Peer, Some(addr)) => {
                if let Some((to, delay)) = self.delivery(vm, addr) {
                    self.schedule(now + delay, Scheduled::Host { to });
                }
                // As long as its reply takes, also if the packet is lost.
                self.schedule(
                    now + CROSS_REGION_DELAY_MS
                        + CROSS_REGION_DELAY_MS
                        + REQUEST_MS
                        + CONNECTION_WAIT_MS,
                    Scheduled::SendEnds { vm, ticket },
                );
            }
            (Hop::Peer, None) => {
                self.vms[vm].core.fleet.record_outcome(now, ticket, SendOutcome::PeerRefused);
            }
        }
    }

    fn host(&mut self, vm: usize) {
        let request =
            Request { upstream: UPSTREAM, started: 0, fallback: false, lent: false, route: None };
        if let Ok(ticket) = self.vms[vm].core.host(self.now, request) {
            self.connect(vm, ticket);
        }
    }

    fn connect(&mut self, vm: usize, ticket: Ticket) {
        let after = CONNECTION_WAIT_MS.mul_f64(self.rng.random_range(0.0..1.0));
        self.schedule(self.now + after, Scheduled::Write { vm, ticket });
    }

    fn write(&mut self, vm: usize, ticket: Ticket) {
        let fleet = &mut self.vms[vm].core.fleet;
        if !fleet.authorize_write(self.now, ticket) {
            return fleet.record_outcome(self.now, ticket, SendOutcome::PeerRefused);
        }
        self.written.push(self.now);
        self.schedule(self.now + REQUEST_MS, Scheduled::SendEnds { vm, ticket });
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

    fn outcome(&mut self) -> Outcome {
        self.written.sort_unstable();
        let within =
            |at: &Millis| self.written.iter().filter(|w| **w >= *at && **w - *at < SECOND).count();
        let worst = self.written.iter().map(within).max().unwrap_or(0);
        let fault = self.setup.faults.iter().map(|t| t.at).min().unwrap_or(RUN_END_MS);
        let used = |from: Millis, to: Millis| {
            let count = self.written.iter().filter(|w| **w >= from && **w < to).count();
            count as f64 / (self.setup.rate * (to - from).as_f64() / 1_000.0)
        };
        Outcome {
            worst,
            limit: self.setup.limit(),
            used: used(FIRST_ARRIVAL_MS + SECOND, fault),
            used_beside: if fault < RUN_END_MS { used(fault, RUN_END_MS) } else { 0.0 },
        }
    }
}
