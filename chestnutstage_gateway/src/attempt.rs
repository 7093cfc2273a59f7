//! One attempt to have a request answered by an endpoint.
//!
//! An attempt places the request, reserves memory where the placement says so, connects, checks once more that the request
//! may go there, and sends it. What comes back is classified once, in [`Attempt`].

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chestnutstage_core::catalog::Repeat;
use chestnutstage_core::pool::{Cause, Key, Placement, Refusal};
use http::header::CONNECTION;
use http::response;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use kameo::error::SendError;
use log::{info, warn};
use metrics::histogram;
use rand::Rng;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::admission::find_customer;
use crate::answer::{Answer, RETRY_SOON, Reason, answer};
use crate::channel::{Channel, SendFailure};
use crate::dispatcher::{Ended, Failed, FailedAt, IsOpen, IsSilent, Place};
use crate::exchange::Exchange;
use crate::headers::text;
use crate::shared::Shared;
use crate::tickets::{Tickets, Wanted};

/// Shortest silence that counts as a failure.
pub(crate) const SILENT_MIN: Duration = Duration::from_secs(1);
/// Targets for which a request waits for the head of its answer before it is sent to another endpoint.
const PATIENCE: f64 = 2.0;
/// Addition to that for a call, for a network that lost a packet.
const PATIENCE_EXTRA: Duration = Duration::from_millis(80);
/// Time after which a request that waits on thinks of another endpoint again.
const LOOK_AGAIN: Duration = Duration::from_millis(300);
/// Silence of an engine after which it is asked for a load report.
const GONE_SILENCE: Duration = Duration::from_secs(1);
/// Time limit of such a report: several round trips between zones.
const GONE_LIMIT: Duration = Duration::from_millis(350);
/// Reports in a row that stay out before the engine counts as gone; one may be lost on the way.
const GONE_MISSES: u32 = 2;
/// Rank of brief prompts in an engine's queue.
const URGENT: &str = "2";

/// Ends a grant when dropped.
pub(crate) struct Granted {
    shared: Arc<Shared>,
    pub(crate) number: u64,
}

impl Drop for Granted {
    fn drop(&mut self) {
        if self.shared.dispatcher.tell(Ended(self.number)).try_send().is_err() {
            warn!(grant = self.number; "the dispatcher is gone; the grant stays until the process ends");
        }
    }
}

/// An answer that an endpoint has begun.
pub(crate) struct Upstream {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) channel: Channel,
    pub(crate) key: Key,
    pub(crate) address: SocketAddr,
    /// Idle connections that may be kept to it.
    pub(crate) idle_share: usize,
    pub(crate) granted: Granted,
    pub(crate) _tickets: Option<Tickets>,
    pub(crate) sent: Instant,
    pub(crate) expected: Duration,
}

/// What became of one attempt.
pub(crate) enum Attempt {
    /// An endpoint answers.
    Begun(Box<Upstream>),
    /// It did not run, and can be tried elsewhere.
    NotRun(String),
    /// It may have run.
    Unknown(String),
    /// No endpoint takes it.
    Refused(Refusal),
    /// The gateway must not send it.
    Barred(Answer),
}

impl Exchange {
    /// Sends the request to one endpoint.
    pub(crate) async fn attempt(&mut self) -> Attempt {
        let placement = match self.place().await {
            Ok(placement) => placement,
            Err(refusal) => return Attempt::Refused(refusal),
        };
        let granted = Granted { shared: self.shared.clone(), number: placement.number };
        self.log_placed(&placement);
        self.tried.push(placement.key);
        let tickets = match self.reserve(&placement).await {
            Ok(tickets) => tickets,
            Err(why) => return Attempt::NotRun(why),
        };
        let once = !self.route.repeat.is_repeatable();
        let got = self.shared.channels.get(placement.key, placement.listing.address, once).await;
        let mut channel = match got {
            Ok(channel) => channel,
            Err(e) => {
                self.blame(placement.key).await;
                return Attempt::NotRun(format!("connection to {}: {e}", placement.listing.id));
            }
        };
        if let Some(barred) = self.check_again(placement.key).await {
            return barred;
        }
        let Some(request) = self.request(&placement, tickets.as_ref()) else {
            return Attempt::Barred(answer(Reason::Malformed, None));
        };
        let sent = Instant::now();
        let (head, body) = match self.send(&placement, &mut channel, request, sent).await {
            Ok(response) => response.into_parts(),
            Err(attempt) => return attempt,
        };
        let upstream = Upstream {
            head,
            body,
            channel,
            key: placement.key,
            address: placement.listing.address,
            idle_share: self.shared.idle_share(&placement.listing),
            granted,
            _tickets: tickets,
            sent,
            expected: placement.expected,
        };
        self.classify(upstream).await
    }

