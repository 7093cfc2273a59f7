//! Quality of service in virtual time: the daemon's own code before engine stand-ins, beside two baselines.
//!
//! `cargo bench --bench service` prints the tables and fails when a bound from the users' targets is crossed.

mod baseline;
mod engines;
mod fleet;
mod platform;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use baseline::{Baseline, Choice};
use chestnutstage_config::fleet::Change;
use chestnutstage_core::owner::Limits;
use chestnutstage_fakes::load;
use chestnutstage_fakes::world;
use engines::EnginePark;
use fleet::{Deployment, FROSTBANK, Fleet, HENNABOEK, Served};
use futures::future::BoxFuture;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::{Instant, sleep, sleep_until};

/// Bound on the first token of short prompts, for 95 in 100.
const FIRST_TOKEN: Duration = Duration::from_millis(310);
/// Bound on the time between tokens, for 95 in 100.
const TOKEN_GAP: Duration = Duration::from_millis(63);
/// Bound on the slowdown of short prompts by long ones.
const SHARING: f64 = 1.25;
/// Bound on the slowdown of short prompts while a zone leaves and returns.
const ZONE_CHANGE: f64 = 2.0;
/// Time after which a zone that was taken out receives nothing new.
const ZONE_OUT: Duration = Duration::from_secs(3);
/// Prompt tokens a second that one engine gets through while it batches.
const ENGINE_RATE: f64 = 46_000.0;
/// Shortest prompt that does not count as short.
const SHORT: usize = 10_000;
/// Longest prompt, in tokens.
const PROMPT_MAX: usize = 1_000_000;
const SEED: u64 = 20_261_204;

/// Load for a while.
#[derive(Debug, Clone, Copy)]
struct Load {
    /// Part of the pool's capacity.
    part: f64,
    long: bool,
    time: Duration,
    /// Time at the start that does not count.
    skip: Duration,
}

type Ask = Box<dyn Fn(usize, usize, u64) -> BoxFuture<'static, Served>>;

/// Mean prompt tokens of the mix, with long prompts.
fn mean_prompt() -> f64 {
    let mut rng = StdRng::seed_from_u64(SEED);
    let total: usize = (0..200_000).map(|_| load::prompt_tokens(&mut rng, true)).sum();
    total as f64 / 200_000.0
}

/// Sends requests at random times and gathers how they went.
async fn drive(load: Load, deployment: &Deployment, seed: u64, ask: &Ask) -> Vec<Served> {
    // The short requests come at the same rate whether or not long ones share the pool.
    let rate = load.part * deployment.engines as f64 * ENGINE_RATE / mean_prompt();
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut at = 0.0;
    let mut tasks = Vec::new();
    while at < load.time.as_secs_f64() {
        sleep_until(start + Duration::from_secs_f64(at)).await;
        let prompt = load::prompt_tokens(&mut rng, load.long).min(PROMPT_MAX);
        let entry = rng.random_range(0..deployment.instances);
        let output = rng.random_range(32..224);
        let task = tokio::spawn(ask(entry, prompt, output));
        if at >= load.skip.as_secs_f64() {
            tasks.push(task);
        }
        at += load::arrival_gap(&mut rng, rate);
    }
    let mut served = Vec::new();
    for task in tasks {
        served.extend(task.await.ok());
    }
    served
}

/// Figures of one run.
#[derive(Debug, Clone)]
struct Figures {
    first: BTreeMap<&'static str, [Duration; 3]>,
    gap: Duration,
    failed: usize,
    total: usize,
    codes: BTreeMap<String, usize>,
}

fn quantile(sorted: &[Duration], q: f64) -> Duration {
    sorted.get(((sorted.len() as f64 - 1.0) * q).round() as usize).copied().unwrap_or_default()
}

fn band(prompt: usize) -> &'static str {
    match prompt {
        0..SHORT => "1k-10k",
        SHORT..100_000 => "10k-100k",
        _ => "100k-1M",
    }
}

