//! Command line of the daemon.

use std::path::PathBuf;

use clap::Parser;

/// Serves language-model prompts of very unlike lengths.
#[derive(Debug, Parser)]
#[command(version, about)]
pub struct Cli {
    /// Settings of this instance, in TOML.
    #[arg(short, long, default_value = "chestnutstage.toml", env = "CHESTNUTSTAGE_SETTINGS")]
    pub settings: PathBuf,

    /// Check the settings and exit.
    #[arg(long)]
    pub check_config: bool,
}
