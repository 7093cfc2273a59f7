//! Agreement between planners on the last slots of an engine.
//!
//! Load pattern: more requests than slots, so that every slot that becomes free is wanted by all planners. Within the few
//! milliseconds that their messages take, several of them choose it, and the requests beyond the slots wait in the
//! engine until others have ended, long past their targets. One planner, the *home planner* of the engine, therefore has
//! to agree to each placement on its last slots. It counts what it agreed to until the grant arrives with the messages of
//! the planner that asked.

use std::cmp::Reverse;
use std::time::Duration;

use super::load::Loads;
use super::{Grant, Key, Pool};
use crate::ids::InstanceId;
use crate::rendezvous::score;
use crate::time::Time;

/// Fraction of the slots that planners fill without agreement.
const UNCLAIMED_SHARE: f64 = 0.66;
/// Time for which a claim counts if the grant does not arrive; several times the delay of a planner's messages.
const CLAIM_TTL: Duration = Duration::from_millis(100);
/// Time for which a planner does not ask for an engine again after a denial; about the time in which one of the slots
/// becomes free.
const DENIAL_TTL: Duration = Duration::from_millis(40);

/// A slot that this planner agreed to give to another one.
#[derive(Debug)]
struct Claim {
    endpoint: Key,
    planner: InstanceId,
    expires: Time,
}

/// Claims that were made here, and denials of claims elsewhere.
#[derive(Debug, Default)]
pub(super) struct Claims {
    claimed: Vec<Claim>,
    denied: Vec<(Key, Time)>,
}

impl Claims {
    fn remove_expired(&mut self, now: Time) {
        self.claimed.retain(|claim| now < claim.expires);
        self.denied.retain(|(_, until)| now < *until);
    }

    /// Removes the claim that a new grant of `planner` uses.
    pub(super) fn settle(&mut self, planner: &InstanceId, grant: &Grant) {
        let Some(part) = grant.parts.first() else { return };
        let used = self.claimed.iter().position(|c| c.endpoint == part.endpoint && c.planner == *planner);
        if let Some(index) = used {
            self.claimed.swap_remove(index);
        }
    }
}

impl Pool {
    /// Sets the name of this instance, by which the home planners of engines are found. Without one, the last slots are
    /// filled without agreement.
    pub fn set_name(&mut self, name: InstanceId) {
        self.name = Some(name);
    }

    /// The home planner that has to agree to a grant on one of the last slots of its engine; `None` if that is this
    /// planner, or none has to.
    pub fn claim_needed(&self, grant: &Grant) -> Option<(Key, &InstanceId)> {
        let own = self.name.as_ref().filter(|_| !self.alone)?;
        let key = grant.parts.first()?.endpoint;
        let site = self.sites.get(&key)?;
        let costs = self.engines.get(&site.listing.service)?;
        let slots = site.listing.slots.min(costs.slots);
        let held = self.grants().filter(|g| g.parts.first().is_some_and(|part| part.endpoint == key)).count();
        if held as f64 <= f64::from(slots) * UNCLAIMED_SHARE {
            return None;
        }
        let name = key.to_string();
        let home = self.peers.keys().chain([own]).min_by_key(|planner| Reverse(score(&name, planner)))?;
        (home != own).then_some((key, home))
    }

    /// Agrees to a placement of `planner` on an engine, unless all its slots are taken.
    pub fn claim_slot(&mut self, now: Time, key: Key, planner: &InstanceId) -> bool {
        self.claims.remove_expired(now);
        let Some(site) = self.sites.get(&key) else { return false };
        let slots = site.listing.slots;
        let held = self.loads(now).get(&key).map_or(0, |load| load.held);
        if held >= slots {
            return false;
        }
        let expires = now + CLAIM_TTL;
        self.claims.claimed.push(Claim { endpoint: key, planner: planner.clone(), expires });
        true
    }

    /// Records that the home planner of an engine did not agree; the engine counts as full for a moment.
    pub fn record_denial(&mut self, now: Time, key: Key) {
        self.claims.remove_expired(now);
        self.claims.denied.push((key, now + DENIAL_TTL));
    }

    /// Adds claims and denials to the loads.
    pub(super) fn add_claims(&self, now: Time, loads: &mut Loads) {
        for claim in self.claims.claimed.iter().filter(|claim| now < claim.expires) {
            loads.entry(claim.endpoint).or_default().held += 1;
        }
        for (key, _) in self.claims.denied.iter().filter(|(_, until)| now < *until) {
            let Some(site) = self.sites.get(key) else { continue };
            let load = loads.entry(*key).or_default();
            load.held = load.held.max(site.listing.slots);
        }
    }
}
