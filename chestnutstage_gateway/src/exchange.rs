//! One request of a caller, from its arrival to the end of its answer.
//!
//! The steps read top to bottom: route and customer, body, then attempts until one gives an answer. An attempt places the
//! request, reserves memory where the placement says so, connects, checks once more that the request may go there, and
//! sends it. What comes back is classified once, in [`Attempt`]: only an outcome that is known as not run may be told so
//! to the caller, and only what may be repeated is sent again after an unknown one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use chestnutstage_core::catalog::{Directory, Repeat, Route};
use chestnutstage_core::ids::{CustomerId, ModelId};
use chestnutstage_core::pool::{Key, Placement, Refusal};
use chestnutstage_core::relay::Relay;
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::request::Parts;
use http::response;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use kameo::error::SendError;
use log::{info, warn};
use metrics::{counter, histogram};
use rand::Rng;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::answer::{Answer, RETRY_SOON, Reason, answer, full};
use crate::channel::{Channel, SendFailure};
use crate::dispatcher::{Ended, Failed, IsOpen, Place};
use crate::outside::Prompt;
use crate::shared::Shared;
use crate::stream;
use crate::tickets::{Tickets, Wanted};

/// Endpoints to which one request is sent, those included that did not run it.
const SENDS_MAX: u32 = 4;
/// Largest answer of a plain service that is read whole before it is passed on, in bytes.
const WHOLE_MAX: usize = 256 << 10;
/// Age of the rules from which a missing route or an unknown key may be due to that age.
const CERTAIN_AGE: Duration = Duration::from_millis(1_900);
/// Time by which the bound on the age of keys is undercut, for the way to the endpoint.
const KEY_MARGIN: Duration = Duration::from_millis(500);
/// Targets for which an idempotent call waits before it is sent to another endpoint.
const PATIENCE: f64 = 2.0;
/// Addition to that, for a network that lost a packet.
const PATIENCE_EXTRA: Duration = Duration::from_millis(80);
/// Silence of an engine after which it is asked for a load report.
const GONE_SILENCE: Duration = Duration::from_secs(1);
/// Time limit of such a report: several round trips between zones.
const GONE_LIMIT: Duration = Duration::from_millis(350);
/// Reports in a row that stay out before the engine counts as gone; one may be lost on the way.
const GONE_MISSES: u32 = 2;
/// Rank of brief prompts in an engine's queue.
const URGENT: &str = "2";

/// Headers that concern one connection alone.
static HOP_BY_HOP: [HeaderName; 7] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

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

/// Counts a request under way.
struct Running(Arc<Shared>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An answer that an endpoint has begun.
pub(crate) struct Upstream {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) channel: Channel,
    pub(crate) key: Key,
    pub(crate) address: SocketAddr,
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

/// One request of a caller.
pub(crate) struct Exchange {
    pub(crate) shared: Arc<Shared>,
    pub(crate) id: String,
    pub(crate) route: Route,
    pub(crate) deadline: Instant,
    pub(crate) relay: Relay,
    pub(crate) runs: u32,
    parts: Parts,
    body: Bytes,
    service: ModelId,
    key: Option<String>,
    customer: Option<CustomerId>,
    prompt: Prompt,
    arrived: Instant,
    sends: u32,
    tried: Vec<Key>,
    _running: Running,
}

/// Answers one request of a caller.
pub(crate) async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Answer {
    let arrived = Instant::now();
    shared.running.fetch_add(1, Ordering::Relaxed);
    let running = Running(shared.clone());
    let (parts, body) = request.into_parts();
    let id = text(&parts.headers, &shared.adapters.dialect.names().attempt).unwrap_or_default().to_owned();
    match Exchange::begin(shared, id.clone(), parts, body, arrived, running).await {
        Ok(exchange) => exchange.run().await,
        Err((reason, retry)) => {
            info!(request = id, status = reason.to_string(); "refused before placement");
            counter!("chestnutstage_refused_total", "reason" => reason.to_string()).increment(1);
            answer(reason, retry)
        }
    }
}

type Refused = (Reason, Option<Duration>);

/// Text of a header.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim)
}

/// Drops headers that concern one connection alone.
pub(crate) fn drop_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

impl Exchange {
    async fn begin(
        shared: Arc<Shared>,
        id: String,
        mut parts: Parts,
        body: Incoming,
        arrived: Instant,
        running: Running,
    ) -> Result<Self, Refused> {
        let directory = shared.knowledge.directory().ok_or((Reason::Unready, Some(RETRY_SOON)))?;
        let route = find_route(&shared, &directory, &parts)?.clone();
        let names = shared.adapters.dialect.names();
        let key = text(&parts.headers, &names.key).map(str::to_owned);
        let customer = find_customer(&shared, &directory, &route, key.as_deref())?;
        let service = route.service(id.as_bytes()).cloned().ok_or((Reason::Unready, Some(RETRY_SOON)))?;
        let remaining = text(&parts.headers, &names.remaining).and_then(|t| t.parse().ok());
        let remaining = remaining.map_or(route.timeout, Duration::from_millis);
        let deadline = arrived + remaining.min(route.timeout);
        let prompt = shared.adapters.dialect.prompt(&parts.headers);
        let prompt = prompt.unwrap_or(Prompt { tokens: 0, output: 0 });
        drop_hop_by_hop(&mut parts.headers);
        for name in [&names.key, &names.customer, &names.expected, &names.helpers, &CONTENT_LENGTH, &EXPECT] {
            parts.headers.remove(name);
        }
        let body = read_body(body, directory.limits().body, deadline).await?;
        shared.earn_retries();
        Ok(Self {
            shared,
            id,
            route,
            deadline,
            relay: Relay::default(),
            runs: 0,
            parts,
            body,
            service,
            key,
            customer,
            prompt,
            arrived,
            sends: 0,
            tried: Vec::new(),
            _running: running,
        })
    }

