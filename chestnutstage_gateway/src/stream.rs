//! A stream of events on its way to a caller.
//!
//! Events go on as they arrive, whole and unchanged. Where the route allows it, a stream that breaks or falls silent is
//! continued by another endpoint after the last whole event, within the same answer. A stream that can't be continued
//! breaks the caller's connection, so that it never looks complete. A caller that leaves drops this, and with it the
//! endpoint's connection.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use chestnutstage_core::catalog::Repeat;
use futures::stream::unfold;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use log::{info, warn};
use metrics::{counter, histogram};
use tokio::time::{Instant, timeout_at};

use crate::answer::Answer;
use crate::attempt::{Attempt, SILENT_MIN, Upstream, until_gone};
use crate::dispatcher::FirstEvent;
use crate::exchange::Exchange;
use crate::headers::drop_own;

/// Longest pauses on time after which a silent stream is taken to another endpoint.
const SILENT_GAPS: u32 = 3;
/// Targets without a first event after which another endpoint is tried.
const SILENT_FIRST: f64 = 2.0;
/// Times that another endpoint is tried for one silence; then the stream is only waited for.
const DOUBTS_MAX: u32 = 2;

/// A stream of events on its way to a caller.
struct Passage {
    exchange: Exchange,
    upstream: Option<Box<Upstream>>,
    last: Instant,
    begun: bool,
    /// Longest pause between two events.
    pause: Duration,
    /// Silences since the last event after which another endpoint was tried.
    doubts: u32,
}

/// What came next on a stream.
enum Next {
    Bytes(Bytes),
    End,
    Silent,
    Broken(String),
    TimedOut,
}

/// The answer whose body passes the stream on.
pub(crate) fn answer(exchange: Exchange, upstream: Box<Upstream>) -> Answer {
    let mut head = Response::new(()).into_parts().0;
    head.status = upstream.head.status;
    head.headers = upstream.head.headers.clone();
    drop_own(&mut head.headers);
    let passage = Passage {
        exchange,
        upstream: Some(upstream),
        last: Instant::now(),
        begun: false,
        pause: Duration::ZERO,
        doubts: 0,
    };
    let frames = unfold(passage, |mut passage| async move {
        let item = passage.next().await?;
        Some((item.map(Frame::data), passage))
    });
    Response::from_parts(head, StreamBody::new(frames).boxed_unsync())
}

