//! Quality of service in virtual time: the daemon's own code in front of fake engines, compared with baselines.
//!
//! `cargo bench --bench service` prints the tables and fails when a result exceeds a bound from the users' targets.

mod baseline;
mod engines;
mod fleet;
mod platform;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use baseline::{Baseline, Policy};
use chestnutstage_config::fleet::Change;
use chestnutstage_core::owner::Limits;
use chestnutstage_fakes::load;
use chestnutstage_fakes::world;
use engines::EnginePool;
use fleet::{Completion, Deployment, FROSTBANK, Fleet, HENNABOEK};
use futures::future::BoxFuture;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::{Instant, sleep, sleep_until};

/// Bound on the 95th percentile of the time to first token of short prompts.
const FIRST_TOKEN_MAX: Duration = Duration::from_millis(310);
/// Bound on the 95th percentile of the token gap.
const TOKEN_GAP_MAX: Duration = Duration::from_millis(63);
/// Bound on the slowdown of short prompts by long ones, as a ratio of time to first token.
const SHARING_SLOWDOWN_MAX: f64 = 1.25;
/// Bound on the slowdown of short prompts while a zone is taken out of service and returned.
const ZONE_SLOWDOWN_MAX: f64 = 2.0;
/// Time after which a zone that is taken out of service receives no new requests.
const ZONE_DRAIN_MAX: Duration = Duration::from_secs(3);
/// Prompt tokens per second that one engine processes in batches.
const ENGINE_TOKENS_PER_S: f64 = 46_000.0;
/// Length from which a prompt no longer counts as short.
const SHORT_LIMIT_TOKENS: usize = 10_000;
/// Longest prompt.
const PROMPT_MAX_TOKENS: usize = 1_000_000;
const SEED: u64 = 20_261_204;

/// Load over a period of time.
#[derive(Debug, Clone, Copy)]
struct Load {
    /// Fraction of the capacity of the whole pool.
    fraction: f64,
    long: bool,
    time: Duration,
    /// Warm-up time whose requests are not counted.
    skip: Duration,
}

type Client = Box<dyn Fn(usize, usize, u64) -> BoxFuture<'static, Completion>>;

/// Mean prompt length in tokens of the mix with long prompts.
fn mean_prompt() -> f64 {
    let mut rng = StdRng::seed_from_u64(SEED);
    let total: usize = (0..200_000).map(|_| load::prompt_tokens(&mut rng, true)).sum();
    total as f64 / 200_000.0
}

/// Sends requests at random times and collects their measurements.
async fn drive(load: Load, deployment: &Deployment, seed: u64, client: &Client) -> Vec<Completion> {
    // The short requests come at the same rate whether or not long ones share the pool.
    let rate = load.fraction * deployment.engines as f64 * ENGINE_TOKENS_PER_S / mean_prompt();
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut at = 0.0;
    let mut tasks = Vec::new();
    while at < load.time.as_secs_f64() {
        sleep_until(start + Duration::from_secs_f64(at)).await;
        let prompt = load::prompt_tokens(&mut rng, load.long).min(PROMPT_MAX_TOKENS);
        let entry = rng.random_range(0..deployment.instances);
        let output = rng.random_range(32..224);
        let task = tokio::spawn(client(entry, prompt, output));
        if at >= load.skip.as_secs_f64() {
            tasks.push(task);
        }
        at += load::arrival_gap(&mut rng, rate);
    }
    let mut completions = Vec::new();
    for task in tasks {
        completions.extend(task.await.ok());
    }
    completions
}

/// Results of one run.
#[derive(Debug, Clone)]
struct Results {
    first: BTreeMap<&'static str, [Duration; 3]>,
    gap: Duration,
    failed: usize,
    total: usize,
    codes: BTreeMap<String, usize>,
}

fn quantile(sorted: &[Duration], q: f64) -> Duration {
    sorted.get(((sorted.len() as f64 - 1.0) * q).round() as usize).copied().unwrap_or_default()
}

fn length_band(prompt: usize) -> &'static str {
    match prompt {
        0..SHORT_LIMIT_TOKENS => "1k-10k",
        SHORT_LIMIT_TOKENS..100_000 => "10k-100k",
        _ => "100k-1M",
    }
}

