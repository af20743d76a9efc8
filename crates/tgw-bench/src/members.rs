//! Membership of many VMs under a virtual clock: the real core, a network that delays and loses
//! packets, and faults. It also measures the cost of membership.

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::Serialize;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::{Ipv4Addr, SocketAddr},
    time::Instant,
};
use tgw_clock::Millis;
use tgw_member::{Action, Event, Member, Options, Packet, Record};
use tgw_owner::{Directory, State};
use tgw_topology::{
    Place, Vm,
    place::{Domain, Region},
};
use tgw_wire::Keys;

const TICK_INTERVAL_MS: Millis = Millis::new(20);
/// One-way delays within a domain and between domains.
const SAME_DOMAIN_DELAY_MS: Millis = Millis::from_micros(200);
const CROSS_DOMAIN_DELAY_MS: Millis = Millis::new(12);
/// Bytes of an IPv4 and a UDP header, which the network carries for each packet.
const IP_UDP_HEADER_BYTES: usize = 28;
const SECOND: Millis = Millis::new(1000);

enum Scheduled {
    Tick(usize, u32),
    Packet { to: usize, from: SocketAddr, packet: Box<Packet> },
    Records { to: usize, records: Vec<Record> },
}

struct Node {
    member: Option<Member>,
    vm: Vm,
    place: Place,
    addr: SocketAddr,
    generation: u32,
    paused: bool,
    deferred: Vec<Scheduled>,
}

/// Cost of membership for one VM.
#[derive(Clone, Debug, Serialize)]
pub struct Cost {
    /// VMs per failure domain.
    pub members: usize,
    /// Failure domains.
    pub domains: usize,
    /// Mean bytes a second that a VM sends, headers included.
    pub bytes_per_s: f64,
    /// The same for the VM that sends most, a relay.
    pub most_bytes_per_s: f64,
    /// Packets a second that a VM sends.
    pub packets_per_s: f64,
    /// Processor time per VM as a share of one processor, codec and signing included.
    pub processor: f64,
    /// Encoded size of all records of one VM.
    pub state_bytes: usize,
}

/// A simulated fleet of members.
pub struct Simulation {
    now: Millis,
    nodes: Vec<Node>,
    heap: BinaryHeap<Reverse<(Millis, u64)>>,
    events: BTreeMap<u64, Scheduled>,
    seq: u64,
    rng: SmallRng,
    /// Probability that a packet is lost.
    pub loss: f64,
    partitioned: BTreeSet<(Domain, Domain)>,
    sent: BTreeMap<usize, (u64, u64)>,
    /// Times that a live, reachable VM was declared dead by another.
    pub false_removals: u64,
    /// Times that a VM noticed that it had been paused.
    pub pauses: u64,
    keys: Keys,
    measuring: bool,
}

impl Simulation {
    /// Starts `domains` failure domains of `each` VMs; every VM knows the first VM of each domain
    /// as a seed.
    pub fn new(domains: usize, each: usize, seed: u64) -> Self {
        Self::with_regions(domains, each, seed, 2)
    }

    /// The same with all domains in one region.
    pub fn in_one_region(domains: usize, each: usize, seed: u64) -> Self {
        Self::with_regions(domains, each, seed, domains)
    }

    fn with_regions(domains: usize, each: usize, seed: u64, domains_of_region: usize) -> Self {
        let mut simulation = Self {
            now: Millis::new(1),
            nodes: Vec::new(),
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            seq: 0,
            rng: SmallRng::seed_from_u64(seed),
            loss: 0.0,
            partitioned: BTreeSet::new(),
            sent: BTreeMap::new(),
            false_removals: 0,
            pauses: 0,
            keys: Keys::new([1; 32], None),
            measuring: false,
        };
        for index in 0..domains * each {
            let domain = index / each;
            let place = Place {
                region: Region((domain / domains_of_region) as u8),
                domain: Domain(domain as u8),
            };
            let addr = address(index);
            let vm = Vm::from_name(&format!("vm-{index}"));
            let deferred = Vec::new();
            simulation.nodes.push(Node {
                member: None,
                vm,
                place,
                addr,
                generation: 0,
                paused: false,
                deferred,
            });
        }
        for index in 0..simulation.nodes.len() {
            simulation.start(index);
        }
        simulation
    }

