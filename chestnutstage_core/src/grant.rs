//! What entries and owners say to each other about places at endpoints.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::endpoint::Size;
use crate::ids::{CustomerId, EndpointId, ModelId, Ticket, ZoneId};
use crate::outcome::Refusal;

/// How long after asking an entry may start work on a grant.
pub const GRANT_TTL: Duration = Duration::from_secs(1);
/// Bounds on work by class.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Long prompts on one endpoint at a time.
    pub long: u32,
    /// Part of the endpoints kept free of long work, at the least.
    pub reserve: f64,
    /// Seconds of queue that a cached prefix may be worth, at the most.
    pub affinity: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { long: 1, reserve: 0.2, affinity: 0.5 }
    }
}

/// A request for an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The attempt.
    pub ticket: Ticket,
    /// Who asks.
    pub customer: CustomerId,
    /// Weight of the customer's contract.
    pub weight: u32,
    /// Model, or plain service.
    pub model: ModelId,
    /// Size of the request.
    pub size: Size,
    /// Hash of the prompt's first part.
    pub prefix: Option<u64>,
    /// Whether to queue when nothing is free.
    #[serde(rename = "patient")]
    pub may_queue: bool,
    /// Endpoints that failed this request before.
    pub avoid: Vec<EndpointId>,
}

/// Why a grant was taken back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum Cause {
    /// The endpoint restarted.
    #[display("the endpoint restarted")]
    Rebooted,
    /// The endpoint turned cold.
    #[display("the endpoint turned cold")]
    Cold,
}

/// What an owner does about an event.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Let the entry use the endpoint.
    Grant {
        /// The attempt that gets it.
        ticket: Ticket,
        /// The endpoint.
        endpoint: EndpointId,
        /// Its availability zone.
        zone: ZoneId,
        /// Its IP number and port.
        address: String,
        /// How long the attempt waited here; the grant's life starts after it.
        waited: Duration,
    },
    /// Refuse at once.
    Refuse {
        /// The attempt that is refused.
        ticket: Ticket,
        /// Why.
        refusal: Refusal,
    },
    /// Take a grant back; the entry cancels at the endpoint and asks again.
    Recall {
        /// The attempt.
        ticket: Ticket,
        /// The endpoint that it must leave.
        endpoint: EndpointId,
        /// Why.
        cause: Cause,
    },
    /// Read the endpoint's load report now; nothing is granted on it before.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Note that a window was closed to cold capacity.
    Reset {
        /// The endpoint.
        endpoint: EndpointId,
        /// Why.
        cause: Cause,
    },
}

/// How a granted request ended at its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// Normally, or by the caller's wish.
    Done,
    /// The endpoint broke the connection or refused it.
    Broken,
}

/// Room of one owner for one model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Summary {
    /// Requests that could start at once.
    pub free: u32,
    /// Expected time to the first token of a typical short request.
    pub wait: Duration,
}
