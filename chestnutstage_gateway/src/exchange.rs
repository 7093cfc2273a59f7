//! One request of a caller, from its arrival to the end of its answer.
//!
//! The steps read top to bottom: route and customer, body, then attempts until one gives an answer. Only an outcome that is
//! known as not run may be told so to the caller, and only what may be repeated is sent again after an unknown one.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use chestnutstage_core::catalog::{Repeat, Route};
use chestnutstage_core::ids::{CustomerId, ModelId};
use chestnutstage_core::pool::{Key, Refusal};
use chestnutstage_core::relay::Relay;
use http::header::{CONTENT_LENGTH, EXPECT};
use http::request::Parts;
use http::response;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as _, Incoming};
use log::{info, warn};
use metrics::{counter, histogram};
use tokio::time::{Instant, timeout_at};

use crate::admission::{Refused, find_customer, find_route, read_body};
use crate::answer::{Answer, RETRY_SOON, Reason, answer, full};
use crate::attempt::{Attempt, Upstream};
use crate::external::Prompt;
use crate::headers::{drop_hop_by_hop, text};
use crate::shared::Shared;
use crate::stream;

/// Endpoints to which one request is sent, those included that did not run it.
const SENDS_MAX: u32 = 4;
/// Endpoints on which one request is placed, those included that could not be reached or had no memory.
const TRIES_MAX: usize = 6;
/// Largest answer of a plain service that is read whole before it is passed on, in bytes.
const WHOLE_MAX: usize = 1 << 20;

/// Counts a request under way.
struct Running(Arc<Shared>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// One request of a caller.
pub(crate) struct Exchange {
    pub(crate) shared: Arc<Shared>,
    pub(crate) id: String,
    pub(crate) route: Route,
    pub(crate) deadline: Instant,
    pub(crate) relay: Relay,
    pub(crate) runs: u32,
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) service: ModelId,
    pub(crate) key: Option<String>,
    pub(crate) customer: Option<CustomerId>,
    pub(crate) prompt: Prompt,
    pub(crate) arrived: Instant,
    pub(crate) sends: u32,
    /// Failure that an endpoint answered, kept while another one is tried.
    pub(crate) spare: Option<(response::Parts, Bytes)>,
    pub(crate) tried: Vec<Key>,
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
            spare: None,
            tried: Vec::new(),
            _running: running,
        })
    }

    /// Tries endpoints until one answers.
    async fn run(mut self) -> Answer {
        loop {
            match self.attempt().await {
                Attempt::Begun(upstream) if upstream.is_success() && self.passes_through(&upstream) => {
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
                // Its answer says that the request did not run, which holds only for a first attempt.
                Attempt::Barred(_) if self.runs > 0 => return self.fail(),
                Attempt::Barred(answer) => return answer,
            }
        }
    }

    /// Whether an answer is passed on as it comes: events, and bodies that are too large to be kept.
    fn passes_through(&self, upstream: &Upstream) -> bool {
        self.route.repeat.is_stream() || upstream.body.size_hint().lower() > WHOLE_MAX as u64
    }

    /// Answers a request whose outcome is unknown, with what an endpoint said of it if one did.
    fn fail(&mut self) -> Answer {
        if let Some((head, bytes)) = self.spare.take() {
            return Response::from_parts(head, full(bytes));
        }
        let reason = if Instant::now() >= self.deadline { Reason::Timeout } else { Reason::Unknown };
        self.log_end(reason);
        answer(reason, None)
    }

    /// Answers a request that no endpoint takes: not run, unless an earlier attempt may have run.
    fn refuse(&mut self, refusal: &Refusal) -> Answer {
        if self.runs > 0 {
            return self.fail();
        }
        info!(
            request = self.id, route = self.route.name, tokens = self.prompt.tokens, cause:% = refusal.cause,
            retry:? = refusal.retry; "refused"
        );
        counter!("chestnutstage_refused_total", "reason" => refusal.cause.to_string()).increment(1);
        answer(Reason::Overloaded, Some(refusal.retry))
    }

    fn after_not_run(&mut self) -> Option<Answer> {
        let over = Instant::now() >= self.deadline || self.tried.len() >= TRIES_MAX;
        if over || self.sends >= SENDS_MAX || (self.sends > 0 && !self.shared.take_retry()) {
            if self.runs > 0 {
                return Some(self.fail());
            }
            self.log_end(Reason::Overloaded);
            return Some(answer(Reason::Overloaded, Some(RETRY_SOON)));
        }
        None
    }

    /// Whether the request may be sent again after an attempt that may have run; takes a retry from the budget.
    pub(crate) fn may_repeat(&mut self) -> bool {
        self.can_repeat(self.runs) && self.shared.take_retry()
    }

    /// Whether the request could be sent again after `runs` attempts that may have run, but for the budget.
    pub(crate) fn can_repeat(&self, runs: u32) -> bool {
        self.route.repeat.is_repeatable()
            && runs < self.route.attempts
            && self.sends < SENDS_MAX
            && Instant::now() < self.deadline
    }

    fn log_end(&self, reason: Reason) {
        let took = self.arrived.elapsed().as_millis() as u64;
        warn!(
            request = self.id, route = self.route.name, reason:% = reason, sends = self.sends, ms = took;
            "gave up"
        );
        counter!("chestnutstage_failed_total", "reason" => reason.to_string()).increment(1);
    }

    /// Reads an answer whole and passes it on; gives nothing if the request is to be tried again.
    async fn take_whole(&mut self, upstream: Box<Upstream>) -> Option<Answer> {
        let closes = upstream.closes();
        let Upstream { mut head, body, channel, key, idle_share, granted: _granted, .. } = *upstream;
        let read = timeout_at(self.deadline, Limited::new(body, WHOLE_MAX).collect()).await;
        let bytes = match read {
            Ok(Ok(collected)) => collected.to_bytes(),
            Ok(Err(e)) => {
                warn!(request = self.id; "the answer broke off: {e}");
                self.blame(key).await;
                return if self.may_repeat() { None } else { Some(self.fail()) };
            }
            Err(_) => return Some(self.fail()),
        };
        if !closes {
            self.shared.channels.put(key, channel, idle_share);
        }
        let failed = head.status.is_server_error() && self.route.repeat == Repeat::Idempotent;
        if promises_not_run(head.status) {
            // Only the endpoint's own mark says that a request did not run; this answer has none.
            return Some(self.fail());
        }
        drop_hop_by_hop(&mut head.headers);
        if self.parts.method != Method::HEAD {
            head.headers.remove(CONTENT_LENGTH);
        }
        if failed && self.may_repeat() {
            info!(request = self.id, status = head.status.as_u16(); "the endpoint failed; another one is tried");
            self.spare = Some((head, bytes));
            return None;
        }
        let took = self.arrived.elapsed();
        info!(request = self.id, status = head.status.as_u16(), ms = took.as_millis() as u64; "answered");
        histogram!("chestnutstage_answer_seconds").record(took.as_secs_f64());
        Some(Response::from_parts(head, full(bytes)))
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
