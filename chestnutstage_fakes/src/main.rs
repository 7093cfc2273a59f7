//! Command line of the fakes and the load driver.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use chestnutstage_core::endpoint::Kind;
use chestnutstage_fakes::demo;
use chestnutstage_fakes::endpoint::EngineFake;
use chestnutstage_fakes::measurements;
use chestnutstage_fakes::platform::PlatformFake;
use chestnutstage_fakes::service::ServiceFake;
use chestnutstage_fakes::world::{Plan, World};
use clap::{Parser, Subcommand};

/// Fakes of the systems that chestnutstage talks to, and a load driver.
#[derive(Debug, Parser)]
#[command(version, about, name = "chestnut-fake")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Write the files of a deployment on loopback.
    World {
        /// Folder for the files.
        #[arg(long)]
        out: PathBuf,
        /// Number of chestnutstage instances.
        #[arg(long, default_value_t = 7)]
        instances: usize,
        /// Number of model engines.
        #[arg(long, default_value_t = 20)]
        engines: usize,
        /// Raise the capacity of the engines, cold and warm, so that they do not limit a measurement.
        #[arg(long)]
        roomy: bool,
        /// First port.
        #[arg(long, default_value_t = 18_000)]
        port: u16,
    },
    /// Run the platform fake.
    Platform {
        /// Folder of the deployment.
        #[arg(long)]
        world: PathBuf,
    },
    /// Run the fakes of all endpoints in one zone.
    Zone {
        /// Folder of the deployment.
        #[arg(long)]
        world: PathBuf,
        /// Name of the zone.
        zone: String,
    },
    /// Apply the initial configuration.
    Seed {
        /// Folder of the deployment.
        #[arg(long)]
        world: PathBuf,
    },
    /// Compare the time to first token through an instance with that of direct requests to the engines.
    Overhead {
        /// Folder of the deployment.
        #[arg(long)]
        world: PathBuf,
    },
    /// Open many streams on the first instance and measure its memory.
    Streams {
        /// Folder of the deployment.
        #[arg(long)]
        world: PathBuf,
        /// Process id of the first instance.
        #[arg(long)]
        pid: u32,
        /// Number of streams to open.
        #[arg(long, default_value_t = 1_200)]
        count: usize,
    },
    /// Generate the load of the demo and check the results.
    Demo {
        /// Folder of the deployment.
        #[arg(long)]
        world: PathBuf,
        /// Folder of the files that coordinate the phases with the operator script.
        #[arg(long)]
        signals: Option<PathBuf>,
    },
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(Cli::parse().command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("chestnut-fake: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> Result<(), String> {
    match command {
        Command::World { out, instances, engines, roomy, port } => {
            let zones = ["a", "b", "c"].map(str::to_owned).to_vec();
            let plan = Plan { zones, instances, engines, services: 3, customers: 10, port };
            let mut world = World::new(&plan);
            if roomy {
                world.raise_capacity();
            }
            world.save(&out)
        }
        Command::Platform { world } => {
            let world = World::load(&world)?;
            let started = PlatformFake::spawn(&world.platform, world.listing).await;
            let _fake = started.map_err(|e| format!("cannot bind {}: {e}", world.platform))?;
            run_until_killed().await
        }
        Command::Zone { world, zone } => run_zone(&World::load(&world)?, &zone).await,
        Command::Seed { world } => demo::seed(&World::load(&world)?).await,
        Command::Overhead { world } => measurements::overhead(&World::load(&world)?).await,
        Command::Streams { world, pid, count } => {
            measurements::streams(&World::load(&world)?, pid, count).await
        }
        Command::Demo { world, signals } => demo::run(World::load(&world)?, signals).await,
    }
}

async fn run_zone(world: &World, zone: &str) -> Result<(), String> {
    let bind_error = |address: &str, e: std::io::Error| format!("cannot bind {address}: {e}");
    let mut engines = Vec::new();
    for endpoint in world.listing.endpoints.iter().filter(|e| e.zone.as_str() == zone) {
        let address = endpoint.address.clone();
        match endpoint.kind {
            Kind::Engine => {
                let fake = EngineFake::spawn(endpoint.clone(), true).await;
                engines.push(fake.map_err(|e| bind_error(&address, e))?);
            }
            Kind::Service => {
                ServiceFake::spawn(&address).await.map_err(|e| bind_error(&address, e))?;
            }
        }
    }
    run_until_killed().await
}

/// Keeps the process running until it is killed; it exits by itself after four hours so that a forgotten fake does not
/// run forever.
async fn run_until_killed() -> Result<(), String> {
    tokio::time::sleep(Duration::from_hours(4)).await;
    Ok(())
}
