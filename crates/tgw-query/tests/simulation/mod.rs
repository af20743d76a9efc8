//! Simulation of an entry with one service of four shards, each with three replicas in three
//! groups. A seed determines the order and kind of the owners' outcomes: late, duplicate, from
//! another VM, without the snapshot, or lost.

use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use smallvec::SmallVec;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
};
use tgw_clock::Millis;
use tgw_dispatch::leaf::{Failure, Leaf, Outcome, SnapshotCounts};
use tgw_query::{Action, Answer, Entry, Event, Options, Owners, View};
use tgw_table::{Document, Row};
use tgw_topology::{
    Catalog, Group, Layout, Place, Service, Snapshot, Upstream, Vm,
    catalog::{Index, LayoutEntry, ServiceEntry, UpstreamEntry},
    place::{Domain, Latency, Region},
};

pub(crate) const SERVICE: Service = Service(0);
pub(crate) const LOCAL_VM: Vm = Vm(1);
const INITIAL_SNAPSHOT: Snapshot = Snapshot { version: 1, layout: Layout(1) };
const SHARDS: u16 = 4;

/// Two VMs per group: the owner and its stand-in.
struct StaticOwners;

impl Owners for StaticOwners {
    fn owners(&self, group: Group) -> SmallVec<[Vm; 2]> {
        let first = 10 + u64::from(group.domain.0);
        [Vm(first), Vm(first + 10)].into_iter().collect()
    }

    fn place(&self, vm: Vm) -> Option<Place> {
        Some(place((vm.0 % 10) as u8))
    }
}

fn place(domain: u8) -> Place {
    Place { region: Region(domain), domain: Domain(domain) }
}

fn catalog() -> Catalog {
    let mut catalog = Catalog { version: 1, ..Catalog::default() };
    for domain in 0..3u8 {
        let node = UpstreamEntry {
            id: Upstream(domain.into()),
            service: SERVICE,
            instance: 0,
            place: place(domain),
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            max_concurrency: 4,
            max_connections: 10,
            leaving: false,
        };
        catalog.upstreams.insert(node.id, node);
    }
    let replicas = || (0..3).map(Upstream).collect();
    let layout = |id: u32, shards: u16| LayoutEntry {
        id: Layout(id),
        shards: (0..shards).map(|_| replicas()).collect(),
    };
    let entry = ServiceEntry {
        id: SERVICE,
        name: "desk".into(),
        snapshots: vec![INITIAL_SNAPSHOT],
        layouts: vec![layout(1, SHARDS), layout(2, 2 * SHARDS)],
    };
    catalog.services.insert(SERVICE, entry);
    catalog
}

/// Items that name the query's body, the snapshot and the shard, so that foreign items are
/// detected.
pub(crate) fn tagged_items(body: &[u8], snapshot: Snapshot, shard: u16) -> Bytes {
    let text = String::from_utf8_lossy(body);
    Bytes::from(format!("{text}|{}.{}|{shard}", snapshot.version, snapshot.layout.0))
}

struct Request {
    to: Vm,
    group: Group,
    leaf: Leaf,
}

pub(crate) struct Simulation {
    pub(crate) seed: u64,
    pub(crate) entry: Entry,
    pub(crate) now: Millis,
    pub(crate) catalog: Catalog,
    table: Document,
    rng: SmallRng,
    requests: Vec<Request>,
    /// Outcomes already delivered, which may be delivered again.
    past_outcomes: Vec<Event>,
    /// Snapshots held in each domain.
    held: BTreeMap<u8, Vec<Snapshot>>,
    query_bodies: BTreeMap<u64, Bytes>,
    pub(crate) open_tokens: BTreeSet<u64>,
    pub(crate) complete: u32,
    pub(crate) partial: u32,
    pub(crate) refused: u32,
    next_token: u64,
}

impl Simulation {
    pub(crate) fn new(seed: u64) -> Self {
        let row = Row { least_coverage_pct: 0.0, deadline_ms: 400, ..Row::with_defaults("desk") };
        let rows = [(row.service.clone(), row)].into_iter().collect();
        Self {
            seed,
            entry: Entry::new(Options {
                vm: LOCAL_VM,
                incarnation: seed,
                max_running: 64,
                adaptive_limits: true,
                log_sample_interval: 0,
                hedge_across_groups: true,
            }),
            now: Millis::new(1),
            catalog: catalog(),
            table: Document { edition: 1, rows, removed: BTreeMap::new() },
            rng: SmallRng::seed_from_u64(seed),
            requests: Vec::new(),
            past_outcomes: Vec::new(),
            held: (0..3).map(|d| (d, vec![INITIAL_SNAPSHOT])).collect(),
            query_bodies: BTreeMap::new(),
            open_tokens: BTreeSet::new(),
            complete: 0,
            partial: 0,
            refused: 0,
            next_token: 1,
        }
    }