impl Results {
    fn of(completions: &[Completion]) -> Self {
        let mut first = BTreeMap::<_, Vec<Duration>>::new();
        let mut gaps: Vec<Duration> = completions.iter().flat_map(|s| s.gaps.iter().copied()).collect();
        gaps.sort_unstable();
        for completion in completions {
            first.entry(length_band(completion.prompt)).or_default().extend(completion.first);
        }
        let mut codes = BTreeMap::new();
        for code in completions.iter().filter_map(|s| s.failure.clone()) {
            *codes.entry(code).or_default() += 1;
        }
        let percentiles = |mut all: Vec<Duration>| {
            all.sort_unstable();
            [0.5, 0.95, 0.99].map(|q| quantile(&all, q))
        };
        Self {
            first: first.into_iter().map(|(b, all)| (b, percentiles(all))).collect(),
            gap: quantile(&gaps, 0.95),
            failed: completions.iter().filter(|s| s.failure.is_some()).count(),
            total: completions.len(),
            codes,
        }
    }

    fn short(&self) -> Duration {
        self.first.get("1k-10k").map_or(Duration::MAX, |f| f[1])
    }

    fn print(&self, name: &str) {
        for (band, [p50, p95, p99]) in &self.first {
            let ms = |d: &Duration| d.as_secs_f64() * 1e3;
            println!("| {name} | {band} | {:.0} | {:.0} | {:.0} | | |", ms(p50), ms(p95), ms(p99));
        }
        if !self.codes.is_empty() {
            println!("| {name} | refused: {:?} | | | | | |", self.codes);
        }
        let gap = self.gap.as_secs_f64() * 1e3;
        println!("| {name} | token gaps | | {gap:.0} | | {} | {} |", self.total, self.failed);
    }
}

fn first_changes() -> Vec<Change> {
    changes_with(Limits::default())
}

/// Initial configuration changes of a fleet with these limits.
fn changes_with(limits: Limits) -> Vec<Change> {
    let customers = (1..=10).map(|i| (format!("c{i}"), key(i - 1))).collect();
    let mut changes = world::first_changes(&customers, 50_000_000);
    if let Some(Change::SetDefaults(defaults)) = changes.first_mut() {
        defaults.limits = limits;
    }
    changes
}

/// Prints the effect of the limits at 80 % load, on which their defaults are based.
async fn sweep(deployment: Deployment) {
    println!("\n## {}: sweep of the limits at 80 % load\n", deployment.name);
    println!(
        "| long at a time | reserve | short p95 ms | short p99 ms | medium p95 ms | long p95 ms | failed |\n|---|---|---|---|---|---|---|"
    );
    for long in [1, 2, 4] {
        for reserve in [0.0, 0.2, 0.4, 0.6] {
            let limits = Limits { long, reserve, ..Limits::default() };
            let fleet = Arc::new(Fleet::start(&deployment, changes_with(limits), SEED).await);
            let client = fleet_client(&fleet);
            let load = Load { time: Duration::from_secs(90), ..SHARED_LOAD };
            let results = Results::of(&drive(load, &deployment, SEED, &client).await);
            let ms = |band: &str, i: usize| results.first.get(band).map_or(0, |f| f[i].as_millis());
            let (short_p95, short_p99) = (ms("1k-10k", 1), ms("1k-10k", 2));
            let (medium_p95, long_p95) = (ms("10k-100k", 1), ms("100k-1M", 1));
            println!(
                "| {long} | {reserve} | {short_p95} | {short_p99} | {medium_p95} | {long_p95} | {} |",
                results.failed
            );
            stop(fleet);
        }
    }
}

fn key(i: usize) -> String {
    format!("key-of-c{}", i % 10 + 1)
}

fn fleet_client(fleet: &Arc<Fleet>) -> Client {
    let fleet = fleet.clone();
    let filler: Arc<str> = "cast ".repeat(PROMPT_MAX_TOKENS).into();
    Box::new(move |entry, prompt, output| {
        let (fleet, filler) = (fleet.clone(), filler.clone());
        Box::pin(async move { fleet.complete(entry, &key(prompt), &filler, prompt, output).await })
    })
}

fn baseline_client(deployment: &Deployment, policy: Policy) -> Client {
    let endpoint = |i: usize| world::engine(&format!("e{i}"), ["a", "b", "c"][i % 3], &format!("engine-{i}"));
    let endpoints: Vec<_> = (0..deployment.engines).map(endpoint).collect();
    let baseline = Arc::new(Baseline::new(EnginePool::new(&endpoints), policy, deployment.instances));
    Box::new(move |entry, prompt, output| {
        let baseline = baseline.clone();
        Box::pin(async move { baseline.complete(entry, prompt, output).await })
    })
}

/// Checked bounds; violations are collected so that all of them are printed before the bench fails.
#[derive(Debug, Default)]
struct Bounds {
    crossed: Vec<String>,
}

