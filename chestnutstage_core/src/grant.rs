//! Messages between entries and owners about grants on endpoints.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::endpoint::Size;
use crate::ids::{CustomerId, EndpointId, ModelId, Ticket, ZoneId};
use crate::outcome::Refusal;

/// Time within which an entry may start work on a grant. It runs from just before the entry sends its request, and
/// excludes the time in the owner's queue.
pub const GRANT_TTL: Duration = Duration::from_secs(1);

/// Limits on work by class.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of long prompts on one endpoint at a time.
    pub long: u32,
    /// Minimum fraction of the endpoints reserved for short and medium prompts.
    pub reserve: f64,
    /// Maximum reduction, in seconds, of an endpoint's estimated time to first token for a cached prefix.
    pub affinity: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { long: 1, reserve: 0.2, affinity: 0.5 }
    }
}

/// A request for a grant on an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The attempt.
    pub ticket: Ticket,
    /// The customer.
    pub customer: CustomerId,
    /// Weight of the customer's contract.
    pub weight: u32,
    /// Model or plain service.
    pub model: ModelId,
    /// Size of the request.
    pub size: Size,
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// Whether to queue the request if no endpoint is free.
    #[serde(rename = "patient")]
    pub may_queue: bool,
    /// Endpoints that failed this request before.
    pub avoid: Vec<EndpointId>,
}

/// Reason for which a window was closed or a grant was recalled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum Cause {
    /// The endpoint restarted.
    #[display("the endpoint restarted")]
    Rebooted,
    /// The endpoint is in cold start.
    #[display("the endpoint turned cold")]
    Cold,
}

/// Action of an owner in response to an event.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Grant an endpoint to an attempt.
    Grant {
        /// The attempt.
        ticket: Ticket,
        /// The endpoint.
        endpoint: EndpointId,
        /// Its availability zone.
        zone: ZoneId,
        /// Its IP address and port.
        address: String,
        /// Time that the attempt spent in the queue, which [`GRANT_TTL`] does not include.
        waited: Duration,
    },
    /// Refuse an attempt.
    Refuse {
        /// The attempt.
        ticket: Ticket,
        /// The reason.
        refusal: Refusal,
    },
    /// Recall a grant; the entry cancels the request at the endpoint and requests another grant.
    Recall {
        /// The attempt.
        ticket: Ticket,
        /// The endpoint of the grant.
        endpoint: EndpointId,
        /// The reason.
        cause: Cause,
    },
    /// Read the endpoint's load report at once; there are no grants on it until then.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Record that a window was closed to the cold capacity.
    Reset {
        /// The endpoint.
        endpoint: EndpointId,
        /// The reason.
        cause: Cause,
    },
}

/// End of a granted request at its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// It completed, or the caller cancelled it.
    Done,
    /// The endpoint broke the connection or refused it.
    Broken,
}

/// Free capacity of one owner for one model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Summary {
    /// Number of requests that could start at once.
    pub free: u32,
    /// Expected time to the first token of a typical short request.
    pub wait: Duration,
}
