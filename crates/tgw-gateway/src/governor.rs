use std::cell::Cell;
use tgw_clock::Millis;

/// Length of the interval that limits count for, in ms.
const INTERVAL_MS: u64 = 1_000;
/// Lines in an interval about ordinary requests: a sample that shows what usual looks like.
const ORDINARY: u32 = 5;
/// Lines in an interval about failures, refusals and second sends: at 10 µs a line less than 1 % of
/// a quarter of a core.
const NOTABLE: u32 = 200;

/// Bounds the lines written about requests. Failures, refusals and second sends go before ordinary
/// requests; what is left out is counted and told in a line of its own.
#[derive(Debug, Default)]
pub(crate) struct Governor {
    interval: Cell<u64>,
    ordinary: Cell<u32>,
    notable: Cell<u32>,
    left_out: Cell<u32>,
    total: Cell<u64>,
}

impl Governor {
    /// Whether a line about an ordinary request may be written.
    pub(crate) fn ordinary(&self, now: Millis) -> bool {
        self.take(now, &self.ordinary, ORDINARY, false)
    }

    /// Whether a line about something notable may be written.
    pub(crate) fn notable(&self, now: Millis) -> bool {
        self.take(now, &self.notable, NOTABLE, true)
    }

    /// Lines left out since the start.
    pub(crate) fn left_out(&self) -> u64 {
        self.total.get()
    }

    fn take(&self, now: Millis, counter: &Cell<u32>, limit: u32, count: bool) -> bool {
        let interval = now.whole() / INTERVAL_MS;
        if interval != self.interval.replace(interval) {
            self.ordinary.set(0);
            self.notable.set(0);
            let left_out = self.left_out.replace(0);
            if left_out > 0 {
                tracing::warn!(left_out, "log lines left out in the last interval");
            }
        }
        let taken = counter.get();
        if taken >= limit {
            if count {
                self.left_out.set(self.left_out.get() + 1);
                self.total.set(self.total.get() + 1);
            }
            return false;
        }
        counter.set(taken + 1);
        true
    }
}
