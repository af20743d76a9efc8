use crate::{
    faults::RESET,
    figures::{Collector, Figures},
    model::{self, Job, Upstream},
    policy::{Policy, Truth},
    setup::Setup,
};
use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rand_distr::{Distribution, Exp};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    fs::File,
    io::BufWriter,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};
use tgw_clock::Millis;
use tgw_dispatch::{
    Leaf,
    leaf::{Failure, HeldSnapshots, Reply},
};
use tgw_node::{Identity, Input, Message, Node, Options, Output};
use tgw_owner::{Directory, Member, State};
use tgw_replay::Recorder;
use tgw_standin::size;
use tgw_topology::{
    Catalog, Place, Query, Service, Snapshot, Vm,
    place::{Distance, Domain},
};

const TICK: Millis = Millis::new(1);
/// Requests that wait at an upstream before more are shed, as a multiple of its slots.
const BACKLOG: usize = 2;
/// Backlog under direct dispatch, where upstreams queue: as good as without bound.
const DIRECT_BACKLOG: usize = 10_000;
/// Time after the end in which running queries may still be answered.
const TAIL: Millis = Millis::new(3000);

#[derive(Debug)]
pub(crate) enum Event {
    Arrive(Service),
    Letter {
        to: usize,
        life: u32,
        from: usize,
        message: Message,
    },
    Lost {
        at: usize,
        vm: usize,
    },
    AtUpstream {
        upstream: usize,
        job: Box<Job>,
    },
    Finish {
        upstream: usize,
        run: u64,
    },
    Stop {
        upstream: usize,
        vm: usize,
        ticket: u64,
    },
    Done {
        vm: usize,
        life: u32,
        ticket: u64,
        result: Result<Reply, Failure>,
        held: Option<HeldSnapshots>,
    },
    Tick(usize, u32),
    Fault(usize),
    Turn,
    Directory,
    Resume(usize),
    Rejoin,
    Roll {
        step: usize,
        new: Snapshot,
        gap: Millis,
    },
    Mend,
    Restart(usize),
}

pub(crate) struct Waiting {
    pub(crate) service: Service,
    pub(crate) at: Millis,
    pub(crate) body: u64,
    pub(crate) measured: bool,
}

pub(crate) struct VmState {
    pub(crate) node: Node,
    pub(crate) vm: Vm,
    pub(crate) place: Place,
    pub(crate) life: u32,
    pub(crate) up: bool,
    pub(crate) paused: Vec<Event>,
    pub(crate) is_paused: bool,
    /// It has said that it leaves.
    pub(crate) leaving: bool,
}

impl VmState {
    /// Whether the balancer sends it callers.
    fn takes_callers(&self) -> bool {
        self.up && !self.is_paused && !self.leaving
    }
}

pub(crate) struct Sim {
    pub(crate) setup: Setup,
    pub(crate) policy: Policy,
    pub(crate) distance: Distance,
    pub(crate) now: Millis,
    pub(crate) heap: BinaryHeap<Reverse<(Millis, u64)>>,
    pub(crate) events: BTreeMap<u64, Event>,
    pub(crate) seq: u64,
    pub(crate) rng: SmallRng,
    pub(crate) arrivals: SmallRng,
    pub(crate) vms: Vec<VmState>,
    pub(crate) upstreams: Vec<Upstream>,
    pub(crate) catalog: Catalog,
    pub(crate) truth: Truth,
    pub(crate) waiting: BTreeMap<(usize, u64), Waiting>,
    pub(crate) next_token: u64,
    pub(crate) sent_measured: BTreeSet<Query>,
    pub(crate) collector: Collector,
    pub(crate) cut: BTreeSet<(Domain, Domain)>,
    pub(crate) mangled: bool,
}

/// Runs one policy through one setup.
pub fn run(setup: &Setup, policy: Policy) -> Figures {
    let mut sim = Sim::new(setup.clone(), policy);
    sim.run();
    let restarts = sim.vms.iter().map(|vm| vm.node.stats().restarts).sum();
    let seconds = setup.measured.as_f64() / 1000.0;
    sim.collector.figures(&policy.to_string(), seconds, restarts)
}

