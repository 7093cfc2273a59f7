//! Completions in the usual API, whole or as server-sent events.

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
use crate::completion::{Completion, Shown};
use crate::entry::Job;
use crate::failure::{Failure, Stage};

/// Tokens of an answer whose caller sets no limit.
const OUTPUT_DEFAULT: u64 = 256;
/// Longest answer, in tokens.
const OUTPUT_MAX: u64 = 128_000;
/// Bytes of prompt text that name its prefix.
const PREFIX_BYTES: usize = 1_024;
/// Header that names the request in answers.
const ID_HEADER: &str = "x-request-id";

/// What a completion's body says, as far as it matters here.
#[derive(Debug, Deserialize)]
struct Wish {
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

/// Chunks of one answer, put together for a caller that wants it whole.
#[derive(Debug, Default)]
struct Whole {
    text: String,
    finish: Value,
    usage: Value,
    model: Value,
}

pub(super) async fn chat(
    State(callers): State<CallerApi>,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Response {
    complete(callers, headers, body, true).await
}

pub(super) async fn completion(
    State(callers): State<CallerApi>,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Response {
    complete(callers, headers, body, false).await
}

pub(super) async fn models(State(callers): State<CallerApi>, headers: HeaderMap) -> Response {
    if let Err(failure) = callers.authenticate(&headers) {
        return failure.into_response();
    }
    let listing = callers.shared.listing.borrow().clone();
    let engines = listing.endpoints.iter().filter(|e| e.kind == chestnutstage_core::endpoint::Kind::Engine);
    let names: std::collections::BTreeSet<_> = engines.flat_map(|e| &e.models).collect();
    let model = |m: &&ModelId| json!({"id": m, "object": "model", "created": 0, "owned_by": "fleet"});
    let data: Vec<_> = names.iter().map(model).collect();
    Json(json!({"object": "list", "data": data})).into_response()
}

async fn complete(
    callers: CallerApi,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
    chat: bool,
) -> Response {
    let id = callers.shared.request_id();
    let mut response = match begin(&callers, &headers, body, chat, id).await {
        Ok(response) => response,
        Err(failure) => failure.into_response(),
    };
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        response.headers_mut().insert(ID_HEADER, value);
    }
    response
}

async fn begin(
    callers: &CallerApi,
    headers: &HeaderMap,
    body: Result<Bytes, BytesRejection>,
    chat: bool,
    id: RequestId,
) -> Result<Response, Failure> {
    let authenticated = callers.authenticate(headers)?;
    let deadline = callers.deadline(headers, &authenticated.contract)?;
    let body = body.map_err(|e| too_large(&e))?;
    let (wish, size, prefix, body) = read(&body, chat)?;
    let Authenticated { customer, contract, .. } = authenticated;
    let shared = &callers.shared;
    callers
        .accounts
        .charge(shared, &customer, &contract, size.memory())
        .await
        .map_err(|r| Failure::refused(&r, None))?;
    let job =
        Job { id, customer, weight: contract.weight, model: wish.model.clone(), size, prefix, deadline };
    let (out, mut shown) = mpsc::channel(shared.settings.callers.backlog);
    let run = Completion::new(callers.entry.clone(), job, chat, body, out).run();
    tokio::spawn(run);
    if !wish.stream {
        return whole(id, chat, shown).await;
    }
    match shown.recv().await {
        Some(Shown::Failed(failure)) => Err(failure),
        Some(first) => Ok(events(first, shown)),
        None => Err(vanished()),
    }
}

fn too_large(rejection: &BytesRejection) -> Failure {
    let failure = Failure::bad(Stage::Request, "body_refused", rejection.body_text());
    failure.with_status(rejection.status())
}

fn vanished() -> Failure {
    Failure::unknown(Stage::Endpoint, "internal", "the request ended without an answer")
        .with_status(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Reads and checks the body; makes the one that the engine gets.
fn read(body: &Bytes, chat: bool) -> Result<(Wish, Size, Option<u64>, Bytes), Failure> {
    let wrong = |message: String| Failure::bad(Stage::Request, "invalid_request", message);
    let mut value: Map<String, Value> =
        serde_json::from_slice(body).map_err(|e| wrong(format!("the body is not a JSON object: {e}")))?;
    let wish: Wish =
        serde_json::from_value(Value::Object(value.clone())).map_err(|e| wrong(e.to_string()))?;
    let mut texts = Vec::new();
    if chat {
        if wish.messages.is_empty() {
            return Err(wrong("messages is missing or empty".into()));
        }
        wish.messages.iter().for_each(|m| collect(&m.content, &mut texts));
    } else {
        collect(&wish.prompt, &mut texts);
        if texts.is_empty() {
            return Err(wrong("prompt is missing or empty".into()));
        }
    }
    let output = wish.completion_tokens.or(wish.max_tokens).unwrap_or(OUTPUT_DEFAULT);
    if output == 0 || output > OUTPUT_MAX {
        return Err(wrong(format!("max_tokens must lie between 1 and {OUTPUT_MAX}")));
    }
    let bytes = texts.iter().map(std::string::String::len).sum();
    let size = Size { prompt: length::estimate(bytes, wish.messages.len()), output: Tokens(output) };
    let prefix = prefix_of(&texts);
    value.insert("stream".into(), Value::Bool(true));
    value.insert("stream_options".into(), json!({"include_usage": true}));
    value.insert("max_tokens".into(), json!(output));
    let body = serde_json::to_vec(&value).map_err(|e| wrong(e.to_string()))?;
    Ok((wish, size, prefix, Bytes::from(body)))
}

/// Text of the prompt in a body that was read before.
pub(crate) fn prompt_text(body: &Bytes) -> String {
    let wish: Option<Wish> = serde_json::from_slice(body).ok();
    let mut texts = Vec::new();
    if let Some(wish) = wish {
        wish.messages.iter().for_each(|m| collect(&m.content, &mut texts));
        collect(&wish.prompt, &mut texts);
    }
    texts.concat()
}

/// Collects the texts of a message's content or of a prompt.
fn collect(content: &Value, texts: &mut Vec<String>) {
    match content {
        Value::String(s) if !s.is_empty() => texts.push(s.clone()),
        Value::Array(parts) => {
            for part in parts {
                collect(part.get("text").unwrap_or(part), texts);
            }
        }
        _ => {}
    }
}

/// Hash of the first part of a prompt that is long enough to be worth finding in a cache.
fn prefix_of(texts: &[String]) -> Option<u64> {
    let start: Vec<u8> = texts.iter().flat_map(|t| t.bytes()).take(PREFIX_BYTES).collect();
    (start.len() == PREFIX_BYTES).then(|| chestnutstage_core::rendezvous::hash(&start))
}

/// The answer as server-sent events.
fn events(first: Shown, shown: mpsc::Receiver<Shown>) -> Response {
    let items = stream::unfold((Some(first), shown, false), |(first, mut shown, over)| async move {
        if over {
            return None;
        }
        let next = match first {
            Some(first) => first,
            None => shown.recv().await.unwrap_or_else(|| Shown::Failed(vanished())),
        };
        let (events, over) = match next {
            Shown::Chunk(chunk, false) => (vec![Event::default().data(chunk.to_string())], false),
            Shown::Chunk(chunk, true) => {
                let done = Event::default().data("[DONE]");
                (vec![Event::default().data(chunk.to_string()), done], true)
            }
            Shown::Failed(failure) => (vec![Event::default().data(failure.body().to_string())], true),
        };
        let events: Vec<Result<Event, Infallible>> = events.into_iter().map(Ok).collect();
        Some((stream::iter(events), (None, shown, over)))
    });
    Sse::new(futures::StreamExt::flatten(items)).into_response()
}

/// The answer in one piece.
async fn whole(id: RequestId, chat: bool, mut shown: mpsc::Receiver<Shown>) -> Result<Response, Failure> {
    let mut whole = Whole::default();
    loop {
        match shown.recv().await {
            Some(Shown::Chunk(chunk, last)) => {
                whole.add(chunk);
                if last {
                    return Ok(Json(whole.into_body(id, chat)).into_response());
                }
            }
            Some(Shown::Failed(failure)) => return Err(failure),
            None => return Err(vanished()),
        }
    }
}

impl Whole {
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
