//! Failures, as reported to callers and operators.

use std::time::Duration;

use axum::Json;
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use chestnutstage_core::outcome::{Outcome, Refusal};
use derive_more::Display;
use serde::Serialize;
use serde_json::{Value, json};

/// Stage of processing at which a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Stage {
    /// Validation of the request.
    Request,
    /// Authentication of the customer or operator.
    Authentication,
    /// Check against the customer's contract.
    Contract,
    /// Placement on an endpoint.
    Placement,
    /// Execution on the endpoint.
    Endpoint,
    /// Idempotency claim of a call that must not be repeated.
    Claim,
    /// Change of the configuration.
    Change,
}

/// Error response to a request.
#[derive(Debug, Clone)]
pub(crate) struct Failure {
    pub(crate) status: StatusCode,
    pub(crate) code: &'static str,
    pub(crate) outcome: Outcome,
    pub(crate) stage: Stage,
    pub(crate) message: String,
    /// Peer or endpoint at which the failure occurred.
    pub(crate) peer: Option<String>,
    pub(crate) retry: Option<Duration>,
}

impl Failure {
    /// Failure of a request that did not run; status 400.
    pub(crate) fn not_run(stage: Stage, code: &'static str, message: impl Into<String>) -> Self {
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

    /// Failure of a request that was refused and did not run.
    pub(crate) fn refused(refusal: &Refusal, peer: Option<String>) -> Self {
        let status = match refusal {
            Refusal::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::Overloaded { .. } | Refusal::Contract { .. } => StatusCode::TOO_MANY_REQUESTS,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        let stage =
            if matches!(refusal, Refusal::Contract { .. }) { Stage::Contract } else { Stage::Placement };
        Self {
            status,
            peer,
            retry: refusal.retry(),
            ..Self::not_run(stage, refusal.code(), refusal.to_string())
        }
    }

    /// Failure of a request that may have run; status 502.
    pub(crate) fn unknown(stage: Stage, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_GATEWAY,
            outcome: Outcome::Unknown,
            ..Self::not_run(stage, code, message)
        }
    }

    /// Sets the status.
    #[must_use]
    pub(crate) fn with_status(self, status: StatusCode) -> Self {
        Self { status, ..self }
    }

    /// Sets the peer or endpoint at which the failure occurred.
    #[must_use]
    pub(crate) fn at_peer(self, peer: impl Into<String>) -> Self {
        Self { peer: Some(peer.into()), ..self }
    }

    /// Sets the delay after which a retry is worthwhile.
    #[must_use]
    pub(crate) fn retry_after(self, retry: Duration) -> Self {
        Self { retry: Some(retry), ..self }
    }

    /// Returns the JSON body of the response.
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
