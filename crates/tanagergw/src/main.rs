//! The command line of tanagergw: a thin layer over the crates that do the work.

mod bench;
mod demo;
mod logs;
mod serve;
mod settings;
mod signal;
mod standin;

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
    /// Run one VM's process, all duties.
    Serve(serve::Args),
    /// Check a settings file.
    Settings(settings::Args),
    /// Run stand-ins and several VMs in this process, with queries and faults.
    Demo(demo::Args),
    /// Run experiments under a virtual clock.
    Bench(bench::Args),
    /// Run one stand-in, so that `serve` can be tried as separate processes.
    Standin(standin::Args),
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Serve(args) => serve::run(&args),
        Command::Settings(args) => settings::run(&args),
        Command::Demo(args) => demo::run(&args),
        Command::Bench(args) => bench::run(&args),
        Command::Standin(args) => standin::run(&args),
    };
    done.unwrap_or_else(|error| {
        eprintln!("error: {error:#}");
        ExitCode::FAILURE
    })
}
