//! Event streams from endpoints to callers.
//!
//! Events are forwarded as they arrive, whole and unchanged. Where the route allows it, a stream that breaks or stalls is
//! resumed at another endpoint after the last whole event, within the same response. If a stream can't be resumed, the
//! caller's connection is aborted, so that the stream never looks complete. When the caller disconnects, the stream is
//! dropped, which closes the connection to the endpoint.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use chestnutstage_core::catalog::Repeat;
use chestnutstage_core::quarantine::Evidence;
use chestnutstage_core::relay::Relay;
use futures::stream::unfold;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body as _, Frame};
use log::{info, warn};
use metrics::{counter, histogram};
use tokio::time::{Instant, timeout_at};

use crate::attempt::{Attempt, STALL_TIMEOUT_MIN, Upstream, next_data};
use crate::exchange::Exchange;
use crate::failover::FAILOVERS_MAX;
use crate::fault::Fault;
use crate::headers::remove_gateway_headers;
use crate::liveness::Reachability;
use crate::response::BoxResponse;

/// Events after which an answer counts as progressed beyond its beginning.
const PROGRESS_EVENTS: u64 = 3;
/// Time without data after which a stream is resumed at another endpoint, as a multiple of the target token gap.
const STALL_GAPS: u32 = 3;
/// Time without a first event after which another endpoint is tried, as a multiple of the target or of the expected
/// time, whichever is longer.
const FIRST_EVENT_FACTOR: f64 = 2.0;
/// Largest response of a plain service that declares no length.
const UNDECLARED_BYTES_MAX: usize = 8 << 20;
/// Largest event of a stream; an endpoint in trouble may send bytes without end.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// An event stream that is forwarded to a caller.
struct EventStream {
    exchange: Exchange,
    upstream: Option<Box<Upstream>>,
    /// Bytes read so far.
    received_len: usize,
    /// Largest number of these.
    received_max: usize,
    /// Start of the body, if it was read before the response turned out too large to be buffered.
    prefix: Bytes,
    last_progress: Instant,
    started: bool,
    /// Events of the current upstream.
    upstream_events: u64,
    /// Longest time between two events.
    longest_gap: Duration,
    /// Failover attempts since the last event because of stalls.
    stall_failovers: u32,
    /// Whether the silence of the current upstream was reported as a failure.
    reported: bool,
}

/// Result of reading from the endpoint's stream.
enum ReadOutcome {
    Bytes(Bytes),
    End,
    Stalled(&'static str),
    Broken(String),
    /// The engine has not answered load probes for long.
    Lost,
    TimedOut,
}

/// Data of the endpoint's stream, or `None` at its end.
type Data = Option<hyper::Result<Bytes>>;

/// How the wait for a silent endpoint ended while another one was tried.
enum FirstEnd {
    Data(Data),
    /// It has not been reachable for long.
    Lost,
}

/// Builds the response whose body forwards the stream, after the `prefix` that was already read from it. The head waits for
/// the first events, so that a stream that breaks before them still gets an error response.
pub(crate) async fn response(exchange: Exchange, upstream: Box<Upstream>, prefix: Bytes) -> BoxResponse {
    let mut head = Response::new(()).into_parts().0;
    head.status = upstream.head.status;
    head.headers = upstream.head.headers.clone();
    remove_gateway_headers(&mut head.headers);
    let is_bounded = exchange.route.repeat.is_stream() || upstream.body.size_hint().exact().is_some();
    let received_max = if is_bounded { usize::MAX } else { UNDECLARED_BYTES_MAX };
    let mut stream = EventStream {
        exchange,
        upstream: Some(upstream),
        received_len: prefix.len(),
        received_max,
        prefix,
        last_progress: Instant::now(),
        started: false,
        upstream_events: 0,
        longest_gap: Duration::ZERO,
        stall_failovers: 0,
        reported: false,
    };
    let first = match stream.next().await {
        Some(Err(cause)) => {
            stream.upstream = None;
            warn!(request = stream.exchange.id, cause; "stream broken before its first event");
            return stream.exchange.fail();
        }
        Some(Ok(bytes)) => bytes,
        None => Bytes::new(),
    };
    let frames = unfold((first, stream), |(first, mut stream)| async move {
        if !first.is_empty() {
            return Some((Ok(Frame::data(first)), (Bytes::new(), stream)));
        }
        let item = stream.next().await?.map_err(|cause| stream.abort(&cause));
        Some((item.map(Frame::data), (Bytes::new(), stream)))
    });
    Response::from_parts(head, StreamBody::new(frames).boxed_unsync())
}

impl EventStream {
    /// Returns the next whole events, or `None` at the end of a complete stream. Fails with the cause if the stream can't be
    /// completed.
    async fn next(&mut self) -> Option<Result<Bytes, String>> {
        if !self.prefix.is_empty() {
            return Some(Ok(std::mem::take(&mut self.prefix)));
        }
        let mut outcome = self.read().await;
        loop {
            match outcome {
                ReadOutcome::Bytes(bytes) => return Some(Ok(bytes)),
                ReadOutcome::End => {
                    self.finish();
                    return None;
                }
                ReadOutcome::TimedOut => return Some(Err("the deadline passed".into())),
                ReadOutcome::Stalled(cause) => {
                    if let Some(next) = self.fail_over(cause).await {
                        outcome = next;
                        continue;
                    }
                }
                ReadOutcome::Broken(cause) => {
                    self.record_broken();
                    if !self.resume(&cause).await {
                        return Some(Err(cause));
                    }
                }
                ReadOutcome::Lost => {
                    let cause = "the engine does not answer load probes";
                    if !self.resume(cause).await {
                        return Some(Err(cause.into()));
                    }
                }
            }
            outcome = self.read().await;
        }
    }