    /// The current virtual time.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Starts a VM, or restarts it at the same address.
    pub fn start(&mut self, index: usize) {
        let seeds = self.seeds();
        let node = &mut self.nodes[index];
        node.generation += 1;
        let incarnation = (u64::from(node.generation) * 1_000_000 + self.now.as_whole_ms()) << 16;
        node.member = Some(Member::new(Options {
            vm: node.vm,
            name: format!("vm-{index}"),
            incarnation,
            place: node.place,
            addr: node.addr,
            seeds,
            rng_seed: index as u64,
            power: 0,
        }));
        let generation = node.generation;
        let jitter = Millis::from_micros(self.rng.random_range(0..TICK_INTERVAL_MS.as_micros()));
        self.schedule(self.now + jitter, Scheduled::Tick(index, generation));
    }

    /// The addresses of the first VM of each domain.
    fn seeds(&self) -> Vec<SocketAddr> {
        let mut seen = BTreeSet::new();
        let first = self.nodes.iter().filter(|s| seen.insert(s.place.domain));
        first.map(|s| s.addr).collect()
    }

    /// Moves a VM to another address at its next start.
    pub fn move_to_new_address(&mut self, index: usize) {
        self.nodes[index].addr = address(index + 0x8000);
    }

    /// Stops a VM without notice.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].member = None;
    }

    /// Pauses a VM, or resumes it and delivers all events that arrived meanwhile.
    pub fn set_paused(&mut self, index: usize, paused: bool) {
        self.nodes[index].paused = paused;
        for event in std::mem::take(&mut self.nodes[index].deferred) {
            self.handle(event);
        }
    }

    /// A VM announces that it leaves.
    pub fn leave(&mut self, index: usize) {
        self.deliver(index, Event::Leave);
    }

    /// Sets whether a VM cannot reach the platform.
    pub fn set_platform_unreachable(&mut self, index: usize, unreachable: bool) {
        self.deliver(index, Event::PlatformUnreachable(unreachable));
    }

    /// The VMs that watch the platform, each by its own decision.
    pub fn watchers(&self) -> Vec<usize> {
        let follows = |node: &Node| node.member.as_ref().is_some_and(Member::watches_platform);
        self.nodes.iter().enumerate().filter(|(_, s)| follows(s)).map(|(index, _)| index).collect()
    }

    /// Sets the edition of the table that is in force at a VM.
    pub fn set_edition(&mut self, index: usize, edition: u64) {
        self.deliver(index, Event::Edition(edition));
    }

    /// Partitions a domain from all others, or heals the partition.
    pub fn set_partitioned(&mut self, domain: u8, partitioned: bool) {
        let own = Domain(domain);
        let domains: BTreeSet<Domain> = self.nodes.iter().map(|s| s.place.domain).collect();
        for other in domains.into_iter().filter(|d| *d != own) {
            for pair in [(own, other), (other, own)] {
                if partitioned {
                    self.partitioned.insert(pair);
                } else {
                    self.partitioned.remove(&pair);
                }
            }
        }
    }

    /// The directory in the view of a VM; empty if the VM is down.
    pub fn directory(&self, index: usize) -> Directory {
        self.nodes[index].member.as_ref().map(Member::directory).unwrap_or_default()
    }

    /// The edition in force in each domain, as one VM knows it.
    pub fn in_force(&self, index: usize) -> BTreeMap<u8, u64> {
        let rollouts = self.nodes[index].member.as_ref().map(Member::rollouts);
        rollouts
            .into_iter()
            .flatten()
            .map(|(domain, rollout)| (domain.0, rollout.lowest_edition))
            .collect()
    }

    /// The state of VM `of` in the view of VM `at`.
    pub fn state(&self, at: usize, of: usize) -> Option<State> {
        self.directory(at).members.get(&self.nodes[of].vm).map(|m| m.state)
    }

    /// Whether all running VMs see exactly the running VMs as alive, and no domain as unreachable.
    pub fn converged(&self) -> bool {
        let up: BTreeSet<Vm> =
            self.nodes.iter().filter(|s| s.member.is_some()).map(|s| s.vm).collect();
        (0..self.nodes.len()).filter(|i| self.nodes[*i].member.is_some()).all(|index| {
            let directory = self.directory(index);
            let alive = directory.members.iter().filter(|(_, m)| m.state == State::Alive);
            let seen: BTreeSet<Vm> = alive.map(|(vm, _)| *vm).collect();
            seen == up && directory.unreachable_domains.is_empty()
        })
    }

    /// Runs until `until` returns true, for at most `limit`; returns the time it took, or `None`.
    pub fn run_until(&mut self, limit: Millis, until: impl Fn(&Self) -> bool) -> Option<Millis> {
        let start = self.now;
        while self.now - start < limit {
            if until(self) {
                return Some(self.now - start);
            }
            self.run(TICK_INTERVAL_MS);
        }
        None
    }

    /// Runs for `time`.
    pub fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while let Some(Reverse((at, seq))) = self.heap.peek().copied() {
            if at > end {
                break;
            }
            self.heap.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&seq) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    /// Measures the cost of membership over `time` from now.
    pub fn measure(&mut self, time: Millis) -> Cost {
        self.cost(time, |simulation| simulation.run(time))
    }

    /// The same under load: an edit of the table every `edits`, adopted at all VMs within a second,
    /// and a VM replaced every `restarts`.
    pub fn measure_under_load(&mut self, time: Millis, edits: Millis, restarts: Millis) -> Cost {
        self.cost(time, |simulation| {
            let end = simulation.now + time;
            let (mut edit, mut next_edit) = (100, simulation.now + edits);
            let (mut victim, mut next_restart) = (0, simulation.now + restarts);
            while simulation.now < end {
                simulation.run(Millis::new(50));
                if simulation.now >= next_edit {
                    next_edit += edits;
                    edit += 1;
                    for index in 0..simulation.nodes.len() {
                        simulation.set_edition(index, edit);
                        simulation
                            .run(Millis::from_micros(1_000_000 / simulation.nodes.len() as u64));
                    }
                }
                if simulation.now >= next_restart {
                    next_restart += restarts;
                    victim = (victim + 7) % simulation.nodes.len();
                    simulation.kill(victim);
                    simulation.run(SECOND);
                    simulation.start(victim);
                    simulation.set_edition(victim, edit);
                }
            }
        })
    }

    fn cost(&mut self, time: Millis, run: impl FnOnce(&mut Self)) -> Cost {
        self.sent.clear();
        self.measuring = true;
        let start = Instant::now();
        run(self);
        let spent = start.elapsed().as_secs_f64();
        self.measuring = false;
        let seconds = time.as_f64() / 1000.0;
        let vms = self.nodes.len() as f64;
        let bytes: u64 = self.sent.values().map(|s| s.0).sum();
        let most = self.sent.values().map(|s| s.0).max().unwrap_or(0);
        let packets: u64 = self.sent.values().map(|s| s.1).sum();
        let domains: BTreeSet<Domain> = self.nodes.iter().map(|s| s.place.domain).collect();
        let records = self.nodes[0].member.as_ref().map(Member::records).unwrap_or_default();
        Cost {
            members: self.nodes.len() / domains.len(),
            domains: domains.len(),
            bytes_per_s: bytes as f64 / seconds / vms,
            most_bytes_per_s: most as f64 / seconds,
            packets_per_s: packets as f64 / seconds / vms,
            processor: spent / seconds / vms,
            state_bytes: tgw_wire::encode(&self.keys, &records).map_or(0, |f| f.len()),
        }
    }

    fn schedule(&mut self, time: Millis, event: Scheduled) {
        self.seq += 1;
        self.heap.push(Reverse((time, self.seq)));
        self.events.insert(self.seq, event);
    }

    fn handle(&mut self, event: Scheduled) {
        let node = match &event {
            Scheduled::Tick(node, _) => *node,
            Scheduled::Packet { to, .. } | Scheduled::Records { to, .. } => *to,
        };
        if self.nodes[node].paused {
            self.nodes[node].deferred.push(event);
            return;
        }
        match event {
            Scheduled::Tick(node, generation) => {
                if self.nodes[node].generation == generation && self.nodes[node].member.is_some() {
                    self.schedule(self.now + TICK_INTERVAL_MS, Scheduled::Tick(node, generation));
                    self.deliver(node, Event::Tick);
                }
            }
            Scheduled::Packet { to, from, packet } => {
                // Decodes the packet and checks its signature, as a real VM does, to include the
                // cost.
                let packet = if self.measuring { self.encode_and_decode(&packet) } else { packet };
                self.deliver(to, Event::Packet(from, packet));
            }
            Scheduled::Records { to, records } => self.deliver(to, Event::Records(records)),
        }
    }

    fn encode_and_decode(&self, packet: &Packet) -> Box<Packet> {
        let frame = tgw_wire::encode(&self.keys, packet).unwrap_or_default();
        Box::new(tgw_wire::decode(&self.keys, &frame).unwrap_or_else(|_| packet.clone()))
    }

    fn deliver(&mut self, node: usize, event: Event) {
        let Some(member) = &mut self.nodes[node].member else { return };
        let before = member.stats().declared_dead;
        let mut out = Vec::new();
        member.handle(self.now, event, &mut out);
        if member.stats().declared_dead > before {
            self.count_false_removals(node);
        }
        for action in out {
            self.perform(node, action);
        }
    }

    /// Counts running, reachable VMs that `node` has just declared dead.
    fn count_false_removals(&mut self, node: usize) {
        let directory = self.directory(node);
        let here = self.nodes[node].place.domain;
        let wrong = self.nodes.iter().filter(|s| {
            let dead = directory.members.get(&s.vm).is_some_and(|m| m.state == State::Dead);
            let reached = !self.partitioned.contains(&(here, s.place.domain));
            dead && s.member.is_some() && !s.paused && reached && s.place.domain == here
        });
        self.false_removals += wrong.count() as u64;
    }

    fn perform(&mut self, node: usize, action: Action) {
        let from = self.nodes[node].addr;
        match action {
            Action::Send(to, packet) => {
                if self.measuring {
                    let bytes = tgw_wire::encode(&self.keys, &*packet).map_or(0, |f| f.len());
                    let sent = self.sent.entry(node).or_default();
                    sent.0 += (bytes + IP_UDP_HEADER_BYTES) as u64;
                    sent.1 += 1;
                }
                let Some(delivery) = self.delivery(node, to) else { return };
                if self.rng.random_bool(self.loss) {
                    return;
                }
                self.schedule(
                    self.now + delivery.1,
                    Scheduled::Packet { to: delivery.0, from, packet },
                );
            }
            Action::SendRecords(to, records) => {
                if let Some((to, delay)) = self.delivery(node, to) {
                    self.schedule(self.now + delay + delay, Scheduled::Records { to, records });
                }
            }
            Action::Paused(_) => self.pauses += 1,
            Action::DirectoryChanged | Action::PeerNewer { .. } => {}
        }
    }

    fn delivery(&self, from: usize, to: SocketAddr) -> Option<(usize, Millis)> {
        let to = self.nodes.iter().position(|s| s.addr == to)?;
        let (a, b) = (self.nodes[from].place.domain, self.nodes[to].place.domain);
        (!self.partitioned.contains(&(a, b)))
            .then_some((to, if a == b { SAME_DOMAIN_DELAY_MS } else { CROSS_DOMAIN_DELAY_MS }))
    }
}

fn address(index: usize) -> SocketAddr {
    let [_, _, high, low] = (index as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7802))
}

/// Interval between edits at 14,000 a day, and between VMs lost or replaced at 440 and 7,900 a day.
const EDIT_INTERVAL_MS: Millis = Millis::new(6_171);
const RESTART_INTERVAL_MS: Millis = Millis::new(10_360);

/// Costs at several sizes (domains, VMs per domain): idle, and with edits and restarts.
pub fn costs(sizes: &[(usize, usize)], settle: Millis, time: Millis) -> Vec<(Cost, Cost)> {
    let cost = |(domains, each): &(usize, usize)| {
        let mut simulation = Simulation::new(*domains, *each, 1);
        simulation.run(settle);
        let quiet = simulation.measure(time);
        (quiet, simulation.measure_under_load(time, EDIT_INTERVAL_MS, RESTART_INTERVAL_MS))
    };
    sizes.iter().map(cost).collect()
}
