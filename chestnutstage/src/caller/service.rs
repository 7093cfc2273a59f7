//! HTTP route of plain services.

use axum::body::Bytes;
use axum::extract::rejection::BytesRejection;
use axum::extract::{OriginalUri, Path, State};
use axum::http::{HeaderMap, HeaderValue, Method, StatusCode};
use axum::response::{IntoResponse, Response};
use chestnutstage_core::endpoint::Size;
use chestnutstage_core::idempotency::Answer;
use chestnutstage_core::ids::ModelId;
use chestnutstage_core::length::Tokens;

use super::CallerApi;
use crate::call::{ServiceResponse, claim_key, content_hash};
use crate::engine::ServiceCall;
use crate::entry::Job;
use crate::failure::{Failure, Stage};

/// Header with the idempotency key of a call that must not be repeated.
const KEY_HEADER: &str = "idempotency-key";
/// Header that marks a response recorded by an earlier call with the same key.
const REPLAY_HEADER: &str = "idempotency-replayed";
/// Maximum length of an idempotency key.
const KEY_BYTES_MAX: usize = 255;
/// Size of a call to a plain service, whose load does not depend on tokens.
const CALL_SIZE: Size = Size { prompt: Tokens(1), output: Tokens(1) };

pub(super) async fn call(
    State(api): State<CallerApi>,
    method: Method,
    uri: OriginalUri,
    Path((service, path)): Path<(String, String)>,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Response {
    let path = match uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path,
    };
    let id = api.shared.request_id();
    let mut response = match forward(&api, &method, &service, path, &headers, body, id).await {
        Ok(response) => into_http(response),
        Err(failure) => failure.into_response(),
    };
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        response.headers_mut().insert("x-request-id", value);
    }
    response
}

async fn forward(
    api: &CallerApi,
    method: &Method,
    service: &str,
    path: String,
    headers: &HeaderMap,
    body: Result<Bytes, BytesRejection>,
    id: chestnutstage_core::ids::RequestId,
) -> Result<ServiceResponse, Failure> {
    let authenticated = api.authenticate(headers)?;
    let deadline = api.deadline(headers, &authenticated.contract)?;
    let body = body.map_err(|e| {
        Failure::not_run(Stage::Request, "body_refused", e.body_text()).with_status(e.status())
    })?;
    let name = ModelId::from(service);
    let Some(rule) = authenticated.snapshot.config.defaults.services.get(&name).copied() else {
        let message = format!("the defaults name no service `{service}`");
        return Err(
            Failure::not_run(Stage::Request, "unknown_service", message).with_status(StatusCode::NOT_FOUND)
        );
    };
    let key = idempotency_key(headers)?;
    let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
    let job = Job {
        id,
        customer: authenticated.customer.clone(),
        weight: authenticated.contract.weight,
        model: name,
        size: CALL_SIZE,
        prefix: None,
        deadline,
    };
    let remaining = deadline.since(api.shared.clock.now());
    let call = ServiceCall {
        method: method.to_string(),
        path,
        body,
        media: text("content-type"),
        key: key.clone(),
        remaining,
    };
    if rule.repeatable || method.is_safe() {
        let answer = api.calls.call_repeatable(&job, &call).await?;
        return Ok(ServiceResponse { answer, replayed: false });
    }
    let Some(key) = key else {
        let message = "a call that may not be repeated needs an Idempotency-Key";
        return Err(Failure::not_run(Stage::Request, "idempotency_key_required", message));
    };
    let hash = content_hash(&call.method, &call.path, &call.body);
    let key = claim_key(authenticated.customer.as_str(), service, &key);
    api.calls.call_once(&job, &call, &key, hash).await
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Failure> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let key = value.to_str().ok().filter(|k| !k.trim().is_empty() && k.len() <= KEY_BYTES_MAX);
    let message = format!("Idempotency-Key must be visible text of 1 to {KEY_BYTES_MAX} bytes");
    key.map(|k| Some(k.to_owned()))
        .ok_or_else(|| Failure::not_run(Stage::Request, "invalid_idempotency_key", message))
}

fn into_http(response: ServiceResponse) -> Response {
    let ServiceResponse { answer: Answer { status, body }, replayed } = response;
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = (status, [("content-type", "application/json")], body).into_response();
    if replayed {
        response.headers_mut().insert(REPLAY_HEADER, HeaderValue::from_static("true"));
    }
    response
}
