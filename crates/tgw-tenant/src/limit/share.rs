use crate::Allowance;
use tgw_clock::Millis;

/// Parts of the headroom beyond the allowance: of a settled holder, of a new one, of each of two backups, and of a
/// VM that cannot tell whether there are others. With a full bucket and the refill of one window for each backup
/// and for two such VMs, and a new holder in each region, they stay below the whole:
/// 0.25 + 0.2 + 2 x (0.1 + 0.1) + 2 x (0.025 + 0.025) = 0.95. The rest covers the time between a decision and its
/// request.
const HOLDER_PART: f64 = 0.25;
const NEW_HOLDER_PART: f64 = 0.2;
const BACKUP_PART: f64 = 0.1;
const UNINFORMED_PART: f64 = 0.025;
/// Part of a holder's refill that a new one gets while the previous one may not have stopped.
const NEW_HOLDER_REFILL: f64 = 0.5;

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

/// Size and refill of one bucket.
#[derive(Copy, Clone, Debug, PartialEq)]
pub(super) struct Share {
    pub(super) tokens_per_ms: f64,
    pub(super) capacity: f64,
}

impl Terms {
    /// Most requests of a tenant in any window.
    pub fn limit(&self, allowance: Allowance) -> f64 {
        self.allowed(allowance) + self.headroom(allowance)
    }

    /// The share of a region's holder, of whose VMs the part `live` answers.
    pub(super) fn holder_share(&self, allowance: Allowance, live: f64) -> Share {
        let part = live / self.regions() as f64;
        let capacity = allowance.burst + HOLDER_PART * self.headroom(allowance);
        Share { tokens_per_ms: allowance.rate_per_s / 1_000.0 * part, capacity: capacity * part }
    }

    /// The share of a holder of whose predecessor this VM cannot be certain that it has stopped.
    pub(super) fn new_holder_share(&self, allowance: Allowance, live: f64) -> Share {
        let tokens_per_ms = self.holder_share(allowance, live).tokens_per_ms * NEW_HOLDER_REFILL;
        let capacity = NEW_HOLDER_PART * self.headroom(allowance) / self.regions() as f64;
        Share { tokens_per_ms, capacity }
    }

    /// The share of a VM that is asked in place of a holder that does not answer.
    pub(super) fn backup_share(&self, allowance: Allowance) -> Share {
        let capacity = BACKUP_PART * self.headroom(allowance) / self.regions() as f64;
        Share { tokens_per_ms: capacity / self.window.as_f64().max(1.0), capacity }
    }

    /// The share of a VM that cannot tell whether there are others. There may be as many of them as VMs that start, in
    /// whatever region, so it is no part of the limit but of what may exceed it.
    pub(super) fn uninformed_share(&self, allowance: Allowance) -> Share {
        let part = UNINFORMED_PART * self.headroom(allowance);
        // Less than a whole token would never admit anything.
        let capacity = part.max(1.0).min(BACKUP_PART * self.headroom(allowance));
        Share { tokens_per_ms: part / self.window.as_f64().max(1.0), capacity }
    }

    fn allowed(&self, Allowance { rate_per_s, burst }: Allowance) -> f64 {
        rate_per_s * self.window.as_f64() / 1_000.0 + burst
    }

    fn headroom(&self, allowance: Allowance) -> f64 {
        self.allowed(allowance) * self.excess + self.slack
    }

    fn regions(&self) -> usize {
        self.regions.max(1)
    }
}
