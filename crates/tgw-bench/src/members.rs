//! Membership of many VMs under a virtual clock: the real core, a network that delays and loses
//! packets, and faults. Also measures what membership costs.

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

const TICK: Millis = Millis::new(20);
/// One-way delays within a domain and between domains.
const NEAR: Millis = Millis::from_micros(200);
const FAR: Millis = Millis::new(12);
/// Bytes of an IPv4 and a UDP header, which the network carries besides.
const HEADERS: usize = 28;
const SECOND: Millis = Millis::new(1000);

enum Due {
    Tick(usize, u32),
    Packet { to: usize, from: SocketAddr, packet: Box<Packet> },
    Records { to: usize, records: Vec<Record> },
}

struct Seat {
    member: Option<Member>,
    vm: Vm,
    place: Place,
    addr: SocketAddr,
    life: u32,
    frozen: bool,
    late: Vec<Due>,
}

/// What one VM's membership costs.
#[derive(Clone, Debug, Serialize)]
pub struct Cost {
    /// VMs in the failure domain.
    pub members: usize,
    /// Failure domains.
    pub domains: usize,
    /// Bytes a second that a VM sends, headers included.
    pub bytes_per_s: f64,
    /// The same for the VM that sends most: a relay.
    pub most_bytes_per_s: f64,
    /// Packets a second that a VM sends.
    pub packets_per_s: f64,
    /// Processor time of the core a VM, as a part of one processor, codec and signing included.
    pub processor: f64,
    /// Bytes of one VM's records, by their encoding.
    pub state_bytes: usize,
}

/// Many members.
pub struct World {
    now: Millis,
    seats: Vec<Seat>,
    heap: BinaryHeap<Reverse<(Millis, u64)>>,
    events: BTreeMap<u64, Due>,
    seq: u64,
    rng: SmallRng,
    /// The chance that a packet is lost.
    pub loss: f64,
    cut: BTreeSet<(Domain, Domain)>,
    sent: BTreeMap<usize, (u64, u64)>,
    /// Times that a VM that lived was declared dead by any other.
    pub false_removals: u64,
    /// Times that a VM noticed that it was paused.
    pub pauses: u64,
    keys: Keys,
    measuring: bool,
}

impl World {
    /// `domains` failure domains of `each` VMs, all started; every VM knows the first of each domain.
    pub fn new(domains: usize, each: usize, seed: u64) -> Self {
        let mut world = Self {
            now: Millis::new(1),
            seats: Vec::new(),
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            seq: 0,
            rng: SmallRng::seed_from_u64(seed),
            loss: 0.0,
            cut: BTreeSet::new(),
            sent: BTreeMap::new(),
            false_removals: 0,
            pauses: 0,
            keys: Keys::new([1; 32], None),
            measuring: false,
        };
        for index in 0..domains * each {
            let domain = index / each;
            let place = Place { region: Region((domain / 2) as u8), domain: Domain(domain as u8) };
            let addr = address(index);
            let vm = Vm::from_name(&format!("vm-{index}"));
            let late = Vec::new();
            world.seats.push(Seat { member: None, vm, place, addr, life: 0, frozen: false, late });
        }
        for index in 0..world.seats.len() {
            world.start(index);
        }
        world
    }

    /// The time now.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Starts a VM, or another life of it at the same address.
    pub fn start(&mut self, index: usize) {
        let seeds = self.seeds();
        let seat = &mut self.seats[index];
        seat.life += 1;
        let incarnation = (u64::from(seat.life) * 1_000_000 + self.now.whole()) << 16;
        seat.member = Some(Member::new(Options {
            vm: seat.vm,
            name: format!("vm-{index}"),
            incarnation,
            place: seat.place,
            addr: seat.addr,
            seeds,
            rng_seed: index as u64,
        }));
        let life = seat.life;
        let jitter = Millis::from_micros(self.rng.random_range(0..TICK.as_micros()));
        self.at(self.now + jitter, Due::Tick(index, life));
    }

    /// The first VM of each domain.
    fn seeds(&self) -> Vec<SocketAddr> {
        let mut seen = BTreeSet::new();
        let first = self.seats.iter().filter(|s| seen.insert(s.place.domain));
        first.map(|s| s.addr).collect()
    }

    /// The next life of a VM gets another address.
    pub fn move_to_new_address(&mut self, index: usize) {
        self.seats[index].addr = address(index + 0x8000);
    }

    /// Stops a VM without a word.
    pub fn kill(&mut self, index: usize) {
        self.seats[index].member = None;
    }

    /// Freezes a VM, or lets it go on with all that came meanwhile.
    pub fn freeze(&mut self, index: usize, frozen: bool) {
        self.seats[index].frozen = frozen;
        for event in std::mem::take(&mut self.seats[index].late) {
            self.handle(event);
        }
    }

