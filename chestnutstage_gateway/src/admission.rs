//! Admission of a request before its placement: finds the route and the customer and reads the body.

use std::time::Duration;

use bytes::Bytes;
use chestnutstage_core::catalog::{Directory, Route};
use chestnutstage_core::ids::CustomerId;
use http::header::HOST;
use http::request::Parts;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout, timeout_at};

use crate::headers::header_text;
use crate::response::{DEFAULT_RETRY_DELAY, Reason};
use crate::shared::Shared;

/// Age of the operators' rules up to which a missing route or an unknown key is reported as such; older rules may
/// lack one that was added since.
const CONCLUSIVE_AGE_MAX: Duration = Duration::from_millis(2_900);
/// Margin subtracted from the age at which keys expire; covers the time until the request reaches the endpoint.
const KEY_AGE_MARGIN: Duration = Duration::from_millis(500);

/// Longest wait for the rest of the body of a rejected request.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest rest of a body that is read.
const DRAINED_BYTES_MAX: usize = 1 << 20;

/// Why a request is rejected before placement, and the retry delay for the caller if there is one.
pub(crate) type Rejection = (Reason, Option<Duration>);

/// Finds the route of a request by its host and path.
pub(crate) fn find_route<'a>(
    shared: &Shared,
    directory: &'a Directory,
    parts: &Parts,
) -> Result<&'a Route, Rejection> {
    let host = header_text(&parts.headers, &HOST).or_else(|| parts.uri.host()).unwrap_or_default();
    directory.route(host, parts.uri.path()).ok_or_else(|| reject_lookup(shared, Reason::NoRoute))
}

/// Rejects with `reason`, or as retryable if the rules are so old that the lookup may be wrong.
fn reject_lookup(shared: &Shared, reason: Reason) -> Rejection {
    if shared.store_cache.rules_age() > CONCLUSIVE_AGE_MAX {
        return (Reason::ConfigurationUnknown, Some(DEFAULT_RETRY_DELAY));
    }
    (reason, None)
}

/// Finds the customer of a request if its route requires one. Called again right before each send, as a key may be
/// revoked in the meantime.
pub(crate) fn find_customer(
    shared: &Shared,
    directory: &Directory,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<CustomerId>, Rejection> {
    if !directory.requires_key() {
        return Ok(None);
    }
    let age_max = shared.settings.bounds.keys().saturating_sub(KEY_AGE_MARGIN);
    let customer = key.and_then(|key| directory.customer(key));
    if customer.is_none() && route.anonymous {
        return Ok(None);
    }
    if shared.store_cache.rules_age() > age_max {
        return Err((Reason::ConfigurationUnknown, Some(DEFAULT_RETRY_DELAY)));
    }
    match customer {
        Some(customer) => Ok(Some(customer.id.clone())),
        None => Err(reject_lookup(shared, Reason::UnknownKey)),
    }
}

/// Reads the whole body of a request.
pub(crate) async fn read_body(
    body: &mut Incoming,
    limit: usize,
    deadline: Instant,
) -> Result<Bytes, Rejection> {
    match timeout_at(deadline, Limited::new(body, limit).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err((Reason::TooLarge, None)),
        Ok(Err(_)) => Err((Reason::Malformed, None)),
        Err(_) => Err((Reason::Overloaded, Some(DEFAULT_RETRY_DELAY))),
    }
}

/// Reads what is left of the body of a rejected request; returns whether that was possible. A connection that is closed while
/// bytes arrive is reset, and the caller may lose the response.
pub(crate) async fn drain_body(body: &mut Incoming) -> bool {
    let drain = async {
        let mut left = DRAINED_BYTES_MAX;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return false };
            let Some(rest) = left.checked_sub(frame.data_ref().map_or(0, Bytes::len)) else { return false };
            left = rest;
        }
        true
    };
    timeout(DRAIN_TIMEOUT, drain).await.unwrap_or(false)
}
