//! `tanagergw bench`.

use anyhow::Context;
use std::{path::PathBuf, process::ExitCode};
use tgw_bench::{
    Policy, Report, Scenario, leaving, overload, plot,
    scenario::{self, Options},
    slopes, starts, warmup,
};
use tgw_clock::Millis;
use tgw_standin::size::{Spread, User};

#[derive(clap::Args)]
pub(crate) struct Args {
    /// An experiment, `all`, `list`, `slopes` for what units of state and work cost, `starts` for who reads
    /// the store where many VMs start at once, `leaving` for how long VMs send to upstreams that leave, `evacuations` for the same of failure domains, `warmup` for what a cold upstream gets from all VMs, `overload` for forwarding under load at its worst, or
    /// `overload/NAME` for one of its scenarios.
    scenario: String,
    /// Whose size: coimbra, aspen or both.
    #[arg(long, default_value = "both")]
    user: String,
    /// Policies compared, separated by commas; `all` for all.
    #[arg(long)]
    policy: Option<String>,
    /// Seeds, separated by commas.
    #[arg(long, default_value = "1", value_delimiter = ',')]
    seed: Vec<u64>,
    /// Demand as a part of all slots; by default the experiment's own.
    #[arg(long)]
    load: Option<f64>,
    /// VMs of the tier; six if not stated, nine for `overload`; 9, 82 and 300 for `leaving` and `evacuations`.
    #[arg(long)]
    vms: Option<usize>,
    /// Leave the delays between places out.
    #[arg(long)]
    no_distances: bool,
    /// Lay each instance's upstreams apart, in three regions.
    #[arg(long)]
    apart: bool,
    /// Write what the first VM's core was told and did as a trace; use a light `--load`.
    #[arg(long)]
    record: Option<PathBuf>,
    /// Seconds measured; by default eight.
    #[arg(long)]
    seconds: Option<f64>,
    /// Seeds that `overload` plays.
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// A setting of the tier's decisions for `overload`, as `hedges=no`. May be given again.
    #[arg(long = "set", value_name = "NAME=VALUE")]
    set: Vec<String>,
    /// Print JSON instead of tables.
    #[arg(long)]
    json: bool,
    /// Write SVG plots into this folder.
    #[arg(long)]
    out: Option<PathBuf>,
}

