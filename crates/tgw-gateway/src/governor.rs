use std::cell::Cell;
use tgw_clock::Millis;

/// Length of the interval that limits count for, in ms.
const INTERVAL_MS: u64 = 1_000;
/// Lines in an interval about ordinary requests: a sample that shows what usual looks like.
const ORDINARY: u32 = 5;
/// Lines in an interval about single sends: at 10 µs a line about 1 % of a quarter of a core.
const DETAIL: u32 = 200;
/// Lines in an interval about requests that failed, were refused, late or partial: one each, so that
/// also where all fail each is told up to 300 a second, more than a VM of half a core serves.
const OUTCOME: u32 = 300;

/// Lines in an interval about upstreams that ended under a send: more than end at once, as all of a service do,
/// and so few that a flood of requests that fail for it hides none.
const LOSS: u32 = 100;

/// What a line about a request is worth when there are too many.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Rank {
    /// A request that was served as it should.
    Ordinary,
    /// A second send, one that was withheld, one that failed.
    Detail,
    /// The answer of a request that was not served as it should.
    Outcome,
    /// An upstream that ended under a send.
    Loss,
}

/// Bounds the lines written about requests.
///
/// Each rank has an allowance of its own: a flood of second sends leaves out none of the answers that
/// name the cause. What is left out is counted and told in a line of its own.
#[derive(Debug, Default)]
pub struct Governor {
    interval: Cell<u64>,
    taken: [Cell<u32>; 4],
    left_out: Cell<u32>,
    total: Cell<u64>,
}

impl Governor {
    /// Whether a line of this rank may be written.
    pub fn allows(&self, now: Millis, rank: Rank) -> bool {
        self.turn(now);
        let (counter, limit) = match rank {
            Rank::Ordinary => (&self.taken[0], ORDINARY),
            Rank::Detail => (&self.taken[1], DETAIL),
            Rank::Outcome => (&self.taken[2], OUTCOME),
            Rank::Loss => (&self.taken[3], LOSS),
        };
        let taken = counter.get();
        if taken < limit {
            counter.set(taken + 1);
            return true;
        }
        if rank != Rank::Ordinary {
            self.left_out.set(self.left_out.get() + 1);
            self.total.set(self.total.get() + 1);
        }
        false
    }

    /// Lines left out since the start, other than about ordinary requests.
    pub fn left_out(&self) -> u64 {
        self.total.get()
    }

    fn turn(&self, now: Millis) {
        let interval = now.whole() / INTERVAL_MS;
        if interval == self.interval.replace(interval) {
            return;
        }
        self.taken.iter().for_each(|counter| counter.set(0));
        let left_out = self.left_out.replace(0);
        if left_out > 0 {
            tracing::warn!(left_out, "log lines left out in the last interval");
        }
    }
}
