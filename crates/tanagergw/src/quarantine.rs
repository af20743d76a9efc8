//! `tanagergw quarantine`.

use std::{net::SocketAddr, process::ExitCode};
use tgw_operate::quarantine;
use tgw_quarantine::Fingerprint;

/// Requests that a gateway holds back, as upstreams end under them.
#[derive(clap::Args)]
pub(crate) struct Args {
    /// A VM's readiness address.
    #[arg(long)]
    at: SocketAddr,
    /// Let this request go, by the fingerprint that the list and log lines bear; all VMs are told.
    #[arg(long, value_name = "FINGERPRINT")]
    release: Option<Fingerprint>,
    /// Print JSON.
    #[arg(long, conflicts_with = "release")]
    json: bool,
}

pub(crate) fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let Some(print) = args.release else {
        let held = runtime.block_on(quarantine::fetch(args.at))?;
        if args.json {
            println!("{}", serde_json::to_string(&held)?);
        } else {
            print!("{}", quarantine::text(&held));
        }
        return Ok(ExitCode::SUCCESS);
    };
    let released = runtime.block_on(quarantine::release(args.at, print))?;
    if !released {
        eprintln!("{} does not hold {print} back", args.at);
        return Ok(ExitCode::FAILURE);
    }
    println!("{print} is let go");
    Ok(ExitCode::SUCCESS)
}