    /// Aborts a response that can't be completed, which breaks the caller's connection.
    fn abort(&mut self, cause: &str) -> io::Error {
        self.upstream = None;
        warn!(
            request = self.exchange.id, cause, events = self.exchange.relay.event_count();
            "stream aborted; closing the caller's connection"
        );
        counter!("chestnutstage_streams_broken_total").increment(1);
        io::Error::other(cause.to_owned())
    }

    /// Reads until at least one whole event has arrived.
    async fn read(&mut self) -> ReadOutcome {
        loop {
            let deadline = self.read_deadline();
            let probed = self.exchange.probes_engine();
            let Some(upstream) = &mut self.upstream else { return ReadOutcome::End };
            let Upstream { probe, body, channel, .. } = &mut **upstream;
            let data = tokio::select! {
                biased;
                data = timeout_at(deadline, next_data(body, channel)) => match data {
                    Ok(data) => data,
                    Err(_) if Instant::now() >= self.exchange.deadline => return ReadOutcome::TimedOut,
                    Err(_) => return ReadOutcome::Stalled("the stream stalled"),
                },
                reachability = probe.watch(), if probed => match reachability {
                    Reachability::Suspect => return ReadOutcome::Stalled("the engine does not answer load probes"),
                    Reachability::Lost => return ReadOutcome::Lost,
                },
            };
            if let Some(outcome) = self.accept(data) {
                return outcome;
            }
        }
    }

    /// Whether only the end of the connection marks the end of the response.
    fn ends_with_connection(&self) -> bool {
        self.upstream.as_ref().is_some_and(|upstream| upstream.ends_with_connection())
    }

    /// Handles data of the stream; returns `None` if that completes no event.
    fn accept(&mut self, data: Data) -> Option<ReadOutcome> {
        let has_events = self.exchange.route.repeat.is_stream();
        let data = match data {
            Some(Ok(data)) => data,
            Some(Err(e)) => return Some(ReadOutcome::Broken(e.to_string())),
            None if has_events && self.exchange.relay.partial_len() > 0 => {
                return Some(ReadOutcome::Broken("the stream ended inside an event".into()));
            }
            None if has_events && self.upstream_events == 0 && self.ends_with_connection() => {
                return Some(ReadOutcome::Broken("the connection ended before an event".into()));
            }
            None => return Some(ReadOutcome::End),
        };
        if let Some(upstream) = &mut self.upstream {
            upstream.probe.record_data();
        }
        self.received_len += data.len();
        if self.received_len > self.received_max {
            let cause = format!("the response is larger than {UNDECLARED_BYTES_MAX} bytes");
            return Some(ReadOutcome::Broken(cause));
        }
        let forwarded_before = self.exchange.relay.event_count();
        let events = if has_events { self.exchange.relay.push(&data) } else { data };
        if self.exchange.relay.partial_len() > EVENT_BYTES_MAX {
            return Some(ReadOutcome::Broken(format!("an event is larger than {EVENT_BYTES_MAX} bytes")));
        }
        if events.is_empty() {
            return None;
        }
        self.record_events(forwarded_before);
        Some(ReadOutcome::Bytes(events))
    }

