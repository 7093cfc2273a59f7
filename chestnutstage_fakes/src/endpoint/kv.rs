//! Reservations of KV memory on the engine.

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

/// A reservation of KV memory.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Reservation {
    /// Reserved tokens.
    pub tokens: u64,
    /// Reserved tokens that are prefilled.
    #[serde(default)]
    pub filled: u64,
    /// TTL that was requested, in milliseconds.
    pub ttl: u64,
    /// Age in milliseconds.
    #[serde(default)]
    pub age: u64,
}

#[derive(Debug)]
pub(super) struct HeldReservation {
    pub(super) reservation: Reservation,
    pub(super) created_at: Instant,
}

pub(super) async fn list(State(fake): State<EngineFake>) -> Json<BTreeMap<String, Reservation>> {
    let mut inner = fake.lock();
    inner.remove_expired();
    let with_age = |h: &HeldReservation| Reservation {
        age: h.created_at.elapsed().as_millis() as u64,
        ..h.reservation.clone()
    };
    Json(inner.reservations.iter().map(|(id, h)| (id.clone(), with_age(h))).collect())
}

pub(super) async fn reserve(
    State(fake): State<EngineFake>,
    Path(id): Path<String>,
    Json(reservation): Json<Reservation>,
) -> StatusCode {
    let mut inner = fake.lock();
    inner.remove_expired();
    if inner.reservations.contains_key(&id) {
        return StatusCode::OK;
    }
    let held: u64 = inner.reservations.values().map(|h| h.reservation.tokens).sum();
    let used = held + inner.engine.report().held.0;
    if used + reservation.tokens > inner.engine.endpoint().memory.0 {
        return StatusCode::INSUFFICIENT_STORAGE;
    }
    inner.reservations.insert(id, HeldReservation { reservation, created_at: Instant::now() });
    StatusCode::CREATED
}

pub(super) async fn release(State(fake): State<EngineFake>, Path(id): Path<String>) -> StatusCode {
    match fake.lock().reservations.remove(&id) {
        Some(_) => StatusCode::NO_CONTENT,
        None => StatusCode::NOT_FOUND,
    }
}

/// Prefills a reserved segment, after the import of the preceding segment, which takes no time here.
pub(super) async fn prefill(State(fake): State<EngineFake>, Path(id): Path<String>) -> Response {
    let duration = {
        let inner = fake.lock();
        let Some(held) = inner.reservations.get(&id) else {
            return StatusCode::NOT_FOUND.into_response();
        };
        inner.engine.endpoint().speed.prefill(Tokens(held.reservation.tokens))
    };
    sleep(duration).await;
    let mut inner = fake.lock();
    match inner.reservations.get_mut(&id) {
        Some(held) => {
            held.reservation.filled = held.reservation.tokens;
            Json(json!({"filled": held.reservation.filled})).into_response()
        }
        None => StatusCode::GONE.into_response(),
    }
}
