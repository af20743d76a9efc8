//! One upstream.

/// The store's entry for an upstream, and its distance.
mod entry;
/// Outcome of a send.
mod outcome;

pub use entry::{Distance, Entry};
pub use outcome::SendOutcome;

use crate::{
    Policy,
    fleet::Hop,
    load::Load,
    transition::Departure,
    warmup::{LeaseTerms, WriteLog},
};
use smallvec::SmallVec;
use tgw_clock::Millis;

/// Service time in ms assumed for a service before any reply was sampled.
const DEFAULT_SERVICE_TIME_MS: f64 = 10.0;

/// Time constant in ms with which a high latency decays to the prior (to a third): a recovered
/// straggler is tried again within seconds.
const LATENCY_DECAY_MS: f64 = 4_000.0;
/// Time in ms for which a reply counts towards the baseline of its service: several times
/// `LATENCY_DECAY_MS`, so that a service with few requests has a baseline.
const BASELINE_SAMPLE_RETENTION_MS: u64 = 20_000;
/// Lower bound of a service time in ms: the assumed round trip may exceed the real one.
const MIN_SERVICE_TIME_MS: f64 = 2.0;
/// Weight of a new sample in the average latency.
const LATENCY_SAMPLE_FACTOR: f64 = 0.2;
/// A sample counts as at most this many times the expected latency, plus `OUTLIER_MARGIN_MS`.
const OUTLIER_FACTOR: f64 = 2.0;
/// See `OUTLIER_FACTOR`; in ms, the variation of service time between requests.
const OUTLIER_MARGIN_MS: f64 = 10.0;
/// A send older than this many times the expected latency, plus `OVERDUE_MARGIN_MS`, is overdue.
const OVERDUE_FACTOR: f64 = 2.0;
/// See `OVERDUE_FACTOR`; in ms, above the jitter of a VM with a quarter of a core.
const OVERDUE_MARGIN_MS: f64 = 18.0;
/// Cost of an overdue send in ms in addition to its age: the rest of a pause of 200 ms, on average.
const OVERDUE_COST_MS: f64 = 100.0;
/// Factor on the cost of an upstream while it warms up.
const WARMUP_COST_FACTOR: f64 = 2.5;
/// Initial backoff in ms from an upstream that refused a connection or timed out; doubles.
const INITIAL_BACKOFF_MS: u64 = 150;
/// Upper bound of the backoff in ms.
const MAX_BACKOFF_MS: u64 = 2_400;
/// Time in ms after an unanswered send during which the upstream may come back cold without this VM
/// knowing: after that its entry is gone, or reports it.
const COLD_SUSPICION_TIMEOUT_MS: Millis = Millis::new(6_000);
/// Age in ms of a send at which its upstream may be unreachable: above a pause of 200 ms.
const UNREACHABLE_TIMEOUT_MS: Millis = Millis::new(500);
/// Limit on connections to one upstream that are being made at the same time.
const MAX_PENDING_CONNECTIONS: u32 = 2;
/// Cost of making a connection in ms: the upstream's share, without the round trip.
const CONNECT_COST_MS: f64 = 6.0;
/// Initial backoff in ms from making connections after a reset one; doubles.
const INITIAL_CONNECT_BACKOFF_MS: u64 = 40;
/// Upper bound of that backoff in ms.
const MAX_CONNECT_BACKOFF_MS: u64 = 640;
/// Interval in ms between two reports to other VMs about an upstream with an overdue send.
const OVERDUE_REPORT_INTERVAL_MS: u64 = 120;
/// Interval in ms between two reports about an upstream that replies slowly.
const SLOW_REPORT_INTERVAL_MS: u64 = 500;
/// An upstream is slow from this many times the latency assumed at its distance.
const SLOW_FACTOR: f64 = 2.5;
/// Time in ms for which a report of an overdue send counts: the rest of a pause of 200 ms once it
/// is detected.
const OVERDUE_REPORT_RETENTION_MS: u64 = 150;
/// Age in ms up to which this VM's own latest sample takes precedence over reports of other VMs.
const OWN_SAMPLE_PRECEDENCE_MS: u64 = 400;
/// Cost of an upstream during its backoff in ms: above all other costs, so that it is the last
/// choice.
const BACKOFF_COST_MS: f64 = 2_000.0;

/// Report about an upstream, from a VM to others that are as near to it.
#[derive(Copy, Clone, Debug, PartialEq)]
pub struct PeerReport {
    /// Whether a send to it is overdue.
    pub overdue: bool,
    /// Its expected latency, in ms.
    pub expected_latency_ms: f64,
}

/// A send in flight.
#[derive(Copy, Clone, Debug)]
struct PendingSend {
    number: u64,
    sent_at: Millis,
    /// Whether the request was written to the upstream.
    written: bool,
}

