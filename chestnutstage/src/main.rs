//! Entry point of the daemon.

use std::process::ExitCode;

use chestnutstage::Instance;
use chestnutstage::cli::Cli;
use chestnutstage_config::settings::Settings;
use chestnutstage_daemon::logging::{self, Output};
use clap::Parser;
use log::error;
use tokio::signal::unix::{SignalKind, signal};

#[tokio::main]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    let settings = match Settings::load(&cli.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("chestnutstage: {e}");
            return ExitCode::from(2);
        }
    };
    if cli.check_config {
        println!("{}: the settings are valid", cli.settings.display());
        return ExitCode::SUCCESS;
    }
    if let Err(e) = logging::start(settings.instance.id.as_str(), Output::StandardError) {
        eprintln!("chestnutstage: logging could not start: {e}");
        return ExitCode::FAILURE;
    }
    let instance = match Instance::start(settings).await {
        Ok(instance) => instance,
        Err(e) => {
            error!("the instance could not start: {e}");
            return ExitCode::FAILURE;
        }
    };
    shutdown_signal().await;
    instance.shutdown().await;
    ExitCode::SUCCESS
}

/// Waits for SIGTERM or SIGINT.
async fn shutdown_signal() {
    let (Ok(mut term), Ok(mut int)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        error!("can't install signal handlers; stop this process with SIGKILL");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
