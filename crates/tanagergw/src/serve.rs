//! The `tanagergw serve` command.

use crate::{logs, settings, signal};
use std::{process::ExitCode, time::Duration};
use tgw_serve::Options;

/// Limit for running requests to finish after SIGTERM or SIGINT.
const DRAIN_TIMEOUT_S: Duration = Duration::from_secs(60);

#[derive(clap::Args)]
pub(crate) struct Args {
    /// The settings file.
    #[arg(long)]
    settings: String,
}

pub(crate) fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let settings = match settings::open(&args.settings) {
        Ok(settings) => settings,
        Err(code) => return Ok(code),
    };
    logs::init(settings.log.json, &settings.log.filter);
    let handle = tgw_serve::spawn(Options::new(settings))?;
    tracing::info!(callers = %handle.callers_addr(), operators = %handle.operators_addr(),
        peers = %handle.peers_addr(), "serving");
    signal::wait_for_shutdown()?;
    tracing::info!("draining: finishing all running requests");
    let finished = handle.drain(DRAIN_TIMEOUT_S);
    tracing::info!(finished, "stopped");
    Ok(if finished { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
