//! Fake of the platform: table service, object store, lagging instance list and weight store.
//!
//! The instance list changes only when it is replaced, so it can lag behind the instances. Rows have a version; a write
//! is applied only if the row still has the version that the writer expects (0 for a row that doesn't exist). Faults
//! make the platform unavailable or slow, or lose the responses of writes that have taken effect.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::extract::{Path, Query, Request, State};
use axum::http::StatusCode;
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use bytes::Bytes;
use chestnutstage_core::endpoint::Endpoint;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// Maximum number of rows in one response.
const PAGE_ROWS_MAX: usize = 1_000;
/// Number of weight loads that may start within a second.
const WEIGHT_LOADS_PER_S: usize = 2;

/// A fault to inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fault {
    /// Every request is refused with status 503.
    Down,
    /// Every request takes this many milliseconds longer.
    Slow(u64),
    /// This many of the next writes take effect, but their responses are never sent.
    #[serde(rename = "lose")]
    LoseResponses(u32),
    /// Clears the fault.
    #[serde(rename = "heal")]
    Clear,
}

/// An instance in the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Instance id.
    pub id: String,
    /// Address at which its peers reach it.
    pub peer: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// The instance list: live and leaving instances and endpoints.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Listing {
    /// chestnutstage instances.
    pub instances: Vec<Listed>,
    /// Endpoints.
    pub endpoints: Vec<Endpoint>,
}

#[derive(Debug, Clone)]
struct Row {
    version: u64,
    value: Value,
    written_at: Instant,
}

#[derive(Debug, Default)]
struct Inner {
    tables: BTreeMap<String, BTreeMap<String, Row>>,
    objects: BTreeMap<String, Bytes>,
    listing: Listing,
    fault: Option<Fault>,
    writes: u64,
    reads: u64,
    weight_loads: VecDeque<Instant>,
}

/// A running fake.
#[derive(Debug, Clone)]
pub struct PlatformFake {
    inner: Arc<Mutex<Inner>>,
    address: SocketAddr,
}

impl PlatformFake {
    /// Starts a fake with `listing` as its instance list; port 0 stands for any free port.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn spawn(address: &str, listing: Listing) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let inner = Inner { listing, ..Inner::default() };
        let fake = Self { inner: Arc::new(Mutex::new(inner)), address: listener.local_addr()? };
        let router = fake.router();
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(fake)
    }

    /// Base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Injects or clears a fault.
    pub fn inject(&self, fault: Fault) {
        self.lock().fault = (fault != Fault::Clear).then_some(fault);
    }

    /// Replaces the instance list.
    pub fn set_listing(&self, listing: Listing) {
        self.lock().listing = listing;
    }

    /// Number of writes and of reads so far.
    pub fn calls(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.writes, inner.reads)
    }

    /// Rows of a table.
    pub fn rows(&self, table: &str) -> Vec<(String, Value)> {
        let inner = self.lock();
        let rows = inner.tables.get(table).into_iter().flatten();
        rows.map(|(k, r)| (k.clone(), r.value.clone())).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn router(&self) -> Router {
        Router::new()
            .route("/tables/{table}/write", post(write))
            .route("/tables/{table}/rows", get(scan))
            .route("/tables/{table}/rows/{key}", get(read))
            .route("/objects/{name}", put(put_object).get(get_object))
            .route("/instances", get(instances))
            .route("/weights/{model}", get(weights))
            .layer(middleware::from_fn_with_state(self.clone(), apply_fault))
            .route("/admin/fault", post(fault))
            .route("/admin/listing", put(put_listing))
            .with_state(self.clone())
    }
}

/// Applies the current fault to a request.
async fn apply_fault(State(fake): State<PlatformFake>, request: Request, next: Next) -> Response {
    let fault = fake.lock().fault;
    let is_write = request.method() != axum::http::Method::GET;
    match fault {
        Some(Fault::Down) => return StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Some(Fault::Slow(millis)) => sleep(Duration::from_millis(millis)).await,
        _ => {}
    }
    let response = next.run(request).await;
    if is_write && fake.lock().loses_response() {
        std::future::pending::<()>().await;
    }
    response
}

