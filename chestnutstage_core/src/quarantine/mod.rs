//! Quarantine of requests that end endpoints.
//!
//! An endpoint may end when it begins to run a certain request, or a prompt that contains a certain part. Each instance records
//! the features of requests under which endpoints ended, and of those that were answered, and exchanges them with its peers
//! ([`report`]). A feature with enough crashes and no progress is convicted, and requests that have it are refused. Progress
//! under the feature lifts the conviction. Where no answer is under way, one request at a time is admitted as a trial, at growing
//! intervals.

mod report;
mod suspect;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use self::suspect::Suspect;
use crate::ids::{InstanceId, ModelId};
use crate::pool::Key;
use crate::rendezvous;
use crate::time::Time;

pub use self::report::{FeatureReport, REPORTS_MAX};
pub use self::suspect::CRASHES_MAX;

/// Time for which progress under a feature speaks against its conviction.
pub const ANSWERED_MEMORY: Duration = Duration::from_mins(1);
/// Age of the decisive crash at a conviction; peers that have seen progress tell in that time. Meanwhile requests with the
/// feature are refused.
pub const OBJECTION_TIME: Duration = Duration::from_millis(500);
/// Time after which a crash under a feature that is not convicted is forgotten.
pub const SUSPECT_TTL: Duration = Duration::from_mins(1);
/// Time after the last crash, trial or refused request at which a conviction is forgotten.
pub const CONVICTED_TTL: Duration = Duration::from_mins(10);
/// Time for which a change is repeated in the reports.
pub const REPEAT_TIME: Duration = Duration::from_secs(2);
/// Wait for the first trial; quadruples with each one.
const TRIAL_WAIT: Duration = Duration::from_secs(10);
/// Longest wait for a trial.
const TRIAL_WAIT_MAX: Duration = Duration::from_mins(10);
/// Time after which twice as many members may admit a trial that is due.
const TRIAL_SLOT: Duration = Duration::from_secs(2);
/// Largest number of such doublings.
const TURN_DOUBLINGS_MAX: u128 = 3;
/// Number of trials of a request; each may end an endpoint.
const REQUEST_TRIALS_MAX: u32 = 3;
/// Shortest time that a refused request is asked to wait.
const RETRY_MIN: Duration = Duration::from_secs(1);
/// Maximum number of features recorded with crashes.
pub const SUSPECTS_MAX: usize = 256;
/// Maximum number of features remembered as answered; the older half is evicted first.
pub const ANSWERED_MAX: usize = 16_384;
/// Maximum number of features recorded of one request, from its start and from its end.
pub const REQUEST_FEATURES_MAX: usize = 32;
/// Shift of all times, so that those before the process's epoch keep their order.
const EPOCH_SHIFT: Duration = Duration::from_hours(24);

/// What several requests have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
pub enum Feature {
    /// Digest of a part of a prompt and of the service that it was sent to.
    #[display("{_0:016x}")]
    Part(u64),
    /// Digest of a whole request, which only its repeats share.
    #[display("request:{_0:016x}")]
    Request(u64),
}

impl Feature {
    /// The part `id` in prompts to `service`.
    pub fn part(service: &ModelId, id: &str) -> Self {
        Self::Part(xxh3_64_with_seed(id.as_bytes(), rendezvous::hash(service.as_str().as_bytes())))
    }

    /// Evidence for a crash under the feature. Many prompts wait on an engine whatever it is about to run, but repeats that were
    /// under way at each of several ends have only themselves in common.
    const fn evidence(self, evidence: Evidence) -> Evidence {
        match self {
            Self::Part(_) => evidence,
            Self::Request(_) => Evidence::Started,
        }
    }

    /// Number of trials after a conviction. The trials of a part go on, since the part may come in other requests.
    const fn trials_max(self) -> u32 {
        match self {
            Self::Part(_) => u32::MAX,
            Self::Request(_) => REQUEST_TRIALS_MAX,
        }
    }
}

