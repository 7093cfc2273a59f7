//! Fake of a model engine, over HTTP.
//!
//! It serves the usual completion API with server-sent events, and the other calls that the system expects of engines:
//! resume and cancel by request id, load reports, KV reservations, and orders with fencing numbers. The control routes
//! under `/admin` inject the faults that tests and the demo need.

mod control;
mod kv;

use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::sse::{Event, Sse};
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post, put};
use axum::{Json, Router};
use chestnutstage_core::endpoint::Endpoint;
use chestnutstage_core::ids::{BootId, RequestId};
use chestnutstage_core::length::{self, Tokens};
use futures::Stream;
use futures::stream;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep};

use self::kv::HeldReservation;
pub use self::kv::Reservation;
use crate::engine::{Engine, Job, StepOutput};

/// Time after which a stream without a reader is cancelled unless it is resumed.
const RESUME_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which a finished stream can be read again.
const REPLAY_TIME: Duration = Duration::from_secs(30);
/// Maximum size of a request body.
const BODY_MAX_BYTES: usize = 64 << 20;

/// A fault to inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fault {
    /// The engine restarts and is cold.
    Restart,
    /// The engine turns cold; its boot id stays the same.
    Cold,
    /// Open streams send nothing more; new connections work.
    #[serde(rename = "silence")]
    StallStreams,
    /// New completions are refused before they run, and the response says so.
    Refuse,
    /// New completions hang before the first byte of the response.
    Hang,
    /// Load reports fail with status 500.
    #[serde(rename = "deaf")]
    FailLoadReports,
    /// Clears the fault.
    #[serde(rename = "heal")]
    Clear,
}

/// A stream and its progress.
#[derive(Debug)]
struct StreamState {
    progress: watch::Sender<Progress>,
    readers: usize,
    ended_at: Option<Instant>,
    idle_since: Option<Instant>,
    model: String,
    prompt_tokens: u64,
    stalled: watch::Sender<bool>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Progress {
    generated: u64,
    cached: u64,
    last: bool,
    broken: bool,
}

#[derive(Debug)]
struct Inner {
    engine: Engine,
    streams: HashMap<RequestId, StreamState>,
    reservations: BTreeMap<String, HeldReservation>,
    fencing: u64,
    orders: Vec<Value>,
    fault: Option<Fault>,
    submitted: u64,
}

/// A running fake.
#[derive(Clone)]
pub struct EngineFake {
    inner: Arc<Mutex<Inner>>,
    submissions: Arc<Notify>,
    address: SocketAddr,
}

impl std::fmt::Debug for EngineFake {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "EngineFake({})", self.address)
    }
}

impl EngineFake {
    /// Starts a fake at the address of `endpoint`; port 0 stands for any free port.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn spawn(mut endpoint: Endpoint, cold: bool) -> std::io::Result<Self> {
        let listener = TcpListener::bind(&endpoint.address).await?;
        let address = listener.local_addr()?;
        endpoint.address = address.to_string();
        let inner = Inner {
            engine: Engine::new(endpoint, BootId(1), cold),
            streams: HashMap::new(),
            reservations: BTreeMap::new(),
            fencing: 0,
            orders: Vec::new(),
            fault: None,
            submitted: 0,
        };
        let fake = Self { inner: Arc::new(Mutex::new(inner)), submissions: Arc::new(Notify::new()), address };
        tokio::spawn(fake.clone().run_steps());
        let router = fake.router();
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(fake)
    }

    /// Entry in the instance list, with the address that the fake listens on.
    pub fn listing(&self) -> Endpoint {
        self.lock().engine.endpoint().clone()
    }

    /// Injects or clears a fault.
    pub fn inject(&self, fault: Fault) {
        let mut inner = self.lock();
        match fault {
            Fault::Restart => {
                inner.engine.restart();
                inner.reservations.clear();
                for stream in inner.streams.values() {
                    stream.progress.send_modify(|p| p.broken = true);
                }
                inner.streams.clear();
            }
            Fault::Cold => inner.engine.turn_cold(),
            Fault::StallStreams => {
                for stream in inner.streams.values() {
                    stream.stalled.send_replace(true);
                }
            }
            Fault::Clear => inner.fault = None,
            other => inner.fault = Some(other),
        }
    }

    /// Number of requests submitted so far.
    pub fn submitted(&self) -> u64 {
        self.lock().submitted
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.lock().engine.running().count()
    }

    /// Number of KV memory reservations.
    pub fn reservations(&self) -> usize {
        self.lock().reservations.len()
    }

    /// Orders accepted so far.
    pub fn orders(&self) -> Vec<Value> {
        self.lock().orders.clone()
    }

    /// Number of requests beyond the cold capacity that were submitted while the engine was cold.
    pub fn excess(&self) -> u64 {
        self.lock().engine.excess
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn router(&self) -> Router {
        Router::new()
            .route("/v1/chat/completions", post(complete))
            .route("/v1/completions", post(complete))
            .route("/v1/streams/{id}", get(resume).delete(cancel))
            .route("/load", get(load))
            .route("/kv", get(kv::list))
            .route("/kv/{id}", put(kv::reserve))
            .route("/kv/{id}", delete(kv::release))
            .route("/kv/{id}/prefill", post(kv::prefill))
            .route("/orders", post(control::order))
            .route("/admin/fault", post(control::fault))
            .route("/admin/stats", get(control::stats))
            .layer(DefaultBodyLimit::max(BODY_MAX_BYTES))
            .with_state(self.clone())
    }

    /// Runs the steps of the engine in real time.
    async fn run_steps(self) {
        loop {
            let step = {
                let mut inner = self.lock();
                inner.remove_expired();
                if inner.engine.is_idle() { None } else { Some((inner.engine.boot(), inner.engine.step())) }
            };
            let Some((boot, (duration, outputs))) = step else {
                let _ = tokio::time::timeout(Duration::from_millis(500), self.submissions.notified()).await;
                continue;
            };
            sleep(duration).await;
            self.lock().deliver(boot, outputs);
        }
    }
}

