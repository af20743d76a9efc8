use super::{Outcome, Setup};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::{Ipv4Addr, SocketAddr},
};
use tgw_clock::Millis;
use tgw_spread::{
    Bootstrap,
    start::{Action, Event, Options, PeerState, Timeouts},
};

/// Time between looks of a VM at its timers, as in the gateway.
const TICK: Millis = Millis::new(25);
/// One way between VMs, from the users' networks: within a region and between two.
const NEAR_MS: f64 = 1.4;
const FAR_MS: f64 = 12.0;
/// An answer of the store.
const STORE: Millis = Millis::new(4);
/// Bytes of the whole state that are assumed: 690 upstreams are 46 KB by their encoding, and routes over 90 to 135
/// shards come beside.
const STATE: u64 = 70_000;
/// Bytes a ms on a link of 20 Mbit/s.
const LINK: u64 = 2_500;
/// Bytes of a question or of its answer, headers included.
const PACKET: u64 = 60;
/// Calls that a reading of both kinds takes.
const READING: f64 = 3.0;
/// Calls that reading a copy of both kinds counts for: a tenth of a reading.
const COPY: f64 = 0.3;
/// VMs that one VM tells at once, as in the gateway.
const TOLD_AT_ONCE: usize = 4;
/// VMs all start within this time.
const WITHIN: Millis = Millis::new(300);
/// Pause after a reading that failed.
const AGAIN: Millis = Millis::new(400);

#[derive(Clone, Debug)]
enum Due {
    Tick(usize),
    VersionQuery { to: usize, from: usize },
    VersionReply { to: usize, from: usize, state: PeerState },
    Ask { to: usize, from: usize },
    Busy { to: usize, others: Vec<usize> },
    Told { to: usize, from: usize },
    Read(usize),
    Copied(usize),
}

struct Vm {
    start: Bootstrap,
    at: Millis,
    dies: Option<Millis>,
    refused: bool,
    reading: bool,
    read_again: Millis,
    telling: usize,
    told: Vec<usize>,
    link_free: Millis,
    sent: u64,
    serves: Option<Millis>,
    holds: Option<Millis>,
    read: bool,
}

struct World {
    now: Millis,
    vms: Vec<Vm>,
    setup: Setup,
    heap: BinaryHeap<Reverse<(Millis, u64)>>,
    events: BTreeMap<u64, Due>,
    next: u64,
    rng: SmallRng,
    calls: f64,
}

/// Plays a start of all VMs for up to 20 s.
pub fn play(setup: Setup) -> Outcome {
    let mut world = World::new(setup);
    let end = Millis::new(20_000);
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

fn address(index: usize) -> SocketAddr {
    let [_, _, high, low] = (index as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 9, high, low), 7802))
}

fn index(addr: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = addr else { return usize::MAX };
    let [_, _, high, low] = v4.ip().octets();
    usize::from(u16::from_be_bytes([high, low]))
}

impl World {
    fn new(setup: Setup) -> Self {
        let mut rng = SmallRng::seed_from_u64(setup.seed);
        let seeds: Vec<usize> = (0..3).collect();
        let mut vms = Vec::new();
        for number in 0..setup.vms {
            let seed = seeds.contains(&number);
            // Seeds last, as on the users' platform: nobody can be asked for as long as possible.
            let at = if seed { WITHIN } else { WITHIN.scale(rng.random_range(0.0..1.0)) };
            let down = number < setup.seeds_down;
            let dies = if down { Some(Millis::ZERO) } else { setup.seeds_die.map(|d| at + d) };
            let others = seeds.iter().filter(|s| **s != number).map(|s| address(*s)).collect();
            let options = Options {
                is_seed: seed,
                first_start: setup.first,
                seeds: others,
                timeouts: Timeouts::default(),
                rng_seed: rng.random(),
            };
            vms.push(Vm {
                start: Bootstrap::new(at, options),
                at,
                dies: dies.filter(|_| seed),
                refused: rng.random_bool(setup.refused),
                reading: false,
                read_again: Millis::ZERO,
                telling: 0,
                told: Vec::new(),
                link_free: Millis::ZERO,
                sent: 0,
                serves: None,
                holds: None,
                read: false,
            });
        }
        let (heap, events) = (BinaryHeap::new(), BTreeMap::new());
        let now = Millis::ZERO;
        let mut world = Self { now, vms, setup, heap, events, next: 0, rng, calls: 0.0 };
        for number in 0..world.vms.len() {
            world.at(world.vms[number].at, Due::Tick(number));
        }
        world
    }

    fn at(&mut self, at: Millis, due: Due) {
        self.next += 1;
        self.heap.push(Reverse((at, self.next)));
        self.events.insert(self.next, due);
    }

    fn lives(&self, vm: usize) -> bool {
        let vm = &self.vms[vm];
        self.now >= vm.at && vm.dies.is_none_or(|at| self.now < at)
    }

    fn way(&self, from: usize, to: usize) -> Millis {
        Millis::from_f64(if from % 3 == to % 3 { NEAR_MS } else { FAR_MS })
    }

    /// Sends a packet, which may be lost.
    fn packet(&mut self, from: usize, to: usize, due: Due) {
        self.vms[from].sent += PACKET;
        if to < self.vms.len() && !self.rng.random_bool(self.setup.loss) {
            self.at(self.now + self.way(from, to), due);
        }
    }

