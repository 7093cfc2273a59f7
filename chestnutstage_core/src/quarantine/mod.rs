//! Quarantine of prompt parts that end engines.
//!
//! An engine may end when it begins to answer a prompt that contains a certain part. Each instance records the parts of
//! requests under which engines ended, and of those that were answered, and exchanges them with its peers ([`report`]).
//! A part with enough crashes and no progress is convicted, and requests that contain it are refused. Progress under the
//! part lifts the conviction. Where no answer is under way, one request at a time is admitted as a trial, at growing
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

pub use self::report::{PartReport, REPORTS_MAX};
pub use self::suspect::CRASHES_MAX;

/// Time for which progress under a part speaks against its conviction.
pub const ANSWERED_MEMORY: Duration = Duration::from_mins(1);
/// Age of the decisive crash at a conviction; peers that have seen progress tell in that time. Meanwhile requests with the part
/// are refused.
pub const OBJECTION_TIME: Duration = Duration::from_millis(500);
/// Time after which a crash under a part that is not convicted is forgotten.
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
/// Shortest time that a refused request is asked to wait.
const RETRY_MIN: Duration = Duration::from_secs(1);
/// Maximum number of parts recorded with crashes.
pub const SUSPECTS_MAX: usize = 256;
/// Maximum number of parts remembered as answered; the older half is evicted first.
pub const ANSWERED_MAX: usize = 4_096;
/// Maximum number of parts recorded of one request, from its start and from its end.
pub const REQUEST_PARTS_MAX: usize = 32;
/// Shift of all times, so that those before the process's epoch keep their order.
const EPOCH_SHIFT: Duration = Duration::from_hours(24);

/// Digest of a part of a prompt and of the service that it was sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct PromptPart(u64);

impl PromptPart {
    /// Digest of the part `id` in prompts to `service`.
    pub fn new(service: &ModelId, id: &str) -> Self {
        Self(xxh3_64_with_seed(id.as_bytes(), rendezvous::hash(service.as_str().as_bytes())))
    }
}

/// State of a request when its engine ended.
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
#[display("part {part} ended {crashes} engines")]
pub struct Verdict {
    /// The convicted part.
    pub part: PromptPart,
    /// Time until the next trial.
    pub retry: Duration,
    /// Crashes under the part.
    pub crashes: usize,
}

/// Change of what is believed of a part, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Requests with the part are refused.
    Convicted {
        /// The part.
        part: PromptPart,
        /// Engines that ended under it.
        crashes: Vec<Key>,
        /// Time since the latest progress under it, if any is known.
        answered: Option<Duration>,
    },
    /// Progress, or another part that explains the crashes, lifted the conviction.
    Acquitted {
        /// The part.
        part: PromptPart,
    },
    /// The conviction was forgotten.
    Expired {
        /// The part.
        part: PromptPart,
    },
    /// This instance admitted a request as a trial.
    Trial {
        /// The part.
        part: PromptPart,
        /// Number of trials so far.
        number: u32,
    },
}

/// Parts under which engines ended, and those that were answered.
#[derive(Debug)]
pub struct Quarantine {
    own: InstanceId,
    members: Vec<InstanceId>,
    suspects: BTreeMap<PromptPart, Suspect>,
    /// Latest progress seen by this instance.
    answered: HashMap<PromptPart, Time>,
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

    /// Records that an engine ended under a request; `parts` are those of its prompt in order, without the last one.
    pub fn record_crash(&mut self, now: Time, engine: Key, parts: &[PromptPart], evidence: Evidence) {
        let now = local(now);
        for (position, part) in recorded(parts) {
            let suspect = self.suspect(*part);
            suspect.position = suspect.position.max(position);
            suspect.add_crash(engine, now, evidence);
            suspect.changed = now;
        }
        self.bound_suspects();
        self.judge_at = Time::ZERO;
    }

