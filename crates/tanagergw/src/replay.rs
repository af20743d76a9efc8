//! The `tanagergw replay` command.

use anyhow::Context;
use std::{fs::File, io::BufReader, process::ExitCode};

/// Feed a recorded trace to the decision core and compare its outputs; exit 1 on a difference.
#[derive(clap::Args)]
pub(crate) struct Args {
    /// The trace file, as written by `demo --record` and `bench --record`.
    trace: String,
}

pub(crate) fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let file = File::open(&args.trace).with_context(|| format!("cannot read {}", args.trace))?;
    let outcome = tgw_replay::replay(BufReader::new(file)).context(args.trace.clone())?;
    for difference in &outcome.differences {
        println!("{}:{}:", args.trace, difference.line);
        difference.missing.iter().for_each(|line| println!("  - {line}"));
        difference.extra.iter().for_each(|line| println!("  + {line}"));
    }
    println!(
        "{} inputs, {} outputs, {} answers, {} differences",
        outcome.inputs,
        outcome.outputs,
        outcome.answers,
        outcome.differences.len()
    );
    let same = outcome.differences.is_empty();
    Ok(if same { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