    fn log_placed(&self, placement: &Placement) {
        info!(
            request = self.id, route = self.route.name, endpoint:% = placement.listing.id,
            tokens = self.prompt.tokens, helpers = placement.helpers.len(), tickets = placement.reserve > 0,
            parts = format!("{:?}", placement.ranks),
            expected_ms = placement.expected.as_millis() as u64; "placed"
        );
    }

    /// Sends the request and waits for the head of the answer.
    async fn send(
        &mut self,
        placement: &Placement,
        channel: &mut Channel,
        request: Request<Full<Bytes>>,
        sent: Instant,
    ) -> Result<Response<Incoming>, Attempt> {
        let (id, address) = (&placement.listing.id, placement.listing.address);
        let mut sending = pin!(channel.send(request));
        let mut gone = pin!(until_gone(&self.shared, address));
        let mut limit = self.head_limit(sent, placement);
        let failure = loop {
            tokio::select! {
                answered = timeout_at(limit, &mut sending) => match answered {
                    Ok(Ok(response)) => {
                        self.sends += 1;
                        return Ok(response);
                    }
                    Ok(Err(SendFailure::NotSent(why))) => {
                        return Err(Attempt::NotRun(format!("{id} closed the connection: {why}")));
                    }
                    Ok(Err(SendFailure::Unknown(why))) => break format!("{id}: {why}"),
                    Err(_) if limit < self.deadline && !self.should_leave(placement.key).await => {
                        limit = self.deadline.min(limit + LOOK_AGAIN);
                    }
                    Err(_) => break format!("no answer of {id} in time"),
                },
                () = &mut gone, if self.asks_engine() => break format!("{id} is gone"),
            }
        };
        self.sends += 1;
        self.runs += 1;
        self.blame(placement.key).await;
        Err(Attempt::Unknown(failure))
    }

    async fn place(&self) -> Result<Placement, Refusal> {
        let elapsed = self.arrived.elapsed();
        let place = Place {
            service: self.service.clone(),
            tokens: self.prompt.tokens,
            output: self.prompt.output,
            first: self.route.target.first.saturating_sub(elapsed),
            gap: self.route.target.gap,
            remaining: self.deadline.saturating_duration_since(Instant::now()),
            tried: self.tried.clone(),
            jitter: rand::rng().random_range(0.0..1.0),
        };
        match self.shared.dispatcher.ask(place).await {
            Ok(placement) => Ok(placement),
            Err(SendError::HandlerError(refusal)) => Err(refusal),
            Err(e) => {
                warn!("the dispatcher does not answer: {e}");
                Err(Refusal { cause: Cause::NoEndpoint, retry: RETRY_SOON })
            }
        }
    }

    /// Reserves the memory that a placement needs.
    async fn reserve(&self, placement: &Placement) -> Result<Option<Tickets>, String> {
        let mut wanted = Vec::new();
        if placement.reserve > 0 {
            wanted.push(Wanted { address: placement.listing.address, tokens: placement.reserve });
        }
        let helpers = placement.helpers.iter().filter(|h| h.reserve > 0);
        wanted.extend(helpers.map(|h| Wanted { address: h.address, tokens: h.reserve }));
        if wanted.is_empty() {
            return Ok(None);
        }
        let reserved =
            Tickets::reserve(&self.shared.adapters.engines, &self.shared.incarnation, wanted).await;
        reserved.map(Some).map_err(|missing| format!("no memory reserved at {missing:?}"))
    }

    /// Checks right before a send what may have changed since the placement.
    async fn check_again(&self, key: Key) -> Option<Attempt> {
        if !self.shared.dispatcher.ask(IsOpen(key)).await.unwrap_or(false) {
            return Some(Attempt::NotRun("the endpoint takes no more work".into()));
        }
        let Some(directory) = self.shared.knowledge.directory() else {
            return Some(Attempt::Barred(answer(Reason::Unready, Some(RETRY_SOON))));
        };
        match find_customer(&self.shared, &directory, &self.route, self.key.as_deref()) {
            Ok(_) => None,
            Err((reason, retry)) => Some(Attempt::Barred(answer(reason, retry))),
        }
    }

    /// The request as the endpoint gets it.
    fn request(&self, placement: &Placement, tickets: Option<&Tickets>) -> Option<Request<Full<Bytes>>> {
        let names = self.shared.adapters.dialect.names();
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = self.parts.uri.clone();
        let mut headers = self.parts.headers.clone();
        let left = self.deadline.saturating_duration_since(Instant::now()).as_millis();
        headers.insert(names.remaining.clone(), HeaderValue::from_str(&left.to_string()).ok()?);
        let expected = HeaderValue::from_str(placement.listing.id.as_str()).ok()?;
        headers.insert(names.expected.clone(), expected);
        if let Some(customer) = &self.customer {
            headers.insert(names.customer.clone(), HeaderValue::from_str(customer.as_str()).ok()?);
        }
        if self.route.repeat.is_stream() && placement.helpers.is_empty() {
            headers.insert(names.urgency.clone(), HeaderValue::from_static(URGENT));
        }
        if let Some(last) = self.relay.last_event_id() {
            headers.insert(names.last_event.clone(), HeaderValue::from(last));
        }
        let own = (placement.reserve > 0).then_some(placement.listing.address);
        let addresses = own.into_iter().chain(placement.helpers.iter().map(|h| h.address));
        let helpers: Vec<_> = addresses.map(|a| (a, tickets.and_then(|t| t.name(a)))).collect();
        if let Some(value) = self.shared.adapters.dialect.helpers(&helpers) {
            headers.insert(names.helpers.clone(), value);
        }
        *request.headers_mut() = headers;
        Some(request)
    }