    /// Records that an answer went past its beginning.
    pub fn record_progress(&mut self, now: Time, parts: &[PromptPart]) {
        let now = local(now);
        for (_, part) in recorded(parts) {
            if self.answered.len() >= ANSWERED_MAX && !self.answered.contains_key(part) {
                self.evict_answered();
            }
            self.answered.insert(*part, now);
            if let Some(suspect) = self.suspects.get_mut(part) {
                if suspect.last_crash() > suspect.progress() {
                    self.judge_at = Time::ZERO;
                    suspect.changed = now;
                }
                suspect.answered = suspect.answered.max(Some(now));
            }
        }
    }

    /// Decides whether a request may be placed: it contains no convicted part, or may be a trial of those that it contains.
    ///
    /// # Errors
    ///
    /// The verdict on the part with the longest wait.
    pub fn check(&mut self, now: Time, parts: &[PromptPart]) -> Result<(), Verdict> {
        self.check_convicted(local(now), parts).map(|_| ())
    }

    /// Decides the same right before the request is sent, and records the trial if it is one.
    ///
    /// # Errors
    ///
    /// The verdict on the part with the longest wait.
    pub fn admit(&mut self, now: Time, parts: &[PromptPart]) -> Result<(), Verdict> {
        let now = local(now);
        for part in self.check_convicted(now, parts)? {
            let suspect = self.suspect(part);
            let number = suspect.trials() + 1;
            suspect.trial = Some((now, number));
            suspect.changed = now;
            self.changes.push(Change::Trial { part, number });
        }
        Ok(())
    }

