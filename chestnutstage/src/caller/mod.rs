//! What callers see: the usual completion API, and plain services below `/v1/services`.

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

use crate::accounts::Accounts;
use crate::call::ServiceClient;
use crate::config::Snapshot;
use crate::entry::Entry;
use crate::failure::{Failure, Stage};
use crate::shared::Shared;

/// Header with the caller's time limit, in milliseconds.
const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

/// What the caller's routes share.
#[derive(Clone)]
pub(crate) struct CallerApi {
    pub(crate) shared: Arc<Shared>,
    pub(crate) entry: Entry,
    pub(crate) calls: ServiceClient,
    pub(crate) accounts: Arc<Accounts>,
}

/// Routes for callers.
pub(crate) fn routes(callers: CallerApi) -> Router {
    let limits = &callers.shared.settings.callers;
    let (body, call) = (limits.body.as_u64() as usize, limits.call.as_u64() as usize);
    let completions = Router::new()
        .route("/v1/chat/completions", post(chat::chat))
        .route("/v1/completions", post(chat::completion))
        .layer(DefaultBodyLimit::max(body));
    let services = Router::new()
        .route("/v1/services/{service}/{*path}", any(service::call))
        .layer(DefaultBodyLimit::max(call));
    Router::new()
        .merge(completions)
        .merge(services)
        .route("/v1/models", get(chat::models))
        .with_state(callers)
}

/// A caller that has shown its key.
struct Authenticated {
    customer: CustomerId,
    contract: Contract,
    snapshot: Arc<Snapshot>,
}

impl CallerApi {
    /// Finds the customer that the request's key belongs to.
    fn authenticate(&self, headers: &HeaderMap) -> Result<Authenticated, Failure> {
        self.shared.check_current().map_err(|r| Failure::refused(&r, None))?;
        let snapshot = self.shared.config.snapshot();
        let customer = bearer(headers).and_then(|key| snapshot.customer(key)).cloned();
        let Some(customer) = customer else {
            let failure = Failure::bad(Stage::Authentication, "invalid_key", "the key is missing or unknown");
            return Err(failure.with_status(StatusCode::UNAUTHORIZED));
        };
        let contract = snapshot.contract(&customer).clone();
        Ok(Authenticated { customer, contract, snapshot })
    }

    /// When the answer is due: as the caller asks, but not later than the contract allows.
    fn deadline(&self, headers: &HeaderMap, contract: &Contract) -> Result<Time, Failure> {
        let now = self.shared.clock.now();
        let Some(value) = headers.get(TIMEOUT_HEADER) else {
            return Ok(now + contract.deadline());
        };
        let millis = value.to_str().ok().and_then(|v| v.parse().ok()).filter(|m| *m > 0);
        let Some(millis) = millis else {
            let message = format!("{TIMEOUT_HEADER} must be a positive number of milliseconds");
            return Err(Failure::bad(Stage::Request, "invalid_timeout", message));
        };
        Ok(now + Duration::from_millis(millis).min(contract.deadline()))
    }
}

/// Key in the `Authorization` header.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers.get("authorization")?.to_str().ok()?.strip_prefix("Bearer ")
}
