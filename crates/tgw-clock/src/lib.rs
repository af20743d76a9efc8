//! The time type that all crates share, and the clocks that produce it.
//!
//! The decision logic never reads a clock: the current time is passed in as a [`Millis`]. Only the
//! threads that run it own a [`Clock`].

mod clock;
mod millis;
mod pause_switch;

pub use clock::{Clock, Fake, Monotonic};
pub use millis::Millis;
pub use pause_switch::PauseSwitch;
