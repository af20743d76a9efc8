use crate::Millis;
use nix::time::{ClockId, clock_gettime};
use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// A source of the current time.
pub trait Clock: Send + Sync {
    /// The time since the clock was created; never decreases.
    fn now(&self) -> Millis;
}

/// The time since the clock was created, including time during which the machine was suspended.
///
/// A machine may be suspended for seconds. `CLOCK_MONOTONIC` stops during a suspend, so the process
/// would reuse stale idle connections, treat old peer reports as recent, and send upstreams deadlines
/// that have already passed for their callers. `CLOCK_BOOTTIME` keeps counting.
#[derive(Debug)]
pub struct Monotonic(Instant);

/// A reading of `CLOCK_BOOTTIME`, or of the standard monotonic clock on machines without it.
#[derive(Copy, Clone, Debug)]
enum Instant {
    Boot(Duration),
    Std(std::time::Instant),
}

impl Instant {
    fn now() -> Self {
        boot_time().map_or_else(|| Self::Std(std::time::Instant::now()), Self::Boot)
    }

    fn elapsed(self) -> Duration {
        match self {
            Self::Boot(start) => boot_time().unwrap_or(start).saturating_sub(start),
            Self::Std(start) => start.elapsed(),
        }
    }
}

fn boot_time() -> Option<Duration> {
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

/// A clock that only advances when a test advances it.
#[derive(Debug, Default)]
pub struct Fake(AtomicU64);

impl Fake {
    /// Advances the clock by `duration`.
    pub fn advance(&self, duration: Millis) {
        self.0.fetch_add(duration.as_micros(), Ordering::SeqCst);
    }
}

impl Clock for Fake {
    fn now(&self) -> Millis {
        Millis::from_micros(self.0.load(Ordering::SeqCst))
    }
}
