//! What endpoints say in their responses about the requests that they want.
//!
//! An endpoint may leave, want no requests for a time, or name a limit of the requests that it takes from all instances
//! together.

use std::time::Duration;

use chestnutstage_core::pool::Key;
use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderName, StatusCode, response};
use log::{info, warn};
use metrics::counter;

use crate::conversation::PeerRequest;
use crate::dispatcher::Withdraw;
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

    /// Logs the limit that a response names.
    pub(crate) fn log_limit(&self, request: &str, key: Key, head: &response::Parts) {
        let Some(per_second) = named_limit(&head.headers, &self.adapters.header_format.names().limit) else {
            return;
        };
        info!(request, endpoint:% = key, per_second; "endpoint names a request limit");
        counter!("chestnutstage_limits_named_total").increment(1);
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

/// Requests a second that an endpoint takes from all instances together; the lowest of several values.
fn named_limit(headers: &HeaderMap, name: &HeaderName) -> Option<f64> {
    let values = headers.get_all(name).iter().filter_map(|value| value.to_str().ok()?.trim().parse().ok());
    values.filter(|limit: &f64| limit.is_finite() && *limit >= 0.0).min_by(f64::total_cmp)
}
