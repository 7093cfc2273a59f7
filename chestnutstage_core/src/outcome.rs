//! What a caller may conclude from a response.
//!
//! A refusal that says `not_run` must be true. It is only given while no byte of the request can have been sent to an
//! endpoint, or when the endpoint guaranteed that it did not run the request. [`SendState`] tracks this for one attempt.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran, and this is its response.
    #[display("done")]
    Done,
    /// No part of the request ran.
    #[display("not_run")]
    NotRun,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
}

/// Why a request was refused; no part of it has run.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Refusal {
    /// The request is not expected to finish before its deadline.
    #[error("the estimate of {estimate:?} exceeds the {remaining:?} left before the deadline")]
    Overloaded {
        /// Estimated time to the end of the response.
        estimate: Duration,
        /// Time remaining before the deadline.
        remaining: Duration,
        /// Delay after which a retry is worthwhile.
        retry: Duration,
    },
    /// The deadline passed while the request was queued.
    #[error("the deadline passed while the request was queued")]
    Expired {
        /// Delay after which a retry is worthwhile.
        retry: Duration,
    },
    /// Another owner has more free capacity.
    #[error("this owner is busy; expected wait {wait:?}")]
    Busy {
        /// Expected wait in this owner's queue.
        wait: Duration,
    },
    /// No endpoint in service has the model.
    #[error("no endpoint in service has the model")]
    NoEndpoint {
        /// Delay after which a retry is worthwhile.
        retry: Duration,
    },
    /// The prompt exceeds what the fleet can hold.
    #[error("the prompt exceeds what the endpoints can hold")]
    TooLong,
    /// The customer's contract is exhausted.
    #[error("the customer's contract allows no more for now")]
    Contract {
        /// Delay after which a retry is worthwhile.
        retry: Duration,
    },
    /// The instance can't tell whether its configuration is current.
    #[error("the instance is cut off from the store and from most of its peers")]
    Isolated {
        /// Delay after which a retry is worthwhile.
        retry: Duration,
    },
    /// The instance is leaving the fleet.
    #[error("the instance is leaving")]
    Leaving,
}

impl Refusal {
    /// Delay after which a retry is worthwhile; `None` if it never is.
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

/// How much of an attempt may have been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum SendState {
    /// No connection to the endpoint yet, so no byte can have been sent.
    #[default]
    Before,
    /// Bytes may have been sent.
    Started,
    /// The endpoint guaranteed that it did not run the request.
    Declined,
    /// The complete response arrived.
    Answered,
}

/// Event while an attempt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendEvent {
    /// The connection could not be opened.
    ConnectFailed,
    /// The first byte was handed to the transport.
    FirstByte,
    /// The connection broke.
    Broken,
    /// The endpoint declined, and its contract makes this a guarantee that it did not run the request.
    Declined,
    /// The endpoint returned the complete response.
    Answered,
}

impl SendState {
    /// State after `event`; once bytes may have been sent, it never returns to `Before`.
    #[must_use]
    pub const fn after(self, event: SendEvent) -> Self {
        match (self, event) {
            (Self::Answered, _) | (_, SendEvent::Answered) => Self::Answered,
            (Self::Declined, _) | (_, SendEvent::Declined) => Self::Declined,
            (Self::Before, SendEvent::ConnectFailed) => Self::Before,
            (Self::Before | Self::Started, _) => Self::Started,
        }
    }

    /// Outcome to report to the caller if the attempt ends in this state.
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Before | Self::Declined => Outcome::NotRun,
            Self::Started => Outcome::Unknown,
            Self::Answered => Outcome::Done,
        }
    }
}
