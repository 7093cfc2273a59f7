//! Load driver: callers of very unlike prompt lengths, and clerks that book.
//!
//! Requests arrive at random times, whether or not earlier ones have been answered. Every answer is checked for being
//! whole, and every booking for having run exactly as its answer says.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::StreamExt;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use reqwest::Client;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep_until};

use crate::world::{MODEL, SERVICE, World};

/// Bytes of text that the system counts as a token.
const TOKEN_BYTES: usize = 4;
/// Time limit that callers ask for, in milliseconds.
const TIMEOUT_MS: u64 = 30_000;
/// Largest value of the histograms, in milliseconds.
const HISTOGRAM_MAX: u64 = 600_000;

/// Band of prompt lengths in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Band {
    /// Under 10,000 tokens.
    Short,
    /// Under 100,000 tokens.
    Medium,
    /// The rest.
    Long,
}

impl Band {
    const fn of(tokens: usize) -> Self {
        match tokens {
            0..10_000 => Self::Short,
            10_000..100_000 => Self::Medium,
            _ => Self::Long,
        }
    }

    const fn name(self) -> &'static str {
        match self {
            Self::Short => "under 10k",
            Self::Medium => "10k to 100k",
            Self::Long => "over 100k",
        }
    }
}

/// A stretch of load.
#[derive(Debug, Clone)]
pub struct Phase {
    /// Its name in the table.
    pub name: String,
    /// How long it lasts.
    pub time: Duration,
    /// Completions a second.
    pub rate: f64,
    /// Whether long prompts are among them.
    pub long: bool,
    /// Bookings a second.
    pub bookings: f64,
}

/// Results of one phase.
#[derive(Debug)]
pub struct Results {
    first: BTreeMap<Band, Histogram<u64>>,
    gaps: Histogram<u64>,
    failures: BTreeMap<String, u64>,
    sent: u64,
    whole: u64,
    broken: u64,
}

impl Default for Results {
    fn default() -> Self {
        let histogram = histogram();
        Self {
            first: BTreeMap::new(),
            gaps: histogram,
            failures: BTreeMap::new(),
            sent: 0,
            whole: 0,
            broken: 0,
        }
    }
}

fn histogram() -> Histogram<u64> {
    // The bounds are constants that the library accepts.
    Histogram::new_with_max(HISTOGRAM_MAX, 3).unwrap_or_else(|_| unreachable!())
}

impl Results {
    /// Time to first token of a band at a quantile, in milliseconds.
    pub fn first_token(&self, band: Band, quantile: f64) -> Option<u64> {
        self.first.get(&band).map(|h| h.value_at_quantile(quantile))
    }

    /// Requests that ended in anything but a whole answer or a clear refusal.
    pub const fn broken(&self) -> u64 {
        self.broken
    }

    /// Requests that got a whole answer.
    pub const fn whole(&self) -> u64 {
        self.whole
    }

    /// Failures by code.
    pub const fn failures(&self) -> &BTreeMap<String, u64> {
        &self.failures
    }
}

/// Bookings and what their answers said.
#[derive(Debug, Default)]
pub struct Bookings {
    answers: BTreeMap<String, Vec<String>>,
}

/// Comparison of the answers with what the service ran.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Audit {
    /// Bookings asked for.
    pub asked: usize,
    /// Bookings that ran.
    pub run: usize,
    /// Bookings that ran more than once.
    pub doubled: usize,
    /// Bookings answered as done that did not run.
    pub lost: usize,
    /// Bookings answered as not run that ran.
    pub untrue: usize,
    /// Bookings with an unknown outcome.
    pub unknown: usize,
}

impl Bookings {
    /// Compares the answers with `runs`, the number of runs of each booking.
    pub fn audit(&self, runs: &BTreeMap<String, u32>) -> Audit {
        let mut audit = Audit { asked: self.answers.len(), ..Audit::default() };
        for (booking, answers) in &self.answers {
            let count = runs.get(booking).copied().unwrap_or(0);
            let said = |what: &str| answers.iter().any(|a| a == what);
            audit.run += usize::from(count > 0);
            audit.doubled += usize::from(count > 1);
            audit.lost += usize::from(said("done") && count == 0);
            audit.untrue += usize::from(answers.iter().all(|a| a == "not_run") && count > 0);
            audit.unknown += usize::from(!said("done") && !answers.iter().all(|a| a == "not_run"));
        }
        audit
    }
}

/// Drives load at a deployment.
#[derive(Debug, Clone)]
pub struct Driver {
    world: Arc<World>,
    client: Client,
    filler: Arc<str>,
    results: Arc<Mutex<Results>>,
    bookings: Arc<Mutex<Bookings>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One completion to ask for.
#[derive(Debug, Clone)]
struct Wish {
    url: String,
    key: String,
    tokens: usize,
    output: u64,
    salt: u64,
}

impl Driver {
    /// A driver for `world`.
    ///
    /// # Errors
    ///
    /// The HTTP client can't be made.
    pub fn new(world: World) -> Result<Self, String> {
        let client = Client::builder().no_proxy().build().map_err(|e| e.to_string())?;
        let filler = "cast ".repeat(1_000_000).into();
        Ok(Self { world: Arc::new(world), client, filler, results: Arc::default(), bookings: Arc::default() })
    }

