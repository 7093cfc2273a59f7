//! Reading and filtering of HTTP headers.

use http::header::{CONNECTION, CONTENT_LENGTH, RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, HeaderName};

/// Headers that apply to a single connection.
static HOP_BY_HOP: [HeaderName; 7] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Value of a header as trimmed text; `None` if it is absent or not visible ASCII.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim)
}

/// Removes the hop-by-hop headers and those that `Connection` lists.
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
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

/// Removes the headers of an endpoint's response that the gateway sets itself.
pub(crate) fn remove_gateway_headers(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(RETRY_AFTER);
}
