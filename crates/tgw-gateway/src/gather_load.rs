//! How many queries a VM gathers for others, and when a caller may retry whose query it did not take.

use tgw_clock::Millis;

/// Most queries that a whole core makes at once. At 50 ms each these are 1,300 a second.
const MAX_RUNNING_PER_CORE: usize = 64;
/// Most queries held, those that wait for admission included, as a multiple of those made at once.
const MAX_HELD_FACTOR: usize = 4;
/// Time that a query is expected to take before any has ended.
const INITIAL_DURATION_MS: f64 = 50.0;
/// Weight of the newest query in the mean duration.
const DURATION_WEIGHT: f64 = 0.1;
/// What one query that was not taken adds to the backlog: the VM it came from asks two gatherers before it rejects it.
const REJECTION_WEIGHT: f64 = 0.5;
/// Fraction of the rejections that is remembered after a tick of 100 ms: most callers return within a second.
const REJECTION_RETENTION: f64 = 0.9;
/// Bounds of the retry delay. Spread over one to three times the delay, all rejected callers are back within 2 s.
const MIN_RETRY_MS: f64 = 50.0;
const MAX_RETRY_MS: f64 = 650.0;

/// The load of a VM that gathers queries for others.
#[derive(Debug)]
pub struct GatherLoad {
    max_running: usize,
    mean_duration_ms: f64,
    /// Rejected queries whose callers are expected to retry.
    rejected: f64,
}

impl GatherLoad {
    /// The load of a VM with `power` thousandths of a core, before its first query.
    pub fn new(power: u32) -> Self {
        Self {
            max_running: (MAX_RUNNING_PER_CORE * power as usize / 1_000).max(1),
            mean_duration_ms: INITIAL_DURATION_MS,
            rejected: 0.0,
        }
    }

    /// Whether no further query can be taken while `held` are, of which `waiting` wait for admission.
    pub fn is_full(&self, held: usize, waiting: usize) -> bool {
        let running = held.saturating_sub(waiting);
        running >= self.max_running || held >= self.max_running * MAX_HELD_FACTOR
    }

    /// Records a query that ended `duration` after it was taken.
    pub fn record_end(&mut self, duration: Millis) {
        self.mean_duration_ms += (duration.as_f64() - self.mean_duration_ms) * DURATION_WEIGHT;
    }

    /// Records a query that was not taken.
    pub fn record_rejection(&mut self) {
        self.rejected += REJECTION_WEIGHT;
    }

    /// Periodic work, each 100 ms.
    pub fn tick(&mut self) {
        self.rejected *= REJECTION_RETENTION;
    }

    /// The time until the `held` queries and those whose callers return are served, at the rate at which queries end.
    pub fn retry_after(&self, held: usize) -> Millis {
        let held = held.max(1) as f64;
        let backlog_ms = self.mean_duration_ms * (held + self.rejected) / held;
        Millis::from_f64(backlog_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS))
    }
}