    /// Tries endpoints until one answers.
    async fn run(mut self) -> Answer {
        loop {
            match self.attempt().await {
                Attempt::Begun(upstream) if self.route.repeat.is_stream() && upstream.is_success() => {
                    return stream::answer(self, upstream);
                }
                Attempt::Begun(upstream) => {
                    if let Some(answer) = self.take_whole(upstream).await {
                        return answer;
                    }
                }
                Attempt::NotRun(why) => {
                    info!(request = self.id, cause = why; "not run; another endpoint is tried");
                    if let Some(answer) = self.after_not_run() {
                        return answer;
                    }
                }
                Attempt::Unknown(why) => {
                    warn!(request = self.id, cause = why; "outcome unknown");
                    if !self.may_repeat() {
                        return self.fail();
                    }
                }
                Attempt::Refused(refusal) => return self.refuse(&refusal),
                Attempt::Barred(answer) => return answer,
            }
        }
    }

    /// Answers a request whose outcome is unknown.
    fn fail(&self) -> Answer {
        let reason = if Instant::now() >= self.deadline { Reason::Timeout } else { Reason::Unknown };
        self.log_end(reason);
        answer(reason, None)
    }

    fn refuse(&self, refusal: &Refusal) -> Answer {
        info!(
            request = self.id, route = self.route.name, tokens = self.prompt.tokens, cause:% = refusal.cause,
            retry:? = refusal.retry; "refused"
        );
        counter!("chestnutstage_refused_total", "reason" => refusal.cause.to_string()).increment(1);
        answer(Reason::Overloaded, Some(refusal.retry))
    }

    fn after_not_run(&mut self) -> Option<Answer> {
        let late = Instant::now() >= self.deadline;
        if late || self.sends >= SENDS_MAX || (self.sends > 0 && !self.shared.may_retry()) {
            self.log_end(Reason::Overloaded);
            return Some(answer(Reason::Overloaded, Some(RETRY_SOON)));
        }
        None
    }

    /// Whether the request may be sent again after an attempt that may have run.
    pub(crate) fn may_repeat(&mut self) -> bool {
        self.route.repeat.is_repeatable()
            && self.runs < self.route.attempts
            && self.sends < SENDS_MAX
            && Instant::now() < self.deadline
            && self.shared.may_retry()
    }

    fn log_end(&self, reason: Reason) {
        let took = self.arrived.elapsed().as_millis() as u64;
        warn!(
            request = self.id, route = self.route.name, reason:% = reason, sends = self.sends, ms = took;
            "gave up"
        );
        counter!("chestnutstage_failed_total", "reason" => reason.to_string()).increment(1);
    }

    /// Sends the request to one endpoint.
    pub(crate) async fn attempt(&mut self) -> Attempt {
        let placement = match self.place().await {
            Ok(placement) => placement,
            Err(refusal) => return Attempt::Refused(refusal),
        };
        let granted = Granted { shared: self.shared.clone(), number: placement.number };
        info!(
            request = self.id, route = self.route.name, endpoint:% = placement.listing.id,
            tokens = self.prompt.tokens, helpers = placement.helpers.len(), tickets = placement.reserve > 0,
            parts = format!("{:?}", placement.ranks),
            expected_ms = placement.expected.as_millis() as u64; "placed"
        );
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
        self.sends += 1;
        let limit = self.head_limit(sent, placement.expected);
        let address = placement.listing.address;
        let answered = tokio::select! {
            answered = timeout_at(limit, channel.send(request)) => answered,
            () = until_gone(&self.shared, address), if self.asks_engine() => {
                self.blame(placement.key).await;
                self.runs += 1;
                return Attempt::Unknown(format!("{} is gone", placement.listing.id));
            }
        };
        let response = match answered {
            Ok(Ok(response)) => response,
            Ok(Err(SendFailure::NotSent(why))) => {
                self.sends -= 1;
                return Attempt::NotRun(format!("{} closed the connection: {why}", placement.listing.id));
            }
            Ok(Err(SendFailure::Unknown(why))) => {
                self.blame(placement.key).await;
                self.runs += 1;
                return Attempt::Unknown(format!("{}: {why}", placement.listing.id));
            }
            Err(_) => {
                self.blame(placement.key).await;
                self.runs += 1;
                return Attempt::Unknown(format!("no answer of {} in time", placement.listing.id));
            }
        };
        let (head, body) = response.into_parts();
        let upstream = Upstream {
            head,
            body,
            channel,
            key: placement.key,
            address,
            granted,
            _tickets: tickets,
            sent,
            expected: placement.expected,
        };
        self.classify(upstream).await
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
                Err(Refusal { cause: chestnutstage_core::pool::Cause::NoEndpoint, retry: RETRY_SOON })
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
        let reserved = Tickets::reserve(&self.shared.adapters.engines, &self.shared.life, wanted).await;
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
        if let Some(last) = self.relay.last() {
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

    /// When to stop waiting for the head of an answer.
    fn head_limit(&self, sent: Instant, expected: Duration) -> Instant {
        if self.route.repeat != Repeat::Idempotent || self.runs + 1 >= self.route.attempts {
            return self.deadline;
        }
        let patience = self.route.target.first.max(expected).mul_f64(PATIENCE) + PATIENCE_EXTRA;
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
            let fault = head.headers.get(&names.fault).and_then(|v| self.shared.adapters.dialect.fault(v));
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
                let blamed = self.shared.dispatcher.ask(crate::dispatcher::FailedAt(address)).await;
                info!(endpoint:% = address, known = blamed.is_ok(); "a helper kept the request from running");
            }
            None => self.blame(key).await,
        }
    }

