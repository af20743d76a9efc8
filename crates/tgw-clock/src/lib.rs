//! The one time type of the product and the clocks that produce it.
//!
//! Decision cores never read a clock: they are handed a [`Millis`]. Only the threads round them
//! own a [`Clock`].

mod clock;
mod freeze;
mod millis;

pub use clock::{Clock, Fake, Monotonic};
pub use freeze::Freeze;
pub use millis::Millis;
