//! What the process decided lately, and why.

use std::collections::VecDeque;

use serde::Serialize;

use crate::ids::{EndpointId, InstanceId, RequestId, Version, ZoneId};
use crate::members::Health;
use crate::outcome::Refusal;
use crate::owner::{Cause, End};
use crate::time::Time;

/// One decision with its cause.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
#[allow(missing_docs, reason = "the fields are named after the ids they hold")]
pub enum Decision {
    /// A request was sent to an owner.
    Routed { owner: InstanceId },
    /// An owner granted an endpoint.
    Granted { endpoint: EndpointId },
    /// A request was refused.
    Refused { refusal: Refusal },
    /// An owner did not answer.
    OwnerLost { owner: InstanceId },
    /// A grant was taken back.
    Recalled { endpoint: EndpointId, cause: Cause },
    /// A stream fell silent and was taken up on a new connection.
    Resumed { endpoint: EndpointId, offset: u64 },
    /// A request was given to another endpoint before anything was shown.
    Restarted { endpoint: EndpointId, reason: String },
    /// A request ended at its endpoint.
    Ended { endpoint: EndpointId, end: End },
    /// A window was closed to cold capacity.
    Reset { endpoint: EndpointId, cause: Cause },
    /// This instance took over an endpoint.
    Adopted { endpoint: EndpointId, former: bool },
    /// This instance gave up an endpoint.
    Dropped { endpoint: EndpointId },
    /// A member's condition changed.
    Member { peer: InstanceId, health: Health },
    /// A configuration version came into force here.
    Applied { version: Version },
    /// A zone was taken in or out of service.
    Zone { zone: ZoneId, out: bool },
    /// The process was frozen.
    Paused { millis: u64 },
    /// Memory left behind on an engine was freed.
    Freed { endpoint: EndpointId, holding: String },
    /// An order went to an endpoint.
    Ordered { endpoint: EndpointId, order: String },
}

/// A decision with its time and request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Record {
    /// Milliseconds since the process's epoch.
    pub at: u64,
    /// The request that it concerns.
    pub request: Option<RequestId>,
    /// The decision.
    #[serde(flatten)]
    pub decision: Decision,
}

/// The last decisions, a bounded number of them.
#[derive(Debug)]
pub struct DecisionLog {
    records: VecDeque<Record>,
    size: usize,
}

impl DecisionLog {
    /// A ring of `size` records.
    pub fn new(size: usize) -> Self {
        Self { records: VecDeque::with_capacity(size), size }
    }

    /// Adds a decision; the oldest gives way.
    pub fn push(&mut self, now: Time, request: Option<RequestId>, decision: Decision) {
        if self.records.len() == self.size {
            self.records.pop_front();
        }
        self.records.push_back(Record { at: now.as_millis(), request, decision });
    }

    /// Decisions about `request`, oldest first.
    pub fn for_request(&self, request: RequestId) -> impl Iterator<Item = &Record> {
        self.records.iter().filter(move |r| r.request == Some(request))
    }

    /// All decisions, oldest first.
    pub fn all(&self) -> impl Iterator<Item = &Record> {
        self.records.iter()
    }
}
