//! Admission control: concurrency limits, weighted fairness, early refusal.
//!
//! A VM runs a limited number of queries at once, in total and per service. When services compete,
//! they share the total by the weights of their rows (stride scheduling). The limit of a service
//! decreases while its outcomes report long waits in the owners' queues, and increases again later.

use crate::{answer::RefusalReason, event::Token};
use std::collections::{BTreeMap, VecDeque};
use tgw_clock::Millis;
use tgw_table::Row;
use tgw_tail::Average;
use tgw_topology::Service;

/// Lower bound of a service's limit, however long the owners' queues are.
const MIN_LIMIT_QUERIES: f64 = 2.0;
/// Interval between updates of a service's limit.
const LIMIT_UPDATE_INTERVAL_MS: Millis = Millis::new(50);
/// Wait in an owner's queue, as a ratio of the deadline, above which the limit decreases.
const MAX_QUEUE_WAIT_RATIO: f64 = 0.1;
const LIMIT_DECREASE_FACTOR: f64 = 0.85;
const LIMIT_INCREASE_QUERIES: f64 = 1.0;
const INITIAL_DURATION_MS: f64 = 10.0;
const DURATION_WEIGHT: f64 = 0.05;
/// Shortest retry delay given to a refused caller.
const MIN_RETRY_AFTER_MS: Millis = Millis::new(50);
const VIRTUAL_TIME_STEP: f64 = 1.0;

/// Result of a request for admission.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The query runs now.
    Admitted,
    /// The query waits in the queue of its service.
    Queued,
    /// The query is refused.
    Refused {
        /// The reason.
        cause: RefusalReason,
        /// Expected time until a query of the service can be admitted.
        retry_after: Millis,
    },
}

#[derive(Debug)]
struct ServiceState {
    running: u32,
    queued: VecDeque<(Token, Millis)>,
    /// Grows by the inverse of the weight with each started query.
    virtual_time: f64,
    limit: f64,
    /// Longest wait in an owner's queue reported since the limit was last updated.
    max_queue_wait: Millis,
    limit_reached: bool,
    limit_updated_at: Millis,
    duration_ms: Average,
}

/// Admits the queries of one VM.
#[derive(Debug)]
pub struct Controller {
    max_running: u32,
    running: u32,
    services: BTreeMap<Service, ServiceState>,
    /// Whether the services' limits adapt to the waits in the owners' queues.
    adaptive_limits: bool,
}

impl Controller {
    /// A controller that runs up to `max_running` queries of all services together.
    pub fn new(max_running: u32, adaptive_limits: bool) -> Self {
        Self { max_running, running: 0, services: BTreeMap::new(), adaptive_limits }
    }

    /// Running queries.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Queued queries of a service.
    pub fn queued(&self, service: Service) -> usize {
        self.services.get(&service).map_or(0, |s| s.queued.len())
    }

    /// The current limit of a service.
    pub fn limit(&self, service: Service) -> Option<f64> {
        self.services.get(&service).map(|s| s.limit)
    }

    /// Requests admission for `token`, whose answer is useful until `deadline`.
    pub fn admit(
        &mut self,
        now: Millis,
        service: Service,
        row: &Row,
        token: Token,
        deadline: Millis,
    ) -> Verdict {
        let min_virtual_time = self.min_virtual_time();
        let has_capacity = self.running < self.max_running;
        let state = self.service_state(now, service, row);
        let below_limit = f64::from(state.running) < state.limit.min(f64::from(row.concurrency));
        state.limit_reached |= !below_limit;
        if has_capacity && below_limit && state.queued.is_empty() {
            state.virtual_time = state.virtual_time.max(min_virtual_time);
            state.start_query(row);
            self.running += 1;
            return Verdict::Admitted;
        }
        // The queries ahead are served `limit` at a time.
        let ahead = (state.queued.len() + 1) as f64;
        let expected_wait =
            Millis::from_f64(ahead * state.duration_ms.get() / state.limit.max(1.0));
        let can_finish =
            now + expected_wait + Millis::from_f64(state.duration_ms.get()) <= deadline;
        if state.queued.len() < row.queue as usize && can_finish {
            if state.queued.is_empty() {
                state.virtual_time = state.virtual_time.max(min_virtual_time);
            }
            state.queued.push_back((token, deadline));
            return Verdict::Queued;
        }
        Verdict::Refused {
            cause: RefusalReason::Busy,
            retry_after: expected_wait.max(MIN_RETRY_AFTER_MS),
        }
    }

