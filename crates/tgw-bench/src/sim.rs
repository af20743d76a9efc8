/// The state at the start: upstreams, VMs and their options.
mod start;

use crate::{
    faults::RESET_DELAY_MS,
    figures::{Collector, Figures},
    model::{self, Job, Upstream},
    policy::{Policy, SlowUpstreams},
    setup::Setup,
};
use bytes::Bytes;
use rand::{Rng, rngs::SmallRng};
use rand_distr::{Distribution, Exp};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};
use tgw_clock::Millis;
use tgw_dispatch::{
    Leaf,
    leaf::{Failure, HeldSnapshots, Reply},
};
use tgw_node::{Input, Message, Node, Output};
use tgw_owner::{Directory, Member, State};
use tgw_topology::{
    Catalog, Place, Query, Service, Snapshot, Vm,
    place::{Domain, Latency},
};

const TICK_INTERVAL_MS: Millis = Millis::new(1);
/// Requests that may queue at an upstream before it sheds more, as a multiple of its slots.
const QUEUE_LIMIT_FACTOR: usize = 2;
/// Queue limit under direct dispatch, where requests queue at the upstreams: high enough never to
/// be reached.
const DIRECT_QUEUE_LIMIT_FACTOR: usize = 10_000;
/// Time after the end of the measurement in which running queries may still be answered.
const ANSWER_GRACE_MS: Millis = Millis::new(3000);

#[derive(Debug)]
pub(crate) enum Event {
    Arrive(Service),
    PeerMessage {
        to: usize,
        generation: u32,
        from: usize,
        message: Message,
    },
    ConnectionLost {
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
    Cancel {
        upstream: usize,
        vm: usize,
        send_id: u64,
    },
    Done {
        vm: usize,
        generation: u32,
        send_id: u64,
        result: Result<Reply, Failure>,
        held: Option<HeldSnapshots>,
    },
    Tick(usize, u32),
    Fault(usize),
    MoveStragglers,
    Directory,
    Resume(usize),
    HealPartition,
    RolloutStep {
        step: usize,
        new: Snapshot,
        gap: Millis,
    },
    RepairUpstreams,
    Restart(usize),
}

pub(crate) struct PendingQuery {
    pub(crate) service: Service,
    pub(crate) at: Millis,
    pub(crate) body: u64,
    pub(crate) measured: bool,
}

pub(crate) struct VmState {
    pub(crate) node: Node,
    pub(crate) vm: Vm,
    pub(crate) place: Place,
    pub(crate) generation: u32,
    pub(crate) is_up: bool,
    pub(crate) deferred: Vec<Event>,
    pub(crate) is_paused: bool,
    /// The VM has announced that it leaves.
    pub(crate) leaving: bool,
}

impl VmState {
    /// Whether the load balancer sends callers to this VM.
    fn accepts_callers(&self) -> bool {
        self.is_up && !self.is_paused && !self.leaving
    }
}

pub(crate) struct Sim {
    pub(crate) setup: Setup,
    pub(crate) policy: Policy,
    pub(crate) distance: Latency,
    pub(crate) now: Millis,
    pub(crate) heap: BinaryHeap<Reverse<(Millis, u64)>>,
    pub(crate) events: BTreeMap<u64, Event>,
    pub(crate) seq: u64,
    pub(crate) rng: SmallRng,
    pub(crate) arrivals: SmallRng,
    pub(crate) vms: Vec<VmState>,
    pub(crate) upstreams: Vec<Upstream>,
    pub(crate) catalog: Catalog,
    pub(crate) slow_upstreams: SlowUpstreams,
    pub(crate) pending: BTreeMap<(usize, u64), PendingQuery>,
    pub(crate) next_token: u64,
    pub(crate) sent_measured: BTreeSet<Query>,
    pub(crate) collector: Collector,
    pub(crate) partitioned: BTreeSet<(Domain, Domain)>,
    pub(crate) mangles_replies: bool,
}

/// Runs one setup with one policy.
pub fn run(setup: &Setup, policy: Policy) -> Figures {
    let mut sim = Sim::new(setup.clone(), policy);
    sim.run();
    let restarts = sim.vms.iter().map(|vm| vm.node.stats().restarts).sum();
    let seconds = setup.measured.as_f64() / 1000.0;
    sim.collector.figures(&policy.to_string(), seconds, restarts)
}

impl Sim {
    /// Schedules an event; events of the same time are handled in the order of these calls.
    pub(crate) fn schedule(&mut self, time: Millis, event: Event) {
        self.seq += 1;
        self.heap.push(Reverse((time, self.seq)));
        self.events.insert(self.seq, event);
    }