/// State of a request when its endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
pub enum Evidence {
    /// The response had not begun.
    #[display("waiting")]
    Waiting,
    /// The head of the response had arrived, and at most one event.
    #[display("started")]
    Started,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{feature} ended {crashes} endpoints")]
pub struct Verdict {
    /// The convicted feature.
    pub feature: Feature,
    /// Time until the next trial.
    pub retry: Duration,
    /// Crashes under it.
    pub crashes: usize,
}

/// Change of what is believed of a feature, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Requests with the feature are refused.
    Convicted {
        /// The feature.
        feature: Feature,
        /// Endpoints that ended under it.
        crashes: Vec<Key>,
        /// Time since the latest progress under it, if any is known.
        answered: Option<Duration>,
    },
    /// Progress, or another feature that explains the crashes, lifted the conviction.
    Acquitted {
        /// The feature.
        feature: Feature,
    },
    /// The conviction was forgotten.
    Expired {
        /// The feature.
        feature: Feature,
    },
    /// This instance admitted a request as a trial.
    Trial {
        /// The feature.
        feature: Feature,
        /// Number of trials so far.
        number: u32,
    },
}

/// Features under which endpoints ended, and those that were answered.
#[derive(Debug)]
pub struct Quarantine {
    own: InstanceId,
    members: Vec<InstanceId>,
    suspects: BTreeMap<Feature, Suspect>,
    /// Latest progress seen by this instance.
    answered: HashMap<Feature, Time>,
    /// Time of the next judgement.
    judge_at: Time,
    changes: Vec<Change>,
}

impl Quarantine {
    /// Creates an empty quarantine for the instance `own`.
    pub fn new(own: InstanceId) -> Self {
        Self {
            own,
            members: Vec::new(),
            suspects: BTreeMap::new(),
            answered: HashMap::new(),
            judge_at: Time::NEVER,
            changes: Vec::new(),
        }
    }

    /// Sets the instances that take turns to admit trials.
    pub fn set_members(&mut self, members: Vec<InstanceId>) {
        self.members = members;
    }

    /// Records that an endpoint ended under a request; its features are those of its prompt in order, then the request itself.
    pub fn record_crash(&mut self, now: Time, engine: Key, features: &[Feature], evidence: Evidence) {
        let now = local(now);
        for (position, feature) in recorded(features) {
            let suspect = self.suspect(*feature);
            suspect.position = suspect.position.max(position);
            suspect.add_crash(engine, now, feature.evidence(evidence));
            suspect.changed = now;
        }
        self.bound_suspects();
        self.judge_at = Time::ZERO;
    }

    /// Records that an answer went past its beginning.
    pub fn record_progress(&mut self, now: Time, features: &[Feature]) {
        let now = local(now);
        for (_, feature) in recorded(features) {
            if self.answered.len() >= ANSWERED_MAX && !self.answered.contains_key(feature) {
                self.evict_answered();
            }
            self.answered.insert(*feature, now);
            if let Some(suspect) = self.suspects.get_mut(feature) {
                if suspect.last_crash() > suspect.progress() {
                    self.judge_at = Time::ZERO;
                    suspect.changed = now;
                }
                suspect.answered = suspect.answered.max(Some(now));
            }
        }
    }

    /// Decides whether a request may be placed: it has no convicted feature, or may be a trial of those that it has.
    ///
    /// # Errors
    ///
    /// The verdict on the feature with the longest wait.
    pub fn check(&mut self, now: Time, features: &[Feature]) -> Result<(), Verdict> {
        self.check_convicted(local(now), features).map(|_| ())
    }

