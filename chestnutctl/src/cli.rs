//! Command-line arguments; the doc comments are also the help texts and man pages.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;

/// Operate a chestnutstage fleet.
///
/// Exit codes: 0 done, 1 failed, 2 wrong usage or invalid input, 3 conflict with another change, 4 change committed
/// but not yet in force everywhere, 5 unknown whether the change was committed.
#[derive(Debug, Parser)]
#[command(version, about, name = "chestnutctl")]
pub(crate) struct Cli {
    /// Base URL of any instance.
    #[arg(long, env = "CHESTNUTCTL_ADDRESS", default_value = "http://127.0.0.1:8080", global = true)]
    pub(crate) address: String,

    /// Token that identifies the operator.
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
    /// Show and change the defaults of the whole fleet.
    #[command(subcommand)]
    Defaults(Defaults),
    /// Show and change the exceptions to the defaults.
    #[command(subcommand)]
    Exceptions(Exceptions),
    /// Show and change the customers and their keys.
    #[command(subcommand)]
    Customers(Customers),
    /// List availability zones, take them out of service and bring them back.
    #[command(subcommand)]
    Zones(Service),
    /// List endpoints, take them out of service and bring them back.
    #[command(subcommand)]
    Endpoints(Service),
    /// Show the instances, with the configuration version in force at each.
    Status,
    /// Dump the state of one instance.
    State {
        /// Name of the instance.
        instance: String,
    },
    /// Show the decisions made about a request, and the instances that made them.
    Explain {
        /// Request id, from the `x-request-id` header of the response.
        request: String,
    },
    /// Query a gateway instance; `--address` must point to its checks address.
    #[command(subcommand)]
    Gateway(Gateway),
    /// Check a settings or defaults file, offline; the exit code is 1 after findings, and 2 if a file can't be read.
    Check(CheckArgs),
    /// Create certificates for instances, and the fleet's certificate authority if the folder has none.
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
    /// Print a completion script for a shell.
    Completions {
        /// Shell that will load the script.
        shell: Shell,
    },
    /// Write the man pages.
    Man {
        /// Folder for the pages.
        #[arg(long)]
        out: PathBuf,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum Gateway {
    /// Check whether the instance accepts callers; the exit code is 1 if it does not.
    Ready,
    /// Print the instance's metrics.
    Metrics,
    /// Dump the instance's state: rules, members, endpoints, and the work granted on the endpoints.
    State,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Defaults {
    /// Print the defaults in force.
    Get,
    /// Replace the defaults with those in a file.
    Set {
        /// File with the new defaults.
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
        /// File with the defaults to compare.
        file: PathBuf,
    },
    /// Show who changed the configuration, what they changed and why.
    History {
        /// Show only versions after this one.
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
        /// Name of the exception.
        name: String,
        #[command(subcommand)]
        rule: RuleArgs,
    },
    /// Remove an exception.
    Remove {
        /// Name of the exception.
        name: String,
        #[command(flatten)]
        change: ChangeArgs,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum RuleArgs {
    /// Replace the default contract for one customer.
    Contract {
        /// Name of the customer.
        #[arg(long)]
        customer: String,
        /// Tokens per second, prompt and answer together; as in the default contract if not given.
        #[arg(long)]
        rate: Option<u64>,
        /// Weight in fair queueing; as in the default contract if not given.
        #[arg(long)]
        weight: Option<u32>,
        /// Maximum time for a complete answer, in milliseconds; as in the default contract if not given.
        #[arg(long)]
        deadline_ms: Option<u64>,
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Replace the listed capacity of one endpoint.
    Capacity {
        /// Name of the endpoint.
        #[arg(long)]
        endpoint: String,
        /// Maximum number of running requests during a cold start.
        #[arg(long)]
        cold_requests: u32,
        /// Maximum number of prompt tokens not yet prefilled, during a cold start.
        #[arg(long)]
        cold_tokens: u64,
        /// Maximum number of running requests when warm.
        #[arg(long)]
        warm_requests: u32,
        /// Maximum number of prompt tokens not yet prefilled, when warm.
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
        /// Name of the customer.
        name: String,
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Remove a customer.
    Remove {
        /// Name of the customer.
        name: String,
        #[command(flatten)]
        change: ChangeArgs,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum Service {
    /// List all, with their state.
    List,
    /// Take out of service.
    Out {
        /// Name of the zone or endpoint.
        name: String,
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Bring back into service.
    In {
        /// Name of the zone or endpoint.
        name: String,
        #[command(flatten)]
        change: ChangeArgs,
    },
}

#[derive(Debug, Args)]
pub(crate) struct CheckArgs {
    /// File to check.
    pub(crate) file: PathBuf,
    /// File with the exceptions by name, checked beside the defaults.
    #[arg(long, value_name = "FILE")]
    pub(crate) exceptions: Option<PathBuf>,
    /// File with the defaults in force: also show what differs; differences are no findings.
    #[arg(long, value_name = "FILE")]
    pub(crate) against: Option<PathBuf>,
}

#[derive(Debug, Args)]
pub(crate) struct ChangeArgs {
    /// Reason for the change, for operators in the other office.
    #[arg(long, default_value = "")]
    pub(crate) reason: String,
    /// Version that the change is based on; the current one if not given.
    #[arg(long)]
    pub(crate) base: Option<u64>,
}
