//! HTTP client of endpoints: the OpenAI-compatible completion API with server-sent events, and calls of plain services.

use std::collections::BTreeMap;
use std::time::Duration;

use chestnutstage_core::endpoint::Report;
use chestnutstage_core::idempotency::Answer;
use chestnutstage_core::ids::{BootId, RequestId};
use chestnutstage_core::outcome::{SendEvent, SendState};
use chestnutstage_core::stream::Piece;
use eventsource_stream::Eventsource;
use futures::future::BoxFuture;
use futures::{FutureExt, StreamExt};
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use super::{
    CompletionRequest, EndpointError, EnginePiece, EngineStream, Engines, KvReservation, OrderOutcome,
    PrefillRequest, ServiceCall, Services, Step,
};

/// Idle timeout of pooled connections, shorter than that of any middlebox; also the TCP keepalive time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a control call. Completions, resumptions, prefills and calls of plain services have other timeouts.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Client of model engines and plain services.
#[derive(Debug, Clone)]
pub(crate) struct HttpEndpoints {
    pooled: Client,
    /// Opens a new connection for each call.
    unpooled: Client,
}

impl HttpEndpoints {
    /// Creates a client.
    ///
    /// # Errors
    ///
    /// The HTTP client can't be created.
    pub(crate) fn new() -> Result<Self, reqwest::Error> {
        let builder = || {
            Client::builder()
                .connect_timeout(CONNECT_TIMEOUT)
                .tcp_keepalive(IDLE_TIMEOUT)
                .tcp_nodelay(true)
                .no_proxy()
        };
        Ok(Self {
            pooled: builder().pool_idle_timeout(IDLE_TIMEOUT).build()?,
            unpooled: builder().pool_max_idle_per_host(0).build()?,
        })
    }

    /// Makes a call that times out after [`CONTROL_TIMEOUT`]. A server error is a failure, except for status 507: an
    /// engine with too little free memory refuses a reservation with it.
    async fn control_call(
        &self,
        step: Step,
        peer: &str,
        request: RequestBuilder,
    ) -> Result<Response, EndpointError> {
        let response =
            request.timeout(CONTROL_TIMEOUT).send().await.map_err(|e| transport_error(step, peer, &e))?;
        let status = response.status();
        if status.is_server_error() && status != StatusCode::INSUFFICIENT_STORAGE {
            return Err(EndpointError {
                reason: status.to_string(),
                ..error(step, peer, SendState::Started)
            });
        }
        Ok(response)
    }
}

fn error(step: Step, peer: &str, sending: SendState) -> EndpointError {
    EndpointError { step, peer: peer.to_owned(), reason: String::new(), sending, missing: false }
}

fn transport_error(step: Step, peer: &str, cause: &reqwest::Error) -> EndpointError {
    let event =
        if cause.is_connect() || cause.is_builder() { SendEvent::ConnectFailed } else { SendEvent::Broken };
    EndpointError { reason: cause.to_string(), ..error(step, peer, SendState::Before.after(event)) }
}

/// Converts an error response; the endpoint may state in it that it did not run the request.
async fn response_error(step: Step, peer: &str, response: Response) -> EndpointError {
    let status = response.status();
    let body: Value = response.json().await.unwrap_or_default();
    let event = if body["outcome"] == "not_run" { SendEvent::Declined } else { SendEvent::Broken };
    let reason = body["error"].as_str().map_or_else(|| status.to_string(), |e| format!("{status}: {e}"));
    EndpointError {
        reason,
        missing: status == StatusCode::NOT_FOUND,
        ..error(step, peer, SendState::Before.after(event))
    }
}

async fn parse_body<T: DeserializeOwned>(
    step: Step,
    peer: &str,
    response: Response,
) -> Result<T, EndpointError> {
    response.json().await.map_err(|e| transport_error(step, peer, &e))
}

