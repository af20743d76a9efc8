use super::{
    death::{self, Flight},
    figures::Tally,
    oracle,
    query::{self, Query},
    scenario::{FROM_S, Scenario},
    upstream::{Fate, Upstream},
    vms::{REGIONS, SHARDS, Size, Vm, routes, vm},
};
use bytes::Bytes;
use derive_more::Display;
use http::{HeaderMap, HeaderValue, StatusCode};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::Serialize;
use smallvec::SmallVec;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    rc::Rc,
};
use tgw_clock::Millis;
use tgw_forward::{
    Plan, Policy,
    fleet::{Hop, Key, Ticket},
    hosting,
    load::Load,
    plan::{self, Answer, Response, SendOrder, SendResult},
    upstream::SendOutcome,
};
use tgw_quarantine::message::{End, News};
use tgw_route::Route;

/// One way between regions and within one, in ms.
const FAR_MS: f64 = 8.0;
const NEAR_MS: f64 = 0.1;
/// Above the number of queries of a run; those that come again are numbered from here.
const ARRIVALS_MOST: usize = 1 << 20;
/// Time in ms after an answer at which its caller's next request arrives: four ways of 3 ms, the answer's, two of a
/// new connection, and the request's.
const RETURN: Millis = Millis::new(12);
/// Tells the draws of what a reply says from those of what becomes of it.
const NOISE: usize = 1 << 16;
/// Who chooses.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Choice {
    /// The tier without second sends of late parts, parking, words, levels, and judgement of the query as a
    /// whole: the least cost, and a retry for a failure.
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
            quarantine: false,
            ..Policy::default()
        }
    }
}

struct Running {
    plan: Plan,
    query: Query,
    sends: u64,
    /// The wake that counts; earlier ones are passed over.
    wake: Millis,
}

pub(super) enum Event {
    Arrive(usize),
    Wake(usize),
    /// A send ended, for its query.
    Ended {
        vm: usize,
        query: usize,
        part: usize,
        ticket: Ticket,
        outcome: SendOutcome,
        result: SendResult,
    },
    /// A send that a VM made for another ended there.
    Hosted {
        vm: usize,
        ticket: Ticket,
        outcome: SendOutcome,
        load: Option<Load>,
    },
    Restart,
    /// An upstream ends in one of its lives.
    End {
        upstream: usize,
        life: u32,
    },
    /// A VM finds that it has, under a request.
    Lost {
        vm: usize,
        upstream: usize,
        life: u32,
        end: End,
    },
    /// A VM is told of upstreams that ended.
    Heard {
        vm: usize,
        news: News,
    },
    /// All VMs learn that it has.
    Forgotten {
        upstream: usize,
        life: u32,
    },
    /// Another process has started in its place.
    Started {
        upstream: usize,
        life: u32,
    },
}

/// The load that a send's reply told.
fn told(result: &SendResult) -> Option<Load> {
    match result {
        SendResult::Answered(response) => response.load,
        _ => None,
    }
}

/// The upstreams and what of them is common to all choices.
pub(super) struct World {
    pub(super) upstreams: Vec<Upstream>,
}

impl World {
    pub(super) fn way(&self, from: usize, to: usize) -> Millis {
        Millis::from_f64(if from == to { NEAR_MS } else { FAR_MS })
    }
}

pub(super) struct Sim {
    pub(super) world: World,
    size: Size,
    policy: Policy,
    routes: [Rc<Route>; 2],
    pub(super) vms: Vec<Vm>,
    running: BTreeMap<usize, Running>,
    queries: BTreeMap<usize, Query>,
    heap: BinaryHeap<Reverse<(Millis, u64)>>,
    pub(super) events: BTreeMap<u64, Event>,
    /// What each upstream holds.
    pub(super) flights: Vec<Vec<Flight>>,
    next: u64,
    pub(super) rng: SmallRng,
    pub(super) tally: Tally,
}

/// Plays one seed.
pub(super) fn play(
    scenario: Scenario,
    choice: Choice,
    (size, tier): (Size, Policy),
    seed: u64,
) -> Tally {
    let mut rng = SmallRng::seed_from_u64(seed);
    let upstreams = (0..SHARDS * REGIONS).map(|_| Upstream::new(scenario, &mut rng)).collect();
    let queries = query::arrivals(scenario, size, &mut rng);
    let mut world = World { upstreams };
    if choice == Choice::Oracle {
        let mut tally = Tally::new(scenario);
        for query in queries.iter().filter(|q| !q.deadly) {
            let (replies, far) = oracle::answer(&mut world, query);
            tally.oracle(query, &replies, far);
        }
        return tally;
    }
    let mut sim =
        Sim::new(world, (size, choice.policy(tier)), queries, (rng, Tally::new(scenario)));
    if scenario == Scenario::FleetRestart {
        sim.at(Millis::from_f64(FROM_S * 1_000.0), Event::Restart);
    }
    sim.run();
    sim.tally
}

