use super::{
    figures::Tally,
    oracle,
    scenario::{FROM_S, LENGTH_S, Scenario, TO_S},
    upstream::{Fate, SLOTS, Upstream},
};
use bytes::Bytes;
use derive_more::Display;
use http::{HeaderMap, HeaderValue, StatusCode};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rand_distr::{Distribution, Exp, LogNormal};
use serde::Serialize;
use smallvec::SmallVec;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
};
use tgw_clock::Millis;
use tgw_forward::{
    Core, Plan, Policy,
    core::{Budget, Vms, Way},
    fleet::{Hop, Key, Place, Ticket},
    plan::{self, Answer, Ended, Order, Response, Why},
    upstream::{Entry, Sign},
};
use tgw_route::{Config, Route, Safety, Service, Target, config::Shards};

/// Shards of the index, regions, and VMs in each, as the users' site has them.
pub(super) const SHARDS: usize = 10;
const REGIONS: usize = 3;
const VMS: usize = 9;
/// One way between regions and within one, in ms.
const FAR_MS: f64 = 8.0;
const NEAR_MS: f64 = 0.1;
/// Queries a second of all VMs on a day of high load.
const PER_S: f64 = 200.0;
/// Connections that an upstream accepts.
const CONNECTIONS: u32 = 31;
/// Above the number of queries of a run; those that come again are numbered from here.
const ARRIVALS_MOST: usize = 1 << 20;
/// The operators' budget.
const BUDGET: Budget = Budget { share: 0.2, constant: 58.0 };

/// Who chooses.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Choice {
    /// First sends to the nearest, a retry for a failure, nothing else.
    #[display("crude")]
    Crude,
    /// The tier's decisions.
    #[display("tier")]
    Tier,
    /// Knows what becomes of each send.
    #[display("oracle")]
    Oracle,
}

impl Choice {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Crude, Self::Tier, Self::Oracle];

    fn policy(self, tier: Policy) -> Policy {
        if self == Self::Tier {
            return tier;
        }
        Policy {
            hedges: false,
            parks: false,
            words: false,
            overdue: false,
            levels: false,
            declined_free: false,
            late: false,
            judged: false,
            ..Policy::default()
        }
    }
}

/// One query as it comes, for the first time or again.
#[derive(Clone)]
pub(super) struct Query {
    pub(super) at: Millis,
    /// When its caller sent it for the first time; callers send what was not served once more.
    first: Millis,
    pub(super) region: usize,
    vm: usize,
    /// A full search, or the short urgent one.
    full: bool,
    /// Work of each part, in ms.
    pub(super) work: Vec<f64>,
    seed: u64,
}

impl Query {
    /// How long its caller waits, from its first try on.
    fn patience(&self) -> Millis {
        Millis::new(if self.full { 1_000 } else { 600 })
    }

    /// The same query as its caller sends it again through another VM, if there is time left.
    fn again(&self, at: Millis, vm: usize) -> Option<Self> {
        let retried = self.at != self.first || at >= self.first + self.patience();
        let seed = self.seed.wrapping_add(1);
        (!retried).then(|| Self { at, vm, seed, region: vm % REGIONS, ..self.clone() })
    }

    /// What decides by chance for a send of a part: the same whoever chooses.
    pub(super) fn draw(&self, shard: usize, send: u64, upstream: usize) -> f64 {
        let name = [self.seed, shard as u64, send, upstream as u64];
        let name: Vec<u8> = name.iter().flat_map(|n| n.to_le_bytes()).collect();
        xxhash_rust::xxh3::xxh3_64(&name) as f64 / u64::MAX as f64
    }
}

struct Running {
    plan: Plan,
    query: Query,
    sends: u64,
    /// The wake that counts; earlier ones are passed over.
    wake: Millis,
}

struct Vm {
    core: Core,
    region: usize,
}

enum Event {
    Arrive(usize),
    Wake(usize),
    /// A send ended, for its query.
    Ended {
        vm: usize,
        query: usize,
        part: usize,
        ticket: Ticket,
        sign: Sign,
        ended: Ended,
    },
    /// A send that a VM made for another ended there.
    Hosted {
        vm: usize,
        ticket: Ticket,
        sign: Sign,
    },
    Restart,
}

