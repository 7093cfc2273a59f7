//! Stand-in of the platform: table service, object store, lagging instance list and weight store.
//!
//! Rows carry a version; a write is taken only if the row still has the version that the writer expects (0 for none).
//! Faults make the platform go down, slow, or lose its answers after the write has taken effect.

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

/// Rows in one answer, at the most.
const PAGE: usize = 1_000;
/// Weight loads that may start in a second.
const WEIGHT_RATE: usize = 2;

/// A failure to bring about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fault {
    /// Every call is refused.
    Down,
    /// Every call takes this many milliseconds longer.
    Slow(u64),
    /// The answers of the next writes are lost after their effect.
    #[serde(rename = "lose")]
    LoseResponses(u32),
    /// All is well again.
    #[serde(rename = "heal")]
    Clear,
}

/// An instance on the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Its name.
    pub id: String,
    /// Where its peers reach it.
    pub peer: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// The list of live and leaving instances.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Listing {
    /// The system's own instances.
    pub instances: Vec<Listed>,
    /// Endpoints.
    pub endpoints: Vec<Endpoint>,
}

#[derive(Debug, Clone)]
struct Row {
    version: u64,
    value: Value,
    at: Instant,
}

#[derive(Debug, Default)]
struct Inner {
    tables: BTreeMap<String, BTreeMap<String, Row>>,
    objects: BTreeMap<String, Bytes>,
    listing: Listing,
    fault: Option<Fault>,
    writes: u64,
    reads: u64,
    loads: VecDeque<Instant>,
}

/// A running stand-in.
#[derive(Debug, Clone)]
pub struct PlatformFake {
    inner: Arc<Mutex<Inner>>,
    address: SocketAddr,
}

impl PlatformFake {
    /// Starts a stand-in that lists `listing`; port 0 takes any.
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

    /// Its base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Brings about a failure.
    pub fn inject(&self, fault: Fault) {
        self.lock().fault = (fault != Fault::Clear).then_some(fault);
    }

    /// Replaces the list.
    pub fn set_listing(&self, listing: Listing) {
        self.lock().listing = listing;
    }

    /// Write and read calls so far.
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
            .layer(middleware::from_fn_with_state(self.clone(), faulty))
            .route("/admin/fault", post(fault))
            .route("/admin/listing", put(put_listing))
            .with_state(self.clone())
    }
}

/// Brings about the present failure on a call.
async fn faulty(State(fake): State<PlatformFake>, request: Request, next: Next) -> Response {
    let fault = fake.lock().fault;
    let writes = request.method() != axum::http::Method::GET;
    match fault {
        Some(Fault::Down) => return StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Some(Fault::Slow(millis)) => sleep(Duration::from_millis(millis)).await,
        _ => {}
    }
    let response = next.run(request).await;
    if writes && fake.lock().loses() {
        std::future::pending::<()>().await;
    }
    response
}

impl Inner {
    fn loses(&mut self) -> bool {
        let Some(Fault::LoseResponses(left)) = self.fault else {
            return false;
        };
        self.fault = left.checked_sub(2).map(|n| Fault::LoseResponses(n + 1));
        left > 0
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
    let results: Vec<_> = body.writes.into_iter().map(|w| write_one(rows, w)).collect();
    Json(json!({"results": results}))
}

fn write_one(rows: &mut BTreeMap<String, Row>, write: Write) -> Value {
    let current = rows.get(&write.key);
    let version = current.map_or(0, |r| r.version);
    if version != write.expect {
        return json!({"ok": false, "current": current.map(shown)});
    }
    rows.insert(write.key, Row { version: version + 1, value: write.value, at: Instant::now() });
    json!({"ok": true, "version": version + 1})
}

fn shown(row: &Row) -> Value {
    json!({"version": row.version, "value": row.value, "age_ms": row.at.elapsed().as_millis() as u64})
}

async fn read(State(fake): State<PlatformFake>, Path((table, key)): Path<(String, String)>) -> Response {
    let mut inner = fake.lock();
    inner.reads += 1;
    match inner.tables.get(&table).and_then(|t| t.get(&key)) {
        Some(row) => Json(shown(row)).into_response(),
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
        .take(PAGE)
        .map(|(k, r)| {
            let mut row = shown(r);
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

/// Gives a model's weights, or says that too many loads started lately.
async fn weights(State(fake): State<PlatformFake>, Path(model): Path<String>) -> Response {
    let mut inner = fake.lock();
    let now = Instant::now();
    inner.loads.retain(|t| now.duration_since(*t) < Duration::from_secs(1));
    if inner.loads.len() >= WEIGHT_RATE {
        return (StatusCode::TOO_MANY_REQUESTS, [("retry-after", "1")]).into_response();
    }
    inner.loads.push_back(now);
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
