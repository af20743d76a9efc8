//! `tanagergw gateway`: serves on the users' platform.

use anyhow::Context;
use std::{io, process::ExitCode, rc::Rc};
use tgw_gateway::Options;
use tgw_site::{Objects, Settings, Site, settings};
use tokio::{runtime, signal::unix, task::LocalSet};

/// Log lines that wait for the writer's thread; further ones are dropped and counted.
const LOG_RING: usize = 2_048;

#[derive(clap::Args)]
pub(crate) struct Args {
    /// The platform's settings file.
    #[arg(long, env = settings::VARIABLE)]
    settings: String,
    /// Filter of log lines, as `info` or `tgw_gateway=debug`.
    #[arg(long, default_value = "info")]
    log: String,
}

pub(crate) fn run(args: &Args) -> anyhow::Result<ExitCode> {
    // A thread of its own writes: a full pipe would otherwise hold up every request.
    let (writer, _guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(LOG_RING)
        .lossy(true)
        .finish(io::stdout());
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(args.log.as_str())
        .with_writer(writer)
        .init();
    let settings = match read(&args.settings) {
        Ok(settings) => settings,
        Err(error) => {
            tracing::error!(%error, "settings");
            return Err(error);
        }
    };
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(settings))
}

fn read(path: &str) -> anyhow::Result<Settings> {
    let text = std::fs::read_to_string(path).with_context(|| format!("cannot read {path}"))?;
    settings::read(&text).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(|f| format!("{path}: {f}")).collect();
        anyhow::anyhow!("{}", lines.join("\n"))
    })
}

async fn serve(settings: Settings) -> anyhow::Result<ExitCode> {
    let mut term = unix::signal(unix::SignalKind::terminate())?;
    let mut hup = unix::signal(unix::SignalKind::hangup())?;
    let store = Rc::new(Objects::open(settings.store));
    let options = Options { settings: settings.gateway, dialect: Box::new(Site::default()), store };
    let handle = tgw_gateway::spawn(options).await?;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => tracing::info!("reload: settings are read again at the next start"),
        }
    }
    let left = handle.drain().await;
    Ok(if left == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