    fn record_events(&mut self, forwarded_before: u64) {
        let before = self.upstream_events;
        self.upstream_events += self.exchange.relay.event_count() - forwarded_before;
        if before < PROGRESS_EVENTS && self.upstream_events >= PROGRESS_EVENTS {
            self.exchange.shared.record_progress(&self.exchange.features);
        }
        let now = Instant::now();
        if self.started {
            self.longest_gap = self.longest_gap.max(now.duration_since(self.last_progress));
        } else {
            self.record_first_event(now);
        }
        self.last_progress = now;
        self.stall_failovers = 0;
    }

    fn record_first_event(&mut self, now: Instant) {
        self.started = true;
        let Some(upstream) = &self.upstream else { return };
        let exchange = &self.exchange;
        upstream.grant.record_first_event();
        let took = now.duration_since(upstream.sent);
        let expected = upstream.expected;
        info!(
            request = exchange.id, first_ms = took.as_millis() as u64, expected_ms = expected.as_millis() as u64;
            "first event received"
        );
        histogram!("chestnutstage_first_event_seconds").record(took.as_secs_f64());
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(1e-3);
        histogram!("chestnutstage_first_event_residual").record(ratio);
    }

    /// Time at which the stream counts as stalled or its deadline passes.
    fn read_deadline(&self) -> Instant {
        let exchange = &self.exchange;
        if exchange.route.repeat != Repeat::Resumable
            || exchange.possible_runs >= exchange.route.attempts
            || self.stall_failovers >= FAILOVERS_MAX
        {
            return exchange.deadline;
        }
        let target = exchange.route.target;
        let timeout = match &self.upstream {
            Some(upstream) if !self.started => {
                (target.first.max(upstream.expected).mul_f64(FIRST_EVENT_FACTOR)).max(STALL_TIMEOUT_MIN)
            }
            _ => (target.gap * STALL_GAPS).max(STALL_TIMEOUT_MIN),
        };
        exchange.deadline.min(self.last_progress + timeout)
    }

    /// Tries another endpoint beside one that sends nothing: it may be in a long prefill, or go on after a while. The first
    /// one is left once the other has sent a whole event; a failure of one of the two does not end the other. Returns what was
    /// read of the stream, if anything.
    async fn fail_over(&mut self, cause: &'static str) -> Option<ReadOutcome> {
        self.stall_failovers += 1;
        self.last_progress = Instant::now();
        let suspect = self.upstream.as_ref().is_some_and(|upstream| upstream.probe.is_suspect());
        let inside_event = self.exchange.relay.partial_len() > 0;
        if inside_event && !suspect || !self.exchange.may_repeat() {
            return None;
        }
        let upstream = self.upstream.as_mut()?;
        if suspect && !std::mem::replace(&mut self.reported, true) {
            self.exchange.shared.report_failure(upstream.key, Fault::Silence);
        }
        let sends = self.exchange.sends;
        let (first, takeover) = {
            let mut first = None;
            let probed = self.exchange.probes_engine();
            let Upstream { probe, body, channel, reservations, .. } = &mut **upstream;
            let mut takeover = Box::pin(take_over(&mut self.exchange));
            loop {
                tokio::select! {
                    biased;
                    data = next_data(body, channel), if first.is_none() => {
                        let goes_on = matches!(data, Some(Ok(_))) || (data.is_none() && !inside_event);
                        first = Some(FirstEnd::Data(data));
                        if goes_on {
                            break (first, None);
                        }
                    }
                    reachability = probe.watch(), if probed && first.is_none() => {
                        if reachability == Reachability::Lost {
                            *reservations = None;
                            first = Some(FirstEnd::Lost);
                        }
                    }
                    takeover = &mut takeover => break (first, Some(takeover)),
                }
            }
        };
        if self.exchange.sends == sends {
            self.exchange.shared.return_retry();
        }
        match takeover {
            Some(Ok((other, start))) => {
                if matches!(first, Some(FirstEnd::Data(_))) {
                    self.record_broken();
                }
                self.switch_upstream(other, cause);
                return self.accept(Some(Ok(start)));
            }
            Some(Err(cause)) => {
                info!(request = self.exchange.id, cause; "no other endpoint took over; waiting on");
            }
            None => {}
        }
        match first? {
            FirstEnd::Data(data) => self.accept(data),
            FirstEnd::Lost => Some(ReadOutcome::Lost),
        }
    }

