//! Traces of a decision core's inputs and outputs, as JSON lines, and their replay.
//!
//! The first line identifies the core. Each further line has a time, an input, and the core's outputs for
//! that input as text. A replay feeds the inputs to a new core at the recorded times and compares its outputs
//! with the recorded ones.

/// Text format of a core's outputs.
mod render;
/// Recording and replay of traces.
mod trace;

pub use render::render;
pub use trace::{Difference, Outcome, Recorder, Step, replay};
