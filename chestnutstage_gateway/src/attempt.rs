//! One attempt to serve a request: a single sending to an endpoint.
//!
//! An attempt places the request, reserves memory if the placement requires it, connects, checks again that the request
//! may be sent, and sends it. Its outcome is classified in one place, as an [`Attempt`].

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chestnutstage_core::catalog::Repeat;
use chestnutstage_core::ids::InstanceId;
use chestnutstage_core::pool::{Key, Placement, Refusal};
use chestnutstage_core::quarantine::Evidence;
use derive_more::Display;
use futures::FutureExt;
use futures::future::{BoxFuture, pending};
use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming};
use log::info;
use metrics::histogram;
use rand::Rng;
use tokio::time::{Instant, timeout_at};

use crate::admission::{Rejection, find_customer};
use crate::channel::{Channel, SendFailure};
use crate::dispatcher::{IsOpen, Place};
use crate::exchange::Exchange;
use crate::headers::header_text;
use crate::liveness::{LivenessProbe, Reachability};
use crate::placer::{GrantGuard, Placed};
use crate::reservations::{ReservationRequest, Reservations};
use crate::response::{DEFAULT_RETRY_DELAY, Reason};

/// Shortest time without data after which an endpoint counts as stalled.
pub(crate) const STALL_TIMEOUT_MIN: Duration = Duration::from_secs(1);
/// Timeout for the response head before a request is sent to another endpoint, as a multiple of the target or of the
/// expected time, whichever is longer.
const HEAD_TIMEOUT_FACTOR: f64 = 2.0;
/// Slack added to the timeout for the response head of idempotent requests; covers the retransmission of a lost packet.
const RETRANSMISSION_SLACK: Duration = Duration::from_millis(80);
/// Interval at which failover is considered again for a request that keeps waiting.
const FAILOVER_RECHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Attempts to find another endpoint while one is silent; each may take a retry from the budget.
pub(crate) const FAILOVERS_MAX: u32 = 2;
/// Rank of brief prompts in an engine's queue, as sent in the urgency header.
const BRIEF_URGENCY: &str = "2";

/// A response that an endpoint has started to send.
pub(crate) struct Upstream {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) channel: Channel,
    pub(crate) key: Key,
    pub(crate) address: SocketAddr,
    pub(crate) probe: LivenessProbe,
    /// Number of idle connections that may be kept to the endpoint.
    pub(crate) idle_share: usize,
    pub(crate) grant: GrantGuard,
    pub(crate) reservations: Option<Reservations>,
    pub(crate) sent: Instant,
    pub(crate) expected: Duration,
}

/// Outcome of one attempt.
#[derive(Display)]
pub(crate) enum Attempt {
    /// The endpoint responds.
    #[display("response")]
    Responded(Box<Upstream>),
    /// The request did not run and can be sent to another endpoint.
    NotRun(String),
    /// The request may have run.
    Unknown(String),
    /// The request can't be placed on any endpoint.
    Refused(Refusal),
    /// The gateway must not send the request.
    #[display("{}", _0.0)]
    Rejected(Rejection),
}

/// Connection on which a request was sent, and the head of the response.
type Sent = (Channel, Result<Response<Incoming>, SendFailure>);

/// A request that is being sent to an endpoint, or waits for the head of its response.
struct PendingSend {
    sending: BoxFuture<'static, Sent>,
    placement: Placement,
    grant: GrantGuard,
    reservations: Option<Reservations>,
    idle_share: usize,
    probe: LivenessProbe,
    /// Whether the silence was reported as a failure.
    reported: bool,
    sent: Instant,
}

/// What ended a wait for the head of a response.
enum HeadWait {
    /// The endpoint responded, or the connection failed.
    Ended(Sent),
    /// The endpoint is silent; another one may be tried.
    Late,
    /// The endpoint has not been reachable for long.
    Unreachable,
    /// The deadline has passed.
    Expired,
}

/// Outcome of a race between a silent endpoint and another one.
enum Race {
    /// The silent endpoint responded first.
    First(Sent),
    /// The other endpoint responded first.
    Other(Attempt),
    /// The silent endpoint is lost, and the other one did not take over.
    Lost,
    /// The other endpoint did not take over.
    None,
}

