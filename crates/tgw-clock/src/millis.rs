use serde::{Deserialize, Serialize};
use std::{
    fmt,
    ops::{Add, AddAssign, Sub},
};

const MICROS_PER_MS: u64 = 1000;

/// A point in time or a duration, in milliseconds with a resolution of one microsecond.
///
/// Points in time count from the start of the process. Arithmetic saturates at zero and at
/// [`Millis::MAX`].
#[derive(
    Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(u64);

impl Millis {
    /// The start of the process, or a duration of zero.
    pub const ZERO: Self = Self(0);
    /// Later than any deadline.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a value from whole milliseconds.
    pub const fn new(ms: u64) -> Self {
        Self(ms.saturating_mul(MICROS_PER_MS))
    }

    /// Creates a value from microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a value from fractional milliseconds; negative values and NaN become zero.
    pub fn from_f64(ms: f64) -> Self {
        Self((ms * MICROS_PER_MS as f64).round().max(0.0) as u64)
    }

    /// The value in fractional milliseconds.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_MS as f64
    }

    /// The value in whole milliseconds, rounded down.
    pub const fn as_whole_ms(self) -> u64 {
        self.0 / MICROS_PER_MS
    }

    /// The value in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// This duration multiplied by `factor`.
    pub fn mul_f64(self, factor: f64) -> Self {
        Self::from_f64(self.as_f64() * factor)
    }
}

impl Add for Millis {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Millis {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Millis {
    type Output = Self;
    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}ms", self.as_f64())
    }
}

impl From<Millis> for std::time::Duration {
    fn from(duration: Millis) -> Self {
        Self::from_micros(duration.0)
    }
}

impl From<std::time::Duration> for Millis {
    fn from(duration: std::time::Duration) -> Self {
        Self(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}