impl Inner {
    fn deliver(&mut self, boot: BootId, outputs: Vec<StepOutput>) {
        if boot != self.engine.boot() {
            return;
        }
        for StepOutput::Token { id, offset, cached, last } in outputs {
            if let Some(stream) = self.streams.get_mut(&id) {
                stream.progress.send_replace(Progress { generated: offset + 1, cached, last, broken: false });
                if last {
                    stream.ended_at = Some(Instant::now());
                }
            }
        }
    }

    /// Cancels streams without a reader, and removes finished streams and reservations whose time has expired.
    fn remove_expired(&mut self) {
        let Self { engine, streams, reservations, .. } = self;
        streams.retain(|id, s| {
            let abandoned = s.ended_at.is_none()
                && s.readers == 0
                && s.idle_since.is_some_and(|i| i.elapsed() > RESUME_TIMEOUT);
            if abandoned {
                engine.cancel(*id);
            }
            !abandoned && s.ended_at.is_none_or(|e| e.elapsed() < REPLAY_TIME)
        });
        reservations.retain(|_, h| h.created_at.elapsed() < Duration::from_millis(h.reservation.ttl));
    }
}

/// Body of a completion request; fields that the fake doesn't use are ignored.
#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: Value,
}

impl Completion {
    fn prompt_tokens(&self) -> Tokens {
        let bytes: usize = self.messages.iter().map(|m| text_len(&m.content)).sum();
        length::estimate(bytes + self.prompt.len(), self.messages.len())
    }
}

fn text_len(content: &Value) -> usize {
    match content {
        Value::String(s) => s.len(),
        Value::Array(parts) => parts.iter().filter_map(|p| p["text"].as_str()).map(str::len).sum(),
        _ => 0,
    }
}

fn header<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn request_id(text: &str) -> Option<RequestId> {
    u128::from_str_radix(text, 16).ok().map(RequestId)
}

async fn complete(
    State(fake): State<EngineFake>,
    headers: HeaderMap,
    Json(body): Json<Completion>,
) -> Response {
    let Some(id) = header::<String>(&headers, "x-request-id").as_deref().and_then(request_id) else {
        return (StatusCode::BAD_REQUEST, "x-request-id is missing").into_response();
    };
    if fake.lock().fault == Some(Fault::Hang) {
        std::future::pending::<()>().await;
    }
    // The KV caches of all segments are already on the engine, so there is nothing to prefill.
    let prompt_tokens = if headers.contains_key("x-kv-chain") { Tokens(1) } else { body.prompt_tokens() };
    let boot = {
        let mut inner = fake.lock();
        if inner.fault == Some(Fault::Refuse) {
            let refusal = json!({"outcome": "not_run", "error": "draining"});
            return (StatusCode::SERVICE_UNAVAILABLE, Json(refusal)).into_response();
        }
        if !inner.engine.endpoint().models.iter().any(|m| m.as_str() == body.model) {
            let refusal = json!({"outcome": "not_run", "error": "model not loaded"});
            return (StatusCode::NOT_FOUND, Json(refusal)).into_response();
        }
        inner.submitted += 1;
        let stream = StreamState {
            progress: watch::Sender::new(Progress::default()),
            readers: 0,
            ended_at: None,
            idle_since: Some(Instant::now()),
            model: body.model.clone(),
            prompt_tokens: prompt_tokens.0,
            stalled: watch::Sender::new(false),
        };
        inner.streams.insert(id, stream);
        inner.engine.submit(Job {
            id,
            priority: header(&headers, "x-priority").unwrap_or(0),
            prompt: prompt_tokens,
            output: Tokens(body.max_tokens.unwrap_or(16).max(1)),
            prefix: header(&headers, "x-prefix"),
        });
        inner.engine.boot()
    };
    fake.submissions.notify_one();
    stream_from(&fake, id, 0, boot)
}

