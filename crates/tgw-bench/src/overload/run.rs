/// Reports of overload between VMs.
mod reports;
/// Sends, how they end, and VMs that make them for others.
mod sends;

use super::{
    figures::Tally,
    oracle,
    query::{self, Query},
    scenario::{FAULT_START_S, Scenario},
    termination::{self, InFlight},
    upstream::Upstream,
    vms::{REGIONS, Size, Vm, routes, start_vm},
};
use derive_more::Display;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::Serialize;
use smallvec::SmallVec;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    rc::Rc,
};
use tgw_admission::Report;
use tgw_clock::Millis;
use tgw_forward::{
    Plan, Policy,
    fleet::{Key, Ticket},
    load::Load,
    plan::{self, Answer, SendResult},
    upstream::SendOutcome,
};
use tgw_quarantine::message::{Termination, Update};
use tgw_route::Route;

/// One-way delay in ms between regions and within one.
const CROSS_REGION_DELAY_MS: f64 = 8.0;
const SAME_REGION_DELAY_MS: f64 = 0.1;
/// Above the number of queries of a run; retries are numbered from here.
const FIRST_RETRY_NUMBER: usize = 1 << 20;
/// Time in ms from an answer until the caller's next request arrives: four ways of 3 ms, one for
/// the answer, two for a new connection, and one for the request.
const CALLER_RETRY_DELAY_MS: Millis = Millis::new(12);
/// Offset that separates the draws for a reply's load report from the draws for its outcome.
const LOAD_DRAW_OFFSET: usize = 1 << 16;
/// Who chooses the upstream of a send.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Choice {
    /// The tier without hedges of late parts, backoff, peer reports, service-time baselines, and
    /// decisions on the query as a whole: least cost, and one retry after a failure.
    #[display("crude")]
    Crude,
    /// The tier's forwarding decisions.
    #[display("tier")]
    Tier,
    /// Knows beforehand how each send ends.
    #[display("oracle")]
    Oracle,
}

impl Choice {
    /// All choices.
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
            admission: false,
            ..Policy::default()
        }
    }
}

struct Running {
    plan: Plan,
    query: Query,
    sends: u64,
    /// Time of the wakeup that counts; earlier ones are ignored.
    wake: Millis,
}

pub(super) enum Event {
    Arrive(usize),
    Wake(usize),
    /// A send ended, as seen by the VM of its query.
    Ended {
        vm: usize,
        query: usize,
        part: usize,
        ticket: Ticket,
        outcome: SendOutcome,
        result: SendResult,
    },
    /// A send that a VM hosted for a peer ended there.
    Hosted {
        vm: usize,
        ticket: Ticket,
        outcome: SendOutcome,
        load: Option<Load>,
    },
    /// A VM receives a report of overload.
    ReportReceived {
        vm: usize,
        from: usize,
        report: Rc<Report>,
    },
    /// A VM reports its evidence of overload, if it has any.
    ReportDue(usize),
    Restart,
    /// An upstream's process of this generation ends.
    End {
        upstream: usize,
        generation: u32,
        /// Content of the query that ends it.
        content: u64,
    },
    /// A VM finds during a request that the upstream ended.
    EndDetected {
        vm: usize,
        upstream: usize,
        generation: u32,
        end: Termination,
    },
    /// A VM receives an update on upstreams that ended.
    UpdateReceived {
        vm: usize,
        update: Update,
    },
    /// All VMs remove an upstream that ended.
    Unlisted {
        upstream: usize,
        generation: u32,
    },
    /// A new process has started in place of an upstream that ended.
    Started {
        upstream: usize,
        generation: u32,
    },
}

/// The load reported with a send's reply.
fn reported_load(result: &SendResult) -> Option<Load> {
    match result {
        SendResult::Answered(response) => response.load,
        _ => None,
    }
}

/// The upstreams, whose state is common to all choices.
pub(super) struct UpstreamPool {
    pub(super) upstreams: Vec<Upstream>,
}