    /// Convicted parts among these, if all of them may have a trial.
    fn check_convicted(&mut self, now: Time, parts: &[PromptPart]) -> Result<BTreeSet<PromptPart>, Verdict> {
        self.judge(now);
        if let Some(part) = parts.iter().find(|part| self.suspects.get(part).is_some_and(|s| s.held)) {
            return Err(Verdict {
                part: *part,
                retry: RETRY_MIN,
                crashes: self.suspects[part].crashes.len(),
            });
        }
        let is_convicted = |p: &PromptPart| self.suspects.get(p).is_some_and(|s| s.convicted.is_some());
        let convicted: BTreeSet<_> = parts.iter().copied().filter(is_convicted).collect();
        if convicted.iter().all(|part| self.is_turn(now, *part)) {
            return Ok(convicted);
        }
        let mut verdict: Option<Verdict> = None;
        for part in convicted {
            let suspect = self.suspect(part);
            suspect.refused = Some(now);
            let retry = suspect.trial_due().since(now).clamp(RETRY_MIN, TRIAL_WAIT_MAX);
            if verdict.is_none_or(|v| v.retry < retry) {
                verdict = Some(Verdict { part, retry, crashes: suspect.crashes.len() });
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
        self.suspects.retain(|part, suspect| {
            let ttl = if suspect.convicted.is_some() { CONVICTED_TTL } else { SUSPECT_TTL };
            if suspect.convicted.is_none() {
                suspect.crashes.retain(|_, crash| now.since(crash.time) < ttl);
            }
            let kept = suspect.last_event().is_some_and(|time| now.since(time) < ttl);
            if !kept && suspect.announced {
                changes.push(Change::Expired { part: *part });
            }
            kept
        });
        self.judge_at = Time::ZERO;
        self.judge(now);
    }

    /// Number of parts recorded with crashes, and of those remembered as answered.
    pub fn sizes(&self) -> (usize, usize) {
        (self.suspects.len(), self.answered.len())
    }

    fn suspect(&mut self, part: PromptPart) -> &mut Suspect {
        let answered = self.answered.get(&part).copied();
        self.suspects.entry(part).or_insert_with(|| Suspect { answered, ..Suspect::default() })
    }

    /// Judges all parts anew, unless nothing has changed since the last time. Each conviction explains crashes, which then no
    /// longer count against other parts, also against those that were convicted before.
    fn judge(&mut self, now: Time) {
        if now < self.judge_at {
            return;
        }
        self.judge_at = Time::NEVER;
        self.suspects.values_mut().for_each(|s| s.held = false);
        let mut explained: BTreeSet<Key> = BTreeSet::new();
        let mut convicted: BTreeSet<PromptPart> = BTreeSet::new();
        loop {
            let mut worst = None;
            for (part, suspect) in self.suspects.iter_mut().filter(|(part, _)| !convicted.contains(part)) {
                let crashes = suspect.effective(&explained);
                let Some(decisive) = suspect.decisive(&crashes) else { continue };
                // A part that all requests share has the crashes of several culprits.
                let unanswered = !suspect.was_answered(decisive);
                if suspect.convicted.is_none() && now < decisive + OBJECTION_TIME {
                    self.judge_at = self.judge_at.min(decisive + OBJECTION_TIME);
                    suspect.held = unanswered;
                    continue;
                }
                worst = worst.max(Some((unanswered, suspect::points(&crashes), suspect.position, *part)));
            }
            let Some((.., part)) = worst else { break };
            convicted.insert(part);
            explained.extend(self.suspects[&part].crashes.keys());
        }
        for (part, suspect) in &mut self.suspects {
            suspect.set_convicted(now, convicted.contains(part));
        }
        self.announce(now);
    }

    fn announce(&mut self, now: Time) {
        for (part, suspect) in &mut self.suspects {
            let part = *part;
            match (suspect.announced, suspect.convicted.is_some()) {
                (false, true) => {
                    suspect.changed = now;
                    let crashes = suspect.crashes.keys().copied().collect();
                    let answered = suspect.progress().map(|time| now.since(time));
                    self.changes.push(Change::Convicted { part, crashes, answered });
                }
                (true, false) => {
                    suspect.changed = now;
                    self.changes.push(Change::Acquitted { part });
                }
                _ => {}
            }
            suspect.announced = suspect.convicted.is_some();
        }
    }

    /// Whether this instance may admit a trial. Turns count from the time at which it is due, since instances share
    /// no clock.
    fn is_turn(&self, now: Time, part: PromptPart) -> bool {
        let Some(suspect) = self.suspects.get(&part) else { return false };
        let due = suspect.trial_due();
        let slot = now.since(due).as_millis() / TRIAL_SLOT.as_millis();
        let key = format!("{part}/{}", suspect.trials());
        // A part that is rarely requested may not come by the member whose turn it is.
        let turns = 1_usize << slot.min(TURN_DOUBLINGS_MAX);
        now >= due
            && !self.members.is_empty()
            && rendezvous::is_among_top(turns, &key, &self.own, &self.members)
    }

    /// Drops the parts whose last crash is the oldest, convicted ones last.
    fn bound_suspects(&mut self) {
        let excess = self.suspects.len().saturating_sub(SUSPECTS_MAX);
        if excess == 0 {
            return;
        }
        let rank = |s: &Suspect| (s.convicted.is_some(), s.last_crash(), s.crashes.len());
        let mut ranks: Vec<_> = self.suspects.iter().map(|(part, s)| (rank(s), *part)).collect();
        ranks.sort_unstable();
        for (_, part) in ranks.into_iter().take(excess) {
            if self.suspects.remove(&part).is_some_and(|s| s.announced) {
                self.changes.push(Change::Expired { part });
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
        self.suspects.iter().try_for_each(|(part, suspect)| writeln!(f, "{part} {suspect}"))
    }
}

/// Parts of a request that are recorded, with their positions.
fn recorded(parts: &[PromptPart]) -> impl Iterator<Item = (u8, &PromptPart)> {
    let positions = (0..u8::MAX).chain(std::iter::repeat(u8::MAX));
    let (first, last) = (REQUEST_PARTS_MAX / 2, parts.len().saturating_sub(REQUEST_PARTS_MAX / 2));
    positions.zip(parts).enumerate().filter(move |(i, _)| *i < first || *i >= last).map(|(_, part)| part)
}

/// Time as it is kept here: shifted, and in whole milliseconds as in reports.
fn local(now: Time) -> Time {
    Time::from_millis(now.as_millis()) + EPOCH_SHIFT
}
