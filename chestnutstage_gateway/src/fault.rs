//! What an instance saw of an endpoint that failed.

use derive_more::Display;

/// What an instance saw of an endpoint that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Fault {
    /// A connection can't be opened.
    #[display("connect")]
    Connect,
    /// A connection broke before its response was complete.
    #[display("broken")]
    Broken,
    /// It sends nothing and answers no load probes.
    #[display("silence")]
    Silence,
    /// It refused a request without running it, or kept another endpoint from running it.
    #[display("refusal")]
    Refusal,
    /// It sent a response that is invalid or belongs to another request.
    #[display("response")]
    Response,
}
