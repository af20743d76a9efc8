//! The `tanagergw demo` command.

use crate::{logs, signal};
use anyhow::Context;
use std::{path::PathBuf, process::ExitCode};
use tgw_demo::{Options, Size, fault::Fault};
use tgw_standin::size::{Spread, User};

/// Approximate duration of one fault in s.
const FAULT_DURATION_S: f64 = 3.5;
/// Shortest duration of the load in s if no rate is given.
const MIN_LOAD_DURATION_S: f64 = 8.0;
/// Highest query rate per second if no rate is given.
const MAX_RATE_PER_S: f64 = 250.0;

#[derive(clap::Args)]
pub(crate) struct Args {
    /// User whose fleet size is run: coimbra or aspen.
    #[arg(long, default_value = "coimbra")]
    user: String,
    /// Number of VMs of the tier.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u16).range(1..=32))]
    vms: u16,
    /// Number of queries to send.
    #[arg(long, default_value_t = 2000)]
    queries: u64,
    /// Queries per second; by default a rate at which the queries last for all faults.
    #[arg(long)]
    rate: Option<f64>,
    /// Faults to inject in this order, separated by commas; `none` for none.
    #[arg(long, default_value = "straggler,kill-owner")]
    faults: String,
    /// Placement of an instance's upstreams: together in one failure domain, or apart in three regions.
    #[arg(long, default_value = "together")]
    spread: String,
    /// Simulate no network delays between failure domains and regions.
    #[arg(long)]
    no_distances: bool,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Log the decisions of one in this many queries.
    #[arg(long, default_value_t = 100)]
    sample: u64,
    /// Write the inputs and outputs of the first VM's core to this file as a trace for `replay`.
    #[arg(long)]
    record: Option<PathBuf>,
    /// Log filter.
    #[arg(long, default_value = "warn")]
    log: String,
    /// Print one JSON object instead of text.
    #[arg(long)]
    json: bool,
    /// Send no queries; print the addresses as one JSON line and serve until SIGTERM or SIGINT.
    #[arg(long)]
    hold: bool,
}

pub(crate) fn run(args: &Args) -> anyhow::Result<ExitCode> {
    logs::init(false, &args.log);
    let options = options(args)?;
    if args.hold {
        let print = |ready: &tgw_demo::Ready| {
            println!("{}", serde_json::to_string(ready).unwrap_or_default());
        };
        let wait = || {
            let _ = signal::wait_for_shutdown();
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
    let promises_kept = report.broken_promises.is_empty();
    Ok(if promises_kept { ExitCode::SUCCESS } else { ExitCode::FAILURE })
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
    let parse = |name: &str| {
        Fault::named(name).with_context(|| {
            let known: Vec<String> = Fault::ALL.iter().map(Fault::to_string).collect();
            format!("--faults {name}: expected one or more of {}", known.join(", "))
        })
    };
    let faults: Vec<Fault> = names.map(parse).collect::<anyhow::Result<_>>()?;
    let load_s = (faults.len() as f64 * FAULT_DURATION_S).max(MIN_LOAD_DURATION_S);
    let rate = args.rate.unwrap_or((args.queries as f64 / load_s).clamp(1.0, MAX_RATE_PER_S));
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