    /// Whether another endpoint is better than waiting on: one may be tried, and the present one does not just have too much
    /// to do.
    async fn should_leave(&self, key: Key) -> bool {
        if !self.shared.has_retry() {
            return false;
        }
        self.route.repeat == Repeat::Idempotent
            || self.shared.dispatcher.ask(IsSilent(key)).await.unwrap_or_default()
    }

    /// When to think of another endpoint while the head of an answer does not come. What several engines read may be silent
    /// for longer than forecast.
    fn head_limit(&self, sent: Instant, placement: &Placement) -> Instant {
        let awaited = self.route.target.first.max(placement.expected).mul_f64(PATIENCE);
        let patience = match self.route.repeat {
            Repeat::Idempotent => awaited + PATIENCE_EXTRA,
            Repeat::Resumable if placement.helpers.is_empty() => awaited.max(SILENT_MIN),
            _ => return self.deadline,
        };
        if !self.can_repeat(self.runs + 1) {
            return self.deadline;
        }
        self.deadline.min(sent + patience)
    }

    /// Whether an engine answers that another one may replace.
    pub(crate) fn asks_engine(&self) -> bool {
        self.route.repeat == Repeat::Resumable && self.prompt.tokens > 0
    }

    /// Tells the pool that an endpoint failed.
    pub(crate) async fn blame(&self, key: Key) {
        match self.shared.dispatcher.ask(Failed(key)).await {
            Ok(pause) => {
                info!(endpoint:% = key, pause_ms = pause; "endpoint failed; it gets nothing new for a while");
            }
            Err(e) => warn!("the dispatcher does not answer: {e}"),
        }
    }

    async fn classify(&mut self, upstream: Upstream) -> Attempt {
        let names = self.shared.adapters.dialect.names();
        let head = &upstream.head;
        let status = head.status;
        let echo = text(&head.headers, &names.attempt);
        let mine = echo == Some(self.id.as_str());
        let not_run = head.headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST;
        if echo.is_some() && !mine {
            self.blame(upstream.key).await;
            self.runs += 1;
            return Attempt::Unknown("the answer belongs to another request".into());
        }
        if not_run && status != StatusCode::BAD_REQUEST {
            let fault = head
                .headers
                .get(&names.failed_helper)
                .and_then(|v| self.shared.adapters.dialect.failed_helper(v));
            self.blame_refusing(upstream.key, fault, status).await;
            return Attempt::NotRun(format!("refused with status {status}"));
        }
        self.runs += 1;
        if status.is_success() && !(mine && head.headers.contains_key(&names.seal)) {
            self.blame(upstream.key).await;
            return Attempt::Unknown("a success without the endpoint's mark".into());
        }
        Attempt::Begun(Box::new(upstream))
    }

    /// Blames the endpoint that kept a request from running.
    async fn blame_refusing(&self, key: Key, fault: Option<SocketAddr>, status: StatusCode) {
        histogram!("chestnutstage_refused_by_endpoint", "status" => status.as_u16().to_string()).record(1.0);
        match fault {
            Some(address) => {
                let blamed = self.shared.dispatcher.ask(FailedAt(address)).await;
                info!(endpoint:% = address, known = blamed.is_ok(); "a helper kept the request from running");
            }
            None => self.blame(key).await,
        }
    }
}

impl Upstream {
    /// Whether the endpoint answers with a success.
    pub(crate) fn is_success(&self) -> bool {
        self.head.status.is_success()
    }

    /// Whether the endpoint closes the connection after this answer.
    pub(crate) fn closes(&self) -> bool {
        text(&self.head.headers, &CONNECTION).is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// Waits until an engine that sends nothing gives no load report either. An engine that reads a long prompt is silent, but
/// it reports.
pub(crate) async fn until_gone(shared: &Shared, address: SocketAddr) {
    let mut misses = 0;
    while misses < GONE_MISSES {
        if misses == 0 {
            sleep(GONE_SILENCE).await;
        }
        let report = timeout(GONE_LIMIT, shared.adapters.engines.report(address)).await;
        misses = if matches!(report, Ok(Ok(_))) { 0 } else { misses + 1 };
    }
}
