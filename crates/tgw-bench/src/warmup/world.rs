use super::{
    Outcome, Setup, Trouble, What,
    vm::{SERVICE, UPSTREAM, Vm, address, number},
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
};
use tgw_clock::Millis;
use tgw_forward::{
    Scope,
    core::SendMode,
    fleet::{Hop, Ticket},
    hosting::Request,
    upstream::SendOutcome,
};
use tgw_member::{Action, Event, Packet, Record};

/// Time between looks of a VM at its timers.
const TICK: Millis = Millis::new(100);
/// One way between VMs, in one region and between two.
const NEAR: Millis = Millis::from_micros(1_400);
const FAR: Millis = Millis::new(12);
/// A request's work, and the longest time until it is written, for want of a connection.
const WORK: Millis = Millis::new(15);
const CONNECT: Millis = Millis::new(60);
/// When callers come first, and how long it is played.
const FIRST: Millis = Millis::new(2_500);
const END: Millis = Millis::new(18_000);
const SECOND: Millis = Millis::new(1_000);
/// The chance that a packet is lost.
const LOSS: f64 = 0.01;

enum Due {
    Tick(usize),
    Packet { to: usize, from: SocketAddr, packet: Box<Packet> },
    Records { to: usize, records: Vec<Record> },
    Arrive,
    Host { to: usize },
    Write { vm: usize, ticket: Ticket },
    End { vm: usize, ticket: Ticket },
    Begin(usize),
    Over(usize),
}

struct World {
    setup: Setup,
    now: Millis,
    vms: Vec<Vm>,
    /// Whom each trouble befalls, once it has begun.
    struck: BTreeMap<usize, Vec<usize>>,
    heap: BinaryHeap<Reverse<(Millis, u64)>>,
    events: BTreeMap<u64, Due>,
    next: u64,
    /// When requests reached the upstream.
    written: Vec<Millis>,
    rng: SmallRng,
}

/// Plays one run.
pub fn play(setup: Setup) -> Outcome {
    let mut world = World::new(setup);
    while let Some(Reverse((at, number))) = world.heap.pop() {
        if at > END {
            break;
        }
        world.now = at;
        if let Some(due) = world.events.remove(&number) {
            world.handle(due);
        }
    }
    world.outcome()
}

impl World {
    fn new(setup: Setup) -> Self {
        let mut world = Self {
            now: Millis::ZERO,
            vms: Vec::new(),
            struck: BTreeMap::new(),
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            written: Vec::new(),
            rng: SmallRng::seed_from_u64(setup.seed),
            setup,
        };
        for vm in 0..world.setup.vms {
            let seed = world.rng.random();
            world.vms.push(Vm::start(Millis::ZERO, &world.setup, vm, seed));
            let jitter = TICK.scale(world.rng.random_range(0.0..1.0));
            world.at(jitter, Due::Tick(vm));
        }
        for (number, trouble) in world.setup.troubles.clone().into_iter().enumerate() {
            world.at(trouble.at, Due::Begin(number));
            world.at(trouble.until, Due::Over(number));
        }
        world.at(FIRST, Due::Arrive);
        world
    }

    fn at(&mut self, at: Millis, due: Due) {
        self.next += 1;
        self.heap.push(Reverse((at, self.next)));
        self.events.insert(self.next, due);
    }

    fn handle(&mut self, due: Due) {
        let whom = match &due {
            Due::Tick(vm) | Due::Write { vm, .. } | Due::End { vm, .. } => Some(*vm),
            Due::Packet { to, .. } | Due::Records { to, .. } | Due::Host { to } => Some(*to),
            Due::Arrive | Due::Begin(_) | Due::Over(_) => None,
        };
        if let Some(vm) = whom.map(|vm| &self.vms[vm]) {
            if vm.ended {
                return;
            }
            if vm.frozen_until > self.now {
                let until = vm.frozen_until;
                return self.at(until, due);
            }
        }
        match due {
            Due::Tick(vm) => {
                self.at(self.now + TICK, Due::Tick(vm));
                self.member(vm, Event::Tick);
                self.vms[vm].settle(self.now);
            }
            Due::Packet { to, from, packet } => {
                self.vms[to].core.fleet.record_contact(self.now);
                self.member(to, Event::Packet(from, packet));
            }
            Due::Records { to, records } => self.member(to, Event::Records(records)),
            Due::Arrive => self.arrive(),
            Due::Host { to } => self.host(to),
            Due::Write { vm, ticket } => self.write(vm, ticket),
            Due::End { vm, ticket } => {
                self.vms[vm].core.fleet.record_outcome(self.now, ticket, SendOutcome::Reply);
            }
            Due::Begin(number) => self.begin(number),
            Due::Over(number) => self.over(number),
        }
    }

