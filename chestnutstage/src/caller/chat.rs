//! OpenAI-compatible completions, as one JSON response or as server-sent events.

use std::convert::Infallible;

use axum::Json;
use axum::body::Bytes;
use axum::extract::State;
use axum::extract::rejection::BytesRejection;
use axum::http::{HeaderMap, HeaderValue, StatusCode};
use axum::response::sse::{Event, Sse};
use axum::response::{IntoResponse, Response};
use chestnutstage_core::endpoint::Size;
use chestnutstage_core::ids::{ModelId, RequestId};
use chestnutstage_core::length::{self, Tokens};
use futures::stream;
use serde::Deserialize;
use serde_json::{Map, Value, json};
use tokio::sync::mpsc;

use super::{Authenticated, CallerApi};
use crate::completion::{Completion, CompletionEvent};
use crate::entry::Job;
use crate::failure::{Failure, Stage};

/// Output limit of requests that set none.
const OUTPUT_TOKENS_DEFAULT: u64 = 256;
/// Largest output limit that a request may set.
const OUTPUT_TOKENS_MAX: u64 = 128_000;
/// Length of the prompt prefix that is hashed for prefix-cache affinity.
const PREFIX_BYTES: usize = 1_024;
/// Response header with the request id.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Fields of a completion request that are used here; the others pass through to the engine.
#[derive(Debug, Deserialize)]
struct RequestBody {
    model: ModelId,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default, rename = "max_completion_tokens")]
    completion_tokens: Option<u64>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: Value,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: Value,
}

/// Assembles the chunks of a response for callers that do not stream.
#[derive(Debug, Default)]
struct CollectedResponse {
    text: String,
    finish: Value,
    usage: Value,
    model: Value,
}