pub(crate) fn run(args: &Args) -> anyhow::Result<ExitCode> {
    if args.scenario == "list" {
        for scenario in Scenario::ALL {
            println!("{:<20} {}", scenario.to_string(), scenario.about());
        }
        return Ok(ExitCode::SUCCESS);
    }
    if args.scenario == "slopes" {
        let slopes = slopes::measure();
        if args.json {
            println!("{}", serde_json::to_string_pretty(&slopes)?);
        } else {
            print!("{}", slopes::text(&slopes));
        }
        return Ok(ExitCode::SUCCESS);
    }
    if args.scenario == "starts" {
        return starts(args);
    }
    if args.scenario == "leaving" {
        return leaving(args, leaving::Subject::Upstreams);
    }
    if args.scenario == "warmup" {
        return warmup(args);
    }
    if args.scenario == "evacuations" {
        return leaving(args, leaving::Subject::Evacuations);
    }
    if let Some(name) = args.scenario.strip_prefix("overload") {
        return overload(args, name.trim_start_matches('/'));
    }
    let scenarios = match args.scenario.as_str() {
        "all" => Scenario::ALL.to_vec(),
        name => vec![
            Scenario::named(name)
                .with_context(|| format!("no experiment `{name}`: see `tanagergw bench list`"))?,
        ],
    };
    let users = match args.user.as_str() {
        "both" => User::ALL.to_vec(),
        name => vec![User::named(name).with_context(|| format!("--user {name}: unknown"))?],
    };
    let mut jobs = Vec::new();
    for scenario in scenarios {
        for user in &users {
            for seed in &args.seed {
                jobs.push((scenario, options(args, *user, *seed)?));
            }
        }
    }
    let reports = run_all(&jobs);
    for report in &reports {
        if let Some(dir) = &args.out {
            plot::write(report, dir)?;
        }
        if !args.json {
            println!("{report}");
        }
    }
    if args.json {
        println!("{}", serde_json::to_string_pretty(&reports)?);
    }
    let kept = reports.iter().flat_map(|r| &r.policies).all(|p| p.mixed + p.lost + p.doubled == 0);
    Ok(if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// VMs of the tier, as the first users have.
const VMS: usize = 6;
/// Sizes at which `bench starts` plays a start of all.
const STARTS: [usize; 4] = [7, 50, 300, 1_000];

/// Sizes at which `bench leaving` plays upstreams that leave.
const LEAVING: [usize; 3] = [9, 82, 300];

fn leaving(args: &Args, subject: leaving::Subject) -> anyhow::Result<ExitCode> {
    let sizes = args.vms.map_or(LEAVING.to_vec(), |vms| vec![vms]);
    let each = |vms: usize| args.seed.iter().flat_map(move |s| leaving::setups(subject, vms, *s));
    let outcomes: Vec<(String, leaving::Outcome)> = sizes
        .into_iter()
        .flat_map(each)
        .map(|(name, setup)| (name, leaving::play(setup)))
        .collect();
    if args.json {
        println!("{}", serde_json::to_string_pretty(&outcomes)?);
    } else {
        print!("{}", leaving::text(&outcomes));
    }
    Ok(ExitCode::SUCCESS)
}

/// Rates at which `bench warmup` plays a cold upstream, in requests a second, and VMs that hold the right to send to it.
const RATES: [f64; 3] = [2.0, 4.0, 20.0];
const HOLDERS: [usize; 2] = [1, 4];

fn warmup(args: &Args) -> anyhow::Result<ExitCode> {
    let sizes = args.vms.map_or(LEAVING.to_vec(), |vms| vec![vms]);
    let mut outcomes = Vec::new();
    for (vms, rate, holders) in every(&sizes) {
        for seed in &args.seed {
            for (name, setup) in warmup::setups(vms, rate, holders, *seed) {
                let outcome = warmup::play(setup.clone());
                outcomes.push((name, setup, outcome));
            }
        }
    }
    print!("{}", warmup::text(&outcomes));
    Ok(ExitCode::SUCCESS)
}

/// All sizes, rates and holders.
fn every(sizes: &[usize]) -> Vec<(usize, f64, usize)> {
    let rates = sizes.iter().flat_map(|vms| RATES.map(|rate| (*vms, rate)));
    rates.flat_map(|(vms, rate)| HOLDERS.map(|holders| (vms, rate, holders))).collect()
}

fn starts(args: &Args) -> anyhow::Result<ExitCode> {
    let seed = args.seed.first().copied().unwrap_or(1);
    let setups = STARTS.into_iter().flat_map(|vms| starts::setups(vms, seed));
    let outcomes: Vec<(String, starts::Outcome)> =
        setups.map(|(name, setup)| (name, starts::play(setup))).collect();
    if args.json {
        println!("{}", serde_json::to_string_pretty(&outcomes)?);
    } else {
        print!("{}", starts::text(&outcomes));
    }
    Ok(ExitCode::SUCCESS)
}

fn overload(args: &Args, name: &str) -> anyhow::Result<ExitCode> {
    let scenarios = match name {
        "" => overload::Scenario::ALL.to_vec(),
        name => vec![overload::Scenario::named(name).with_context(|| {
            let known = overload::Scenario::ALL.map(|s| s.to_string());
            format!("no scenario `{name}` of overload: there are {}", known.join(", "))
        })?],
    };
    let options = overload::Options { seeds: args.seeds, vms: args.vms, set: args.set.clone() };
    let mut reports = Vec::new();
    for scenario in scenarios {
        let report = overload::report(scenario, &options)?;
        if !args.json {
            println!("{report}");
        }
        reports.push(report);
    }
    if args.json {
        println!("{}", serde_json::to_string_pretty(&reports)?);
    }
    Ok(ExitCode::SUCCESS)
}

fn options(args: &Args, user: User, seed: u64) -> anyhow::Result<Options> {
    let mut options = Options::new(user, seed);
    options.vms = args.vms.unwrap_or(VMS);
    options.hops = !args.no_distances;
    options.spread = if args.apart { Spread::Apart } else { Spread::Together };
    options.load = args.load;
    options.record = args.record.clone();
    options.measured = args.seconds.map(|s| Millis::from_f64(s * 1000.0));
    match args.policy.as_deref() {
        None => {}
        Some("all") => options.policies = Policy::ALL.to_vec(),
        Some(names) => {
            let named = |name: &str| {
                Policy::named(name).with_context(|| {
                    let known: Vec<String> = Policy::ALL.iter().map(Policy::to_string).collect();
                    format!("--policy {name}: expected some of {}", known.join(", "))
                })
            };
            options.policies = names.split(',').map(named).collect::<anyhow::Result<_>>()?;
        }
    }
    Ok(options)
}

/// Runs all jobs on as many threads as the machine has processors; the order stays.
fn run_all(jobs: &[(Scenario, Options)]) -> Vec<Report> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let next = std::sync::atomic::AtomicUsize::new(0);
    let done = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.min(jobs.len()) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    let Some((scenario, options)) = jobs.get(index) else { return };
                    let report = scenario::report(*scenario, options);
                    done.lock()
                        .unwrap_or_else(std::sync::PoisonError::into_inner)
                        .push((index, report));
                }
            });
        }
    });
    let mut reports = done.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    reports.sort_by_key(|(index, _)| *index);
    reports.into_iter().map(|(_, report)| report).collect()
}
