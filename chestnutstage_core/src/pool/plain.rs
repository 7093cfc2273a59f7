//! Placement of calls to plain services, which have few slots, short calls and tight targets.
//!
//! A call goes to the endpoint with the lowest ratio of assigned calls to slots, with a preference for the
//! local zone. If all slots are taken and the queues are full, the call is refused at once.

use std::time::Duration;

use super::load::Loads;
use super::place::{Cause, Demand, GrantedPlacement, Placement, Refusal};
use super::{Grant, Key, Part, Pool, Work};
use crate::time::Time;

/// Cost of an endpoint in another zone, in assigned calls.
const ZONE_COST: f64 = 1.5;
/// Calls that may wait for each slot of an endpoint.
const WAITING_PER_SLOT_MAX: u32 = 2;
/// Expected time until a slot is free.
pub(super) const SLOT_TIME: Duration = Duration::from_millis(100);

impl Pool {
    pub(super) fn place_plain(
        &self,
        now: Time,
        demand: &Demand<'_>,
        loads: &Loads,
    ) -> Result<GrantedPlacement, Refusal> {
        let open = self.open_sites(now, demand);
        if open.is_empty() {
            return Err(self.refuse_closed(now, demand, SLOT_TIME));
        }
        let held = |key: &Key| loads.get(key).map_or(0, |l| l.held);
        let cost = |(_, key, site): &(usize, Key, &super::Site)| {
            let remote = self.zone.as_ref() != Some(&site.listing.zone);
            let fill = f64::from(held(key)) / f64::from(site.listing.slots.max(1));
            let zone = if remote { ZONE_COST / f64::from(site.listing.slots.max(1)) } else { 0.0 };
            fill + zone
        };
        let best = open
            .iter()
            .filter(|(_, key, site)| {
                held(key) < site.listing.slots.max(1).saturating_mul(1 + WAITING_PER_SLOT_MAX)
            })
            .min_by(|a, b| cost(a).total_cmp(&cost(b)));
        let Some((rank, key, site)) = best else {
            return Err(Refusal::new(Cause::NoSlot, SLOT_TIME, demand.jitter));
        };
        let part = Part { endpoint: *key, read: 0.0, memory: 0, context: 0 };
        let grant = Grant {
            work: Work::Plain,
            parts: vec![part],
            granted: now,
            first: None,
            due: now + demand.first,
            gap: 0,
            value: 1.0,
        };
        let placement = Placement {
            number: 0,
            key: *key,
            listing: site.listing.clone(),
            reserve: 0,
            helpers: Vec::new(),
            ranks: vec![*rank],
            expected: SLOT_TIME,
        };
        Ok((*key, grant, placement))
    }
}
