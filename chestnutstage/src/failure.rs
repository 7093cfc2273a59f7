//! Failures as callers and operators are told of them.

use std::time::Duration;

use axum::Json;
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use chestnutstage_core::outcome::{Outcome, Refusal};
use derive_more::Display;
use serde::Serialize;
use serde_json::{Value, json};

/// Where on its way a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Stage {
    /// The request itself was checked.
    Request,
    /// The customer's key was checked.
    Authentication,
    /// The customer's contract was checked.
    Contract,
    /// An endpoint was looked for.
    Placement,
    /// The endpoint was at work.
    Endpoint,
    /// The claim of a call that may not be repeated.
    Claim,
    /// A change of the configuration.
    Change,
}

/// A final answer that is not the one wished for.
#[derive(Debug, Clone)]
pub(crate) struct Failure {
    pub(crate) status: StatusCode,
    pub(crate) code: &'static str,
    pub(crate) outcome: Outcome,
    pub(crate) stage: Stage,
    pub(crate) message: String,
    /// The peer at which it arose.
    pub(crate) peer: Option<String>,
    pub(crate) retry: Option<Duration>,
}

impl Failure {
    /// Nothing ran, because the request is wrong.
    pub(crate) fn bad(stage: Stage, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            code,
            outcome: Outcome::NotRun,
            stage,
            message: message.into(),
            peer: None,
            retry: None,
        }
    }

    /// Nothing ran, because it was refused.
    pub(crate) fn refused(refusal: &Refusal, peer: Option<String>) -> Self {
        let status = match refusal {
            Refusal::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::Overloaded { .. } | Refusal::Contract { .. } => StatusCode::TOO_MANY_REQUESTS,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        let stage =
            if matches!(refusal, Refusal::Contract { .. }) { Stage::Contract } else { Stage::Placement };
        Self { status, peer, retry: refusal.retry(), ..Self::bad(stage, refusal.code(), refusal.to_string()) }
    }

    /// The request may have run.
    pub(crate) fn unknown(stage: Stage, code: &'static str, message: impl Into<String>) -> Self {
        Self { status: StatusCode::BAD_GATEWAY, outcome: Outcome::Unknown, ..Self::bad(stage, code, message) }
    }

    /// The same with another status.
    #[must_use]
    pub(crate) fn with_status(self, status: StatusCode) -> Self {
        Self { status, ..self }
    }

    /// The same with the peer at which it arose.
    #[must_use]
    pub(crate) fn at(self, peer: impl Into<String>) -> Self {
        Self { peer: Some(peer.into()), ..self }
    }

    /// The same with a time after which to come back.
    #[must_use]
    pub(crate) fn retry_after(self, retry: Duration) -> Self {
        Self { retry: Some(retry), ..self }
    }

    /// Body of the error.
    pub(crate) fn body(&self) -> Value {
        json!({"error": {
            "code": self.code,
            "type": self.code,
            "outcome": self.outcome,
            "step": self.stage,
            "peer": self.peer,
            "message": self.message,
            "retry_after_ms": self.retry.map(|r| r.as_millis() as u64),
        }})
    }
}

impl IntoResponse for Failure {
    fn into_response(self) -> Response {
        metrics::counter!("chestnutstage_failures_total", "code" => self.code, "outcome" => self.outcome.to_string())
            .increment(1);
        let mut response = (self.status, Json(self.body())).into_response();
        if let Some(retry) = self.retry {
            let seconds = retry.as_secs_f64().ceil().max(1.0) as u64;
            response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
