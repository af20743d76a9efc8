//! The `tanagergw status` and `tanagergw explain` commands.

use crate::access::{self, Platform, Vms, try_access};
use anyhow::Context;
use std::{path::PathBuf, process::ExitCode};
use tgw_operate::{explain, leaving, losses, spread, status, timeline};

/// Show the VMs, the table's edition in force in each failure domain, and the upstreams with owner and state.
#[derive(clap::Args)]
pub(crate) struct Status {
    #[command(flatten)]
    asked: Sources,
}

/// Options that select the VMs to query and the output format.
#[derive(clap::Args)]
struct Sources {
    #[command(flatten)]
    platform: Platform,
    #[command(flatten)]
    vms: Vms,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// Explain the tier's decisions for one query step by step.
#[derive(clap::Args)]
pub(crate) struct Explain {
    /// The query's ID, or the caller's own ID of it.
    #[arg(required_unless_present_any = ["losses", "leaving", "spread"])]
    query: Option<String>,
    /// Log files of VMs. The timeline is built from them, and no VM is queried.
    files: Vec<PathBuf>,
    /// When the caller sent the request, as a prefix of an RFC 3339 time. If no VM logged the request, shows what
    /// happened to the VMs around that time.
    #[arg(long)]
    at: Option<String>,
    /// The VM that the caller connected to, if known; with --at.
    #[arg(long, requires = "at")]
    vm: Option<String>,
    /// Instead of explaining one query, count failed, refused, late and partial requests in these log files.
    #[arg(long, num_args = 1.., value_name = "FILE", conflicts_with = "query")]
    losses: Vec<PathBuf>,
    /// With --losses, do not count requests of this cause, such as `no route`. May be repeated.
    #[arg(long, value_name = "CAUSE", requires = "losses")]
    leave_out: Vec<String>,
    /// Instead of explaining one query, report from these log files when each VM learned that the upstream of this ID
    /// leaves, and which VMs sent to it afterwards.
    #[arg(long, num_args = 2.., value_names = ["UPSTREAM", "FILE"], conflicts_with_all = ["query", "losses"])]
    leaving: Vec<String>,
    /// Instead of explaining one query, report from these log files how long configurations and leaving upstreams took
    /// to be known at all VMs.
    #[arg(long, num_args = 1.., value_name = "FILE", conflicts_with_all = ["query", "losses", "leaving"])]
    spread: Vec<PathBuf>,
    #[command(flatten)]
    asked: Sources,
}

pub(crate) fn run(args: &Status) -> anyhow::Result<ExitCode> {
    let access = try_access!(access::vm_access(&args.asked.platform, &args.asked.vms));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let fleet = runtime.block_on(status::fetch(&access));
    if args.asked.json {
        println!("{}", serde_json::to_string(&fleet)?);
    } else {
        print!("{}", status::render(&fleet));
    }
    let any_answered = !fleet.views.is_empty();
    Ok(if any_answered { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Prints a request's timeline from log files.
fn print_timeline(args: &Explain, query: &str) -> anyhow::Result<ExitCode> {
    let selector =
        timeline::Selector { request: query, at: args.at.as_deref(), vm: args.vm.as_deref() };
    let timeline = timeline::read(selector, &args.files).context("cannot read the logs")?;
    println!("what the VMs believed:");
    timeline.context.iter().for_each(|line| println!("  {line}"));
    println!("what was decided:");
    timeline.lines.iter().for_each(|line| println!("  {line}"));
    println!("cause: {}", timeline.cause);
    Ok(if timeline.lines.is_empty() { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

/// Prints the count of failed, refused, late and partial requests.
fn print_losses(args: &Explain) -> anyhow::Result<ExitCode> {
    let options = losses::Options { leave_out: args.leave_out.clone() };
    let losses = losses::read(&args.losses, &options).context("cannot read the logs")?;
    if args.asked.json {
        println!("{}", serde_json::to_string(&losses)?);
    } else {
        print!("{losses}");
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints how long changes took to be known at all VMs.
fn print_spread(args: &Explain) -> anyhow::Result<ExitCode> {
    let report = spread::read(&args.spread).context("cannot read the logs")?;
    if args.asked.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        print!("{report}");
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints when each VM learned that an upstream leaves.
fn print_leaving(args: &Explain, upstream: &str, files: &[String]) -> anyhow::Result<ExitCode> {
    let report = leaving::read(upstream, files).context("cannot read the logs")?;
    if args.asked.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        print!("{report}");
    }
    Ok(if report.vms.is_empty() { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

pub(crate) fn explain(args: &Explain) -> anyhow::Result<ExitCode> {
    if let Some((upstream, files)) = args.leaving.split_first() {
        return print_leaving(args, upstream, files);
    }
    if !args.losses.is_empty() {
        return print_losses(args);
    }
    if !args.spread.is_empty() {
        return print_spread(args);
    }
    let query = args.query.as_deref().unwrap_or_default();
    if !args.files.is_empty() {
        return print_timeline(args, query);
    }
    let access = try_access!(access::vm_access(&args.asked.platform, &args.asked.vms));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let lines = runtime.block_on(explain::fetch(&access, query));
    if args.asked.json {
        println!("{}", serde_json::to_string(&lines)?);
    } else {
        print!("{}", explain::render(&lines));
    }
    if lines.is_empty() {
        eprintln!(
            "no VM has decisions for {query}: the query is too old, was not sampled (settings log.sample), \
             or went through a VM that was not queried (--operators)"
        );
        return Ok(ExitCode::FAILURE);
    }
    Ok(ExitCode::SUCCESS)
}
