//! One request of a caller, from its arrival to the end of its response.
//!
//! The gateway finds the route and the customer, reads the body and then makes attempts until an endpoint responds. A
//! request is reported to the caller as not run only if that is certain. After an attempt with an unknown outcome it is
//! sent again only if it may be repeated.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use chestnutstage_core::catalog::{Repeat, Route};
use chestnutstage_core::ids::{CustomerId, ModelId};
use chestnutstage_core::pool::{Cause, Key, Refusal};
use chestnutstage_core::quarantine::{Evidence, Feature};
use chestnutstage_core::relay::Relay;
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT};
use http::request::Parts;
use http::response;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::{Body as _, Incoming};
use log::{info, warn};
use metrics::{counter, histogram};
use tokio::time::{Instant, timeout_at};

use crate::admission::{Rejection, drain_body, find_customer, find_route, read_body};
use crate::attempt::{Attempt, Upstream};
use crate::external::Prompt;
use crate::fault::Fault;
use crate::headers::{header_text, remove_hop_by_hop};
use crate::quarantine::BrokenRequest;
use crate::request_digest::digest;
use crate::response::{BoxResponse, DEFAULT_RETRY_DELAY, Reason, error_response, full};
use crate::shared::{ActiveWork, Shared};
use crate::stream;

/// Maximum number of times that one request is sent, including to endpoints that did not run it.
const SENDS_MAX: u32 = 4;
/// Maximum number of placements of one request, including those on endpoints that could not be reached or had no
/// memory.
const PLACEMENTS_MAX: usize = 6;
/// Largest number of tokens of a prompt and its answer; what a grant can hold.
const TOKENS_MAX: u64 = u32::MAX as u64;
/// Largest response of a plain service that is buffered before it is forwarded.
const BUFFERED_BYTES_MAX: usize = 1 << 20;

/// Reports a request that is dropped before its response: the caller's connection was closed, by the caller or here.
struct Unanswered {
    request: String,
    arrived: Instant,
    answered: bool,
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let took = self.arrived.elapsed().as_millis() as u64;
        info!(request = self.request, ms = took; "connection closed before the response");
        counter!("chestnutstage_unanswered_total").increment(1);
    }
}

/// One request of a caller.
pub(crate) struct Exchange {
    pub(crate) shared: Arc<Shared>,
    pub(crate) id: String,
    pub(crate) route: Route,
    pub(crate) deadline: Instant,
    pub(crate) relay: Relay,
    pub(crate) possible_runs: u32,
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) service: ModelId,
    pub(crate) key: Option<String>,
    pub(crate) customer: Option<CustomerId>,
    pub(crate) prompt: Prompt,
    /// Parts of the prompt that other prompts may share, and the request itself.
    pub(crate) features: Arc<[Feature]>,
    pub(crate) arrived: Instant,
    pub(crate) sends: u32,
    /// Error response of an endpoint, returned to the caller if no other endpoint does better.
    pub(crate) fallback: Option<(response::Parts, Bytes)>,
    pub(crate) tried: Vec<Key>,
    _active: ActiveWork,
}

