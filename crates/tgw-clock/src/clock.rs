use crate::Millis;
use nix::time::{ClockId, clock_gettime};
use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// A source of the current time.
pub trait Clock: Send + Sync {
    /// The time since the clock was made; never decreases.
    fn now(&self) -> Millis;
}

/// The time since the machine's boot, counted from the clock's construction.
///
/// A machine may be suspended for seconds. The usual monotonic clock stands still meanwhile, so that a
/// process would take its idle connections for fresh, its peers' words for new, and hand upstreams time
/// that their callers no longer have. This one goes on.
#[derive(Debug)]
pub struct Monotonic(Instant);

/// A point of the clock that goes on through a suspend; where the machine has none, of the usual one.
#[derive(Copy, Clone, Debug)]
enum Instant {
    Boot(Duration),
    Steady(std::time::Instant),
}

impl Instant {
    fn now() -> Self {
        boot().map_or_else(|| Self::Steady(std::time::Instant::now()), Self::Boot)
    }

    fn elapsed(self) -> Duration {
        match self {
            Self::Boot(since) => boot().unwrap_or(since).saturating_sub(since),
            Self::Steady(since) => since.elapsed(),
        }
    }
}

fn boot() -> Option<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME).ok().map(Duration::from)
}

impl Default for Monotonic {
    fn default() -> Self {
        Self(Instant::now())
    }
}

impl Clock for Monotonic {
    fn now(&self) -> Millis {
        self.0.elapsed().into()
    }
}

/// A clock that a test moves by hand.
#[derive(Debug, Default)]
pub struct Fake(AtomicU64);

impl Fake {
    /// Moves the clock on by `span`.
    pub fn advance(&self, span: Millis) {
        self.0.fetch_add(span.as_micros(), Ordering::SeqCst);
    }
}

impl Clock for Fake {
    fn now(&self) -> Millis {
        Millis::from_micros(self.0.load(Ordering::SeqCst))
    }
}