impl Sim {
    fn new(setup: Setup, policy: Policy) -> Self {
        let catalog = setup.user.catalog(setup.spread);
        let distance = if setup.hops {
            setup.user.distance()
        } else {
            Distance { local: 0.0, domains: 0.0, regions: 0.0 }
        };
        let truth = Truth::default();
        let backlog = if policy.direct() { DIRECT_BACKLOG } else { BACKLOG };
        let held = |node: &tgw_topology::catalog::Node| {
            catalog.services.get(&node.service).map(|s| s.snapshots.clone()).unwrap_or_default()
        };
        let upstreams = catalog
            .upstreams
            .values()
            .map(|n| Upstream::new(n, held(n), backlog * usize::from(n.slots)))
            .collect();
        let mut sim = Self {
            policy,
            distance,
            now: Millis::ZERO,
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            seq: 0,
            rng: SmallRng::seed_from_u64(setup.seed),
            arrivals: SmallRng::seed_from_u64(setup.seed ^ 0x5eed),
            vms: Vec::new(),
            upstreams,
            catalog,
            truth,
            waiting: BTreeMap::new(),
            next_token: 1,
            sent_measured: BTreeSet::new(),
            collector: Collector::new(),
            cut: BTreeSet::new(),
            mangled: false,
            setup,
        };
        for index in 0..sim.setup.vms {
            let vm = sim.make_vm(index, 1);
            sim.vms.push(vm);
        }
        sim
    }

    pub(crate) fn make_vm(&self, index: usize, life: u32) -> VmState {
        let vm = Vm::named(&format!("vm-{index}"));
        let place = size::place(index);
        let identity = Identity {
            vm,
            incarnation: (index as u64 + 1) << 20 | u64::from(life),
            place,
            network_delays: self.distance,
            max_running: self.setup.places,
            log_sample_interval: u64::from(self.setup.record.is_some()),
        };
        let mut node = Node::new(self.options(&identity));
        let record = self.setup.record.as_ref().filter(|_| index == 0);
        let file = record.and_then(|path| File::create(path).ok());
        if let Some(recorder) = file.and_then(|f| Recorder::open(BufWriter::new(f), &identity).ok())
        {
            node.set_observer(Box::new(recorder));
        }
        VmState {
            node,
            vm,
            place,
            life,
            up: true,
            paused: Vec::new(),
            is_paused: false,
            leaving: false,
        }
    }

    fn options(&self, identity: &Identity) -> Options {
        let (policy, seed, truth) = (self.policy, self.setup.seed, self.truth.clone());
        if policy == Policy::Tier {
            return Options::production(identity);
        }
        Options {
            entry: tgw_query::Options {
                adaptive_limits: false,
                hedge_across_groups: policy.hedges() && !policy.direct(),
                ..Options::production(identity).entry
            },
            place: identity.place,
            network_delays: identity.network_delays,
            policy: Box::new(move |group| policy.pick(seed, &truth, group)),
            dispatch: policy.options(),
        }
    }

    pub(crate) fn at(&mut self, time: Millis, event: Event) {
        self.seq += 1;
        self.heap.push(Reverse((time, self.seq)));
        self.events.insert(self.seq, event);
    }

    pub(crate) fn after(&mut self, delay_ms: f64, event: Event) {
        self.at(self.now + Millis::from_f64(delay_ms), event);
    }

    fn run(&mut self) {
        for index in 0..self.vms.len() {
            self.introduce(index);
            self.after(0.1 * index as f64, Event::Tick(index, 1));
        }
        let services: Vec<Service> = self.catalog.services.keys().copied().collect();
        for service in services {
            self.schedule_arrival(service);
        }
        for index in 0..self.setup.faults.len() {
            self.at(self.setup.faults[index].0, Event::Fault(index));
        }
        let end = self.setup.warm_up + self.setup.measured + TAIL;
        while let Some(Reverse((time, seq))) = self.heap.pop() {
            if time > end {
                break;
            }
            self.now = time;
            if let Some(event) = self.events.remove(&seq) {
                self.handle(event);
            }
        }
        // Every measured query must have been answered or refused by now.
        self.collector.lost += self.waiting.values().filter(|w| w.measured).count() as u64;
    }

