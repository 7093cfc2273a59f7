//! Memory that the engine holds under names.

use std::collections::BTreeMap;

use axum::Json;
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use chestnutstage_core::length::Tokens;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::{Instant, sleep};

use super::EngineFake;

/// Memory reserved on the engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Reservation {
    /// Tokens held.
    pub tokens: u64,
    /// Tokens prefilled into it.
    #[serde(default)]
    pub filled: u64,
    /// Milliseconds for which it was asked.
    pub ttl: u64,
    /// Milliseconds since it was made.
    #[serde(default)]
    pub age: u64,
}

#[derive(Debug)]
pub(super) struct Held {
    pub(super) holding: Reservation,
    pub(super) since: Instant,
}

pub(super) async fn list(State(fake): State<EngineFake>) -> Json<BTreeMap<String, Reservation>> {
    let mut inner = fake.lock();
    inner.sweep();
    let aged = |h: &Held| Reservation { age: h.since.elapsed().as_millis() as u64, ..h.holding.clone() };
    Json(inner.kv.iter().map(|(id, h)| (id.clone(), aged(h))).collect())
}

pub(super) async fn reserve(
    State(fake): State<EngineFake>,
    Path(id): Path<String>,
    Json(holding): Json<Reservation>,
) -> StatusCode {
    let mut inner = fake.lock();
    inner.sweep();
    if inner.kv.contains_key(&id) {
        return StatusCode::OK;
    }
    let held: u64 = inner.kv.values().map(|h| h.holding.tokens).sum();
    let used = held + inner.engine.report().held.0;
    if used + holding.tokens > inner.engine.endpoint().memory.0 {
        return StatusCode::INSUFFICIENT_STORAGE;
    }
    inner.kv.insert(id, Held { holding, since: Instant::now() });
    StatusCode::CREATED
}

pub(super) async fn free(State(fake): State<EngineFake>, Path(id): Path<String>) -> StatusCode {
    match fake.lock().kv.remove(&id) {
        Some(_) => StatusCode::NO_CONTENT,
        None => StatusCode::NOT_FOUND,
    }
}

/// Prefills a reserved segment, after importing the one before it.
pub(super) async fn prefill(State(fake): State<EngineFake>, Path(id): Path<String>) -> Response {
    let time = {
        let inner = fake.lock();
        let Some(held) = inner.kv.get(&id) else {
            return StatusCode::NOT_FOUND.into_response();
        };
        inner.engine.endpoint().speed.prefill(Tokens(held.holding.tokens))
    };
    sleep(time).await;
    let mut inner = fake.lock();
    match inner.kv.get_mut(&id) {
        Some(held) => {
            held.holding.filled = held.holding.tokens;
            Json(json!({"filled": held.holding.filled})).into_response()
        }
        None => StatusCode::GONE.into_response(),
    }
}
