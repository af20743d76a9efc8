use crate::Millis;
use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Instant,
};

/// A source of the current time.
pub trait Clock: Send + Sync {
    /// The time since the clock was made; never decreases.
    fn now(&self) -> Millis;
}

/// The machine's monotonic clock, counted from its construction.
#[derive(Debug)]
pub struct Monotonic(Instant);

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
