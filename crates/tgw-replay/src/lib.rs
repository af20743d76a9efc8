//! Traces: all that a core was told and what it did, as JSON lines, and their replay.
//!
//! The first line names the core; each further one gives a time, an input, and the outputs that the
//! core answered with, as text. A replay feeds the inputs to a fresh core under the recorded times and
//! compares what it does.

/// Text of a core's outputs.
mod render;
/// Recording and replay.
mod trace;

pub use render::render;
pub use trace::{Difference, Outcome, Recorder, Step, replay};