/// One upstream, with its state as observed from its replies.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its entry in the store.
    pub entry: Entry,
    /// Its distance from this VM.
    pub distance: Distance,
    policy: Policy,
    warm_at: Millis,
    in_flight: SmallVec<[PendingSend; 4]>,
    /// Until when it may be cold although its entry does not say so.
    possibly_cold_until: Millis,
    writes: WriteLog,
    last_write: Option<Millis>,
    latency_ms: f64,
    /// Latency in ms expected of an upstream at this distance without samples.
    prior_latency_ms: f64,
    sampled_at: Option<Millis>,
    /// The load reported in its latest reply, and when.
    load: Option<(Millis, Load)>,
    failure_rate: f64,
    backoff_until: Millis,
    backoff_steps: u32,
    connections: u32,
    connect_after: Millis,
    connection_resets: u32,
    /// Until when another VM's report of an overdue send counts.
    reported_overdue_until: Millis,
    reported_at: Millis,
}

impl Upstream {
    /// An upstream without observed state.
    pub fn new(now: Millis, entry: Entry, distance: Distance, policy: Policy) -> Self {
        let warm_at = now + entry.warmup;
        Self {
            entry,
            distance,
            policy,
            warm_at,
            in_flight: SmallVec::new(),
            possibly_cold_until: Millis::ZERO,
            writes: WriteLog::default(),
            last_write: None,
            latency_ms: DEFAULT_SERVICE_TIME_MS + distance.assumed_round_trip_ms(),
            prior_latency_ms: DEFAULT_SERVICE_TIME_MS + distance.assumed_round_trip_ms(),
            sampled_at: None,
            load: None,
            failure_rate: 0.0,
            backoff_until: Millis::ZERO,
            backoff_steps: 0,
            connections: 0,
            connect_after: Millis::ZERO,
            connection_resets: 0,
            reported_overdue_until: Millis::ZERO,
            reported_at: Millis::ZERO,
        }
    }

    /// Updates the entry of the same incarnation.
    pub fn update_entry(&mut self, now: Millis, entry: Entry) {
        self.warm_at = now + entry.warmup;
        self.entry = entry;
    }

