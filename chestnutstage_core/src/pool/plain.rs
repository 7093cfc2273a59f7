//! Placement of calls to plain services, which have few slots, short calls and tight targets.
//!
//! A call goes to the endpoint with the lowest ratio of assigned calls to slots, with a preference for the
//! local zone. If all slots are taken and the queues are full, the call is refused at once. Where an endpoint was found
//! slower than the others ([`crate::capacity`]), a call goes to the one with the shortest expected response instead, and is
//! refused if none is expected within its target.

use std::time::Duration;

use super::load::Loads;
use super::place::{Cause, Demand, GrantedPlacement, Placement, Refusal};
use super::prompt::{from_millis, millis};
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
        let has_room = |(_, key, site): &&(usize, Key, &super::Site)| {
            held(key) < site.listing.slots.max(1).saturating_mul(1 + WAITING_PER_SLOT_MAX)
        };
        let uneven = open.iter().any(|(_, _, site)| self.is_learned(now, site));
        let response = |held: u32, site: &super::Site| {
            let limit = self.learned_limit(now, site).max(1);
            let turns = (f64::from(held.saturating_add(1)) / f64::from(limit)).max(1.0);
            Self::unit_ms(site) * self.pace(now, site) * turns
        };
        let fastest = open.iter().map(|(_, _, site)| response(0, site)).fold(f64::INFINITY, f64::min);
        // Where even an idle endpoint would be too late for the target, the caller's timeout counts.
        let target = if fastest > millis(demand.first) { demand.remaining } else { demand.first };
        // An idle endpoint that may be fast again is tried with one call, if that is in time even if it is not.
        let is_trial = |(_, key, site): &(usize, Key, &super::Site)| {
            held(key) == 0
                && self
                    .trial(now, site)
                    .is_some_and(|pace| Self::unit_ms(site) * pace <= millis(demand.first))
        };
        let best = if uneven {
            open.iter()
                .filter(has_room)
                .map(|o| (if is_trial(o) { 0.0 } else { response(held(&o.1), o.2) }, o))
                .filter(|(ms, _)| *ms <= millis(target))
                .min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| cost(a.1).total_cmp(&cost(b.1))))
                .map(|(_, o)| o)
        } else {
            open.iter().filter(has_room).min_by(|a, b| cost(a).total_cmp(&cost(b)))
        };
        let Some((rank, key, site)) = best else {
            return Err(Refusal::new(Cause::NoSlot, SLOT_TIME, demand.jitter));
        };
        let expected = if uneven { from_millis(response(held(key), site)) } else { SLOT_TIME };
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
            expected,
        };
        Ok((*key, grant, placement))
    }
}
