//! Exchange of what instances know of features under which endpoints ended.
//!
//! Reports carry ages, and instances pass on what they heard. The transit of a report makes its times seem later; where
//! a crash is known by an earlier time, that difference is taken off the report's other times too. So repeated reports
//! never move progress past a crash that it preceded.

use std::cmp::Reverse;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::suspect::{CRASHES_MAX, Suspect};
use super::{CONVICTED_TTL, Evidence, Feature, Quarantine, REPEAT_TIME, local};
use crate::pool::Key;
use crate::time::Time;

/// Maximum number of features reported at once.
pub const REPORTS_MAX: usize = 64;

/// What an instance knows of a feature; ages are in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FeatureReport {
    /// The feature.
    pub feature: Feature,
    /// Largest position in a prompt.
    pub position: u8,
    /// Endpoints that ended under it, each with the age of the crash.
    pub crashes: Vec<(Key, u32, Evidence)>,
    /// Age of the latest progress.
    pub answered: Option<u32>,
    /// Age of the conviction.
    pub convicted: Option<u32>,
    /// Age of the latest trial, and the number of trials so far.
    pub trial: Option<(u32, u32)>,
    /// Age of the last refused request.
    pub refused: Option<u32>,
}

impl FeatureReport {
    fn new(now: Time, feature: Feature, suspect: &Suspect) -> Self {
        let age = |time: Time| u32::try_from(now.since(time).as_millis()).unwrap_or(u32::MAX);
        Self {
            feature,
            position: suspect.position,
            crashes: suspect.crashes.iter().map(|(key, c)| (*key, age(c.time), c.evidence)).collect(),
            answered: suspect.progress().map(age),
            convicted: suspect.convicted.map(age),
            trial: suspect.trial.map(|(time, number)| (age(time), number)),
            refused: suspect.refused.map(age),
        }
    }

    fn is_expired(&self) -> bool {
        let crashes = self.crashes.iter().map(|(_, age, _)| *age);
        let last = crashes.chain(self.trial.map(|(age, _)| age)).chain(self.refused).min();
        last.is_none_or(|age| Duration::from_millis(age.into()) >= CONVICTED_TTL)
    }
}

impl Quarantine {
    /// Features with crashes, for the peers: convicted ones first, then those with the most points. Only those that changed
    /// lately and, if `complete`, all convicted ones.
    pub fn reports(&mut self, now: Time, complete: bool) -> Vec<FeatureReport> {
        let now = local(now);
        self.judge(now);
        let is_due = |s: &Suspect| (complete && s.convicted.is_some()) || now.since(s.changed) < REPEAT_TIME;
        let mut suspects: Vec<_> = self.suspects.iter().filter(|(_, s)| is_due(s)).collect();
        // Crashes before the latest progress count here, so that peers learn of the progress.
        suspects.sort_by_key(|(_, suspect)| Reverse((suspect.convicted.is_some(), suspect.total())));
        suspects
            .iter()
            .take(REPORTS_MAX)
            .map(|(feature, suspect)| FeatureReport::new(now, **feature, suspect))
            .collect()
    }

    /// Applies the reports of a peer. They are judged together with all others that arrive before the next check.
    pub fn apply(&mut self, now: Time, reports: &[FeatureReport]) {
        let now = local(now);
        for report in reports.iter().take(REPORTS_MAX).filter(|report| !report.is_expired()) {
            self.suspect(report.feature).merge(now, report);
        }
        self.bound_suspects();
        self.judge_at = Time::ZERO;
    }
}

impl Suspect {
    fn merge(&mut self, now: Time, report: &FeatureReport) {
        let before = self.knowledge();
        let received = |age: u32| now - Duration::from_millis(age.into());
        let (mut delay, mut earlier) = (Duration::ZERO, Duration::ZERO);
        for (engine, age, evidence) in report.crashes.iter().take(CRASHES_MAX) {
            let former = self.crashes.get(engine).map(|crash| crash.time);
            let known = self.add_crash(*engine, received(*age), *evidence);
            delay = delay.max(received(*age).since(known));
            earlier = earlier.max(former.map_or(Duration::ZERO, |former| former.since(known)));
        }
        // What was told with a crash was as late as the crash.
        self.told = self.told.map(|time| time - earlier);
        let at = |age: u32| received(age) - delay;
        self.position = self.position.max(report.position);
        self.told = self.told.max(report.answered.map(at));
        self.refused = self.refused.max(report.refused.map(at));
        self.convicted = self.convicted.into_iter().chain(report.convicted.map(at)).min();
        if let Some((age, number)) = report.trial {
            let earlier = self.trial.filter(|(_, known)| *known == number).map(|(time, _)| time);
            if number >= self.trials() {
                self.trial = Some((earlier.map_or(at(age), |time| time.min(at(age))), number));
            }
        }
        if self.knowledge() != before {
            self.changed = now;
        }
    }
}