/// The upstreams and what of them is common to all choices.
pub(super) struct World {
    pub(super) upstreams: Vec<Upstream>,
}

impl World {
    pub(super) fn regions(&self) -> usize {
        REGIONS
    }

    pub(super) fn way(&self, from: usize, to: usize) -> Millis {
        Millis::from_f64(if from == to { NEAR_MS } else { FAR_MS })
    }

    pub(super) fn upstream(shard: usize, region: usize) -> usize {
        shard * REGIONS + region
    }
}

struct Sim {
    world: World,
    policy: Policy,
    routes: [Rc<Route>; 2],
    vms: Vec<Vm>,
    running: BTreeMap<usize, Running>,
    queries: BTreeMap<usize, Query>,
    heap: BinaryHeap<Reverse<(Millis, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    rng: SmallRng,
    tally: Tally,
}

/// Plays one seed.
pub(super) fn play(scenario: Scenario, choice: Choice, tier: Policy, seed: u64) -> Tally {
    let mut rng = SmallRng::seed_from_u64(seed);
    let upstreams = (0..SHARDS * REGIONS).map(|_| Upstream::new(scenario, &mut rng)).collect();
    let queries = arrivals(scenario, &mut rng);
    let mut world = World { upstreams };
    if choice == Choice::Oracle {
        let mut tally = Tally::default();
        for query in &queries {
            let (replies, far) = oracle::answer(&mut world, query);
            tally.oracle(query, &replies, far);
        }
        return tally;
    }
    let mut sim = Sim::new(world, choice.policy(tier), queries, rng);
    if scenario == Scenario::FleetRestart {
        sim.at(Millis::from_f64(FROM_S * 1_000.0), Event::Restart);
    }
    sim.run();
    sim.tally
}

fn arrivals(scenario: Scenario, rng: &mut SmallRng) -> Vec<Query> {
    let gap = |per_s: f64| Exp::new(per_s / 1_000.0).ok();
    // Work varies by 0.35 of its mean, and one request in a hundred takes five times as long.
    let spread = LogNormal::new(-0.06, 0.35).ok();
    let mut queries = Vec::new();
    let mut at = 0.0;
    while at < LENGTH_S * 1_000.0 {
        let busy = (FROM_S * 1_000.0..TO_S * 1_000.0).contains(&at);
        let load = if busy { scenario.load() } else { 1.0 };
        at += gap(PER_S * load).map_or(1.0, |e| e.sample(rng));
        let full = rng.random_bool(0.75);
        let mean = if full { 20.0 } else { 6.7 };
        let work = (0..SHARDS).map(|_| {
            let tail = if rng.random_bool(0.01) { 5.0 } else { 1.0 };
            mean * tail * spread.map_or(1.0, |s| s.sample(rng))
        });
        let work = work.collect();
        let vm = rng.random_range(0..VMS);
        let (region, seed) = (vm % REGIONS, rng.random());
        let at = Millis::from_f64(at);
        queries.push(Query { at, first: at, region, vm, full, work, seed });
    }
    queries
}

fn routes() -> [Rc<Route>; 2] {
    let route = |name: &str, aim: u64, timeout: u64, least: f64| {
        let services = (0..SHARDS).map(|s| format!("s{s}").into()).collect();
        Rc::new(Route {
            name: name.into(),
            host: "a.example".into(),
            prefix: "/".into(),
            target: Target::Shards(Shards { services, limit: 5, least }),
            safety: Safety::Idempotent,
            timeout: Millis::new(timeout),
            aim: Millis::new(aim),
            attempts: 2,
            priority: 1,
        })
    };
    [route("full", 200, 1_000, 0.89), route("urgent", 100, 600, 0.75)]
}

fn vm(region: usize, policy: Policy) -> Vm {
    let domain = |r: usize| format!("d{r}");
    let regions = (0..REGIONS).map(|r| (domain(r), format!("r{r}"))).collect();
    let mut core = Core::new(Place { domain: domain(region), regions }, BUDGET, policy);
    let mut config = Config::default();
    for shard in 0..SHARDS {
        let service: Rc<str> = format!("s{shard}").into();
        config.services.insert(service.clone(), Service { connections: CONNECTIONS });
        for r in 0..REGIONS {
            let entry = Entry {
                id: format!("i-{}", World::upstream(shard, r)).into(),
                started: 0,
                service: service.clone(),
                addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
                domain: domain(r).into(),
                slots: SLOTS as u32,
                draining: false,
                warmup: Millis::ZERO,
            };
            core.fleet.put(Millis::ZERO, entry);
        }
    }
    core.configure(&config);
    core.set_vms(Vms { all: VMS as u32, near: (VMS / REGIONS) as u32 });
    let elsewhere = (0..REGIONS).filter(|r| *r != region).map(|r| format!("r{r}"));
    core.fleet.set_manned(elsewhere.collect());
    for shard in 0..SHARDS {
        let id = format!("i-{}", World::upstream(shard, region));
        let most = core.most(&format!("s{shard}"), Way::Peers).near;
        if let Some(key) = core.fleet.key(&id) {
            (0..most).for_each(|_| core.fleet.opened(key));
        }
    }
    Vm { core, region }
}

impl Sim {
    fn new(world: World, policy: Policy, queries: Vec<Query>, rng: SmallRng) -> Self {
        let mut sim = Self {
            world,
            policy,
            routes: routes(),
            vms: (0..VMS).map(|v| vm(v % REGIONS, policy)).collect(),
            running: BTreeMap::new(),
            queries: BTreeMap::new(),
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            rng,
            tally: Tally::default(),
        };
        for (number, query) in queries.into_iter().enumerate() {
            sim.at(query.at, Event::Arrive(number));
            sim.queries.insert(number, query);
        }
        sim
    }

