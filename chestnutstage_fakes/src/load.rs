//! Load driver: completions with prompts of very different lengths, and bookings.
//!
//! Requests arrive at random times, whether or not earlier ones have been answered. Every response is checked for
//! completeness, and every booking for having run as its responses state.

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

/// Bytes of text that the system counts as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Timeout that the requests ask for.
const TIMEOUT_MS: u64 = 30_000;
/// Largest time that the histograms record.
const HISTOGRAM_MAX_MS: u64 = 600_000;

/// Range of prompt lengths; the results table has a row for each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Band {
    /// Under 10,000 tokens.
    Short,
    /// Under 100,000 tokens.
    Medium,
    /// 100,000 tokens and more.
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

/// A period of load at constant rates.
#[derive(Debug, Clone)]
pub struct Phase {
    /// Name in the results table.
    pub name: String,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Completions per second.
    pub completion_rate: f64,
    /// Whether some of the prompts are long.
    pub long_prompts: bool,
    /// Bookings per second.
    pub booking_rate: f64,
}

/// Results of one phase.
#[derive(Debug)]
pub struct Results {
    first_tokens: BTreeMap<Band, Histogram<u64>>,
    token_gaps: Histogram<u64>,
    failures: BTreeMap<String, u64>,
    sent: u64,
    completed: u64,
    broken: u64,
}

impl Default for Results {
    fn default() -> Self {
        let histogram = histogram();
        Self {
            first_tokens: BTreeMap::new(),
            token_gaps: histogram,
            failures: BTreeMap::new(),
            sent: 0,
            completed: 0,
            broken: 0,
        }
    }
}

fn histogram() -> Histogram<u64> {
    // These constants are within the limits of the library, so this cannot fail.
    Histogram::new_with_max(HISTOGRAM_MAX_MS, 3).unwrap_or_else(|_| unreachable!())
}

impl Results {
    /// Time to first token of a band at a quantile, in milliseconds.
    pub fn first_token(&self, band: Band, quantile: f64) -> Option<u64> {
        self.first_tokens.get(&band).map(|h| h.value_at_quantile(quantile))
    }

    /// Requests that ended neither in a complete response nor in a refusal stating that they did not run.
    pub const fn broken(&self) -> u64 {
        self.broken
    }

    /// Requests that got a complete response.
    pub const fn completed(&self) -> u64 {
        self.completed
    }

    /// Number of failures by code.
    pub const fn failures(&self) -> &BTreeMap<String, u64> {
        &self.failures
    }
}

/// Outcomes that the responses stated for each booking.
#[derive(Debug, Default)]
pub struct Bookings {
    outcomes: BTreeMap<String, Vec<String>>,
}

/// Comparison of the stated outcomes with what the service ran.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Audit {
    /// Bookings that were requested.
    pub requested: usize,
    /// Bookings that ran.
    pub executed: usize,
    /// Bookings that ran more than once.
    pub duplicated: usize,
    /// Bookings reported as done that did not run.
    pub lost: usize,
    /// Bookings reported as not run that ran.
    pub false_refusals: usize,
    /// Bookings with an unknown outcome.
    pub unknown: usize,
}

impl Bookings {
    /// Compares the stated outcomes with `runs`, the number of runs of each booking.
    pub fn audit(&self, runs: &BTreeMap<String, u32>) -> Audit {
        let mut audit = Audit { requested: self.outcomes.len(), ..Audit::default() };
        for (booking, outcomes) in &self.outcomes {
            let count = runs.get(booking).copied().unwrap_or(0);
            let any = |outcome: &str| outcomes.iter().any(|o| o == outcome);
            audit.executed += usize::from(count > 0);
            audit.duplicated += usize::from(count > 1);
            audit.lost += usize::from(any("done") && count == 0);
            audit.false_refusals += usize::from(outcomes.iter().all(|o| o == "not_run") && count > 0);
            audit.unknown += usize::from(!any("done") && !outcomes.iter().all(|o| o == "not_run"));
        }
        audit
    }
}

