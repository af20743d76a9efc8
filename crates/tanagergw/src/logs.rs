//! Logs on standard error, as text or JSON lines.

use std::io;
use tracing_subscriber::EnvFilter;

/// Starts logging. A filter that cannot be read becomes `info`.
pub(crate) fn open(json: bool, filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr);
    // A second subscriber in one process is refused; the first goes on.
    let _ = if json { builder.json().try_init() } else { builder.try_init() };
}
