//! Admission: limits, weighted fairness, truthful early refusal.
//!
//! A VM runs a bounded number of queries at once, over all services and for each. When services
//! compete, free places go to them by the weights of their rows (stride scheduling). A service's
//! own limit shrinks while its replies tell of long queues at the owners and grows back after.

use crate::{answer::Cause, step::Token};
use std::collections::{BTreeMap, VecDeque};
use tgw_clock::Millis;
use tgw_table::Row;
use tgw_tail::Average;
use tgw_topology::Service;

/// Least queries of a service that run at once, however crowded the owners' queues are.
const LEAST_LIMIT: f64 = 2.0;
/// How often a service's limit is reconsidered.
const PERIOD: Millis = Millis::new(50);
/// The part of the deadline that requests may wait in the owners' queues before the limit shrinks.
const WAIT_SHARE: f64 = 0.1;
const SHRINK: f64 = 0.85;
const GROW: f64 = 1.0;
const TIME_START_MS: f64 = 10.0;
const TIME_WEIGHT: f64 = 0.05;
/// What a refused caller is told to wait at least.
const RETRY_LEAST: Millis = Millis::new(50);
const STRIDE: f64 = 1.0;

/// What becomes of a query that asks to be admitted.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It runs now.
    Run,
    /// It waits for a place.
    Wait,
    /// It is refused.
    Refuse {
        /// Why.
        cause: Cause,
        /// When a place may be free.
        retry_after: Millis,
    },
}

#[derive(Debug)]
struct Lane {
    running: u32,
    waiting: VecDeque<(Token, Millis)>,
    /// Virtual time: grows by the inverse of the weight with each query that is started.
    pass: f64,
    limit: f64,
    /// The longest wait in an owner's queue that this period's replies told of.
    waited: Millis,
    full: bool,
    reviewed: Millis,
    time: Average,
}

/// The places of one VM.
#[derive(Debug)]
pub struct Gate {
    places: u32,
    running: u32,
    lanes: BTreeMap<Service, Lane>,
    /// Adapt the services' limits to the owners' queues.
    adapt: bool,
}

impl Gate {
    /// A gate with `places` for all services together.
    pub fn new(places: u32, adapt: bool) -> Self {
        Self { places, running: 0, lanes: BTreeMap::new(), adapt }
    }

    /// Queries that run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Queries of a service that wait.
    pub fn waiting(&self, service: Service) -> usize {
        self.lanes.get(&service).map_or(0, |l| l.waiting.len())
    }

    /// The limit of a service that is in force now.
    pub fn limit(&self, service: Service) -> Option<f64> {
        self.lanes.get(&service).map(|l| l.limit)
    }

    /// Asks for a place for `token`, which is of use until `deadline`.
    pub fn ask(
        &mut self,
        now: Millis,
        service: Service,
        row: &Row,
        token: Token,
        deadline: Millis,
    ) -> Verdict {
        let floor = self.least_pass();
        let free = self.running < self.places;
        let lane = self.lane(now, service, row);
        let room = f64::from(lane.running) < lane.limit.min(f64::from(row.concurrency));
        lane.full |= !room;
        if free && room && lane.waiting.is_empty() {
            lane.pass = lane.pass.max(floor);
            lane.start(row);
            self.running += 1;
            return Verdict::Run;
        }
        // The expected wait: those ahead, served `limit` at a time.
        let ahead = (lane.waiting.len() + 1) as f64;
        let wait = Millis::from_f64(ahead * lane.time.get() / lane.limit.max(1.0));
        let useful = now + wait + Millis::from_f64(lane.time.get()) <= deadline;
        if lane.waiting.len() < row.queue as usize && useful {
            if lane.waiting.is_empty() {
                lane.pass = lane.pass.max(floor);
            }
            lane.waiting.push_back((token, deadline));
            return Verdict::Wait;
        }
        Verdict::Refuse { cause: Cause::Busy, retry_after: wait.max(RETRY_LEAST) }
    }

    /// A running query of `service` has ended after `took`; `waited` is the longest that one of its
    /// leaf requests stood in an owner's queue.
    pub fn finished(
        &mut self,
        now: Millis,
        service: Service,
        row: Option<&Row>,
        took: Millis,
        waited: Millis,
    ) {
        self.running = self.running.saturating_sub(1);
        let adapt = self.adapt;
        if let Some(lane) = self.lanes.get_mut(&service) {
            lane.running = lane.running.saturating_sub(1);
            lane.time.add(took.as_f64());
            lane.waited = lane.waited.max(waited);
            if let Some(row) = row.filter(|_| adapt) {
                lane.review(now, row);
            }
        }
    }

    /// Gives up a place in the queue, as when the caller went away.
    pub fn withdraw(&mut self, service: Service, token: Token) {
        if let Some(lane) = self.lanes.get_mut(&service) {
            lane.waiting.retain(|(waiting, _)| *waiting != token);
        }
    }

    /// The next waiting query that gets a place, by weight; `rows` gives a service's row.
    pub fn next<'a>(&mut self, rows: impl Fn(Service) -> Option<&'a Row>) -> Option<Token> {
        if self.running >= self.places {
            return None;
        }
        let ready = self.lanes.iter().filter_map(|(service, lane)| {
            let row = rows(*service)?;
            let room = f64::from(lane.running) < lane.limit.min(f64::from(row.concurrency));
            (room && !lane.waiting.is_empty()).then_some((*service, lane.pass, row))
        });
        let (service, _, row) = ready.min_by(|a, b| a.1.total_cmp(&b.1))?;
        let lane = self.lanes.get_mut(&service)?;
        let (token, _) = lane.waiting.pop_front()?;
        lane.start(row);
        self.running += 1;
        Some(token)
    }

    /// Takes the waiting queries out whose deadline has passed.
    pub fn expired(&mut self, now: Millis) -> Vec<Token> {
        let mut found = Vec::new();
        for lane in self.lanes.values_mut() {
            lane.waiting.retain(|(token, deadline)| {
                let keep = *deadline > now;
                if !keep {
                    found.push(*token);
                }
                keep
            });
        }
        found
    }

    fn lane(&mut self, now: Millis, service: Service, row: &Row) -> &mut Lane {
        self.lanes.entry(service).or_insert_with(|| Lane {
            running: 0,
            waiting: VecDeque::new(),
            pass: 0.0,
            limit: f64::from(row.concurrency),
            waited: Millis::ZERO,
            full: false,
            reviewed: now,
            time: Average::new(TIME_START_MS, TIME_WEIGHT),
        })
    }

    /// The virtual time of the busy services. A service that comes back after a pause starts there:
    /// it may not claim the places that it left unused.
    fn least_pass(&self) -> f64 {
        let busy = self.lanes.values().filter(|l| l.running > 0 || !l.waiting.is_empty());
        let least = busy.map(|l| l.pass).min_by(f64::total_cmp);
        least.unwrap_or(0.0)
    }
}

impl Lane {
    fn start(&mut self, row: &Row) {
        self.running += 1;
        self.pass += STRIDE / f64::from(row.weight.max(1));
    }

    fn review(&mut self, now: Millis, row: &Row) {
        if now - self.reviewed < PERIOD {
            return;
        }
        let most = f64::from(row.concurrency);
        if self.waited > row.deadline().scale(WAIT_SHARE) {
            self.limit = (self.limit.min(f64::from(self.running + 1)) * SHRINK).max(LEAST_LIMIT);
        } else if self.full {
            self.limit = (self.limit + GROW).min(most);
        }
        self.reviewed = now;
        self.waited = Millis::ZERO;
        self.full = false;
    }
}
