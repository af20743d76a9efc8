use super::Entry;
use tgw_clock::Millis;

/// Admissions in one cycle of [`Slot`]s.
pub(super) const CYCLE: u64 = 8;

/// The fractions of waited time that count as alike. While urgent queries alone exceed the capacity, some of them have
/// always waited for all of their time; compared exactly, they would take the admissions that are meant for others. The
/// last step has to be as long as the time between aged admissions: 80 ms at 100 admissions a second, of a target of
/// 300 ms.
const FRACTION_STEP: f64 = 0.25;

/// By which rule an admission is made.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) enum Slot {
    /// In order.
    Order,
    /// The entry of a tenant that is served less than a quarter as often as all, if there is one; else in order.
    /// Serving them up to a quarter takes at most a quarter of the admissions, hence two slots of eight.
    Underserved,
    /// The entry that has waited the largest fraction of its time.
    Aging,
}

impl Slot {
    /// The slot of an admission, given the number of admissions before it.
    pub(super) fn of(admissions: u64) -> Self {
        match admissions % CYCLE {
            1 | 5 => Self::Underserved,
            7 => Self::Aging,
            _ => Self::Order,
        }
    }
}

/// The fraction of its time to start that an entry has waited; 1 if it never had any.
pub(super) fn waited_fraction(now: Millis, entry: &Entry) -> f64 {
    let had = (entry.start_by - entry.queued_at).as_f64();
    if had <= 0.0 {
        return 1.0;
    }
    (now - entry.queued_at).as_f64() / had
}

/// A fraction rounded down to a multiple of [`FRACTION_STEP`]; the last step includes 1.
pub(super) fn step(fraction: f64) -> f64 {
    (fraction.min(1.0 - FRACTION_STEP) / FRACTION_STEP).floor()
}
