//! Whether a configuration version is current here, and in force everywhere.
//!
//! An instance takes new work only while it knows that its version was the newest a short time ago. It knows from its
//! own read of the store, or from a peer's, whose age travels with the news: ages add up on the way, and the receiver
//! adds the whole round trip, so that no synchronized clocks are needed. When the store is down nothing can be
//! committed; then contact with most of the roster is enough.
//!
//! A change is in force once every active instance has acknowledged it, or has been out of reach for so long that it
//! must have stopped taking work.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, Version};
use crate::time::Time;
use crate::window::Share;

/// Age of its last assurance at which an instance stops taking new work.
pub const ISOLATION: Duration = Duration::from_secs(3);
/// Time within which a lost member shows in the part of the roster that answers.
const DETECTION: Duration = Duration::from_secs(2);
/// Allowance for scheduling and clock drift on top of the isolation time.
const MARGIN: Duration = Duration::from_millis(500);

/// Assurance that no newer version existed a short time ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freshness {
    /// The newest version at that time.
    pub version: Version,
    /// How long ago that was.
    pub age: Duration,
}

/// What an instance knows of its version.
#[derive(Debug, Default)]
pub struct VersionTracker {
    version: Version,
    newest: Version,
    assured: Option<Time>,
    majority: Option<Time>,
}

impl VersionTracker {
    /// Version in force here.
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Newest version heard of.
    pub const fn newest(&self) -> Version {
        self.newest
    }

    /// Whether a newer version was heard of than is in force here.
    pub fn is_behind(&self) -> bool {
        self.version < self.newest
    }

    /// Puts `version` in force; an older one than the present is refused.
    pub fn apply(&mut self, version: Version) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.newest = self.newest.max(version);
        true
    }

    /// Takes in that `version` exists.
    pub fn observe(&mut self, version: Version) {
        self.newest = self.newest.max(version);
    }

    /// Takes in a read of the store that began at `asked` and found `newest`.
    pub fn record_store_read(&mut self, asked: Time, newest: Version) {
        self.observe(newest);
        // A stale read of an older version assures nothing.
        if newest >= self.newest {
            self.assured = self.assured.max(Some(asked));
        }
    }

    /// Takes in a peer's assurance, in an answer to a message sent at `asked`.
    pub fn record_peer_assurance(&mut self, asked: Time, fresh: Freshness) {
        self.observe(fresh.version);
        if fresh.version < self.newest {
            return;
        }
        let at = Time::from(Duration::from(asked).saturating_sub(fresh.age));
        self.assured = self.assured.max(Some(at));
    }

    /// Takes in which part of the roster answers.
    pub fn set_share(&mut self, now: Time, share: Share) {
        if share.seen * 2 > share.roster {
            self.majority = Some(now);
        }
    }

    /// Assurance to hand on at `now`.
    pub fn fresh(&self, now: Time) -> Option<Freshness> {
        let at = self.assured?;
        Some(Freshness { version: self.newest, age: now.since(at) })
    }

    /// Whether new work may be taken at `now`.
    pub fn is_current(&self, now: Time) -> bool {
        if self.version == Version(0) || self.is_behind() {
            return false;
        }
        let recent = |at: Option<Time>| at.is_some_and(|t| now.since(t) < ISOLATION);
        recent(self.assured) || recent(self.majority)
    }

    /// Forgets all assurance, after the process was paused.
    pub const fn reset_assurance(&mut self) {
        self.assured = None;
        self.majority = None;
    }
}

/// How far a committed change has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// Not in force everywhere yet.
    Committed {
        /// Instances that have not acknowledged it.
        missing: Vec<InstanceId>,
    },
    /// In force everywhere.
    InForce,
}

/// Tracks acknowledgements of one change at the instance that committed it.
#[derive(Debug)]
pub struct AckTracker {
    version: Version,
    waiting: BTreeMap<InstanceId, Time>,
    acked: usize,
}

impl AckTracker {
    /// Waits for `members` to acknowledge `version`, committed at `now`.
    pub fn new(now: Time, version: Version, members: impl IntoIterator<Item = InstanceId>) -> Self {
        Self { version, waiting: members.into_iter().map(|m| (m, now)).collect(), acked: 0 }
    }

    /// The version waited for.
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Takes in that `member` has `version` in force.
    pub fn record_ack(&mut self, member: &InstanceId, version: Version) {
        if version >= self.version && self.waiting.remove(member).is_some() {
            self.acked += 1;
        }
    }

    /// Members that have not acknowledged it yet.
    pub fn missing(&self) -> impl Iterator<Item = &InstanceId> {
        self.waiting.keys()
    }

    /// How far the change has come.
    ///
    /// A member that can't be reached stops taking work [`ISOLATION`] after its last assurance. That holds only if
    /// most members have the change: otherwise the missing ones could be assuring each other.
    pub fn progress(&self, now: Time) -> Progress {
        let most = self.acked > self.waiting.len();
        let isolated = |since: &Time| now.since(*since) >= DETECTION + ISOLATION + MARGIN;
        if self.waiting.is_empty() || (most && self.waiting.values().all(isolated)) {
            return Progress::InForce;
        }
        Progress::Committed { missing: self.waiting.keys().cloned().collect() }
    }
}

/// Splits `targets` into at most `fanout` branches: a head, and those that the head hands on to.
pub fn fan_out<T: Clone>(targets: &[T], fanout: usize) -> Vec<(T, Vec<T>)> {
    let size = targets.len().div_ceil(fanout.max(1)).max(1);
    targets
        .chunks(size)
        .filter_map(|c| c.split_first())
        .map(|(head, rest)| (head.clone(), rest.to_vec()))
        .collect()
}