/// How the wait for a silent endpoint ended during a race.
enum FirstEnd {
    /// It sent a response that is no success, or the connection failed.
    Sent(Sent),
    /// It has not been reachable for long.
    Lost,
}

impl PendingSend {
    /// Closes the connection and releases the reserved memory.
    fn abandon(&mut self) {
        self.sending = pending().boxed();
        self.reservations = None;
    }
}

impl Exchange {
    /// Places the request, sends it to the endpoint and waits for the head of the response.
    pub(crate) async fn attempt(&mut self) -> Attempt {
        match self.begin_send().await {
            Ok(pending) => self.await_head(pending).await,
            Err(attempt) => attempt,
        }
    }

    /// Places the request and starts to send it. From here on it counts as possibly run, also if the attempt is dropped.
    async fn begin_send(&mut self) -> Result<PendingSend, Attempt> {
        self.shared.check_parts(&self.id, &self.shared_parts).map_err(Attempt::Refused)?;
        let Placed { placement, grant, planner } = self.place().await.map_err(Attempt::Refused)?;
        self.log_placed(&placement, planner.as_ref());
        self.tried.push(placement.key);
        let reservations = self.reserve(&placement).await.map_err(Attempt::NotRun)?;
        let once = !self.route.repeat.is_repeatable();
        let connected = self.shared.channels.get(placement.key, placement.listing.address, once).await;
        let mut channel = match connected {
            Ok(channel) => channel,
            Err(e) => {
                self.shared.report_failure(placement.key).await;
                return Err(Attempt::NotRun(format!("failed to connect to {}: {e}", placement.listing.id)));
            }
        };
        if let Some(rejected) = self.recheck(placement.key, planner.is_some()).await {
            return Err(rejected);
        }
        self.shared.admit_parts(&self.id, &self.shared_parts).map_err(Attempt::Refused)?;
        let request = self.request(&placement, reservations.as_ref());
        let request = request.ok_or(Attempt::Rejected((Reason::Malformed, None)))?;
        self.sends += 1;
        self.possible_runs += 1;
        let sending = async move {
            let result = channel.send(request).await;
            (channel, result)
        };
        Ok(PendingSend {
            sending: sending.boxed(),
            idle_share: self.shared.idle_share(&placement.listing),
            probe: LivenessProbe::new(&self.shared.adapters.engines, placement.listing.address),
            placement,
            grant,
            reservations,
            reported: false,
            sent: Instant::now(),
        })
    }

    fn log_placed(&self, placement: &Placement, planner: Option<&InstanceId>) {
        let planner = planner.unwrap_or(&self.shared.settings.instance.name);
        info!(
            request = self.id, route = self.route.name, endpoint:% = placement.listing.id,
            tokens = self.prompt.tokens, helpers = placement.helpers.len(), tickets = placement.reserve > 0,
            parts = format!("{:?}", placement.ranks),
            planner:%, expected_ms = placement.expected.as_millis() as u64; "placed"
        );
    }

    /// Waits for the head of the response. While the endpoint is silent, others are tried; its connection is kept until one of
    /// them responds.
    async fn await_head(&mut self, mut pending: PendingSend) -> Attempt {
        let mut head_deadline = self.head_deadline(&pending);
        let mut failovers = 0;
        loop {
            let outcome = tokio::select! {
                biased;
                sent = timeout_at(head_deadline, &mut pending.sending) => match sent {
                    Ok(sent) => HeadWait::Ended(sent),
                    Err(_) if Instant::now() >= self.deadline => HeadWait::Expired,
                    Err(_) => HeadWait::Late,
                },
                reachability = pending.probe.watch(), if self.probes_engine() => match reachability {
                    Reachability::Suspect => HeadWait::Late,
                    Reachability::Lost => HeadWait::Unreachable,
                },
            };
            match outcome {
                HeadWait::Ended(sent) => return self.accept_head(pending, sent).await,
                HeadWait::Expired => return self.give_up(pending, "did not respond in time").await,
                HeadWait::Unreachable => return self.give_up(pending, "does not answer load probes").await,
                HeadWait::Late => {
                    head_deadline = self.deadline.min(Instant::now() + FAILOVER_RECHECK_INTERVAL);
                    if failovers < FAILOVERS_MAX
                        && self.should_fail_over(pending.placement.key, pending.probe.is_suspect()).await
                    {
                        failovers += 1;
                        match self.race_another(&mut pending).await {
                            Race::First(sent) => return self.accept_head(pending, sent).await,
                            Race::Other(attempt) => return attempt,
                            Race::Lost => return self.give_up(pending, "does not answer load probes").await,
                            Race::None => {}
                        }
                    }
                }
            }
        }
    }

