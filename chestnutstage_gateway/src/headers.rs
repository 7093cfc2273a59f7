//! Headers that a gateway reads, keeps or drops.

use http::header::{CONNECTION, CONTENT_LENGTH, RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, HeaderName};

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

/// Headers that are the gateway's own to set on an answer.
pub(crate) fn drop_own(headers: &mut HeaderMap) {
    drop_hop_by_hop(headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(RETRY_AFTER);
}