    /// A VM says that it leaves.
    pub fn leave(&mut self, index: usize) {
        self.give(index, Event::Leave);
    }

    /// A VM cannot reach the platform, or can again.
    pub fn blind(&mut self, index: usize, unreachable: bool) {
        self.give(index, Event::PlatformUnreachable(unreachable));
    }

    /// The VMs that follow the platform, as each sees itself.
    pub fn followers(&self) -> Vec<usize> {
        let follows = |seat: &Seat| seat.member.as_ref().is_some_and(Member::watches_platform);
        self.seats.iter().enumerate().filter(|(_, s)| follows(s)).map(|(index, _)| index).collect()
    }

    /// This edition of the table is in force at a VM now.
    pub fn edit(&mut self, index: usize, edition: u64) {
        self.give(index, Event::Edition(edition));
    }

    /// Cuts a domain off from all others, or joins it again.
    pub fn isolate(&mut self, domain: u8, cut: bool) {
        let own = Domain(domain);
        let domains: BTreeSet<Domain> = self.seats.iter().map(|s| s.place.domain).collect();
        for other in domains.into_iter().filter(|d| *d != own) {
            for pair in [(own, other), (other, own)] {
                if cut {
                    self.cut.insert(pair);
                } else {
                    self.cut.remove(&pair);
                }
            }
        }
    }

    /// The VMs as one sees them; empty if it is down.
    pub fn directory(&self, index: usize) -> Directory {
        self.seats[index].member.as_ref().map(Member::directory).unwrap_or_default()
    }

    /// What the domains have in force, as one VM knows.
    pub fn in_force(&self, index: usize) -> BTreeMap<u8, u64> {
        let rollouts = self.seats[index].member.as_ref().map(Member::rollouts);
        rollouts
            .into_iter()
            .flatten()
            .map(|(domain, rollout)| (domain.0, rollout.lowest_edition))
            .collect()
    }

    /// The state of VM `of` in the view of VM `at`.
    pub fn state(&self, at: usize, of: usize) -> Option<State> {
        self.directory(at).members.get(&self.seats[of].vm).map(|m| m.state)
    }

    /// Whether all VMs that run see all VMs that run as alive, and no domain as cut off.
    pub fn converged(&self) -> bool {
        let up: BTreeSet<Vm> =
            self.seats.iter().filter(|s| s.member.is_some()).map(|s| s.vm).collect();
        (0..self.seats.len()).filter(|i| self.seats[*i].member.is_some()).all(|index| {
            let directory = self.directory(index);
            let alive = directory.members.iter().filter(|(_, m)| m.state == State::Alive);
            let seen: BTreeSet<Vm> = alive.map(|(vm, _)| *vm).collect();
            seen == up && directory.unreachable_domains.is_empty()
        })
    }

