//! `tanagergw demo`.

use crate::{logs, signal};
use anyhow::Context;
use std::{path::PathBuf, process::ExitCode};
use tgw_demo::{Options, Size, fault::Fault};
use tgw_standin::size::{Spread, User};

/// About how long one fault takes, in seconds.
const FAULT_S: f64 = 3.5;
/// The shortest load, in seconds, and the most queries a second, unless told otherwise.
const LEAST_S: f64 = 8.0;
const MOST_RATE: f64 = 250.0;

#[derive(clap::Args)]
pub(crate) struct Args {
    /// Whose size: coimbra or aspen.
    #[arg(long, default_value = "coimbra")]
    user: String,
    /// VMs of the tier.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u16).range(1..=32))]
    vms: u16,
    /// Queries to send.
    #[arg(long, default_value_t = 2000)]
    queries: u64,
    /// Queries a second; by default as many as spread the queries over all faults.
    #[arg(long)]
    rate: Option<f64>,
    /// Faults, separated by commas, brought about in this order; `none` for none.
    #[arg(long, default_value = "straggler,kill-owner")]
    faults: String,
    /// How an instance's upstreams lie: together in one failure domain, or apart in three regions.
    #[arg(long, default_value = "together")]
    spread: String,
    /// Leave the delays between places out.
    #[arg(long)]
    no_distances: bool,
    /// Seed of all that is random.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// One in this many queries has its decisions logged.
    #[arg(long, default_value_t = 100)]
    sample: u64,
    /// Write what the first VM's core was told and did as a trace, for `replay`.
    #[arg(long)]
    record: Option<PathBuf>,
    /// Log filter.
    #[arg(long, default_value = "warn")]
    log: String,
    /// Print one JSON object instead of text.
    #[arg(long)]
    json: bool,
    /// Send no queries; print one JSON line with the addresses and serve until SIGTERM.
    #[arg(long)]
    hold: bool,
}

pub(crate) fn run(args: &Args) -> anyhow::Result<ExitCode> {
    logs::open(false, &args.log);
    let options = options(args)?;
    if args.hold {
        let print = |ready: &tgw_demo::Ready| {
            println!("{}", serde_json::to_string(ready).unwrap_or_default());
        };
        let wait = || {
            let _ = signal::wait();
        };
        tgw_demo::hold(options.size, print, wait)?;
        return Ok(ExitCode::SUCCESS);
    }
    let report = tgw_demo::run(&options)?;
    if args.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        print!("{report}");
    }
    let kept = report.broken_promises.is_empty();
    Ok(if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn options(args: &Args) -> anyhow::Result<Options> {
    let user = User::named(&args.user)
        .with_context(|| format!("--user {}: expected coimbra or aspen", args.user))?;
    let spread = match args.spread.as_str() {
        "together" => Spread::Together,
        "apart" => Spread::Apart,
        other => anyhow::bail!("--spread {other}: expected together or apart"),
    };
    let names = args.faults.split(',').map(str::trim).filter(|f| !f.is_empty() && *f != "none");
    let named = |name: &str| {
        Fault::named(name).with_context(|| {
            let known: Vec<String> = Fault::ALL.iter().map(Fault::to_string).collect();
            format!("--faults {name}: expected some of {}", known.join(", "))
        })
    };
    let faults: Vec<Fault> = names.map(named).collect::<anyhow::Result<_>>()?;
    let seconds = (faults.len() as f64 * FAULT_S).max(LEAST_S);
    let rate = args.rate.unwrap_or((args.queries as f64 / seconds).clamp(1.0, MOST_RATE));
    Ok(Options {
        size: Size {
            user,
            vms: usize::from(args.vms),
            spread,
            distances: !args.no_distances,
            seed: args.seed,
            sample: args.sample,
            record: args.record.clone(),
        },
        queries: args.queries,
        per_second: rate,
        faults,
    })
}