/// Handles one request of a caller.
pub(crate) async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> BoxResponse {
    let arrived = Instant::now();
    let active = ActiveWork::start(&shared);
    let (parts, mut body) = request.into_parts();
    let id = header_text(&parts.headers, &shared.adapters.header_format.names().attempt)
        .unwrap_or_default()
        .to_owned();
    let expects = parts.headers.contains_key(EXPECT);
    let mut unanswered = Unanswered { request: id.clone(), arrived, answered: false };
    let response = match Exchange::begin(shared, id.clone(), parts, &mut body, arrived, active).await {
        Ok(exchange) => exchange.run().await,
        Err(rejection) => {
            // A caller that waits for permission sends no body, and one whose body came too late is not waited for longer.
            let waits = expects || rejection.0 == Reason::Overloaded;
            let drained = !waits && drain_body(&mut body).await;
            let mut response = reject(&id, rejection, "rejected before placement");
            if !drained {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            response
        }
    };
    unanswered.answered = true;
    response
}

fn reject(request: &str, (reason, retry): Rejection, message: &str) -> BoxResponse {
    info!(request, status = reason.to_string(); "{message}");
    counter!("chestnutstage_refused_total", "reason" => reason.to_string()).increment(1);
    error_response(reason, retry)
}

impl Exchange {
    async fn begin(
        shared: Arc<Shared>,
        id: String,
        mut parts: Parts,
        body: &mut Incoming,
        arrived: Instant,
        active: ActiveWork,
    ) -> Result<Self, Rejection> {
        let directory = shared
            .store_cache
            .directory()
            .ok_or((Reason::ConfigurationUnknown, Some(DEFAULT_RETRY_DELAY)))?;
        let route = find_route(&shared, &directory, &parts)?.clone();
        let names = shared.adapters.header_format.names();
        let key = header_text(&parts.headers, &names.key).map(str::to_owned);
        let customer = find_customer(&shared, &directory, &route, key.as_deref())?;
        let service = route
            .service(id.as_bytes())
            .cloned()
            .ok_or((Reason::ConfigurationUnknown, Some(DEFAULT_RETRY_DELAY)))?;
        let remaining = header_text(&parts.headers, &names.remaining).and_then(|t| t.parse().ok());
        let remaining = remaining.map_or(route.timeout, Duration::from_millis);
        let deadline = arrived + remaining.min(route.timeout);
        let prompt = shared.adapters.header_format.prompt(&parts.headers);
        let prompt = prompt.unwrap_or(Prompt { tokens: 0, output: 0 });
        if prompt.tokens.saturating_add(prompt.output) > TOKENS_MAX {
            return Err((Reason::Malformed, None));
        }
        let shared_parts = shared.shared_parts(&service, &parts.headers);
        remove_hop_by_hop(&mut parts.headers);
        for name in [&names.key, &names.customer, &names.expected, &names.helpers, &CONTENT_LENGTH, &EXPECT] {
            parts.headers.remove(name);
        }
        let body = read_body(body, directory.limits().body, deadline).await?;
        let content = &shared.adapters.header_format.names().content;
        let repeated = digest(&parts, key.as_deref(), content, &body);
        shared.earn_retries();
        Ok(Self {
            shared,
            id,
            route,
            deadline,
            relay: Relay::default(),
            possible_runs: 0,
            parts,
            body,
            service,
            key,
            customer,
            prompt,
            features: shared_parts.into_iter().chain([repeated]).collect(),
            arrived,
            sends: 0,
            fallback: None,
            tried: Vec::new(),
            _active: active,
        })
    }

    /// Makes attempts until an endpoint responds or none may be tried any more.
    async fn run(mut self) -> BoxResponse {
        loop {
            match self.attempt().await {
                Attempt::Responded(upstream) if upstream.is_success() && self.is_streamed(&upstream) => {
                    return stream::response(self, upstream, Bytes::new()).await;
                }
                Attempt::Responded(upstream) => match self.forward_buffered(upstream).await {
                    Forwarded::Response(response) => return response,
                    Forwarded::Repeat(exchange) => self = *exchange,
                },
                Attempt::NotRun(cause) => {
                    info!(request = self.id, cause; "attempt failed; the request did not run");
                    if let Some(response) = self.after_not_run() {
                        return response;
                    }
                }
                Attempt::Unknown(cause) => {
                    warn!(request = self.id, cause; "attempt failed; the request may have run");
                    if !self.may_repeat() {
                        return self.fail();
                    }
                }
                Attempt::Refused(refusal) => return self.refuse(&refusal),
                // The rejection states that the request did not run, which an earlier attempt may contradict.
                Attempt::Rejected(_) if self.possible_runs > 0 => return self.fail(),
                Attempt::Rejected(rejection) => {
                    return reject(&self.id, rejection, "rejected after placement");
                }
            }
        }
    }

    /// Whether a response is forwarded as it arrives: event streams, and bodies that are too large to buffer.
    fn is_streamed(&self, upstream: &Upstream) -> bool {
        self.route.repeat.is_stream() || upstream.body.size_hint().lower() > BUFFERED_BYTES_MAX as u64
    }

    /// Ends a request whose outcome is unknown, with the error response of an endpoint if there is one.
    pub(crate) fn fail(&mut self) -> BoxResponse {
        if let Some((head, bytes)) = self.fallback.take() {
            return Response::from_parts(head, full(bytes));
        }
        let reason = if Instant::now() >= self.deadline { Reason::Timeout } else { Reason::OutcomeUnknown };
        self.log_failure(reason);
        error_response(reason, None)
    }

    /// Ends a request that can't be placed. It is reported as not run, unless an earlier attempt may have run.
    fn refuse(&mut self, refusal: &Refusal) -> BoxResponse {
        if self.possible_runs > 0 {
            return self.fail();
        }
        info!(
            request = self.id, route = self.route.name, tokens = self.prompt.tokens, cause:% = refusal.cause,
            retry:? = refusal.retry; "refused"
        );
        counter!("chestnutstage_refused_total", "reason" => refusal.cause.to_string()).increment(1);
        let reason = match refusal.cause {
            Cause::Quarantined => Reason::Quarantined,
            Cause::CrashingRequest => Reason::CrashingRequest,
            _ => Reason::Overloaded,
        };
        error_response(reason, Some(refusal.retry))
    }

    fn after_not_run(&mut self) -> Option<BoxResponse> {
        let exhausted = Instant::now() >= self.deadline || self.tried.len() >= PLACEMENTS_MAX;
        if exhausted || self.sends >= SENDS_MAX || (self.sends > 0 && !self.shared.take_retry()) {
            if self.possible_runs > 0 {
                return Some(self.fail());
            }
            self.log_failure(Reason::Overloaded);
            return Some(error_response(Reason::Overloaded, Some(DEFAULT_RETRY_DELAY)));
        }
        None
    }

    /// Whether the request may be sent again after an attempt that may have run. Takes a retry from the budget if so.
    pub(crate) fn may_repeat(&mut self) -> bool {
        self.can_repeat(self.possible_runs) && self.shared.take_retry()
    }

    /// Whether the request may be sent again after `possible_runs` attempts that may have run; ignores the budget.
    pub(crate) fn can_repeat(&self, possible_runs: u32) -> bool {
        self.route.repeat.is_repeatable()
            && possible_runs < self.route.attempts
            && self.sends < SENDS_MAX
            && Instant::now() < self.deadline
    }

    /// Records that the connection to an endpoint broke before the answer had progressed.
    pub(crate) fn record_broken(&self, endpoint: Key, address: SocketAddr, evidence: Evidence) {
        self.shared.record_broken(BrokenRequest {
            id: self.id.clone(),
            features: self.features.clone(),
            customer: self.customer.clone(),
            endpoint,
            address,
            evidence,
        });
    }

    fn log_failure(&self, reason: Reason) {
        let took = self.arrived.elapsed().as_millis() as u64;
        warn!(
            request = self.id, route = self.route.name, reason:% = reason, sends = self.sends, ms = took;
            "request failed"
        );
        counter!("chestnutstage_failed_total", "reason" => reason.to_string()).increment(1);
    }

    /// Reads a whole response and forwards it, or streams it if it is too large for that.
    async fn forward_buffered(mut self, mut upstream: Box<Upstream>) -> Forwarded {
        let read = timeout_at(self.deadline, read_buffered(&mut upstream)).await;
        let bytes = match read {
            Ok(Ok(Buffered::Whole(bytes))) => bytes,
            Ok(Ok(Buffered::Prefix(prefix))) if upstream.is_success() => {
                return Forwarded::Response(stream::response(self, upstream, prefix).await);
            }
            Ok(Ok(Buffered::Prefix(_))) => {
                return self.repeat_or_fail(upstream, "the response is too large");
            }
            Ok(Err(e)) => return self.repeat_or_fail(upstream, &e.to_string()),
            Err(_) => return Forwarded::Response(self.fail()),
        };
        let closes = upstream.closes();
        if upstream.has_run_through() {
            self.shared.record_progress(&self.features);
        }
        let Upstream { mut head, channel, key, idle_share, grant: _grant, .. } = *upstream;
        if !closes {
            self.shared.channels.put(key, channel, idle_share);
        }
        let failed = head.status.is_server_error() && self.route.repeat == Repeat::Idempotent;
        if implies_not_run(head.status) {
            // The status alone does not prove that the request did not run; the endpoint's header for it is absent.
            return Forwarded::Response(self.fail());
        }
        remove_hop_by_hop(&mut head.headers);
        if self.parts.method != Method::HEAD {
            head.headers.remove(CONTENT_LENGTH);
        }
        if failed && self.may_repeat() {
            info!(
                request = self.id, status = head.status.as_u16();
                "endpoint returned a server error; trying another endpoint"
            );
            self.fallback = Some((head, bytes));
            return Forwarded::Repeat(Box::new(self));
        }
        let took = self.arrived.elapsed();
        info!(request = self.id, status = head.status.as_u16(), ms = took.as_millis() as u64; "response complete");
        histogram!("chestnutstage_answer_seconds").record(took.as_secs_f64());
        Forwarded::Response(Response::from_parts(head, full(bytes)))
    }

    /// Keeps the error response of an endpoint in case that no other one does better.
    pub(crate) async fn keep_fallback(&mut self, mut upstream: Box<Upstream>) {
        let status = upstream.head.status.as_u16();
        info!(request = self.id, status; "endpoint returned a server error; waiting for the first");
        let read = timeout_at(self.deadline, read_buffered(&mut upstream)).await;
        let Upstream { mut head, .. } = *upstream;
        if implies_not_run(head.status) || self.route.repeat.is_stream() {
            return;
        }
        if let Ok(Ok(Buffered::Whole(bytes))) = read {
            remove_hop_by_hop(&mut head.headers);
            head.headers.remove(CONTENT_LENGTH);
            self.fallback = Some((head, bytes));
        }
    }

    /// Goes on after a response that can't be read.
    fn repeat_or_fail(mut self, upstream: Box<Upstream>, cause: &str) -> Forwarded {
        warn!(request = self.id; "failed to read the response: {cause}");
        self.record_broken(upstream.key, upstream.address, Evidence::Started);
        self.shared.report_failure(upstream.key, Fault::Broken);
        drop(upstream);
        if self.may_repeat() { Forwarded::Repeat(Box::new(self)) } else { Forwarded::Response(self.fail()) }
    }
}

/// What becomes of an endpoint's response.
enum Forwarded {
    Response(BoxResponse),
    /// The request is sent again.
    Repeat(Box<Exchange>),
}

/// Start of a body.
enum Buffered {
    Whole(Bytes),
    /// More than [`BUFFERED_BYTES_MAX`] bytes; the remainder was not read.
    Prefix(Bytes),
}

async fn read_buffered(upstream: &mut Upstream) -> hyper::Result<Buffered> {
    let mut bytes = BytesMut::new();
    while let Some(data) = upstream.next_data().await {
        bytes.extend_from_slice(&data?);
        if bytes.len() > BUFFERED_BYTES_MAX {
            return Ok(Buffered::Prefix(bytes.freeze()));
        }
    }
    Ok(Buffered::Whole(bytes.freeze()))
}

/// Whether a status tells callers that the request did not run.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
