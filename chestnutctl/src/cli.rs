//! Command line of the operators' tool.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;

/// Operates a fleet of chestnutstage.
///
/// Exit codes: 0 done, 1 failed, 2 wrong usage or invalid input, 3 conflict with another change, 4 committed but not
/// yet in force everywhere, 5 unknown whether committed.
#[derive(Debug, Parser)]
#[command(version, about, name = "chestnutctl")]
pub(crate) struct Cli {
    /// Base URL of any instance.
    #[arg(long, env = "CHESTNUTCTL_ADDRESS", default_value = "http://127.0.0.1:8080", global = true)]
    pub(crate) address: String,

    /// Operator's token.
    #[arg(long, env = "CHESTNUTCTL_TOKEN", hide_env_values = true, default_value = "", global = true)]
    pub(crate) token: String,

    /// Print JSON.
    #[arg(long, global = true)]
    pub(crate) json: bool,

    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Defaults for the whole fleet.
    #[command(subcommand)]
    Defaults(Defaults),
    /// Departures from the defaults.
    #[command(subcommand)]
    Exceptions(Exceptions),
    /// Customers and their keys.
    #[command(subcommand)]
    Customers(Customers),
    /// Availability zones in and out of service.
    #[command(subcommand)]
    Zones(Service),
    /// Endpoints in and out of service.
    #[command(subcommand)]
    Endpoints(Service),
    /// Instances, with the version in force at each.
    Status,
    /// Dump of one instance's state.
    State {
        /// The instance.
        instance: String,
    },
    /// Why a request went where it went.
    Explain {
        /// The request's id, as in the `x-request-id` header of its answer.
        request: String,
    },
    /// An instance of the gateway, with the address of its checks as base URL.
    #[command(subcommand)]
    Gateway(Gateway),
    /// Check a file of settings or defaults, offline.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Make a fleet authority, if there is none in the folder, and certificates for instances.
    Certs {
        /// Folder for the PEM files.
        #[arg(long)]
        out: PathBuf,
        /// Names of the instances.
        #[arg(required = true)]
        instances: Vec<String>,
    },
    /// Print the hash of a key read from standard input.
    HashKey,
    /// Print completions for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
    /// Write man pages.
    Man {
        /// Folder for the pages.
        #[arg(long)]
        out: PathBuf,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum Gateway {
    /// Whether it takes callers; the exit code is 1 if not.
    Ready,
    /// Print its metrics.
    Metrics,
    /// Dump of its state: rules, members, endpoints, and the work granted on them.
    State,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Defaults {
    /// Print the defaults in force.
    Get,
    /// Replace the defaults with a file's.
    Set {
        /// The file.
        file: PathBuf,
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Edit the defaults in `$EDITOR`.
    Edit {
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Show how a file differs from the defaults in force.
    Diff {
        /// The file.
        file: PathBuf,
    },
    /// Show who changed what and why.
    History {
        /// Only versions after this one.
        #[arg(long, default_value_t = 0)]
        after: u64,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum Exceptions {
    /// List all exceptions with their reasons.
    List,
    /// Add or replace an exception.
    Add {
        /// Its name.
        name: String,
        #[command(subcommand)]
        rule: RuleArgs,
    },
    /// Remove an exception.
    Remove {
        /// Its name.
        name: String,
        #[command(flatten)]
        change: ChangeArgs,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum RuleArgs {
    /// Another contract for one customer.
    Contract {
        /// The customer.
        #[arg(long)]
        customer: String,
        /// Tokens a second; the default's if not given.
        #[arg(long)]
        rate: Option<u64>,
        /// Weight in fair queueing; the default's if not given.
        #[arg(long)]
        weight: Option<u32>,
        /// Longest time for an answer, in milliseconds; the default's if not given.
        #[arg(long)]
        deadline_ms: Option<u64>,
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Another capacity for one endpoint.
    Capacity {
        /// The endpoint.
        #[arg(long)]
        endpoint: String,
        /// Requests while in cold start.
        #[arg(long)]
        cold_requests: u32,
        /// Prompt tokens while in cold start.
        #[arg(long)]
        cold_tokens: u64,
        /// Requests when warm.
        #[arg(long)]
        warm_requests: u32,
        /// Prompt tokens when warm.
        #[arg(long)]
        warm_tokens: u64,
        #[command(flatten)]
        change: ChangeArgs,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum Customers {
    /// List all customers.
    List,
    /// Add a customer, or replace its key; the key is read from standard input.
    Put {
        /// The customer.
        name: String,
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Remove a customer.
    Remove {
        /// The customer.
        name: String,
        #[command(flatten)]
        change: ChangeArgs,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum Service {
    /// List them, with their state.
    List,
    /// Take out of service.
    Out {
        /// Its name.
        name: String,
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Bring back into service.
    In {
        /// Its name.
        name: String,
        #[command(flatten)]
        change: ChangeArgs,
    },
}

#[derive(Debug, Args)]
pub(crate) struct ChangeArgs {
    /// Why, for the other office to read.
    #[arg(long, default_value = "")]
    pub(crate) reason: String,
    /// Version that you have seen; the present one if not given.
    #[arg(long)]
    pub(crate) base: Option<u64>,
}