pub(super) async fn chat(
    State(api): State<CallerApi>,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Response {
    complete(api, headers, body, true).await
}

pub(super) async fn completion(
    State(api): State<CallerApi>,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Response {
    complete(api, headers, body, false).await
}

pub(super) async fn models(State(api): State<CallerApi>, headers: HeaderMap) -> Response {
    if let Err(failure) = api.authenticate(&headers) {
        return failure.into_response();
    }
    let listing = api.shared.listing.borrow().clone();
    let engines = listing.endpoints.iter().filter(|e| e.kind == chestnutstage_core::endpoint::Kind::Engine);
    let names: std::collections::BTreeSet<_> = engines.flat_map(|e| &e.models).collect();
    let model = |m: &&ModelId| json!({"id": m, "object": "model", "created": 0, "owned_by": "fleet"});
    let data: Vec<_> = names.iter().map(model).collect();
    Json(json!({"object": "list", "data": data})).into_response()
}

async fn complete(
    api: CallerApi,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
    chat: bool,
) -> Response {
    let id = api.shared.request_id();
    let mut response = match handle(&api, &headers, body, chat, id).await {
        Ok(response) => response,
        Err(failure) => failure.into_response(),
    };
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}

async fn handle(
    api: &CallerApi,
    headers: &HeaderMap,
    body: Result<Bytes, BytesRejection>,
    chat: bool,
    id: RequestId,
) -> Result<Response, Failure> {
    let authenticated = api.authenticate(headers)?;
    let deadline = api.deadline(headers, &authenticated.contract)?;
    let body = body.map_err(|e| body_refused(&e))?;
    let (request, size, prefix, body) = parse_request(&body, chat)?;
    let Authenticated { customer, contract, .. } = authenticated;
    let shared = &api.shared;
    api.rate_limiter
        .charge(shared, &customer, &contract, size.memory())
        .await
        .map_err(|r| Failure::refused(&r, None))?;
    let job =
        Job { id, customer, weight: contract.weight, model: request.model.clone(), size, prefix, deadline };
    let (sender, mut events) = mpsc::channel(shared.settings.callers.backlog);
    let run = Completion::new(api.entry.clone(), job, chat, body, sender).run();
    tokio::spawn(run);
    if !request.stream {
        return collect_response(id, chat, events).await;
    }
    match events.recv().await {
        Some(CompletionEvent::Failed(failure)) => Err(failure),
        Some(first) => Ok(stream_response(first, events)),
        None => Err(missing_response()),
    }
}

fn body_refused(rejection: &BytesRejection) -> Failure {
    let failure = Failure::not_run(Stage::Request, "body_refused", rejection.body_text());
    failure.with_status(rejection.status())
}

fn missing_response() -> Failure {
    Failure::unknown(Stage::Endpoint, "internal", "the request ended without an answer")
        .with_status(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Parses and validates a request body; returns it with its size, prefix hash and the body to send to the engine.
fn parse_request(body: &Bytes, chat: bool) -> Result<(RequestBody, Size, Option<u64>, Bytes), Failure> {
    let invalid = |message: String| Failure::not_run(Stage::Request, "invalid_request", message);
    let mut value: Map<String, Value> =
        serde_json::from_slice(body).map_err(|e| invalid(format!("the body is not a JSON object: {e}")))?;
    let request: RequestBody =
        serde_json::from_value(Value::Object(value.clone())).map_err(|e| invalid(e.to_string()))?;
    let mut texts = Vec::new();
    if chat {
        if request.messages.is_empty() {
            return Err(invalid("messages is missing or empty".into()));
        }
        request.messages.iter().for_each(|m| collect_texts(&m.content, &mut texts));
    } else {
        collect_texts(&request.prompt, &mut texts);
        if texts.is_empty() {
            return Err(invalid("prompt is missing or empty".into()));
        }
    }
    let output = request.completion_tokens.or(request.max_tokens).unwrap_or(OUTPUT_TOKENS_DEFAULT);
    if output == 0 || output > OUTPUT_TOKENS_MAX {
        return Err(invalid(format!("max_tokens must lie between 1 and {OUTPUT_TOKENS_MAX}")));
    }
    let bytes = texts.iter().map(std::string::String::len).sum();
    let size = Size { prompt: length::estimate(bytes, request.messages.len()), output: Tokens(output) };
    let prefix = prefix_hash(&texts);
    value.insert("stream".into(), Value::Bool(true));
    value.insert("stream_options".into(), json!({"include_usage": true}));
    value.insert("max_tokens".into(), json!(output));
    let body = serde_json::to_vec(&value).map_err(|e| invalid(e.to_string()))?;
    Ok((request, size, prefix, Bytes::from(body)))
}

/// Prompt text of a request body that [`parse_request`] accepted.
pub(crate) fn prompt_text(body: &Bytes) -> String {
    let request: Option<RequestBody> = serde_json::from_slice(body).ok();
    let mut texts = Vec::new();
    if let Some(request) = request {
        request.messages.iter().for_each(|m| collect_texts(&m.content, &mut texts));
        collect_texts(&request.prompt, &mut texts);
    }
    texts.concat()
}

/// Collects the texts of a message's content or of a prompt.
fn collect_texts(content: &Value, texts: &mut Vec<String>) {
    match content {
        Value::String(s) if !s.is_empty() => texts.push(s.clone()),
        Value::Array(parts) => {
            for part in parts {
                collect_texts(part.get("text").unwrap_or(part), texts);
            }
        }
        _ => {}
    }
}

/// Hash of the first [`PREFIX_BYTES`] of a prompt; `None` if it is too short for a cache hit to matter.
fn prefix_hash(texts: &[String]) -> Option<u64> {
    let start: Vec<u8> = texts.iter().flat_map(|t| t.bytes()).take(PREFIX_BYTES).collect();
    (start.len() == PREFIX_BYTES).then(|| chestnutstage_core::rendezvous::hash(&start))
}

/// Returns the response as server-sent events.
fn stream_response(first: CompletionEvent, events: mpsc::Receiver<CompletionEvent>) -> Response {
    let batches = stream::unfold((Some(first), events, false), |(first, mut events, ended)| async move {
        if ended {
            return None;
        }
        let next = match first {
            Some(first) => first,
            None => events.recv().await.unwrap_or_else(|| CompletionEvent::Failed(missing_response())),
        };
        let (items, ended) = match next {
            CompletionEvent::Chunk(chunk, false) => (vec![Event::default().data(chunk.to_string())], false),
            CompletionEvent::Chunk(chunk, true) => {
                let done = Event::default().data("[DONE]");
                (vec![Event::default().data(chunk.to_string()), done], true)
            }
            CompletionEvent::Failed(failure) => {
                (vec![Event::default().data(failure.body().to_string())], true)
            }
        };
        let items: Vec<Result<Event, Infallible>> = items.into_iter().map(Ok).collect();
        Some((stream::iter(items), (None, events, ended)))
    });
    Sse::new(futures::StreamExt::flatten(batches)).into_response()
}

/// Returns the response as one JSON document.
async fn collect_response(
    id: RequestId,
    chat: bool,
    mut events: mpsc::Receiver<CompletionEvent>,
) -> Result<Response, Failure> {
    let mut collected = CollectedResponse::default();
    loop {
        match events.recv().await {
            Some(CompletionEvent::Chunk(chunk, last)) => {
                collected.add(chunk);
                if last {
                    return Ok(Json(collected.into_body(id, chat)).into_response());
                }
            }
            Some(CompletionEvent::Failed(failure)) => return Err(failure),
            None => return Err(missing_response()),
        }
    }
}

impl CollectedResponse {
    fn add(&mut self, mut chunk: Value) {
        let choice = &mut chunk["choices"][0];
        let text = choice["delta"]["content"].as_str().or_else(|| choice["text"].as_str());
        self.text.push_str(text.unwrap_or_default());
        if choice["finish_reason"].is_string() {
            self.finish = choice["finish_reason"].take();
        }
        if chunk["usage"].is_object() {
            self.usage = chunk["usage"].take();
        }
        self.model = chunk["model"].take();
    }

    fn into_body(self, id: RequestId, chat: bool) -> Value {
        let mut choice = json!({"index": 0, "finish_reason": self.finish, "logprobs": null});
        if chat {
            choice["message"] = json!({"role": "assistant", "content": self.text});
        } else {
            choice["text"] = Value::String(self.text);
        }
        json!({
            "id": id.to_string(),
            "object": if chat { "chat.completion" } else { "text_completion" },
            "created": 0,
            "model": self.model,
            "choices": [choice],
            "usage": self.usage,
        })
    }
}
