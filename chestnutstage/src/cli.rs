//! Command line of the daemon.

use std::path::PathBuf;

use clap::Parser;

/// Serving layer for language-model prompts of widely varying lengths.
#[derive(Debug, Parser)]
#[command(version, about)]
pub struct Cli {
    /// Settings file of this instance, in TOML.
    #[arg(short, long, default_value = "chestnutstage.toml", env = "CHESTNUTSTAGE_SETTINGS")]
    pub settings: PathBuf,

    /// Check the settings and exit.
    #[arg(long)]
    pub check_config: bool,
}
