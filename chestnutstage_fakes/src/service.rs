//! Fake of a plain service with bookings that must not run twice.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::TcpListener;

/// A fault to inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fault {
    /// Bookings run, but their response is never sent.
    #[serde(rename = "mute")]
    LoseResponse,
    /// Bookings are refused before they run, and the response says so.
    Refuse,
    /// Clears the fault.
    #[serde(rename = "heal")]
    Clear,
}

#[derive(Debug, Default)]
struct Inner {
    runs: BTreeMap<String, u32>,
    fault: Option<Fault>,
}

/// A running fake.
#[derive(Debug, Clone)]
pub struct ServiceFake {
    inner: Arc<Mutex<Inner>>,
    address: SocketAddr,
}

impl ServiceFake {
    /// Starts a fake; port 0 stands for any free port.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn spawn(address: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let fake = Self { inner: Arc::default(), address: listener.local_addr()? };
        let router = Router::new()
            .route("/bookings", post(book))
            .route("/stock", get(stock))
            .route("/load", get(load))
            .route("/admin/runs", get(runs))
            .route("/admin/fault", post(fault))
            .with_state(fake.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(fake)
    }

    /// Address that it listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of runs of each booking.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.lock().runs.clone()
    }

    /// Injects or clears a fault.
    pub fn inject(&self, fault: Fault) {
        self.lock().fault = (fault != Fault::Clear).then_some(fault);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug, Deserialize)]
struct Booking {
    booking: String,
}

async fn book(State(fake): State<ServiceFake>, Json(body): Json<Booking>) -> Response {
    let fault = fake.lock().fault;
    if fault == Some(Fault::Refuse) {
        return (StatusCode::SERVICE_UNAVAILABLE, Json(json!({"outcome": "not_run"}))).into_response();
    }
    *fake.lock().runs.entry(body.booking.clone()).or_default() += 1;
    if fault == Some(Fault::LoseResponse) {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(Duration::from_millis(3)).await;
    (StatusCode::CREATED, Json(json!({"booked": body.booking}))).into_response()
}

async fn stock() -> Json<Value> {
    Json(json!({"moulds": 12}))
}

async fn load() -> Json<Value> {
    Json(json!({"boot": 1, "cold": false, "running": 0, "held": 0}))
}

async fn runs(State(fake): State<ServiceFake>) -> Json<BTreeMap<String, u32>> {
    Json(fake.runs())
}

async fn fault(State(fake): State<ServiceFake>, Json(fault): Json<Fault>) -> StatusCode {
    fake.inject(fault);
    StatusCode::NO_CONTENT
}