    fn member(&mut self, vm: usize, event: Event) {
        let mut out = Vec::new();
        self.vms[vm].member.on(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send(to, packet) => {
                    let lost = self.rng.random_bool(LOSS);
                    if let Some((to, way)) = self.way(vm, to).filter(|_| !lost) {
                        let from = address(vm);
                        self.at(self.now + way, Due::Packet { to, from, packet });
                    }
                }
                Action::Sync(to, records) => {
                    if let Some((to, way)) = self.way(vm, to) {
                        self.at(self.now + way + way + way, Due::Records { to, records });
                    }
                }
                Action::Newer { .. } | Action::Paused(_) | Action::Changed => {}
            }
        }
    }

    fn way(&self, from: usize, to: SocketAddr) -> Option<(usize, Millis)> {
        let to = number(to);
        let cut = self.struck.iter().any(|(number, vms)| {
            let (here, there) = (vms.contains(&from), vms.contains(&to));
            match self.setup.troubles[*number].what {
                What::Alone => here || there,
                What::Island => here != there,
                What::Frozen | What::Restarted => false,
            }
        });
        let near = self.vms.get(to)?.region == self.vms[from].region;
        (!cut).then_some((to, if near { NEAR } else { FAR }))
    }

    /// A caller's request comes to any VM that takes callers.
    fn arrive(&mut self) {
        let gap = 1_000.0 / (self.setup.rate * self.setup.demand);
        let gap = Millis::from_f64(gap * self.rng.random_range(0.0..2.0));
        self.at(self.now + gap, Due::Arrive);
        let vm = self.rng.random_range(0..self.vms.len());
        let now = self.now;
        let seat = &mut self.vms[vm];
        if seat.ended || seat.frozen_until > now {
            return;
        }
        let most = seat.core.send_limits(SERVICE, SendMode::Peers);
        let choice = seat.core.fleet.pick(now, SERVICE, most, &[], Scope::default());
        let Some(choice) = choice else { return };
        let through = seat.core.fleet.lease_holder(now, choice.key).map(|candidate| candidate.addr);
        let ticket = seat.core.fleet.record_send(now, choice.key);
        match (choice.hop, through) {
            (Hop::Direct, _) => self.connect(vm, ticket),
            (Hop::Peer, Some(addr)) => {
                if let Some((to, way)) = self.way(vm, addr) {
                    self.at(now + way, Due::Host { to });
                }
                // As long as its answer takes, or a lost packet.
                self.at(now + FAR + FAR + WORK + CONNECT, Due::End { vm, ticket });
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
        let after = CONNECT.scale(self.rng.random_range(0.0..1.0));
        self.at(self.now + after, Due::Write { vm, ticket });
    }

    fn write(&mut self, vm: usize, ticket: Ticket) {
        let fleet = &mut self.vms[vm].core.fleet;
        if !fleet.authorize_write(self.now, ticket) {
            return fleet.record_outcome(self.now, ticket, SendOutcome::PeerRefused);
        }
        self.written.push(self.now);
        self.at(self.now + WORK, Due::End { vm, ticket });
    }

    fn begin(&mut self, number: usize) {
        let Trouble { what, share, until, .. } = self.setup.troubles[number];
        let taken: Vec<usize> = self.struck.values().flatten().copied().collect();
        let mut vms: Vec<usize> = (0..self.vms.len()).filter(|vm| !taken.contains(vm)).collect();
        vms.shuffle(&mut self.rng);
        vms.truncate((share * self.vms.len() as f64).round() as usize);
        for vm in &vms {
            match what {
                What::Frozen => self.vms[*vm].frozen_until = until,
                What::Restarted => self.vms[*vm].ended = true,
                What::Alone | What::Island => {}
            }
        }
        self.struck.insert(number, vms);
    }

    fn over(&mut self, number: usize) {
        let vms = self.struck.remove(&number).unwrap_or_default();
        if self.setup.troubles[number].what != What::Restarted {
            return;
        }
        for vm in vms {
            let seed = self.rng.random();
            self.vms[vm] = Vm::start(self.now, &self.setup, vm, seed);
            self.at(self.now, Due::Tick(vm));
        }
    }

    fn outcome(&mut self) -> Outcome {
        self.written.sort_unstable();
        let within =
            |at: &Millis| self.written.iter().filter(|w| **w >= *at && **w - *at < SECOND).count();
        let worst = self.written.iter().map(within).max().unwrap_or(0);
        let trouble = self.setup.troubles.iter().map(|t| t.at).min().unwrap_or(END);
        let used = |from: Millis, to: Millis| {
            let count = self.written.iter().filter(|w| **w >= from && **w < to).count();
            count as f64 / (self.setup.rate * (to - from).as_f64() / 1_000.0)
        };
        Outcome {
            worst,
            limit: self.setup.limit(),
            used: used(FIRST + SECOND, trouble),
            used_beside: if trouble < END { used(trouble, END) } else { 0.0 },
        }
    }
}
