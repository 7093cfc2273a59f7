//! Which endpoints an instance reaches over the network.
//!
//! A connection that can't be opened does not tell a lost path from an endpoint that is down. What tells them apart is what
//! happens to the others: an instance that fails to reach two endpoints in a row, among them one of every zone that has open
//! ones, and reaches none in between, takes itself to be cut off until it reaches one again. The failures of one zone alone
//! don't count as a cut, since all its endpoints fail together when the zone loses its power or its network. Only newly opened
//! connections count, since open ones may live on while new ones are refused, and may hang without an error.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::ZoneId;
use crate::pool::{Key, OpenEndpoint};
use crate::time::Time;

/// Endpoints not reached in a row from which the instance counts as cut off.
const CUT_OFF_MIN: usize = 2;
/// Time for which an instance has to be cut off before it stops accepting requests that no peer can send on.
const CUT_OFF_SETTLED: Duration = Duration::from_secs(1);
/// Zones of which an endpoint is probed at once after a failure.
const ZONES_PROBED_MAX: usize = 3;

/// Change of what an instance believes of its paths.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It takes itself to be cut off from all endpoints.
    CutOff,
    /// It reaches an endpoint again, after it was cut off for this time.
    Reconnected(Duration),
}

/// Paths from an instance to the endpoints.
#[derive(Debug, Default)]
pub struct Paths {
    /// Endpoints to which the latest connection could not be opened.
    lost: BTreeSet<Key>,
    /// Those among them since any connection was opened.
    row: BTreeSet<Key>,
    /// Endpoints whose path has to be checked.
    suspects: BTreeSet<Key>,
    cut_since: Option<Time>,
    /// Number of times that it took itself to be cut off.
    cuts: u64,
    /// Endpoint that was probed last, except after a failure elsewhere.
    probed: Option<Key>,
    /// Endpoint that was probed last after a failure elsewhere.
    compared: Option<Key>,
}

impl Paths {
    /// Records that a connection to an endpoint was opened.
    pub fn record_reached(&mut self, now: Time, key: Key) -> Option<Change> {
        self.lost.remove(&key);
        self.suspects.remove(&key);
        self.row.clear();
        self.cut_since.take().map(|since| Change::Reconnected(now.since(since)))
    }

    /// Records that a connection to an endpoint can't be opened; `open` are the endpoints that accept work.
    pub fn record_failed(&mut self, now: Time, key: Key, open: &[OpenEndpoint]) -> Option<Change> {
        self.lost.insert(key);
        self.row.insert(key);
        self.suspects.remove(&key);
        let may_be_cut = self.row.len() >= CUT_OFF_MIN && self.untried_zones(open).is_empty();
        if self.cut_since.is_some() || !may_be_cut {
            return None;
        }
        self.cut_since = Some(now);
        self.cuts += 1;
        Some(Change::CutOff)
    }

    /// Has the path to an endpoint checked; what happened there may be the fault of the path.
    pub fn suspect(&mut self, key: Key) {
        if !self.lost.contains(&key) {
            self.suspects.insert(key);
        }
    }

    /// Whether the instance takes itself to be cut off from all endpoints.
    pub const fn is_cut_off(&self) -> bool {
        self.cut_since.is_some()
    }

    /// Number of times that the instance took itself to be cut off.
    pub const fn cuts(&self) -> u64 {
        self.cuts
    }

    /// Whether the instance has been cut off for so long that other endpoints were tried as well.
    pub fn is_settled_cut(&self, now: Time) -> bool {
        self.cut_since.is_some_and(|since| now.since(since) >= CUT_OFF_SETTLED)
    }

    /// Whether a failure may be that of the instance's own paths: since the latest one no endpoint was reached.
    pub fn is_doubtful(&self) -> bool {
        !self.row.is_empty()
    }

    /// Whether an endpoint is better reached through a peer.
    pub fn is_lost(&self, key: Key) -> bool {
        self.is_cut_off() || self.lost.contains(&key)
    }

