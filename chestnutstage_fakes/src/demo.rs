//! The demo: mixed load while a zone goes out of service and comes back, and the checks on its results.

use std::path::{Path, PathBuf};
use std::time::Duration;

use indicatif::{ProgressBar, ProgressStyle};
use reqwest::Client;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout};

use crate::load::{Band, Driver, Phase, Results, print_table};
use crate::world::{World, first_changes};

/// Contract rate of each customer of the demo.
const CUSTOMER_TOKENS_PER_S: u64 = 2_000_000;
/// Timeout for an instance to accept a change or to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Rate of completions after the warm-up.
const COMPLETIONS_PER_S: f64 = 40.0;
/// Rate of completions while all engines are cold.
const WARM_UP_COMPLETIONS_PER_S: f64 = 15.0;
/// Rate of bookings.
const BOOKINGS_PER_S: f64 = 10.0;
/// Timeout for the operator script to confirm a phase.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(15);

/// Applies the initial configuration through the operator interface.
///
/// # Errors
///
/// An instance refused a change, or did not become ready.
pub async fn seed(world: &World) -> Result<(), String> {
    let client = Client::builder().no_proxy().build().map_err(|e| e.to_string())?;
    let address = world.callers.values().next().ok_or("the deployment has no instance")?;
    let token = world.operators.values().next().ok_or("the deployment has no operator")?;
    for (base, change) in first_changes(&world.customers, CUSTOMER_TOKENS_PER_S).iter().enumerate() {
        let body = json!({"base": base, "reason": "first configuration of the demo", "change": change});
        send_change(&client, address, token, &body).await?;
    }
    for url in world.callers.values() {
        wait_until_ready(&client, url).await?;
    }
    Ok(())
}

async fn send_change(client: &Client, address: &str, token: &str, body: &Value) -> Result<(), String> {
    let deadline = Instant::now() + READY_TIMEOUT;
    loop {
        let request = client.post(format!("{address}/operator/change")).bearer_auth(token).json(body);
        match request.send().await {
            Ok(response) if response.status().is_success() => return Ok(()),
            Ok(response) if response.status().as_u16() != 503 => {
                return Err(format!("change refused: {}", response.text().await.unwrap_or_default()));
            }
            _ if Instant::now() > deadline => {
                return Err(format!("{address} accepted no change within {READY_TIMEOUT:?}"));
            }
            _ => sleep(Duration::from_millis(200)).await,
        }
    }
}

async fn wait_until_ready(client: &Client, url: &str) -> Result<(), String> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        if let Ok(response) = client.get(format!("{url}/readyz")).send().await
            && response.status().is_success()
        {
            return Ok(());
        }
        sleep(Duration::from_millis(100)).await;
    }
    Err(format!("{url} is not ready after {READY_TIMEOUT:?}"))
}

fn phases() -> Vec<Phase> {
    let phase = |name: &str, secs, long| Phase {
        name: name.to_owned(),
        duration: Duration::from_secs(secs),
        completion_rate: COMPLETIONS_PER_S,
        long_prompts: long,
        booking_rate: BOOKINGS_PER_S,
    };
    vec![
        Phase { completion_rate: WARM_UP_COMPLETIONS_PER_S, ..phase("warm-up", 9, false) },
        phase("short only", 8, false),
        phase("with long", 9, true),
        phase("zone out", 8, true),
        phase("zone back", 8, true),
    ]
}

/// Generates the load and prints the results; `signals` is the folder for coordination with the operator script.
///
/// # Errors
///
/// A check failed; the message says which.
pub async fn run(world: World, signals: Option<PathBuf>) -> Result<(), String> {
    let driver = Driver::new(world)?;
    let phases = phases();
    let bar = ProgressBar::new(phases.len() as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:30} {pos}/{len} {msg}") {
        bar.set_style(style);
    }
    let mut done = Vec::new();
    for (number, phase) in phases.into_iter().enumerate() {
        bar.set_message(phase.name.clone());
        if let Some(folder) = &signals {
            await_operator(folder, &phase.name).await?;
        }
        let results = driver.run(&phase, number as u64).await;
        done.push((phase, results));
        bar.inc(1);
    }
    bar.finish_and_clear();
    print_table(&done);
    check(&driver, &done).await
}

/// Writes the name of the next phase to a file and waits until the operator script has acted on it and confirmed it.
async fn await_operator(folder: &Path, phase: &str) -> Result<(), String> {
    let (request, confirmation) = (folder.join("phase"), folder.join("go"));
    let failed = |e: std::io::Error| format!("cannot write the phase to {}: {e}", folder.display());
    std::fs::write(&request, phase).map_err(failed)?;
    let confirmed = async {
        while std::fs::read_to_string(&confirmation).is_ok_and(|s| s.trim() == phase).then_some(()).is_none()
        {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(OPERATOR_TIMEOUT, confirmed)
        .await
        .map_err(|_| format!("operator script did not confirm phase {phase} within {OPERATOR_TIMEOUT:?}"))
}

async fn check(driver: &Driver, done: &[(Phase, Results)]) -> Result<(), String> {
    let audit = driver.audit().await;
    println!(
        "bookings: {} requested, {} executed, {} duplicated, {} lost, {} wrongly reported as not run, {} unknown",
        audit.requested, audit.executed, audit.duplicated, audit.lost, audit.false_refusals, audit.unknown
    );
    let excess = driver.engine_stat("excess").await;
    println!("requests beyond an engine's cold capacity: {excess}");
    let p95 = |i: usize| done.get(i).and_then(|(_, r)| r.first_token(Band::Short, 0.95));
    if let (Some(alone), Some(mixed)) = (p95(1), p95(2)) {
        let ratio = mixed as f64 / alone.max(1) as f64;
        println!(
            "short prompts, p95 time to first token: {alone} ms alone, {mixed} ms with long prompts ({ratio:.2} times)"
        );
    }
    let broken: u64 = done.iter().map(|(_, r)| r.broken()).sum();
    let completed: u64 = done.iter().map(|(_, r)| r.completed()).sum();
    let mut failures = Vec::new();
    if audit.duplicated + audit.lost + audit.false_refusals > 0 {
        failures.push("bookings were duplicated, lost or wrongly reported as not run".to_owned());
    }
    if broken > 0 {
        failures.push(format!("{broken} responses were truncated, wrong or of unknown outcome"));
    }
    if excess > 0 {
        failures.push(format!("{excess} requests exceeded the cold capacity of their engine"));
    }
    if completed == 0 {
        failures.push("no request got a complete response".to_owned());
    }
    if failures.is_empty() {
        println!("all checks passed");
        return Ok(());
    }
    Err(failures.join("; "))
}