    /// Records that a running query of `service` has ended after `duration`; `queue_wait` is the
    /// longest wait of one of its leaf requests in an owner's queue.
    pub fn record_finished(
        &mut self,
        now: Millis,
        service: Service,
        row: Option<&Row>,
        duration: Millis,
        queue_wait: Millis,
    ) {
        self.running = self.running.saturating_sub(1);
        let adaptive_limits = self.adaptive_limits;
        if let Some(state) = self.services.get_mut(&service) {
            state.running = state.running.saturating_sub(1);
            state.duration_ms.add(duration.as_f64());
            state.max_queue_wait = state.max_queue_wait.max(queue_wait);
            if let Some(row) = row.filter(|_| adaptive_limits) {
                state.update_limit(now, row);
            }
        }
    }

    /// Removes a query from the queue, as when its caller has closed the request.
    pub fn remove_queued(&mut self, service: Service, token: Token) {
        if let Some(state) = self.services.get_mut(&service) {
            state.queued.retain(|(queued, _)| *queued != token);
        }
    }

    /// Admits the next queued query by weight, if any can run; `rows` returns a service's row.
    pub fn admit_next<'a>(&mut self, rows: impl Fn(Service) -> Option<&'a Row>) -> Option<Token> {
        if self.running >= self.max_running {
            return None;
        }
        let eligible = self.services.iter().filter_map(|(service, state)| {
            let row = rows(*service)?;
            let below_limit =
                f64::from(state.running) < state.limit.min(f64::from(row.concurrency));
            (below_limit && !state.queued.is_empty()).then_some((*service, state.virtual_time, row))
        });
        let (service, _, row) = eligible.min_by(|a, b| a.1.total_cmp(&b.1))?;
        let state = self.services.get_mut(&service)?;
        let (token, _) = state.queued.pop_front()?;
        state.start_query(row);
        self.running += 1;
        Some(token)
    }

    /// Removes and returns the queued queries whose deadline has passed.
    pub fn take_expired(&mut self, now: Millis) -> Vec<Token> {
        let mut expired = Vec::new();
        for state in self.services.values_mut() {
            state.queued.retain(|(token, deadline)| {
                let keep = *deadline > now;
                if !keep {
                    expired.push(*token);
                }
                keep
            });
        }
        expired
    }

    fn service_state(&mut self, now: Millis, service: Service, row: &Row) -> &mut ServiceState {
        self.services.entry(service).or_insert_with(|| ServiceState {
            running: 0,
            queued: VecDeque::new(),
            virtual_time: 0.0,
            limit: f64::from(row.concurrency),
            max_queue_wait: Millis::ZERO,
            limit_reached: false,
            limit_updated_at: now,
            duration_ms: Average::new(INITIAL_DURATION_MS, DURATION_WEIGHT),
        })
    }

    /// The lowest virtual time of the busy services. A service that becomes busy again starts
    /// there, so that it cannot claim the admissions that it left unused while idle.
    fn min_virtual_time(&self) -> f64 {
        let busy = self.services.values().filter(|s| s.running > 0 || !s.queued.is_empty());
        let lowest = busy.map(|s| s.virtual_time).min_by(f64::total_cmp);
        lowest.unwrap_or(0.0)
    }
}

impl ServiceState {
    fn start_query(&mut self, row: &Row) {
        self.running += 1;
        self.virtual_time += VIRTUAL_TIME_STEP / f64::from(row.weight.max(1));
    }

    fn update_limit(&mut self, now: Millis, row: &Row) {
        if now - self.limit_updated_at < LIMIT_UPDATE_INTERVAL_MS {
            return;
        }
        let max_limit = f64::from(row.concurrency);
        if self.max_queue_wait > row.deadline().mul_f64(MAX_QUEUE_WAIT_RATIO) {
            self.limit = (self.limit.min(f64::from(self.running + 1)) * LIMIT_DECREASE_FACTOR)
                .max(MIN_LIMIT_QUERIES);
        } else if self.limit_reached {
            self.limit = (self.limit + LIMIT_INCREASE_QUERIES).min(max_limit);
        }
        self.limit_updated_at = now;
        self.max_queue_wait = Millis::ZERO;
        self.limit_reached = false;
    }
}
