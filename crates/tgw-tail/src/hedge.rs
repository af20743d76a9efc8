use crate::Budget;
use tgw_clock::Millis;

/// How strongly one late request raises the delay; each request lowers it in proportion to the target
/// fraction of late requests.
const DELAY_GAIN: f64 = 0.04;
/// The target fraction of late requests, as a multiple of the allowed ratio of hedges. Some late
/// requests end or find no free upstream before they are hedged, so that slightly more than 1 lets
/// the whole budget be used.
const LATE_FRACTION_FACTOR: f64 = 1.05;
/// The number of hedges that may be saved for a burst of stragglers.
const BURST_HEDGES: f64 = 12.0;
const MIN_LATE_FRACTION: f64 = 0.005;
const MAX_LATE_FRACTION: f64 = 0.1;
const INITIAL_DELAY_MS: f64 = 30.0;
const MIN_DELAY_MS: f64 = 1.0;
const MAX_DELAY_MS: f64 = 2000.0;

/// Determines the delay after which a request in flight is hedged.
///
/// The delay follows a quantile of the requests' running times (stochastic approximation): each late
/// request raises it and each request lowers it, so that it settles where the target fraction of
/// requests is late. The budget is a hard limit on top.
#[derive(Clone, Debug)]
pub struct Hedge {
    delay_ms: f64,
    ratio: f64,
    budget: Budget,
}

impl Hedge {
    /// `ratio` is the allowed extra load as a fraction of all requests (0.03 for 3%).
    pub fn new(ratio: f64) -> Self {
        Self { delay_ms: INITIAL_DELAY_MS, ratio, budget: Budget::new(ratio, BURST_HEDGES) }
    }

    /// Replaces the default initial delay.
    pub fn with_initial_delay(self, initial: Millis) -> Self {
        Self { delay_ms: initial.as_f64().max(MIN_DELAY_MS), ..self }
    }

    /// Sets the allowed extra load, which a new edition of the table may change.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
        self.budget.set_ratio(ratio);
    }

    /// Records one request that is not a hedge.
    pub fn record_request(&mut self) {
        self.budget.earn();
        self.delay_ms =
            (self.delay_ms * (-DELAY_GAIN * self.late_fraction()).exp()).max(MIN_DELAY_MS);
    }

    /// The target fraction of late requests. It is positive even without a budget, since late requests
    /// also identify stragglers.
    fn late_fraction(&self) -> f64 {
        (self.ratio * LATE_FRACTION_FACTOR).clamp(MIN_LATE_FRACTION, MAX_LATE_FRACTION)
    }

    /// The age from which a request is late.
    pub fn delay(&self) -> Millis {
        Millis::from_f64(self.delay_ms)
    }

    /// Records one request that has just become late, whether or not it can be hedged.
    pub fn record_late(&mut self) {
        // If only hedges raised it, the delay of a group that has no upstream for hedges would fall
        // until every request was late and every upstream a straggler.
        self.delay_ms =
            (self.delay_ms * (DELAY_GAIN * (1.0 - self.late_fraction())).exp()).min(MAX_DELAY_MS);
    }

    /// Spends one hedge of the budget on a late request; false if the budget is exhausted or zero.
    pub fn try_spend(&mut self) -> bool {
        self.ratio > 0.0 && self.budget.try_spend()
    }
}
