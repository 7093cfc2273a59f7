//! Journal of this process's decisions. They are kept in a ring buffer, logged and counted.

use std::sync::{Mutex, MutexGuard, PoisonError};

use chestnutstage_core::decision::{Decision, DecisionLog, Record};
use chestnutstage_core::ids::RequestId;
use log::{debug, info, warn};
use metrics::counter;

use crate::clock::Clock;

/// Maximum number of decisions kept.
const RING_DECISIONS_MAX: usize = 16_384;

/// Records the decisions of all parts of the process.
#[derive(Debug)]
pub(crate) struct Journal {
    clock: Clock,
    ring: Mutex<DecisionLog>,
}

impl Journal {
    pub(crate) fn new(clock: Clock) -> Self {
        Self { clock, ring: Mutex::new(DecisionLog::new(RING_DECISIONS_MAX)) }
    }

    /// Records a decision about a request.
    pub(crate) fn record_request(&self, id: RequestId, decision: Decision) {
        debug!(request:% = id; "{decision:?}");
        self.record(Some(id), decision);
    }

    /// Records a decision about the fleet.
    pub(crate) fn record_fleet(&self, decision: Decision) {
        match decision {
            Decision::Reset { .. } | Decision::Paused { .. } | Decision::Freed { .. } => {
                warn!("{decision:?}");
            }
            _ => info!("{decision:?}"),
        }
        self.record(None, decision);
    }

    /// Returns the decisions about `request`, oldest first.
    pub(crate) fn for_request(&self, request: RequestId) -> Vec<Record> {
        self.lock().for_request(request).cloned().collect()
    }

    /// Returns the last `count` decisions, oldest first.
    pub(crate) fn last(&self, count: usize) -> Vec<Record> {
        let ring = self.lock();
        let all: Vec<_> = ring.all().cloned().collect();
        all[all.len().saturating_sub(count)..].to_vec()
    }

    fn record(&self, request: Option<RequestId>, decision: Decision) {
        counter!("chestnutstage_decisions_total", "event" => name(&decision)).increment(1);
        self.lock().push(self.clock.now(), request, decision);
    }

    fn lock(&self) -> MutexGuard<'_, DecisionLog> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

const fn name(decision: &Decision) -> &'static str {
    match decision {
        Decision::Routed { .. } => "routed",
        Decision::Granted { .. } => "granted",
        Decision::Refused { .. } => "refused",
        Decision::OwnerLost { .. } => "owner_lost",
        Decision::Recalled { .. } => "recalled",
        Decision::Resumed { .. } => "resumed",
        Decision::Restarted { .. } => "restarted",
        Decision::Ended { .. } => "ended",
        Decision::Reset { .. } => "reset",
        Decision::Adopted { .. } => "adopted",
        Decision::Dropped { .. } => "dropped",
        Decision::Member { .. } => "member",
        Decision::Applied { .. } => "applied",
        Decision::Zone { .. } => "zone",
        Decision::Paused { .. } => "paused",
        Decision::Freed { .. } => "freed",
        Decision::Ordered { .. } => "ordered",
    }
}
