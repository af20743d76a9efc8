use super::scenario::Scenario;
use rand::{Rng, rngs::SmallRng};
use tgw_clock::Millis;
use tgw_forward::load::Load;

/// Requests that an upstream works on at once.
pub(super) const SLOTS: usize = 3;
/// Requests that queue before more are shed.
const QUEUE_LIMIT: usize = 18;
/// Length and interval of an upstream's pauses, in ms.
const PAUSE_MS: f64 = 250.0;
const PAUSE_INTERVAL_MS: f64 = 6_000.0;
/// Effects of the faults: share of requests shed, share of replies lost.
const SHED_RATIO: f64 = 0.6;
const LOST_REPLY_RATIO: f64 = 0.4;
/// Share of load reports that are distorted by other work on the machine, and the factor by which
/// that slows them.
const NOISY_REPORT_RATIO: f64 = 0.03;
const NOISE_FACTOR: f64 = 4.0;
/// Time in ms after which a deadly query ends its upstream; how long the upstream is gone and then
/// cold; and the factor on the service time of a cold upstream.
const DEADLY_WORK_MS: f64 = 5.0;
const RESTART_MS: f64 = 3_200.0;
const COLD_DURATION_MS: f64 = 3_000.0;
const COLD_FACTOR: f64 = 1.6;

/// How one request ends.
#[derive(Copy, Clone, Debug, PartialEq)]
pub(super) enum Outcome {
    /// Answered at this time.
    Done(Millis),
    /// Runs until this time, and its reply is lost.
    ReplyLost(Millis),
    /// Shed at once.
    Shed,
    /// Never answered.
    Unanswered,
    /// Refused, as no process listens there.
    Refused,
    /// The upstream ends at this time, with every request that it holds.
    Ends(Millis),
}

/// One upstream: a queue in front of some slots.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    fault: Option<Scenario>,
    /// When its first pause begins, in ms.
    first_pause_at: f64,
    /// When each slot becomes free.
    free: [f64; SLOTS],
    /// When each request that it holds ends.
    ends: Vec<f64>,
    /// Number of restarts.
    generation: u32,
    /// Time in ms until which it is gone after it ended.
    down_until: f64,
}

impl Upstream {
    pub(super) fn new(scenario: Scenario, rng: &mut SmallRng) -> Self {
        let affected = rng.random_bool(scenario.affected_ratio());
        let first_pause_at = rng.random_range(0.0..PAUSE_INTERVAL_MS);
        let fault = affected.then_some(scenario);
        let (free, ends) = ([0.0; SLOTS], Vec::new());
        Self { fault, first_pause_at, free, ends, generation: 0, down_until: f64::MIN }
    }

    fn fault(&self, at: f64) -> Option<Scenario> {
        self.fault.filter(|scenario| scenario.fault_period().contains(&at))
    }

    /// The end of the pause at time `at`, or `at` itself outside a pause.
    fn end_of_pause(&self, at: f64) -> f64 {
        let into = (at - self.first_pause_at).rem_euclid(PAUSE_INTERVAL_MS);
        if into < PAUSE_MS { at + PAUSE_MS - into } else { at }
    }

    /// End of `work` ms of work that start at `start`, pauses included.
    fn finish(&self, start: f64, work: f64) -> f64 {
        let start = self.end_of_pause(start);
        let until_pause =
            PAUSE_INTERVAL_MS - (start - self.first_pause_at).rem_euclid(PAUSE_INTERVAL_MS);
        if work <= until_pause { start + work } else { start + work + PAUSE_MS }
    }

    /// How a request with `work` ms of work that arrives at `at` would end; `draw`, from 0 to 1,
    /// stands for chance.
    pub(super) fn outcome(&self, at: Millis, work: f64, draw: f64) -> Outcome {
        let at = at.as_f64();
        let fault = self.fault(at);
        if at < self.down_until {
            return Outcome::Refused;
        }
        match fault {
            Some(Scenario::DarkAcross) => return Outcome::Unanswered,
            Some(Scenario::ShedAcross) if draw < SHED_RATIO => return Outcome::Shed,
            _ => {}
        }
        if self.ends.iter().filter(|end| **end > at).count() >= SLOTS + QUEUE_LIMIT {
            return Outcome::Shed;
        }
        let cold = if at < self.down_until + COLD_DURATION_MS { COLD_FACTOR } else { 1.0 };
        let slower = fault.map_or(1.0, Scenario::slowdown_factor) * cold;
        let free = self.free.iter().copied().fold(f64::MAX, f64::min);
        let end = Millis::from_f64(self.finish(free.max(at), work * slower));
        let lost = fault == Some(Scenario::RepliesLost) && draw < LOST_REPLY_RATIO;
        if lost { Outcome::ReplyLost(end) } else { Outcome::Done(end) }
    }

    /// The load that it reports with a reply at `at`; `draw`, from 0 to 1, stands for the noise of
    /// other work on its machine.
    pub(super) fn load(&self, at: Millis, draw: f64) -> Load {
        let at = at.as_f64();
        let held = self.ends.iter().filter(|end| **end > at).count();
        let running = held.min(SLOTS);
        let noise = if draw < NOISY_REPORT_RATIO { NOISE_FACTOR } else { 1.0 };
        let slower = self.fault(at).map_or(1.0, Scenario::slowdown_factor);
        Load {
            running: running as u32,
            waiting: (held - running) as u32,
            slots: SLOTS as u32,
            pace: slower * noise,
        }
    }

    /// Accepts a query that ends the upstream.
    pub(super) fn arrive_deadly(&mut self, at: Millis) -> Outcome {
        match self.outcome(at, DEADLY_WORK_MS, 1.0) {
            Outcome::Done(end) => Outcome::Ends(end),
            other => other,
        }
    }

    /// Number of restarts.
    pub(super) fn generation(&self) -> u32 {
        self.generation
    }

    /// Ends the process; returns when the next one starts in its place.
    pub(super) fn end(&mut self, at: Millis) -> Millis {
        self.generation += 1;
        self.down_until = at.as_f64() + RESTART_MS;
        self.free = [self.down_until; SLOTS];
        self.ends.clear();
        Millis::from_f64(self.down_until)
    }

    /// Accepts a request, and occupies a slot until it ends.
    pub(super) fn arrive(&mut self, at: Millis, work: f64, draw: f64) -> Outcome {
        let outcome = self.outcome(at, work, draw);
        if let Outcome::Done(end) | Outcome::ReplyLost(end) = outcome {
            self.ends.retain(|e| *e > at.as_f64());
            self.ends.push(end.as_f64());
            if let Some(slot) = self.free.iter_mut().min_by(|a, b| a.total_cmp(b)) {
                *slot = end.as_f64();
            }
        }
        outcome
    }
}
