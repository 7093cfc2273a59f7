//! HTTP API for callers: OpenAI-compatible completions, and plain services under `/v1/services`.

pub(crate) mod chat;
mod service;

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::http::{HeaderMap, StatusCode};
use axum::routing::{any, get, post};
use chestnutstage_core::contract::Contract;
use chestnutstage_core::ids::CustomerId;
use chestnutstage_core::time::Time;

use crate::call::ServiceClient;
use crate::config::Snapshot;
use crate::entry::Entry;
use crate::failure::{Failure, Stage};
use crate::rate_limiter::RateLimiter;
use crate::shared::Shared;

/// Header with the caller's timeout, in milliseconds.
const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

/// State shared by the routes for callers.
#[derive(Clone)]
pub(crate) struct CallerApi {
    pub(crate) shared: Arc<Shared>,
    pub(crate) entry: Entry,
    pub(crate) calls: ServiceClient,
    pub(crate) rate_limiter: Arc<RateLimiter>,
}

/// Returns the routes for callers.
pub(crate) fn routes(api: CallerApi) -> Router {
    let limits = &api.shared.settings.callers;
    let (body_bytes, call_bytes) = (limits.body.as_u64() as usize, limits.call.as_u64() as usize);
    let completions = Router::new()
        .route("/v1/chat/completions", post(chat::chat))
        .route("/v1/completions", post(chat::completion))
        .layer(DefaultBodyLimit::max(body_bytes));
    let services = Router::new()
        .route("/v1/services/{service}/{*path}", any(service::call))
        .layer(DefaultBodyLimit::max(call_bytes));
    Router::new().merge(completions).merge(services).route("/v1/models", get(chat::models)).with_state(api)
}

/// An authenticated caller.
struct Authenticated {
    customer: CustomerId,
    contract: Contract,
    snapshot: Arc<Snapshot>,
}

impl CallerApi {
    /// Authenticates the customer by the request's key.
    fn authenticate(&self, headers: &HeaderMap) -> Result<Authenticated, Failure> {
        self.shared.check_current().map_err(|r| Failure::refused(&r, None))?;
        let snapshot = self.shared.config.snapshot();
        let customer = bearer(headers).and_then(|key| snapshot.customer(key)).cloned();
        let Some(customer) = customer else {
            let failure =
                Failure::not_run(Stage::Authentication, "invalid_key", "the key is missing or unknown");
            return Err(failure.with_status(StatusCode::UNAUTHORIZED));
        };
        let contract = snapshot.contract(&customer).clone();
        Ok(Authenticated { customer, contract, snapshot })
    }

    /// Deadline of the response: the caller's timeout, limited to the one of the contract.
    fn deadline(&self, headers: &HeaderMap, contract: &Contract) -> Result<Time, Failure> {
        let now = self.shared.clock.now();
        let Some(value) = headers.get(TIMEOUT_HEADER) else {
            return Ok(now + contract.deadline());
        };
        let millis = value.to_str().ok().and_then(|v| v.parse().ok()).filter(|m| *m > 0);
        let Some(millis) = millis else {
            let message = format!("{TIMEOUT_HEADER} must be a positive number of milliseconds");
            return Err(Failure::not_run(Stage::Request, "invalid_timeout", message));
        };
        Ok(now + Duration::from_millis(millis).min(contract.deadline()))
    }
}

/// Bearer token in the `Authorization` header.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers.get("authorization")?.to_str().ok()?.strip_prefix("Bearer ")
}
