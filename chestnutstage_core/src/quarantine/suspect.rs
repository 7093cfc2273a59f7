//! Crashes and progress under one feature, and what follows from them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use super::{ANSWERED_MEMORY, Evidence, TRIAL_WAIT, TRIAL_WAIT_MAX};
use crate::pool::Key;
use crate::time::Time;

/// Points at which a feature without recent progress is convicted.
const POINTS_MIN: u32 = 6;
/// Points at which a feature with recent progress is convicted.
const ANSWERED_POINTS_MIN: u32 = 16;
/// Number of bursts into which the crashes under a feature with recent progress must fall: engines that lose power at once are one.
const BURSTS_MIN: usize = 3;
/// Time from the start of a burst to the start of the next one.
const BURST_TIME: Duration = Duration::from_secs(1);
/// Maximum number of crashes recorded under one feature.
pub const CRASHES_MAX: usize = 32;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Crash {
    pub time: Time,
    pub evidence: Evidence,
}

/// A feature under which endpoints ended.
#[derive(Debug, Default)]
pub(super) struct Suspect {
    /// Largest position in a prompt.
    pub position: u8,
    pub crashes: BTreeMap<Key, Crash>,
    /// Latest progress seen by this instance.
    pub answered: Option<Time>,
    /// Latest progress seen by others.
    pub told: Option<Time>,
    pub convicted: Option<Time>,
    /// Latest trial, and the number of trials so far.
    pub trial: Option<(Time, u32)>,
    pub refused: Option<Time>,
    /// Latest change that the peers have to learn.
    pub changed: Time,
    /// Whether requests are refused while peers may object to a conviction.
    pub held: bool,
    /// Whether the conviction was returned as a change.
    pub announced: bool,
}

impl Suspect {
    /// Records a crash, and returns the earliest time that is known of it.
    pub fn add_crash(&mut self, engine: Key, time: Time, evidence: Evidence) -> Time {
        let crash = self.crashes.entry(engine).or_insert(Crash { time, evidence });
        *crash = Crash { time: crash.time.min(time), evidence: crash.evidence.max(evidence) };
        let time = crash.time;
        if self.crashes.len() > CRASHES_MAX {
            self.drop_crash();
        }
        time
    }

    /// Drops a crash of the largest burst, so that the record spans as long a time as possible.
    fn drop_crash(&mut self) {
        let mut times: Vec<_> = self.crashes.iter().map(|(key, crash)| (crash.time, *key)).collect();
        times.sort_unstable();
        let gaps = times.windows(2).map(|pair| (pair[1].0.since(pair[0].0), pair[0].1));
        if let Some((_, dropped)) = gaps.min() {
            self.crashes.remove(&dropped);
        }
    }

    /// Latest known progress.
    pub fn progress(&self) -> Option<Time> {
        self.answered.max(self.told)
    }

    /// Crashes later than the latest progress that are not `explained` by another feature, oldest first.
    pub fn effective(&self, explained: &BTreeSet<Key>) -> Vec<Crash> {
        let progress = self.progress();
        let later = self.crashes.iter().filter(|(_, crash)| Some(crash.time) > progress);
        let mut crashes: Vec<_> =
            later.filter(|(key, _)| !explained.contains(key)).map(|(_, c)| *c).collect();
        crashes.sort_unstable();
        crashes
    }

    /// Time of the crash with which `crashes` suffice for a conviction. Progress counts as recent by the time of the
    /// crash: after an outage there is none for long.
    pub fn decisive(&self, crashes: &[Crash]) -> Option<Time> {
        let bursts_min = if self.convicted.is_some() { 1 } else { BURSTS_MIN };
        let is_decisive = |(i, crash): &(usize, &Crash)| {
            let points = points(&crashes[..=*i]);
            (points >= POINTS_MIN && !self.was_answered(crash.time))
                || (points >= ANSWERED_POINTS_MIN && bursts(&crashes[..=*i]) >= bursts_min)
        };
        crashes.iter().enumerate().find(is_decisive).map(|(_, crash)| crash.time)
    }

    /// Whether progress was recent at the time of a crash.
    pub fn was_answered(&self, crash: Time) -> bool {
        self.progress().is_some_and(|time| crash.since(time) <= ANSWERED_MEMORY)
    }

    /// Sets whether the feature is convicted, and forgets trials before the latest progress.
    pub fn set_convicted(&mut self, now: Time, convicted: bool) {
        self.convicted = convicted.then(|| self.convicted.unwrap_or(now));
        if !convicted {
            self.refused = None;
        }
        let progress = self.progress();
        self.trial = self.trial.filter(|(time, _)| convicted && Some(*time) > progress);
    }

    /// What peers have to learn when it changes.
    pub fn knowledge(&self) -> impl PartialEq + use<> {
        let crashes: Vec<_> = self.crashes.iter().map(|(key, crash)| (*key, crash.evidence)).collect();
        let answered = (self.progress().is_some(), self.progress() >= self.last_crash());
        (crashes, answered, self.convicted.is_some(), self.trials())
    }

    pub fn last_crash(&self) -> Option<Time> {
        self.crashes.values().map(|crash| crash.time).max()
    }

    /// Time of the last crash, trial or refused request.
    pub fn last_event(&self) -> Option<Time> {
        self.last_crash().max(self.trial.map(|(time, _)| time)).max(self.refused)
    }

    pub fn trials(&self) -> u32 {
        self.trial.map_or(0, |(_, number)| number)
    }

    /// Time of the next trial.
    pub fn trial_due(&self) -> Time {
        let last = self.last_crash().max(self.trial.map(|(time, _)| time)).unwrap_or_default();
        last + TRIAL_WAIT.saturating_mul(4_u32.saturating_pow(self.trials())).min(TRIAL_WAIT_MAX)
    }

    /// Points of all crashes.
    pub fn total(&self) -> u32 {
        self.crashes.values().map(|crash| crash.evidence.points()).sum()
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = if self.convicted.is_some() { "convicted" } else { "suspected" };
        write!(f, "{state} position={} points={} trials={}", self.position, self.total(), self.trials())?;
        self.crashes.iter().try_for_each(|(key, crash)| write!(f, " {key}={}", crash.evidence))
    }
}

impl Evidence {
    const fn points(self) -> u32 {
        match self {
            Self::Waiting => 1,
            Self::Started => 2,
        }
    }
}

pub(super) fn points(crashes: &[Crash]) -> u32 {
    crashes.iter().map(|crash| crash.evidence.points()).sum()
}

/// Number of bursts into which crashes fall, oldest first.
fn bursts(crashes: &[Crash]) -> usize {
    let mut start = None;
    let begins = |crash: &&Crash| {
        let begins = start.is_none_or(|start| crash.time.since(start) >= BURST_TIME);
        if begins {
            start = Some(crash.time);
        }
        begins
    };
    crashes.iter().filter(begins).count()
}
