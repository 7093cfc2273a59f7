//! What endpoints say in their responses about the requests that they want.
//!
//! An endpoint may leave, want no requests for a time, or name a limit of the requests that it takes from all instances
//! together.

use std::sync::atomic::Ordering;
use std::time::Duration;

use chestnutstage_core::pool::Key;
use chestnutstage_core::time::Time;
use http::header::RETRY_AFTER;
use http::{StatusCode, response};
use log::{info, warn};
use metrics::counter;

use crate::conversation::PeerRequest;
use crate::dispatcher::{RecordLimit, Withdraw};
use crate::headers::header_text;
use crate::shared::Shared;

/// Longest time for which an endpoint can ask for no requests.
const RETRY_AFTER_MAX: Duration = Duration::from_hours(1);

impl Shared {
    /// Records what a response says of its endpoint's readiness for further requests, here and at a planner.
    pub(crate) async fn record_withdrawal(&self, key: Key, head: &response::Parts) {
        let leaving = head.headers.contains_key(&self.adapters.header_format.names().leaving);
        let wait = retry_after(head);
        if !leaving && wait.is_none() {
            return;
        }
        let span = if leaving { None } else { wait };
        info!(endpoint:% = key, leaving, wait:?; "endpoint wants no further requests");
        if self.dispatcher.ask(Withdraw(key, span)).await.is_err() {
            warn!("dispatcher has stopped; withdrawal of endpoint {key} not recorded");
        }
        self.report_to_planner(PeerRequest::Withdrawn(key, span));
    }

    /// Records the limit that the response to a request names, or that it names none, here and at a planner. `sent` is the time at
    /// which the request was sent.
    pub(crate) async fn record_limit(&self, request: &str, key: Key, head: &response::Parts, sent: Time) {
        let format = &self.adapters.header_format;
        let rate = format.request_limit(&head.headers);
        if rate.is_none() && !self.limits_known.load(Ordering::Relaxed) {
            return;
        }
        let echo = header_text(&head.headers, &format.names().attempt);
        // A response without a limit says something only if it is certain whose response it is.
        if echo.map_or(rate.is_none(), |id| id != request) {
            return;
        }
        if rate.is_some() {
            counter!("chestnutstage_limits_named_total").increment(1);
        }
        let Ok(changed) = self.dispatcher.ask(RecordLimit { key, rate, sent }).await else {
            warn!("dispatcher has stopped; limit of endpoint {key} not recorded");
            return;
        };
        if changed {
            info!(request, endpoint:% = key, per_second:? = rate; "request limit of an endpoint changed");
        }
        // Only planners learn of the changes that others heard.
        if changed || rate.is_some() {
            self.report_to_planner(PeerRequest::Limit(key, rate));
        }
    }
}

/// Time for which an endpoint that refused a request wants no others.
fn retry_after(head: &response::Parts) -> Option<Duration> {
    if head.status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let seconds: f64 = header_text(&head.headers, &RETRY_AFTER)?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok().map(|wait| wait.min(RETRY_AFTER_MAX))
}