    /// Sends the request to another endpoint as well, and waits for the first success. A failure of one of the two does not end
    /// the other.
    async fn race_another(&mut self, pending: &mut PendingSend) -> Race {
        if !self.may_repeat() {
            return Race::None;
        }
        if !std::mem::replace(&mut pending.reported, true) {
            self.shared.report_failure(pending.placement.key).await;
        }
        info!(
            request = self.id, endpoint:% = pending.placement.listing.id;
            "endpoint is silent; trying another one beside it"
        );
        let sends = self.sends;
        let probed = self.probes_engine();
        let (first, attempt) = {
            let mut first = None;
            let mut attempt = Box::pin(self.attempt());
            loop {
                tokio::select! {
                    biased;
                    sent = &mut pending.sending, if first.is_none() => {
                        if is_success(&sent) {
                            return Race::First(sent);
                        }
                        first = Some(FirstEnd::Sent(sent));
                    }
                    reachability = pending.probe.watch(), if probed && first.is_none() => {
                        if reachability == Reachability::Lost {
                            pending.abandon();
                            first = Some(FirstEnd::Lost);
                        }
                    }
                    attempt = &mut attempt => break (first, attempt),
                }
            }
        };
        if self.sends == sends {
            self.shared.return_retry();
        }
        match (first, attempt) {
            (Some(end), Attempt::Responded(other)) => {
                match end {
                    FirstEnd::Sent((_, Err(SendFailure::NotSent(_)))) => {
                        self.sends -= 1;
                        self.possible_runs -= 1;
                    }
                    FirstEnd::Sent((_, Err(SendFailure::Unknown(_)))) => {
                        let Placement { key, listing, .. } = &pending.placement;
                        self.record_broken(*key, listing.address, Evidence::Waiting);
                    }
                    FirstEnd::Sent((_, Ok(_))) | FirstEnd::Lost => {}
                }
                Race::Other(Attempt::Responded(other))
            }
            (Some(FirstEnd::Sent(sent)), _) => Race::First(sent),
            (Some(FirstEnd::Lost), _) => Race::Lost,
            (None, Attempt::Responded(other)) if !other.head.status.is_server_error() => {
                Race::Other(Attempt::Responded(other))
            }
            (None, Attempt::Responded(other)) => {
                self.keep_fallback(other).await;
                Race::None
            }
            (None, other) => {
                info!(
                    request = self.id, cause = other.to_string();
                    "no other endpoint took over; waiting for the first"
                );
                Race::None
            }
        }
    }

    /// Ends the wait for an endpoint that may have run the request.
    async fn give_up(&self, pending: PendingSend, cause: &str) -> Attempt {
        if !pending.reported {
            self.shared.report_failure(pending.placement.key).await;
        }
        Attempt::Unknown(format!("{} {cause}", pending.placement.listing.id))
    }

    async fn accept_head(&mut self, pending: PendingSend, (channel, result): Sent) -> Attempt {
        let PendingSend { placement, grant, reservations, idle_share, sent, .. } = pending;
        let id = &placement.listing.id;
        let (head, body) = match result {
            Ok(response) => response.into_parts(),
            Err(SendFailure::NotSent(cause)) => {
                self.sends -= 1;
                self.possible_runs -= 1;
                return Attempt::NotRun(format!("request not sent to {id}: {cause}"));
            }
            Err(SendFailure::Unknown(cause)) => {
                self.record_broken(placement.key, placement.listing.address, Evidence::Waiting);
                self.shared.report_failure(placement.key).await;
                return Attempt::Unknown(format!("{id}: {cause}"));
            }
        };
        self.shared.record_withdrawal(placement.key, &head).await;
        let upstream = Upstream {
            head,
            body,
            channel,
            key: placement.key,
            address: placement.listing.address,
            idle_share,
            grant,
            reservations,
            probe: LivenessProbe::new(&self.shared.adapters.engines, placement.listing.address),
            sent,
            expected: placement.expected,
        };
        self.classify(upstream).await
    }

