use crate::{
    Record,
    event::{Action, Event},
    gossip::Gossip,
    packet::{Body, Packet, Update},
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

pub use crate::relay::Rollout;

/// How often one VM of the domain is probed; also the time after which an unanswered probe makes its
/// target a suspect.
pub(crate) const PROBE_INTERVAL_MS: Millis = Millis::new(300);
/// How long a suspect has to refute the suspicion.
pub(crate) const SUSPICION_TIMEOUT_MS: Millis = Millis::new(1200);
/// The number of VMs to which a new update is pushed at once.
pub(crate) const PUSH_FANOUT: usize = 3;
/// The number of VMs in each domain that keep contact with other domains.
pub(crate) const RELAYS_PER_DOMAIN: usize = 2;
/// How often a relay pings one other domain.
const RELAY_INTERVAL_MS: Millis = Millis::new(250);
/// How often a dead VM or a seed is pinged, so that the end of a partition is detected.
const RETRY_INTERVAL_MS: Millis = Millis::new(1000);
/// Dead VMs and seeds that are pinged at each retry.
const RETRY_TARGETS: usize = 2;
/// Those that are pinged at once when seeds are named: most of them may be down, and one that lives tells of the others.
const MAX_NEW_SEEDS: usize = 16;
/// How often a VM is called that may know no other one: at once and at each retry, so that some packets may be lost.
pub(crate) const CALL_ATTEMPTS: u8 = 4;
/// First interval between join attempts of a VM that knows no other; doubles up to
/// [`RETRY_INTERVAL_MS`]. Where all VMs start at once, the seeds may not have bound their sockets yet:
/// with the first packet lost and the next one sent a second later, 295 VMs knew one another only
/// after 1.2 s.
const INITIAL_JOIN_INTERVAL_MS: Millis = Millis::new(100);
/// How often records are compared with those of another VM.
const COMPARE_INTERVAL_MS: Millis = Millis::new(10_000);
/// How often the edition in force is reported to the relays, besides on each change.
const REPORT_INTERVAL_MS: Millis = Millis::new(2000);
/// A gap between two ticks from which this VM counts as having been paused.
const PAUSE_THRESHOLD_MS: Millis = Millis::new(700);

/// The identity and settings of this VM.
#[derive(Clone, Debug)]
pub struct Options {
    /// This VM.
    pub vm: Vm,
    /// Its configured name.
    pub name: String,
    /// The incarnation of this process: higher than that of any earlier process of the VM.
    pub incarnation: u64,
    /// The region and failure domain of the VM.
    pub place: Place,
    /// The address at which its peers reach it.
    pub addr: SocketAddr,
    /// The processor power of the VM, in thousandths of a core; zero if not stated.
    pub power: u32,
    /// The addresses to join through.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random number generator.
    pub rng_seed: u64,
}

/// Counters since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Packets sent.
    pub sent: u64,
    /// Suspicions that this VM started.
    pub suspected: u64,
    /// VMs that this VM was the first to declare dead.
    pub declared_dead: u64,
    /// Records about this VM that it refuted.
    pub refuted: u64,
}

/// The deadline for a suspect to refute its suspicion, and the number of final probes sent to it.
pub(crate) struct Suspicion {
    pub(crate) deadline: Millis,
    pub(crate) final_probes: u8,
}