    fn at(&mut self, at: Millis, event: Event) {
        self.next += 1;
        self.heap.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
    }

    fn run(&mut self) {
        while let Some(Reverse((now, number))) = self.heap.pop() {
            match self.events.remove(&number) {
                Some(Event::Arrive(query)) => self.arrive(now, query),
                Some(Event::Wake(query)) => self.wake(now, query),
                Some(Event::Ended { vm, query, part, ticket, sign, ended }) => {
                    self.close(now, vm, ticket, sign);
                    let upstream = ticket.upstream;
                    self.step(now, query, plan::Event::Ended { part, upstream, ended });
                }
                Some(Event::Hosted { vm, ticket, sign }) => {
                    self.close(now, vm, ticket, sign);
                }
                Some(Event::Restart) => self.restart(),
                None => {}
            }
        }
    }

    fn arrive(&mut self, now: Millis, number: usize) {
        let Some(query) = self.queries.remove(&number) else { return };
        let route = self.routes[usize::from(!query.full)].clone();
        let left = query.first + query.patience() - now;
        let options = plan::Options { route, patience: Some(left), spread: query.seed as u32 };
        let plan = Plan::new(now, &options);
        let running = Running { plan, query, sends: 0, wake: Millis::MAX };
        self.running.insert(number, running);
        self.step(now, number, plan::Event::Start);
    }

    fn wake(&mut self, now: Millis, number: usize) {
        if self.running.get(&number).is_some_and(|r| r.wake == now) {
            self.step(now, number, plan::Event::Tick);
        }
    }

    fn step(&mut self, now: Millis, number: usize, event: plan::Event) {
        let Some(mut running) = self.running.remove(&number) else { return };
        let vm = running.query.vm;
        let mut orders = Vec::new();
        let core = &mut self.vms[vm].core;
        let answer = running.plan.on(now, event, core, &mut orders);
        let late = running.plan.take_late();
        for order in orders {
            self.send(now, number, &mut running, &order);
        }
        self.tell(now, vm, &late);
        if let Some(answer) = answer {
            return self.answered(now, &running, &answer);
        }
        running.wake = running.plan.wake(now);
        self.at(running.wake, Event::Wake(number));
        self.running.insert(number, running);
    }

