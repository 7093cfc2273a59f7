//! Responses that the gateway generates itself.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

/// Body of a response to a caller.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;
/// Response to a caller.
pub(crate) type BoxResponse = Response<ResponseBody>;

/// Retry delay sent to callers when no better estimate is known.
pub(crate) const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Why the gateway generates a response itself; displayed as the error code in the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Reason {
    /// No catalog is loaded yet, or the loaded one is too old.
    #[display("configuration_unknown")]
    ConfigurationUnknown,
    /// No route matches.
    #[display("no_route")]
    NoRoute,
    /// The key belongs to no customer.
    #[display("unknown_key")]
    UnknownKey,
    /// The body is larger than allowed.
    #[display("body_too_large")]
    TooLarge,
    /// The request is malformed or could not be read.
    #[display("bad_request")]
    Malformed,
    /// No endpoint can serve it in time; it did not run.
    #[display("overloaded")]
    Overloaded,
    /// Its prompt contains a part that ends engines; it did not run.
    #[display("prompt_quarantined")]
    Quarantined,
    /// Endpoints ended under its repeats; it did not run.
    #[display("request_quarantined")]
    CrashingRequest,
    /// It was sent to an endpoint and may have run.
    #[display("outcome_unknown")]
    OutcomeUnknown,
    /// Its deadline passed after it was sent to an endpoint.
    #[display("timeout")]
    Timeout,
}

impl Reason {
    const fn status(self) -> StatusCode {
        match self {
            Self::ConfigurationUnknown | Self::Overloaded | Self::Quarantined | Self::CrashingRequest => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// A body whose bytes are all known.
pub(crate) fn full(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// An error response of the gateway; `retry` is sent in `Retry-After`.
pub(crate) fn error_response(reason: Reason, retry: Option<Duration>) -> BoxResponse {
    let mut response = Response::new(full(format!("{{\"error\":\"{reason}\"}}\n")));
    *response.status_mut() = reason.status();
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(retry) = retry
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry.as_secs_f64()))
    {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
