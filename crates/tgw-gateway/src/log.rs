//! Structured logs: JSON lines behind a bounded buffer, so that logging never blocks a request.

use std::io::Write;
use tracing::Subscriber;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

pub use crate::log_limiter::{Category, Limiter};

/// Lines that wait for the writer's thread; further ones are dropped and counted.
pub const BUFFER_LINES: usize = 2_048;

/// Counts lines that were dropped because the buffer was full.
#[derive(Clone, Debug)]
pub struct DropCounter(ErrorCounter);

impl DropCounter {
    /// Lines dropped since the start.
    pub fn count(&self) -> u64 {
        self.0.dropped_lines() as u64
    }
}

/// An open log.
pub struct Log<S> {
    /// Receives the log lines.
    pub subscriber: S,
    /// Counts the lines that were dropped.
    pub dropped_lines: DropCounter,
    /// Flushes buffered lines when it is dropped.
    pub guard: WorkerGuard,
}

/// Writes log lines to `out` from a separate thread: a full pipe would otherwise block every
/// request. Errors: the filter cannot be parsed.
pub fn open(
    out: impl Write + Send + 'static,
    filter: &str,
) -> anyhow::Result<Log<impl Subscriber + Send + Sync>> {
    let (writer, guard) =
        NonBlockingBuilder::default().buffered_lines_limit(BUFFER_LINES).lossy(true).finish(out);
    let dropped_lines = DropCounter(writer.error_counter());
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(EnvFilter::try_new(filter)?)
        .with_writer(writer)
        .finish();
    Ok(Log { subscriber, dropped_lines, guard })
}