    fn answered(&mut self, now: Millis, running: &Running, answer: &Answer) {
        let back = match answer {
            Answer::Merged { .. } | Answer::Forward(_) => None,
            Answer::Refused { retry_after, .. } => Some(now + *retry_after),
            Answer::Failed(_) | Answer::TimedOut => Some(now),
        };
        let vm = self.rng.random_range(0..VMS);
        if let Some(again) = back.and_then(|at| running.query.again(at, vm)) {
            return self.returns(again);
        }
        let (_, got, _) = running.plan.progress();
        self.tally.answer(now, &running.query, answer, got);
    }

    /// A caller sends a query again.
    fn returns(&mut self, query: Query) {
        let number = self.next as usize + ARRIVALS_MOST;
        self.at(query.at, Event::Arrive(number));
        self.queries.insert(number, query);
    }

    fn send(&mut self, now: Millis, number: usize, running: &mut Running, order: &Order) {
        let Order { part, ticket, hop, insist, why, .. } = *order;
        let vm = running.query.vm;
        let Some(upstream) = self.index(vm, ticket.upstream) else { return };
        let region = upstream % REGIONS;
        let way = self.world.way(running.query.region, region);
        running.sends += 1;
        self.tally.send(&running.query, why, region);
        let host = (hop == Hop::Peer).then(|| self.host(now + way, upstream, insist));
        let (at, sign, ended) = match host {
            Some(None) => (now + way, Sign::Busy, Ended::Busy),
            _ => {
                let draw = running.query.draw(part, running.sends, upstream);
                let fate = self.world.upstreams[upstream].arrive(
                    now + way,
                    running.query.work[part],
                    draw,
                );
                self.outcome(now + way, fate, running, part)
            }
        };
        if let Some(Some((host, ticket))) = host {
            self.at(at, Event::Hosted { vm: host, ticket, sign });
        }
        self.at(at + way, Event::Ended { vm, query: number, part, ticket, sign, ended });
    }

    /// A VM beside the upstream counts a send for another, unless it doubts the upstream.
    fn host(&mut self, at: Millis, upstream: usize, insist: bool) -> Option<(usize, Ticket)> {
        let region = upstream % REGIONS;
        let near: Vec<usize> = (0..VMS).filter(|v| self.vms[*v].region == region).collect();
        let host = near[self.rng.random_range(0..near.len())];
        let core = &mut self.vms[host].core;
        let key = core.fleet.key(&format!("i-{upstream}"))?;
        let known = core.fleet.get(key)?;
        let most = core.most(&known.entry.service, Way::Peers);
        if (!insist && known.doubtful(at)) || !known.open(at, most.near) {
            return None;
        }
        Some((host, core.fleet.send(at, key)))
    }

    /// When a send ends at its upstream, and how.
    fn outcome(
        &self,
        at: Millis,
        fate: Fate,
        running: &Running,
        part: usize,
    ) -> (Millis, Sign, Ended) {
        let deadline = running.plan.deadline().max(at);
        match fate {
            Fate::Done(end) if end <= deadline => {
                let seal = HeaderValue::from_str(&format!("{part}.{}", running.query.seed)).ok();
                let (status, headers, body) = (StatusCode::OK, HeaderMap::new(), Bytes::new());
                let response = Response { status, headers, seal, body };
                (end, Sign::Reply, Ended::Answered(Box::new(response)))
            }
            Fate::Lost(end) if end <= deadline => (end, Sign::Broken, Ended::Broken),
            Fate::Shed => (at, Sign::Shed, Ended::Declined),
            Fate::Done(_) | Fate::Lost(_) | Fate::Silent => (deadline, Sign::Silent, Ended::Silent),
        }
    }

    /// A send ended, whether or not its query still waits.
    fn close(&mut self, now: Millis, vm: usize, ticket: Ticket, sign: Sign) {
        self.vms[vm].core.fleet.end(now, ticket, sign);
        if sign == Sign::Reply {
            self.tell(now, vm, &[ticket.upstream]);
        }
    }

