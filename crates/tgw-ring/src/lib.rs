//! Bounded queues between worker threads. A full queue returns the value to its sender, which decides
//! what to do with it, so that no queue grows without bound.

/// The sender and the receiver of a bounded queue.
mod ring;

pub use ring::{Receiver, Sender, channel};