    /// Runs one phase and waits for all its answers.
    pub async fn run(&self, phase: &Phase, seed: u64) -> Results {
        *lock(&self.results) = Results::default();
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut tasks = Vec::new();
        let (mut next, mut booking) = (0.0_f64, 0.0_f64);
        let end = phase.time.as_secs_f64();
        while next.min(booking) < end {
            sleep_until(start + Duration::from_secs_f64(next.min(booking))).await;
            if next <= booking {
                let wish = self.wish(&mut rng, phase.long);
                let driver = self.clone();
                tasks.push(tokio::spawn(async move { driver.complete(wish).await }));
                next += arrival_gap(&mut rng, phase.rate);
            } else {
                let (url, key) = (self.url(&mut rng), self.key(&mut rng));
                let (name, again) = (format!("{seed}-{:016x}", rng.random::<u64>()), rng.random_bool(0.2));
                let driver = self.clone();
                tasks.push(tokio::spawn(async move { driver.book(url, key, name, again).await }));
                booking += arrival_gap(&mut rng, phase.bookings);
            }
        }
        for task in tasks {
            let _ = task.await;
        }
        std::mem::take(&mut lock(&self.results))
    }

    /// Compares all bookings so far with what the services ran.
    pub async fn audit(&self) -> Audit {
        let mut runs = BTreeMap::<String, u32>::new();
        let services = self.world.listing.endpoints.iter().filter(|e| e.models[0].as_str() == SERVICE);
        for service in services {
            let url = format!("http://{}/admin/runs", service.address);
            if let Ok(response) = self.client.get(url).send().await {
                let part: BTreeMap<String, u32> = response.json().await.unwrap_or_default();
                for (booking, count) in part {
                    *runs.entry(booking).or_default() += count;
                }
            }
        }
        lock(&self.bookings).audit(&runs)
    }

    /// Sum of a figure over all engines' statistics.
    pub async fn engine_stat(&self, name: &str) -> u64 {
        let mut sum = 0;
        for engine in self.world.listing.endpoints.iter().filter(|e| e.models[0].as_str() == MODEL) {
            let url = format!("http://{}/admin/stats", engine.address);
            let Ok(response) = self.client.get(url).send().await else {
                continue;
            };
            let stats: Value = response.json().await.unwrap_or_default();
            sum += stats[name].as_u64().unwrap_or(0);
        }
        sum
    }

    fn url(&self, rng: &mut StdRng) -> String {
        let urls: Vec<_> = self.world.callers.values().collect();
        urls[rng.random_range(0..urls.len())].clone()
    }

    fn key(&self, rng: &mut StdRng) -> String {
        let keys: Vec<_> = self.world.customers.values().collect();
        // A few customers are large: the first one makes a third of all requests.
        if rng.random_bool(0.33) { keys[0].clone() } else { keys[rng.random_range(0..keys.len())].clone() }
    }

    fn wish(&self, rng: &mut StdRng, long: bool) -> Wish {
        let tokens = prompt_tokens(rng, long);
        Wish {
            url: self.url(rng),
            key: self.key(rng),
            tokens,
            output: rng.random_range(16..96),
            salt: rng.random(),
        }
    }

    async fn complete(&self, wish: Wish) {
        lock(&self.results).sent += 1;
        let band = Band::of(wish.tokens);
        let output = wish.output;
        match self.stream(wish, band).await {
            Ok(count) if count == output => lock(&self.results).whole += 1,
            Ok(count) => {
                let mut results = lock(&self.results);
                results.broken += 1;
                *results.failures.entry(format!("cut: {count} of {output} pieces")).or_default() += 1;
            }
            Err((code, broken)) => {
                let mut results = lock(&self.results);
                results.broken += u64::from(broken);
                *results.failures.entry(code).or_default() += 1;
            }
        }
    }