impl Sim {
    fn new(
        world: World,
        (size, policy): (Size, Policy),
        queries: Vec<Query>,
        (rng, tally): (SmallRng, Tally),
    ) -> Self {
        let mut sim = Self {
            world,
            size,
            policy,
            routes: routes(),
            vms: (0..size.vms).map(|v| vm(v % REGIONS, size, policy)).collect(),
            running: BTreeMap::new(),
            queries: BTreeMap::new(),
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            flights: (0..SHARDS * REGIONS).map(|_| Vec::new()).collect(),
            next: 0,
            rng,
            tally,
        };
        for (number, query) in queries.into_iter().enumerate() {
            sim.at(query.at, Event::Arrive(number));
            sim.queries.insert(number, query);
        }
        sim
    }

    /// Puts an event off until its time; returns its number.
    pub(super) fn at(&mut self, at: Millis, event: Event) -> u64 {
        self.next += 1;
        self.heap.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
        self.next
    }

    fn run(&mut self) {
        while let Some(Reverse((now, number))) = self.heap.pop() {
            match self.events.remove(&number) {
                Some(Event::Arrive(query)) => self.arrive(now, query),
                Some(Event::Wake(query)) => self.wake(now, query),
                Some(Event::Ended { vm, query, part, ticket, outcome, result }) => {
                    let load = told(&result);
                    self.hear_load(now, vm, ticket, load);
                    self.close(now, vm, ticket, outcome);
                    let upstream = ticket.upstream;
                    self.step(now, query, plan::Event::SendEnded { part, upstream, result });
                }
                Some(Event::Hosted { vm, ticket, outcome, load }) => {
                    self.hear_load(now, vm, ticket, load);
                    self.close(now, vm, ticket, outcome);
                }
                Some(Event::Restart) => self.restart(),
                Some(Event::End { upstream, life }) => self.end(now, upstream, life),
                Some(Event::Lost { vm, upstream, life, end }) => {
                    self.lost(now, vm, (upstream, life), &end);
                }
                Some(Event::Heard { vm, news }) => self.hear(now, vm, &news),
                Some(Event::Forgotten { upstream, life }) => self.forget(upstream, life),
                Some(Event::Started { upstream, life }) => self.enter(now, upstream, life),
                None => {}
            }
        }
    }

    fn arrive(&mut self, now: Millis, number: usize) {
        let Some(query) = self.queries.remove(&number) else { return };
        let route = self.routes[usize::from(!query.full)].clone();
        let left = query.first + query.patience() - now;
        let (spread, print) = (query.seed as u32, query.print());
        let options = plan::Options {
            route,
            caller_timeout: Some(left),
            new_connection: false,
            retry_spread: spread,
            fingerprint: print,
        };
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
        let answer = running.plan.handle(now, event, core, &mut orders);
        let late = running.plan.take_late_upstreams();
        for order in orders {
            self.send(now, number, &mut running, &order);
        }
        self.tell(now, vm, &late);
        if let Some(answer) = answer {
            return self.answered(now, &running, &answer);
        }
        running.wake = running.plan.next_wakeup(now);
        self.at(running.wake, Event::Wake(number));
        self.running.insert(number, running);
    }

