//! `tanagergw status` and `tanagergw explain`.

use crate::access::{self, Platform, Vms, have};
use anyhow::Context;
use std::{path::PathBuf, process::ExitCode};
use tgw_operate::{explain, leaving, losses, status, story};

/// The VMs, the table in force in each failure domain, and the upstreams with owner and state.
#[derive(clap::Args)]
pub(crate) struct Status {
    #[command(flatten)]
    asked: Asked,
}

/// Whom to ask, and how to print.
#[derive(clap::Args)]
struct Asked {
    #[command(flatten)]
    platform: Platform,
    #[command(flatten)]
    vms: Vms,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// What the tier decided for one query, step by step.
#[derive(clap::Args)]
pub(crate) struct Explain {
    /// The query's identity, or the caller's own name for it.
    #[arg(required_unless_present_any = ["losses", "leaving"])]
    query: Option<String>,
    /// Log files of VMs: the story is read from them, and no VM is asked.
    files: Vec<PathBuf>,
    /// When the caller sent it, as the beginning of an RFC 3339 time: tells what the VMs did then if
    /// none of them logged the request.
    #[arg(long)]
    at: Option<String>,
    /// The VM that the caller was led to, if that is known; with --at.
    #[arg(long, requires = "at")]
    vm: Option<String>,
    /// Instead of one query, count from these log files where requests were lost.
    #[arg(long, num_args = 1.., value_name = "FILE", conflicts_with = "query")]
    losses: Vec<PathBuf>,
    /// With --losses, leave requests of this cause out, as `no route`. May be given again.
    #[arg(long, value_name = "CAUSE", requires = "losses")]
    leave_out: Vec<String>,
    /// Instead of one query, tell from these log files who learned when that the upstream of this identity leaves,
    /// and who sent to it after that.
    #[arg(long, num_args = 2.., value_names = ["UPSTREAM", "FILE"], conflicts_with_all = ["query", "losses"])]
    leaving: Vec<String>,
    #[command(flatten)]
    asked: Asked,
}

pub(crate) fn run(args: &Status) -> anyhow::Result<ExitCode> {
    let access = have!(access::vms(&args.asked.platform, &args.asked.vms));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let fleet = runtime.block_on(status::fetch(&access));
    if args.asked.json {
        println!("{}", serde_json::to_string(&fleet)?);
    } else {
        print!("{}", status::text(&fleet));
    }
    let reached = !fleet.views.is_empty();
    Ok(if reached { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Tells a request's story from log files.
fn story(args: &Explain, query: &str) -> anyhow::Result<ExitCode> {
    let asked = story::Asked { request: query, at: args.at.as_deref(), vm: args.vm.as_deref() };
    let story = story::read(asked, &args.files).context("cannot read the logs")?;
    println!("what the VMs believed:");
    story.before.iter().for_each(|line| println!("  {line}"));
    println!("what was decided:");
    story.lines.iter().for_each(|line| println!("  {line}"));
    println!("cause: {}", story.cause);
    Ok(if story.lines.is_empty() { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

/// Counts where requests were lost.
fn losses(args: &Explain) -> anyhow::Result<ExitCode> {
    let options = losses::Options { leave_out: args.leave_out.clone() };
    let losses = losses::read(&args.losses, &options).context("cannot read the logs")?;
    if args.asked.json {
        println!("{}", serde_json::to_string(&losses)?);
    } else {
        print!("{losses}");
    }
    Ok(ExitCode::SUCCESS)
}

/// Tells who learned when that an upstream leaves.
fn leaving(args: &Explain, upstream: &str, files: &[String]) -> anyhow::Result<ExitCode> {
    let leaving = leaving::read(upstream, files).context("cannot read the logs")?;
    if args.asked.json {
        println!("{}", serde_json::to_string(&leaving)?);
    } else {
        print!("{leaving}");
    }
    Ok(if leaving.vms.is_empty() { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

pub(crate) fn explain(args: &Explain) -> anyhow::Result<ExitCode> {
    if let Some((upstream, files)) = args.leaving.split_first() {
        return leaving(args, upstream, files);
    }
    if !args.losses.is_empty() {
        return losses(args);
    }
    let query = args.query.as_deref().unwrap_or_default();
    if !args.files.is_empty() {
        return story(args, query);
    }
    let access = have!(access::vms(&args.asked.platform, &args.asked.vms));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let lines = runtime.block_on(explain::fetch(&access, query));
    if args.asked.json {
        println!("{}", serde_json::to_string(&lines)?);
    } else {
        print!("{}", explain::text(&lines));
    }
    if lines.is_empty() {
        eprintln!(
            "no decisions are kept for {query}: it is too old, was not sampled (settings log.sample), \
             or went through a VM that was not asked (--operators)"
        );
        return Ok(ExitCode::FAILURE);
    }
    Ok(ExitCode::SUCCESS)
}
