//! Stand-in of a model engine, over HTTP.
//!
//! It speaks the usual completion API with server-sent events, and beside it what the brief says of engines: resume
//! and cancel by request id, load reports, KV reservations, and orders with fencing numbers. Its control routes under
//! `/admin` bring about the failures that tests and the demo need.

mod control;
mod memory;

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

use self::memory::Held;
pub use self::memory::Reservation;
use crate::engine::{Engine, Job, StepOutput};

/// Time for which a stream without a reader waits to be resumed.
const RESUME_GRACE: Duration = Duration::from_secs(3);
/// Time for which a finished stream can be read again.
const REPLAY_TIME: Duration = Duration::from_secs(30);
/// Largest body.
const BODY_MAX: usize = 64 << 20;

/// A failure to bring about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fault {
    /// The engine restarts, cold.
    Restart,
    /// The engine turns cold without notice.
    Cold,
    /// Open streams go silent for good; new connections work.
    #[serde(rename = "silence")]
    StallStreams,
    /// New completions are refused in binding terms.
    Refuse,
    /// New completions hang before the first byte.
    Hang,
    /// Load reports fail.
    Deaf,
    /// All is well again.
    #[serde(rename = "heal")]
    Clear,
}

/// A stream and what was made of it so far.
#[derive(Debug)]
struct Track {
    tokens: watch::Sender<Progress>,
    readers: usize,
    ended: Option<Instant>,
    idle: Option<Instant>,
    model: String,
    prompt: u64,
    silenced: watch::Sender<bool>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Progress {
    made: u64,
    cached: u64,
    last: bool,
    broken: bool,
}

#[derive(Debug)]
struct Inner {
    engine: Engine,
    tracks: HashMap<RequestId, Track>,
    kv: BTreeMap<String, Held>,
    fencing: u64,
    orders: Vec<Value>,
    fault: Option<Fault>,
    submitted: u64,
}

/// A running stand-in.
#[derive(Clone)]
pub struct EngineFake {
    inner: Arc<Mutex<Inner>>,
    work: Arc<Notify>,
    address: SocketAddr,
}

impl std::fmt::Debug for EngineFake {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "EngineFake({})", self.address)
    }
}

impl EngineFake {
    /// Starts a stand-in at the listing's address; port 0 takes any.
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
            tracks: HashMap::new(),
            kv: BTreeMap::new(),
            fencing: 0,
            orders: Vec::new(),
            fault: None,
            submitted: 0,
        };
        let fake = Self { inner: Arc::new(Mutex::new(inner)), work: Arc::new(Notify::new()), address };
        tokio::spawn(fake.clone().run());
        let router = fake.router();
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(fake)
    }

    /// Its listing, with the address that it took.
    pub fn listing(&self) -> Endpoint {
        self.lock().engine.endpoint().clone()
    }

    /// Brings about a failure.
    pub fn inject(&self, fault: Fault) {
        let mut inner = self.lock();
        match fault {
            Fault::Restart => {
                inner.engine.restart();
                inner.kv.clear();
                for track in inner.tracks.values() {
                    track.tokens.send_modify(|p| p.broken = true);
                }
                inner.tracks.clear();
            }
            Fault::Cold => inner.engine.turn_cold(),
            Fault::StallStreams => {
                for track in inner.tracks.values() {
                    track.silenced.send_replace(true);
                }
            }
            Fault::Clear => inner.fault = None,
            other => inner.fault = Some(other),
        }
    }

    /// Requests given to it so far.
    pub fn submitted(&self) -> u64 {
        self.lock().submitted
    }

    /// Requests running.
    pub fn running(&self) -> usize {
        self.lock().engine.running().count()
    }

    /// Memory reservations held.
    pub fn reservations(&self) -> usize {
        self.lock().kv.len()
    }

    /// Orders taken so far.
    pub fn orders(&self) -> Vec<Value> {
        self.lock().orders.clone()
    }

    /// Requests beyond the cold capacity that it was given while cold.
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
            .route("/kv", get(memory::list))
            .route("/kv/{id}", put(memory::reserve))
            .route("/kv/{id}", delete(memory::free))
            .route("/kv/{id}/prefill", post(memory::prefill))
            .route("/orders", post(control::order))
            .route("/admin/fault", post(control::fault))
            .route("/admin/stats", get(control::stats))
            .layer(DefaultBodyLimit::max(BODY_MAX))
            .with_state(self.clone())
    }

    /// Runs the engine's iterations in real time.
    async fn run(self) {
        loop {
            let step = {
                let mut inner = self.lock();
                inner.sweep();
                if inner.engine.is_idle() { None } else { Some((inner.engine.boot(), inner.engine.step())) }
            };
            let Some((boot, (took, made))) = step else {
                let _ = tokio::time::timeout(Duration::from_millis(500), self.work.notified()).await;
                continue;
            };
            sleep(took).await;
            self.lock().deliver(boot, made);
        }
    }
}