impl Passage {
    /// Next whole events, or nothing at the end of a complete stream.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            match self.read().await {
                Next::Bytes(bytes) => return Some(Ok(bytes)),
                Next::End => {
                    self.finish();
                    return None;
                }
                Next::TimedOut => return Some(Err(self.give_up("the time ran out"))),
                Next::Silent => self.doubt().await,
                Next::Broken(why) => {
                    if !self.resume(&why).await {
                        return Some(Err(self.give_up(&why)));
                    }
                }
            }
        }
    }

    /// Ends an answer that can't be completed: its connection breaks.
    fn give_up(&mut self, why: &str) -> io::Error {
        self.upstream = None;
        warn!(request = self.exchange.id, cause = why, events = self.exchange.relay.event_count(); "stream broken off");
        counter!("chestnutstage_streams_broken_total").increment(1);
        io::Error::other(why.to_owned())
    }

    /// Waits for bytes that make up at least one whole event.
    async fn read(&mut self) -> Next {
        let resumable = self.exchange.route.repeat == Repeat::Resumable;
        loop {
            let limit = self.limit();
            let Some(upstream) = &mut self.upstream else { return Next::End };
            let engine = self.exchange.asks_engine();
            let read = tokio::select! {
                read = timeout_at(limit, upstream.body.frame()) => read,
                () = until_gone(&self.exchange.shared, upstream.address), if engine => {
                    return Next::Broken("the engine is gone".into());
                }
            };
            let frame = match read {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(e))) => return Next::Broken(e.to_string()),
                Ok(None) if resumable && self.exchange.relay.partial_len() > 0 => {
                    return Next::Broken("the stream ended inside an event".into());
                }
                Ok(None) => return Next::End,
                Err(_) if Instant::now() >= self.exchange.deadline => return Next::TimedOut,
                Err(_) => return Next::Silent,
            };
            let Ok(data) = frame.into_data() else { continue };
            let events = if resumable { self.exchange.relay.push(&data) } else { data };
            if !events.is_empty() {
                self.note_events();
                return Next::Bytes(events);
            }
        }
    }

    fn note_events(&mut self) {
        let now = Instant::now();
        if self.begun {
            self.pause = self.pause.max(now.duration_since(self.last));
        } else {
            self.note_first(now);
        }
        self.last = now;
        self.doubts = 0;
    }

    fn note_first(&mut self, now: Instant) {
        self.begun = true;
        let Some(upstream) = &self.upstream else { return };
        let exchange = &self.exchange;
        if exchange.shared.dispatcher.tell(FirstEvent(upstream.granted.number)).try_send().is_err() {
            warn!(request = exchange.id; "the dispatcher is gone");
        }
        let took = now.duration_since(upstream.sent);
        let expected = upstream.expected;
        info!(
            request = exchange.id, first_ms = took.as_millis() as u64, expected_ms = expected.as_millis() as u64;
            "first event"
        );
        histogram!("chestnutstage_first_event_seconds").record(took.as_secs_f64());
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(1e-3);
        histogram!("chestnutstage_first_event_residual").record(ratio);
    }

    /// When to stop waiting for more events.
    fn limit(&self) -> Instant {
        let exchange = &self.exchange;
        if exchange.route.repeat != Repeat::Resumable
            || exchange.runs >= exchange.route.attempts
            || self.doubts >= DOUBTS_MAX
        {
            return exchange.deadline;
        }
        let target = exchange.route.target;
        let patience = match &self.upstream {
            Some(upstream) if !self.begun => {
                (target.first.max(upstream.expected).mul_f64(SILENT_FIRST)).max(SILENT_MIN)
            }
            _ => (target.gap * SILENT_GAPS).max(SILENT_MIN),
        };
        exchange.deadline.min(self.last + patience)
    }

    /// Tries another endpoint after a silence. An engine that reads a long prompt is silent, too; so the present stream is
    /// given up only for one that has begun.
    async fn doubt(&mut self) {
        self.doubts += 1;
        self.last = Instant::now();
        if self.exchange.relay.partial_len() > 0 || !self.exchange.may_repeat() {
            return;
        }
        if let Attempt::Begun(upstream) = self.exchange.attempt().await
            && upstream.head.status.is_success()
        {
            self.take_over(upstream, "the stream fell silent");
        }
    }

    /// Takes up the stream of another endpoint after the last whole event.
    fn take_over(&mut self, upstream: Box<Upstream>, why: &str) {
        let after = self.exchange.relay.last_event_id();
        info!(request = self.exchange.id, cause = why, after:? = after; "stream goes on at another endpoint");
        counter!("chestnutstage_streams_resumed_total").increment(1);
        self.exchange.relay.resume();
        self.upstream = Some(upstream);
        self.last = Instant::now();
        self.doubts = 0;
        self.begun = false;
    }

    /// Goes on with another endpoint after the stream broke; gives whether that was possible.
    async fn resume(&mut self, why: &str) -> bool {
        let Some(broken) = self.upstream.take() else { return false };
        self.exchange.blame(broken.key).await;
        drop(broken);
        while self.exchange.route.repeat == Repeat::Resumable && self.exchange.may_repeat() {
            match self.exchange.attempt().await {
                Attempt::Begun(upstream) if upstream.head.status.is_success() => {
                    self.take_over(upstream, why);
                    return true;
                }
                Attempt::NotRun(_) | Attempt::Unknown(_) => {}
                Attempt::Begun(_) | Attempt::Refused(_) | Attempt::Barred(_) => return false,
            }
        }
        false
    }

    /// Keeps the connection of a stream that was read to its end.
    fn finish(&mut self) {
        let Some(upstream) = self.upstream.take() else { return };
        let events = self.exchange.relay.event_count();
        let pause_ms = self.pause.as_millis() as u64;
        info!(request = self.exchange.id, events, pause_ms; "stream complete");
        let closes = upstream.closes();
        let Upstream { channel, key, idle_share, .. } = *upstream;
        if !closes {
            self.exchange.shared.channels.put(key, channel, idle_share);
        }
    }
}