    /// All VMs start anew; what they held is lost.
    fn restart(&mut self) {
        let policy = self.policy;
        self.vms = (0..VMS).map(|v| vm(v % REGIONS, policy)).collect();
        self.events.retain(|_, event| matches!(event, Event::Arrive(_)));
        let now = Millis::from_f64(FROM_S * 1_000.0);
        for (_, running) in std::mem::take(&mut self.running) {
            let vm = self.rng.random_range(0..VMS);
            match running.query.again(now, vm) {
                Some(again) => self.returns(again),
                None => self.tally.lost(&running.query),
            }
        }
    }

    fn index(&self, vm: usize, key: Key) -> Option<usize> {
        let id = &self.vms[vm].core.fleet.get(key)?.entry.id;
        id.strip_prefix("i-")?.parse().ok()
    }

    /// Tells the VMs of the region of late and slow upstreams, at once.
    fn tell(&mut self, now: Millis, vm: usize, keys: &[Key]) {
        let region = self.vms[vm].region;
        let mut words: SmallVec<[_; 2]> = SmallVec::new();
        for key in keys {
            if let Some((entry, word)) = self.vms[vm].core.fleet.tell(now, *key) {
                words.push((entry.id.clone(), word));
            }
        }
        for (id, word) in words {
            let others = self.vms.iter_mut().enumerate();
            let others = others.filter(|(other, v)| *other != vm && v.region == region);
            others.for_each(|(_, v)| v.core.fleet.told(now, &id, 0, word));
        }
    }
}

impl Tally {
    /// Whether a query counts: it came while trouble lasts, or in the second after it began or ended.
    fn counts(query: &Query) -> bool {
        (FROM_S * 1_000.0..(TO_S + 1.0) * 1_000.0).contains(&query.first.as_f64())
    }

    fn send(&mut self, query: &Query, why: Why, region: usize) {
        if Self::counts(query) {
            self.sends += 1;
            self.firsts += u64::from(why == Why::First);
            self.far += u64::from(region != query.region);
        }
    }

    fn lost(&mut self, query: &Query) {
        if Self::counts(query) {
            self.owe(query);
            self.failed += 1;
        }
    }

    fn owe(&mut self, query: &Query) -> f64 {
        let worth = if query.full { 2.0 } else { 1.0 };
        self.queries += 1;
        self.owed += worth;
        self.parts += SHARDS as u64;
        worth
    }

    fn earn(&mut self, query: &Query, worth: f64, took: f64, got: usize) {
        let late = took > if query.full { 200.0 } else { 100.0 };
        let share = got as f64 / SHARDS as f64;
        self.in_aim += u64::from(!late);
        self.earned += worth * share * share * if late { 0.1 } else { 1.0 };
        self.missing += (SHARDS - got) as u64;
        self.took.push(took);
    }

    fn answer(&mut self, now: Millis, query: &Query, answer: &Answer, got: usize) {
        if !Self::counts(query) {
            return;
        }
        let worth = self.owe(query);
        match answer {
            Answer::Merged { .. } => self.earn(query, worth, (now - query.first).as_f64(), got),
            Answer::Refused { .. } => self.refused += 1,
            Answer::Forward(_) | Answer::Failed(_) | Answer::TimedOut => self.failed += 1,
        }
    }

    /// Counts what the oracle's replies make: with what is in by the aim if that is enough, else later.
    fn oracle(&mut self, query: &Query, replies: &[Millis], far: u64) {
        if !Self::counts(query) {
            return;
        }
        let worth = self.owe(query);
        self.firsts += replies.len() as u64;
        self.sends += replies.len() as u64;
        self.far += far;
        let least = if query.full { 9 } else { 8 };
        let mut took: Vec<f64> = replies.iter().map(|at| (*at - query.at).as_f64()).collect();
        took.sort_by(f64::total_cmp);
        let (aim, deadline) = if query.full { (200.0, 1_000.0) } else { (100.0, 600.0) };
        let in_aim = took.iter().filter(|t| **t <= aim).count();
        match (in_aim >= least, took.get(least - 1)) {
            (true, _) => self.earn(query, worth, took[in_aim - 1], in_aim),
            (false, Some(at)) if *at <= deadline => self.earn(query, worth, *at, least),
            _ => self.failed += 1,
        }
    }
}
