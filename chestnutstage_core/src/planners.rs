//! Selection of the instances that place requests for all others.
//!
//! In a small deployment every instance is a planner: it places its own requests from the grants that all instances
//! exchange, whose number grows with the square of the instances. In a larger one, a few instances of each zone are
//! planners, and the others ask them. Every instance computes the same planners from the registered members, so that
//! nothing has to be elected. The choice prefers the instances with the largest capacity.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::ids::{InstanceId, ZoneId};
use crate::rendezvous::score;

/// Number of instances up to which all of them are planners.
pub const ALL_PLAN_MAX: usize = 16;
/// Planners of each zone in a larger deployment; two may fail before its instances have to ask another zone.
pub const PLANNERS_PER_ZONE: usize = 3;
/// Planners of other zones to which an instance keeps a link, in case that those of its own zone fail.
const REMOTE_PLANNERS: usize = 1;
/// Key of the hash by which planners of equal capacity are ordered.
const ORDER_KEY: &str = "planner";

/// An instance that may become a planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Name of the instance.
    pub id: &'a InstanceId,
    /// Zone of the instance.
    pub zone: &'a ZoneId,
    /// Processor capacity, in thousandths of a core.
    pub capacity: u32,
}

/// The planners of a deployment.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Planners {
    by_zone: BTreeMap<ZoneId, Vec<InstanceId>>,
    /// Whether every instance is a planner.
    everyone: bool,
}

impl Planners {
    /// Selects the planners among all registered instances.
    pub fn select<'a>(instances: impl IntoIterator<Item = Candidate<'a>>) -> Self {
        let mut zones: BTreeMap<&ZoneId, Vec<Candidate<'a>>> = BTreeMap::new();
        for candidate in instances {
            zones.entry(candidate.zone).or_default().push(candidate);
        }
        let everyone = zones.values().map(Vec::len).sum::<usize>() <= ALL_PLAN_MAX;
        let by_zone = zones.into_iter().map(|(zone, mut candidates)| {
            candidates.sort_by_cached_key(|c| (Reverse(c.capacity), Reverse(score(ORDER_KEY, c.id))));
            let count = if everyone { candidates.len() } else { PLANNERS_PER_ZONE };
            (zone.clone(), candidates.iter().take(count).map(|c| c.id.clone()).collect())
        });
        Self { by_zone: by_zone.collect(), everyone }
    }

    /// Number of planners.
    pub fn count(&self) -> usize {
        self.by_zone.values().map(Vec::len).sum()
    }

    /// Whether every instance is a planner.
    pub const fn includes_everyone(&self) -> bool {
        self.everyone
    }

    /// Whether an instance is a planner.
    pub fn contains(&self, id: &InstanceId) -> bool {
        self.by_zone.values().any(|planners| planners.contains(id))
    }

    /// Planners to which an instance keeps a link: all others for a planner; for the rest, those of its zone and
    /// [`REMOTE_PLANNERS`] elsewhere.
    pub fn links_of<'a>(&'a self, id: &'a InstanceId, zone: &ZoneId) -> Vec<&'a InstanceId> {
        let all = self.by_zone.values().flatten();
        if self.contains(id) {
            return all.filter(|planner| *planner != id).collect();
        }
        let local = self.by_zone.get(zone).into_iter().flatten();
        let mut remote: Vec<_> = self
            .by_zone
            .iter()
            .filter(|(other, _)| *other != zone)
            .flat_map(|(_, planners)| planners)
            .collect();
        remote.sort_by_cached_key(|planner| Reverse(score(id.as_str(), planner)));
        local.chain(remote.into_iter().take(REMOTE_PLANNERS)).collect()
    }

    /// Linked planners in the order in which an instance asks them: those of its own zone first, each instance in an
    /// order of its own, so that the planners of a zone share its instances.
    pub fn ask_order<'a>(
        &'a self,
        id: &InstanceId,
        zone: &ZoneId,
        linked: &[InstanceId],
    ) -> Vec<&'a InstanceId> {
        let planners =
            self.by_zone.iter().flat_map(|(z, planners)| planners.iter().map(move |p| (z == zone, p)));
        let mut order: Vec<_> = planners.filter(|(_, planner)| linked.contains(planner)).collect();
        order.sort_by_cached_key(|(local, planner)| (!local, Reverse(score(id.as_str(), planner))));
        order.into_iter().map(|(_, planner)| planner).collect()
    }
}
