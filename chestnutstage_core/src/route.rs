//! Choice of the owners that an entry instance asks for an endpoint.
//!
//! An entry does not know every endpoint. It knows which instances own endpoints of a model, and for some of them a
//! load summary from an earlier answer. Candidates are the owner to which the prompt's prefix hashes and two random
//! owners in the entry's own zone, plus one random owner in another zone. They are sorted by expected wait plus link
//! cost. Links between zones are expensive, so another zone is preferred only when the own zone is busy.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::ids::{InstanceId, ModelId, ZoneId};
use crate::length::Class;
use crate::members::ModelSet;
use crate::owner::Summary;
use crate::rendezvous;
use crate::time::Time;

/// Age at which a summary expires.
const SUMMARY_TTL: Duration = Duration::from_secs(2);
/// Assumed wait at an owner without a valid summary.
const UNKNOWN_WAIT: Duration = Duration::from_millis(100);
/// Additional wait assumed at an owner whose summary reports nothing free, on top of its queue.
const FULL_WAIT: Duration = Duration::from_millis(100);
/// Cost of using another zone, on top of the link delay.
const ZONE_COST: Duration = Duration::from_millis(20);
/// Time for which an owner that could not be reached is avoided.
const AVOID_TIME: Duration = Duration::from_secs(2);
/// Maximum number of candidates per request.
const CANDIDATES_MAX: usize = 4;

/// Routing information about an instance.
#[derive(Debug, Clone, Copy)]
pub struct Peer<'a> {
    /// Instance id.
    pub id: &'a InstanceId,
    /// Availability zone.
    pub zone: &'a ZoneId,
    /// Models whose endpoints it owns.
    pub models: ModelSet,
}

#[derive(Debug, Default)]
struct ModelOwners {
    same_zone: Vec<InstanceId>,
    other_zones: Vec<InstanceId>,
}

/// Routing state of one entry instance.
#[derive(Debug)]
pub struct Router {
    zone: ZoneId,
    zones: HashMap<InstanceId, ZoneId>,
    owners: BTreeMap<ModelId, ModelOwners>,
    summaries: HashMap<(InstanceId, ModelId), (Summary, Time)>,
    delays: HashMap<ZoneId, Duration>,
    avoided: HashMap<InstanceId, Time>,
    rng: SmallRng,
}

impl Router {
    /// Creates the router of an entry in `zone`; `seed` makes the random choices reproducible.
    pub fn new(zone: ZoneId, seed: u64) -> Self {
        Self {
            zone,
            zones: HashMap::new(),
            owners: BTreeMap::new(),
            summaries: HashMap::new(),
            delays: HashMap::new(),
            avoided: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets the live instances and all models.
    pub fn set_peers<'a>(&mut self, peers: impl IntoIterator<Item = Peer<'a>>, models: &BTreeSet<ModelId>) {
        self.owners.clear();
        self.zones.clear();
        for peer in peers {
            self.zones.insert(peer.id.clone(), peer.zone.clone());
            for model in models.iter().filter(|m| peer.models.may_hold(m)) {
                let owners = self.owners.entry(model.clone()).or_default();
                let list =
                    if *peer.zone == self.zone { &mut owners.same_zone } else { &mut owners.other_zones };
                list.push(peer.id.clone());
            }
        }
        let zones = &self.zones;
        self.summaries.retain(|(id, _), _| zones.contains_key(id));
        self.avoided.retain(|id, _| zones.contains_key(id));
    }

    /// Sets the one-way delay to a zone.
    pub fn set_delay(&mut self, zone: ZoneId, delay: Duration) {
        self.delays.insert(zone, delay);
    }

    /// Records the summary in an owner's answer.
    pub fn record_summary(&mut self, now: Time, owner: &InstanceId, model: &ModelId, summary: Summary) {
        self.summaries.insert((owner.clone(), model.clone()), (summary, now));
    }

    /// Lowers the preference for an owner that could not be reached.
    pub fn avoid(&mut self, now: Time, owner: &InstanceId) {
        self.avoided.insert(owner.clone(), now + AVOID_TIME);
    }

    /// Owners to ask for `model`, best first.
    pub fn candidates(
        &mut self,
        now: Time,
        model: &ModelId,
        class: Class,
        prefix: Option<u64>,
    ) -> Vec<InstanceId> {
        let Some(owners) = self.owners.get(model) else {
            return Vec::new();
        };
        let mut out = Vec::with_capacity(CANDIDATES_MAX);
        let mut add = |id: &InstanceId| {
            if !out.contains(id) {
                out.push(id.clone());
            }
        };
        let nearest = if owners.same_zone.is_empty() { &owners.other_zones } else { &owners.same_zone };
        let key = prefix.filter(|_| class != Class::Long).map(|p| format!("{p:x}"));
        if let Some(id) =
            key.as_deref().and_then(|k| nearest.iter().max_by_key(|id| rendezvous::score(k, id)))
        {
            add(id);
        }
        for _ in 0..2 {
            add(&nearest[self.rng.random_range(0..nearest.len())]);
        }
        if !owners.same_zone.is_empty() && !owners.other_zones.is_empty() {
            add(&owners.other_zones[self.rng.random_range(0..owners.other_zones.len())]);
        }
        let prefix_owner = key.is_some().then(|| out[0].clone());
        out.sort_by_cached_key(|id| {
            let cost = self.cost(now, id, model);
            (cost, prefix_owner.as_ref() != Some(id))
        });
        out
    }

    /// Expected delay of a request that `owner` places, including the link cost.
    fn cost(&self, now: Time, owner: &InstanceId, model: &ModelId) -> Duration {
        let wait = match self.summaries.get(&(owner.clone(), model.clone())) {
            Some((s, at)) if now.since(*at) < SUMMARY_TTL => {
                if s.free == 0 {
                    s.wait + FULL_WAIT
                } else {
                    s.wait
                }
            }
            _ => UNKNOWN_WAIT,
        };
        let avoided =
            if self.avoided.get(owner).is_some_and(|t| *t > now) { SUMMARY_TTL * 10 } else { Duration::ZERO };
        wait + avoided + self.link_cost(owner)
    }

    fn link_cost(&self, owner: &InstanceId) -> Duration {
        let Some(zone) = self.zones.get(owner) else {
            return ZONE_COST;
        };
        if *zone == self.zone {
            return Duration::ZERO;
        }
        ZONE_COST + self.delays.get(zone).copied().unwrap_or_default() * 2
    }
}