/// Generates load on a deployment.
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

/// Parameters of one completion request.
#[derive(Debug, Clone)]
struct CompletionRequest {
    url: String,
    key: String,
    prompt_tokens: usize,
    output_tokens: u64,
    salt: u64,
}

impl Driver {
    /// Creates a driver for `world`.
    ///
    /// # Errors
    ///
    /// The HTTP client can't be created.
    pub fn new(world: World) -> Result<Self, String> {
        let client = Client::builder().no_proxy().build().map_err(|e| e.to_string())?;
        let filler = "cast ".repeat(1_000_000).into();
        Ok(Self { world: Arc::new(world), client, filler, results: Arc::default(), bookings: Arc::default() })
    }

    /// Runs one phase and waits for all responses.
    pub async fn run(&self, phase: &Phase, seed: u64) -> Results {
        *lock(&self.results) = Results::default();
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut tasks = Vec::new();
        let (mut next_completion, mut next_booking) = (0.0_f64, 0.0_f64);
        let end = phase.duration.as_secs_f64();
        while next_completion.min(next_booking) < end {
            sleep_until(start + Duration::from_secs_f64(next_completion.min(next_booking))).await;
            if next_completion <= next_booking {
                let request = self.random_request(&mut rng, phase.long_prompts);
                let driver = self.clone();
                tasks.push(tokio::spawn(async move { driver.complete(request).await }));
                next_completion += arrival_gap(&mut rng, phase.completion_rate);
            } else {
                let (url, key) = (self.random_url(&mut rng), self.random_key(&mut rng));
                let (name, repeat) = (format!("{seed}-{:016x}", rng.random::<u64>()), rng.random_bool(0.2));
                let driver = self.clone();
                tasks.push(tokio::spawn(async move { driver.book(url, key, name, repeat).await }));
                next_booking += arrival_gap(&mut rng, phase.booking_rate);
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

    /// Sum of one statistic over all engines.
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

    fn random_url(&self, rng: &mut StdRng) -> String {
        let urls: Vec<_> = self.world.callers.values().collect();
        urls[rng.random_range(0..urls.len())].clone()
    }

    fn random_key(&self, rng: &mut StdRng) -> String {
        let keys: Vec<_> = self.world.customers.values().collect();
        // Customers differ in size: the first one makes at least a third of all requests.
        if rng.random_bool(0.33) { keys[0].clone() } else { keys[rng.random_range(0..keys.len())].clone() }
    }

    fn random_request(&self, rng: &mut StdRng, long: bool) -> CompletionRequest {
        let prompt_tokens = prompt_tokens(rng, long);
        CompletionRequest {
            url: self.random_url(rng),
            key: self.random_key(rng),
            prompt_tokens,
            output_tokens: rng.random_range(16..96),
            salt: rng.random(),
        }
    }

    async fn complete(&self, request: CompletionRequest) {
        lock(&self.results).sent += 1;
        let band = Band::of(request.prompt_tokens);
        let output = request.output_tokens;
        match self.stream(request, band).await {
            Ok(count) if count == output => lock(&self.results).completed += 1,
            Ok(count) => {
                let mut results = lock(&self.results);
                results.broken += 1;
                *results.failures.entry(format!("truncated: {count} of {output} chunks")).or_default() += 1;
            }
            Err((code, broken)) => {
                let mut results = lock(&self.results);
                results.broken += u64::from(broken);
                *results.failures.entry(code).or_default() += 1;
            }
        }
    }

    /// Requests a completion; returns the number of chunks received, or the code of the failure and whether the request
    /// counts as broken.
    async fn stream(&self, params: CompletionRequest, band: Band) -> Result<u64, (String, bool)> {
        let text = format!("{:016x} {}", params.salt, &self.filler[..params.prompt_tokens * BYTES_PER_TOKEN]);
        let body = json!({
            "model": MODEL,
            "stream": true,
            "max_tokens": params.output_tokens,
            "messages": [{"role": "user", "content": text}],
        });
        let sent_at = Instant::now();
        let request = self.client.post(format!("{}/v1/chat/completions", params.url));
        let request = request.bearer_auth(&params.key).header("x-request-timeout-ms", TIMEOUT_MS);
        let response = request.json(&body).send().await;
        let response = response.map_err(|e| (format!("connection: {}", root_cause(&e)), true))?;
        if !response.status().is_success() {
            let body: Value = response.json().await.unwrap_or_default();
            let code = body["error"]["code"].as_str().unwrap_or("no code").to_owned();
            let outcome = body["error"]["outcome"].as_str().unwrap_or("no outcome").to_owned();
            return Err((format!("{code} ({outcome})"), outcome != "not_run"));
        }
        let mut stream = response.bytes_stream();
        let (mut count, mut last, mut buffer) = (0, None::<Instant>, Vec::new());
        while let Some(bytes) = stream.next().await {
            buffer.extend_from_slice(&bytes.map_err(|e| (format!("stream: {}", root_cause(&e)), true))?);
            while let Some(end) = buffer.windows(2).position(|w| w == b"\n\n") {
                let event: Vec<u8> = buffer.drain(..end + 2).collect();
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
                    return Err(("unexpected chunk".into(), true));
                }
                self.record(band, sent_at, last.replace(Instant::now()));
                count += 1;
            }
        }
        Ok(count)
    }

    fn record(&self, band: Band, sent_at: Instant, previous: Option<Instant>) {
        let mut results = lock(&self.results);
        match previous {
            None => {
                let millis = sent_at.elapsed().as_millis() as u64;
                results.first_tokens.entry(band).or_insert_with(histogram).saturating_record(millis);
            }
            Some(previous) => results.token_gaps.saturating_record(previous.elapsed().as_millis() as u64),
        }
    }

    /// Sends a booking, and with `repeat` a second time under the same idempotency key, as a caller that retries does.
    async fn book(&self, url: String, key: String, name: String, repeat: bool) {
        for _ in 0..=usize::from(repeat) {
            let request = self.client.post(format!("{url}/v1/services/{SERVICE}/bookings"));
            let request = request.bearer_auth(&key).header("idempotency-key", &name);
            let outcome = match request.json(&json!({"booking": name})).send().await {
                Ok(response) if response.status().is_success() => "done".to_owned(),
                Ok(response) => {
                    let body: Value = response.json().await.unwrap_or_default();
                    body["error"]["outcome"].as_str().unwrap_or("unknown").to_owned()
                }
                Err(_) => "unknown".to_owned(),
            };
            lock(&self.bookings).outcomes.entry(name.clone()).or_default().push(outcome);
        }
    }
}

fn root_cause(error: &reqwest::Error) -> String {
    let mut source: &dyn std::error::Error = error;
    while let Some(inner) = source.source() {
        source = inner;
    }
    source.to_string()
}

/// Random time to the next arrival, in seconds; `rate` is in arrivals per second.
pub fn arrival_gap(rng: &mut impl Rng, rate: f64) -> f64 {
    -rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln() / rate.max(1e-9)
}

/// Random prompt length in tokens: with `long` one in fifty is over 100,000, and most of the others are short.
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
        for (band, h) in &results.first_tokens {
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
            results.token_gaps.len(),
            results.token_gaps.value_at_quantile(0.5),
            results.token_gaps.value_at_quantile(0.95),
            results.token_gaps.value_at_quantile(0.99)
        );
    }
    for (phase, results) in phases {
        println!(
            "{}: {} sent, {} completed, {} broken; failures: {:?}",
            phase.name, results.sent, results.completed, results.broken, results.failures
        );
    }
}