    /// The number of sends in flight.
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX)
    }

    /// What was sent to it, for the log when it leaves.
    pub(crate) fn departure(&self) -> Departure {
        Departure {
            last_write: self.last_write,
            oldest_send: self.in_flight.iter().map(|send| send.sent_at).reduce(Millis::min),
            in_flight: self.in_flight(),
        }
    }

    /// Counts a connection that was made.
    pub fn connection_opened(&mut self) {
        self.connections += 1;
        self.connection_resets = 0;
    }

    /// Counts a connection that was closed.
    pub fn connection_closed(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Whether one more send finds a connection, or may make one within `limit`.
    pub fn has_room(&self, now: Millis, limit: u32) -> bool {
        if self.entry.draining {
            return false;
        }
        let in_flight = self.in_flight();
        // Each connection costs the upstream some ms of a slot. Many at once, as after a restart,
        // or repeated attempts at a full upstream, take the time that requests need.
        in_flight < self.connections
            || (in_flight < limit && !self.policy.spacing)
            || (in_flight < limit
                && in_flight < self.connections + MAX_PENDING_CONNECTIONS
                && now >= self.connect_after)
    }

    /// Whether one more send may be made through another VM, which has the connections.
    pub fn has_peer_room(&self, limit: u32) -> bool {
        !self.entry.draining && self.in_flight() < limit
    }

    /// Whether this VM should refuse to send to it on behalf of others: a report or its own sends
    /// show that the upstream is late or gone, which VMs of other regions learn later.
    pub fn is_suspected(&self, now: Millis) -> bool {
        now < self.backoff_until
            || now < self.reported_overdue_until
            || self.overdue_age(now).is_some()
    }

    /// Records a send.
    pub fn record_send(&mut self, now: Millis, number: u64) {
        self.in_flight.push(PendingSend { number, sent_at: now, written: false });
    }

    /// Whether it may be cold. With a warm-up rate limit, a suspicion is enough to apply the limit.
    pub fn is_cold(&self, now: Millis) -> bool {
        let oldest = self.in_flight.iter().map(|send| send.sent_at).min();
        now < self.warm_at.max(self.possibly_cold_until)
            || oldest.is_some_and(|at| now - at >= UNREACHABLE_TIMEOUT_MS)
    }

    /// Marks it as possibly cold; it is warm by `until`.
    pub(crate) fn mark_possibly_cold(&mut self, until: Millis) {
        self.possibly_cold_until = self.possibly_cold_until.max(until);
    }

    /// Whether its rate limit allows one more send from a VM that holds a lease with `terms`.
    pub(crate) fn allows_send(&self, now: Millis, terms: LeaseTerms) -> bool {
        let pending = self.in_flight.iter().filter(|send| !send.written).count();
        self.writes.allows(now, pending, terms)
    }

    /// Authorizes the write of a send's request; false if it exceeds the rate limit.
    pub(crate) fn authorize_write(
        &mut self,
        now: Millis,
        number: u64,
        terms: Option<LeaseTerms>,
    ) -> bool {
        if let Some(terms) = terms {
            if !self.writes.allows(now, 0, terms) {
                return false;
            }
            self.writes.record(now, terms);
        }
        self.last_write = Some(now);
        if let Some(send) = self.in_flight.iter_mut().find(|send| send.number == number) {
            send.written = true;
        }
        true
    }

    /// Records the outcome of a send.
    pub fn record_outcome(&mut self, now: Millis, number: u64, outcome: SendOutcome) {
        let Some(at) = self.in_flight.iter().position(|send| send.number == number) else { return };
        let PendingSend { sent_at: sent, .. } = self.in_flight.remove(at);
        match outcome {
            SendOutcome::Reply => {
                self.record_latency(now, (now - sent).as_f64());
                self.apply_reported_pace(sent);
                self.update_failure_rate(0.0);
                self.backoff_steps = 0;
                self.backoff_until = Millis::ZERO;
                self.reported_overdue_until = Millis::ZERO;
            }
            SendOutcome::Failure | SendOutcome::Broken => {
                self.update_failure_rate(1.0);
                self.backoff_steps = 0;
            }
            SendOutcome::Shed => {
                self.update_failure_rate(1.0);
                self.backoff_until = now + Millis::from_f64(self.policy.shed_avoid);
            }
            SendOutcome::Unreachable | SendOutcome::TimedOut => {
                self.update_failure_rate(1.0);
                self.back_off(now);
                self.mark_possibly_cold(now + COLD_SUSPICION_TIMEOUT_MS);
            }
            SendOutcome::ConnectionLimit => {
                let span = (INITIAL_CONNECT_BACKOFF_MS << self.connection_resets.min(8))
                    .min(MAX_CONNECT_BACKOFF_MS);
                self.connection_resets += 1;
                self.connect_after = now + Millis::new(span);
            }
            SendOutcome::PeerRefused | SendOutcome::Abandoned => {}
        }
    }

    /// Records that its address refuses connections. Its store entry remains for seconds; without
    /// the backoff, each request routed to it until a send fails loses an attempt.
    pub fn mark_unreachable(&mut self, now: Millis) {
        self.back_off(now);
    }

    fn update_failure_rate(&mut self, sample: f64) {
        self.failure_rate += self.policy.failure_weight * (sample - self.failure_rate);
    }

    fn back_off(&mut self, now: Millis) {
        let span = (INITIAL_BACKOFF_MS << self.backoff_steps.min(8)).min(MAX_BACKOFF_MS);
        self.backoff_steps += 1;
        self.backoff_until = now + Millis::new(span);
    }

    /// Adds a reply's latency to the average. The first one is taken as it is; later ones count as at
    /// most `OUTLIER_FACTOR` times the expected latency plus `OUTLIER_MARGIN_MS`, so that one reply
    /// delayed by a pause does not make the upstream look slow for seconds.
    fn record_latency(&mut self, now: Millis, ms: f64) {
        self.latency_ms = if self.sampled_at.is_none() {
            ms
        } else {
            let known = self.expected_latency_ms(now);
            // One request behind a pause of 200 ms would make an upstream 10 ms away look more
            // distant than another region for seconds. Pauses show as overdue sends while they
            // last, and an upstream that stays slow is detected after a few replies even so.
            let max_sample = known * OUTLIER_FACTOR + OUTLIER_MARGIN_MS;
            known + LATENCY_SAMPLE_FACTOR * (ms.min(max_sample) - known)
        };
        self.sampled_at = Some(now);
    }

    /// Applies the service time that the upstream reported, if it did since `sent`: one report says
    /// as much as many latencies, each of which includes a request's own service time and queueing
    /// on its way.
    fn apply_reported_pace(&mut self, sent: Millis) {
        let Some((_, load)) = self.load.filter(|(at, _)| *at >= sent) else { return };
        let usual = (self.prior_latency_ms - self.distance.assumed_round_trip_ms())
            .max(MIN_SERVICE_TIME_MS);
        let reported = self.distance.assumed_round_trip_ms() + usual * load.pace;
        self.latency_ms += self.policy.load_weight * (reported - self.latency_ms);
    }

    /// The expected latency in ms of a send with no other send in flight.
    pub fn expected_latency_ms(&self, now: Millis) -> f64 {
        let prior_latency_ms = self.prior_latency_ms;
        match self.sampled_at {
            // A low latency is kept; a high one decays, so that the upstream is tried again.
            // Otherwise an upstream that was slow once would never be asked again and never
            // recover.
            Some(at) if self.latency_ms > prior_latency_ms => {
                let remaining = (-(now - at).as_f64() / LATENCY_DECAY_MS).exp();
                prior_latency_ms + (self.latency_ms - prior_latency_ms) * remaining
            }
            Some(_) => self.latency_ms,
            None => prior_latency_ms,
        }
    }

    /// Records the load reported in a reply.
    pub(crate) fn record_load(&mut self, now: Millis, load: Load) {
        self.load = Some((now, load));
    }

    /// Its service time in ms, if it was sampled recently.
    pub fn service_time_ms(&self, now: Millis) -> Option<f64> {
        let is_recent = |at: &Millis| now - *at < Millis::new(BASELINE_SAMPLE_RETENTION_MS);
        self.sampled_at.filter(is_recent).map(|_| {
            (self.latency_ms - self.distance.assumed_round_trip_ms()).max(MIN_SERVICE_TIME_MS)
        })
    }

    /// Sets the baseline of its service: the service time in ms of the fastest upstream.
    pub fn set_baseline(&mut self, service_time_ms: f64) {
        self.prior_latency_ms = service_time_ms + self.distance.assumed_round_trip_ms();
    }

    /// The age of its oldest send, if overdue: the upstream is paused, unreachable or far slower
    /// than sampled.
    pub fn overdue_age(&self, now: Millis) -> Option<Millis> {
        let oldest = self.in_flight.iter().map(|send| send.sent_at).min()?;
        let age = now - oldest;
        (age.as_f64() > self.expected_latency_ms(now) * OVERDUE_FACTOR + OVERDUE_MARGIN_MS)
            .then_some(age)
    }

    /// The report for other VMs if it is late or slow; limited to one per interval.
    pub fn take_report(&mut self, now: Millis) -> Option<PeerReport> {
        let overdue = self.overdue_age(now).is_some();
        let due = self.policy.words
            && now
                >= self.reported_at
                    + Millis::new(if overdue {
                        OVERDUE_REPORT_INTERVAL_MS
                    } else {
                        SLOW_REPORT_INTERVAL_MS
                    });
        let expected_latency_ms = self.expected_latency_ms(now);
        let slow = expected_latency_ms > self.prior_latency_ms * SLOW_FACTOR;
        (due && (overdue || slow)).then(|| {
            self.reported_at = now;
            PeerReport { overdue, expected_latency_ms }
        })
    }

    /// Applies a report of another VM that is as near to the upstream.
    pub fn apply_report(
        &mut self,
        now: Millis,
        PeerReport { overdue, expected_latency_ms }: PeerReport,
    ) {
        // A VM that sends an upstream two requests a second runs into most pauses and slow
        // upstreams unwarned. A report from one VM of a region spares the others that.
        if overdue {
            self.reported_overdue_until = now + Millis::new(OVERDUE_REPORT_RETENTION_MS);
        }
        let has_recent_sample =
            self.sampled_at.is_some_and(|at| now - at < Millis::new(OWN_SAMPLE_PRECEDENCE_MS));
        if !has_recent_sample && expected_latency_ms > self.expected_latency_ms(now) {
            self.latency_ms = expected_latency_ms;
            self.sampled_at = Some(now);
        }
    }

    /// The expected cost of a send at `now`, in ms; the upstream with the lowest cost is the best
    /// choice.
    pub fn cost(&self, now: Millis, hop: Hop) -> f64 {
        let expected_latency_ms = self.expected_latency_ms(now);
        let slots = f64::from(self.entry.slots.max(1));
        let waiting = (f64::from(self.in_flight()) + 1.0 - slots).max(0.0) / slots;
        let mut cost =
            expected_latency_ms * (1.0 + waiting) + self.failure_rate * self.policy.failure_cost;
        if hop == Hop::Direct && self.in_flight() >= self.connections {
            cost += CONNECT_COST_MS;
        }
        if let Some(age) = self.overdue_age(now).filter(|_| self.policy.overdue) {
            cost += age.as_f64() + OVERDUE_COST_MS;
        }
        if now < self.reported_overdue_until && self.overdue_age(now).is_none() {
            cost += (self.reported_overdue_until - now).as_f64() + OVERDUE_COST_MS;
        }
        if now < self.warm_at && self.policy.warmup {
            cost *= WARMUP_COST_FACTOR;
        }
        if now < self.backoff_until && self.policy.avoids {
            cost += BACKOFF_COST_MS;
        }
        cost
    }
}
