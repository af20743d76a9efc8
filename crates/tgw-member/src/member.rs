use crate::{
    Record,
    gossip::Gossip,
    packet::{Body, News, Packet},
    probe::Probes,
    relay::Relay,
};
use rand::{SeedableRng, rngs::SmallRng};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};
use tgw_clock::Millis;
use tgw_owner::{Directory, Member as Entry, State};
use tgw_topology::{Place, Vm, place::Domain};

pub use crate::relay::Force;

/// How often one VM of the domain is probed.
pub(crate) const PERIOD: Millis = Millis::new(300);
/// How long a suspect has to refute.
pub(crate) const SUSPICION: Millis = Millis::new(1200);
/// VMs to which fresh news is pushed at once.
pub(crate) const PUSH: usize = 3;
/// VMs of each domain that keep contact with the others.
pub(crate) const RELAYS: usize = 2;
/// How often a relay contacts one other domain.
const RELAY_PERIOD: Millis = Millis::new(250);
/// How often a dead VM or a seed is tried again, so that a healed partition is noticed.
const RETRY: Millis = Millis::new(1000);
/// First time between two tries of a VM that knows no other; doubles up to [`RETRY`]. Where all start at once,
/// the VMs that are asked first may not have bound their sockets yet: a first packet was lost and the next one
/// sent a second later, so that 295 VMs knew one another after 1.2 s.
const JOIN: Millis = Millis::new(100);
/// How often records are compared with those of another VM.
const COMPARE: Millis = Millis::new(10_000);
/// How often the edition in force is reported to the relays besides when it changes.
const REPORT: Millis = Millis::new(2000);
/// A gap between two ticks that says that this VM was paused.
const PAUSE: Millis = Millis::new(700);

/// Who this VM is.
#[derive(Clone, Debug)]
pub struct Options {
    /// This VM.
    pub vm: Vm,
    /// Its configured name.
    pub name: String,
    /// This life: higher than that of any earlier process of the VM.
    pub incarnation: u64,
    /// Where it lies.
    pub place: Place,
    /// Where its peers reach it.
    pub addr: SocketAddr,
    /// Whom to ask first.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the choices made at random.
    pub seed: u64,
}

/// What the core is told.
#[derive(Debug)]
pub enum Event {
    /// A packet came.
    Packet(SocketAddr, Box<Packet>),
    /// Records came from another VM by comparison.
    Records(Vec<Record>),
    /// The platform names VMs to ask.
    Seeds(Vec<SocketAddr>),
    /// This edition of the table is in force here now.
    Edit(u64),
    /// The catalog of this version is in use here now.
    World(u64),
    /// The list of evacuated failure domains of this version is in force here now.
    Evacuations(u64),
    /// This VM cannot reach the platform, or can again.
    Blind(bool),
    /// This VM leaves.
    Leave,
    /// Time has passed.
    Tick,
}

/// What must be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a packet.
    Send(SocketAddr, Box<Packet>),
    /// Send these records to another VM reliably.
    Sync(SocketAddr, Vec<Record>),
    /// The directory has changed.
    Changed,
    /// A VM has a newer edition of the table, a newer catalog or a newer list of evacuations than this one.
    Newer {
        /// The VM.
        vm: Vm,
        /// Where it is reached.
        addr: SocketAddr,
        /// Its edition.
        edit: u64,
        /// The version of its catalog.
        world: u64,
        /// The version of its list of evacuated failure domains.
        evacuations: u64,
    },
    /// This VM was paused: others may have taken over what it owned.
    Paused(Millis),
}

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Packets sent.
    pub sent: u64,
    /// Times a VM was suspected here first.
    pub suspected: u64,
    /// Times a VM was declared dead here first.
    pub declared: u64,
    /// Times this VM refuted a word about itself.
    pub refuted: u64,
}

/// How long a VM has to refute that it is dead, and how often it was probed a last time.
pub(crate) struct Suspicion {
    pub(crate) until: Millis,
    pub(crate) probes: u8,
}

/// Membership as one VM sees it.
pub struct Member {
    pub(crate) options: Options,
    pub(crate) incarnation: u64,
    pub(crate) leaving: bool,
    pub(crate) blind: bool,
    pub(crate) edit: u64,
    pub(crate) world: u64,
    pub(crate) evacuations: u64,
    pub(crate) records: BTreeMap<Vm, Record>,
    pub(crate) suspicions: BTreeMap<Vm, Suspicion>,
    pub(crate) dead_since: BTreeMap<Vm, Millis>,
    pub(crate) probes: Probes,
    pub(crate) round: Vec<Vm>,
    pub(crate) relay: Relay,
    pub(crate) foreign_round: Vec<Domain>,
    pub(crate) gossip: Gossip,
    pub(crate) rng: SmallRng,
    pub(crate) last_tick: Millis,
    pub(crate) next_probe: Millis,
    pub(crate) next_relay: Millis,
    pub(crate) next_retry: Millis,
    /// Time until the next try while no other VM is known.
    pub(crate) join: Millis,
    pub(crate) next_compare: Millis,
    pub(crate) next_report: Millis,
    pub(crate) stats: Stats,
    pub(crate) changed: bool,
}

