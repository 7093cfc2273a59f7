//! One attempt to serve a request: a single sending to an endpoint.
//!
//! An attempt places the request, reserves memory if the placement requires it, connects, checks again that the request
//! may be sent, and sends it. Its outcome is classified in one place, as an [`Attempt`].

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chestnutstage_core::catalog::Repeat;
use chestnutstage_core::ids::InstanceId;
use chestnutstage_core::pool::{Cause, Key, Placement, Refusal};
use chestnutstage_core::quarantine::Evidence;
use derive_more::Display;
use futures::FutureExt;
use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming};
use log::info;
use metrics::histogram;
use rand::Rng;
use tokio::time::Instant;

use crate::admission::{Rejection, find_customer};
use crate::admission_queue::Applicant;
use crate::channel::{Channel, SendFailure};
use crate::dispatcher::IsOpen;
use crate::exchange::Exchange;
use crate::failover::{PendingSend, Sent};
use crate::fault::Fault;
use crate::headers::header_text;
use crate::liveness::LivenessProbe;
use crate::offers::Place;
use crate::placer::{GrantGuard, Placed};
use crate::reservations::{ReservationRequest, Reservations};
use crate::response::{DEFAULT_RETRY_DELAY, Reason};

/// Shortest time without data after which an endpoint counts as stalled.
pub(crate) const STALL_TIMEOUT_MIN: Duration = Duration::from_secs(1);
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
        self.shared.check_features(&self.id, &self.features).map_err(Attempt::Refused)?;
        if self.shared.has_no_path() {
            return Err(Attempt::Refused(Refusal { cause: Cause::NoPath, retry: DEFAULT_RETRY_DELAY }));
        }
        let started = self.shared.clock.now();
        let Placed { placement, grant, planner, permitted } = self.place().await.map_err(Attempt::Refused)?;
        self.log_placed(&placement, planner.as_ref());
        self.tried.push(placement.key);
        let reservations = self.reserve(&placement).await.map_err(Attempt::NotRun)?;
        let once = !self.route.repeat.is_repeatable();
        let connected = self.shared.connect(placement.key, placement.listing.address, once).await;
        let mut channel = match connected {
            Ok(channel) => channel,
            Err(e) => {
                self.shared.report_failure(placement.key, Fault::Connect);
                return Err(Attempt::NotRun(format!("failed to connect to {}: {e}", placement.listing.id)));
            }
        };
        if channel.is_relayed() {
            info!(request = self.id, endpoint:% = placement.listing.id; "connection goes through a peer");
        }
        let unlisted = planner.is_some();
        let check = IsOpen { key: placement.key, unlisted, placed: started, permitted };
        if let Some(rejected) = self.recheck(check).await {
            return Err(rejected);
        }
        self.shared.admit_features(&self.id, &self.features).map_err(Attempt::Refused)?;
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

    pub(crate) async fn accept_head(&mut self, pending: PendingSend, (channel, result): Sent) -> Attempt {
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
                self.shared.report_failure(placement.key, Fault::Broken);
                return Attempt::Unknown(format!("{id}: {cause}"));
            }
        };
        self.shared.record_withdrawal(placement.key, &head).await;
        let sent_at = self.shared.clock.now() - sent.elapsed();
        self.shared.record_limit(&self.id, placement.key, &head, sent_at).await;
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
        self.shared.place(place, self.applicant(elapsed)).await
    }

    /// Describes the request for the planner; only a request that was not placed before may wait.
    fn applicant(&self, elapsed: Duration) -> Option<Applicant> {
        if !self.tried.is_empty() || self.possible_runs > 0 {
            return None;
        }
        let directory = self.shared.store_cache.directory();
        let account = directory.as_ref().zip(self.key.as_deref()).and_then(|(d, key)| d.customer(key));
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        Some(Applicant {
            rank: account.and_then(|account| account.rank).unwrap_or(self.route.rank),
            customer: self.customer.clone(),
            digest: *self.features.last()?,
            id: self.id.clone(),
            elapsed,
            spent: self.route.timeout.saturating_sub(remaining),
        })
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
    async fn recheck(&self, check: IsOpen) -> Option<Attempt> {
        if !self.shared.dispatcher.ask(check).await.unwrap_or(false) {
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
            self.shared.record_failure(upstream.key, Fault::Response).await;
            return Attempt::Unknown(format!("{} sent the response to another request", upstream.address));
        }
        // An endpoint may write an earlier refusal once more; without an id that is certain only on a new connection.
        if not_run && !id_matches && upstream.channel.is_reused() {
            self.shared.record_failure(upstream.key, Fault::Response).await;
            return Attempt::Unknown(format!("{} refused a request without its id", upstream.address));
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
            self.shared.record_failure(upstream.key, Fault::Response).await;
            return Attempt::Unknown(format!(
                "{} sent a success response without its seal",
                upstream.address
            ));
        }
        if status.is_success() && self.calls_plain_service() {
            upstream.grant.record_first_event();
        }
        Attempt::Responded(Box::new(upstream))
    }

    fn calls_plain_service(&self) -> bool {
        let directory = self.shared.store_cache.directory();
        let service = directory.as_ref().and_then(|d| d.catalog().services.get(&self.service));
        service.is_some_and(|service| service.engine.is_none())
    }

    /// Reports a failure of the endpoint or helper that prevented a request from running.
    async fn report_refusal(&self, key: Key, failed_helper: Option<SocketAddr>, status: StatusCode) {
        histogram!("chestnutstage_refused_by_endpoint", "status" => status.as_u16().to_string()).record(1.0);
        match failed_helper {
            Some(address) => {
                let known = self.shared.report_failure_at(address).await;
                info!(endpoint:% = address, known; "a helper prevented the request from running");
            }
            None => self.shared.record_failure(key, Fault::Refusal).await,
        }
    }
}

impl Upstream {
    /// Whether the response has a success status.
    pub(crate) fn is_success(&self) -> bool {
        self.head.status.is_success()
    }

    /// Whether a response that was read to its end shows that the endpoint ran the request and goes on. A failure of the endpoint may
    /// have come before it began to run it, and a response that ends with its connection may have been cut.
    pub(crate) fn has_run_through(&self) -> bool {
        !self.head.status.is_server_error() && !self.ends_with_connection()
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