impl Bounds {
    fn check(&mut self, what: &str, holds: bool) {
        println!("{} {what}", if holds { "ok  " } else { "FAIL" });
        if !holds {
            self.crossed.push(what.to_owned());
        }
    }
}

const SHARED_LOAD: Load =
    Load { fraction: 0.8, long: true, time: Duration::from_secs(150), skip: Duration::from_secs(30) };

async fn first_token(deployment: Deployment, bounds: &mut Bounds) {
    println!("\n## {}: 80 % load, one prompt in fifty over 100,000 tokens\n", deployment.name);
    println!(
        "| policy | prompt | p50 ms | p95 ms | p99 ms | requests | failed |\n|---|---|---|---|---|---|---|"
    );
    for (name, policy) in [
        ("round robin", Policy::RoundRobin),
        ("least outstanding", Policy::LeastOutstanding),
        ("least outstanding, priorities", Policy::Prioritised),
    ] {
        let client = baseline_client(&deployment, policy);
        Results::of(&drive(SHARED_LOAD, &deployment, SEED, &client).await).print(name);
    }
    let fleet = Arc::new(Fleet::start(&deployment, first_changes(), SEED).await);
    let client = fleet_client(&fleet);
    let mixed = Results::of(&drive(SHARED_LOAD, &deployment, SEED, &client).await);
    mixed.print("chestnutstage");
    let alone = Load { long: false, ..SHARED_LOAD };
    let alone = Results::of(&drive(alone, &deployment, SEED, &client).await);
    alone.print("chestnutstage, no long prompts");
    println!();
    let name = deployment.name;
    bounds.check(
        &format!("{name}: first token of short prompts p95 {:?} <= {FIRST_TOKEN_MAX:?}", mixed.short()),
        mixed.short() <= FIRST_TOKEN_MAX,
    );
    bounds.check(
        &format!("{name}: token gaps p95 {:?} <= {TOKEN_GAP_MAX:?}", mixed.gap),
        mixed.gap <= TOKEN_GAP_MAX,
    );
    let ratio = mixed.short().as_secs_f64() / alone.short().as_secs_f64();
    bounds.check(
        &format!("{name}: short prompts with long ones {ratio:.2} <= {SHARING_SLOWDOWN_MAX} times without"),
        ratio <= SHARING_SLOWDOWN_MAX,
    );
    let excess: u64 = fleet.pool.all().map(|e| e.excess()).sum();
    bounds.check(&format!("{name}: requests beyond a cold capacity {excess} = 0"), excess == 0);
    stop(fleet);
}

fn stop(fleet: Arc<Fleet>) {
    if let Some(fleet) = Arc::into_inner(fleet) {
        fleet.stop();
    }
}

async fn zone_change(deployment: Deployment, bounds: &mut Bounds) {
    println!("\n## {}: a zone out and back at 70 % load of the whole pool\n", deployment.name);
    println!(
        "| phase | prompt | p50 ms | p95 ms | p99 ms | requests | failed |\n|---|---|---|---|---|---|---|"
    );
    let fleet = Arc::new(Fleet::start(&deployment, first_changes(), SEED).await);
    let client = fleet_client(&fleet);
    let load =
        Load { fraction: 0.7, long: true, time: Duration::from_mins(1), skip: Duration::from_secs(20) };
    let before = Results::of(&drive(load, &deployment, SEED, &client).await);
    before.print("before");
    let load = Load { skip: Duration::ZERO, ..load };
    let zone_b = || fleet.pool.all().filter(|e| e.zone().as_str() == "b").map(|e| e.submitted()).sum::<u64>();
    let take_out = async {
        fleet.change(&Change::ZoneOut("b".into())).await;
        sleep(ZONE_DRAIN_MAX).await;
        zone_b()
    };
    // The remaining two thirds of the pool serve the load; requests beyond their capacity are refused.
    let (out, submitted) = tokio::join!(drive(load, &deployment, SEED + 1, &client), take_out);
    let after_bound = zone_b() - submitted;
    let out = (Results::of(&out), out);
    out.0.print("zone b out");
    fleet.change(&Change::ZoneIn("b".into())).await;
    let back = drive(load, &deployment, SEED + 2, &client).await;
    let back = (Results::of(&back), back);
    back.0.print("zone b back");
    println!();
    let lost = |completions: &[Completion]| {
        completions
            .iter()
            .filter(|s| matches!(s.failure.as_deref(), Some("cut" | "endpoint_failed" | "unknown")))
            .count()
    };
    let lost = lost(&out.1) + lost(&back.1);
    let name = deployment.name;
    bounds.check(&format!("{name}: admitted requests lost in the change {lost} = 0"), lost == 0);
    bounds.check(
        &format!("{name}: new work in the zone after {ZONE_DRAIN_MAX:?}: {after_bound} = 0"),
        after_bound == 0,
    );
    let worst = out.0.short().max(back.0.short()).as_secs_f64() / before.short().as_secs_f64();
    bounds.check(
        &format!("{name}: short prompts during the change {worst:.2} <= {ZONE_SLOWDOWN_MAX} times before"),
        worst <= ZONE_SLOWDOWN_MAX,
    );
    stop(fleet);
}