    fn answered(&mut self, now: Millis, running: &Running, answer: &Answer) {
        let back = match answer {
            Answer::Merged { .. } | Answer::Forward(_) => None,
            Answer::Refused { retry_after, .. } => Some(now + *retry_after),
            Answer::Failed(_) | Answer::TimedOut => Some(now),
        };
        // How far the word of an upstream's end has come when its caller is back is what that scenario is about; the
        // others leave a caller's way out.
        let way = if running.query.deadly { RETURN } else { Millis::ZERO };
        let back = back.map(|at| at + way);
        let vm = self.rng.random_range(0..self.size.vms);
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

    fn send(&mut self, now: Millis, number: usize, running: &mut Running, order: &SendOrder) {
        let SendOrder { part, ticket, hop, trigger, seen, .. } = *order;
        let vm = running.query.vm;
        let Some(upstream) = self.index(vm, ticket.upstream) else { return };
        let region = upstream % REGIONS;
        let way = self.world.way(running.query.region, region);
        running.sends += 1;
        self.tally.send(&running.query, trigger, region);
        let host = (hop == Hop::Peer).then(|| self.host(now + way, upstream, order));
        let (at, outcome, result) = match host {
            Some(None) => (now + way, SendOutcome::PeerRefused, SendResult::PeerRefused),
            _ => {
                let fate = self.fate(now + way, upstream, (number, part), running);
                self.outcome(now + way, fate, running, (part, upstream))
            }
        };
        let hosted = host.flatten();
        let (from, print) = (hosted.map_or(vm, |(vm, _)| vm), running.query.print());
        // A new connection finds out that the upstream is there, and only its reply was lost.
        let looks = outcome == SendOutcome::Broken && self.policy.quarantine;
        let look = self.world.way(self.vms[from].region, region).scale(2.0);
        let at = if looks { at + look } else { at };
        let load = told(&result);
        let hosted =
            hosted.map(|(vm, ticket)| self.at(at, Event::Hosted { vm, ticket, outcome, load }));
        let ended =
            self.at(at + way, Event::Ended { vm, query: number, part, ticket, outcome, result });
        let arrives = now + way;
        self.hold(upstream, Flight { ended, hosted, arrives, from, print, seen });
    }

    /// What becomes of a part of a query at its upstream.
    fn fate(
        &mut self,
        at: Millis,
        upstream: usize,
        (number, part): (usize, usize),
        running: &Running,
    ) -> Fate {
        let Running { query, sends, .. } = running;
        if !query.deadly {
            let draw = query.draw(part, *sends, upstream);
            return self.world.upstreams[upstream].arrive(at, query.work[part], draw);
        }
        let life = self.world.upstreams[upstream].life();
        let fate = self.world.upstreams[upstream].arrive_deadly(at);
        if let Fate::Ends(end) = fate {
            self.at(end, Event::End { upstream, life });
        }
        if matches!(fate, Fate::Ends(_) | Fate::Shed) {
            self.tally.deaths.reached(at, number);
        }
        fate
    }

    /// A VM beside the upstream counts a send for another, unless it doubts the upstream.
    fn host(&mut self, at: Millis, upstream: usize, order: &SendOrder) -> Option<(usize, Ticket)> {
        let region = upstream % REGIONS;
        let near: Vec<usize> =
            (0..self.size.vms).filter(|v| self.vms[*v].region == region).collect();
        let host = near[self.rng.random_range(0..near.len())];
        let life = self.world.upstreams[upstream].life();
        let id = death::name(upstream, life);
        let request = hosting::Request {
            upstream: &id,
            started: 0,
            fallback: order.fallback,
            lent: order.lent,
            route: None,
        };
        let ticket = self.vms[host].core.host(at, request).ok()?;
        Some((host, ticket))
    }

    /// When a send ends at its upstream, and how.
    fn outcome(
        &self,
        at: Millis,
        fate: Fate,
        running: &Running,
        (part, upstream): (usize, usize),
    ) -> (Millis, SendOutcome, SendResult) {
        let deadline = running.plan.deadline().max(at);
        match fate {
            Fate::Done(end) if end <= deadline => {
                let signature =
                    HeaderValue::from_str(&format!("{part}.{}", running.query.seed)).ok();
                let (status, headers, body) = (StatusCode::OK, HeaderMap::new(), Bytes::new());
                let draw = running.query.draw(part, running.sends, upstream + NOISE);
                let load = Some(self.world.upstreams[upstream].load(end, draw));
                let response = Response { status, headers, signature, load, body };
                (end, SendOutcome::Reply, SendResult::Answered(Box::new(response)))
            }
            Fate::Lost(end) if end <= deadline => (end, SendOutcome::Broken, SendResult::Broken),
            Fate::Shed => (at, SendOutcome::Shed, SendResult::Declined),
            Fate::Refused => (at, SendOutcome::Unreachable, SendResult::NotConnected),
            // Its upstream's end makes it break before.
            Fate::Ends(_) | Fate::Done(_) | Fate::Lost(_) | Fate::Silent => {
                (deadline, SendOutcome::TimedOut, SendResult::TimedOut)
            }
        }
    }

    fn hear_load(&mut self, now: Millis, vm: usize, ticket: Ticket, load: Option<Load>) {
        if let Some(load) = load {
            self.vms[vm].core.fleet.record_load(now, ticket.upstream, load);
        }
    }

    /// A send ended, whether or not its query still waits.
    fn close(&mut self, now: Millis, vm: usize, ticket: Ticket, outcome: SendOutcome) {
        self.vms[vm].core.fleet.record_outcome(now, ticket, outcome);
        if outcome == SendOutcome::Reply {
            self.tell(now, vm, &[ticket.upstream]);
        }
    }

    /// All VMs start anew; what they held is lost.
    fn restart(&mut self) {
        let (size, policy) = (self.size, self.policy);
        self.vms = (0..size.vms).map(|v| vm(v % REGIONS, size, policy)).collect();
        self.events.retain(|_, event| matches!(event, Event::Arrive(_)));
        let now = Millis::from_f64(FROM_S * 1_000.0);
        for (_, running) in std::mem::take(&mut self.running) {
            let vm = self.rng.random_range(0..self.size.vms);
            match running.query.again(now, vm) {
                Some(again) => self.returns(again),
                None => self.tally.lost(&running.query),
            }
        }
    }

    fn index(&self, vm: usize, key: Key) -> Option<usize> {
        death::number(&self.vms[vm].core.fleet.get(key)?.entry.id)
    }

    /// Tells the VMs of the region of late and slow upstreams, at once.
    fn tell(&mut self, now: Millis, vm: usize, keys: &[Key]) {
        let region = self.vms[vm].region;
        let mut reports: SmallVec<[_; 2]> = SmallVec::new();
        for key in keys {
            if let Some((entry, report)) = self.vms[vm].core.fleet.take_report(now, *key) {
                reports.push((entry.id.clone(), report));
            }
        }
        for (id, report) in reports {
            let others = self.vms.iter_mut().enumerate();
            let others = others.filter(|(other, v)| *other != vm && v.region == region);
            others.for_each(|(_, v)| v.core.fleet.apply_report(now, &id, 0, report));
        }
    }
}