pub(crate) type Out = Vec<Action>;

impl Member {
    /// A VM that knows itself and its seeds.
    pub fn new(options: Options) -> Self {
        let rng = SmallRng::seed_from_u64(options.seed ^ options.vm.0);
        let mut member = Self {
            incarnation: options.incarnation,
            options,
            leaving: false,
            blind: false,
            edit: 0,
            world: 0,
            evacuations: 0,
            records: BTreeMap::new(),
            suspicions: BTreeMap::new(),
            dead_since: BTreeMap::new(),
            probes: Probes::default(),
            round: Vec::new(),
            relay: Relay::default(),
            foreign_round: Vec::new(),
            gossip: Gossip::default(),
            rng,
            last_tick: Millis::ZERO,
            next_probe: Millis::ZERO,
            next_relay: Millis::ZERO,
            next_retry: Millis::ZERO,
            join: JOIN,
            next_compare: COMPARE,
            next_report: Millis::ZERO,
            stats: Stats::default(),
            changed: true,
        };
        let own = member.own_record();
        member.records.insert(own.vm, own);
        member
    }

    /// Counts since the start.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// The VMs as they are seen now.
    pub fn directory(&self) -> Directory {
        let members = self.records.iter().map(|(vm, r)| (*vm, r.member.clone())).collect();
        Directory { members, cut: self.relay.cut() }
    }

    /// Since when a VM is taken for dead, or said that it leaves.
    pub fn dead_since(&self, vm: Vm) -> Option<Millis> {
        self.dead_since.get(&vm).copied()
    }

    /// Where a VM is reached.
    pub fn directory_addr(&self, vm: Vm) -> Option<SocketAddr> {
        self.addr(vm)
    }

    /// What each domain's live VMs have in force, as far as is known.
    pub fn forces(&self) -> &BTreeMap<Domain, Force> {
        self.relay.forces()
    }

    /// All records, for comparison with another VM.
    pub fn records(&self) -> Vec<Record> {
        self.records.values().cloned().collect()
    }

