use super::{
    Outcome, Setup,
    known::{Known, Update},
    setup::Subject,
    store::{Change, Store},
    vm::Vm,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
};
use tgw_clock::Millis;
use tgw_forward::upstream::Entry;
use tgw_member::{Event, Member, Options, Packet, Record};
use tgw_spread::{
    Schedule,
    store_reads::{ProbeResult, Reachability},
};
use tgw_topology::{
    Place, Vm as Id,
    place::{Domain, Region},
};

/// Time between looks of a VM at its timers, as in the gateway.
pub(super) const TICK: Millis = Millis::new(100);
/// Time from which on a VM may hold itself for a relay, as in the gateway.
pub(super) const SETTLE: Millis = Millis::new(1_500);
/// Upstreams that leave, and within which time.
pub(super) const LEAVING: usize = 8;
const WITHIN: Millis = Millis::new(25);
/// How long it is played on after upstreams leave.
const REST: Millis = Millis::new(14_000);

/// What happens at a time.
#[derive(Debug)]
pub(super) enum Due {
    Tick(usize),
    Packet { to: usize, from: SocketAddr, packet: Box<Packet> },
    Records { to: usize, records: Vec<Record> },
    Step(usize, u64),
    Probe(usize),
    Probed(usize, ProbeResult),
    Arrive(usize, u64),
    Listed(usize, u64, u64, Vec<(u64, Entry)>),
    Watched(usize, u64, u64, Vec<Change>),
    Failed(usize, u64),
    Ask { to: usize, from: usize, version: u64, asked: Millis },
    Update { to: usize, asked: Millis, update: Option<Update> },
    Unanswered { to: usize, asked: Millis },
    Begin(usize),
    End(usize),
    Leave(usize),
    Write(Rc<str>),
    Churn,
}

/// The VMs, the store, and what is to happen.
pub(super) struct World {
    pub(super) setup: Setup,
    pub(super) now: Millis,
    pub(super) vms: Vec<Vm>,
    pub(super) store: Store,
    /// Watches that wait at the store: who, which call, after which revision, until when.
    pub(super) waiting: Vec<(usize, u64, u64, Millis)>,
    /// Whom each trouble befalls, once it has begun.
    pub(super) struck: BTreeMap<usize, Vec<usize>>,
    pub(super) left_at: Vec<Option<Millis>>,
    pub(super) heap: BinaryHeap<Reverse<(Millis, u64)>>,
    pub(super) events: BTreeMap<u64, Due>,
    pub(super) next: u64,
    pub(super) calls: usize,
    pub(super) usable: f64,
    pub(super) rng: SmallRng,
}

/// Plays one run.
pub fn play(setup: Setup) -> Outcome {
    let mut world = World::new(setup);
    let end = world.setup.leave_at + REST;
    while let Some(Reverse((at, number))) = world.heap.pop() {
        if at > end {
            break;
        }
        world.now = at;
        if let Some(due) = world.events.remove(&number) {
            world.handle(due);
        }
    }
    world.outcome()
}

pub(super) fn address(index: usize) -> SocketAddr {
    let [_, _, high, low] = (index as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 9, high, low), 7802))
}

pub(super) fn index(addr: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = addr else { return usize::MAX };
    let [_, _, high, low] = v4.ip().octets();
    usize::from(u16::from_be_bytes([high, low]))
}

pub(super) fn name(number: usize) -> Rc<str> {
    format!("u{number}").into()
}

pub(super) fn entry(id: Rc<str>, draining: bool, warmup: Millis) -> Entry {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let (service, domain) = ("s".into(), "d".into());
    Entry { id, started: 0, service, addr, domain, slots: 1, draining, warmup }
}

impl World {
    fn new(setup: Setup) -> Self {
        let mut world = Self {
            now: Millis::ZERO,
            vms: Vec::new(),
            store: Store::default(),
            waiting: Vec::new(),
            struck: BTreeMap::new(),
            left_at: vec![None; LEAVING],
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            calls: 0,
            usable: 1.0,
            rng: SmallRng::seed_from_u64(setup.seed),
            setup,
        };
        match world.setup.subject {
            Subject::Upstreams => (0..world.setup.upstreams).for_each(|number| {
                world.store.write(entry(name(number), false, Millis::ZERO));
            }),
            // Those that are taken back, as each other one is.
            Subject::Evacuations => (1..LEAVING).step_by(2).for_each(|number| {
                world.store.write(entry(name(number), false, Millis::ZERO));
            }),
        }
        for number in 0..world.setup.vms {
            let vm = world.vm(number);
            world.vms.push(vm);
            let jitter = TICK.scale(world.rng.random_range(0.0..1.0));
            world.at(jitter, Due::Tick(number));
            world.at(jitter, Due::Step(number, 0));
            world.at(SETTLE + jitter, Due::Probe(number));
        }
        world.plan();
        world
    }