async fn million_tokens(deployment: Deployment, bounds: &mut Bounds) {
    println!("\n## {}: a prompt of a million tokens at 60 % load\n", deployment.name);
    let fleet = Arc::new(Fleet::start(&deployment, first_changes(), SEED).await);
    let client = fleet_client(&fleet);
    let load =
        Load { fraction: 0.6, long: true, time: Duration::from_secs(90), skip: Duration::from_secs(20) };
    let longest = async {
        sleep(Duration::from_secs(25)).await;
        client(0, PROMPT_MAX_TOKENS, 200).await
    };
    let (completions, longest) = tokio::join!(drive(load, &deployment, SEED, &client), longest);
    let short: Vec<_> = completions.iter().filter(|s| s.prompt < SHORT_LIMIT_TOKENS).collect();
    let missed = short.iter().filter(|s| s.failure.is_some()).count() as f64 / short.len() as f64;
    println!(
        "the longest prompt took {:?} (first token after {:?}); failure: {:?}",
        longest.duration, longest.first, longest.failure
    );
    sleep(Duration::from_secs(10)).await;
    let held: usize = fleet.pool.all().map(|e| e.reservations()).sum();
    let name = deployment.name;
    bounds.check(&format!("{name}: the longest prompt is answered"), longest.failure.is_none());
    bounds.check(
        &format!("{name}: short prompts that failed meanwhile {:.2} % <= 1 %", missed * 100.0),
        missed <= 0.01,
    );
    bounds.check(&format!("{name}: memory still held on engines {held} = 0"), held == 0);
    stop(fleet);
}

async fn cold_engines(deployment: Deployment, bounds: &mut Bounds) {
    println!("\n## {}: engines that turn cold without notice at 40 % load\n", deployment.name);
    println!(
        "| phase | prompt | p50 ms | p95 ms | p99 ms | requests | failed |\n|---|---|---|---|---|---|---|"
    );
    let fleet = Arc::new(Fleet::start(&deployment, first_changes(), SEED).await);
    let client = fleet_client(&fleet);
    let load =
        Load { fraction: 0.4, long: false, time: Duration::from_mins(1), skip: Duration::from_secs(10) };
    let turn_cold = async {
        let mut rng = StdRng::seed_from_u64(SEED);
        let engines: Vec<_> = fleet.pool.all().cloned().collect();
        for _ in 0..5 {
            sleep(Duration::from_secs(10)).await;
            engines[rng.random_range(0..engines.len())].turn_cold();
        }
    };
    let (completions, ()) = tokio::join!(drive(load, &deployment, SEED, &client), turn_cold);
    let results = Results::of(&completions);
    results.print("five flips");
    let excess: u64 = fleet.pool.all().map(|e| e.excess()).sum();
    println!("requests beyond the cold capacity before a flip was detected: {excess}");
    bounds
        .check(&format!("{}: failed requests {} = 0", deployment.name, results.failed), results.failed == 0);
    stop(fleet);
}

async fn run() -> Bounds {
    let mut bounds = Bounds::default();
    let only = std::env::var("SERVICE_BENCH").unwrap_or_default();
    let selected = |name: &str| only.is_empty() || only == name;
    for deployment in [FROSTBANK, HENNABOEK] {
        if only == "sweep" {
            sweep(deployment).await;
        }
        if selected("first") {
            first_token(deployment, &mut bounds).await;
        }
        if selected("zone") {
            zone_change(deployment, &mut bounds).await;
        }
        if selected("archive") {
            million_tokens(deployment, &mut bounds).await;
        }
        if selected("cold") {
            cold_engines(deployment, &mut bounds).await;
        }
    }
    bounds
}

fn main() {
    // `cargo bench` passes `--bench`; other runs of the binary, such as by `cargo test`, do nothing.
    if !std::env::args().any(|a| a == "--bench") {
        return;
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    let bounds = runtime.expect("a runtime").block_on(run());
    println!();
    assert!(bounds.crossed.is_empty(), "bounds crossed: {:#?}", bounds.crossed);
}
