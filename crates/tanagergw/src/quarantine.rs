//! The `tanagergw quarantine` command.

use std::{net::SocketAddr, process::ExitCode};
use tgw_operate::quarantine;
use tgw_quarantine::Fingerprint;

/// List or release requests that a gateway quarantines because upstream processes end while serving them.
#[derive(clap::Args)]
pub(crate) struct Args {
    /// A VM's readiness address.
    #[arg(long)]
    at: SocketAddr,
    /// Release the request with this fingerprint, as shown in the list and in log lines, at all VMs.
    #[arg(long, value_name = "FINGERPRINT")]
    release: Option<Fingerprint>,
    /// Print JSON.
    #[arg(long, conflicts_with = "release")]
    json: bool,
}

pub(crate) fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let Some(fingerprint) = args.release else {
        let entries = runtime.block_on(quarantine::fetch(args.at))?;
        if args.json {
            println!("{}", serde_json::to_string(&entries)?);
        } else {
            print!("{}", quarantine::render(&entries));
        }
        return Ok(ExitCode::SUCCESS);
    };
    let released = runtime.block_on(quarantine::release(args.at, fingerprint))?;
    if !released {
        eprintln!("{fingerprint} is not quarantined at {}", args.at);
        return Ok(ExitCode::FAILURE);
    }
    println!("{fingerprint} is let go");
    Ok(ExitCode::SUCCESS)
}
