//! Kind and amount of a request's work, from the published costs alone.

use std::time::Duration;

use super::plain::SLOT_TIME;
use super::prompt::{classify, from_millis, preferred_pass_ms};
use super::{Demand, Pool, Work};

/// Largest number of engines that a bulk prompt is spread over.
const PARTS_MAX: usize = 16;
/// Passes of an engine from the start of a prompt to its first event, beside those of its prefill.
const PASSES: f64 = 2.0;

/// What a request needs on endpoints that do nothing else.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Kind of the work.
    pub work: Work,
    /// Time to first event.
    pub first: Duration,
    /// Time of an engine or of a slot, in milliseconds.
    pub busy: f64,
}

impl Pool {
    /// Estimates a request before it is placed.
    pub fn estimate(&self, demand: &Demand<'_>) -> Estimate {
        let Some(costs) = self.engines.get(demand.service) else {
            return Estimate { work: Work::Plain, first: SLOT_TIME, busy: SLOT_TIME.as_secs_f64() * 1e3 };
        };
        let work = classify(costs, demand);
        let engines = self.sites.values().filter(|site| site.listing.service == *demand.service).count();
        let parts = if work == Work::Bulk { engines.clamp(1, PARTS_MAX) } else { 1 };
        let prefill_ms = costs.prefill_ms(demand.tokens, parts as u32);
        let pass_ms = preferred_pass_ms(costs);
        Estimate {
            work,
            first: from_millis(prefill_ms + PASSES * pass_ms),
            busy: costs.prefill_ms(demand.tokens, 1) + pass_ms,
        }
    }
}