    /// Runs one random step.
    pub(crate) fn step(&mut self) {
        self.now += Millis::from_micros(self.rng.random_range(0..8000));
        match self.rng.random_range(0..100) {
            0..18 => self.submit(),
            18..70 => self.deliver_random_outcome(),
            70..74 => self.redeliver_outcome(),
            74..76 => self.drop_request(),
            76..84 => self.change_snapshots(),
            84..85 => {
                let vm = Vm(10 + self.rng.random_range(0..3));
                self.handle_event(Event::Disconnected(vm));
            }
            85..86 => {
                if let Some(token) = self.open_tokens.pop_first() {
                    self.handle_event(Event::Abandon(token));
                }
            }
            _ => self.handle_event(Event::Tick),
        }
    }

    /// Advances the time until all queries have passed their deadline.
    pub(crate) fn run_past_deadlines(&mut self) {
        for _ in 0..40 {
            self.now += Millis::new(50);
            self.handle_event(Event::Tick);
        }
    }

    pub(crate) fn submit(&mut self) {
        let token = self.next_token;
        self.next_token += 1;
        let body = Bytes::from(format!("q{token}"));
        self.query_bodies.insert(token, body.clone());
        self.open_tokens.insert(token);
        self.handle_event(Event::Submit { token, service: SERVICE, timeout: None, body });
    }

