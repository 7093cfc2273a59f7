//! Rollout of configuration versions: whether this instance's version is current, and whether a change is in force on
//! all instances.
//!
//! An instance accepts new work only while it has recent assurance that its version is the newest. The assurance comes
//! from its own read of the store or from a peer's read, which is gossiped with its age. Ages add up along the path and
//! the receiver adds the full round trip, so no synchronized clocks are needed. While the store is down nothing can be
//! committed, so contact with a majority of the roster is enough.
//!
//! A change is in force once every active instance has acknowledged it, or has been unreachable for so long that it
//! must have stopped accepting work.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, Version};
use crate::time::Time;
use crate::window::Share;

/// Age of the last assurance at which an instance stops accepting new work.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(3);
/// Time until the loss of a member shows in the fraction of the roster that is seen alive.
const DETECTION_TIME: Duration = Duration::from_secs(2);
/// Allowance for scheduling delays and clock drift on top of the isolation timeout.
const CLOCK_MARGIN: Duration = Duration::from_millis(500);

/// Assurance that a version was the newest a short time ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freshness {
    /// Newest version at that time.
    pub version: Version,
    /// Time since then.
    pub age: Duration,
}

/// Version in force at an instance, and its evidence that no newer one exists.
#[derive(Debug, Default)]
pub struct VersionTracker {
    version: Version,
    newest: Version,
    assured_at: Option<Time>,
    majority_at: Option<Time>,
}

impl VersionTracker {
    /// Version in force at this instance.
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Newest version known to exist.
    pub const fn newest(&self) -> Version {
        self.newest
    }

    /// Whether a version newer than the one in force is known to exist.
    pub fn is_behind(&self) -> bool {
        self.version < self.newest
    }

    /// Puts `version` in force if it is newer than the current one; returns whether it was.
    pub fn apply(&mut self, version: Version) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.newest = self.newest.max(version);
        true
    }

    /// Records that `version` exists.
    pub fn observe(&mut self, version: Version) {
        self.newest = self.newest.max(version);
    }

    /// Records a read of the store that began at `asked` and found `newest`.
    pub fn record_store_read(&mut self, asked: Time, newest: Version) {
        self.observe(newest);
        // A stale read that returned an older version gives no assurance.
        if newest >= self.newest {
            self.assured_at = self.assured_at.max(Some(asked));
        }
    }

    /// Records a peer's assurance from the answer to a message sent at `asked`.
    pub fn record_peer_assurance(&mut self, asked: Time, fresh: Freshness) {
        self.observe(fresh.version);
        if fresh.version < self.newest {
            return;
        }
        let at = Time::from(Duration::from(asked).saturating_sub(fresh.age));
        self.assured_at = self.assured_at.max(Some(at));
    }

    /// Records the fraction of the roster that is seen alive.
    pub fn set_share(&mut self, now: Time, share: Share) {
        if share.seen * 2 > share.roster {
            self.majority_at = Some(now);
        }
    }

    /// Assurance to pass on to peers at `now`.
    pub fn fresh(&self, now: Time) -> Option<Freshness> {
        let at = self.assured_at?;
        Some(Freshness { version: self.newest, age: now.since(at) })
    }

    /// Whether new work may be accepted at `now`.
    pub fn is_current(&self, now: Time) -> bool {
        if self.version == Version(0) || self.is_behind() {
            return false;
        }
        let recent = |at: Option<Time>| at.is_some_and(|t| now.since(t) < ISOLATION_TIMEOUT);
        recent(self.assured_at) || recent(self.majority_at)
    }

    /// Discards all assurance, for use after the process was paused.
    pub const fn reset_assurance(&mut self) {
        self.assured_at = None;
        self.majority_at = None;
    }
}

/// Rollout progress of a committed change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// Committed, but not in force on all instances yet.
    Committed {
        /// Instances that have not acknowledged it.
        missing: Vec<InstanceId>,
    },
    /// In force on all instances.
    InForce,
}

/// Acknowledgements of one change, tracked by the instance that committed it.
#[derive(Debug)]
pub struct AckTracker {
    version: Version,
    waiting: BTreeMap<InstanceId, Time>,
    acked: usize,
}

impl AckTracker {
    /// Starts to track the acknowledgements of `members` for `version`, committed at `now`.
    pub fn new(now: Time, version: Version, members: impl IntoIterator<Item = InstanceId>) -> Self {
        Self { version, waiting: members.into_iter().map(|m| (m, now)).collect(), acked: 0 }
    }

    /// Version to be acknowledged.
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Records that `member` has `version` in force.
    pub fn record_ack(&mut self, member: &InstanceId, version: Version) {
        if version >= self.version && self.waiting.remove(member).is_some() {
            self.acked += 1;
        }
    }

    /// Members that have not acknowledged the version yet.
    pub fn missing(&self) -> impl Iterator<Item = &InstanceId> {
        self.waiting.keys()
    }

    /// Rollout progress at `now`.
    ///
    /// An unreachable member stops accepting work [`ISOLATION_TIMEOUT`] after its last assurance. This holds only if a
    /// majority has the change; otherwise the missing members could still assure each other.
    pub fn progress(&self, now: Time) -> Progress {
        let majority = self.acked > self.waiting.len();
        let isolated = |since: &Time| now.since(*since) >= DETECTION_TIME + ISOLATION_TIMEOUT + CLOCK_MARGIN;
        if self.waiting.is_empty() || (majority && self.waiting.values().all(isolated)) {
            return Progress::InForce;
        }
        Progress::Committed { missing: self.waiting.keys().cloned().collect() }
    }
}

/// Splits `targets` into at most `fanout` branches, each of a head and the targets to which the head forwards.
pub fn fan_out<T: Clone>(targets: &[T], fanout: usize) -> Vec<(T, Vec<T>)> {
    let size = targets.len().div_ceil(fanout.max(1)).max(1);
    targets
        .chunks(size)
        .filter_map(|c| c.split_first())
        .map(|(head, rest)| (head.clone(), rest.to_vec()))
        .collect()
}