#[derive(Debug, Deserialize)]
struct From {
    #[serde(default)]
    from: u64,
}

async fn resume(State(fake): State<EngineFake>, Path(id): Path<String>, Query(q): Query<From>) -> Response {
    let Some(id) = request_id(&id) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let boot = fake.lock().engine.boot();
    stream_from(&fake, id, q.from, boot)
}

async fn cancel(State(fake): State<EngineFake>, Path(id): Path<String>) -> StatusCode {
    let Some(id) = request_id(&id) else {
        return StatusCode::NOT_FOUND;
    };
    let mut inner = fake.lock();
    inner.engine.cancel(id);
    match inner.streams.remove(&id) {
        Some(_) => StatusCode::NO_CONTENT,
        None => StatusCode::NOT_FOUND,
    }
}

/// A reader of a stream; dropping it lowers the reader count of the stream.
struct Reader {
    fake: EngineFake,
    id: RequestId,
}

impl Drop for Reader {
    fn drop(&mut self) {
        if let Some(stream) = self.fake.lock().streams.get_mut(&self.id) {
            stream.readers -= 1;
            stream.idle_since = Some(Instant::now());
        }
    }
}

fn stream_from(fake: &EngineFake, id: RequestId, from: u64, boot: BootId) -> Response {
    let (progress, stalled, chunks) = {
        let mut inner = fake.lock();
        let Some(stream) = inner.streams.get_mut(&id) else {
            return StatusCode::NOT_FOUND.into_response();
        };
        stream.readers += 1;
        stream.stalled.send_replace(false);
        let chunks = ChunkTemplate { id, model: stream.model.clone(), prompt_tokens: stream.prompt_tokens };
        (stream.progress.subscribe(), stream.stalled.subscribe(), chunks)
    };
    let reader = Reader { fake: fake.clone(), id };
    let events = events(reader, progress, stalled, chunks, from);
    let mut response = Sse::new(events).into_response();
    if let Ok(value) = boot.0.to_string().parse() {
        response.headers_mut().insert("x-boot-id", value);
    }
    response
}

/// The parts that all chunks of a response have in common.
struct ChunkTemplate {
    id: RequestId,
    model: String,
    prompt_tokens: u64,
}

impl ChunkTemplate {
    fn event(&self, offset: u64, progress: Progress) -> Event {
        let last = progress.last && offset + 1 == progress.generated;
        let usage = (offset == 0 || last).then(|| {
            json!({
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": offset + 1,
                "total_tokens": self.prompt_tokens + offset + 1,
                "prompt_tokens_details": {"cached_tokens": progress.cached},
            })
        });
        let data = json!({
            "id": self.id.to_string(),
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.model,
            "choices": [{
                "index": 0,
                "delta": {"role": "assistant", "content": format!("t{offset} ")},
                "finish_reason": last.then_some("stop"),
            }],
            "usage": usage,
        });
        Event::default().id(format!("{}:{offset}", self.id)).data(data.to_string())
    }
}

type Item = Result<Event, Infallible>;

fn events(
    reader: Reader,
    progress: watch::Receiver<Progress>,
    stalled: watch::Receiver<bool>,
    chunks: ChunkTemplate,
    from: u64,
) -> impl Stream<Item = Item> {
    stream::unfold((reader, progress, stalled, chunks, from, false), |state| async move {
        let (reader, mut progress, stalled, chunks, offset, done) = state;
        if done {
            return None;
        }
        let current = progress.wait_for(|p| p.generated > offset || p.broken).await.ok().map(|p| *p);
        if *stalled.borrow() {
            std::future::pending::<()>().await;
        }
        let current = current.filter(|p| !p.broken && p.generated > offset)?;
        let event = chunks.event(offset, current);
        let done = current.last && offset + 1 == current.generated;
        Some((Ok(event), (reader, progress, stalled, chunks, offset + 1, done)))
    })
}

async fn load(State(fake): State<EngineFake>) -> Response {
    let inner = fake.lock();
    if inner.fault == Some(Fault::FailLoadReports) {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    Json(inner.engine.report()).into_response()
}
