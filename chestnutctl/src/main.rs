//! Command-line tool for operators of a fleet.

mod certs;
mod check;
mod cli;
mod client;
mod commands;
mod error;
mod output;

use std::process::ExitCode;

use clap::Parser;

use crate::cli::Cli;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match commands::run(Cli::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("chestnutctl: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}
