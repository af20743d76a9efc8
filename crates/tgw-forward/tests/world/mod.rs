//! A core, its upstreams and one plan at a time, with a clock that the test moves.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};
use std::{
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
};
use tgw_clock::Millis;
use tgw_forward::{
    Core, Plan, Policy,
    core::Budget,
    fleet::{Key, Place},
    plan::{Answer, Event, Options, Response, SendOrder, SendResult},
    upstream::{Entry, SendOutcome},
};
use tgw_quarantine::Fingerprint;
use tgw_route::{Config, Residency, Route, Safety, Service, Target, Warmup, config::Shards};

pub(crate) const NEAR: &str = "near";
pub(crate) const FAR: &str = "far";

pub(crate) fn entry(id: &str, service: &str, domain: &str) -> Entry {
    Entry {
        id: id.into(),
        started: 0,
        heartbeats: 0,
        service: service.into(),
        addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        domain: domain.into(),
        slots: 2,
        draining: false,
        warmup: Millis::ZERO,
    }
}

pub(crate) fn shards(count: usize) -> Target {
    let services = (0..count).map(|i| format!("s{i}").into()).collect();
    Target::Shards(Shards { services, result_limit: 3, min_shard_share: 0.75 })
}

pub(crate) fn route(target: Target, safety: Safety) -> Rc<Route> {
    Rc::new(Route {
        name: "route".into(),
        host: "a.example".into(),
        prefix: "/".into(),
        target,
        safety,
        timeout: Millis::new(800),
        target_latency: Millis::new(150),
        max_attempts: 2,
        priority: 1,
        residency: Residency::default(),
        anonymous: false,
    })
}

pub(crate) struct World {
    pub(crate) core: Core,
    pub(crate) now: Millis,
    pub(crate) orders: Vec<SendOrder>,
    /// Fingerprint of the requests that are started.
    pub(crate) fingerprint: Fingerprint,
    plan: Option<Plan>,
}

impl World {
    /// `services` services with one near and one far upstream each, and a large budget.
    pub(crate) fn new(services: usize) -> Self {
        Self::with_budget(services, Budget { share: 1.0, constant: 1_000.0 })
    }

    pub(crate) fn with_budget(services: usize, budget: Budget) -> Self {
        Self::with_budget_and_policy(services, budget, Policy::default())
    }

    /// As [`Self::new`], with a given policy.
    pub(crate) fn with_policy(services: usize, policy: Policy) -> Self {
        Self::with_budget_and_policy(services, Budget { share: 1.0, constant: 1_000.0 }, policy)
    }

    fn with_budget_and_policy(services: usize, budget: Budget, policy: Policy) -> Self {
        let regions = [(NEAR.into(), "r1".into()), (FAR.into(), "r2".into())].into();
        let mut core = Core::new(Place { domain: NEAR.into(), regions }, budget, policy);
        let mut config = Config::default();
        for index in 0..services {
            let service = format!("s{index}");
            config.services.insert(
                service.as_str().into(),
                Service { max_connections: 32, warmup: Warmup::default() },
            );
            for domain in [NEAR, FAR] {
                let id = format!("{service}-{domain}");
                core.fleet.put(Millis::ZERO, entry(&id, &service, domain));
            }
        }
        core.configure(&config);
        Self {
            core,
            now: Millis::new(1_000),
            orders: Vec::new(),
            fingerprint: Fingerprint::default(),
            plan: None,
        }
    }

    pub(crate) fn advance(&mut self, ms: u64) {
        self.now += Millis::new(ms);
    }

    pub(crate) fn start(&mut self, route: &Rc<Route>) -> Option<Answer> {
        self.start_arrived(route, self.now)
    }

    /// Starts a request that counts as having arrived at `arrived`.
    pub(crate) fn start_arrived(&mut self, route: &Rc<Route>, arrived: Millis) -> Option<Answer> {
        let print = self.fingerprint;
        let options = Options {
            route: route.clone(),
            caller_timeout: None,
            new_connection: false,
            retry_spread: 0,
            priority: route.priority,
            tenant: None,
            fingerprint: print,
        };
        self.plan = Some(Plan::new(arrived, &options));
        self.orders.clear();
        self.on(Event::Start)
    }

    pub(crate) fn tick(&mut self) -> Option<Answer> {
        self.on(Event::Tick)
    }

    /// Moves the clock to the plan's next wake-up. A send is first found late, which is reported,
    /// and then hedged: if the first wake-up sends nothing, moves to the second.
    pub(crate) fn wake(&mut self) -> Option<Answer> {
        let before = self.orders.len();
        self.wake_once()
            .or_else(|| if self.orders.len() == before { self.wake_once() } else { None })
    }

    fn wake_once(&mut self) -> Option<Answer> {
        self.now = self.plan.as_ref().unwrap().next_wakeup(self.now);
        self.tick()
    }

    /// Wakes the plan until it answers, with no other events.
    pub(crate) fn run_to_answer(&mut self) -> Answer {
        loop {
            if let Some(answer) = self.wake() {
                return answer;
            }
        }
    }

    /// Ends the order at `index` of all so far.
    pub(crate) fn end(
        &mut self,
        index: usize,
        result: SendResult,
        outcome: SendOutcome,
    ) -> Option<Answer> {
        let order = self.orders[index].clone();
        self.core.fleet.record_outcome(self.now, order.ticket, outcome);
        self.on(Event::SendEnded { part: order.part, upstream: order.ticket.upstream, result })
    }

    pub(crate) fn reply(&mut self, index: usize, records: &[u8]) -> Option<Answer> {
        let signature = format!("seal-{index}");
        self.end(index, answered(200, Some(&signature), records), SendOutcome::Reply)
    }

    pub(crate) fn on(&mut self, event: Event) -> Option<Answer> {
        let mut orders = Vec::new();
        let answer =
            self.plan.as_mut().unwrap().handle(self.now, event, &mut self.core, &mut orders);
        self.orders.extend(orders);
        answer
    }

    pub(crate) fn upstream(&self, index: usize) -> Rc<str> {
        self.id(self.orders[index].ticket.upstream)
    }

    pub(crate) fn id(&self, key: Key) -> Rc<str> {
        self.core.fleet.get(key).unwrap().entry.id.clone()
    }
}

pub(crate) fn answered(status: u16, signature: Option<&str>, body: &[u8]) -> SendResult {
    SendResult::Answered(Box::new(Response {
        status: StatusCode::from_u16(status).unwrap(),
        headers: HeaderMap::new(),
        signature: signature.map(|s| HeaderValue::from_str(s).unwrap()),
        load: None,
        body: Bytes::copy_from_slice(body),
    }))
}

/// A record that begins with `first`.
pub(crate) fn record(first: u8) -> [u8; 16] {
    let mut record = [0; 16];
    record[0] = first;
    record
}