impl Inner {
    /// Tells whether the response of the current write is lost, and counts the loss.
    fn loses_response(&mut self) -> bool {
        let Some(Fault::LoseResponses(remaining)) = self.fault else {
            return false;
        };
        self.fault = remaining.checked_sub(2).map(|n| Fault::LoseResponses(n + 1));
        remaining > 0
    }
}

/// A conditional write.
#[derive(Debug, Deserialize)]
struct Write {
    key: String,
    expect: u64,
    value: Value,
}

#[derive(Debug, Deserialize)]
struct Writes {
    writes: Vec<Write>,
}

async fn write(
    State(fake): State<PlatformFake>,
    Path(table): Path<String>,
    Json(body): Json<Writes>,
) -> Json<Value> {
    let mut inner = fake.lock();
    inner.writes += 1;
    let rows = inner.tables.entry(table).or_default();
    let results: Vec<_> = body.writes.into_iter().map(|w| apply_write(rows, w)).collect();
    Json(json!({"results": results}))
}

fn apply_write(rows: &mut BTreeMap<String, Row>, write: Write) -> Value {
    let current = rows.get(&write.key);
    let version = current.map_or(0, |r| r.version);
    if version != write.expect {
        return json!({"ok": false, "current": current.map(row_json)});
    }
    rows.insert(write.key, Row { version: version + 1, value: write.value, written_at: Instant::now() });
    json!({"ok": true, "version": version + 1})
}

fn row_json(row: &Row) -> Value {
    json!({"version": row.version, "value": row.value, "age_ms": row.written_at.elapsed().as_millis() as u64})
}

async fn read(State(fake): State<PlatformFake>, Path((table, key)): Path<(String, String)>) -> Response {
    let mut inner = fake.lock();
    inner.reads += 1;
    match inner.tables.get(&table).and_then(|t| t.get(&key)) {
        Some(row) => Json(row_json(row)).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

#[derive(Debug, Deserialize)]
struct Scan {
    #[serde(default)]
    after: String,
}

async fn scan(
    State(fake): State<PlatformFake>,
    Path(table): Path<String>,
    Query(q): Query<Scan>,
) -> Json<Value> {
    let mut inner = fake.lock();
    inner.reads += 1;
    let rows = inner.tables.get(&table).into_iter().flatten();
    let rows: Vec<_> = rows
        .filter(|(k, _)| **k > q.after)
        .take(PAGE_ROWS_MAX)
        .map(|(k, r)| {
            let mut row = row_json(r);
            row["key"] = json!(k);
            row
        })
        .collect();
    Json(json!({"rows": rows}))
}

async fn put_object(State(fake): State<PlatformFake>, Path(name): Path<String>, body: Bytes) -> StatusCode {
    let mut inner = fake.lock();
    inner.writes += 1;
    inner.objects.insert(name, body);
    StatusCode::NO_CONTENT
}

async fn get_object(State(fake): State<PlatformFake>, Path(name): Path<String>) -> Response {
    let mut inner = fake.lock();
    inner.reads += 1;
    match inner.objects.get(&name) {
        Some(body) => body.clone().into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn instances(State(fake): State<PlatformFake>) -> Json<Listing> {
    Json(fake.lock().listing.clone())
}

/// Returns the weights of a model, or status 429 if too many loads started within the last second.
async fn weights(State(fake): State<PlatformFake>, Path(model): Path<String>) -> Response {
    let mut inner = fake.lock();
    let now = Instant::now();
    inner.weight_loads.retain(|t| now.duration_since(*t) < Duration::from_secs(1));
    if inner.weight_loads.len() >= WEIGHT_LOADS_PER_S {
        return (StatusCode::TOO_MANY_REQUESTS, [("retry-after", "1")]).into_response();
    }
    inner.weight_loads.push_back(now);
    Json(json!({"model": model})).into_response()
}

async fn fault(State(fake): State<PlatformFake>, Json(fault): Json<Fault>) -> StatusCode {
    fake.inject(fault);
    StatusCode::NO_CONTENT
}

async fn put_listing(State(fake): State<PlatformFake>, Json(listing): Json<Listing>) -> StatusCode {
    fake.set_listing(listing);
    StatusCode::NO_CONTENT
}