impl UpstreamPool {
    pub(super) fn delay(&self, from: usize, to: usize) -> Millis {
        Millis::from_f64(if from == to { SAME_REGION_DELAY_MS } else { CROSS_REGION_DELAY_MS })
    }
}

pub(super) struct Sim {
    pub(super) pool: UpstreamPool,
    size: Size,
    policy: Policy,
    routes: [Rc<Route>; 2],
    pub(super) vms: Vec<Vm>,
    running: BTreeMap<usize, Running>,
    /// The queries that wait for admission, by VM and number of their ticket.
    waiting: BTreeMap<(usize, u64), usize>,
    queries: BTreeMap<usize, Query>,
    heap: BinaryHeap<Reverse<(Millis, u64)>>,
    pub(super) events: BTreeMap<u64, Event>,
    /// Requests that each upstream holds.
    pub(super) in_flight: Vec<Vec<InFlight>>,
    next: u64,
    pub(super) rng: SmallRng,
    pub(super) tally: Tally,
}

/// Runs one seed.
pub(super) fn simulate(
    (scenario, deadly): (Scenario, usize),
    choice: Choice,
    (size, tier): (Size, Policy),
    seed: u64,
) -> Tally {
    let mut rng = SmallRng::seed_from_u64(seed);
    let upstreams = (0..size.upstreams()).map(|_| Upstream::new(scenario, &mut rng)).collect();
    let queries = query::arrivals((scenario, deadly), size, &mut rng);
    let mut pool = UpstreamPool { upstreams };
    if choice == Choice::Oracle {
        let mut tally = Tally::new(scenario);
        for query in queries.iter().filter(|q| !q.deadly) {
            let (replies, far) = oracle::answer(&mut pool, query);
            tally.record_oracle(query, &replies, far);
        }
        return tally;
    }
    let mut sim = Sim::new(pool, (size, choice.policy(tier)), queries, (rng, Tally::new(scenario)));
    if scenario == Scenario::FleetRestart {
        sim.schedule(Millis::from_f64(FAULT_START_S * 1_000.0), Event::Restart);
    }
    sim.run();
    sim.tally
}

impl Sim {
    fn new(
        pool: UpstreamPool,
        (size, policy): (Size, Policy),
        queries: Vec<Query>,
        (rng, tally): (SmallRng, Tally),
    ) -> Self {
        let mut sim = Self {
            pool,
            size,
            policy,
            routes: routes(size),
            vms: (0..size.vms).map(|v| start_vm(v % REGIONS, size, policy)).collect(),
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            queries: BTreeMap::new(),
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            in_flight: (0..size.upstreams()).map(|_| Vec::new()).collect(),
            next: 0,
            rng,
            tally,
        };
        let end = queries.last().map_or(Millis::ZERO, |query| query.at);
        sim.schedule_reports(end);
        for (number, query) in queries.into_iter().enumerate() {
            sim.schedule(query.at, Event::Arrive(number));
            sim.queries.insert(number, query);
        }
        sim
    }

