use tgw_clock::Millis;

/// Time after the last overload for which the limit stays in force.
const MAX_CALM_MS: Millis = Millis::new(2_000);
/// Time between two changes of the limit, at least.
const STEP_MS: Millis = Millis::new(100);
/// Time after which the limit grows without evidence on the queries that it let in.
const BLIND_STEP_MS: Millis = Millis::new(800);
/// Factors of one change, at most.
const MIN_STEP_FACTOR: f64 = 0.7;
const MAX_STEP_FACTOR: f64 = 1.4;
/// Gain of a change on the relative difference of the wait from its target.
const GAIN: f64 = 0.35;
/// Bounds of the limit: below one, a share of the queries is admitted, one at a time.
const MIN_LIMIT: f64 = 0.1;
const MAX_LIMIT: f64 = 1e6;
/// Share of the queries that a VM with less than one query in flight admits at first.
const INITIAL_SHARE: f64 = 0.4;

/// The standing queue at the services of a group, compared to what is aimed at.
#[derive(Copy, Clone, Debug, PartialEq)]
pub struct Pressure {
    /// The shortest wait at the lowest-capacity service that a query needs, in ms.
    pub wait_ms: f64,
    /// The wait aimed at, in ms.
    pub target_ms: f64,
}

/// A limit on queries that run at once. It is in force from the first standing queue until none was
/// seen, and no query waited, for 2 s.
#[derive(Debug, Default)]
pub struct Limit {
    /// `None` while it is not in force.
    limit: Option<f64>,
    overloaded_at: Millis,
    stepped_at: Millis,
    used: bool,
}

impl Limit {
    /// The number of queries that may run at once, or below one the share that is admitted; `None`
    /// if the limit is not in force.
    pub fn value(&self) -> Option<f64> {
        self.limit
    }

    /// The share of the queries that is admitted.
    pub fn share(&self) -> f64 {
        self.limit.map_or(1.0, |limit| limit.min(1.0))
    }

    /// When the limit last changed: only replies to requests sent since tell whether it fits.
    pub fn stepped_at(&self) -> Millis {
        self.stepped_at
    }

    /// Puts the limit in force if it is not; `sustainable` is the number of queries in flight with
    /// which upstreams serve as many as now without a queue.
    pub fn record_overload(&mut self, now: Millis, sustainable: f64) {
        self.overloaded_at = now;
        if self.limit.is_none() {
            let initial = if sustainable < 1.0 { INITIAL_SHARE } else { sustainable };
            self.limit = Some(bound(initial));
            self.stepped_at = now;
        }
    }

    /// Changes the limit by the evidence on queries sent since its last change, if there is any.
    pub fn update(&mut self, now: Millis, pressure: Option<Pressure>) {
        let Some(limit) = self.limit else { return };
        if self.used {
            self.overloaded_at = self.overloaded_at.max(now);
        }
        if now - self.overloaded_at > MAX_CALM_MS {
            *self = Self::default();
            return;
        }
        let least = if pressure.is_some() { STEP_MS } else { BLIND_STEP_MS };
        if now - self.stepped_at < least {
            return;
        }
        let difference = pressure.map_or(1.0, |p| (p.target_ms - p.wait_ms) / p.target_ms.max(1.0));
        let factor = (1.0 + GAIN * difference).clamp(MIN_STEP_FACTOR, MAX_STEP_FACTOR);
        if factor < 1.0 || self.used {
            self.limit = Some(bound(limit * factor));
        }
        self.stepped_at = now;
        self.used = false;
    }

    /// Whether one more query may start beside `running` ones.
    pub fn has_room(&self, running: usize) -> bool {
        self.limit.is_none_or(|limit| (running as f64) < limit.max(1.0))
    }

    /// Records that a query has to wait or is rejected because of the limit.
    pub fn record_use(&mut self) {
        self.used = true;
    }
}

fn bound(limit: f64) -> f64 {
    if limit.is_finite() { limit.clamp(MIN_LIMIT, MAX_LIMIT) } else { MAX_LIMIT }
}