    /// Runs until `until` returns true, at most for `limit`; the time it took, if it did.
    pub fn until(&mut self, limit: Millis, until: impl Fn(&Self) -> bool) -> Option<Millis> {
        let start = self.now;
        while self.now - start < limit {
            if until(self) {
                return Some(self.now - start);
            }
            self.run(TICK);
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

    /// What membership costs in `time` from now.
    pub fn measure(&mut self, time: Millis) -> Cost {
        self.cost(time, |world| world.run(time))
    }

    /// The same while the fleet of the target lives an ordinary day: an edit of the table every
    /// `edits`, adopted at every VM within a second, and a VM replaced every `restarts`.
    pub fn measure_busy(&mut self, time: Millis, edits: Millis, restarts: Millis) -> Cost {
        self.cost(time, |world| {
            let end = world.now + time;
            let (mut edit, mut next_edit) = (100, world.now + edits);
            let (mut victim, mut next_restart) = (0, world.now + restarts);
            while world.now < end {
                world.run(Millis::new(50));
                if world.now >= next_edit {
                    next_edit += edits;
                    edit += 1;
                    for index in 0..world.seats.len() {
                        world.edit(index, edit);
                        world.run(Millis::from_micros(1_000_000 / world.seats.len() as u64));
                    }
                }
                if world.now >= next_restart {
                    next_restart += restarts;
                    victim = (victim + 7) % world.seats.len();
                    world.kill(victim);
                    world.run(SECOND);
                    world.start(victim);
                    world.edit(victim, edit);
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
        let vms = self.seats.len() as f64;
        let bytes: u64 = self.sent.values().map(|s| s.0).sum();
        let most = self.sent.values().map(|s| s.0).max().unwrap_or(0);
        let packets: u64 = self.sent.values().map(|s| s.1).sum();
        let domains: BTreeSet<Domain> = self.seats.iter().map(|s| s.place.domain).collect();
        let records = self.seats[0].member.as_ref().map(Member::records).unwrap_or_default();
        Cost {
            members: self.seats.len() / domains.len(),
            domains: domains.len(),
            bytes_per_s: bytes as f64 / seconds / vms,
            most_bytes_per_s: most as f64 / seconds,
            packets_per_s: packets as f64 / seconds / vms,
            processor: spent / seconds / vms,
            state_bytes: tgw_wire::seal(&self.keys, &records).map_or(0, |f| f.len()),
        }
    }

    fn at(&mut self, time: Millis, event: Due) {
        self.seq += 1;
        self.heap.push(Reverse((time, self.seq)));
        self.events.insert(self.seq, event);
    }

    fn handle(&mut self, event: Due) {
        let seat = match &event {
            Due::Tick(seat, _) => *seat,
            Due::Packet { to, .. } | Due::Records { to, .. } => *to,
        };
        if self.seats[seat].frozen {
            self.seats[seat].late.push(event);
            return;
        }
        match event {
            Due::Tick(seat, life) => {
                if self.seats[seat].life == life && self.seats[seat].member.is_some() {
                    self.at(self.now + TICK, Due::Tick(seat, life));
                    self.give(seat, Event::Tick);
                }
            }
            Due::Packet { to, from, packet } => {
                // What a real VM does besides: check the signature and read the packet.
                let packet = if self.measuring { self.coded(&packet) } else { packet };
                self.give(to, Event::Packet(from, packet));
            }
            Due::Records { to, records } => self.give(to, Event::Records(records)),
        }
    }

    fn coded(&self, packet: &Packet) -> Box<Packet> {
        let frame = tgw_wire::seal(&self.keys, packet).unwrap_or_default();
        Box::new(tgw_wire::open(&self.keys, &frame).unwrap_or_else(|_| packet.clone()))
    }

    fn give(&mut self, seat: usize, event: Event) {
        let Some(member) = &mut self.seats[seat].member else { return };
        let before = member.stats().declared_dead;
        let mut out = Vec::new();
        member.handle(self.now, event, &mut out);
        if member.stats().declared_dead > before {
            self.count_false_removals(seat);
        }
        for action in out {
            self.act(seat, action);
        }
    }

    /// Counts VMs that run, can be reached, and were declared dead by `seat` just now.
    fn count_false_removals(&mut self, seat: usize) {
        let directory = self.directory(seat);
        let here = self.seats[seat].place.domain;
        let wrong = self.seats.iter().filter(|s| {
            let dead = directory.members.get(&s.vm).is_some_and(|m| m.state == State::Dead);
            let reached = !self.cut.contains(&(here, s.place.domain));
            dead && s.member.is_some() && !s.frozen && reached && s.place.domain == here
        });
        self.false_removals += wrong.count() as u64;
    }

    fn act(&mut self, seat: usize, action: Action) {
        let from = self.seats[seat].addr;
        match action {
            Action::Send(to, packet) => {
                if self.measuring {
                    let bytes = tgw_wire::seal(&self.keys, &*packet).map_or(0, |f| f.len());
                    let sent = self.sent.entry(seat).or_default();
                    sent.0 += (bytes + HEADERS) as u64;
                    sent.1 += 1;
                }
                let Some(way) = self.way(seat, to) else { return };
                if self.rng.random_bool(self.loss) {
                    return;
                }
                self.at(self.now + way.1, Due::Packet { to: way.0, from, packet });
            }
            Action::SendRecords(to, records) => {
                if let Some((to, delay)) = self.way(seat, to) {
                    self.at(self.now + delay + delay, Due::Records { to, records });
                }
            }
            Action::Paused(_) => self.pauses += 1,
            Action::DirectoryChanged | Action::PeerNewer { .. } => {}
        }
    }

    fn way(&self, from: usize, to: SocketAddr) -> Option<(usize, Millis)> {
        let to = self.seats.iter().position(|s| s.addr == to)?;
        let (a, b) = (self.seats[from].place.domain, self.seats[to].place.domain);
        (!self.cut.contains(&(a, b))).then_some((to, if a == b { NEAR } else { FAR }))
    }
}

fn address(index: usize) -> SocketAddr {
    let [_, _, high, low] = (index as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7802))
}

/// Time between two edits at 14,000 a day, and between two VMs lost or replaced at 440 and 7,900.
const EDITS: Millis = Millis::new(6_171);
const RESTARTS: Millis = Millis::new(10_360);

/// Costs at several sizes, domains and VMs of each: quiet, and on the target's ordinary day.
pub fn slopes(sizes: &[(usize, usize)], settle: Millis, time: Millis) -> Vec<(Cost, Cost)> {
    let cost = |(domains, each): &(usize, usize)| {
        let mut world = World::new(*domains, *each, 1);
        world.run(settle);
        let quiet = world.measure(time);
        (quiet, world.measure_busy(time, EDITS, RESTARTS))
    };
    sizes.iter().map(cost).collect()
}
