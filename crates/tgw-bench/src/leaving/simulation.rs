use super::{
    Outcome, Setup,
    setup::Subject,
    store::{Change, Store},
    view::{Update, View},
    vm::Vm,
};
use crate::{address::address, event_queue::EventQueue};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
};
use tgw_clock::Millis;
use tgw_forward::upstream::Entry;
use tgw_member::{Event, Member, Options, Packet, Record};
use tgw_spread::{
    Schedule,
    agreement::{Digest, Reread},
    reachability::{ProbeResult, Reachability, Reporters},
};
use tgw_topology::{
    Place, Vm as Id,
    place::{Domain, Region},
};

/// Interval between a VM's timer checks, as in the gateway.
pub(super) const TICK_INTERVAL_MS: Millis = Millis::new(100);
/// Time from which on a VM may act as a relay, as in the gateway.
pub(super) const SETTLE_MS: Millis = Millis::new(1_500);
/// Number of upstreams that leave, and the time within which they do.
pub(super) const LEAVING_COUNT: usize = 8;
const LEAVING_SPREAD_MS: Millis = Millis::new(25);
/// How long a run continues after the upstreams leave.
const RUN_AFTER_MS: Millis = Millis::new(14_000);

/// A scheduled event.
#[derive(Debug)]
pub(super) enum Scheduled {
    Tick(usize),
    Packet {
        to: usize,
        from: SocketAddr,
        packet: Box<Packet>,
    },
    Records {
        to: usize,
        records: Vec<Record>,
    },
    Compare(usize),
    Digest {
        to: usize,
        from: usize,
        digest: Digest,
        is_reply: bool,
    },
    Step(usize, u64),
    Probe(usize),
    Probed(usize, ProbeResult),
    CallReceived(usize, u64),
    Listed(usize, u64, u64, Vec<(u64, Entry)>),
    /// The same, once it is known whether the store was down before.
    ListedAfter {
        vm: usize,
        call: u64,
        version: u64,
        entries: Vec<(u64, Entry)>,
        was_down: bool,
    },
    Watched(usize, u64, u64, Vec<Change>),
    Failed(usize, u64),
    UpdateRequest {
        to: usize,
        from: usize,
        version: u64,
        asked_at: Millis,
    },
    Update {
        to: usize,
        asked_at: Millis,
        update: Option<Update>,
    },
    UpdateTimeout {
        to: usize,
        asked_at: Millis,
    },
    FaultBegins(usize),
    FaultEnds(usize),
    SubjectChanges(usize),
    Write(Rc<str>),
    RewriteEntry,
}

/// Gives comparisons their own random sequence.
const COMPARE_SEED: u64 = 0x636f_6d70;

/// The VMs, the store and the scheduled events.
pub(super) struct Simulation {
    pub(super) setup: Setup,
    pub(super) now: Millis,
    pub(super) vms: Vec<Vm>,
    pub(super) store: Store,
    /// Watches that wait at the store: VM, call, revision after which changes are wanted, deadline.
    pub(super) waiting: Vec<(usize, u64, u64, Millis)>,
    /// VMs affected by each active fault.
    pub(super) affected: BTreeMap<usize, Vec<usize>>,
    pub(super) left_at: Vec<Option<Millis>>,
    pub(super) events: EventQueue<Scheduled>,
    pub(super) calls: usize,
    pub(super) usable: f64,
    pub(super) rng: SmallRng,
    /// Of its own for comparisons, so that they do not change what else is drawn.
    pub(super) compare_rng: SmallRng,
}

