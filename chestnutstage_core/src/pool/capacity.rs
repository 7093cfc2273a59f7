//! Use of what the planners learn of the endpoints' capacity ([`crate::capacity`]).
//!
//! Answers uneven endpoints. The first event of each brief prompt and the response of each plain call that this planner
//! placed is compared with the forecast of its placement, which stays here: grants go to peers of earlier versions.
//! Planners tell each other their observations.

use std::collections::BTreeMap;
use std::time::Duration;

use super::plain::SLOT_TIME;
use super::prompt::millis;
use super::{Key, Listing, Pool, Site, Work};
use crate::capacity::{self, CapacityReport, Observation, PaceChange, REPORTED_MAX};
use crate::ids::{EndpointId, ModelId};
use crate::time::Time;

/// Interval at which the endpoints of a service are compared.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// Changes that are kept for the log.
const CHANGES_MAX: usize = 256;

/// Change of an endpoint's learned pace across the slowdown from which it takes effect.
#[derive(Debug, Clone, PartialEq)]
pub struct CapacityChange {
    /// Endpoint id.
    pub endpoint: EndpointId,
    /// What was learned.
    pub change: PaceChange,
}

/// State of the learning that belongs to no single endpoint.
#[derive(Debug, Default)]
pub(super) struct Learning {
    enabled: bool,
    updated: Time,
    changes: Vec<CapacityChange>,
    /// Endpoint after which the next reports begin.
    last_reported: Option<Key>,
}

/// Forecast of a placement.
#[derive(Debug, Clone, Copy)]
pub(super) struct Forecast {
    expected_ms: f64,
    inflight: u32,
}

impl Pool {
    /// Enables or disables the use of learned capacities.
    pub fn set_learned_capacity(&mut self, enabled: bool) {
        self.learning.enabled = enabled;
    }

    /// Takes this planner's observations since the last call, of at most [`REPORTED_MAX`] endpoints.
    pub fn take_capacity_reports(&mut self, now: Time) -> Vec<CapacityReport> {
        let last = self.learning.last_reported.take();
        let mut reports = Vec::new();
        let mut take = |(key, site): (&Key, &mut Site)| {
            if reports.len() < REPORTED_MAX {
                let tallies = site.learned.take_unsent(now);
                if !tallies.is_empty() {
                    reports.push(CapacityReport { endpoint: *key, tallies });
                }
            }
        };
        // Those left out of the last message come first.
        self.sites.iter_mut().filter(|(key, _)| last.is_some_and(|last| **key > last)).for_each(&mut take);
        self.sites.iter_mut().filter(|(key, _)| last.is_none_or(|last| **key <= last)).for_each(&mut take);
        if reports.len() == REPORTED_MAX {
            self.learning.last_reported = reports.last().map(|report| report.endpoint);
        }
        reports
    }

    /// Applies the observations of another planner; what is out of range is skipped.
    pub fn apply_capacity_reports(&mut self, now: Time, reports: &[CapacityReport]) {
        for report in reports.iter().take(REPORTED_MAX) {
            if let Some(site) = self.sites.get_mut(&report.endpoint)
                && now >= site.cold_until
            {
                site.learned.apply(now, &report.tallies);
            }
        }
    }

    /// Takes the changes of learned paces since the last call, for the log.
    pub fn take_capacity_changes(&mut self) -> Vec<CapacityChange> {
        std::mem::take(&mut self.learning.changes)
    }

    /// Endpoints with a learned limit below their slots, each with the limit.
    pub fn learned_limits(&self, now: Time) -> impl Iterator<Item = (&Listing, u32)> {
        let limits = self.sites.values().map(move |s| (s, self.learned_limit(now, s)));
        limits.filter(|(s, limit)| *limit < s.listing.slots).map(|(s, limit)| (&s.listing, limit))
    }

    /// Learned pace of an endpoint; one if it is unknown or not slower than the others.
    pub fn learned_pace(&self, now: Time, key: Key) -> f64 {
        let site = self.sites.get(&key).filter(|_| self.learning.enabled);
        site.map_or(1.0, |site| site.learned.pace(now))
    }

    /// Observed time divided by published time: the larger of the endpoint's own report and what was learned.
    pub(super) fn pace(&self, now: Time, site: &Site) -> f64 {
        let reported = site.pace(now);
        if self.learning.enabled { reported.max(site.learned.pace(now)) } else { reported }
    }

    /// Requests in flight that an endpoint serves well, at most its slots.
    pub(super) fn learned_limit(&self, now: Time, site: &Site) -> u32 {
        let slots = site.listing.slots;
        if self.learning.enabled { site.learned.limit(now, slots) } else { slots }
    }

    /// Whether an endpoint was found slower than the others.
    pub(super) fn is_learned(&self, now: Time, site: &Site) -> bool {
        self.learning.enabled
            && (site.learned.pace(now) > 1.0 || self.learned_limit(now, site) < site.listing.slots)
    }

    /// Slowdown to expect of a request that tries a slow endpoint; `None` while no trial is due.
    pub(super) fn trial(&self, now: Time, site: &Site) -> Option<f64> {
        site.learned.trial(now).filter(|_| self.learning.enabled)
    }

    /// Response time of a plain service's other endpoints, in milliseconds.
    pub(super) fn unit_ms(site: &Site) -> f64 {
        millis(SLOT_TIME) * site.learned.reference().unwrap_or(1.0)
    }

    /// Forecast of a placement at the published speed; `None` if nothing is learned from it.
    pub(super) fn forecast(
        &self,
        now: Time,
        key: Key,
        work: Work,
        inflight: u32,
        expected: Duration,
    ) -> Option<Forecast> {
        let site = self.sites.get(&key).filter(|site| self.learning.enabled && now >= site.cold_until)?;
        let expected_ms = match work {
            Work::Bulk => return None,
            Work::Brief => millis(expected) / self.pace(now, site),
            Work::Plain => {
                millis(SLOT_TIME) * (f64::from(inflight) / f64::from(site.listing.slots.max(1))).max(1.0)
            }
        };
        Some(Forecast { expected_ms, inflight })
    }

    /// Learns from the first event or response of a grant.
    pub(super) fn learn(&mut self, now: Time, number: u64) {
        let Some(Forecast { expected_ms, inflight }) = self.forecasts.remove(&number) else { return };
        let Some(grant) = self.mine.get(&number) else { return };
        let observed_ms = millis(now.since(grant.granted));
        let observation = Observation { inflight, expected_ms, observed_ms };
        if let Some(site) = self.sites.get_mut(&grant.parts[0].endpoint) {
            site.learned.record(now, &observation);
        }
    }

    /// Compares the endpoints of each service, at intervals.
    pub(super) fn update_learned(&mut self, now: Time) {
        if !self.learning.enabled || now.since(self.learning.updated) < UPDATE_INTERVAL {
            return;
        }
        self.learning.updated = now;
        let mut services: BTreeMap<ModelId, (Vec<EndpointId>, Vec<_>)> = BTreeMap::new();
        for site in self.sites.values_mut() {
            let (ids, learned) = services.entry(site.listing.service.clone()).or_default();
            ids.push(site.listing.id.clone());
            learned.push((&mut site.learned, site.listing.slots));
        }
        for (ids, mut endpoints) in services.into_values() {
            for (index, change) in capacity::update(now, &mut endpoints) {
                if self.learning.changes.len() < CHANGES_MAX {
                    self.learning.changes.push(CapacityChange { endpoint: ids[index].clone(), change });
                }
            }
        }
    }
}