impl Inner {
    fn deliver(&mut self, boot: BootId, made: Vec<StepOutput>) {
        if boot != self.engine.boot() {
            return;
        }
        for StepOutput::Token { id, offset, cached, last } in made {
            if let Some(track) = self.tracks.get_mut(&id) {
                track.tokens.send_replace(Progress { made: offset + 1, cached, last, broken: false });
                if last {
                    track.ended = Some(Instant::now());
                }
            }
        }
    }

    /// Cancels what nobody reads and forgets what is long finished.
    fn sweep(&mut self) {
        let Self { engine, tracks, kv, .. } = self;
        tracks.retain(|id, t| {
            let deserted =
                t.ended.is_none() && t.readers == 0 && t.idle.is_some_and(|i| i.elapsed() > RESUME_GRACE);
            if deserted {
                engine.cancel(*id);
            }
            !deserted && t.ended.is_none_or(|e| e.elapsed() < REPLAY_TIME)
        });
        kv.retain(|_, h| h.since.elapsed() < Duration::from_millis(h.holding.ttl));
    }
}

/// Body of a completion; what the stand-in does not use is ignored.
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
    fn prompt(&self) -> Tokens {
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
    // With the KV caches of all segments at hand there is nothing left to prefill.
    let prompt = if headers.contains_key("x-kv-chain") { Tokens(1) } else { body.prompt() };
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
        let track = Track {
            tokens: watch::Sender::new(Progress::default()),
            readers: 0,
            ended: None,
            idle: Some(Instant::now()),
            model: body.model.clone(),
            prompt: prompt.0,
            silenced: watch::Sender::new(false),
        };
        inner.tracks.insert(id, track);
        inner.engine.submit(Job {
            id,
            priority: header(&headers, "x-priority").unwrap_or(0),
            prompt,
            output: Tokens(body.max_tokens.unwrap_or(16).max(1)),
            prefix: header(&headers, "x-prefix"),
        });
        inner.engine.boot()
    };
    fake.work.notify_one();
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
    match inner.tracks.remove(&id) {
        Some(_) => StatusCode::NO_CONTENT,
        None => StatusCode::NOT_FOUND,
    }
}

/// Counts a reader for as long as it lives.
struct Reader {
    fake: EngineFake,
    id: RequestId,
}

impl Drop for Reader {
    fn drop(&mut self) {
        if let Some(track) = self.fake.lock().tracks.get_mut(&self.id) {
            track.readers -= 1;
            track.idle = Some(Instant::now());
        }
    }
}

fn stream_from(fake: &EngineFake, id: RequestId, from: u64, boot: BootId) -> Response {
    let (tokens, silenced, chunk) = {
        let mut inner = fake.lock();
        let Some(track) = inner.tracks.get_mut(&id) else {
            return StatusCode::NOT_FOUND.into_response();
        };
        track.readers += 1;
        track.silenced.send_replace(false);
        let chunk = Chunk { id, model: track.model.clone(), prompt: track.prompt };
        (track.tokens.subscribe(), track.silenced.subscribe(), chunk)
    };
    let reader = Reader { fake: fake.clone(), id };
    let events = pieces(reader, tokens, silenced, chunk, from);
    let mut response = Sse::new(events).into_response();
    if let Ok(value) = boot.0.to_string().parse() {
        response.headers_mut().insert("x-boot-id", value);
    }
    response
}

/// What stays the same in all chunks of an answer.
struct Chunk {
    id: RequestId,
    model: String,
    prompt: u64,
}

impl Chunk {
    fn event(&self, offset: u64, progress: Progress) -> Event {
        let last = progress.last && offset + 1 == progress.made;
        let usage = (offset == 0 || last).then(|| {
            json!({
                "prompt_tokens": self.prompt,
                "completion_tokens": offset + 1,
                "total_tokens": self.prompt + offset + 1,
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

fn pieces(
    reader: Reader,
    tokens: watch::Receiver<Progress>,
    silenced: watch::Receiver<bool>,
    chunk: Chunk,
    from: u64,
) -> impl Stream<Item = Item> {
    stream::unfold((reader, tokens, silenced, chunk, from, false), |state| async move {
        let (reader, mut tokens, silenced, chunk, offset, done) = state;
        if done {
            return None;
        }
        let progress = tokens.wait_for(|p| p.made > offset || p.broken).await.ok().map(|p| *p);
        if *silenced.borrow() {
            std::future::pending::<()>().await;
        }
        let progress = progress.filter(|p| !p.broken && p.made > offset)?;
        let event = chunk.event(offset, progress);
        let done = progress.last && offset + 1 == progress.made;
        Some((Ok(event), (reader, tokens, silenced, chunk, offset + 1, done)))
    })
}

async fn load(State(fake): State<EngineFake>) -> Response {
    let inner = fake.lock();
    if inner.fault == Some(Fault::Deaf) {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    Json(inner.engine.report()).into_response()
}