    /// Delivers a random outcome of a random request.
    fn deliver_random_outcome(&mut self) {
        if self.requests.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.requests.len());
        let Request { to, group, leaf } = self.requests.swap_remove(at);
        let held = self.held[&group.domain.0].clone();
        let outcome = match self.rng.random_range(0..20) {
            0 => Outcome::Shed,
            1 => Outcome::Failed(Failure::Closed),
            2 => Outcome::Crowded,
            3 => Outcome::Moved(None),
            _ if !held.contains(&leaf.snapshot) => Outcome::Gone,
            _ => Outcome::Items(tagged_items(&leaf.body, leaf.snapshot, leaf.key.shard.0)),
        };
        let snapshot_counts: SnapshotCounts = held.iter().map(|s| (*s, 1)).collect();
        let snapshot_counts = self.rng.random_bool(0.7).then_some(snapshot_counts);
        let event = Event::Outcome {
            from: to,
            key: leaf.key,
            outcome,
            snapshot_counts,
            extra_sends: 0,
            queue_wait: Millis::ZERO,
            load_ratio: 0.1,
        };
        self.past_outcomes.push(event.clone());
        self.handle_event(event);
    }

    /// The VMs with open requests.
    pub(crate) fn requested_vms(&self) -> BTreeSet<Vm> {
        self.requests.iter().map(|a| a.to).collect()
    }

    /// Delivers a failure for each request of all VMs but these.
    pub(crate) fn fail_all_but(&mut self, unresponsive: &BTreeSet<Vm>) {
        while let Some(at) = self.requests.iter().position(|a| !unresponsive.contains(&a.to)) {
            let Request { to, leaf, .. } = self.requests.swap_remove(at);
            self.deliver_outcome(to, &leaf, Outcome::Failed(Failure::Connect));
        }
    }

    /// Delivers an outcome without snapshots or load.
    fn deliver_outcome(&mut self, from: Vm, leaf: &Leaf, outcome: Outcome) {
        self.handle_event(Event::Outcome {
            from,
            key: leaf.key,
            outcome,
            snapshot_counts: None,
            extra_sends: 0,
            queue_wait: Millis::ZERO,
            load_ratio: 0.0,
        });
    }

    /// The `leaving` VMs decline each request without naming an owner; all others answer. Asserts
    /// that no VM is sent a request again that it has declined.
    pub(crate) fn decline_or_answer(&mut self, leaving: &BTreeSet<Vm>) {
        let mut declined = BTreeSet::new();
        while let Some(Request { to, leaf, .. }) = self.requests.pop() {
            let outcome = if leaving.contains(&to) {
                assert!(
                    declined.insert((to, leaf.key.shard)),
                    "{to} is sent a declined request again"
                );
                Outcome::Moved(None)
            } else {
                Outcome::Items(tagged_items(&leaf.body, leaf.snapshot, leaf.key.shard.0))
            };
            self.now += Millis::new(1);
            self.deliver_outcome(to, &leaf, outcome);
        }
    }

    /// The first group of each shard returns the request unsent, all others fail it, and the first
    /// one answers the second request.
    pub(crate) fn return_once_then_fail_elsewhere(&mut self) {
        let mut first: BTreeMap<u16, Group> = BTreeMap::new();
        while let Some(Request { to, group, leaf }) = self.requests.pop() {
            let shard = leaf.key.shard.0;
            let first_group = first.get(&shard).copied();
            let outcome = match first_group {
                None => Outcome::Crowded,
                Some(first_group) if first_group == group => {
                    Outcome::Items(tagged_items(&leaf.body, leaf.snapshot, shard))
                }
                Some(_) => Outcome::Failed(Failure::Closed),
            };
            first.entry(shard).or_insert(group);
            self.now += Millis::new(1);
            self.deliver_outcome(to, &leaf, outcome);
        }
    }

    /// Delivers an earlier outcome again: unchanged, from another VM, for another attempt, or for
    /// another incarnation of this VM.
    fn redeliver_outcome(&mut self) {
        if self.past_outcomes.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.past_outcomes.len());
        let mut event = self.past_outcomes[at].clone();
        if let Event::Outcome { from, key, .. } = &mut event {
            match self.rng.random_range(0..4) {
                0 => from.0 ^= 1,
                1 => key.attempt = key.attempt.wrapping_add(1),
                2 => key.query.incarnation ^= 1,
                _ => {}
            }
        }
        self.handle_event(event);
    }

    fn drop_request(&mut self) {
        if !self.requests.is_empty() {
            let at = self.rng.random_range(0..self.requests.len());
            self.requests.swap_remove(at);
        }
    }

    /// Loads the newest snapshot in a domain or releases its oldest; a new one may change the
    /// layout.
    fn change_snapshots(&mut self) {
        let domain = self.rng.random_range(0..3u8);
        let service = self.catalog.services.get_mut(&SERVICE).expect("the service");
        if self.rng.random_bool(0.3) {
            let newest = service.snapshots[0];
            let layout = Layout(self.rng.random_range(1..=2));
            let next = Snapshot { version: newest.version + 1, layout };
            service.snapshots.insert(0, next);
            service.snapshots.truncate(3);
            self.catalog.version += 1;
        }
        let newest = service.snapshots[0];
        let held = self.held.get_mut(&domain).expect("three domains");
        if !held.contains(&newest) {
            held.insert(0, newest);
        } else if held.len() > 1 {
            held.pop();
        }
    }

    pub(crate) fn handle_event(&mut self, event: Event) {
        let mut out = Vec::new();
        let index = Index::new(&self.catalog);
        let view = View {
            catalog: &self.catalog,
            index: &index,
            table: Some(&self.table),
            owners: &StaticOwners,
            local_place: place(0),
            network_delays: Latency {
                same_domain_ms: 0.1,
                cross_domain_ms: 1.0,
                cross_region_ms: 10.0,
            },
        };
        self.entry.handle(self.now, event, &view, &mut out);
        for action in out {
            self.apply_action(action);
        }
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Request { to, group, leaf, .. } => {
                self.requests.push(Request { to, group, leaf });
            }
            Action::Cancel { key, .. } => {
                // A cancellation may arrive too late, so the outcome may still be delivered.
                if self.rng.random_bool(0.5) {
                    self.requests.retain(|a| a.leaf.key != key);
                }
            }
            Action::Answer { token, answer } => {
                assert!(self.open_tokens.remove(&token), "seed {}: answered twice", self.seed);
                self.check_answer(token, &answer);
            }
            Action::Refuse { token, .. } => {
                assert!(self.open_tokens.remove(&token), "seed {}: answered twice", self.seed);
                let body = &self.query_bodies[&token];
                let sent = self.requests.iter().any(|a| a.leaf.body == *body);
                assert!(!sent, "seed {}: refused as not run, but sent", self.seed);
                self.refused += 1;
            }
            Action::LogDecision(_) => {}
        }
    }

    /// Checks that an answer is consistent with its query, snapshot and coverage.
    fn check_answer(&mut self, token: u64, answer: &Answer) {
        let seed = self.seed;
        let body = self.query_bodies[&token].clone();
        let layout = answer.snapshot.layout;
        let shards = self.catalog.layout(SERVICE, layout).expect("a layout").shards.len();
        assert_eq!(answer.coverage.shards, shards, "seed {seed}: shards of another layout");
        let mut seen = BTreeSet::new();
        for (shard, found) in &answer.items {
            assert!(seen.insert(shard.0), "seed {seed}: shard {shard} is in the answer twice");
            let expected = tagged_items(&body, answer.snapshot, shard.0);
            assert_eq!(*found, expected, "seed {seed}: items of another query, snapshot or shard");
        }
        let missing: BTreeSet<u16> = answer.coverage.missing.iter().map(|m| m.0.0).collect();
        assert_eq!(
            answer.coverage.answered,
            seen.len(),
            "seed {seed}: coverage differs from the merged items"
        );
        assert!(seen.is_disjoint(&missing), "seed {seed}: a shard is both answered and missing");
        assert_eq!(seen.len() + missing.len(), shards, "seed {seed}: a shard is unaccounted for");
        if missing.is_empty() {
            self.complete += 1;
        } else {
            self.partial += 1;
        }
    }
}
