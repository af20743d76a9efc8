use crate::Budget;
use tgw_clock::Millis;

/// How strongly one hedge raises the delay; completions lower it in proportion to the target.
const GAIN: f64 = 0.04;
/// The part of the budget that late requests are steered to. Some of them end or find no free
/// upstream before they are hedged, so that a little more than all leaves the budget unbound.
const AIM: f64 = 1.05;
/// Hedges that may be saved up for a burst of stragglers.
const BURST: f64 = 12.0;
const LEAST_AIM: f64 = 0.005;
const MOST_AIM: f64 = 0.1;
const START_MS: f64 = 30.0;
const LEAST_MS: f64 = 1.0;
const MOST_MS: f64 = 2000.0;

/// Finds the age at which a running request is hedged.
///
/// The delay follows the quantile of the requests' running times that leaves a set part of the allowed
/// share above it: each late request raises it, each request lowers it, and the two balance there
/// (stochastic approximation of a quantile). The budget behind it is a hard bound.
#[derive(Clone, Debug)]
pub struct Hedge {
    delay: f64,
    share: f64,
    budget: Budget,
}

impl Hedge {
    /// `share` is the extra load allowed, as a part of all requests (0.03 for 3%).
    pub fn new(share: f64) -> Self {
        Self { delay: START_MS, share, budget: Budget::new(share, BURST) }
    }

    /// Begins with a delay of `start` instead of the usual one.
    pub fn starting(self, start: Millis) -> Self {
        Self { delay: start.as_f64().max(LEAST_MS), ..self }
    }

    /// Sets the allowed share, as after an edit of the table.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
        self.budget.set_share(share);
    }

    /// Counts one request that was not a hedge.
    pub fn request(&mut self) {
        self.budget.earn();
        self.delay = (self.delay * (-GAIN * self.aim()).exp()).max(LEAST_MS);
    }

    /// The part of the requests that should become late. Without a budget there still is one: being
    /// late also tells stragglers apart.
    fn aim(&self) -> f64 {
        (self.share * AIM).clamp(LEAST_AIM, MOST_AIM)
    }

    /// The age at which a request is late.
    pub fn delay(&self) -> Millis {
        Millis::from_f64(self.delay)
    }

    /// Counts one request that has just become late, whether or not it can be hedged.
    pub fn late(&mut self) {
        // Raised by hedges alone, the delay of a group where none can be placed would sink until
        // every request counted as late and every upstream as a straggler.
        self.delay = (self.delay * (GAIN * (1.0 - self.aim())).exp()).min(MOST_MS);
    }

    /// Takes one hedge from the budget for a late request; false if there is none to take.
    pub fn fire(&mut self) -> bool {
        self.share > 0.0 && self.budget.spend()
    }
}
