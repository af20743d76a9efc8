//! Scheduling of the calls to the platform's store for one kind of object: when a VM lists it, watches it, backs off or
//! leaves it to another VM. No I/O.

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tgw_clock::Millis;

/// Timing of the watches of a kind.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct WatchTiming {
    /// How long one watch waits for changes.
    pub watch_wait: Millis,
    /// Pause between an update and the next watch.
    pub batch_delay: Millis,
}

impl WatchTiming {
    /// For a kind that changes often.
    pub const FREQUENT: Self = Self { watch_wait: WATCH_WAIT_MS, batch_delay: BATCH_DELAY_MS };
    /// For a kind that changes a few times a day, one change at a time. A stalled connection is detected by probes of
    /// the connection, and a store that does not respond by the watches of the other kinds. The wait is below the time
    /// for which the platform keeps its history: a watch that begins before that history costs an additional list.
    pub const RARE: Self = Self { watch_wait: Millis::new(15_000), batch_delay: Millis::ZERO };
}

/// Time in ms that one watch waits for changes. Each watch costs a call. A stalled connection, while new ones are
/// answered, is detected only after this time and [`WATCH_REPLY_MARGIN_MS`]: together they stay below the 4 s within
/// which an otherwise undisturbed VM counts as reachable again.
pub const WATCH_WAIT_MS: Millis = Millis::new(2_500);
/// Time in ms allowed for the reply to a watch beyond its wait; a slow store takes 0.25 s.
pub const WATCH_REPLY_MARGIN_MS: Millis = Millis::new(500);
/// Pause in ms between an update and the next watch, so that one call brings all changes of the meantime, as when many
/// upstreams are replaced. It is far below the 3 s within which a change must be in force.
pub const BATCH_DELAY_MS: Millis = Millis::new(500);
/// Time in ms between checks of whether this VM has to read the store.
const RANK_CHECK_INTERVAL_MS: Millis = Millis::new(500);
/// Time in ms between such checks on a VM that has no data yet.
pub const STARTUP_RANK_CHECK_INTERVAL_MS: Millis = Millis::new(25);
/// Failed calls in a row that are tolerated; with one more the store counts as unreachable, for this VM or for all.
const TOLERATED_FAILURES: u32 = 2;
/// VMs of this domain that cannot reach the store from which on the store counts as down, rather than as rejecting some
/// VMs: otherwise each VM that takes over from one of them would retry several times in quick succession.
const OUTAGE_VMS: usize = 3;
/// Least failures that the backoff is computed from while the store counts as down, also right after a takeover.
const OUTAGE_FAILURES: u32 = 5;
/// Backoff in ms after the first failed call; doubles, and each is drawn between half of it and the whole.
const MIN_BACKOFF_MS: Millis = Millis::new(100);
/// Longest backoff in ms.
const MAX_BACKOFF_MS: Millis = Millis::new(1_200);

/// What decides whether this VM has to read the store.
#[derive(Copy, Clone, Debug)]
pub struct ReadRank {
    /// Whether this VM reads on behalf of others; `None` until that is decided.
    pub relay: Option<bool>,
    /// Whether this VM has data of the kind.
    pub has_data: bool,
    /// When a VM without data reads the store itself.
    pub read_at: Millis,
}

/// The next call to the store, or the time to wait for it.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Another VM reads the store: check again after this time.
    Idle(Millis),
    /// Make no call for this time.
    Backoff(Millis),
    /// Read the whole list.
    List,
    /// Wait for changes after a version.
    Watch {
        /// The version.
        from: u64,
        /// How long the watch waits.
        wait: Millis,
    },
}

#[derive(Copy, Clone, Debug)]
enum State {
    /// No list was read since this VM last had to read the store.
    Inactive,
    /// Changes after a version are awaited.
    Watching(u64),
}

/// Schedules the calls for one kind.
#[derive(Clone, Debug)]
pub struct Schedule {
    timing: WatchTiming,
    state: State,
    backoff_until: Millis,
    failures: u32,
    rng: SmallRng,
}

impl Schedule {
    /// Creates a schedule without data; `seed` is the seed of the random backoff.
    pub fn new(seed: u64, timing: WatchTiming) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { timing, state: State::Inactive, backoff_until: Millis::ZERO, failures: 0, rng }
    }

    /// Number of calls that failed in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether the store counts as unreachable.
    pub fn store_unreachable(&self) -> bool {
        self.failures > TOLERATED_FAILURES
    }

    /// The next step.
    pub fn next_step(&mut self, now: Millis, rank: ReadRank) -> Step {
        if now < self.backoff_until {
            return Step::Backoff(self.backoff_until - now);
        }
        match self.state {
            // Until it is decided which VMs watch, each VM that has read the store does: changes in the first seconds
            // of a process, such as entries that come back after an outage, reach it in no other way.
            State::Watching(_) if rank.relay == Some(false) => {
                self.stop_watch(now);
                self.next_step(now, rank)
            }
            State::Watching(from) => Step::Watch { from, wait: self.timing.watch_wait },
            State::Inactive
                if rank.relay == Some(true) || (!rank.has_data && now >= rank.read_at) =>
            {
                Step::List
            }
            State::Inactive => Step::Idle(if rank.has_data {
                RANK_CHECK_INTERVAL_MS
            } else {
                STARTUP_RANK_CHECK_INTERVAL_MS
            }),
        }
    }

    /// Records that the list was read as of a version. Returns the number of calls that had failed before.
    pub fn record_list(&mut self, version: u64) -> u32 {
        self.state = State::Watching(version);
        std::mem::take(&mut self.failures)
    }

    /// Records that a watch was answered, up to a version, and whether it brought changes.
    pub fn record_watch(&mut self, now: Millis, version: u64, changed: bool) {
        let State::Watching(from) = self.state else { return };
        self.state = State::Watching(from.max(version));
        if changed {
            self.backoff_until = now + self.timing.batch_delay;
        }
    }

    /// Stops watching, as a watch failed or another VM takes over. When this VM next has to read, it reads the list.
    pub fn stop_watch(&mut self, now: Millis) {
        self.state = State::Inactive;
        self.back_off(now, 0);
    }

    /// Records that the list could not be read, and how many VMs of the domain cannot reach the store either.
    pub fn record_list_failure(&mut self, now: Millis, unreachable_near: usize) {
        self.state = State::Inactive;
        self.failures += 1;
        let least = if unreachable_near >= OUTAGE_VMS { OUTAGE_FAILURES } else { 0 };
        self.back_off(now, self.failures.max(least));
    }

    fn back_off(&mut self, now: Millis, failures: u32) {
        let most = MIN_BACKOFF_MS.mul_f64(f64::from(1u32 << failures.min(6))).min(MAX_BACKOFF_MS);
        self.backoff_until = now + most.mul_f64(self.rng.random_range(0.5..=1.0));
    }
}