    /// Reads an answer whole and passes it on; gives nothing if the request is to be tried again.
    async fn take_whole(&mut self, upstream: Box<Upstream>) -> Option<Answer> {
        let closes = upstream.closes();
        let Upstream { mut head, body, channel, key, granted: _granted, .. } = *upstream;
        let read = timeout_at(self.deadline, Limited::new(body, WHOLE_MAX).collect()).await;
        let bytes = match read {
            Ok(Ok(collected)) => collected.to_bytes(),
            Ok(Err(e)) => {
                warn!(request = self.id; "the answer broke off: {e}");
                self.blame(key).await;
                return (!self.may_repeat()).then(|| self.fail());
            }
            Err(_) => return Some(self.fail()),
        };
        if !closes {
            self.shared.channels.put(key, channel);
        }
        if head.status.is_server_error() && self.route.repeat == Repeat::Idempotent && self.may_repeat() {
            info!(request = self.id, status = head.status.as_u16(); "the endpoint failed; another one is tried");
            return None;
        }
        if promises_not_run(head.status) {
            // Only the endpoint's own mark says that a request did not run; this answer has none.
            return Some(self.fail());
        }
        drop_hop_by_hop(&mut head.headers);
        if self.parts.method != Method::HEAD {
            head.headers.remove(CONTENT_LENGTH);
        }
        let took = self.arrived.elapsed();
        info!(request = self.id, status = head.status.as_u16(), ms = took.as_millis() as u64; "answered");
        histogram!("chestnutstage_answer_seconds").record(took.as_secs_f64());
        Some(Response::from_parts(head, full(bytes)))
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

/// Whether a status promises that the request did not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

impl Upstream {
    fn is_success(&self) -> bool {
        self.head.status.is_success()
    }

    /// Whether the endpoint closes the connection after this answer.
    pub(crate) fn closes(&self) -> bool {
        text(&self.head.headers, &CONNECTION).is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

fn find_route<'a>(shared: &Shared, directory: &'a Directory, parts: &Parts) -> Result<&'a Route, Refused> {
    let host = text(&parts.headers, &HOST).or_else(|| parts.uri.host()).unwrap_or_default();
    directory.route(host, parts.uri.path()).ok_or_else(|| uncertain(shared, Reason::NoRoute))
}

/// The reason, unless what is known is so old that it may be wrong.
fn uncertain(shared: &Shared, reason: Reason) -> Refused {
    if shared.knowledge.rules_age() > CERTAIN_AGE {
        return (Reason::Unready, Some(RETRY_SOON));
    }
    (reason, None)
}

fn find_customer(
    shared: &Shared,
    directory: &Directory,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<CustomerId>, Refused> {
    if !directory.asks_keys() {
        return Ok(None);
    }
    let bound = shared.settings.bounds.keys().saturating_sub(KEY_MARGIN);
    let account = key.and_then(|key| directory.customer(key));
    if account.is_none() && route.anonymous {
        return Ok(None);
    }
    if shared.knowledge.rules_age() > bound {
        return Err((Reason::Unready, Some(RETRY_SOON)));
    }
    match account {
        Some(account) => Ok(Some(account.id.clone())),
        None => Err(uncertain(shared, Reason::UnknownKey)),
    }
}

async fn read_body(body: Incoming, limit: usize, deadline: Instant) -> Result<Bytes, Refused> {
    match timeout_at(deadline, Limited::new(body, limit).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err((Reason::TooLarge, None)),
        Ok(Err(_)) => Err((Reason::Malformed, None)),
        Err(_) => Err((Reason::Overloaded, Some(RETRY_SOON))),
    }
}

/// Headers that are the gateway's own to set on an answer.
pub(crate) fn drop_own(headers: &mut HeaderMap) {
    drop_hop_by_hop(headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(RETRY_AFTER);
}