impl Figures {
    fn of(served: &[Served]) -> Self {
        let mut first = BTreeMap::<_, Vec<Duration>>::new();
        let mut gaps: Vec<Duration> = served.iter().flat_map(|s| s.gaps.iter().copied()).collect();
        gaps.sort_unstable();
        for one in served {
            first.entry(band(one.prompt)).or_default().extend(one.first);
        }
        let mut codes = BTreeMap::new();
        for code in served.iter().filter_map(|s| s.failure.clone()) {
            *codes.entry(code).or_default() += 1;
        }
        let three = |mut all: Vec<Duration>| {
            all.sort_unstable();
            [0.5, 0.95, 0.99].map(|q| quantile(&all, q))
        };
        Self {
            first: first.into_iter().map(|(b, all)| (b, three(all))).collect(),
            gap: quantile(&gaps, 0.95),
            failed: served.iter().filter(|s| s.failure.is_some()).count(),
            total: served.len(),
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

/// First changes of a fleet with these limits.
fn changes_with(limits: Limits) -> Vec<Change> {
    let customers = (1..=10).map(|i| (format!("c{i}"), key(i - 1))).collect();
    let mut changes = world::first_changes(&customers, 50_000_000);
    if let Some(Change::SetDefaults(defaults)) = changes.first_mut() {
        defaults.limits = limits;
    }
    changes
}

/// Shows what the limits do at 80 % load, so that the defaults rest on it.
async fn sweep(deployment: Deployment) {
    println!("\n## {}: sweep of the limits at 80 % load\n", deployment.name);
    println!(
        "| long at a time | reserve | short p95 ms | short p99 ms | medium p95 ms | long p95 ms | failed |\n|---|---|---|---|---|---|---|"
    );
    for long in [1, 2, 4] {
        for reserve in [0.0, 0.2, 0.4, 0.6] {
            let limits = Limits { long, reserve, ..Limits::default() };
            let fleet = Arc::new(Fleet::start(&deployment, changes_with(limits), SEED).await);
            let ask = stage(&fleet);
            let load = Load { time: Duration::from_secs(90), ..SHARED };
            let figures = Figures::of(&drive(load, &deployment, SEED, &ask).await);
            let ms = |band: &str, i: usize| figures.first.get(band).map_or(0, |f| f[i].as_millis());
            let (short, tail) = (ms("1k-10k", 1), ms("1k-10k", 2));
            let (medium, archive) = (ms("10k-100k", 1), ms("100k-1M", 1));
            println!("| {long} | {reserve} | {short} | {tail} | {medium} | {archive} | {} |", figures.failed);
            stop(fleet);
        }
    }
}

fn key(i: usize) -> String {
    format!("key-of-c{}", i % 10 + 1)
}

fn stage(fleet: &Arc<Fleet>) -> Ask {
    let fleet = fleet.clone();
    let filler: Arc<str> = "cast ".repeat(PROMPT_MAX).into();
    Box::new(move |entry, prompt, output| {
        let (fleet, filler) = (fleet.clone(), filler.clone());
        Box::pin(async move { fleet.complete(entry, &key(prompt), &filler, prompt, output).await })
    })
}

fn baseline(deployment: &Deployment, choice: Choice) -> Ask {
    let endpoint = |i: usize| world::engine(&format!("e{i}"), ["a", "b", "c"][i % 3], &format!("engine-{i}"));
    let endpoints: Vec<_> = (0..deployment.engines).map(endpoint).collect();
    let baseline = Arc::new(Baseline::new(EnginePark::new(&endpoints), choice, deployment.instances));
    Box::new(move |entry, prompt, output| {
        let baseline = baseline.clone();
        Box::pin(async move { baseline.complete(entry, prompt, output).await })
    })
}

/// Checks that fail the bench, gathered so that all are shown.
#[derive(Debug, Default)]
struct Bounds {
    crossed: Vec<String>,
}

impl Bounds {
    fn hold(&mut self, what: &str, holds: bool) {
        println!("{} {what}", if holds { "ok  " } else { "FAIL" });
        if !holds {
            self.crossed.push(what.to_owned());
        }
    }
}

const SHARED: Load =
    Load { part: 0.8, long: true, time: Duration::from_secs(150), skip: Duration::from_secs(30) };

async fn first_token(deployment: Deployment, bounds: &mut Bounds) {
    println!("\n## {}: 80 % load, one prompt in fifty over 100,000 tokens\n", deployment.name);
    println!(
        "| policy | prompt | p50 ms | p95 ms | p99 ms | requests | failed |\n|---|---|---|---|---|---|---|"
    );
    for (name, choice) in [
        ("round robin", Choice::RoundRobin),
        ("least outstanding", Choice::LeastOutstanding),
        ("least outstanding, priorities", Choice::Prioritised),
    ] {
        let ask = baseline(&deployment, choice);
        Figures::of(&drive(SHARED, &deployment, SEED, &ask).await).print(name);
    }
    let fleet = Arc::new(Fleet::start(&deployment, first_changes(), SEED).await);
    let ask = stage(&fleet);
    let mixed = Figures::of(&drive(SHARED, &deployment, SEED, &ask).await);
    mixed.print("chestnutstage");
    let alone = Load { long: false, ..SHARED };
    let alone = Figures::of(&drive(alone, &deployment, SEED, &ask).await);
    alone.print("chestnutstage, no long prompts");
    println!();
    let name = deployment.name;
    bounds.hold(
        &format!("{name}: first token of short prompts p95 {:?} <= {FIRST_TOKEN:?}", mixed.short()),
        mixed.short() <= FIRST_TOKEN,
    );
    bounds.hold(&format!("{name}: token gaps p95 {:?} <= {TOKEN_GAP:?}", mixed.gap), mixed.gap <= TOKEN_GAP);
    let ratio = mixed.short().as_secs_f64() / alone.short().as_secs_f64();
    bounds.hold(
        &format!("{name}: short prompts with long ones {ratio:.2} <= {SHARING} times without"),
        ratio <= SHARING,
    );
    let excess: u64 = fleet.park.all().map(|e| e.excess()).sum();
    bounds.hold(&format!("{name}: requests beyond a cold capacity {excess} = 0"), excess == 0);
    stop(fleet);
}

fn stop(fleet: Arc<Fleet>) {
    if let Some(fleet) = Arc::into_inner(fleet) {
        fleet.stop();
    }
}

async fn zone_change(deployment: Deployment, bounds: &mut Bounds) {
    println!("\n## {}: a zone out and back at 70 % load of the whole pool's two thirds\n", deployment.name);
    println!(
        "| phase | prompt | p50 ms | p95 ms | p99 ms | requests | failed |\n|---|---|---|---|---|---|---|"
    );
    let fleet = Arc::new(Fleet::start(&deployment, first_changes(), SEED).await);
    let ask = stage(&fleet);
    let load = Load { part: 0.7, long: true, time: Duration::from_mins(1), skip: Duration::from_secs(20) };
    let before = Figures::of(&drive(load, &deployment, SEED, &ask).await);
    before.print("before");
    let load = Load { skip: Duration::ZERO, ..load };
    let zone_b = || fleet.park.all().filter(|e| e.zone().as_str() == "b").map(|e| e.submitted()).sum::<u64>();
    let watch = async {
        fleet.change(&Change::ZoneOut("b".into())).await;
        sleep(ZONE_OUT).await;
        zone_b()
    };
    // Two thirds of the pool carry what is left of the load after callers are refused what does not fit.
    let (out, late) = tokio::join!(drive(load, &deployment, SEED + 1, &ask), watch);
    let after_bound = zone_b() - late;
    let out = (Figures::of(&out), out);
    out.0.print("zone b out");
    fleet.change(&Change::ZoneIn("b".into())).await;
    let back = drive(load, &deployment, SEED + 2, &ask).await;
    let back = (Figures::of(&back), back);
    back.0.print("zone b back");
    println!();
    let lost = |served: &[Served]| {
        served
            .iter()
            .filter(|s| matches!(s.failure.as_deref(), Some("cut" | "endpoint_failed" | "unknown")))
            .count()
    };
    let lost = lost(&out.1) + lost(&back.1);
    let name = deployment.name;
    bounds.hold(&format!("{name}: admitted requests lost in the change {lost} = 0"), lost == 0);
    bounds.hold(
        &format!("{name}: new work in the zone after {ZONE_OUT:?}: {after_bound} = 0"),
        after_bound == 0,
    );
    let worst = out.0.short().max(back.0.short()).as_secs_f64() / before.short().as_secs_f64();
    bounds.hold(
        &format!("{name}: short prompts during the change {worst:.2} <= {ZONE_CHANGE} times before"),
        worst <= ZONE_CHANGE,
    );
    stop(fleet);
}

async fn million_tokens(deployment: Deployment, bounds: &mut Bounds) {
    println!("\n## {}: a prompt of a million tokens at 60 % load\n", deployment.name);
    let fleet = Arc::new(Fleet::start(&deployment, first_changes(), SEED).await);
    let ask = stage(&fleet);
    let load = Load { part: 0.6, long: true, time: Duration::from_secs(90), skip: Duration::from_secs(20) };
    let archive = async {
        sleep(Duration::from_secs(25)).await;
        ask(0, PROMPT_MAX, 200).await
    };
    let (served, archive) = tokio::join!(drive(load, &deployment, SEED, &ask), archive);
    let short: Vec<_> = served.iter().filter(|s| s.prompt < SHORT).collect();
    let missed = short.iter().filter(|s| s.failure.is_some()).count() as f64 / short.len() as f64;
    println!(
        "the archive took {:?} (first token after {:?}); failure: {:?}",
        archive.took, archive.first, archive.failure
    );
    sleep(Duration::from_secs(10)).await;
    let held: usize = fleet.park.all().map(|e| e.held()).sum();
    let name = deployment.name;
    bounds.hold(&format!("{name}: the archive is answered"), archive.failure.is_none());
    bounds.hold(
        &format!("{name}: short prompts that failed meanwhile {:.2} % <= 1 %", missed * 100.0),
        missed <= 0.01,
    );
    bounds.hold(&format!("{name}: memory still held on engines {held} = 0"), held == 0);
    stop(fleet);
}

async fn cold_flips(deployment: Deployment, bounds: &mut Bounds) {
    println!("\n## {}: engines that turn cold without notice at 40 % load\n", deployment.name);
    println!(
        "| phase | prompt | p50 ms | p95 ms | p99 ms | requests | failed |\n|---|---|---|---|---|---|---|"
    );
    let fleet = Arc::new(Fleet::start(&deployment, first_changes(), SEED).await);
    let ask = stage(&fleet);
    let load = Load { part: 0.4, long: false, time: Duration::from_mins(1), skip: Duration::from_secs(10) };
    let chill = async {
        let mut rng = StdRng::seed_from_u64(SEED);
        let engines: Vec<_> = fleet.park.all().cloned().collect();
        for _ in 0..5 {
            sleep(Duration::from_secs(10)).await;
            engines[rng.random_range(0..engines.len())].chill();
        }
    };
    let (served, ()) = tokio::join!(drive(load, &deployment, SEED, &ask), chill);
    let figures = Figures::of(&served);
    figures.print("five flips");
    let excess: u64 = fleet.park.all().map(|e| e.excess()).sum();
    println!("requests that met a silent flip before its first evidence: {excess}");
    bounds.hold(&format!("{}: failed requests {} = 0", deployment.name, figures.failed), figures.failed == 0);
    stop(fleet);
}

async fn run() -> Bounds {
    let mut bounds = Bounds::default();
    let only = std::env::var("SERVICE_BENCH").unwrap_or_default();
    let wanted = |name: &str| only.is_empty() || only == name;
    for deployment in [FROSTBANK, HENNABOEK] {
        if only == "sweep" {
            sweep(deployment).await;
        }
        if wanted("first") {
            first_token(deployment, &mut bounds).await;
        }
        if wanted("zone") {
            zone_change(deployment, &mut bounds).await;
        }
        if wanted("archive") {
            million_tokens(deployment, &mut bounds).await;
        }
        if wanted("cold") {
            cold_flips(deployment, &mut bounds).await;
        }
    }
    bounds
}

fn main() {
    // `cargo test` builds benches and runs them with this flag; the bench has no business there.
    if !std::env::args().any(|a| a == "--bench") {
        return;
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    let bounds = runtime.expect("a runtime").block_on(run());
    println!();
    assert!(bounds.crossed.is_empty(), "bounds crossed: {:#?}", bounds.crossed);
}
