//! Recent decisions of the process, with their causes.

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
    /// An owner recalled a grant.
    Recalled { endpoint: EndpointId, cause: Cause },
    /// An unresponsive or broken stream was resumed on a new connection.
    Resumed { endpoint: EndpointId, offset: u64 },
    /// A request was restarted on another endpoint before any output reached the caller.
    Restarted { endpoint: EndpointId, reason: String },
    /// A request ended at its endpoint.
    Ended { endpoint: EndpointId, end: End },
    /// A window was reset to cold capacity.
    Reset { endpoint: EndpointId, cause: Cause },
    /// This instance became the owner of an endpoint.
    Adopted { endpoint: EndpointId, former: bool },
    /// This instance stopped being the owner of an endpoint.
    Dropped { endpoint: EndpointId },
    /// A member's health changed.
    Member { peer: InstanceId, health: Health },
    /// This instance applied a configuration version.
    Applied { version: Version },
    /// A zone was taken into or out of service.
    Zone { zone: ZoneId, out: bool },
    /// The process was suspended.
    Paused { millis: u64 },
    /// An orphaned reservation on an engine was freed.
    Freed { endpoint: EndpointId, holding: String },
    /// An order was sent to an endpoint.
    Ordered { endpoint: EndpointId, order: String },
}

/// A decision with its time and request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Record {
    /// Milliseconds since the process's epoch.
    pub at: u64,
    /// The request concerned, if any.
    pub request: Option<RequestId>,
    /// The decision.
    #[serde(flatten)]
    pub decision: Decision,
}

/// Log of the most recent decisions, with a fixed capacity.
#[derive(Debug)]
pub struct DecisionLog {
    records: VecDeque<Record>,
    capacity: usize,
}

impl DecisionLog {
    /// Creates a log of up to `capacity` records.
    pub fn new(capacity: usize) -> Self {
        Self { records: VecDeque::with_capacity(capacity), capacity }
    }

    /// Adds a decision, evicting the oldest one when the log is full.
    pub fn push(&mut self, now: Time, request: Option<RequestId>, decision: Decision) {
        if self.records.len() == self.capacity {
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
