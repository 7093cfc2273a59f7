//! Orders to the engine, and the control routes for faults and statistics.

use axum::Json;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use serde::Deserialize;
use serde_json::{Value, json};

use super::{EngineFake, Fault};

/// An order with its fencing number.
#[derive(Debug, Deserialize)]
pub(super) struct Order {
    fencing: u64,
    order: Value,
}

pub(super) async fn order(State(fake): State<EngineFake>, Json(order): Json<Order>) -> Response {
    let mut inner = fake.lock();
    if inner.engine.endpoint().fenced && order.fencing < inner.fencing {
        return (StatusCode::CONFLICT, Json(json!({"fencing": inner.fencing}))).into_response();
    }
    inner.fencing = inner.fencing.max(order.fencing);
    inner.orders.push(json!({"fencing": order.fencing, "order": order.order}));
    StatusCode::ACCEPTED.into_response()
}

pub(super) async fn fault(State(fake): State<EngineFake>, Json(fault): Json<Fault>) -> StatusCode {
    fake.inject(fault);
    StatusCode::NO_CONTENT
}

pub(super) async fn stats(State(fake): State<EngineFake>) -> Json<Value> {
    let inner = fake.lock();
    Json(json!({
        "submitted": inner.submitted,
        "excess": inner.engine.excess,
        "running": inner.engine.running().count(),
        "holdings": inner.reservations.len(),
        "cold": inner.engine.is_cold(),
    }))
}