    pub(crate) fn schedule_after(&mut self, delay_ms: f64, event: Event) {
        self.schedule(self.now + Millis::from_f64(delay_ms), event);
    }

    fn run(&mut self) {
        for index in 0..self.vms.len() {
            self.send_initial_state(index);
            self.schedule_after(0.1 * index as f64, Event::Tick(index, 1));
        }
        let services: Vec<Service> = self.catalog.services.keys().copied().collect();
        for service in services {
            self.schedule_arrival(service);
        }
        for index in 0..self.setup.faults.len() {
            self.schedule(self.setup.faults[index].0, Event::Fault(index));
        }
        let end = self.setup.warm_up + self.setup.measured + ANSWER_GRACE_MS;
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
        self.collector.lost += self.pending.values().filter(|w| w.measured).count() as u64;
    }

    /// Gives a VM the catalog, the table and the directory when it starts.
    pub(crate) fn send_initial_state(&mut self, index: usize) {
        let directory = Arc::new(self.directory(index));
        let catalog = Arc::new(self.catalog_for(index));
        let table = Arc::new(self.setup.table.clone());
        self.input(index, Input::Catalog(catalog));
        self.input(index, Input::Table(table));
        self.input(index, Input::Directory(directory));
    }

    /// The catalog. With fixed shares, each VM sees only its share of the slots.
    pub(crate) fn catalog_for(&self, _index: usize) -> Catalog {
        let mut catalog = self.catalog.clone();
        if self.policy == Policy::DirectShares {
            let vms = self.setup.vms as u16;
            for node in catalog.upstreams.values_mut() {
                node.max_concurrency = (node.max_concurrency / vms).max(1);
            }
        } else if self.policy.is_direct() {
            for node in catalog.upstreams.values_mut() {
                node.max_concurrency = u16::MAX;
            }
        }
        catalog
    }

    /// The directory as VM `index` sees it. Under direct dispatch a VM sees only itself, and so
    /// owns all groups.
    pub(crate) fn directory(&self, index: usize) -> Directory {
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        let mut directory = Directory::default();
        let here = self.vms[index].place.domain;
        for (other, state) in self.vms.iter().enumerate() {
            let own = other == index;
            if (self.policy.is_direct() && !own) || !state.is_up {
                continue;
            }
            let member = Member {
                name: format!("vm-{other}"),
                incarnation: u64::from(state.generation),
                place: state.place,
                addr,
                state: if state.leaving { State::Leaving } else { State::Alive },
                platform_unreachable: false,
                platform_losses: 0,
                power: 0,
            };
            directory.members.insert(state.vm, member);
        }
        directory.unreachable_domains =
            self.partitioned.iter().filter(|c| c.0 == here).map(|c| c.1).collect();
        directory
    }

    fn schedule_arrival(&mut self, service: Service) {
        let shards = self.catalog.layout(service, tgw_topology::Layout(1));
        let shards = shards.map_or(1, |p| p.shards.len()) as f64;
        let slots: f64 = self
            .catalog
            .upstreams
            .values()
            .filter(|u| u.service == service)
            .map(|u| f64::from(u.max_concurrency))
            .sum();
        let per_ms = self.setup.load * slots / model::mean_ms() / shards;
        let gap = Exp::new(per_ms).map_or(1.0, |e| e.sample(&mut self.arrivals));
        if self.now < self.setup.warm_up + self.setup.measured {
            self.schedule_after(gap, Event::Arrive(service));
        }
    }