/// The membership as one VM sees it.
pub struct Member {
    pub(crate) options: Options,
    pub(crate) incarnation: u64,
    pub(crate) leaving: bool,
    pub(crate) platform_unreachable: bool,
    pub(crate) platform_losses: u32,
    pub(crate) edition: u64,
    pub(crate) catalog_version: u64,
    pub(crate) evacuations_version: u64,
    pub(crate) records: BTreeMap<Vm, Record>,
    pub(crate) suspicions: BTreeMap<Vm, Suspicion>,
    /// Since when a VM is dead or leaving.
    pub(crate) departed_since: BTreeMap<Vm, Millis>,
    pub(crate) probes: Probes,
    /// VMs still to be probed in this round.
    pub(crate) probe_round: Vec<Vm>,
    pub(crate) relay: Relay,
    /// Domains still to be pinged in this round.
    pub(crate) domain_round: Vec<Domain>,
    /// VMs that are called until they are known, and how often they still are.
    pub(crate) called: BTreeMap<SocketAddr, u8>,
    pub(crate) gossip: Gossip,
    pub(crate) rng: SmallRng,
    pub(crate) last_tick: Millis,
    pub(crate) next_probe: Millis,
    pub(crate) next_relay: Millis,
    pub(crate) next_retry: Millis,
    /// The interval before the next join attempt while no other VM is known.
    pub(crate) join_interval: Millis,
    pub(crate) next_compare: Millis,
    pub(crate) next_report: Millis,
    pub(crate) stats: Stats,
    pub(crate) changed: bool,
}

pub(crate) type Actions = Vec<Action>;

impl Member {
    /// The state of a VM that knows only itself and its seeds.
    pub fn new(options: Options) -> Self {
        let rng = SmallRng::seed_from_u64(options.rng_seed ^ options.vm.0);
        let mut member = Self {
            incarnation: options.incarnation,
            options,
            leaving: false,
            platform_unreachable: false,
            platform_losses: 0,
            edition: 0,
            catalog_version: 0,
            evacuations_version: 0,
            records: BTreeMap::new(),
            suspicions: BTreeMap::new(),
            departed_since: BTreeMap::new(),
            probes: Probes::default(),
            probe_round: Vec::new(),
            relay: Relay::default(),
            domain_round: Vec::new(),
            called: BTreeMap::new(),
            gossip: Gossip::default(),
            rng,
            last_tick: Millis::ZERO,
            next_probe: Millis::ZERO,
            next_relay: Millis::ZERO,
            next_retry: Millis::ZERO,
            join_interval: INITIAL_JOIN_INTERVAL_MS,
            next_compare: COMPARE_INTERVAL_MS,
            next_report: Millis::ZERO,
            stats: Stats::default(),
            changed: true,
        };
        let own = member.own_record();
        member.records.insert(own.vm, own);
        member
    }

    /// Counters since the start.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// All known VMs and the unreachable domains, as this VM sees them now.
    pub fn directory(&self) -> Directory {
        let members = self.records.iter().map(|(vm, r)| (*vm, r.member.clone())).collect();
        Directory { members, unreachable_domains: self.relay.unreachable() }
    }

    /// Since when a VM is considered dead or is leaving.
    pub fn departed_since(&self, vm: Vm) -> Option<Millis> {
        self.departed_since.get(&vm).copied()
    }

    /// The address at which a VM is reached.
    pub fn peer_addr(&self, vm: Vm) -> Option<SocketAddr> {
        self.addr(vm)
    }

    /// The editions in force in each domain, as far as they are known.
    pub fn rollouts(&self) -> &BTreeMap<Domain, Rollout> {
        self.relay.rollouts()
    }

    /// All records, for comparison with another VM.
    pub fn records(&self) -> Vec<Record> {
        self.records.values().cloned().collect()
    }

