use crate::{
    Query, Reason,
    capacity::{Limit, Pressure, StandingQueue},
    queue::Queue,
};
use smallvec::SmallVec;
use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
};
use tgw_clock::Millis;

/// Fraction of the allowed wait that the limit aims at: a wait is not over as soon as the limit
/// shrinks, and fewer queries waiting at the upstreams serve as many.
const TARGET_FACTOR: f64 = 0.5;
/// Fraction of the latency target of a route of a lower priority that a request may wait at its upstream.
const MAX_WAIT_FACTOR: f64 = 0.5;
/// Time in ms over which replies are counted.
const RATE_PERIOD_MS: f64 = 300.0;
/// Weight of one query in the mean duration of the queries.
const DURATION_WEIGHT: f64 = 0.1;
/// Fraction of a latency target that a query is expected to run for, at most: a few long queries
/// would otherwise keep all others out.
const MAX_DURATION_FACTOR: f64 = 0.5;
/// The same without overload: the first long queries of an overload must not raise it.
const CALM_WEIGHT: f64 = 0.01;
/// Weight of one query in the shares of the priorities.
const ASKED_WEIGHT: f64 = 0.05;
/// Share of the queries of any priority that is admitted, relative to that of all: no tenant may be served less than a
/// quarter as often as all.
const MIN_RELATIVE_SHARE: f64 = 0.3;
/// Priorities from this one are alike.
const MAX_PRIORITY: u32 = 255;
/// Replies of each service, on average, from which the lowest-capacity one is known.
const MIN_REPLIES_PER_SERVICE: usize = 3;
/// Services that must agree on a queue that builds up: fewer may pause together.
const MIN_AGREEING_SERVICES: usize = 3;
/// Duration assumed before any query ended, in ms.
const DEFAULT_DURATION_MS: f64 = 50.0;
/// Time in ms after which a rejected caller may retry, at least and at most.
const MIN_RETRY_MS: f64 = 100.0;
const MAX_RETRY_MS: f64 = 2_000.0;
/// Time for which the latency target of a route counts after its last query.
const TARGET_RETENTION_MS: Millis = Millis::new(60_000);

/// What the queries of one route expect of a service.
#[derive(Copy, Clone, Debug)]
struct Target {
    latency: Millis,
    /// The highest priority among its recent queries.
    priority: u32,
    asked_at: Millis,
}

/// The upstreams of one service.
#[derive(Debug, Default)]
pub(crate) struct Service {
    pub(crate) queue: StandingQueue,
    /// What the routes that ask for it expect.
    targets: BTreeMap<Rc<str>, Target>,
    /// Replies, decayed.
    replies: f64,
    replied_at: Millis,
}

impl Service {
    /// Drops the routes that `keep` does not hold for.
    pub(crate) fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.targets.retain(|route, _| keep(route));
    }

    pub(crate) fn record_query(&mut self, now: Millis, query: &Query) {
        let latency = query.answer_by - query.arrived;
        let priority = query.priority;
        let asked = Target { latency, priority, asked_at: now };
        let known = self.targets.entry(query.route.clone()).or_insert(asked);
        let is_recent = now - known.asked_at <= TARGET_RETENTION_MS;
        let priority = if is_recent { known.priority.min(priority) } else { priority };
        *known = Target { priority, ..asked };
    }

    /// The wait in ms that the targets of its routes allow: `share` of the shortest target among those of the highest
    /// priority. A route of a lower priority with a shorter target bounds it less tightly, or the more urgent ones would
    /// be rejected for its sake.
    pub(crate) fn allowed_wait(&self, now: Millis, share: f64) -> f64 {
        let recent = || self.targets.values().filter(|t| now - t.asked_at <= TARGET_RETENTION_MS);
        let highest = recent().map(|target| target.priority).min();
        let latency = |target: &Target| target.latency.as_f64();
        let urgent = recent().filter(|target| Some(target.priority) == highest).map(latency);
        let shortest = recent().map(latency).fold(f64::MAX, f64::min);
        let urgent = urgent.fold(f64::MAX, f64::min);
        (urgent * share).min(shortest * share.max(MAX_WAIT_FACTOR))
    }

    pub(crate) fn record_reply(&mut self, now: Millis) {
        self.replies = self.decayed(now) + 1.0;
        self.replied_at = now;
    }

    fn decayed(&self, now: Millis) -> f64 {
        self.replies * (-(now - self.replied_at).as_f64() / RATE_PERIOD_MS).exp()
    }

    /// Replies a ms.
    fn reply_rate(&self, now: Millis) -> f64 {
        self.decayed(now) / RATE_PERIOD_MS
    }
}

