use crate::Budget;
use tgw_clock::Millis;

/// How strongly one hedge raises the delay; completions lower it in proportion to the target.
const GAIN: f64 = 0.04;
/// The part of the budget that the delay is steered to, so that the budget itself does not bind.
const AIM: f64 = 0.85;
/// Hedges that may be saved up for a burst of stragglers.
const BURST: f64 = 12.0;
const START_MS: f64 = 30.0;
const LEAST_MS: f64 = 1.0;
const MOST_MS: f64 = 2000.0;

/// Finds the age at which a running request is hedged.
///
/// The delay follows the quantile of the running requests' ages at which hedges make up a set part of
/// the allowed share: each hedge raises it, each request lowers it, and the two balance there
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

    /// Sets the allowed share, as after an edit of the table.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
        self.budget.set_share(share);
    }

    /// Counts one request that was not a hedge.
    pub fn request(&mut self) {
        self.budget.earn();
        self.delay = (self.delay * (-GAIN * self.share * AIM).exp()).max(LEAST_MS);
    }

    /// The age at which a request is late.
    pub fn delay(&self) -> Millis {
        Millis::from_f64(self.delay)
    }

    /// Takes one hedge from the budget for a late request; false if there is none to take.
    pub fn fire(&mut self) -> bool {
        if self.share <= 0.0 {
            return false;
        }
        self.delay = (self.delay * (GAIN * (1.0 - self.share * AIM)).exp()).min(MOST_MS);
        self.budget.spend()
    }
}
