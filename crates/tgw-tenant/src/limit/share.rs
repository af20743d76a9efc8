use crate::Allowance;
use tgw_clock::Millis;

/// Parts of the headroom beyond the allowance: of a settled holder, of a new one, and of each of two backups.
/// With a full bucket and the refill of one window for each backup, and a new holder in each region, they stay
/// below the whole: 0.3 + 0.2 + 2 x (0.1 + 0.1) = 0.9. The rest covers the time between a decision and its
/// request.
const HOLDER_PART: f64 = 0.3;
const NEW_HOLDER_PART: f64 = 0.2;
const BACKUP_PART: f64 = 0.1;
/// Part of a holder's refill that a new one gets while the previous one may not have stopped.
const NEW_HOLDER_REFILL: f64 = 0.5;

/// Largest rate, burst, excess or slack that is computed with. Sums of tokens of this size are still exact to a tenth of one.
const MAX_FIGURE: f64 = 1e12;

/// How the operators measure the limits of tenants.
#[derive(Copy, Clone, Debug, PartialEq)]
pub struct Terms {
    /// Length of the spans in which requests are counted.
    pub window: Millis,
    /// Factor of the allowance by which the sum over all VMs may exceed it.
    pub excess: f64,
    /// Requests by which the sum may exceed it besides.
    pub slack: f64,
    /// The number of regions that hold a part of each limit; the same on all VMs.
    pub regions: usize,
}

impl Default for Terms {
    /// Terms without headroom, for operators that state none.
    fn default() -> Self {
        Self { window: Millis::new(5_000), excess: 0.0, slack: 0.0, regions: 1 }
    }
}

/// One VM's part of a limit.
#[derive(Copy, Clone, Debug, PartialEq)]
pub(super) struct Share {
    /// What it may admit in the long run of a window.
    pub(super) tokens_per_ms: f64,
    /// What it may admit at once.
    pub(super) capacity: f64,
    /// What all holders together may admit at once, which only a change of the limit changes.
    pub(super) whole_capacity: f64,
}

impl Share {
    /// The part of this share in a raise of the whole capacity since it was `before`.
    pub(super) fn part_of_raise(&self, before: f64) -> f64 {
        let raise = (self.whole_capacity - before).max(0.0);
        if raise > 0.0 { raise / self.whole_capacity * self.capacity } else { 0.0 }
    }
}

impl Terms {
    /// Most requests of a tenant in any window.
    pub fn limit(&self, allowance: Allowance) -> f64 {
        self.allowed(allowance) + self.headroom(allowance)
    }

    /// The share of a region's holder, of whose VMs the part `live` answers.
    pub(super) fn holder_share(&self, allowance: Allowance, live: f64) -> Share {
        let part = live / self.regions() as f64;
        let whole_capacity = self.whole_capacity(allowance);
        let window_ms = self.window.as_f64().max(1.0);
        let in_window = (per_ms(allowance) * window_ms + whole_capacity) * part;
        // A capacity below one request would admit none, even if the rate allows some.
        let capacity = (whole_capacity * part).max(in_window.min(1.0));
        Share { tokens_per_ms: (in_window - capacity) / window_ms, capacity, whole_capacity }
    }

    /// The share of a holder of whose predecessor this VM cannot be certain that it has stopped.
    pub(super) fn new_holder_share(&self, allowance: Allowance, live: f64) -> Share {
        let settled = self.holder_share(allowance, live);
        let capacity = NEW_HOLDER_PART * self.headroom(allowance) / self.regions() as f64;
        Share { tokens_per_ms: settled.tokens_per_ms * NEW_HOLDER_REFILL, capacity, ..settled }
    }

    /// The share of a VM that is asked in place of a holder that does not answer.
    pub(super) fn backup_share(&self, allowance: Allowance) -> Share {
        let capacity = BACKUP_PART * self.headroom(allowance) / self.regions() as f64;
        let tokens_per_ms = capacity / self.window.as_f64().max(1.0);
        Share { tokens_per_ms, capacity, whole_capacity: self.whole_capacity(allowance) }
    }

    fn whole_capacity(&self, allowance: Allowance) -> f64 {
        bounded(allowance.burst) + HOLDER_PART * self.headroom(allowance)
    }

    fn allowed(&self, allowance: Allowance) -> f64 {
        per_ms(allowance) * self.window.as_f64() + bounded(allowance.burst)
    }

    fn headroom(&self, allowance: Allowance) -> f64 {
        self.allowed(allowance) * bounded(self.excess) + bounded(self.slack)
    }

    fn regions(&self) -> usize {
        self.regions.max(1)
    }
}

fn per_ms(allowance: Allowance) -> f64 {
    bounded(allowance.rate_per_s) / 1_000.0
}

/// A figure of a configuration that sums of tokens can be computed with: what is not a number or negative admits
/// nothing.
fn bounded(figure: f64) -> f64 {
    if figure.is_nan() { 0.0 } else { figure.clamp(0.0, MAX_FIGURE) }
}
