//! Structured logs: JSON lines behind a bounded ring that never holds up a request.

use std::io::Write;
use tracing::Subscriber;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

pub use crate::governor::{Governor, Rank};

/// Lines that wait for the writer's thread; further ones are dropped and counted.
pub const RING: usize = 2_048;

/// Counts lines that the ring had no place for.
#[derive(Clone, Debug)]
pub struct Dropped(ErrorCounter);

impl Dropped {
    /// Lines dropped since the start.
    pub fn count(&self) -> u64 {
        self.0.dropped_lines() as u64
    }
}

/// An open log.
pub struct Log<S> {
    /// Takes the lines.
    pub subscriber: S,
    /// Counts what was dropped.
    pub dropped: Dropped,
    /// Writes what waits when it is dropped.
    pub guard: WorkerGuard,
}

/// Writes lines to `out` from a thread of its own: a full pipe would otherwise hold up every request.
/// Errors: the filter cannot be read.
pub fn open(
    out: impl Write + Send + 'static,
    filter: &str,
) -> anyhow::Result<Log<impl Subscriber + Send + Sync>> {
    let (writer, guard) =
        NonBlockingBuilder::default().buffered_lines_limit(RING).lossy(true).finish(out);
    let dropped = Dropped(writer.error_counter());
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(EnvFilter::try_new(filter)?)
        .with_writer(writer)
        .finish();
    Ok(Log { subscriber, dropped, guard })
}