    fn vm(&mut self, number: usize) -> Vm {
        let Setup { vms, regions, .. } = self.setup;
        let domains = if vms <= 9 { regions.max(3) } else { 2 * regions };
        let domain = number % domains;
        let region = domain % regions;
        // The domains of one region follow one another, as the platform numbers them.
        let place = Place { region: Region(region as u8), domain: Domain(domain as u8) };
        let options = Options {
            vm: Id::named(&format!("vm-{number}")),
            name: format!("vm-{number}"),
            incarnation: 1 << 16,
            place,
            addr: address(number),
            seeds: (0..domains.min(vms)).map(address).collect(),
            seed: self.rng.random(),
        };
        Vm {
            addr: address(number),
            region,
            member: Member::new(options),
            known: Known::new(self.setup.subject, &self.store),
            schedule: Schedule::new(self.rng.random(), self.setup.subject.timing()),
            reachability: Reachability::default(),
            relay: None,
            call: None,
            steps: 0,
            asking: None,
            frozen_until: Millis::ZERO,
            dead: false,
            judged_from: Millis::ZERO,
            aware: vec![None; LEAVING],
        }
    }

    fn plan(&mut self) {
        for (number, trouble) in self.setup.troubles.clone().into_iter().enumerate() {
            self.at(trouble.at, Due::Begin(number));
            self.at(trouble.until, Due::End(number));
        }
        for number in 0..LEAVING {
            let within = WITHIN.scale(self.rng.random_range(0.0..1.0));
            self.at(self.setup.leave_at + within, Due::Leave(number));
        }
        self.at(SETTLE + SETTLE, Due::Churn);
    }

    pub(super) fn at(&mut self, at: Millis, due: Due) {
        self.next += 1;
        self.heap.push(Reverse((at, self.next)));
        self.events.insert(self.next, due);
    }

    fn handle(&mut self, due: Due) {
        let to = match &due {
            Due::Tick(vm) | Due::Step(vm, _) => Some(*vm),
            Due::Probe(vm) | Due::Probed(vm, _) => Some(*vm),
            Due::Listed(vm, ..) | Due::Watched(vm, ..) | Due::Failed(vm, _) => Some(*vm),
            Due::Packet { to, .. } | Due::Records { to, .. } | Due::Ask { to, .. } => Some(*to),
            Due::Update { to, .. } | Due::Unanswered { to, .. } => Some(*to),
            _ => None,
        };
        if let Some(vm) = to.map(|to| &self.vms[to]) {
            if vm.dead {
                return;
            }
            if vm.frozen_until > self.now {
                let until = vm.frozen_until;
                return self.at(until, due);
            }
        }
        match due {
            Due::Tick(vm) => self.tick(vm),
            Due::Packet { to, from, packet } => self.member(to, Event::Packet(from, packet)),
            Due::Records { to, records } => self.member(to, Event::Records(records)),
            Due::Step(vm, number) if number == self.vms[vm].steps => self.step(vm),
            Due::Step(..) => {}
            Due::Probe(vm) => self.probe(vm),
            Due::Probed(vm, result) => {
                match result {
                    ProbeResult::Answered => {
                        self.vms[vm].known.note(|known| known.record_probe_answer(self.now));
                    }
                    ProbeResult::TimedOut => {
                        self.vms[vm].known.note(|known| known.record_store_failure(self.now));
                    }
                    ProbeResult::Refused => {}
                }
                self.vms[vm].reachability.record_probe(result);
                self.tell(vm);
            }
            Due::Arrive(vm, call) => self.arrive(vm, call),
            Due::Listed(vm, call, version, entries) => self.listed(vm, call, version, entries),
            Due::Watched(vm, call, version, changes) => self.watched(vm, call, version, changes),
            Due::Failed(vm, call) => self.failed(vm, call),
            Due::Ask { to, from, version, asked } => self.asked(to, from, version, asked),
            Due::Update { to, asked, update } => self.told(to, asked, update),
            Due::Unanswered { to, asked } => {
                if self.vms[to].asking == Some(asked) {
                    self.vms[to].asking = None;
                }
            }
            Due::Begin(number) => self.begin(number),
            Due::End(number) => self.end(number),
            Due::Leave(number) => self.leave(number),
            Due::Write(id) => self.write(entry(id, false, Millis::ZERO)),
            Due::Churn => self.churn(),
        }
        if let Some(vm) = to {
            self.note(vm);
        }
    }

    fn outcome(&self) -> Outcome {
        let mut after = Vec::new();
        let mut never = 0;
        for vm in self.vms.iter().filter(|vm| !vm.dead) {
            for (left, aware) in self.left_at.iter().zip(&vm.aware) {
                let Some(left) = left else { continue };
                match aware {
                    Some(at) => after.push((*at - (*left).max(vm.judged_from)).as_f64()),
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