    /// Tells a VM what it knows at its start.
    pub(crate) fn introduce(&mut self, index: usize) {
        let directory = Arc::new(self.directory(index));
        let catalog = Arc::new(self.catalog_for(index));
        let table = Arc::new(self.setup.table.clone());
        self.input(index, Input::Catalog(catalog));
        self.input(index, Input::Table(table));
        self.input(index, Input::Directory(directory));
    }

    /// The catalog; with fixed shares each VM is told of its part of the slots only.
    pub(crate) fn catalog_for(&self, _index: usize) -> Catalog {
        let mut catalog = self.catalog.clone();
        if self.policy == Policy::DirectShares {
            let vms = self.setup.vms as u16;
            for node in catalog.upstreams.values_mut() {
                node.slots = (node.slots / vms).max(1);
            }
        } else if self.policy.direct() {
            for node in catalog.upstreams.values_mut() {
                node.slots = u16::MAX;
            }
        }
        catalog
    }

    /// The VMs as VM `index` sees them; under direct dispatch each owns all groups itself.
    pub(crate) fn directory(&self, index: usize) -> Directory {
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        let mut directory = Directory::default();
        let here = self.vms[index].place.domain;
        for (other, state) in self.vms.iter().enumerate() {
            let own = other == index;
            if (self.policy.direct() && !own) || !state.up {
                continue;
            }
            let member = Member {
                name: format!("vm-{other}"),
                incarnation: u64::from(state.life),
                place: state.place,
                addr,
                state: if state.leaving { State::Leaving } else { State::Alive },
                blind: false,
            };
            directory.members.insert(state.vm, member);
        }
        directory.cut = self.cut.iter().filter(|c| c.0 == here).map(|c| c.1).collect();
        directory
    }

    fn schedule_arrival(&mut self, service: Service) {
        let shards = self.catalog.partition(service, tgw_topology::Layout(1));
        let shards = shards.map_or(1, |p| p.shards.len()) as f64;
        let slots: f64 = self
            .catalog
            .upstreams
            .values()
            .filter(|u| u.service == service)
            .map(|u| f64::from(u.slots))
            .sum();
        let per_ms = self.setup.load * slots / model::mean_ms() / shards;
        let gap = Exp::new(per_ms).map_or(1.0, |e| e.sample(&mut self.arrivals));
        if self.now < self.setup.warm_up + self.setup.measured {
            self.after(gap, Event::Arrive(service));
        }
    }

