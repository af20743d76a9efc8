use std::cell::Cell;
use tgw_clock::Millis;

/// Length of the interval to which the line limits apply.
const INTERVAL_MS: u64 = 1_000;
/// Lines per interval about requests served as usual: a small sample for comparison.
const ROUTINE_LINES: u32 = 5;
/// Lines per interval about single sends: at 10 µs a line, about 1 % of a quarter of a core.
const DETAIL_LINES: u32 = 200;
/// Lines per interval about requests that failed, were refused, late or partial. With one line
/// each, every failure is logged up to 300 a second, more than a VM of half a core serves.
const OUTCOME_LINES: u32 = 300;

/// Lines per interval about upstreams that ended under a send. This covers all upstreams of a
/// service ending at once, and is a limit of its own so that a flood of failed requests does not
/// hide any of them.
const CRASH_LINES: u32 = 100;

/// Lines per interval about rejected queries. Under overload they are more than those about failures, which they must
/// not displace.
const REJECTION_LINES: u32 = 200;
/// Lines per interval about changes of the level of overload.
const LEVEL_LINES: u32 = 4;

/// Category of a log line about a request; each has its own limit.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Category {
    /// A request served as usual.
    Routine,
    /// A second send, a withheld send or a failed send.
    Detail,
    /// The answer to a request that was not served as usual.
    Outcome,
    /// An upstream that ended under a send, or a send to an upstream whose entry is missing.
    Crash,
    /// A query that was rejected before anything was sent.
    Rejection,
    /// A change of the level of overload.
    Level,
}

/// Limits the number of log lines about requests.
///
/// Each category has a limit of its own, so that a flood of second sends does not displace the
/// answers that name the cause. Lines left out are counted, and the count is logged in a line of
/// its own.
#[derive(Debug, Default)]
pub struct Limiter {
    interval: Cell<u64>,
    written: [Cell<u32>; 6],
    left_out: Cell<u32>,
    left_out_total: Cell<u64>,
}

impl Limiter {
    /// Whether a line of this category may be written.
    pub fn allows(&self, now: Millis, category: Category) -> bool {
        self.start_interval(now);
        let (counter, limit) = match category {
            Category::Routine => (&self.written[0], ROUTINE_LINES),
            Category::Detail => (&self.written[1], DETAIL_LINES),
            Category::Outcome => (&self.written[2], OUTCOME_LINES),
            Category::Crash => (&self.written[3], CRASH_LINES),
            Category::Rejection => (&self.written[4], REJECTION_LINES),
            Category::Level => (&self.written[5], LEVEL_LINES),
        };
        let written = counter.get();
        if written < limit {
            counter.set(written + 1);
            return true;
        }
        if category != Category::Routine {
            self.left_out.set(self.left_out.get() + 1);
            self.left_out_total.set(self.left_out_total.get() + 1);
        }
        false
    }

    /// Lines left out since the start, not counting those about requests served as usual.
    pub fn left_out(&self) -> u64 {
        self.left_out_total.get()
    }

    fn start_interval(&self, now: Millis) {
        let interval = now.as_whole_ms() / INTERVAL_MS;
        if interval == self.interval.replace(interval) {
            return;
        }
        self.written.iter().for_each(|counter| counter.set(0));
        let left_out = self.left_out.replace(0);
        if left_out > 0 {
            tracing::warn!(left_out, "log lines left out in the last interval");
        }
    }
}
