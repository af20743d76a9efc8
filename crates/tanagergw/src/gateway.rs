//! The `tanagergw gateway` command: serves on the users' platform.

use anyhow::Context;
use std::{io, process::ExitCode, rc::Rc, time::Duration};
use tgw_forward::Policy;
use tgw_gateway::{
    Options,
    log::{self, DropCounter, Log},
};
use tgw_site::{ObjectStore, PlatformCodec, Settings, settings};
use tokio::{runtime, signal::unix, task::LocalSet, time::sleep};

/// Interval at which the settings file is checked for changes.
const SETTINGS_POLL_INTERVAL_MS: Duration = Duration::from_millis(1_000);

#[derive(clap::Args)]
pub(crate) struct Args {
    /// The platform's settings file.
    #[arg(long, env = settings::PATH_VARIABLE)]
    settings: String,
    /// Log filter, such as `info` or `tgw_gateway=debug`.
    #[arg(long, default_value = "info")]
    log: String,
    /// For experiments: overrides one policy setting, such as `hedges=no`. May be repeated.
    #[arg(long = "set", value_name = "NAME=VALUE")]
    set: Vec<String>,
}

pub(crate) fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let Log { subscriber, dropped_lines, guard: _guard } = log::open(io::stdout(), &args.log)?;
    tracing::subscriber::set_global_default(subscriber)?;
    let settings = match read_settings(&args.settings) {
        Ok(settings) => settings,
        Err(error) => {
            tracing::error!(%error, "settings");
            return Err(error);
        }
    };
    let mut policy = Policy::default();
    for setting in &args.set {
        policy.set(setting).with_context(|| format!("--set {setting}"))?;
        tracing::warn!(setting, "policy setting overridden by --set");
    }
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(&args.settings, settings, dropped_lines, policy))
}

fn read_settings(path: &str) -> anyhow::Result<Settings> {
    let text = std::fs::read_to_string(path).with_context(|| format!("cannot read {path}"))?;
    settings::parse(&text).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(|f| format!("{path}: {f}")).collect();
        anyhow::anyhow!("{}", lines.join("\n"))
    })
}

async fn serve(
    path: &str,
    settings: Settings,
    dropped_lines: DropCounter,
    policy: Policy,
) -> anyhow::Result<ExitCode> {
    let mut term = unix::signal(unix::SignalKind::terminate())?;
    let mut hup = unix::signal(unix::SignalKind::hangup())?;
    let store = Rc::new(ObjectStore::new(settings.store_addr));
    let options = Options {
        settings: settings.gateway.clone(),
        codec: Box::new(PlatformCodec::default()),
        store: store.clone(),
        dropped_lines: Some(dropped_lines),
        policy,
    };
    let mut handle = tgw_gateway::spawn(options).await?;
    let mut current = settings;
    loop {
        // The file is also polled, as it may change without a SIGHUP.
        tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => {}
            () = sleep(SETTINGS_POLL_INTERVAL_MS) => {}
        }
        match read_settings(path) {
            Ok(settings) if settings == current => {}
            Ok(settings) => {
                store.set_addr(settings.store_addr);
                handle.reload(&settings.gateway);
                current = settings;
            }
            Err(error) => {
                tracing::warn!(%error, "cannot read the settings file; keeping the previous settings");
            }
        }
    }
    let unfinished = handle.drain().await;
    Ok(if unfinished == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