    pub(crate) fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(service) => self.arrive(service),
            Event::Letter { to, life, from, message } => {
                if self.held_back(to, life) {
                    let event = Event::Letter { to, life, from, message };
                    return self.vms[to].paused.push(event);
                }
                let cut = self.is_cut(self.vms[from].place, self.vms[to].place);
                if self.vms[to].up && self.vms[to].life == life && !cut {
                    let sender = self.vms[from].vm;
                    self.input(to, Input::MessageReceived(sender, message));
                }
            }
            Event::Lost { at, vm } => {
                let vm = self.vms[vm].vm;
                self.input(at, Input::Disconnected(vm));
            }
            Event::AtUpstream { upstream, job } => self.at_upstream(upstream, &job),
            Event::Finish { upstream, run } => self.finish(upstream, run),
            Event::Stop { upstream, vm, ticket } => self.stop(upstream, vm, ticket),
            Event::Done { vm, life, ticket, result, held } => {
                if self.held_back(vm, life) {
                    let event = Event::Done { vm, life, ticket, result, held };
                    return self.vms[vm].paused.push(event);
                }
                if self.vms[vm].up && self.vms[vm].life == life {
                    self.input(vm, Input::SendEnded { send_id: ticket, result, snapshots: held });
                }
            }
            Event::Tick(vm, life) => {
                if self.vms[vm].up && self.vms[vm].life == life {
                    self.at(self.now + TICK, Event::Tick(vm, life));
                    if !self.vms[vm].is_paused {
                        self.input(vm, Input::Tick);
                    }
                }
            }
            Event::Fault(index) => {
                let fault = self.setup.faults[index].1.clone();
                self.fault(&fault);
            }
            Event::Turn => self.turn(),
            Event::Directory => self.spread_directory(),
            Event::Resume(vm) => self.resume(vm),
            Event::Rejoin => {
                self.cut.clear();
                self.spread_directory();
            }
            Event::Roll { step, new, gap } => self.roll(step, new, gap),
            Event::Restart(vm) => self.restart(vm),
            Event::Mend => self.upstreams.iter_mut().for_each(|u| u.broken = false),
        }
    }

    fn held_back(&self, vm: usize, life: u32) -> bool {
        self.vms[vm].is_paused && self.vms[vm].life == life
    }

    pub(crate) fn is_cut(&self, a: Place, b: Place) -> bool {
        self.cut.contains(&(a.domain, b.domain))
    }

    fn arrive(&mut self, service: Service) {
        self.schedule_arrival(service);
        let up: Vec<usize> = (0..self.vms.len()).filter(|i| self.vms[*i].takes_callers()).collect();
        let vm = up[self.arrivals.random_range(0..up.len())];
        let token = self.next_token;
        self.next_token += 1;
        let measured =
            self.now >= self.setup.warm_up && self.now < self.setup.warm_up + self.setup.measured;
        if measured {
            self.collector.queries += 1;
        }
        let waiting = Waiting { service, at: self.now, body: token, measured };
        self.waiting.insert((vm, token), waiting);
        let body = Bytes::copy_from_slice(&token.to_le_bytes());
        self.input(vm, Input::Submit { token, service, timeout: None, body });
    }

    pub(crate) fn input(&mut self, vm: usize, input: Input) {
        let mut out = Vec::new();
        self.vms[vm].node.handle(self.now, input, &mut out);
        for output in out {
            self.output(vm, output);
        }
    }

    fn output(&mut self, vm: usize, output: Output) {
        match output {
            Output::SendMessage(to, message) => self.tell(vm, to, message),
            Output::Send { send_id: ticket, upstream, leaf } => {
                if self.waiting.get(&self.owner_of_query(&leaf)).is_some_and(|w| w.measured) {
                    self.collector.sent += 1;
                    self.sent_measured.insert(leaf.key.query);
                }
                let index = upstream.0 as usize;
                let way = self.way_to_upstream(vm, index);
                let job = Job { vm, life: self.vms[vm].life, ticket, leaf };
                let cut = self.is_cut(self.vms[vm].place, self.upstreams[index].node.place);
                if cut {
                    let life = self.vms[vm].life;
                    let result = Err(Failure::Connect);
                    let event = Event::Done { vm, life, ticket, result, held: None };
                    return self.after(RESET.as_f64(), event);
                }
                self.after(way, Event::AtUpstream { upstream: index, job: Box::new(job) });
            }
            Output::Cancel { send_id: ticket, upstream } => {
                let upstream = upstream.0 as usize;
                let way = self.way_to_upstream(vm, upstream);
                self.after(way, Event::Stop { upstream, vm, ticket });
            }
            Output::Answer(token, answer) => self.answered(vm, token, &answer),
            Output::Refuse(token, _) => {
                if let Some(waiting) = self.waiting.remove(&(vm, token)).filter(|w| w.measured) {
                    self.collector.refused += 1;
                    let after = self.now - waiting.at;
                    self.collector.refused_after = self.collector.refused_after.max(after);
                }
            }
            Output::AnswerOrder(..)
            | Output::CallStore(_)
            | Output::Connect(_)
            | Output::Disconnect(_)
            | Output::LogDecision(_) => {}
        }
    }

    /// The token of the query that a leaf request belongs to.
    fn owner_of_query(&self, leaf: &Leaf) -> (usize, u64) {
        let mut token = [0; 8];
        token.copy_from_slice(&leaf.body[..8]);
        let vm = self.vms.iter().position(|v| v.vm == leaf.key.from).unwrap_or(0);
        (vm, u64::from_le_bytes(token))
    }

    pub(crate) fn way_to_upstream(&self, vm: usize, upstream: usize) -> f64 {
        self.distance.between(self.vms[vm].place, self.upstreams[upstream].node.place)
    }

    fn tell(&mut self, from: usize, to: Vm, message: Message) {
        let Some(to) = self.vms.iter().position(|v| v.vm == to) else { return };
        let way = self.distance.between(self.vms[from].place, self.vms[to].place);
        if !self.vms[to].up {
            return self.after(RESET.as_f64(), Event::Lost { at: from, vm: to });
        }
        let life = self.vms[to].life;
        self.after(way, Event::Letter { to, life, from, message });
    }
}
