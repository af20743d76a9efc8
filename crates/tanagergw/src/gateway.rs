//! `tanagergw gateway`: serves on the users' platform.

use anyhow::Context;
use std::{io, process::ExitCode, rc::Rc, time::Duration};
use tgw_forward::Policy;
use tgw_gateway::{
    Options,
    log::{self, Dropped, Log},
};
use tgw_site::{Objects, Settings, Site, settings};
use tokio::{runtime, signal::unix, task::LocalSet, time::sleep};

/// Time between looks at the settings file.
const LOOK: Duration = Duration::from_millis(1_000);

#[derive(clap::Args)]
pub(crate) struct Args {
    /// The platform's settings file.
    #[arg(long, env = settings::VARIABLE)]
    settings: String,
    /// Filter of log lines, as `info` or `tgw_gateway=debug`.
    #[arg(long, default_value = "info")]
    log: String,
    /// For experiments: one mechanism or weight of the decisions, as `hedges=no`. May be given again.
    #[arg(long = "set", value_name = "NAME=VALUE")]
    set: Vec<String>,
}

pub(crate) fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let Log { subscriber, dropped, guard: _guard } = log::open(io::stdout(), &args.log)?;
    tracing::subscriber::set_global_default(subscriber)?;
    let settings = match read(&args.settings) {
        Ok(settings) => settings,
        Err(error) => {
            tracing::error!(%error, "settings");
            return Err(error);
        }
    };
    let mut policy = Policy::default();
    for setting in &args.set {
        policy.set(setting).with_context(|| format!("--set {setting}"))?;
        tracing::warn!(setting, "an experiment decides differently");
    }
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(&args.settings, settings, dropped, policy))
}

fn read(path: &str) -> anyhow::Result<Settings> {
    let text = std::fs::read_to_string(path).with_context(|| format!("cannot read {path}"))?;
    settings::read(&text).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(|f| format!("{path}: {f}")).collect();
        anyhow::anyhow!("{}", lines.join("\n"))
    })
}

async fn serve(
    path: &str,
    settings: Settings,
    dropped: Dropped,
    policy: Policy,
) -> anyhow::Result<ExitCode> {
    let mut term = unix::signal(unix::SignalKind::terminate())?;
    let mut hup = unix::signal(unix::SignalKind::hangup())?;
    let store = Rc::new(Objects::open(settings.store));
    let options = Options {
        settings: settings.gateway.clone(),
        dialect: Box::new(Site::default()),
        store: store.clone(),
        dropped: Some(dropped),
        policy,
    };
    let mut handle = tgw_gateway::spawn(options).await?;
    let mut known = settings;
    loop {
        // The file may change without a signal.
        tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => {}
            () = sleep(LOOK) => {}
        }
        match read(path) {
            Ok(settings) if settings == known => {}
            Ok(settings) => {
                store.move_to(settings.store);
                handle.reload(&settings.gateway);
                known = settings;
            }
            Err(error) => tracing::warn!(%error, "settings not taken, the earlier ones hold"),
        }
    }
    let left = handle.drain().await;
    Ok(if left == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