    /// Whether any path has to be probed.
    pub fn needs_probes(&self) -> bool {
        self.is_cut_off() || !self.lost.is_empty() || !self.suspects.is_empty()
    }

    /// Chooses the endpoints that are probed next, among the `open` ones in ascending order of their keys. Forgets those that
    /// are not open.
    pub fn next_probes(&mut self, open: &[OpenEndpoint]) -> Vec<Key> {
        for keys in [&mut self.lost, &mut self.row, &mut self.suspects] {
            keys.retain(|key| open.binary_search_by_key(key, |endpoint| endpoint.key).is_ok());
        }
        let mut chosen: Vec<_> = self.suspects.pop_first().into_iter().collect();
        if self.is_doubtful() && !self.is_cut_off() {
            // Those that were not tried yet tell soonest whether the instance is cut off.
            let compared = self.choose_compared(open);
            self.compared = compared.last().copied().or(self.compared);
            chosen.extend(compared);
        }
        if chosen.is_empty() {
            let next = if self.is_cut_off() {
                first_after(self.probed, open.iter().map(|endpoint| endpoint.key))
            } else {
                first_after(self.probed, self.lost.iter().copied())
            };
            self.probed = next.or(self.probed);
            chosen.extend(next);
        }
        chosen
    }

    /// Endpoints that are compared with those that failed: one of each zone in which none failed, otherwise any one. Those that
    /// are not known as lost come first.
    fn choose_compared(&self, open: &[OpenEndpoint]) -> Vec<Key> {
        let (lost, sound): (Vec<_>, Vec<_>) =
            open.iter().partition(|endpoint| self.lost.contains(&endpoint.key));
        let untried = self.untried_zones(open);
        if untried.is_empty() {
            return first_after(self.compared, sound.iter().map(|endpoint| endpoint.key))
                .into_iter()
                .collect();
        }
        let chosen = untried.into_iter().filter_map(|zone| {
            [&sound, &lost].into_iter().find_map(|endpoints| {
                let inside = endpoints.iter().filter(|endpoint| endpoint.zone == *zone);
                first_after(self.compared, inside.map(|endpoint| endpoint.key))
            })
        });
        chosen.take(ZONES_PROBED_MAX).collect()
    }

    /// Zones with open endpoints none of which failed since any connection was opened.
    fn untried_zones<'a>(&self, open: &'a [OpenEndpoint]) -> BTreeSet<&'a ZoneId> {
        let failed = open.iter().filter(|endpoint| self.row.contains(&endpoint.key));
        let failed: BTreeSet<_> = failed.map(|endpoint| &endpoint.zone).collect();
        open.iter().map(|endpoint| &endpoint.zone).filter(|zone| !failed.contains(zone)).collect()
    }
}

/// The first key after the one that was chosen last, in a cycle.
fn first_after(last: Option<Key>, keys: impl Iterator<Item = Key> + Clone) -> Option<Key> {
    keys.clone().find(|key| Some(*key) > last).or_else(|| keys.min())
}

/// Chooses endpoints that tell whether the failure of another one is its own, `count` at most and in the given order, but of as
/// many other zones as possible.
pub fn choose_witnesses(open: Vec<OpenEndpoint>, failed: Key, count: usize) -> Vec<OpenEndpoint> {
    let zone = open.iter().find(|endpoint| endpoint.key == failed).map(|endpoint| endpoint.zone.clone());
    let mut taken: BTreeMap<_, usize> = zone.into_iter().map(|zone| (zone, 1)).collect();
    let others = open.into_iter().filter(|endpoint| endpoint.key != failed);
    let mut ranked: Vec<_> = others
        .map(|endpoint| {
            let rank = taken.entry(endpoint.zone.clone()).or_default();
            *rank += 1;
            (*rank, endpoint)
        })
        .collect();
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.truncate(count);
    ranked.into_iter().map(|(_, endpoint)| endpoint).collect()
}
