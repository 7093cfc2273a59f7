//! Exchange of grants between the planners.
//!
//! A planner sends [`Changes`] shortly after each grant, and a [`Snapshot`] of all its grants at longer intervals.
//! Messages may be lost or overtake each other: each message repeats the changes of the two before it, changes can be
//! applied any number of times, and the next snapshot corrects what is still missing.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{BACKOFF_MAX, Grant, Key, LimitReport, Peer, Pool};
use crate::ids::InstanceId;
use crate::time::Time;

/// Earlier messages whose changes are sent again.
const RESENT_MESSAGES: usize = 2;

/// All grants of a planner, and what it observed of endpoints. Times are relative to the sender's epoch.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Grants by number.
    pub grants: Vec<(u64, Grant)>,
    /// Endpoints that failed for the sender, with their remaining backoff in milliseconds.
    pub paused: Vec<(Key, u32)>,
    /// Pace of the endpoints that the sender watches: observed time divided by published time.
    pub paces: Vec<(Key, f32)>,
    /// Endpoints that told the sender that they want no requests, each with the remaining time in milliseconds; `None`
    /// if it leaves.
    pub withdrawn: Vec<(Key, Option<u32>)>,
    /// Request limits that endpoints named.
    pub limits: Vec<LimitReport>,
}

/// Changes of a planner's grants. Times are relative to the sender's epoch.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// New grants by number.
    pub added: Vec<(u64, Grant)>,
    /// Grants whose first event has arrived, with its time.
    pub started: Vec<(u64, Time)>,
    /// Grants that have ended.
    pub ended: Vec<u64>,
    /// Endpoints that failed for the sender, with their remaining backoff in milliseconds.
    pub paused: Vec<(Key, u32)>,
    /// As in [`Snapshot`], but only recent ones.
    pub withdrawn: Vec<(Key, Option<u32>)>,
    /// Request limits that changed recently.
    pub limits: Vec<LimitReport>,
}

impl Changes {
    /// Records the end of a grant; the peers need not learn of a grant that ended before it was sent.
    pub(super) fn record_end(&mut self, number: u64) {
        self.started.retain(|(started, _)| *started != number);
        let unsent = self.added.len();
        self.added.retain(|(added, _)| *added != number);
        if self.added.len() == unsent {
            self.ended.push(number);
        }
    }

    fn extend(&mut self, other: &Self) {
        self.added.extend(other.added.iter().cloned());
        self.started.extend(&other.started);
        self.ended.extend(&other.ended);
    }
}

impl Pool {
    /// Complete state of this planner, for a peer.
    pub fn snapshot(&self, now: Time) -> Snapshot {
        let grants = self.mine.iter().map(|(number, grant)| (*number, grant.clone())).collect();
        let paces = self.sites.iter().filter_map(|(k, s)| s.own_pace.map(|p| (*k, p))).collect();
        Snapshot {
            grants,
            paused: self.paused(now),
            paces,
            withdrawn: self.own_withdrawals(now, true),
            limits: self.limit_reports(now, true),
        }
    }

    /// Takes the changes since the last call, together with those of the calls before it that are sent again.
    pub fn take_changes(&mut self, now: Time) -> Changes {
        let fresh = std::mem::take(&mut self.unsent);
        let withdrawn = self.own_withdrawals(now, false);
        let limits = self.limit_reports(now, false);
        let mut changes = Changes { paused: self.paused(now), withdrawn, limits, ..Changes::default() };
        for sent in &self.resent {
            changes.extend(sent);
        }
        changes.extend(&fresh);
        self.resent.push_back(fresh);
        if self.resent.len() > RESENT_MESSAGES {
            self.resent.pop_front();
        }
        changes
    }

    fn paused(&self, now: Time) -> Vec<(Key, u32)> {
        let failed = self.sites.iter().filter(|(_, s)| {
            now < s.paused_until && now.since(s.last_failure) < BACKOFF_MAX && s.failures > 0
        });
        failed.map(|(k, s)| (*k, s.paused_until.since(now).as_millis() as u32)).collect()
    }

    /// Replaces the grants of a peer; `sent` is by the peer's clock and `now` the time of receipt.
    pub fn apply_snapshot(&mut self, now: Time, peer: InstanceId, sent: Time, snapshot: Snapshot) {
        self.apply_paused(now, &snapshot.paused);
        self.apply_withdrawals(now, &snapshot.withdrawn);
        self.apply_limits(now, &snapshot.limits);
        for (key, pace) in &snapshot.paces {
            if let Some(site) = self.sites.get_mut(key) {
                site.pace = (*pace, now);
                site.own_pace = None;
            }
        }
        let grants = snapshot.grants.into_iter().map(|(number, grant)| (number, grant.translate(now, sent)));
        self.peers.insert(peer, Peer { heard: now, grants: grants.collect() });
    }

    /// Applies changes of a peer's grants; `sent` is by the peer's clock and `now` the time of receipt.
    pub fn apply_changes(&mut self, now: Time, peer: InstanceId, sent: Time, changes: Changes) {
        let clock = PeerClock { now, sent };
        self.apply_paused(now, &changes.paused);
        self.apply_withdrawals(now, &changes.withdrawn);
        self.apply_limits(now, &changes.limits);
        for (_, grant) in &changes.added {
            self.claims.settle(&peer, grant);
        }
        let peer = self.peers.entry(peer).or_default();
        peer.heard = now;
        for (number, grant) in changes.added {
            peer.grants.entry(number).or_insert_with(|| grant.translate(now, sent));
        }
        for (number, first) in changes.started {
            if let Some(grant) = peer.grants.get_mut(&number) {
                grant.first = grant.first.or(Some(clock.shift(first)));
            }
        }
        for number in changes.ended {
            peer.grants.remove(&number);
        }
    }

    fn apply_paused(&mut self, now: Time, paused: &[(Key, u32)]) {
        for (key, remaining) in paused {
            if let Some(site) = self.sites.get_mut(key) {
                site.paused_until = site.paused_until.max(now + Duration::from_millis(u64::from(*remaining)));
            }
        }
    }
}

/// Translates the times of a message that a peer sent at `sent`, by its clock, and that arrived at `now`.
#[derive(Debug, Clone, Copy)]
struct PeerClock {
    now: Time,
    sent: Time,
}

impl PeerClock {
    fn shift(self, time: Time) -> Time {
        if time < self.sent {
            return Time::from(Duration::from(self.now).saturating_sub(self.sent.since(time)));
        }
        self.now + time.since(self.sent)
    }
}

impl Grant {
    /// The grant with its times by this instance's clock, if a peer sent it at `sent`, by its own clock, and it arrived
    /// at `now`.
    #[must_use]
    pub fn translate(self, now: Time, sent: Time) -> Self {
        let clock = PeerClock { now, sent };
        Self {
            granted: clock.shift(self.granted),
            first: self.first.map(|first| clock.shift(first)),
            due: clock.shift(self.due),
            ..self
        }
    }
}