    fn handle(&mut self, due: Due) {
        let to = match &due {
            Due::Tick(to) | Due::Read(to) | Due::Copied(to) => *to,
            Due::VersionQuery { to, .. } | Due::VersionReply { to, .. } | Due::Ask { to, .. } => {
                *to
            }
            Due::Busy { to, .. } | Due::Told { to, .. } => *to,
        };
        if !self.lives(to) {
            return;
        }
        match due {
            Due::Tick(vm) => self.tick(vm),
            Due::VersionQuery { to, from } => {
                let held = u64::from(self.vms[to].holds.is_some());
                let reads_store = self.vms[to].reading;
                let state = PeerState { config: held, upstreams: held, reads_store };
                self.packet(to, from, Due::VersionReply { to: from, from: to, state });
            }
            Due::VersionReply { to, from, state } => {
                self.tell(to, Event::VersionReply(address(from), state));
            }
            Due::Ask { to, from } => self.asked(to, from),
            Due::Busy { to, others } => {
                let others: Vec<SocketAddr> = others.into_iter().map(address).collect();
                self.tell(to, Event::Busy(&others));
            }
            Due::Told { to, from } => {
                self.vms[from].telling -= 1;
                self.vms[from].told.push(to);
                self.tell(to, Event::StateReply);
                self.hold(to);
            }
            Due::Read(vm) => self.read(vm),
            Due::Copied(vm) => {
                let serves = &mut self.vms[vm].serves;
                serves.get_or_insert(self.now);
            }
        }
    }

    fn tell(&mut self, vm: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        self.vms[vm].start.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::QueryVersions(addr) => {
                    let to = index(addr);
                    self.packet(vm, to, Due::VersionQuery { to, from: vm });
                }
                Action::RequestState(addr) => {
                    let to = index(addr);
                    // A connection and a question: a way there, back and there again.
                    let way = self.way(vm, to);
                    self.at(self.now + way + way + way, Due::Ask { to, from: vm });
                }
            }
        }
    }

    fn asked(&mut self, vm: usize, from: usize) {
        if self.vms[vm].holds.is_none() {
            return;
        }
        let way = self.way(vm, from);
        if self.vms[vm].telling >= TOLD_AT_ONCE {
            let others = self.vms[vm].told.iter().rev().take(8).copied().collect();
            return self.at(self.now + way, Due::Busy { to: from, others });
        }
        let sender = &mut self.vms[vm];
        sender.telling += 1;
        sender.sent += STATE;
        sender.link_free = sender.link_free.max(self.now) + Millis::new(STATE / LINK);
        let told = sender.link_free + way;
        self.at(told, Due::Told { to: from, from: vm });
    }

    fn hold(&mut self, vm: usize) {
        let now = self.now;
        self.vms[vm].holds.get_or_insert(now);
        self.vms[vm].serves.get_or_insert(now);
        self.tell(vm, Event::OwnVersions { config: 1, upstreams: 1 });
    }

    fn answers(&self, vm: usize) -> bool {
        self.now >= self.setup.store_from && !self.vms[vm].refused
    }

    fn tick(&mut self, vm: usize) {
        self.tell(vm, Event::Tick);
        let now = self.now;
        let transfer = Millis::new(STATE * 3 / LINK);
        if self.vms[vm].start.take_copy_due(now) {
            self.calls += COPY;
            if self.answers(vm) {
                self.at(now + STORE + transfer, Due::Copied(vm));
            }
        }
        let seat = &self.vms[vm];
        let due = !seat.start.is_complete()
            && now >= seat.start.store_read_at()
            && now >= seat.read_again;
        if due && !seat.reading {
            self.vms[vm].reading = true;
            self.vms[vm].read = true;
            self.calls += READING;
            self.at(now + STORE + transfer, Due::Read(vm));
        }
        if self.vms[vm].holds.is_none() {
            self.at(now + TICK, Due::Tick(vm));
        }
    }

    fn read(&mut self, vm: usize) {
        if self.answers(vm) {
            return self.hold(vm);
        }
        self.vms[vm].reading = false;
        self.tell(vm, Event::StoreRefused);
        self.vms[vm].read_again = self.now + AGAIN;
    }

    fn outcome(&self) -> Outcome {
        let live: Vec<&Vm> = self.vms.iter().filter(|v| v.dies.is_none()).collect();
        let spread = |of: fn(&Vm) -> Option<Millis>| {
            let mut times: Vec<f64> =
                live.iter().filter_map(|v| Some((of(v)? - v.at).as_f64())).collect();
            times.sort_by(f64::total_cmp);
            let rank = |part: f64| {
                let last = times.len().saturating_sub(1);
                times.get((last as f64 * part) as usize).copied().unwrap_or(f64::NAN)
            };
            [rank(0.5), rank(0.99), rank(1.0)]
        };
        let sent = self.vms.iter().map(|v| v.sent);
        Outcome {
            vms: self.vms.len(),
            calls: self.calls,
            readers: self.vms.iter().filter(|v| v.read).count(),
            serves_ms: spread(|v| v.serves),
            holds_ms: spread(|v| v.holds),
            bytes: [
                sent.clone().sum::<u64>() as f64 / self.vms.len() as f64,
                sent.max().unwrap_or(0) as f64,
            ],
            without: live.iter().filter(|v| v.holds.is_none()).count(),
        }
    }
}