/// Parses a response into a stream of pieces.
async fn engine_stream(step: Step, peer: String, response: Response) -> Result<EngineStream, EndpointError> {
    if !response.status().is_success() {
        return Err(response_error(step, &peer, response).await);
    }
    let boot = response.headers().get("x-boot-id").and_then(|v| v.to_str().ok()).and_then(|v| v.parse().ok());
    let boot = BootId(boot.unwrap_or_default());
    let pieces = response
        .bytes_stream()
        .eventsource()
        .filter(|event| std::future::ready(event.as_ref().map_or(true, |e| e.data != "[DONE]")))
        .map(move |event| {
            let event = event.map_err(|e| EndpointError {
                reason: e.to_string(),
                ..error(Step::Read, &peer, SendState::Started)
            })?;
            parse_piece(&event, boot).ok_or_else(|| EndpointError {
                reason: "malformed piece".into(),
                ..error(Step::Read, &peer, SendState::Started)
            })
        })
        .boxed();
    Ok(EngineStream { boot, pieces })
}

/// Parses a piece; its event id holds the request and the offset.
fn parse_piece(event: &eventsource_stream::Event, boot: BootId) -> Option<EnginePiece> {
    let (request, offset) = event.id.split_once(':')?;
    let request = RequestId(u128::from_str_radix(request, 16).ok()?);
    let offset = offset.parse().ok()?;
    let chunk: Value = serde_json::from_str(&event.data).ok()?;
    let choice = chunk.get("choices")?.get(0)?;
    let text = choice["delta"]["content"].as_str().or_else(|| choice["text"].as_str()).unwrap_or_default();
    let last = choice["finish_reason"].is_string();
    let cached = chunk["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64();
    Some(EnginePiece { piece: Piece { request, boot, offset, text: text.to_owned(), last }, cached, chunk })
}

impl Engines for HttpEndpoints {
    type Report = Report;

    fn start<'a>(
        &'a self,
        address: &'a str,
        start: CompletionRequest,
    ) -> BoxFuture<'a, Result<EngineStream, EndpointError>> {
        async move {
            let path = if start.chat { "chat/completions" } else { "completions" };
            let mut request = self
                .pooled
                .post(format!("http://{address}/v1/{path}"))
                .header("content-type", "application/json")
                .header("x-request-id", start.request.to_string())
                .header("x-priority", u16::from(start.priority))
                .header("x-deadline-ms", start.remaining.as_millis() as u64)
                .body(start.body);
            if let Some(prefix) = start.prefix {
                request = request.header("x-prefix", prefix);
            }
            if !start.chain.is_empty() {
                request = request.header("x-kv-chain", start.chain.join(","));
            }
            let response = request.send().await.map_err(|e| transport_error(Step::Start, address, &e))?;
            engine_stream(Step::Start, address.to_owned(), response).await
        }
        .boxed()
    }

    fn resume<'a>(
        &'a self,
        address: &'a str,
        request: RequestId,
        offset: u64,
    ) -> BoxFuture<'a, Result<EngineStream, EndpointError>> {
        async move {
            let url = format!("http://{address}/v1/streams/{request}?from={offset}");
            let response = self
                .unpooled
                .get(url)
                .send()
                .await
                .map_err(|e| transport_error(Step::Resume, address, &e))?;
            engine_stream(Step::Resume, address.to_owned(), response).await
        }
        .boxed()
    }

    fn cancel<'a>(
        &'a self,
        address: &'a str,
        request: RequestId,
    ) -> BoxFuture<'a, Result<(), EndpointError>> {
        async move {
            let request = self.unpooled.delete(format!("http://{address}/v1/streams/{request}"));
            self.control_call(Step::Cancel, address, request).await.map(drop)
        }
        .boxed()
    }

    fn load<'a>(&'a self, address: &'a str) -> BoxFuture<'a, Result<Report, EndpointError>> {
        async move {
            let request = self.pooled.get(format!("http://{address}/load"));
            let response = self.control_call(Step::Load, address, request).await?;
            parse_body(Step::Load, address, response).await
        }
        .boxed()
    }

    fn reservations<'a>(
        &'a self,
        address: &'a str,
    ) -> BoxFuture<'a, Result<BTreeMap<String, KvReservation>, EndpointError>> {
        async move {
            let request = self.pooled.get(format!("http://{address}/kv"));
            let response = self.control_call(Step::Memory, address, request).await?;
            parse_body(Step::Memory, address, response).await
        }
        .boxed()
    }

    fn reserve<'a>(
        &'a self,
        address: &'a str,
        name: &'a str,
        reservation: KvReservation,
    ) -> BoxFuture<'a, Result<bool, EndpointError>> {
        async move {
            let request = self.pooled.put(format!("http://{address}/kv/{name}")).json(&reservation);
            let response = self.control_call(Step::Memory, address, request).await?;
            Ok(response.status().is_success())
        }
        .boxed()
    }

    fn prefill<'a>(
        &'a self,
        address: &'a str,
        name: &'a str,
        prefill: PrefillRequest,
    ) -> BoxFuture<'a, Result<(), EndpointError>> {
        async move {
            let body = json!({"text": prefill.text, "import": prefill.import, "priority": prefill.priority});
            let request = self.unpooled.post(format!("http://{address}/kv/{name}/prefill")).json(&body);
            let response = request.timeout(prefill.remaining).send().await;
            let response = response.map_err(|e| transport_error(Step::Memory, address, &e))?;
            if response.status().is_success() {
                return Ok(());
            }
            Err(response_error(Step::Memory, address, response).await)
        }
        .boxed()
    }

    fn free<'a>(&'a self, address: &'a str, name: &'a str) -> BoxFuture<'a, Result<(), EndpointError>> {
        async move {
            let request = self.unpooled.delete(format!("http://{address}/kv/{name}"));
            self.control_call(Step::Memory, address, request).await.map(drop)
        }
        .boxed()
    }

    fn order<'a>(
        &'a self,
        address: &'a str,
        fencing: u64,
        order: Value,
    ) -> BoxFuture<'a, Result<OrderOutcome, EndpointError>> {
        async move {
            let request = self.unpooled.post(format!("http://{address}/orders"));
            let request = request.json(&json!({"fencing": fencing, "order": order}));
            let response = self.control_call(Step::Order, address, request).await?;
            Ok(if response.status() == StatusCode::CONFLICT {
                OrderOutcome::Fenced
            } else {
                OrderOutcome::Accepted
            })
        }
        .boxed()
    }
}

impl Services for HttpEndpoints {
    type Answer = Answer;

    fn call<'a>(
        &'a self,
        address: &'a str,
        call: ServiceCall,
    ) -> BoxFuture<'a, Result<Answer, EndpointError>> {
        async move {
            let not_sent = |reason: &str| EndpointError {
                reason: reason.to_owned(),
                ..error(Step::Call, address, SendState::Before)
            };
            let method =
                Method::from_bytes(call.method.as_bytes()).map_err(|_| not_sent("unknown method"))?;
            let mut request = self
                .unpooled
                .request(method, format!("http://{address}/{}", call.path))
                .timeout(call.remaining)
                .body(call.body);
            if let Some(media) = call.media {
                request = request.header("content-type", media);
            }
            if let Some(key) = call.key {
                request = request.header("idempotency-key", key);
            }
            let response = request.send().await.map_err(|e| transport_error(Step::Call, address, &e))?;
            if response.status() == StatusCode::SERVICE_UNAVAILABLE {
                return Err(response_error(Step::Call, address, response).await);
            }
            let status = response.status().as_u16();
            let body = response.text().await.map_err(|e| transport_error(Step::Call, address, &e))?;
            Ok(Answer { status, body })
        }
        .boxed()
    }
}
