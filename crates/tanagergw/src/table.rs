//! The `tanagergw table` command.

use crate::{
    access::{self, Platform, Vms, try_access},
    settings::EXIT_FINDINGS,
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

/// Exit code if the table was edited after the edition that the file was made from.
const EXIT_CONFLICT: u8 = 3;
/// Exit code if it could not be determined whether an edit was accepted.
const EXIT_UNKNOWN: u8 = 4;
/// Exit code if an edition is not in force everywhere before the timeout.
const EXIT_NOT_IN_FORCE: u8 = 5;
/// Interval at which `table wait` queries the VMs.
const POLL_INTERVAL_MS: Duration = Duration::from_millis(100);

/// Show, check, compare and change the operators' table as CSV.
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
    /// Print the table. Its first line names the edition, which `apply` compares with the current one.
    Show,
    /// Check a file, and print every finding with row and column.
    Check {
        /// The CSV file, or - for standard input.
        file: String,
    },
    /// Print the changes that a file would make.
    Diff {
        /// The CSV file, or - for standard input.
        file: String,
    },
    /// Write a file as the next edition, and print the edition's number.
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
    /// Wait until an edition is in force at every live VM; after the timeout, list where it is not.
    Wait {
        /// The number of the edition.
        edition: u64,
        /// Timeout in seconds.
        #[arg(long, default_value_t = 12)]
        seconds: u64,
    },
}

pub(crate) fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    if let Command::Check { file } = &args.command {
        return exit_code(
            table::check(&read_input(file)?)
                .map(|t| println!("{} rows, no findings", t.rows.len())),
        );
    }
    if let Command::Wait { edition, seconds } = args.command {
        let access = try_access!(access::vm_access(&args.platform, &args.vms));
        return runtime.block_on(wait(&access, edition, Duration::from_secs(seconds)));
    }
    let store = try_access!(access::open_store(&args.platform));
    match &args.command {
        Command::Show => {
            exit_code(runtime.block_on(table::show(&store)).map(|text| print!("{text}")))
        }
        Command::Diff { file } => {
            let changes = runtime.block_on(table::difference(&store, &read_input(file)?));
            exit_code(changes.map(|changes| changes.iter().for_each(|c| println!("{c}"))))
        }
        Command::Apply { file } => {
            let applied = runtime.block_on(table::apply(&store, &read_input(file)?));
            exit_code(applied.map(|edition| println!("edition {edition}")))
        }
        Command::History { json } => {
            let history = runtime.block_on(table::history(&store));
            exit_code(history.map(|revisions| print_history(&revisions, *json)))
        }
        Command::Check { .. } | Command::Wait { .. } => Ok(ExitCode::SUCCESS),
    }
}

fn read_input(file: &str) -> anyhow::Result<String> {
    if file == "-" {
        let mut text = String::new();
        if io::stdin().is_terminal() {
            eprintln!("reading the table from the terminal; press Ctrl-D to end");
        }
        io::stdin().read_to_string(&mut text).context("cannot read standard input")?;
        return Ok(text);
    }
    std::fs::read_to_string(file).with_context(|| format!("cannot read {file}"))
}

fn print_history(revisions: &[table::Revision], json: bool) {
    if json {
        println!("{}", serde_json::to_string(revisions).unwrap_or_default());
        return;
    }
    for revision in revisions {
        println!("edition {} at {} (Unix seconds)", revision.edition, revision.at_s);
        for change in &revision.changes {
            println!("  {change}");
        }
    }
}

fn exit_code(result: Result<(), Refusal>) -> anyhow::Result<ExitCode> {
    let Err(refusal) = result else { return Ok(ExitCode::SUCCESS) };
    eprintln!("error: {refusal}");
    Ok(match refusal {
        Refusal::Findings(findings) => {
            findings.iter().for_each(|f| eprintln!("{f}"));
            ExitCode::from(EXIT_FINDINGS)
        }
        Refusal::Conflict { rows, .. } => {
            rows.iter().for_each(|r| eprintln!("  {r}"));
            eprintln!("get the current table with `table show` and repeat the edit on it");
            ExitCode::from(EXIT_CONFLICT)
        }
        Refusal::Unknown { .. } => {
            eprintln!("check with `table history` once the platform is available");
            ExitCode::from(EXIT_UNKNOWN)
        }
        Refusal::Unavailable { .. } => ExitCode::FAILURE,
    })
}

async fn wait(
    access: &tgw_operate::Access,
    edition: u64,
    timeout: Duration,
) -> anyhow::Result<ExitCode> {
    let deadline = Instant::now() + timeout;
    loop {
        let fleet = status::fetch(access).await;
        let outdated: Vec<String> = match fleet.views.first() {
            Some(view) => status::outdated(view, edition),
            None => fleet.unresponsive.clone(),
        };
        if outdated.is_empty() {
            println!("edition {edition} is in force everywhere");
            return Ok(ExitCode::SUCCESS);
        }
        if Instant::now() >= deadline {
            eprintln!("error: edition {edition} is not in force everywhere:");
            outdated.iter().for_each(|l| eprintln!("  {l}"));
            return Ok(ExitCode::from(EXIT_NOT_IN_FORCE));
        }
        tokio::time::sleep(POLL_INTERVAL_MS).await;
    }
}
