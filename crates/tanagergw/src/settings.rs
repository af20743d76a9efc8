//! The `tanagergw settings check` command.

use clap::Subcommand;
use std::process::ExitCode;
use tgw_settings::{Finding, Settings};

/// Exit code if a file has findings.
pub(crate) const EXIT_FINDINGS: u8 = 2;

#[derive(clap::Args)]
pub(crate) struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Print every finding as FILE:LINE: section.key: message; exit 0 if there is none, else 2.
    Check {
        /// The settings file.
        file: String,
    },
}

pub(crate) fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let Command::Check { file } = &args.command;
    match open(file) {
        Ok(_) => {
            println!("{file}: no findings");
            Ok(ExitCode::SUCCESS)
        }
        Err(code) => Ok(code),
    }
}

/// Opens a settings file. If it has findings, prints them and returns the exit code.
pub(crate) fn open(file: &str) -> Result<Settings, ExitCode> {
    tgw_settings::load(file).map_err(|findings: Vec<Finding>| {
        for finding in &findings {
            eprintln!("{finding}");
        }
        ExitCode::from(EXIT_FINDINGS)
    })
}