    /// Continues after the last whole event with the stream of another endpoint.
    fn switch_upstream(&mut self, upstream: Box<Upstream>, cause: &str) {
        let after = self.exchange.relay.last_event_id();
        info!(request = self.exchange.id, cause, after:? = after; "stream resumed at another endpoint");
        counter!("chestnutstage_streams_resumed_total").increment(1);
        self.exchange.relay.resume();
        self.upstream = Some(upstream);
        self.last_progress = Instant::now();
        self.stall_failovers = 0;
        self.started = false;
        self.upstream_events = 0;
        self.reported = false;
    }

    /// Records that the current upstream broke, if it had not progressed beyond its beginning.
    fn record_broken(&self) {
        if let Some(broken) = &self.upstream
            && self.upstream_events <= 1
        {
            self.exchange.record_broken(broken.key, broken.address, Evidence::Started);
        }
    }

    /// Resumes a broken stream at another endpoint; returns whether that was possible.
    async fn resume(&mut self, cause: &str) -> bool {
        let Some(broken) = self.upstream.take() else { return false };
        self.exchange.shared.report_failure(broken.key, Fault::Broken);
        drop(broken);
        while self.exchange.route.repeat == Repeat::Resumable && self.exchange.may_repeat() {
            match self.exchange.attempt().await {
                Attempt::Responded(upstream) if upstream.head.status.is_success() => {
                    self.switch_upstream(upstream, cause);
                    return true;
                }
                Attempt::NotRun(_) | Attempt::Unknown(_) => {}
                Attempt::Responded(_) | Attempt::Refused(_) | Attempt::Rejected(_) => return false,
            }
        }
        false
    }

    /// Logs a stream that was read to its end and keeps its connection.
    fn finish(&mut self) {
        if self.upstream.is_some() && self.upstream_events < PROGRESS_EVENTS {
            if self.ends_with_connection() {
                self.record_broken();
            } else {
                self.exchange.shared.record_progress(&self.exchange.features);
            }
        }
        let Some(upstream) = self.upstream.take() else { return };
        let events = self.exchange.relay.event_count();
        let pause_ms = self.longest_gap.as_millis() as u64;
        info!(request = self.exchange.id, events, pause_ms; "stream complete");
        let closes = upstream.closes();
        let Upstream { channel, key, idle_share, .. } = *upstream;
        if !closes {
            self.exchange.shared.channels.put(key, channel, idle_share);
        }
    }
}

/// Sends the request to another endpoint and waits for a whole event. Returns the endpoint's stream and what was read of it.
async fn take_over(exchange: &mut Exchange) -> Result<(Box<Upstream>, Bytes), String> {
    let mut upstream = match exchange.attempt().await {
        Attempt::Responded(upstream) if upstream.is_success() => upstream,
        other => return Err(other.to_string()),
    };
    let mut start = BytesMut::new();
    while !Relay::has_event(&start) {
        let data = timeout_at(exchange.deadline, upstream.next_data()).await;
        if matches!(data, Ok(None | Some(Err(_)))) {
            exchange.record_broken(upstream.key, upstream.address, Evidence::Started);
        }
        match data {
            Ok(Some(Ok(data))) if start.len() + data.len() <= EVENT_BYTES_MAX => {
                start.extend_from_slice(&data);
            }
            Ok(Some(Ok(_))) => return Err(format!("an event is larger than {EVENT_BYTES_MAX} bytes")),
            Ok(Some(Err(e))) => return Err(e.to_string()),
            Ok(None) => return Err("the stream ended before its first event".into()),
            Err(_) => return Err("the deadline passed".into()),
        }
    }
    Ok((upstream, start.freeze()))
}
