//! Choice of the owners that an entry instance asks for an endpoint.
//!
//! No entry knows every endpoint. It knows which instances own endpoints of a model, and for a few of them a summary
//! that came with an earlier answer. It looks at the owner that the prompt's prefix hashes to and at two random ones
//! of its own zone, then at one elsewhere, and orders them by expected wait plus link cost. Links between zones are
//! costly, so that another zone is only worth it when the own one is busy.

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

/// Age after which a summary says nothing.
const SUMMARY_LIFE: Duration = Duration::from_secs(2);
/// Wait assumed of an owner that nothing is known of.
const UNKNOWN_WAIT: Duration = Duration::from_millis(100);
/// Wait assumed of an owner that said it had nothing free, on top of its queue.
const FULL_WAIT: Duration = Duration::from_millis(100);
/// Cost of leaving the zone, on top of the link's delay.
const ZONE_COST: Duration = Duration::from_millis(20);
/// How long an owner that could not be reached is passed over.
const AVOID_TIME: Duration = Duration::from_secs(2);
/// Owners asked, at the most.
const CANDIDATES_MAX: usize = 4;

/// An instance, as far as routing goes.
#[derive(Debug, Clone, Copy)]
pub struct Peer<'a> {
    /// Its name.
    pub id: &'a InstanceId,
    /// Its availability zone.
    pub zone: &'a ZoneId,
    /// Models of which it owns endpoints.
    pub models: ModelSet,
}

#[derive(Debug, Default)]
struct Pool {
    near: Vec<InstanceId>,
    far: Vec<InstanceId>,
}

/// Routing state of one entry instance.
#[derive(Debug)]
pub struct Router {
    zone: ZoneId,
    zones: HashMap<InstanceId, ZoneId>,
    pools: BTreeMap<ModelId, Pool>,
    summaries: HashMap<(InstanceId, ModelId), (Summary, Time)>,
    delays: HashMap<ZoneId, Duration>,
    avoided: HashMap<InstanceId, Time>,
    rng: SmallRng,
}

impl Router {
    /// Routing from `zone`; `seed` makes the choices repeatable.
    pub fn new(zone: ZoneId, seed: u64) -> Self {
        Self {
            zone,
            zones: HashMap::new(),
            pools: BTreeMap::new(),
            summaries: HashMap::new(),
            delays: HashMap::new(),
            avoided: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes in the instances that are alive, and all models that there are.
    pub fn set_peers<'a>(&mut self, peers: impl IntoIterator<Item = Peer<'a>>, models: &BTreeSet<ModelId>) {
        self.pools.clear();
        self.zones.clear();
        for peer in peers {
            self.zones.insert(peer.id.clone(), peer.zone.clone());
            for model in models.iter().filter(|m| peer.models.may_hold(m)) {
                let pool = self.pools.entry(model.clone()).or_default();
                let side = if *peer.zone == self.zone { &mut pool.near } else { &mut pool.far };
                side.push(peer.id.clone());
            }
        }
        let zones = &self.zones;
        self.summaries.retain(|(id, _), _| zones.contains_key(id));
        self.avoided.retain(|id, _| zones.contains_key(id));
    }

    /// Takes in the one-way delay to a zone.
    pub fn set_delay(&mut self, zone: ZoneId, delay: Duration) {
        self.delays.insert(zone, delay);
    }

    /// Takes in a summary that came with an answer.
    pub fn record_summary(&mut self, now: Time, owner: &InstanceId, model: &ModelId, summary: Summary) {
        self.summaries.insert((owner.clone(), model.clone()), (summary, now));
    }

    /// Passes over an owner that could not be reached.
    pub fn avoid(&mut self, now: Time, owner: &InstanceId) {
        self.avoided.insert(owner.clone(), now + AVOID_TIME);
    }

    /// Owners to ask for `model`, the best first.
    pub fn candidates(
        &mut self,
        now: Time,
        model: &ModelId,
        class: Class,
        prefix: Option<u64>,
    ) -> Vec<InstanceId> {
        let Some(pool) = self.pools.get(model) else {
            return Vec::new();
        };
        let mut out = Vec::with_capacity(CANDIDATES_MAX);
        let mut add = |id: &InstanceId| {
            if !out.contains(id) {
                out.push(id.clone());
            }
        };
        let home = if pool.near.is_empty() { &pool.far } else { &pool.near };
        let key = prefix.filter(|_| class != Class::Long).map(|p| format!("{p:x}"));
        if let Some(id) = key.as_deref().and_then(|k| home.iter().max_by_key(|id| rendezvous::score(k, id))) {
            add(id);
        }
        for _ in 0..2 {
            add(&home[self.rng.random_range(0..home.len())]);
        }
        if !pool.near.is_empty() && !pool.far.is_empty() {
            add(&pool.far[self.rng.random_range(0..pool.far.len())]);
        }
        let favourite = key.is_some().then(|| out[0].clone());
        out.sort_by_cached_key(|id| {
            let cost = self.cost(now, id, model);
            (cost, favourite.as_ref() != Some(id))
        });
        out
    }

    /// Expected delay of a request that `owner` places.
    fn cost(&self, now: Time, owner: &InstanceId, model: &ModelId) -> Duration {
        let wait = match self.summaries.get(&(owner.clone(), model.clone())) {
            Some((s, at)) if now.since(*at) < SUMMARY_LIFE => {
                if s.free == 0 {
                    s.wait + FULL_WAIT
                } else {
                    s.wait
                }
            }
            _ => UNKNOWN_WAIT,
        };
        let avoided = if self.avoided.get(owner).is_some_and(|t| *t > now) {
            SUMMARY_LIFE * 10
        } else {
            Duration::ZERO
        };
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