    async fn place(&self) -> Result<Placed, Refusal> {
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
        self.shared.place(place).await
    }

    /// Reserves the memory that a placement needs.
    async fn reserve(&self, placement: &Placement) -> Result<Option<Reservations>, String> {
        let mut requests = Vec::new();
        if placement.reserve > 0 {
            requests
                .push(ReservationRequest { address: placement.listing.address, tokens: placement.reserve });
        }
        let helpers = placement.helpers.iter().filter(|h| h.reserve > 0);
        requests.extend(helpers.map(|h| ReservationRequest { address: h.address, tokens: h.reserve }));
        if requests.is_empty() {
            return Ok(None);
        }
        let reserved =
            Reservations::reserve(&self.shared.adapters.engines, &self.shared.incarnation, requests).await;
        reserved.map(Some).map_err(|failed| format!("KV memory not reserved at {failed:?}"))
    }

    /// Checks again, right before the send, what may have changed since the placement.
    async fn recheck(&self, key: Key, unlisted: bool) -> Option<Attempt> {
        if !self.shared.dispatcher.ask(IsOpen { key, unlisted }).await.unwrap_or(false) {
            return Some(Attempt::NotRun("the endpoint no longer accepts requests".into()));
        }
        let Some(directory) = self.shared.store_cache.directory() else {
            return Some(Attempt::Rejected((Reason::ConfigurationUnknown, Some(DEFAULT_RETRY_DELAY))));
        };
        match find_customer(&self.shared, &directory, &self.route, self.key.as_deref()) {
            Ok(customer) if customer == self.customer => None,
            // The key has moved to another customer since the request was admitted.
            Ok(_) => Some(Attempt::Rejected((Reason::ConfigurationUnknown, Some(DEFAULT_RETRY_DELAY)))),
            Err(rejection) => Some(Attempt::Rejected(rejection)),
        }
    }

    /// Builds the request that is sent to the endpoint.
    fn request(
        &self,
        placement: &Placement,
        reservations: Option<&Reservations>,
    ) -> Option<Request<Full<Bytes>>> {
        let names = self.shared.adapters.header_format.names();
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = self.parts.uri.clone();
        let mut headers = self.parts.headers.clone();
        let remaining_ms = self.deadline.saturating_duration_since(Instant::now()).as_millis();
        headers.insert(names.remaining.clone(), HeaderValue::from_str(&remaining_ms.to_string()).ok()?);
        let expected = HeaderValue::from_str(placement.listing.id.as_str()).ok()?;
        headers.insert(names.expected.clone(), expected);
        if let Some(customer) = &self.customer {
            headers.insert(names.customer.clone(), HeaderValue::from_str(customer.as_str()).ok()?);
        }
        if self.route.repeat.is_stream() && placement.helpers.is_empty() {
            headers.insert(names.urgency.clone(), HeaderValue::from_static(BRIEF_URGENCY));
        }
        if let Some(last) = self.relay.last_event_id() {
            headers.insert(names.last_event.clone(), HeaderValue::from(last));
        }
        let own = (placement.reserve > 0).then_some(placement.listing.address);
        let addresses = own.into_iter().chain(placement.helpers.iter().map(|h| h.address));
        let helpers: Vec<_> = addresses.map(|a| (a, reservations.and_then(|r| r.name(a)))).collect();
        if let Some(value) = self.shared.adapters.header_format.helpers(&helpers) {
            headers.insert(names.helpers.clone(), value);
        }
        *request.headers_mut() = headers;
        Some(request)
    }

    /// Whether to fail over instead of waiting longer: a retry is available and, unless the request is idempotent, the endpoint
    /// is unresponsive rather than merely busy.
    async fn should_fail_over(&self, key: Key, suspect: bool) -> bool {
        if !self.can_repeat(self.possible_runs) || !self.shared.has_retry() {
            return false;
        }
        self.route.repeat == Repeat::Idempotent || suspect || self.shared.is_unresponsive(key).await
    }

