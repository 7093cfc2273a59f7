//! Stand-ins and load driver as processes.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use chestnutstage_core::endpoint::Kind;
use chestnutstage_fakes::demo;
use chestnutstage_fakes::endpoint::EngineFake;
use chestnutstage_fakes::platform::PlatformFake;
use chestnutstage_fakes::probe;
use chestnutstage_fakes::service::ServiceFake;
use chestnutstage_fakes::world::{Plan, World};
use clap::{Parser, Subcommand};

/// Stand-ins of what chestnutstage talks to, and a load driver.
#[derive(Debug, Parser)]
#[command(version, about, name = "chestnut-fake")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Lay out a deployment on loopback.
    World {
        /// Folder for its files.
        #[arg(long)]
        out: PathBuf,
        /// Instances of the system.
        #[arg(long, default_value_t = 7)]
        instances: usize,
        /// Model engines.
        #[arg(long, default_value_t = 20)]
        engines: usize,
        /// Let engines take very many requests at once, cold or warm.
        #[arg(long)]
        roomy: bool,
        /// First port.
        #[arg(long, default_value_t = 18_000)]
        port: u16,
    },
    /// Run the platform.
    Platform {
        /// Folder of the deployment.
        #[arg(long)]
        world: PathBuf,
    },
    /// Run all endpoints of one zone.
    Zone {
        /// Folder of the deployment.
        #[arg(long)]
        world: PathBuf,
        /// The zone.
        zone: String,
    },
    /// Put the first configuration in force.
    Seed {
        /// Folder of the deployment.
        #[arg(long)]
        world: PathBuf,
    },
    /// Compare the first token by way of an instance with that of an engine asked directly.
    Overhead {
        /// Folder of the deployment.
        #[arg(long)]
        world: PathBuf,
    },
    /// Open many streams at the first instance and read its memory.
    Streams {
        /// Folder of the deployment.
        #[arg(long)]
        world: PathBuf,
        /// Process of the first instance.
        #[arg(long)]
        pid: u32,
        /// Streams to open.
        #[arg(long, default_value_t = 1_200)]
        count: usize,
    },
    /// Drive the demo's load and check what it must show.
    Demo {
        /// Folder of the deployment.
        #[arg(long)]
        world: PathBuf,
        /// Folder of files through which the phases meet the operator.
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
                world.widen();
            }
            world.save(&out)
        }
        Command::Platform { world } => {
            let world = World::load(&world)?;
            let started = PlatformFake::spawn(&world.platform, world.listing).await;
            let _fake = started.map_err(|e| format!("bind of {}: {e}", world.platform))?;
            wait().await
        }
        Command::Zone { world, zone } => run_zone(&World::load(&world)?, &zone).await,
        Command::Seed { world } => demo::seed(&World::load(&world)?).await,
        Command::Overhead { world } => probe::overhead(&World::load(&world)?).await,
        Command::Streams { world, pid, count } => probe::streams(&World::load(&world)?, pid, count).await,
        Command::Demo { world, signals } => demo::run(World::load(&world)?, signals).await,
    }
}

async fn run_zone(world: &World, zone: &str) -> Result<(), String> {
    let bind = |address: &str, e: std::io::Error| format!("bind of {address}: {e}");
    let mut engines = Vec::new();
    for endpoint in world.listing.endpoints.iter().filter(|e| e.zone.as_str() == zone) {
        let address = endpoint.address.clone();
        match endpoint.kind {
            Kind::Engine => {
                let fake = EngineFake::spawn(endpoint.clone(), true).await;
                engines.push(fake.map_err(|e| bind(&address, e))?);
            }
            Kind::Service => {
                ServiceFake::spawn(&address).await.map_err(|e| bind(&address, e))?;
            }
        }
    }
    wait().await
}

/// Stays until the process is ended; not for ever, should nobody end it.
async fn wait() -> Result<(), String> {
    tokio::time::sleep(Duration::from_hours(4)).await;
    Ok(())
}