    /// Asks for a completion; gives the pieces that came, or the code of the failure and whether it cut the answer.
    async fn stream(&self, wish: Wish, band: Band) -> Result<u64, (String, bool)> {
        let text = format!("{:016x} {}", wish.salt, &self.filler[..wish.tokens * TOKEN_BYTES]);
        let body = json!({
            "model": MODEL,
            "stream": true,
            "max_tokens": wish.output,
            "messages": [{"role": "user", "content": text}],
        });
        let asked = Instant::now();
        let request = self.client.post(format!("{}/v1/chat/completions", wish.url));
        let request = request.bearer_auth(&wish.key).header("x-request-timeout-ms", TIMEOUT_MS);
        let response = request.json(&body).send().await;
        let response = response.map_err(|e| (format!("connection: {}", root(&e)), true))?;
        if !response.status().is_success() {
            let body: Value = response.json().await.unwrap_or_default();
            let code = body["error"]["code"].as_str().unwrap_or("no code").to_owned();
            let outcome = body["error"]["outcome"].as_str().unwrap_or("no outcome").to_owned();
            return Err((format!("{code} ({outcome})"), outcome != "not_run"));
        }
        let mut stream = response.bytes_stream();
        let (mut count, mut last, mut rest) = (0, None::<Instant>, Vec::new());
        while let Some(part) = stream.next().await {
            rest.extend_from_slice(&part.map_err(|e| (format!("stream: {}", root(&e)), true))?);
            while let Some(end) = rest.windows(2).position(|w| w == b"\n\n") {
                let event: Vec<u8> = rest.drain(..end + 2).collect();
                let text = String::from_utf8_lossy(&event);
                let Some(data) = text.trim().strip_prefix("data:").map(str::trim) else {
                    continue;
                };
                if data == "[DONE]" {
                    return Ok(count);
                }
                let chunk: Value = serde_json::from_str(data).unwrap_or_default();
                if let Some(code) = chunk["error"]["code"].as_str() {
                    return Err((format!("{code} mid-stream"), true));
                }
                let expected = format!("t{count} ");
                if chunk["choices"][0]["delta"]["content"] != expected.as_str() {
                    return Err(("wrong piece".into(), true));
                }
                self.record(band, asked, last.replace(Instant::now()));
                count += 1;
            }
        }
        Ok(count)
    }

    fn record(&self, band: Band, asked: Instant, last: Option<Instant>) {
        let mut results = lock(&self.results);
        match last {
            None => {
                let millis = asked.elapsed().as_millis() as u64;
                results.first.entry(band).or_insert_with(histogram).saturating_record(millis);
            }
            Some(last) => results.gaps.saturating_record(last.elapsed().as_millis() as u64),
        }
    }

    /// Books, and sometimes asks again under the same key, as an impatient clerk does.
    async fn book(&self, url: String, key: String, name: String, again: bool) {
        for _ in 0..=usize::from(again) {
            let request = self.client.post(format!("{url}/v1/services/{SERVICE}/bookings"));
            let request = request.bearer_auth(&key).header("idempotency-key", &name);
            let said = match request.json(&json!({"booking": name})).send().await {
                Ok(response) if response.status().is_success() => "done".to_owned(),
                Ok(response) => {
                    let body: Value = response.json().await.unwrap_or_default();
                    body["error"]["outcome"].as_str().unwrap_or("unknown").to_owned()
                }
                Err(_) => "unknown".to_owned(),
            };
            lock(&self.bookings).answers.entry(name.clone()).or_default().push(said);
        }
    }
}

fn root(error: &reqwest::Error) -> String {
    let mut source: &dyn std::error::Error = error;
    while let Some(inner) = source.source() {
        source = inner;
    }
    source.to_string()
}

/// Time to the next arrival at `rate`.
pub fn arrival_gap(rng: &mut impl Rng, rate: f64) -> f64 {
    -rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln() / rate.max(1e-9)
}

/// Tokens of a prompt: one in fifty over 100,000 if `long`, most of the rest short.
pub fn prompt_tokens(rng: &mut impl Rng, long: bool) -> usize {
    if long && rng.random_bool(0.02) {
        return log_uniform(rng, 100_001.0, 400_000.0);
    }
    if rng.random_bool(0.08) {
        return log_uniform(rng, 10_000.0, 100_000.0);
    }
    log_uniform(rng, 1_000.0, 9_500.0)
}

fn log_uniform(rng: &mut impl Rng, from: f64, to: f64) -> usize {
    rng.random_range(from.ln()..to.ln()).exp() as usize
}

/// Prints the results of phases as a table.
pub fn print_table(phases: &[(Phase, Results)]) {
    println!(
        "{:<22} {:<12} {:>6} {:>8} {:>8} {:>8}",
        "phase", "prompt", "count", "p50 ms", "p95 ms", "p99 ms"
    );
    for (phase, results) in phases {
        for (band, h) in &results.first {
            let at = |q| h.value_at_quantile(q);
            println!(
                "{:<22} {:<12} {:>6} {:>8} {:>8} {:>8}",
                phase.name,
                band.name(),
                h.len(),
                at(0.5),
                at(0.95),
                at(0.99)
            );
        }
        println!(
            "{:<22} {:<12} {:>6} {:>8} {:>8} {:>8}",
            phase.name,
            "token gaps",
            results.gaps.len(),
            results.gaps.value_at_quantile(0.5),
            results.gaps.value_at_quantile(0.95),
            results.gaps.value_at_quantile(0.99)
        );
    }
    for (phase, results) in phases {
        println!(
            "{}: {} asked, {} whole, {} broken; failures: {:?}",
            phase.name, results.sent, results.whole, results.broken, results.failures
        );
    }
}
