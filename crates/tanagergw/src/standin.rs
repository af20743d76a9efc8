//! The `tanagergw standin` command.

use crate::logs;
use anyhow::Context;
use clap::Subcommand;
use std::{net::SocketAddr, process::ExitCode};
use tgw_clock::Millis;
use tgw_standin::{
    Platform, Upstream,
    size::{Spread, User},
};
use tgw_topology::{Catalog, catalog::ServiceUpdate};
use tokio::{net::TcpListener, task::LocalSet};

#[derive(clap::Args)]
pub(crate) struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// The platform's object API with a user's table and services.
    Platform {
        /// The address to listen on.
        #[arg(long, default_value = "127.0.0.1:7900")]
        listen: SocketAddr,
        /// User whose table and services are stored: coimbra or aspen.
        #[arg(long, default_value = "coimbra")]
        user: String,
        /// Port of the first upstream; each further one listens on the next port.
        #[arg(long, default_value_t = 8000)]
        first_port: u16,
    },
    /// All upstreams of a user, or only those of one service.
    Upstream {
        /// User whose upstreams are run: coimbra or aspen.
        #[arg(long, default_value = "coimbra")]
        user: String,
        /// Run only the upstreams of this service.
        #[arg(long)]
        service: Option<String>,
        /// Port of the first upstream; each further one listens on the next port.
        #[arg(long, default_value_t = 8000)]
        first_port: u16,
        /// Median service time in milliseconds.
        #[arg(long, default_value_t = 4.0)]
        median_ms: f64,
    },
}

pub(crate) fn run(args: &Args) -> anyhow::Result<ExitCode> {
    logs::init(false, "info");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    match &args.command {
        Command::Platform { listen, user, first_port } => {
            let platform = build_platform(user, *first_port)?;
            local.block_on(&runtime, async move {
                let listener = TcpListener::bind(listen)
                    .await
                    .with_context(|| format!("--listen: cannot bind {listen}"))?;
                tracing::info!(addr = %listener.local_addr()?, "stand-in platform");
                platform.serve(listener).await?;
                anyhow::Ok(())
            })?;
        }
        Command::Upstream { user, service, first_port, median_ms } => {
            let upstreams = build_upstreams(user, service.as_deref(), *first_port)?;
            local.block_on(&runtime, serve_all(upstreams, *median_ms))?;
        }
    }
    Ok(ExitCode::SUCCESS)
}

async fn serve_all(upstreams: Vec<Upstream>, median_ms: f64) -> anyhow::Result<()> {
    let mut tasks = Vec::new();
    for upstream in upstreams {
        let addr = upstream.node().addr;
        let listener = TcpListener::bind(addr)
            .await
            .with_context(|| format!("--first-port: cannot bind {addr}"))?;
        upstream.set(|k| k.median_ms = median_ms);
        tasks.push(tokio::task::spawn_local(async move { upstream.serve(listener).await }));
    }
    tracing::info!(count = tasks.len(), "stand-in upstreams");
    for task in tasks {
        task.await??;
    }
    Ok(())
}

fn parse_user(user: &str) -> anyhow::Result<User> {
    User::named(user).with_context(|| format!("--user {user}: expected coimbra or aspen"))
}

fn build_catalog(user: &str, first_port: u16) -> anyhow::Result<Catalog> {
    let mut catalog = parse_user(user)?.catalog(Spread::Together);
    for node in catalog.upstreams.values_mut() {
        let port = u32::from(first_port) + node.id.0;
        node.addr.set_port(u16::try_from(port).context("--first-port: too high")?);
    }
    Ok(catalog)
}

fn build_platform(user: &str, first_port: u16) -> anyhow::Result<Platform> {
    let catalog = build_catalog(user, first_port)?;
    let platform = Platform::default();
    platform.write("table", "main", serde_json::to_value(parse_user(user)?.table())?);
    for entry in catalog.services.values() {
        let own = catalog.upstreams.values().filter(|u| u.service == entry.id);
        let update = ServiceUpdate {
            entry: entry.clone(),
            upstreams: own.cloned().collect(),
            changed_version: 0,
        };
        platform.write("service", &entry.name, serde_json::to_value(&update)?);
    }
    Ok(platform)
}

fn build_upstreams(
    user: &str,
    service: Option<&str>,
    first_port: u16,
) -> anyhow::Result<Vec<Upstream>> {
    let catalog = build_catalog(user, first_port)?;
    let sizes = parse_user(user)?.services();
    let service_id = match service {
        None => None,
        Some(name) => {
            let found = catalog.service(name).with_context(|| format!("--service {name}: unknown"));
            Some(found?.id)
        }
    };
    let chosen = catalog.upstreams.values().filter(|u| service_id.is_none_or(|id| u.service == id));
    let make = |node: &tgw_topology::catalog::UpstreamEntry| {
        let connect = Millis::new(sizes[usize::from(node.service.0)].connect_ms);
        Upstream::new(&catalog, node, connect, u64::from(node.id.0) + 1)
    };
    Ok(chosen.map(make).collect())
}