    pub(crate) fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(service) => self.arrive(service),
            Event::PeerMessage { to, generation, from, message } => {
                if self.is_deferred(to, generation) {
                    let event = Event::PeerMessage { to, generation, from, message };
                    return self.vms[to].deferred.push(event);
                }
                let partitioned = self.is_partitioned(self.vms[from].place, self.vms[to].place);
                if self.vms[to].is_up && self.vms[to].generation == generation && !partitioned {
                    let sender = self.vms[from].vm;
                    self.input(to, Input::MessageReceived(sender, message));
                }
            }
            Event::ConnectionLost { at, vm } => {
                let vm = self.vms[vm].vm;
                self.input(at, Input::Disconnected(vm));
            }
            Event::AtUpstream { upstream, job } => self.handle_at_upstream(upstream, &job),
            Event::Finish { upstream, run } => self.finish(upstream, run),
            Event::Cancel { upstream, vm, send_id } => self.cancel(upstream, vm, send_id),
            Event::Done { vm, generation, send_id, result, held } => {
                if self.is_deferred(vm, generation) {
                    let event = Event::Done { vm, generation, send_id, result, held };
                    return self.vms[vm].deferred.push(event);
                }
                if self.vms[vm].is_up && self.vms[vm].generation == generation {
                    self.input(vm, Input::SendEnded { send_id, result, snapshots: held });
                }
            }
            Event::Tick(vm, generation) => {
                if self.vms[vm].is_up && self.vms[vm].generation == generation {
                    self.schedule(self.now + TICK_INTERVAL_MS, Event::Tick(vm, generation));
                    if !self.vms[vm].is_paused {
                        self.input(vm, Input::Tick);
                    }
                }
            }
            Event::Fault(index) => {
                let fault = self.setup.faults[index].1.clone();
                self.inject(&fault);
            }
            Event::MoveStragglers => self.move_stragglers(),
            Event::Directory => self.broadcast_directory(),
            Event::Resume(vm) => self.resume(vm),
            Event::HealPartition => {
                self.partitioned.clear();
                self.broadcast_directory();
            }
            Event::RolloutStep { step, new, gap } => self.apply_rollout_step(step, new, gap),
            Event::Restart(vm) => self.restart(vm),
            Event::RepairUpstreams => self.upstreams.iter_mut().for_each(|u| u.broken = false),
        }
    }

    fn is_deferred(&self, vm: usize, generation: u32) -> bool {
        self.vms[vm].is_paused && self.vms[vm].generation == generation
    }

    pub(crate) fn is_partitioned(&self, a: Place, b: Place) -> bool {
        self.partitioned.contains(&(a.domain, b.domain))
    }

    fn arrive(&mut self, service: Service) {
        self.schedule_arrival(service);
        let is_up: Vec<usize> =
            (0..self.vms.len()).filter(|i| self.vms[*i].accepts_callers()).collect();
        let vm = is_up[self.arrivals.random_range(0..is_up.len())];
        let token = self.next_token;
        self.next_token += 1;
        let measured =
            self.now >= self.setup.warm_up && self.now < self.setup.warm_up + self.setup.measured;
        if measured {
            self.collector.queries += 1;
        }
        let pending = PendingQuery { service, at: self.now, body: token, measured };
        self.pending.insert((vm, token), pending);
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
            Output::SendMessage(to, message) => self.send_message(vm, to, message),
            Output::Send { send_id, upstream, leaf } => {
                if self.pending.get(&self.owner_of_query(&leaf)).is_some_and(|w| w.measured) {
                    self.collector.sent += 1;
                    self.sent_measured.insert(leaf.key.query);
                }
                let index = upstream.0 as usize;
                let delay = self.delay_to_upstream(vm, index);
                let job = Job { vm, generation: self.vms[vm].generation, send_id, leaf };
                let partitioned =
                    self.is_partitioned(self.vms[vm].place, self.upstreams[index].node.place);
                if partitioned {
                    let generation = self.vms[vm].generation;
                    let result = Err(Failure::Connect);
                    let event = Event::Done { vm, generation, send_id, result, held: None };
                    return self.schedule_after(RESET_DELAY_MS.as_f64(), event);
                }
                self.schedule_after(
                    delay,
                    Event::AtUpstream { upstream: index, job: Box::new(job) },
                );
            }
            Output::Cancel { send_id, upstream } => {
                let upstream = upstream.0 as usize;
                let delay = self.delay_to_upstream(vm, upstream);
                self.schedule_after(delay, Event::Cancel { upstream, vm, send_id });
            }
            Output::Answer(token, answer) => self.record_answer(vm, token, &answer),
            Output::Refuse(token, _) => {
                if let Some(pending) = self.pending.remove(&(vm, token)).filter(|w| w.measured) {
                    self.collector.refused += 1;
                    let after = self.now - pending.at;
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

    /// The VM that took in the query of a leaf request, and the query's token.
    fn owner_of_query(&self, leaf: &Leaf) -> (usize, u64) {
        let mut token = [0; 8];
        token.copy_from_slice(&leaf.body[..8]);
        let vm = self.vms.iter().position(|v| v.vm == leaf.key.from).unwrap_or(0);
        (vm, u64::from_le_bytes(token))
    }

    pub(crate) fn delay_to_upstream(&self, vm: usize, upstream: usize) -> f64 {
        self.distance.between(self.vms[vm].place, self.upstreams[upstream].node.place)
    }

    fn send_message(&mut self, from: usize, to: Vm, message: Message) {
        let Some(to) = self.vms.iter().position(|v| v.vm == to) else { return };
        let delay = self.distance.between(self.vms[from].place, self.vms[to].place);
        if !self.vms[to].is_up {
            return self.schedule_after(
                RESET_DELAY_MS.as_f64(),
                Event::ConnectionLost { at: from, vm: to },
            );
        }
        let generation = self.vms[to].generation;
        self.schedule_after(delay, Event::PeerMessage { to, generation, from, message });
    }
}
