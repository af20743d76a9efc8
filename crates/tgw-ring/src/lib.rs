//! Bounded rings that join the duty threads. A full ring is reported to the sender, who decides
//! what to do; nothing is ever queued without bound.

/// The two ends of a ring.
mod ring;

pub use ring::{Receiver, Sender, pair};
