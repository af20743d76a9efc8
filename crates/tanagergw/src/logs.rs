//! Logging to standard error, as text or JSON lines.

use std::io;
use tracing_subscriber::EnvFilter;

/// Installs the global log subscriber. An invalid filter is replaced by `info`.
pub(crate) fn init(json: bool, filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr);
    // Fails if a subscriber is already installed in this process; that one stays in use.
    let _ = if json { builder.json().try_init() } else { builder.try_init() };
}
