//! `tanagergw table`.

use crate::{
    access::{self, Platform, Vms, have},
    settings::FINDINGS,
};
use anyhow::Context;
use clap::Subcommand;
use std::{
    io::{self, IsTerminal, Read},
    process::ExitCode,
    time::{Duration, Instant},
};
use tgw_operate::{
    status,
    table::{self, Refusal},
};

/// Exit code of a conflict with another edit.
const CONFLICT: u8 = 3;
/// Exit code when it could not be found out whether an edit was accepted.
const UNKNOWN: u8 = 4;
/// Exit code when an edition is not in force everywhere in time.
const NOT_IN_FORCE: u8 = 5;
const POLL: Duration = Duration::from_millis(100);

/// The operators' table, as CSV.
///
/// Exit codes: 0 done, 1 error, 2 findings, 3 conflict, 4 unknown, 5 not in force everywhere.
#[derive(clap::Args)]
#[command(after_help = "Examples:\n  tanagergw table show --settings vm.ini > table.csv\n  \
    tanagergw table apply table.csv --settings vm.ini\n  \
    tanagergw table wait 7 --settings vm.ini")]
pub(crate) struct Args {
    #[command(subcommand)]
    command: Command,
    #[command(flatten)]
    platform: Platform,
    #[command(flatten)]
    vms: Vms,
}

#[derive(Subcommand)]
enum Command {
    /// Print the table; its first line names the edition, which `apply` compares.
    Show,
    /// Print every finding with row and column.
    Check {
        /// The CSV file, or - for standard input.
        file: String,
    },
    /// Print what a file would change.
    Diff {
        /// The CSV file, or - for standard input.
        file: String,
    },
    /// Make a file the next edition, and print its number.
    Apply {
        /// The CSV file, or - for standard input.
        file: String,
    },
    /// Print the accepted edits.
    History {
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Return once an edition is in force at every live VM, or list where it is not.
    Wait {
        /// The edition.
        edition: u64,
        /// Seconds to wait.
        #[arg(long, default_value_t = 12)]
        seconds: u64,
    },
}

pub(crate) fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    if let Command::Check { file } = &args.command {
        return done(
            table::check(&read(file)?).map(|t| println!("{} rows, no findings", t.rows.len())),
        );
    }
    if let Command::Wait { edition, seconds } = args.command {
        let access = have!(access::vms(&args.platform, &args.vms));
        return runtime.block_on(wait(&access, edition, Duration::from_secs(seconds)));
    }
    let store = have!(access::store(&args.platform));
    match &args.command {
        Command::Show => done(runtime.block_on(table::show(&store)).map(|text| print!("{text}"))),
        Command::Diff { file } => {
            let changes = runtime.block_on(table::difference(&store, &read(file)?));
            done(changes.map(|changes| changes.iter().for_each(|c| println!("{c}"))))
        }
        Command::Apply { file } => {
            let applied = runtime.block_on(table::apply(&store, &read(file)?));
            done(applied.map(|edit| println!("edition {edit}")))
        }
        Command::History { json } => {
            let history = runtime.block_on(table::history(&store));
            done(history.map(|past| print_history(&past, *json)))
        }
        Command::Check { .. } | Command::Wait { .. } => Ok(ExitCode::SUCCESS),
    }
}

fn read(file: &str) -> anyhow::Result<String> {
    if file == "-" {
        let mut text = String::new();
        if io::stdin().is_terminal() {
            eprintln!("reading the table from the terminal; end with Ctrl-D");
        }
        io::stdin().read_to_string(&mut text).context("standard input")?;
        return Ok(text);
    }
    std::fs::read_to_string(file).with_context(|| format!("cannot read {file}"))
}

fn print_history(past: &[table::Past], json: bool) {
    if json {
        println!("{}", serde_json::to_string(past).unwrap_or_default());
        return;
    }
    for edit in past {
        println!("edition {} at {} (Unix seconds)", edit.edit, edit.at_s);
        for change in &edit.changes {
            println!("  {change}");
        }
    }
}

fn done(result: Result<(), Refusal>) -> anyhow::Result<ExitCode> {
    let Err(refusal) = result else { return Ok(ExitCode::SUCCESS) };
    eprintln!("error: {refusal}");
    Ok(match refusal {
        Refusal::Findings(findings) => {
            findings.iter().for_each(|f| eprintln!("{f}"));
            ExitCode::from(FINDINGS)
        }
        Refusal::Conflict { rows, .. } => {
            rows.iter().for_each(|r| eprintln!("  {r}"));
            eprintln!("take the table anew with `table show` and make the edit again");
            ExitCode::from(CONFLICT)
        }
        Refusal::Unknown { .. } => {
            eprintln!("look with `table history` once the platform answers");
            ExitCode::from(UNKNOWN)
        }
        Refusal::Unavailable { .. } => ExitCode::FAILURE,
    })
}

async fn wait(
    access: &tgw_operate::Access,
    edition: u64,
    limit: Duration,
) -> anyhow::Result<ExitCode> {
    let until = Instant::now() + limit;
    loop {
        let fleet = status::fetch(access).await;
        let late: Vec<String> = match fleet.views.first() {
            Some(view) => status::not_in_force(view, edition),
            None => fleet.silent.clone(),
        };
        if late.is_empty() {
            println!("edition {edition} is in force everywhere");
            return Ok(ExitCode::SUCCESS);
        }
        if Instant::now() >= until {
            eprintln!("error: edition {edition} is not in force everywhere:");
            late.iter().for_each(|l| eprintln!("  {l}"));
            return Ok(ExitCode::from(NOT_IN_FORCE));
        }
        tokio::time::sleep(POLL).await;
    }
}