    /// Handles one event at `now` and appends what must be done.
    pub fn on(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Packet(addr, packet) => self.packet(now, addr, *packet, out),
            Event::Records(records) => self.merge(now, records, out),
            Event::Seeds(seeds) => self.options.seeds = seeds,
            Event::Edit(edit) => {
                self.edit = self.edit.max(edit);
                self.report(out);
                self.push_edit(out);
            }
            Event::World(world) => {
                self.world = self.world.max(world);
                self.push_edit(out);
            }
            Event::Evacuations(version) => {
                self.evacuations = self.evacuations.max(version);
                self.push_edit(out);
            }
            Event::Blind(blind) => self.set_blind(blind, out),
            Event::Leave => self.leave(now, out),
            Event::Tick => self.tick(now, out),
        }
        if std::mem::take(&mut self.changed) {
            out.push(Action::Changed);
        }
    }

    pub(crate) fn here(&self) -> Domain {
        self.options.place.domain
    }

    pub(crate) fn own_record(&self) -> Record {
        let state = if self.leaving { State::Leaving } else { State::Alive };
        let Options { name, place, addr, vm, .. } = &self.options;
        let (name, incarnation) = (name.clone(), self.incarnation);
        let (place, addr, blind) = (*place, *addr, self.blind);
        let member = Entry { name, incarnation, place, addr, state, blind };
        Record { vm: *vm, member }
    }

    /// Other VMs of this domain that may answer.
    pub(crate) fn neighbours(&self) -> Vec<Vm> {
        let here = self.here();
        let near = self.records.values().filter(|r| r.member.place.domain == here);
        near.filter(|r| r.member.state != State::Dead && r.vm != self.options.vm)
            .map(|r| r.vm)
            .collect()
    }

    /// How often a piece of news is told by one VM: enough to reach all of the domain, and from a
    /// relay all domains besides.
    pub(crate) fn times(&self) -> u32 {
        let count = self.neighbours().len() as u32 + 2;
        let domains: BTreeSet<Domain> =
            self.records.values().map(|r| r.member.place.domain).collect();
        let relay = if self.is_relay() { 2 * domains.len() as u32 } else { 0 };
        3 * (u32::BITS - count.leading_zeros()) + relay
    }

    pub(crate) fn addr(&self, vm: Vm) -> Option<SocketAddr> {
        self.records.get(&vm).map(|r| r.member.addr)
    }

    pub(crate) fn send(&mut self, to: SocketAddr, body: Body, out: &mut Out) {
        self.stats.sent += 1;
        let news = self.gossip.take();
        let Self { edit, world, evacuations, .. } = *self;
        let packet = Packet { from: self.options.vm, edit, world, evacuations, body, news };
        out.push(Action::Send(to, Box::new(packet)));
    }

    fn packet(&mut self, now: Millis, addr: SocketAddr, packet: Packet, out: &mut Out) {
        let Packet { from, edit, world, evacuations, body, news } = packet;
        let stranger = !self.records.contains_key(&from);
        self.heard(now, from, out);
        for item in news {
            self.news(now, item, out);
        }
        if edit > self.edit || world > self.world || evacuations > self.evacuations {
            out.push(Action::Newer { vm: from, addr, edit, world, evacuations });
        }
        match body {
            Body::Ping { seq } => self.answer_ping(from, stranger, addr, seq, out),
            Body::Join { seq } => self.answer_ping(from, true, addr, seq, out),
            Body::Ack { seq } => self.acknowledged(seq, out),
            Body::Indirect { seq, target } => {
                let own = self.probes.next();
                self.probes.relayed.insert(own, (addr, seq, now));
                self.send(target, Body::Ping { seq: own }, out);
            }
            Body::Report => self.relay.report(from, edit),
            Body::Hashes(theirs) => self.compare(addr, &theirs, out),
            Body::Push => {}
        }
    }

    fn heard(&mut self, now: Millis, from: Vm, out: &mut Out) {
        let Some(domain) = self.records.get(&from).map(|r| r.member.place.domain) else { return };
        if domain == self.here() {
            return;
        }
        if let Some(news) = self.relay.heard(now, self.here(), domain) {
            self.spread(news, out);
            self.changed = true;
        }
    }

    fn answer_ping(&mut self, from: Vm, stranger: bool, addr: SocketAddr, seq: u64, out: &mut Out) {
        // A VM that counts as dead or suspect here must hear of it to refute it; one that is not
        // known must learn who this is.
        let known = self.records.get(&from).cloned();
        match known {
            Some(record) if record.member.state != State::Alive => {
                self.gossip.add(News::Record(record), 1);
            }
            Some(_) => {}
            None => self.gossip.add(News::Record(self.own_record()), 1),
        }
        self.send(addr, Body::Ack { seq }, out);
        // A VM that joins needs every record; the news it is told meanwhile is only what is new.
        if stranger {
            out.push(Action::Sync(addr, self.records()));
        }
    }

    fn acknowledged(&mut self, seq: u64, out: &mut Out) {
        self.probes.open.remove(&seq);
        if let Some((addr, theirs, _)) = self.probes.relayed.remove(&seq) {
            self.send(addr, Body::Ack { seq: theirs }, out);
        }
    }

    fn leave(&mut self, now: Millis, out: &mut Out) {
        self.leaving = true;
        self.incarnation += 1;
        let own = self.own_record();
        self.records.insert(own.vm, own.clone());
        self.changed = true;
        let times = self.times();
        self.gossip.add(News::Record(own), times.max(self.records.len() as u32));
        // A few lost packets must not hide the leaving: every neighbour is told, and a relay of each
        // other domain.
        let near = self.neighbours().len();
        self.push(near.min(16), out);
        for domain in self.foreign_domains() {
            self.contact(domain, Body::Push, out);
        }
        self.next_probe = now;
    }

    fn retry_gap(&mut self) -> Millis {
        if self.records.len() > 1 {
            return RETRY;
        }
        let gap = self.join;
        self.join = (gap + gap).min(RETRY);
        gap
    }

    fn tick(&mut self, now: Millis, out: &mut Out) {
        let gap = now - self.last_tick;
        if self.last_tick > Millis::ZERO && gap >= PAUSE {
            self.resume(now, gap, out);
        }
        self.last_tick = now;
        self.check_probes(now, out);
        self.check_suspects(now, out);
        if now >= self.next_probe {
            self.next_probe = now + PERIOD;
            self.probe_neighbour(now, out);
        }
        if now >= self.next_relay {
            self.next_relay = now + RELAY_PERIOD;
            self.relay_turn(now, out);
        }
        if now >= self.next_report {
            self.next_report = now + REPORT;
            self.report(out);
        }
        if now >= self.next_retry {
            self.next_retry = now + self.retry_gap();
            self.retry(out);
        }
        if now >= self.next_compare {
            self.next_compare = now + COMPARE;
            self.start_compare(out);
            self.forget(now);
        }
    }
}