    /// Schedules an event; returns its number.
    pub(super) fn schedule(&mut self, at: Millis, event: Event) -> u64 {
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
                    let load = reported_load(&result);
                    self.record_load(now, vm, ticket, load);
                    self.record_end(now, vm, ticket, outcome);
                    let upstream = ticket.upstream;
                    self.step(now, query, plan::Event::SendEnded { part, upstream, result });
                }
                Some(Event::Hosted { vm, ticket, outcome, load }) => {
                    self.record_load(now, vm, ticket, load);
                    self.record_end(now, vm, ticket, outcome);
                }
                Some(Event::ReportReceived { vm, from, report }) => {
                    self.vms[vm].core.admission.apply_report(now, from as u64, &report);
                }
                Some(Event::ReportDue(vm)) => self.report_overload(now, vm),
                Some(Event::Restart) => self.restart(),
                Some(Event::End { upstream, generation, content }) => {
                    self.end(now, (upstream, generation), content);
                }
                Some(Event::EndDetected { vm, upstream, generation, end }) => {
                    self.detect_end(now, vm, (upstream, generation), &end);
                }
                Some(Event::UpdateReceived { vm, update }) => self.receive_update(now, vm, &update),
                Some(Event::Unlisted { upstream, generation }) => self.unlist(upstream, generation),
                Some(Event::Started { upstream, generation }) => {
                    self.add_upstream(now, upstream, generation);
                }
                None => {}
            }
        }
    }

    fn arrive(&mut self, now: Millis, number: usize) {
        let Some(query) = self.queries.remove(&number) else { return };
        let route = self.routes[usize::from(!query.full)].clone();
        let left = query.first + query.timeout() - now;
        let (spread, print) = (query.seed as u32, query.fingerprint());
        let options = plan::Options {
            route,
            caller_timeout: Some(left),
            new_connection: false,
            retry_spread: spread,
            priority: self.routes[usize::from(!query.full)].priority,
            tenant: None,
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
        self.wake_waiting(now, vm);
        self.forward_updates(now, vm);
        let late = running.plan.take_late_upstreams();
        for order in orders {
            self.send(now, number, &mut running, &order);
        }
        self.report_to_peers(now, vm, &late);
        if let Some(answer) = answer {
            return self.answered(now, &running, &answer);
        }
        if let Some(ticket) = running.plan.ticket() {
            self.waiting.insert((vm, ticket.number()), number);
        }
        running.wake = running.plan.next_wakeup(now);
        self.schedule(running.wake, Event::Wake(number));
        self.running.insert(number, running);
    }

    /// Wakes the queries of a VM whose admission was decided.
    fn wake_waiting(&mut self, now: Millis, vm: usize) {
        for ticket in self.vms[vm].core.admission.take_wakeups() {
            let Some(number) = self.waiting.remove(&(vm, ticket)) else { continue };
            if let Some(running) = self.running.get_mut(&number) {
                running.wake = now;
                self.schedule(now, Event::Wake(number));
            }
        }
    }

    fn answered(&mut self, now: Millis, running: &Running, answer: &Answer) {
        let retry_at = match answer {
            Answer::Merged { .. } | Answer::Forward(_) => None,
            Answer::Refused { retry_after, .. } => Some(now + *retry_after),
            Answer::Failed(_) | Answer::TimedOut => Some(now),
        };
        // How far the report of an upstream's end has spread when the caller retries matters in
        // that scenario only; the others leave out the caller's delay.
        let delay = if running.query.deadly { CALLER_RETRY_DELAY_MS } else { Millis::ZERO };
        let retry_at = retry_at.map(|at| at + delay);
        let vm = self.rng.random_range(0..self.size.vms);
        if let Some(retry) = retry_at.and_then(|at| running.query.retry(at, vm)) {
            return self.schedule_retry(retry);
        }
        let (_, got, _) = running.plan.progress();
        self.tally.record_answer(now, &running.query, answer, got);
    }

    /// A caller retries a query.
    fn schedule_retry(&mut self, query: Query) {
        let number = self.next as usize + FIRST_RETRY_NUMBER;
        self.schedule(query.at, Event::Arrive(number));
        self.queries.insert(number, query);
    }

    /// Restarts all VMs; their running queries are lost.
    fn restart(&mut self) {
        let (size, policy) = (self.size, self.policy);
        self.vms = (0..size.vms).map(|v| start_vm(v % REGIONS, size, policy)).collect();
        self.events.retain(|_, event| matches!(event, Event::Arrive(_) | Event::ReportDue(_)));
        let now = Millis::from_f64(FAULT_START_S * 1_000.0);
        self.waiting.clear();
        for (_, running) in std::mem::take(&mut self.running) {
            let vm = self.rng.random_range(0..self.size.vms);
            match running.query.retry(now, vm) {
                Some(retry) => self.schedule_retry(retry),
                None => self.tally.record_lost(&running.query),
            }
        }
    }

    fn index(&self, vm: usize, key: Key) -> Option<usize> {
        termination::number(&self.vms[vm].core.fleet.get(key)?.entry.id)
    }

    /// Reports late and slow upstreams to the other VMs of the region, without delay.
    fn report_to_peers(&mut self, now: Millis, vm: usize, keys: &[Key]) {
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
