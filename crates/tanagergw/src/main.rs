//! The command line of tanagergw: a thin layer over the crates that do the work.

mod access;
mod bench;
mod demo;
mod gateway;
mod logs;
mod quarantine;
mod replay;
mod serve;
mod settings;
mod signal;
mod standin;
mod status;
mod table;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// A query tier over many shards.
#[derive(Parser)]
#[command(version, about, max_term_width = 100)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run one VM's process with all its roles.
    Serve(serve::Args),
    /// Serve on the users' platform, configured by the platform's settings file.
    Gateway(gateway::Args),
    /// Check a settings file.
    Settings(settings::Args),
    /// Show, check, compare and change the operators' table.
    Table(table::Args),
    /// Show the fleet's status.
    Status(status::Status),
    /// Explain what the tier decided for one query.
    Explain(status::Explain),
    /// List or release requests that a gateway quarantines because upstream processes end while serving them.
    Quarantine(quarantine::Args),
    /// Print completions for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
    /// Run stand-ins and several VMs in this process, send queries and inject faults.
    Demo(demo::Args),
    /// Replay a recorded trace on the decision core.
    Replay(replay::Args),
    /// Run experiments under a virtual clock.
    Bench(bench::Args),
    /// Run a stand-in of the platform or of upstreams, to try `serve` with separate processes.
    Standin(standin::Args),
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Serve(args) => serve::run(&args),
        Command::Gateway(args) => gateway::run(&args),
        Command::Settings(args) => settings::run(&args),
        Command::Table(args) => table::run(&args),
        Command::Status(args) => status::run(&args),
        Command::Explain(args) => status::explain(&args),
        Command::Quarantine(args) => quarantine::run(&args),
        Command::Completions { shell } => {
            let mut command = <Cli as clap::CommandFactory>::command();
            clap_complete::generate(shell, &mut command, "tanagergw", &mut std::io::stdout());
            Ok(ExitCode::SUCCESS)
        }
        Command::Demo(args) => demo::run(&args),
        Command::Replay(args) => replay::run(&args),
        Command::Bench(args) => bench::run(&args),
        Command::Standin(args) => standin::run(&args),
    };
    result.unwrap_or_else(|error| {
        eprintln!("error: {error:#}");
        ExitCode::FAILURE
    })
}
