use serde::{Deserialize, Serialize};
use std::{
    fmt,
    ops::{Add, AddAssign, Sub},
};

const MICROS_IN_MS: u64 = 1000;

/// A point in time or a span, in milliseconds with a resolution of one thousandth.
///
/// Points count from the start of the process. Arithmetic saturates at zero and at [`Millis::MAX`].
#[derive(
    Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(u64);

impl Millis {
    /// Zero: the start of the process, or an empty span.
    pub const ZERO: Self = Self(0);
    /// Further than any deadline.
    pub const MAX: Self = Self(u64::MAX);

    /// Whole milliseconds.
    pub const fn new(ms: u64) -> Self {
        Self(ms.saturating_mul(MICROS_IN_MS))
    }

    /// Thousandths of a millisecond.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Fractional milliseconds; negative and NaN become zero.
    pub fn from_f64(ms: f64) -> Self {
        Self((ms * MICROS_IN_MS as f64).round().max(0.0) as u64)
    }

    /// Fractional milliseconds.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / MICROS_IN_MS as f64
    }

    /// Whole milliseconds, rounded down.
    pub const fn whole(self) -> u64 {
        self.0 / MICROS_IN_MS
    }

    /// Thousandths of a millisecond.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// This span times `factor`.
    pub fn scale(self, factor: f64) -> Self {
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
    fn from(span: Millis) -> Self {
        Self::from_micros(span.0)
    }
}

impl From<std::time::Duration> for Millis {
    fn from(span: std::time::Duration) -> Self {
        Self(u64::try_from(span.as_micros()).unwrap_or(u64::MAX))
    }
}
