//! Which endpoints an instance reaches over the network.
//!
//! A connection that can't be opened does not tell a lost path from an endpoint that is down. What tells them apart is what
//! happens to the others: an instance that fails to reach two endpoints in a row, and none in between, takes itself to be
//! cut off until it reaches one again. Only newly opened connections count, since open ones may live on while new ones are
//! refused, and may hang without an error.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::pool::Key;
use crate::time::Time;

/// Endpoints not reached in a row from which the instance counts as cut off.
const CUT_OFF_MIN: usize = 2;
/// Time for which an instance has to be cut off before it stops accepting requests that no peer can send on.
const CUT_OFF_SETTLED: Duration = Duration::from_secs(1);

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
    /// Endpoint that was probed last.
    probed: Option<Key>,
}

impl Paths {
    /// Records that a connection to an endpoint was opened.
    pub fn record_reached(&mut self, now: Time, key: Key) -> Option<Change> {
        self.lost.remove(&key);
        self.suspects.remove(&key);
        self.row.clear();
        self.cut_since.take().map(|since| Change::Reconnected(now.since(since)))
    }

    /// Records that a connection to an endpoint can't be opened.
    pub fn record_failed(&mut self, now: Time, key: Key) -> Option<Change> {
        self.lost.insert(key);
        self.row.insert(key);
        self.suspects.remove(&key);
        if self.cut_since.is_some() || self.row.len() < CUT_OFF_MIN {
            return None;
        }
        self.cut_since = Some(now);
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

    /// Chooses the endpoint that is probed next, among the `listed` ones in ascending order. Forgets those that are not listed.
    pub fn next_probe(&mut self, listed: &[Key]) -> Option<Key> {
        for keys in [&mut self.lost, &mut self.row, &mut self.suspects] {
            keys.retain(|key| listed.binary_search(key).is_ok());
        }
        let chosen = if let Some(suspect) = self.suspects.pop_first() {
            Some(suspect)
        } else if self.is_cut_off() {
            self.after_probed(listed.iter().copied())
        } else {
            // One that was not tried yet tells soonest whether the instance is cut off.
            let untried = listed.iter().copied().filter(|key| !self.lost.contains(key));
            let untried = if self.is_doubtful() { self.after_probed(untried) } else { None };
            untried.or_else(|| self.after_probed(self.lost.iter().copied()))
        };
        self.probed = chosen.or(self.probed);
        chosen
    }

    /// The first key after the one that was probed last, in a cycle.
    fn after_probed(&self, keys: impl Iterator<Item = Key> + Clone) -> Option<Key> {
        keys.clone().find(|key| Some(*key) > self.probed).or_else(|| keys.min())
    }
}