/// The queries over one set of services.
#[derive(Debug, Default)]
pub(crate) struct Group {
    pub(crate) limit: Limit,
    pub(crate) queue: Queue,
    /// Queries that run, by priority.
    running: BTreeMap<u32, usize>,
    services: Vec<Rc<str>>,
    /// The least number of parts that an answer of any route may miss.
    max_missing: Option<usize>,
    /// Mean duration of its queries in ms, by route and of all.
    durations: HashMap<Rc<str>, f64>,
    duration_ms: Option<f64>,
    /// Mean duration in ms while the limit is not in force.
    calm_ms: Option<f64>,
    /// Queries by priority, decayed, and the share of each that is due for admission.
    asked: BTreeMap<u32, f64>,
    due: BTreeMap<u32, f64>,
    /// Callers that were rejected since the limit is in force.
    rejected: f64,
}

impl Group {
    /// Drops the routes that `keep` does not hold for.
    pub(crate) fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.durations.retain(|route, _| keep(route));
    }

    /// The services that its queries need.
    pub(crate) fn services(&self) -> &[Rc<str>] {
        &self.services
    }

    /// Whether no query runs or waits.
    pub(crate) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running.values().all(|running| *running == 0)
    }

    pub(crate) fn record_query(&mut self, query: &Query, services: &[Rc<str>]) {
        if self.services != services {
            self.services = services.to_vec();
        }
        let missing = query.max_missing.min(services.len().saturating_sub(1));
        self.max_missing = Some(self.max_missing.map_or(missing, |least| least.min(missing)));
        let priority = query.priority.min(MAX_PRIORITY);
        self.asked.values_mut().for_each(|asked| *asked *= 1.0 - ASKED_WEIGHT);
        *self.asked.entry(priority).or_default() += 1.0;
    }

    pub(crate) fn record_end(&mut self, route: &Rc<str>, took: Millis, target: Millis) {
        let took = took.min(target).as_f64();
        let mean = self.durations.entry(route.clone()).or_insert(took);
        *mean += DURATION_WEIGHT * (took - *mean);
        let mean = self.duration_ms.get_or_insert(took);
        *mean += DURATION_WEIGHT * (took - *mean);
        if self.limit.value().is_none() {
            let calm = self.calm_ms.get_or_insert(took);
            *calm += CALM_WEIGHT * (took - *calm);
        }
    }

    /// The mean duration of its queries.
    pub(crate) fn duration(&self) -> Millis {
        Millis::from_f64(self.duration_ms.unwrap_or(DEFAULT_DURATION_MS).max(1.0))
    }

    /// The latest time at which a query can start and still meet its latency target, and its caller's deadline.
    pub(crate) fn start_by(&self, query: &Query) -> Millis {
        let target = (query.answer_by - query.arrived).as_f64();
        let known = self.durations.get(&query.route).copied();
        let expected = known.unwrap_or(DEFAULT_DURATION_MS).min(target * MAX_DURATION_FACTOR);
        query.answer_by.min(query.deadline) - Millis::from_f64(expected)
    }

    /// Changes the limit by what is known of the services.
    pub(crate) fn update(
        &mut self,
        now: Millis,
        services: &HashMap<Rc<str>, Service>,
        wait_share: f64,
    ) {
        if self.is_overloaded(now, services) {
            let target_ms = self.target_wait(now, services, wait_share);
            let calm = self.calm_ms.unwrap_or(DEFAULT_DURATION_MS);
            let sustainable = self.query_rate(now, services) * (calm + target_ms);
            self.limit.record_overload(now, sustainable);
        }
        if self.limit.value().is_some() {
            self.limit.update(now, self.pressure(now, services, wait_share));
        } else {
            self.rejected = 0.0;
        }
    }

    /// Whether more services than an answer may miss have a standing queue.
    fn is_overloaded(&self, now: Millis, services: &HashMap<Rc<str>, Service>) -> bool {
        let (mut standing, mut building_up) = (0, 0);
        for service in self.services.iter().filter_map(|name| services.get(name)) {
            standing += usize::from(service.queue.is_standing(now));
            building_up += usize::from(service.queue.is_building_up(now));
        }
        let max_missing = self.max_missing.unwrap_or_default();
        let half = (self.services.len() / 2).max(max_missing);
        standing > max_missing + 1 || (building_up > half && building_up >= MIN_AGREEING_SERVICES)
    }

    /// Queries a ms that its services reply to.
    fn query_rate(&self, now: Millis, services: &HashMap<Rc<str>, Service>) -> f64 {
        let known = self.services.iter().filter_map(|name| services.get(name));
        let mut rates: SmallVec<[f64; 36]> = known.map(|s| s.reply_rate(now)).collect();
        rates.sort_by(f64::total_cmp);
        rates.get(rates.len() / 2).copied().unwrap_or_default()
    }

    /// The wait at its services that is aimed at, in ms.
    fn target_wait(&self, now: Millis, services: &HashMap<Rc<str>, Service>, share: f64) -> f64 {
        let known = self.services.iter().filter_map(|name| services.get(name));
        let allowed = known.map(|s| s.allowed_wait(now, share)).fold(f64::MAX, f64::min);
        allowed * TARGET_FACTOR
    }

    /// The evidence on the lowest-capacity service that a query needs, since the last change of the
    /// limit.
    fn pressure(
        &self,
        now: Millis,
        services: &HashMap<Rc<str>, Service>,
        wait_share: f64,
    ) -> Option<Pressure> {
        let known = self.services.iter().filter_map(|name| services.get(name));
        let max_missing = self.max_missing.unwrap_or_default();
        let since = self.limit.stepped_at();
        let mut waits: SmallVec<[(f64, usize); 36]> =
            known.filter_map(|s| s.queue.shortest_wait(now, since)).collect();
        if waits.len() + max_missing < self.services.len() {
            return None;
        }
        let replies: usize = waits.iter().map(|(_, replies)| replies).sum();
        waits.sort_by(|a, b| b.0.total_cmp(&a.0));
        // The longest of few waits is mostly a long request.
        let few = replies < MIN_REPLIES_PER_SERVICE * waits.len();
        let rank = if few { waits.len() / 2 } else { max_missing };
        let (wait_ms, _) = waits.get(rank).copied()?;
        Some(Pressure { wait_ms, target_ms: self.target_wait(now, services, wait_share) })
    }

    /// The share of the queries of a priority that is admitted: the most urgent ones first.
    fn admitted_share(&self, priority: u32) -> f64 {
        let all: f64 = self.asked.values().sum();
        let own = self.asked.get(&priority).copied().unwrap_or_default();
        let ahead: f64 = self.asked.range(..priority).map(|(_, asked)| asked).sum();
        let level = self.limit.share();
        let share = if own <= 0.0 { 1.0 } else { (level * all - ahead) / own };
        share.clamp(level * MIN_RELATIVE_SHARE, 1.0)
    }

    /// Whether a query is among the share that is admitted.
    pub(crate) fn take_share(&mut self, priority: u32) -> bool {
        if self.limit.share() >= 1.0 {
            return true;
        }
        let priority = priority.min(MAX_PRIORITY);
        let share = self.admitted_share(priority);
        if share >= 1.0 {
            return true;
        }
        let due = self.due.entry(priority).or_default();
        *due += share;
        let admitted = *due >= 1.0;
        *due -= if admitted { 1.0 } else { 0.0 };
        admitted
    }

    /// Whether one more query of a priority may start. Less urgent queries that run do not count: an urgent one does not
    /// wait for them, and the limit shrinks if both are too many.
    pub(crate) fn has_room(&self, priority: u32) -> bool {
        let priority = priority.min(MAX_PRIORITY);
        self.limit.has_room(self.running.range(..=priority).map(|(_, running)| running).sum())
    }

    /// Counts a query that starts.
    pub(crate) fn record_start(&mut self, priority: u32) {
        *self.running.entry(priority.min(MAX_PRIORITY)).or_default() += 1;
    }

    /// Counts the end of a query that started.
    pub(crate) fn record_release(&mut self, priority: u32) {
        let running = self.running.entry(priority.min(MAX_PRIORITY)).or_default();
        *running = running.saturating_sub(1);
    }

    /// Queries that end a ms while the limit is in force.
    pub(crate) fn completion_rate(&self) -> f64 {
        self.limit.value().unwrap_or(f64::MAX).max(1.0) / self.duration().as_f64()
    }

    /// Time until the queries that wait ahead of one, and the one itself, have started.
    pub(crate) fn backlog(&self, ahead: f64) -> Millis {
        let limit = self.limit.value().unwrap_or(f64::MAX);
        self.duration().mul_f64((ahead + 1.0) / limit.max(1.0))
    }

    /// When a rejected caller may retry: once the callers rejected before it could have been served.
    pub(crate) fn retry_after(&mut self, spread: u32) -> Millis {
        self.rejected += 1.0;
        let backlog = self.backlog(self.rejected).as_f64() / self.limit.share();
        let spread = 0.75 + 0.5 * f64::from(spread % 64) / 64.0;
        Millis::from_f64(backlog.clamp(MIN_RETRY_MS, MAX_RETRY_MS) * spread)
    }
}

/// Why a query that waited is no longer in the queue.
#[derive(Copy, Clone, Debug)]
pub(crate) enum Left {
    /// It may start.
    Granted,
    /// It is rejected.
    Rejected(Reason),
}
