//! Soak test with fault injection: runs real gateway processes on loopback, injects faults from
//! outside them, and checks the guarantees against what callers and upstreams observe.
//!
//! Each seed is one run: a fleet of VMs as processes, a fake store and fake upstreams in this
//! process, a proxy on each link between them, and a schedule of faults drawn from the seed. Only
//! processes that a run has started are signalled, by their ids.

/// Callers with keep-alive connections, and the answers they received.
mod callers;
/// Checks of the guarantees.
mod check;
/// Changes of the configuration that are taken back.
mod configuration;
/// The fake store, the upstreams and the configuration.
mod environment;
/// VMs, each a process of the program.
mod fleet;
/// The bound on requests to upstreams that leave.
mod leaving;
/// Load beyond the upstreams' capacity, and how its tenants are served.
mod overload;
/// TCP proxy that injects network faults.
mod proxy;
/// Checks which requests the VMs quarantine.
mod quarantine;
/// Runs one seed.
mod run;
/// Schedule of faults drawn from a seed.
mod schedule;
/// The tenants of a run.
mod tenants;

use anyhow::Context;
use clap::Parser;
use std::{path::PathBuf, process::ExitCode, time::Instant};
use tokio::task::LocalSet;

/// Runs the gateway under injected faults and checks its guarantees.
#[derive(Parser)]
#[command(version, about, max_term_width = 100)]
struct Cli {
    /// Run this seed.
    #[arg(long, conflicts_with_all = ["seeds", "minutes"])]
    seed: Option<u64>,
    /// Run this many seeds.
    #[arg(long, conflicts_with = "minutes")]
    seeds: Option<u64>,
    /// The first seed of `--seeds`.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Run random seeds for this many minutes.
    #[arg(long)]
    minutes: Option<u64>,
    /// VMs in a run.
    #[arg(long, default_value_t = 6)]
    vms: u8,
    /// Seconds during which a run injects faults.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Searches of all shards that callers repeat.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=100))]
    searches: u8,
    /// Queries of death; with more than one, each seed has them.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=i64::from(environment::MAX_DEADLY)))]
    deadly: u8,
    /// Instead of faults, tenants ask for more than the upstreams can serve, one of them far more than the others; the
    /// burst ends with `--seconds`.
    #[arg(long)]
    overload: bool,
    /// All failure domains are in one region; with three VMs there is one in each.
    #[arg(long)]
    one_region: bool,
    /// All VMs but the first three have only seeds that are gone.
    #[arg(long)]
    dark_seeds: bool,
    /// Path of the tanagergw binary.
    #[arg(long, default_value = "target/release/tanagergw")]
    program: PathBuf,
    /// Folder for the VMs' logs of failed seeds.
    #[arg(long, default_value = "target/soak")]
    logs: PathBuf,
    /// Keep the logs of passed seeds too.
    #[arg(long)]
    keep: bool,
}

fn main() -> anyhow::Result<ExitCode> {
    let cli = Cli::parse();
    anyhow::ensure!(
        cli.program.exists(),
        "{}: no such program; build it with cargo build --release -p tanagergw",
        cli.program.display()
    );
    let mut failed = Vec::new();
    let start = Instant::now();
    let mut count = 0;
    for seed in seeds(&cli) {
        if cli.minutes.is_some_and(|m| start.elapsed().as_secs() >= m * 60) {
            break;
        }
        count += 1;
        let report = run_seed(&cli, seed).with_context(|| format!("seed {seed}"))?;
        println!("seed {seed}: {report}");
        for broken in &report.broken {
            println!("  broken: {broken}");
        }
        if !report.broken.is_empty() {
            failed.push(seed);
        }
    }
    println!("{count} seeds, {} failed {failed:?}", failed.len());
    Ok(if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn seeds(cli: &Cli) -> Box<dyn Iterator<Item = u64>> {
    match (cli.seed, cli.seeds, cli.minutes) {
        (Some(seed), _, _) => Box::new(std::iter::once(seed)),
        (_, _, Some(_)) => Box::new(std::iter::repeat_with(|| rand::random::<u64>() >> 32)),
        (_, count, _) => Box::new(cli.from..cli.from + count.unwrap_or(1)),
    }
}

fn run_seed(cli: &Cli, seed: u64) -> anyhow::Result<check::Report> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let options = run::Options {
        seed,
        vms: cli.vms,
        searches: cli.searches,
        deadly: cli.deadly,
        seconds: cli.seconds,
        overload: cli.overload,
        layout: fleet::Layout { one_region: cli.one_region, dark_seeds: cli.dark_seeds },
        program: cli.program.clone(),
        keep: cli.keep,
        logs: cli.logs.join(format!("seed-{seed}")),
    };
    LocalSet::new().block_on(&runtime, run::run(options))
}
