//! The `tanagergw bench` command.

use anyhow::Context;
use std::{path::PathBuf, process::ExitCode};
use tgw_bench::{
    Policy, Report, Scenario, leaving, limits, overload, plot,
    scenario::{self, Options},
    slopes, starts, warmup,
};
use tgw_clock::Millis;
use tgw_standin::size::{Spread, User};

#[derive(clap::Args)]
pub(crate) struct Args {
    /// An experiment, `all`, `list`, `slopes` for the cost of a unit of state and of work, `starts` for which VMs read
    /// the store when many VMs start at once, `leaving` for how long VMs send to upstreams that leave, `evacuations`
    /// for the same of failure domains, `warmup` for the load that all VMs put on a cold upstream, `limits` for
    /// the requests of tenants that all VMs admit, `overload` for forwarding under extreme load, or `overload/NAME` for one of its scenarios.
    scenario: String,
    /// User whose fleet size is simulated: coimbra, aspen or both.
    #[arg(long, default_value = "both")]
    user: String,
    /// Policies to compare, separated by commas; `all` for all.
    #[arg(long)]
    policy: Option<String>,
    /// Seeds, separated by commas.
    #[arg(long, default_value = "1", value_delimiter = ',')]
    seed: Vec<u64>,
    /// Demand as a fraction of all slots; by default set by the experiment.
    #[arg(long)]
    load: Option<f64>,
    /// Number of VMs of the tier; by default six, nine for `overload`, and 9, 82 and 300 for `leaving`, `evacuations`
    /// and `warmup`.
    #[arg(long)]
    vms: Option<usize>,
    /// Simulate no network delays between failure domains and regions.
    #[arg(long)]
    no_distances: bool,
    /// Spread each instance's upstreams over three regions.
    #[arg(long)]
    apart: bool,
    /// Write the inputs and outputs of the first VM's core to this file as a trace; use a light `--load`.
    #[arg(long)]
    record: Option<PathBuf>,
    /// Length of the measurement in seconds; by default eight.
    #[arg(long)]
    seconds: Option<f64>,
    /// Number of seeds with which `overload` runs.
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// Shards of the index in `overload`; by default ten.
    #[arg(long)]
    shards: Option<usize>,
    /// Number of queries that end upstreams in `overload/queries-of-death`; by default four.
    #[arg(long)]
    deadly: Option<usize>,
    /// Overrides a policy setting for `overload`, such as `hedges=no`. May be repeated.
    #[arg(long = "set", value_name = "NAME=VALUE")]
    set: Vec<String>,
    /// Print JSON instead of tables.
    #[arg(long)]
    json: bool,
    /// Write SVG plots to this folder.
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
        return run_starts(args);
    }
    if args.scenario == "leaving" {
        return run_leaving(args, leaving::Subject::Upstreams);
    }
    if args.scenario == "warmup" {
        return run_warmup(args);
    }
    if args.scenario == "limits" {
        return run_limits(args);
    }
    if args.scenario == "evacuations" {
        return run_leaving(args, leaving::Subject::Evacuations);
    }
    if let Some(name) = args.scenario.strip_prefix("overload") {
        return run_overload(args, name.trim_start_matches('/'));
    }
    let scenarios =
        match args.scenario.as_str() {
            "all" => Scenario::ALL.to_vec(),
            name => vec![Scenario::named(name).with_context(|| {
                format!("unknown experiment `{name}`: see `tanagergw bench list`")
            })?],
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
    let all_correct =
        reports.iter().flat_map(|r| &r.policies).all(|p| p.mixed + p.lost + p.doubled == 0);
    Ok(if all_correct { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Default number of VMs of the tier, the same as in the first users' fleets.
const DEFAULT_VMS: usize = 6;
/// Numbers of VMs that start at once in `bench starts`.
const START_VMS: [usize; 4] = [7, 50, 300, 1_000];

/// Default numbers of VMs for `bench leaving`, `bench evacuations` and `bench warmup`.
const LEAVING_VMS: [usize; 3] = [9, 82, 300];

fn run_leaving(args: &Args, subject: leaving::Subject) -> anyhow::Result<ExitCode> {
    let sizes = args.vms.map_or(LEAVING_VMS.to_vec(), |vms| vec![vms]);
    let setups = |vms: usize| args.seed.iter().flat_map(move |s| leaving::setups(subject, vms, *s));
    let outcomes: Vec<(String, leaving::Outcome)> = sizes
        .into_iter()
        .flat_map(setups)
        .map(|(name, setup)| (name, leaving::play(setup)))
        .collect();
    if args.json {
        println!("{}", serde_json::to_string_pretty(&outcomes)?);
    } else {
        print!("{}", leaving::text(&outcomes));
    }
    Ok(ExitCode::SUCCESS)
}

/// Default numbers of VMs for `bench limits`.
const LIMITS_VMS: [usize; 3] = [9, 76, 300];

fn run_limits(args: &Args) -> anyhow::Result<ExitCode> {
    let sizes = args.vms.map_or(LIMITS_VMS.to_vec(), |vms| vec![vms]);
    let mut outcomes = Vec::new();
    for vms in sizes {
        for way in [limits::Way::PerRegion, limits::Way::Single] {
            for (name, setup) in args.seed.iter().flat_map(|s| limits::setups(vms, way, *s)) {
                let outcome = limits::play(setup.clone());
                outcomes.push((name, setup, outcome));
            }
        }
    }
    print!("{}", limits::text(&outcomes));
    Ok(ExitCode::SUCCESS)
}

/// Request rates at which `bench warmup` runs, per second.
const WARMUP_RATES_PER_S: [f64; 3] = [2.0, 4.0, 20.0];
/// Numbers of VMs that hold a lease to send to the cold upstream in `bench warmup`.
const WARMUP_LEASE_HOLDERS: [usize; 2] = [1, 4];

fn run_warmup(args: &Args) -> anyhow::Result<ExitCode> {
    let sizes = args.vms.map_or(LEAVING_VMS.to_vec(), |vms| vec![vms]);
    let mut outcomes = Vec::new();
    for (vms, rate, holders) in warmup_cases(&sizes) {
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

/// All combinations of sizes, rates and numbers of lease holders.
fn warmup_cases(sizes: &[usize]) -> Vec<(usize, f64, usize)> {
    let rates = sizes.iter().flat_map(|vms| WARMUP_RATES_PER_S.map(|rate| (*vms, rate)));
    rates.flat_map(|(vms, rate)| WARMUP_LEASE_HOLDERS.map(|holders| (vms, rate, holders))).collect()
}

fn run_starts(args: &Args) -> anyhow::Result<ExitCode> {
    let seed = args.seed.first().copied().unwrap_or(1);
    let setups = START_VMS.into_iter().flat_map(|vms| starts::setups(vms, seed));
    let outcomes: Vec<(String, starts::Outcome)> =
        setups.map(|(name, setup)| (name, starts::play(setup))).collect();
    if args.json {
        println!("{}", serde_json::to_string_pretty(&outcomes)?);
    } else {
        print!("{}", starts::text(&outcomes));
    }
    Ok(ExitCode::SUCCESS)
}

fn run_overload(args: &Args, name: &str) -> anyhow::Result<ExitCode> {
    let scenarios = match name {
        "" => overload::Scenario::ALL.to_vec(),
        name => vec![overload::Scenario::named(name).with_context(|| {
            let known = overload::Scenario::ALL.map(|s| s.to_string());
            format!("unknown overload scenario `{name}`: expected one of {}", known.join(", "))
        })?],
    };
    let options = overload::Options {
        seeds: args.seeds,
        vms: args.vms,
        shards: args.shards,
        deadly: args.deadly,
        set: args.set.clone(),
    };
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
    options.vms = args.vms.unwrap_or(DEFAULT_VMS);
    options.hops = !args.no_distances;
    options.spread = if args.apart { Spread::Apart } else { Spread::Together };
    options.load = args.load;
    options.record = args.record.clone();
    options.measured = args.seconds.map(|s| Millis::from_f64(s * 1000.0));
    match args.policy.as_deref() {
        None => {}
        Some("all") => options.policies = Policy::ALL.to_vec(),
        Some(names) => {
            let parse = |name: &str| {
                Policy::named(name).with_context(|| {
                    let known: Vec<String> = Policy::ALL.iter().map(Policy::to_string).collect();
                    format!("--policy {name}: expected one or more of {}", known.join(", "))
                })
            };
            options.policies = names.split(',').map(parse).collect::<anyhow::Result<_>>()?;
        }
    }
    Ok(options)
}

/// Runs all jobs on as many threads as the machine has processors; reports are in the order of the jobs.
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