    /// When to consider failover if the response head has not arrived. A prompt that several engines read waits until its
    /// deadline, as its prefill may send nothing for longer than forecast.
    fn head_deadline(&self, pending: &PendingSend) -> Instant {
        let PendingSend { placement, sent, .. } = pending;
        let base = self.route.target.first.max(placement.expected).mul_f64(HEAD_TIMEOUT_FACTOR);
        let wait = match self.route.repeat {
            Repeat::Idempotent => base + RETRANSMISSION_SLACK,
            Repeat::Resumable if placement.helpers.is_empty() => base.max(STALL_TIMEOUT_MIN),
            _ => return self.deadline,
        };
        if !self.can_repeat(self.possible_runs) {
            return self.deadline;
        }
        self.deadline.min(*sent + wait)
    }

    /// Whether the engine is probed during the request: only if another engine may take over.
    pub(crate) fn probes_engine(&self) -> bool {
        self.route.repeat == Repeat::Resumable && self.prompt.tokens > 0
    }

    async fn classify(&mut self, upstream: Upstream) -> Attempt {
        let names = self.shared.adapters.header_format.names();
        let head = &upstream.head;
        let status = head.status;
        let echo = header_text(&head.headers, &names.attempt);
        let id_matches = echo == Some(self.id.as_str());
        let not_run = head.headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST;
        if echo.is_some() && !id_matches {
            self.shared.report_failure(upstream.key).await;
            return Attempt::Unknown(format!("{} sent the response to another request", upstream.address));
        }
        if not_run && status != StatusCode::BAD_REQUEST {
            let failed_helper = head
                .headers
                .get(&names.failed_helper)
                .and_then(|v| self.shared.adapters.header_format.failed_helper(v));
            self.report_refusal(upstream.key, failed_helper, status).await;
            self.possible_runs -= 1;
            return Attempt::NotRun(format!("{} refused the request with status {status}", upstream.address));
        }
        if status.is_success() && !(id_matches && head.headers.contains_key(&names.seal)) {
            self.shared.report_failure(upstream.key).await;
            return Attempt::Unknown(format!(
                "{} sent a success response without its seal",
                upstream.address
            ));
        }
        Attempt::Responded(Box::new(upstream))
    }

    /// Reports a failure of the endpoint or helper that prevented a request from running.
    async fn report_refusal(&self, key: Key, failed_helper: Option<SocketAddr>, status: StatusCode) {
        histogram!("chestnutstage_refused_by_endpoint", "status" => status.as_u16().to_string()).record(1.0);
        match failed_helper {
            Some(address) => {
                let known = self.shared.report_failure_at(address).await;
                info!(endpoint:% = address, known; "a helper prevented the request from running");
            }
            None => self.shared.report_failure(key).await,
        }
    }
}

impl Upstream {
    /// Whether the response has a success status.
    pub(crate) fn is_success(&self) -> bool {
        self.head.status.is_success()
    }

    /// Whether only the end of the connection marks the end of the body.
    pub(crate) fn ends_with_connection(&self) -> bool {
        !self.head.headers.contains_key(CONTENT_LENGTH) && !self.head.headers.contains_key(TRANSFER_ENCODING)
    }

    /// Reads the next data of the body; `None` at its end.
    pub(crate) async fn next_data(&mut self) -> Option<hyper::Result<Bytes>> {
        next_data(&mut self.body, &self.channel).await
    }

    /// Whether the endpoint closes the connection after this response.
    pub(crate) fn closes(&self) -> bool {
        header_text(&self.head.headers, &CONNECTION).is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// Whether an endpoint responded with a success.
fn is_success((_, result): &Sent) -> bool {
    result.as_ref().is_ok_and(|response| response.status().is_success())
}

/// Reads the next data of a body; `None` at its end.
pub(crate) async fn next_data(body: &mut Incoming, channel: &Channel) -> Option<hyper::Result<Bytes>> {
    loop {
        let data = match body.frame().await?.map(Frame::into_data) {
            Ok(Ok(data)) => data,
            Ok(Err(_)) => continue,
            Err(e) => return Some(Err(e)),
        };
        channel.budget.record_data(data.len());
        return Some(Ok(data));
    }
}