/// Runs one setup.
pub fn play(setup: Setup) -> Outcome {
    let mut simulation = Simulation::new(setup);
    let end = simulation.setup.leave_at + RUN_AFTER_MS;
    while let Some((at, event)) = simulation.events.pop(end) {
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.outcome()
}

pub(super) fn name(number: usize) -> Rc<str> {
    format!("u{number}").into()
}

pub(super) fn entry(id: Rc<str>, draining: bool, warmup: Millis) -> Entry {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let (service, domain) = ("s".into(), "d".into());
    Entry { id, started: 0, heartbeats: 0, service, addr, domain, slots: 1, draining, warmup }
}

impl Simulation {
    fn new(setup: Setup) -> Self {
        let mut simulation = Self {
            now: Millis::ZERO,
            vms: Vec::new(),
            store: Store::default(),
            waiting: Vec::new(),
            affected: BTreeMap::new(),
            left_at: vec![None; LEAVING_COUNT],
            events: EventQueue::default(),
            calls: 0,
            usable: 1.0,
            rng: SmallRng::seed_from_u64(setup.seed),
            compare_rng: SmallRng::seed_from_u64(setup.seed ^ COMPARE_SEED),
            setup,
        };
        match simulation.setup.subject {
            Subject::Upstreams => (0..simulation.setup.upstreams).for_each(|number| {
                simulation.store.write(entry(name(number), false, Millis::ZERO));
            }),
            // Only the odd domains start evacuated: these are taken back.
            Subject::Evacuations => (1..LEAVING_COUNT).step_by(2).for_each(|number| {
                simulation.store.write(entry(name(number), false, Millis::ZERO));
            }),
        }
        for number in 0..simulation.setup.vms {
            let vm = simulation.vm(number);
            simulation.vms.push(vm);
            let jitter = TICK_INTERVAL_MS.mul_f64(simulation.rng.random_range(0.0..1.0));
            simulation.schedule(jitter, Scheduled::Tick(number));
            simulation.schedule(jitter, Scheduled::Step(number, 0));
            simulation.schedule(SETTLE_MS + jitter, Scheduled::Probe(number));
            simulation.schedule(SETTLE_MS + jitter, Scheduled::Compare(number));
        }
        simulation.schedule_changes();
        simulation
    }

    fn vm(&mut self, number: usize) -> Vm {
        let Setup { vms, regions, .. } = self.setup;
        let domains = if vms <= 9 { regions.max(3) } else { 2 * regions };
        let domain = number % domains;
        let region = domain % regions;
        // Domains are assigned to regions in round-robin order, as the platform numbers them.
        let place = Place { region: Region(region as u8), domain: Domain(domain as u8) };
        let options = Options {
            vm: Id::from_name(&format!("vm-{number}")),
            name: format!("vm-{number}"),
            incarnation: 1 << 16,
            place,
            addr: address(number),
            seeds: (0..domains.min(vms)).map(address).collect(),
            rng_seed: self.rng.random(),
            power: 0,
        };
        Vm {
            addr: address(number),
            region,
            member: Member::new(options),
            view: View::new(self.setup.subject, &self.store),
            store_schedule: Schedule::new(self.rng.random(), self.setup.subject.timing()),
            reachability: Reachability::default(),
            recheck_at: Millis::ZERO,
            reporters: Reporters::default(),
            reread: Reread::default(),
            relay: None,
            call: None,
            steps: 0,
            request_sent_at: None,
            paused_until: Millis::ZERO,
            dead: false,
            measured_from: Millis::ZERO,
            learned_at: vec![None; LEAVING_COUNT],
        }
    }

    fn schedule_changes(&mut self) {
        for (number, fault) in self.setup.faults.clone().into_iter().enumerate() {
            self.schedule(fault.at, Scheduled::FaultBegins(number));
            self.schedule(fault.until, Scheduled::FaultEnds(number));
        }
        for number in 0..LEAVING_COUNT {
            let within = LEAVING_SPREAD_MS.mul_f64(self.rng.random_range(0.0..1.0));
            self.schedule(self.setup.leave_at + within, Scheduled::SubjectChanges(number));
        }
        self.schedule(SETTLE_MS + SETTLE_MS, Scheduled::RewriteEntry);
    }

    pub(super) fn schedule(&mut self, at: Millis, event: Scheduled) {
        self.events.schedule(at, event);
    }

    /// Handles an event. One for a dead VM is dropped, and one for a paused VM is postponed to the end of
    /// the pause.
    fn handle(&mut self, event: Scheduled) {
        let to = match &event {
            Scheduled::Tick(vm) | Scheduled::Step(vm, _) | Scheduled::Compare(vm) => Some(*vm),
            Scheduled::Probe(vm) | Scheduled::Probed(vm, _) => Some(*vm),
            Scheduled::ListedAfter { vm, .. } => Some(*vm),
            Scheduled::Listed(vm, ..) | Scheduled::Watched(vm, ..) | Scheduled::Failed(vm, _) => {
                Some(*vm)
            }
            Scheduled::Packet { to, .. }
            | Scheduled::Digest { to, .. }
            | Scheduled::Records { to, .. }
            | Scheduled::UpdateRequest { to, .. } => Some(*to),
            Scheduled::Update { to, .. } | Scheduled::UpdateTimeout { to, .. } => Some(*to),
            _ => None,
        };
        if let Some(vm) = to.map(|to| &self.vms[to]) {
            if vm.dead {
                return;
            }
            if vm.paused_until > self.now {
                let until = vm.paused_until;
                return self.schedule(until, event);
            }
        }
        match event {
            Scheduled::Tick(vm) => self.tick(vm),
            Scheduled::Packet { to, from, packet } => {
                self.handle_member_event(to, Event::Packet(from, packet));
            }
            Scheduled::Compare(vm) => self.compare(vm),
            Scheduled::Digest { to, from, digest, is_reply } => {
                self.receive_digest(to, from, digest, is_reply);
            }
            Scheduled::Records { to, records } => {
                self.handle_member_event(to, Event::Records(records));
            }
            Scheduled::Step(vm, number) if number == self.vms[vm].steps => self.step(vm),
            Scheduled::Step(..) => {}
            Scheduled::Probe(vm) => self.probe(vm),
            Scheduled::Probed(vm, result) => {
                self.probed(vm, result);
            }
            Scheduled::CallReceived(vm, call) => self.receive_call(vm, call),
            Scheduled::Listed(vm, call, version, entries) => {
                self.listed(vm, call, version, entries);
            }
            Scheduled::ListedAfter { vm, call, version, entries, was_down } => {
                self.apply_list(vm, call, version, entries, was_down);
            }
            Scheduled::Watched(vm, call, version, changes) => {
                self.watched(vm, call, version, changes);
            }
            Scheduled::Failed(vm, call) => self.failed(vm, call),
            Scheduled::UpdateRequest { to, from, version, asked_at } => {
                self.serve_update_request(to, from, version, asked_at);
            }
            Scheduled::Update { to, asked_at, update } => self.receive_update(to, asked_at, update),
            Scheduled::UpdateTimeout { to, asked_at } => {
                if self.vms[to].request_sent_at == Some(asked_at) {
                    self.vms[to].request_sent_at = None;
                }
            }
            Scheduled::FaultBegins(number) => self.begin_fault(number),
            Scheduled::FaultEnds(number) => self.end_fault(number),
            Scheduled::SubjectChanges(number) => self.apply_change(number),
            Scheduled::Write(id) => self.write(entry(id, false, Millis::ZERO)),
            Scheduled::RewriteEntry => self.rewrite_entry(),
        }
        if let Some(vm) = to {
            self.record_learned(vm);
        }
    }

    fn outcome(&self) -> Outcome {
        let mut after = Vec::new();
        let mut never = 0;
        for vm in self.vms.iter().filter(|vm| !vm.dead) {
            for (left, learned_at) in self.left_at.iter().zip(&vm.learned_at) {
                let Some(left) = left else { continue };
                match learned_at {
                    Some(at) => after.push((*at - (*left).max(vm.measured_from)).as_f64()),
                    None => never += 1,
                }
            }
        }
        after.sort_by(f64::total_cmp);
        let rank = |part: f64| {
            let last = after.len().saturating_sub(1);
            after.get((last as f64 * part) as usize).copied().unwrap_or(f64::NAN)
        };
        Outcome {
            vms: self.vms.len(),
            after_ms: [rank(0.5), rank(0.99), rank(1.0)],
            never,
            usable: self.usable,
            calls: self.calls,
        }
    }
}