    /// Decides the same right before the request is sent, and records the trial if it is one.
    ///
    /// # Errors
    ///
    /// The verdict on the feature with the longest wait.
    pub fn admit(&mut self, now: Time, features: &[Feature]) -> Result<(), Verdict> {
        let now = local(now);
        for feature in self.check_convicted(now, features)? {
            let suspect = self.suspect(feature);
            let number = suspect.trials() + 1;
            suspect.trial = Some((now, number));
            suspect.changed = now;
            self.changes.push(Change::Trial { feature, number });
        }
        Ok(())
    }

    /// Convicted features among these, if all of them may have a trial.
    fn check_convicted(&mut self, now: Time, features: &[Feature]) -> Result<BTreeSet<Feature>, Verdict> {
        self.judge(now);
        if let Some(feature) =
            features.iter().find(|feature| self.suspects.get(feature).is_some_and(|s| s.held))
        {
            return Err(Verdict {
                feature: *feature,
                retry: RETRY_MIN,
                crashes: self.suspects[feature].crashes.len(),
            });
        }
        let is_convicted = |p: &Feature| self.suspects.get(p).is_some_and(|s| s.convicted.is_some());
        let convicted: BTreeSet<_> = features.iter().copied().filter(is_convicted).collect();
        if convicted.iter().all(|feature| self.is_turn(now, *feature)) {
            return Ok(convicted);
        }
        let mut verdict: Option<Verdict> = None;
        for feature in convicted {
            let suspect = self.suspect(feature);
            suspect.refused = Some(now);
            let has_trials = suspect.trials() < feature.trials_max();
            let wait = if has_trials { suspect.trial_due().since(now) } else { CONVICTED_TTL };
            let retry = wait.clamp(RETRY_MIN, CONVICTED_TTL);
            if verdict.is_none_or(|v| v.retry < retry) {
                verdict = Some(Verdict { feature, retry, crashes: suspect.crashes.len() });
            }
        }
        verdict.map_or(Ok(BTreeSet::new()), Err)
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Removes what is too old to count.
    pub fn remove_expired(&mut self, now: Time) {
        let now = local(now);
        self.answered.retain(|_, time| now.since(*time) <= ANSWERED_MEMORY);
        let changes = &mut self.changes;
        self.suspects.retain(|feature, suspect| {
            let ttl = if suspect.convicted.is_some() { CONVICTED_TTL } else { SUSPECT_TTL };
            if suspect.convicted.is_none() {
                suspect.crashes.retain(|_, crash| now.since(crash.time) < ttl);
            }
            let kept = suspect.last_event().is_some_and(|time| now.since(time) < ttl);
            if !kept && suspect.announced {
                changes.push(Change::Expired { feature: *feature });
            }
            kept
        });
        self.judge_at = Time::ZERO;
        self.judge(now);
    }

    /// Number of features recorded with crashes, and of those remembered as answered.
    pub fn sizes(&self) -> (usize, usize) {
        (self.suspects.len(), self.answered.len())
    }

    fn suspect(&mut self, feature: Feature) -> &mut Suspect {
        let answered = self.answered.get(&feature).copied();
        self.suspects.entry(feature).or_insert_with(|| Suspect { answered, ..Suspect::default() })
    }

    /// Judges all features anew, unless nothing has changed since the last time. Each conviction explains crashes, which then no
    /// longer count against other features, also against those that were convicted before.
    fn judge(&mut self, now: Time) {
        if now < self.judge_at {
            return;
        }
        self.judge_at = Time::NEVER;
        self.suspects.values_mut().for_each(|s| s.held = false);
        let mut explained: BTreeSet<Key> = BTreeSet::new();
        let mut convicted: BTreeSet<Feature> = BTreeSet::new();
        loop {
            let mut worst = None;
            for (feature, suspect) in
                self.suspects.iter_mut().filter(|(feature, _)| !convicted.contains(feature))
            {
                let crashes = suspect.effective(&explained);
                let Some(decisive) = suspect.decisive(&crashes) else { continue };
                // A feature that all requests share has the crashes of several culprits.
                let unanswered = !suspect.was_answered(decisive);
                if suspect.convicted.is_none() && now < decisive + OBJECTION_TIME {
                    self.judge_at = self.judge_at.min(decisive + OBJECTION_TIME);
                    suspect.held = unanswered;
                    continue;
                }
                worst = worst.max(Some((unanswered, suspect::points(&crashes), suspect.position, *feature)));
            }
            let Some((.., feature)) = worst else { break };
            convicted.insert(feature);
            explained.extend(self.suspects[&feature].crashes.keys());
        }
        for (feature, suspect) in &mut self.suspects {
            suspect.set_convicted(now, convicted.contains(feature));
        }
        self.announce(now);
    }

    fn announce(&mut self, now: Time) {
        for (feature, suspect) in &mut self.suspects {
            let feature = *feature;
            match (suspect.announced, suspect.convicted.is_some()) {
                (false, true) => {
                    suspect.changed = now;
                    let crashes = suspect.crashes.keys().copied().collect();
                    let answered = suspect.progress().map(|time| now.since(time));
                    self.changes.push(Change::Convicted { feature, crashes, answered });
                }
                (true, false) => {
                    suspect.changed = now;
                    self.changes.push(Change::Acquitted { feature });
                }
                _ => {}
            }
            suspect.announced = suspect.convicted.is_some();
        }
    }

    /// Whether this instance may admit a trial. Turns count from the time at which it is due, since instances share
    /// no clock.
    fn is_turn(&self, now: Time, feature: Feature) -> bool {
        let Some(suspect) = self.suspects.get(&feature) else { return false };
        let due = suspect.trial_due();
        let slot = now.since(due).as_millis() / TRIAL_SLOT.as_millis();
        let key = format!("{feature}/{}", suspect.trials());
        // A feature that is rarely requested may not come by the member whose turn it is.
        let turns = 1_usize << slot.min(TURN_DOUBLINGS_MAX);
        now >= due
            && suspect.trials() < feature.trials_max()
            && !self.members.is_empty()
            && rendezvous::is_among_top(turns, &key, &self.own, &self.members)
    }

    /// Drops the features whose last crash is the oldest, convicted ones last, and before them those with several crashes.
    fn bound_suspects(&mut self) {
        let excess = self.suspects.len().saturating_sub(SUSPECTS_MAX);
        if excess == 0 {
            return;
        }
        let rank = |s: &Suspect| (s.convicted.is_some(), s.crashes.len() > 1, s.last_crash());
        let mut ranks: Vec<_> = self.suspects.iter().map(|(feature, s)| (rank(s), *feature)).collect();
        ranks.sort_unstable();
        for (_, feature) in ranks.into_iter().take(excess) {
            if self.suspects.remove(&feature).is_some_and(|s| s.announced) {
                self.changes.push(Change::Expired { feature });
            }
        }
    }

    fn evict_answered(&mut self) {
        let mut times: Vec<_> = self.answered.values().copied().collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.answered.retain(|_, time| *time > median);
    }
}

impl fmt::Display for Quarantine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.suspects.iter().try_for_each(|(feature, suspect)| writeln!(f, "{feature} {suspect}"))
    }
}

/// Features of a request that are recorded, with their positions.
fn recorded(features: &[Feature]) -> impl Iterator<Item = (u8, &Feature)> {
    let positions = (0..u8::MAX).chain(std::iter::repeat(u8::MAX));
    let (first, last) = (REQUEST_FEATURES_MAX / 2, features.len().saturating_sub(REQUEST_FEATURES_MAX / 2));
    positions
        .zip(features)
        .enumerate()
        .filter(move |(i, _)| *i < first || *i >= last)
        .map(|(_, feature)| feature)
}

/// Time as it is kept here: shifted, and in whole milliseconds as in reports.
fn local(now: Time) -> Time {
    Time::from_millis(now.as_millis()) + EPOCH_SHIFT
}
