use super::{Outcome, Setup};
use crate::{
    address::{address, number},
    event_queue::EventQueue,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::net::SocketAddr;
use tgw_clock::Millis;
use tgw_spread::{
    Bootstrap,
    start::{Action, Event, Options, PeerState, Timeouts},
};

/// Interval between a VM's timer checks, as in the gateway.
const TICK_INTERVAL_MS: Millis = Millis::new(25);
/// One-way delay between VMs, within a region and between regions.
const SAME_REGION_DELAY_MS: f64 = 1.4;
const CROSS_REGION_DELAY_MS: f64 = 12.0;
/// Time in which the store answers.
const STORE_REPLY_MS: Millis = Millis::new(4);
/// Assumed bytes of the whole state: 690 upstreams encode to 46 KB, and routes over 90 to 135
/// shards add to that.
const STATE_BYTES: u64 = 70_000;
/// Bytes per ms on a link of 20 Mbit/s.
const LINK_BYTES_PER_MS: u64 = 2_500;
/// Bytes of a version query or its reply, headers included.
const PACKET_BYTES: u64 = 60;
/// Store calls of one read of both kinds of state.
const READ_CALLS: f64 = 3.0;
/// Store calls that reading a copy of both kinds counts for: a tenth of a read.
const COPY_READ_CALLS: f64 = 0.3;
/// Peers to which one VM sends the state at once, as in the gateway.
const MAX_CONCURRENT_SENDS: usize = 4;
/// All VMs start within this time.
const START_SPREAD_MS: Millis = Millis::new(300);
/// Backoff after a failed read.
const READ_BACKOFF_MS: Millis = Millis::new(400);

#[derive(Clone, Debug)]
enum Scheduled {
    Tick(usize),
    VersionQuery { to: usize, from: usize },
    VersionReply { to: usize, from: usize, state: PeerState },
    StateRequest { to: usize, from: usize },
    Busy { to: usize, others: Vec<usize> },
    StateReceived { to: usize, from: usize },
    StoreRead(usize),
    CopyRead(usize),
}

struct Vm {
    start: Bootstrap,
    at: Millis,
    dies: Option<Millis>,
    refused: bool,
    reading: bool,
    read_again: Millis,
    sending: usize,
    served: Vec<usize>,
    link_free: Millis,
    sent: u64,
    ready_at: Option<Millis>,
    synced_at: Option<Millis>,
    read: bool,
}

struct Simulation {
    now: Millis,
    vms: Vec<Vm>,
    setup: Setup,
    events: EventQueue<Scheduled>,
    rng: SmallRng,
    calls: f64,
}

/// Simulates a start of all VMs for up to 20 s.
pub fn play(setup: Setup) -> Outcome {
    let mut simulation = Simulation::new(setup);
    let end = Millis::new(20_000);
    while let Some((at, event)) = simulation.events.pop(end) {
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.outcome()
}

impl Simulation {
    fn new(setup: Setup) -> Self {
        let mut rng = SmallRng::seed_from_u64(setup.seed);
        let seeds: Vec<usize> = (0..3).collect();
        let mut vms = Vec::new();
        for number in 0..setup.vms {
            let seed = seeds.contains(&number);
            // Seeds start last, so that peers have no source for as long as possible.
            let at = if seed {
                START_SPREAD_MS
            } else {
                START_SPREAD_MS.mul_f64(rng.random_range(0.0..1.0))
            };
            let down = number < setup.seeds_down;
            let dies = if down { Some(Millis::ZERO) } else { setup.seeds_die.map(|d| at + d) };
            let others = seeds.iter().filter(|s| **s != number).map(|s| address(*s)).collect();
            let options = Options {
                is_seed: seed,
                first_start: setup.first_start,
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
                sending: 0,
                served: Vec::new(),
                link_free: Millis::ZERO,
                sent: 0,
                ready_at: None,
                synced_at: None,
                read: false,
            });
        }
        let (now, events) = (Millis::ZERO, EventQueue::default());
        let mut simulation = Self { now, vms, setup, events, rng, calls: 0.0 };
        for number in 0..simulation.vms.len() {
            simulation.schedule(simulation.vms[number].at, Scheduled::Tick(number));
        }
        simulation
    }

    fn schedule(&mut self, at: Millis, event: Scheduled) {
        self.events.schedule(at, event);
    }

    fn is_alive(&self, vm: usize) -> bool {
        let vm = &self.vms[vm];
        self.now >= vm.at && vm.dies.is_none_or(|at| self.now < at)
    }

    fn delay(&self, from: usize, to: usize) -> Millis {
        Millis::from_f64(if from % 3 == to % 3 {
            SAME_REGION_DELAY_MS
        } else {
            CROSS_REGION_DELAY_MS
        })
    }

    /// Sends a packet, which may be lost.
    fn packet(&mut self, from: usize, to: usize, event: Scheduled) {
        self.vms[from].sent += PACKET_BYTES;
        if to < self.vms.len() && !self.rng.random_bool(self.setup.loss) {
            self.schedule(self.now + self.delay(from, to), event);
        }
    }

    fn handle(&mut self, event: Scheduled) {
        let to = match &event {
            Scheduled::Tick(to) | Scheduled::StoreRead(to) | Scheduled::CopyRead(to) => *to,
            Scheduled::VersionQuery { to, .. }
            | Scheduled::VersionReply { to, .. }
            | Scheduled::StateRequest { to, .. } => *to,
            Scheduled::Busy { to, .. } | Scheduled::StateReceived { to, .. } => *to,
        };
        if !self.is_alive(to) {
            return;
        }
        match event {
            Scheduled::Tick(vm) => self.tick(vm),
            Scheduled::VersionQuery { to, from } => {
                let held = u64::from(self.vms[to].synced_at.is_some());
                let reads_store = self.vms[to].reading;
                let state = PeerState { config: held, upstreams: held, reads_store };
                self.packet(to, from, Scheduled::VersionReply { to: from, from: to, state });
            }
            Scheduled::VersionReply { to, from, state } => {
                self.handle_event(to, Event::VersionReply(address(from), state));
            }
            Scheduled::StateRequest { to, from } => self.serve_request(to, from),
            Scheduled::Busy { to, others } => {
                let others: Vec<SocketAddr> = others.into_iter().map(address).collect();
                self.handle_event(to, Event::Busy(&others));
            }
            Scheduled::StateReceived { to, from } => {
                self.vms[from].sending -= 1;
                self.vms[from].served.push(to);
                self.handle_event(to, Event::StateReply);
                self.take_state(to);
            }
            Scheduled::StoreRead(vm) => self.read(vm),
            Scheduled::CopyRead(vm) => {
                let ready_at = &mut self.vms[vm].ready_at;
                ready_at.get_or_insert(self.now);
            }
        }
    }

    fn handle_event(&mut self, vm: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        self.vms[vm].start.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::QueryVersions(addr) => {
                    let to = number(addr);
                    self.packet(vm, to, Scheduled::VersionQuery { to, from: vm });
                }
                Action::RequestState(addr) => {
                    let to = number(addr);
                    // A connection setup and a request take three one-way delays.
                    let delay = self.delay(vm, to);
                    self.schedule(
                        self.now + delay + delay + delay,
                        Scheduled::StateRequest { to, from: vm },
                    );
                }
            }
        }
    }

    fn serve_request(&mut self, vm: usize, from: usize) {
        if self.vms[vm].synced_at.is_none() {
            return;
        }
        let delay = self.delay(vm, from);
        if self.vms[vm].sending >= MAX_CONCURRENT_SENDS {
            let others = self.vms[vm].served.iter().rev().take(8).copied().collect();
            return self.schedule(self.now + delay, Scheduled::Busy { to: from, others });
        }
        let sender = &mut self.vms[vm];
        sender.sending += 1;
        sender.sent += STATE_BYTES;
        sender.link_free =
            sender.link_free.max(self.now) + Millis::new(STATE_BYTES / LINK_BYTES_PER_MS);
        let received_at = sender.link_free + delay;
        self.schedule(received_at, Scheduled::StateReceived { to: from, from: vm });
    }

    fn take_state(&mut self, vm: usize) {
        let now = self.now;
        self.vms[vm].synced_at.get_or_insert(now);
        self.vms[vm].ready_at.get_or_insert(now);
        self.handle_event(vm, Event::OwnVersions { config: 1, upstreams: 1 });
    }

    fn answers(&self, vm: usize) -> bool {
        self.now >= self.setup.store_from && !self.vms[vm].refused
    }

    fn tick(&mut self, vm: usize) {
        self.handle_event(vm, Event::Tick);
        let now = self.now;
        let transfer = Millis::new(STATE_BYTES * 3 / LINK_BYTES_PER_MS);
        if self.vms[vm].start.take_copy_due(now) {
            self.calls += COPY_READ_CALLS;
            if self.answers(vm) {
                self.schedule(now + STORE_REPLY_MS + transfer, Scheduled::CopyRead(vm));
            }
        }
        let state = &self.vms[vm];
        let read_due = !state.start.is_complete()
            && now >= state.start.store_read_at()
            && now >= state.read_again;
        if read_due && !state.reading {
            self.vms[vm].reading = true;
            self.vms[vm].read = true;
            self.calls += READ_CALLS;
            self.schedule(now + STORE_REPLY_MS + transfer, Scheduled::StoreRead(vm));
        }
        if self.vms[vm].synced_at.is_none() {
            self.schedule(now + TICK_INTERVAL_MS, Scheduled::Tick(vm));
        }
    }

    fn read(&mut self, vm: usize) {
        if self.answers(vm) {
            return self.take_state(vm);
        }
        self.vms[vm].reading = false;
        self.handle_event(vm, Event::StoreRefused);
        self.vms[vm].read_again = self.now + READ_BACKOFF_MS;
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
            serves_ms: spread(|v| v.ready_at),
            holds_ms: spread(|v| v.synced_at),
            bytes: [
                sent.clone().sum::<u64>() as f64 / self.vms.len() as f64,
                sent.max().unwrap_or(0) as f64,
            ],
            without: live.iter().filter(|v| v.synced_at.is_none()).count(),
        }
    }
}