    /// Handles one event at `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Packet(addr, packet) => self.handle_packet(now, addr, *packet, out),
            Event::Records(records) => self.merge_records(now, records, out),
            Event::Seeds(seeds) => {
                self.options.seeds = seeds;
                self.ping_dead_and_seeds(MAX_NEW_SEEDS, out);
            }
            Event::Call(addresses) => self.call(addresses, out),
            Event::Edition(edition) => {
                self.edition = self.edition.max(edition);
                self.report_edition(out);
                self.push_versions(out);
            }
            Event::CatalogVersion(version) => {
                self.catalog_version = self.catalog_version.max(version);
                self.push_versions(out);
            }
            Event::EvacuationsVersion(version) => {
                self.evacuations_version = self.evacuations_version.max(version);
                self.push_versions(out);
            }
            Event::PlatformUnreachable(unreachable) => {
                self.set_platform_unreachable(unreachable, out);
            }
            Event::Leave => self.leave(now, out),
            Event::Tick => self.tick(now, out),
        }
        if std::mem::take(&mut self.changed) {
            out.push(Action::DirectoryChanged);
        }
    }

    pub(crate) fn own_domain(&self) -> Domain {
        self.options.place.domain
    }

    pub(crate) fn own_record(&self) -> Record {
        let state = if self.leaving { State::Leaving } else { State::Alive };
        let Options { name, place, addr, vm, power, .. } = &self.options;
        let (name, incarnation) = (name.clone(), self.incarnation);
        let (place, addr, power) = (*place, *addr, *power);
        let Self { platform_unreachable, platform_losses, .. } = *self;
        let member = Entry {
            name,
            incarnation,
            place,
            addr,
            state,
            platform_unreachable,
            platform_losses,
            power,
        };
        Record { vm: *vm, member }
    }

    /// Other VMs of this domain that are not dead.
    pub(crate) fn neighbours(&self) -> Vec<Vm> {
        let own_domain = self.own_domain();
        let local = self.records.values().filter(|r| r.member.place.domain == own_domain);
        local
            .filter(|r| r.member.state != State::Dead && r.vm != self.options.vm)
            .map(|r| r.vm)
            .collect()
    }

    /// How many packets of one VM carry an update: enough to reach every VM of the domain and, from a
    /// relay, all other domains as well.
    pub(crate) fn transmissions(&self) -> u32 {
        let count = self.neighbours().len() as u32 + 2;
        let domains: BTreeSet<Domain> =
            self.records.values().map(|r| r.member.place.domain).collect();
        let relay = if self.is_relay() { 2 * domains.len() as u32 } else { 0 };
        3 * (u32::BITS - count.leading_zeros()) + relay
    }

    pub(crate) fn addr(&self, vm: Vm) -> Option<SocketAddr> {
        self.records.get(&vm).map(|r| r.member.addr)
    }

    pub(crate) fn send(&mut self, to: SocketAddr, body: Body, out: &mut Actions) {
        self.stats.sent += 1;
        let updates = self.gossip.take_batch();
        let Self { edition, catalog_version, evacuations_version, .. } = *self;
        let packet = Packet {
            from: self.options.vm,
            edition,
            catalog_version,
            evacuations_version,
            body,
            updates,
        };
        out.push(Action::Send(to, Box::new(packet)));
    }

    fn handle_packet(&mut self, now: Millis, addr: SocketAddr, packet: Packet, out: &mut Actions) {
        let Packet { from, edition, catalog_version, evacuations_version, body, updates } = packet;
        let unknown = !self.records.contains_key(&from);
        let knew_nobody = self.records.len() <= 1;
        self.packet_received(now, from, out);
        for update in updates {
            self.apply_update(now, update, out);
        }
        if edition > self.edition
            || catalog_version > self.catalog_version
            || evacuations_version > self.evacuations_version
        {
            out.push(Action::PeerNewer {
                vm: from,
                addr,
                edition,
                catalog_version,
                evacuations_version,
            });
        }
        match body {
            Body::Ping { seq } => {
                self.answer_ping(from, unknown, addr, seq, out);
                if knew_nobody {
                    // The VM that calls knows others, which this one cannot ask.
                    let seq = self.probes.next_seq();
                    self.send(addr, Body::Join { seq }, out);
                }
            }
            Body::Join { seq } => self.answer_ping(from, true, addr, seq, out),
            Body::Ack { seq } => self.handle_ack(seq, out),
            Body::Indirect { seq, target } => {
                let own_seq = self.probes.next_seq();
                self.probes.relayed.insert(own_seq, (addr, seq, now));
                self.send(target, Body::Ping { seq: own_seq }, out);
            }
            Body::Report => self.relay.record_edition(from, edition),
            Body::Hashes(theirs) => self.compare(addr, &theirs, out),
            Body::Push => {}
        }
    }

    fn packet_received(&mut self, now: Millis, from: Vm, out: &mut Actions) {
        let Some(domain) = self.records.get(&from).map(|r| r.member.place.domain) else { return };
        if domain == self.own_domain() {
            return;
        }
        if let Some(update) = self.relay.packet_received(now, self.own_domain(), domain) {
            self.disseminate(update, out);
            self.changed = true;
        }
    }

    fn answer_ping(
        &mut self,
        from: Vm,
        unknown: bool,
        addr: SocketAddr,
        seq: u64,
        out: &mut Actions,
    ) {
        // A sender that is suspect or dead here must receive that record to refute it; an unknown
        // sender needs the record of this VM.
        let known = self.records.get(&from).cloned();
        match known {
            Some(record) if record.member.state != State::Alive => {
                self.gossip.enqueue(Update::Record(record), 1);
            }
            Some(_) => {}
            None => self.gossip.enqueue(Update::Record(self.own_record()), 1),
        }
        self.send(addr, Body::Ack { seq }, out);
        // A joining VM needs every record; updates alone carry only recent changes.
        if unknown {
            out.push(Action::SendRecords(addr, self.records()));
        }
    }

    fn handle_ack(&mut self, seq: u64, out: &mut Actions) {
        self.probes.in_flight.remove(&seq);
        if let Some((addr, requester_seq, _)) = self.probes.relayed.remove(&seq) {
            self.send(addr, Body::Ack { seq: requester_seq }, out);
        }
    }

    fn leave(&mut self, now: Millis, out: &mut Actions) {
        self.leaving = true;
        self.incarnation += 1;
        let own = self.own_record();
        self.records.insert(own.vm, own.clone());
        self.changed = true;
        let transmissions = self.transmissions();
        self.gossip.enqueue(Update::Record(own), transmissions.max(self.records.len() as u32));
        // A few lost packets must not hide that this VM leaves: up to 16 neighbours and a relay of each
        // other domain are informed at once.
        let neighbours = self.neighbours().len();
        self.push(neighbours.min(16), out);
        for domain in self.other_domains() {
            self.send_to_relay(domain, Body::Push, out);
        }
        self.next_probe = now;
    }

    fn next_retry_interval(&mut self) -> Millis {
        if self.records.len() > 1 {
            return RETRY_INTERVAL_MS;
        }
        let interval = self.join_interval;
        self.join_interval = (interval + interval).min(RETRY_INTERVAL_MS);
        interval
    }

    fn tick(&mut self, now: Millis, out: &mut Actions) {
        let gap = now - self.last_tick;
        if self.last_tick > Millis::ZERO && gap >= PAUSE_THRESHOLD_MS {
            self.resume_after_pause(now, gap, out);
        }
        self.last_tick = now;
        self.check_probes(now, out);
        self.check_suspicions(now, out);
        if now >= self.next_probe {
            self.next_probe = now + PROBE_INTERVAL_MS;
            self.probe_neighbour(now, out);
        }
        if now >= self.next_relay {
            self.next_relay = now + RELAY_INTERVAL_MS;
            self.relay_tick(now, out);
        }
        if now >= self.next_report {
            self.next_report = now + REPORT_INTERVAL_MS;
            self.report_edition(out);
        }
        if now >= self.next_retry {
            self.next_retry = now + self.next_retry_interval();
            self.ping_dead_and_seeds(RETRY_TARGETS, out);
            self.ping_called(out);
        }
        if now >= self.next_compare {
            self.next_compare = now + COMPARE_INTERVAL_MS;
            self.start_comparison(out);
            self.evict_departed(now);
        }
    }
}
