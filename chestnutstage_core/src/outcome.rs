//! What a caller may conclude from an answer.
//!
//! A refusal that says `not_run` must be true. It is only given while no byte of the request can have left for an
//! endpoint, or when the endpoint said so in terms that bind. [`SendState`] keeps that account for one attempt.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// How far a request got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran and this is its answer.
    #[display("done")]
    Done,
    /// Nothing of the request ran.
    #[display("not_run")]
    NotRun,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
}

/// Why a request was not taken; nothing of it has run.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Refusal {
    /// The request can't finish within its deadline.
    #[error("the estimate of {estimate:?} exceeds the {remaining:?} left before the deadline")]
    Overloaded {
        /// Estimated time to the end of the answer.
        estimate: Duration,
        /// Time left before the deadline.
        remaining: Duration,
        /// When a retry is worthwhile.
        retry: Duration,
    },
    /// The deadline passed while the request waited.
    #[error("the deadline passed while the request was queued")]
    Expired {
        /// When a retry is worthwhile.
        retry: Duration,
    },
    /// Another owner has more room.
    #[error("this owner is busy; expected wait {wait:?}")]
    Busy {
        /// Expected wait in this owner's queue.
        wait: Duration,
    },
    /// No endpoint in service has the model.
    #[error("no endpoint in service has the model")]
    NoEndpoint {
        /// When a retry is worthwhile.
        retry: Duration,
    },
    /// The prompt exceeds what the fleet can hold.
    #[error("the prompt exceeds what the endpoints can hold")]
    TooLong,
    /// The customer's contract is used up.
    #[error("the customer's contract allows no more for now")]
    Contract {
        /// When a retry is worthwhile.
        retry: Duration,
    },
    /// The instance can't tell whether its configuration is current.
    #[error("the instance is cut off from the store and from most of its peers")]
    Isolated {
        /// When a retry is worthwhile.
        retry: Duration,
    },
    /// The instance is going away.
    #[error("the instance is leaving")]
    Leaving,
}

impl Refusal {
    /// When a retry is worthwhile, if at all.
    pub const fn retry(&self) -> Option<Duration> {
        match self {
            Self::Overloaded { retry, .. }
            | Self::Expired { retry }
            | Self::NoEndpoint { retry }
            | Self::Contract { retry }
            | Self::Isolated { retry } => Some(*retry),
            Self::Busy { wait } => Some(*wait),
            Self::Leaving => Some(Duration::from_secs(1)),
            Self::TooLong => None,
        }
    }

    /// Stable code for callers.
    pub const fn code(&self) -> &'static str {
        match self {
            Self::Overloaded { .. } => "overloaded",
            Self::Expired { .. } => "deadline_exceeded",
            Self::Busy { .. } => "busy",
            Self::NoEndpoint { .. } => "no_endpoint",
            Self::TooLong => "prompt_too_long",
            Self::Contract { .. } => "contract_exhausted",
            Self::Isolated { .. } => "isolated",
            Self::Leaving => "leaving",
        }
    }
}

/// Where in its sending an attempt is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum SendState {
    /// No connection to the endpoint yet; nothing can have left.
    #[default]
    Before,
    /// Bytes may have left.
    Started,
    /// The endpoint said in binding terms that it did not run the request.
    Declined,
    /// The whole answer arrived.
    Answered,
}

/// An event in the sending of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendEvent {
    /// The connection could not be opened.
    ConnectFailed,
    /// The first byte was handed to the transport.
    FirstByte,
    /// The connection broke.
    Broken,
    /// The endpoint declined, and its contract says that this binds.
    Declined,
    /// The endpoint answered in full.
    Answered,
}

impl SendState {
    /// Moves on by `event`; what has left never comes back.
    #[must_use]
    pub const fn after(self, event: SendEvent) -> Self {
        match (self, event) {
            (Self::Answered, _) | (_, SendEvent::Answered) => Self::Answered,
            (Self::Declined, _) | (_, SendEvent::Declined) => Self::Declined,
            (Self::Before, SendEvent::ConnectFailed) => Self::Before,
            (Self::Before | Self::Started, _) => Self::Started,
        }
    }

    /// What the caller may be told if the attempt ends here.
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Before | Self::Declined => Outcome::NotRun,
            Self::Started => Outcome::Unknown,
            Self::Answered => Outcome::Done,
        }
    }
}
