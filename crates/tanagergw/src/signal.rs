//! Waits for the signals that request an orderly shutdown.

use anyhow::Context;
use tokio::signal::unix::{SignalKind, signal};

/// Blocks until SIGTERM or SIGINT.
pub(crate) fn wait_for_shutdown() -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut term = signal(SignalKind::terminate()).context("SIGTERM")?;
        let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT")?;
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok(())
    })
}
