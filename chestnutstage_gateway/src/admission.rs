//! What is checked of a request before it is placed: route, customer and body.

use std::time::Duration;

use bytes::Bytes;
use chestnutstage_core::catalog::{Directory, Route};
use chestnutstage_core::ids::CustomerId;
use http::header::HOST;
use http::request::Parts;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::answer::{RETRY_SOON, Reason};
use crate::headers::text;
use crate::shared::Shared;

/// Age of the rules from which a missing route or an unknown key may be due to that age.
const CERTAIN_AGE: Duration = Duration::from_millis(2_900);
/// Time by which the bound on the age of keys is undercut, for the way to the endpoint.
const KEY_MARGIN: Duration = Duration::from_millis(500);
/// Why a request is not placed, and when to come back.
pub(crate) type Refused = (Reason, Option<Duration>);

/// Route of a request.
pub(crate) fn find_route<'a>(
    shared: &Shared,
    directory: &'a Directory,
    parts: &Parts,
) -> Result<&'a Route, Refused> {
    let host = text(&parts.headers, &HOST).or_else(|| parts.uri.host()).unwrap_or_default();
    directory.route(host, parts.uri.path()).ok_or_else(|| uncertain(shared, Reason::NoRoute))
}

/// The reason, unless what is known is so old that it may be wrong.
fn uncertain(shared: &Shared, reason: Reason) -> Refused {
    if shared.store_cache.rules_age() > CERTAIN_AGE {
        return (Reason::Unready, Some(RETRY_SOON));
    }
    (reason, None)
}

/// Customer of a request, if its route asks for one; asked again right before each send.
pub(crate) fn find_customer(
    shared: &Shared,
    directory: &Directory,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<CustomerId>, Refused> {
    if !directory.requires_key() {
        return Ok(None);
    }
    let bound = shared.settings.bounds.keys().saturating_sub(KEY_MARGIN);
    let account = key.and_then(|key| directory.customer(key));
    if account.is_none() && route.anonymous {
        return Ok(None);
    }
    if shared.store_cache.rules_age() > bound {
        return Err((Reason::Unready, Some(RETRY_SOON)));
    }
    match account {
        Some(account) => Ok(Some(account.id.clone())),
        None => Err(uncertain(shared, Reason::UnknownKey)),
    }
}

/// Reads a body whole.
pub(crate) async fn read_body(body: Incoming, limit: usize, deadline: Instant) -> Result<Bytes, Refused> {
    match timeout_at(deadline, Limited::new(body, limit).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err((Reason::TooLarge, None)),
        Ok(Err(_)) => Err((Reason::Malformed, None)),
        Err(_) => Err((Reason::Overloaded, Some(RETRY_SOON))),
    }
}
