//! Turns of refused callers: moments named in `Retry-After` at which room is kept for them.
//!
//! Answers the load after an outage or a burst: callers that were refused together come back together, find no room and are
//! refused again. Delays computed for each refusal alone don't know of each other. Here they are spread over the
//! forecast capacity: time is divided into slots at [`ISSUED_SHARE`] of the placement rate of a group, and each slot holds one turn.
//! A returning caller is recognized by the digest of its request. Planners tell each other of turns that were issued and redeemed.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::ModelId;
use crate::quarantine::Feature;
use crate::time::Time;

/// Share of the placement rate that is issued as turns; the rest serves newcomers.
pub const ISSUED_SHARE: f64 = 0.75;
/// Of the slots, one in this number may go to a caller whose target has passed by then: a quarter of the placement rate.
/// An answer after its target helps its caller far less than one to a newcomer that is still in time.
const LATE_INTERVAL: u64 = 3;
/// Shortest delay, unless a third of the caller's remaining time is shorter.
pub const DELAY_MIN: Duration = Duration::from_millis(300);
/// Longest delay.
pub const DELAY_MAX: Duration = Duration::from_secs(3);
/// Time after its start during which a turn can be redeemed.
pub const GRACE: Duration = Duration::from_secs(1);
/// Maximum number of turns; those that are due first are evicted first.
pub const TURNS_MAX: usize = 4_096;
/// Maximum number of turns reported at once.
pub const REPORTS_MAX: usize = 256;
/// Largest part of the longest delay that is taken off at random for callers without a turn.
const SPREAD: f64 = 0.25;
/// Largest placement rate that is taken for a measured one, in requests a second.
const RATE_MAX: f64 = 100_000.0;
/// Shortest slot; bounds the search for a free one to 1,500 slots.
const SLOT_MIN: Duration = Duration::from_millis(2);
/// Ratio of placement rates from which slots are divided anew. Smaller changes would mix the slots that are kept for higher
/// priorities with the others.
const RATE_CHANGE: f64 = 1.15;
/// Time for which slots are kept for a rank after its last refusal.
const RANK_MEMORY: Duration = Duration::from_secs(10);
/// Interval at which unused groups are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of groups.
const GROUPS_MAX: usize = 256;
/// Time for which redeemed and expired turns are remembered.
const GONE_MEMORY: Duration = Duration::from_secs(5);
/// Time by which a caller may be early, since `Retry-After` is rounded to whole milliseconds.
const ROUNDING: Duration = Duration::from_millis(1);
/// Time taken off the start of a reported turn, since the transit of the report makes it seem later.
const TRANSIT: Duration = Duration::from_millis(50);
/// Shortest time from issue to redemption of one turn, as seen through delayed reports; half of [`DELAY_MIN`].
const MARGIN: Duration = Duration::from_millis(150);
/// Latest time that is computed with; later ones are taken for it.
const TIME_MAX: Time = Time::from_millis(1 << 43);

/// Requests that compete for the same places.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Group {
    /// Service that they call.
    pub service: ModelId,
    /// Kind of work within the service.
    pub kind: u8,
}

/// What became of the turn of a returning caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Redeemed {
    /// The caller returned in its turn and goes before newcomers of equal rank. The turn is removed.
    #[display("kept")]
    Kept,
    /// The caller returned before its turn, which stays.
    #[display("early")]
    Early,
    /// The caller returned after its turn was given on.
    #[display("expired")]
    Expired,
    /// No turn is known.
    #[display("unknown")]
    Unknown,
}

/// Change of a turn, for the other planners; times are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TurnReport {
    /// A turn was issued.
    Issued {
        /// Digest of the request.
        digest: Feature,
        /// Stamp of the turn.
        stamp: u32,
        /// Time since the issue.
        age: u32,
        /// Time until the turn.
        remaining: u32,
    },
    /// A turn was redeemed.
    Redeemed {
        /// Digest of the request.
        digest: Feature,
        /// Stamp of the turn.
        stamp: u32,
        /// Time since the redemption.
        age: u32,
    },
}

#[derive(Debug)]
struct Turn {
    /// Group and rank, unless another planner issued the turn.
    group: Option<Group>,
    /// Low bits of the issuer's time at the issue, in microseconds; tells turns of one digest apart.
    stamp: u32,
    issued: Time,
    due: Time,
}

/// Turns of one group that this planner issued.
#[derive(Debug, Default)]
struct Slots {
    rate: f64,
    /// Ranks of the turns.
    turns: BTreeMap<Time, u8>,
    /// Last refusal of each rank.
    refused: BTreeMap<u8, Time>,
    /// Latest turn that was redeemed.
    redeemed: Option<Time>,
}

#[derive(Debug, Clone, Copy)]
struct Gone {
    time: Time,
    stamp: u32,
    redeemed: bool,
}

/// Turns known to one planner.
#[derive(Debug, Default)]
pub struct TurnBook {
    turns: HashMap<Feature, Turn>,
    order: BTreeSet<(Time, Feature)>,
    groups: BTreeMap<Group, Slots>,
    /// Time at which unused groups were last removed.
    swept: Time,
    gone: HashMap<Feature, Gone>,
    gone_order: VecDeque<(Time, Feature)>,
    /// Digests of turns that were issued or redeemed and not reported.
    unreported: VecDeque<Feature>,
}

impl TurnBook {
    /// Returns the delay after which a refused caller is to return, and keeps a turn for it then if one is free. A caller that
    /// holds a turn keeps it.
    ///
    /// `in_time` is the time until the caller's target, `remaining` that until its timeout, `rate` the measured placement rate of the group in requests a second,
    /// `jitter` a random number between zero and one.
    #[expect(clippy::too_many_arguments, reason = "independent properties of one refusal")]
    pub fn reserve(
        &mut self,
        now: Time,
        group: &Group,
        rank: u8,
        digest: Feature,
        in_time: Duration,
        remaining: Duration,
        rate: f64,
        jitter: f64,
    ) -> Duration {
        let now = now.min(TIME_MAX);
        self.expire(now);
        let longest = DELAY_MAX.min(remaining / 3);
        if let Some(turn) = self.turns.get(&digest) {
            let delay = turn.due.since(now).max(DELAY_MIN).min(longest);
            if now + delay < turn.due + GRACE {
                return delay;
            }
            self.remove(digest);
        }
        if let Some(due) = self.free_slot(now, group, rank, in_time, longest, rate) {
            if let Some(slots) = self.groups.get_mut(group) {
                slots.turns.insert(due, rank);
            }
            self.insert(
                digest,
                Turn { group: Some(group.clone()), stamp: micros(now) as u32, issued: now, due },
            );
            self.push_unreported(digest);
            return due.since(now);
        }
        let jitter = if jitter.is_finite() { jitter.clamp(0.0, 1.0) } else { 0.5 };
        longest.mul_f64(1.0 - SPREAD * jitter).max(DELAY_MIN).min(longest)
    }

    /// Looks up the turn of a returning caller, and removes it unless the caller is early.
    pub fn redeem(&mut self, now: Time, digest: Feature) -> Redeemed {
        let now = now.min(TIME_MAX);
        self.expire(now);
        let Some(turn) = self.turns.get(&digest) else {
            return match self.gone.get(&digest) {
                Some(gone) if !gone.redeemed => {
                    self.gone.remove(&digest);
                    Redeemed::Expired
                }
                _ => Redeemed::Unknown,
            };
        };
        if now + ROUNDING < turn.due {
            return Redeemed::Early;
        }
        if let Some(turn) = self.remove(digest) {
            self.record_gone(digest, Gone { time: now, stamp: turn.stamp, redeemed: true });
            self.push_unreported(digest);
            if let Some(slots) = turn.group.and_then(|group| self.groups.get_mut(&group)) {
                slots.redeemed = slots.redeemed.max(Some(turn.due));
            }
        }
        Redeemed::Kept
    }

    /// Removes turns that nobody took, and returns their number. Turns further ahead than any is issued, as after a clock that
    /// jumped back, are removed too.
    pub fn expire(&mut self, now: Time) -> usize {
        let now = now.min(TIME_MAX);
        let before = self.turns.len();
        while let Some(&(due, digest)) = self.order.first()
            && now.since(due) > GRACE
        {
            if let Some(turn) = self.remove(digest) {
                self.record_gone(digest, Gone { time: now, stamp: turn.stamp, redeemed: false });
            }
        }
        while let Some(&(due, digest)) = self.order.last()
            && due.since(now) > DELAY_MAX
        {
            self.remove(digest);
        }
        while let Some(&(time, digest)) = self.gone_order.front()
            && (now.since(time) > GONE_MEMORY || time > now)
        {
            self.gone_order.pop_front();
            if self.gone.get(&digest).is_some_and(|gone| gone.time == time) {
                self.gone.remove(&digest);
            }
        }
        if now < self.swept || now.since(self.swept) >= SWEEP_INTERVAL {
            self.swept = now;
            self.groups.retain(|_, slots| {
                slots.refused.retain(|_, time| *time <= now && now.since(*time) <= RANK_MEMORY);
                !slots.turns.is_empty() || !slots.refused.is_empty()
            });
        }
        before - self.turns.len()
    }

    /// Number of turns issued here that are due within `span` before or after now and go before newcomers of `rank`.
    pub fn reserved(&self, now: Time, group: &Group, rank: u8, span: Duration) -> usize {
        let now = now.min(TIME_MAX);
        let Some(slots) = self.groups.get(group) else { return 0 };
        slots.turns.range(now - span..=now + span).filter(|(_, r)| **r <= rank).count()
    }

    /// Number of turns known.
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Whether no turn is known.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    /// Takes up to [`REPORTS_MAX`] turns that were issued or redeemed here since they were last taken.
    pub fn take_new(&mut self, now: Time) -> Vec<TurnReport> {
        let now = now.min(TIME_MAX);
        let mut reports = Vec::new();
        while reports.len() < REPORTS_MAX
            && let Some(digest) = self.unreported.pop_front()
        {
            reports.extend(self.report(now, digest));
        }
        reports
    }

    /// Applies the reports of another planner. Values out of range are skipped.
    pub fn apply(&mut self, now: Time, reports: &[TurnReport]) {
        let now = now.min(TIME_MAX);
        self.expire(now);
        for report in reports.iter().take(REPORTS_MAX) {
            match *report {
                TurnReport::Issued { digest, stamp, age, remaining } => {
                    let (age, remaining) = (millis(age), millis(remaining));
                    if age <= DELAY_MAX && remaining <= DELAY_MAX {
                        let due = now + remaining.saturating_sub(TRANSIT);
                        self.apply_issued(digest, Turn { group: None, stamp, issued: now - age, due });
                    }
                }
                TurnReport::Redeemed { digest, stamp, age } => {
                    if millis(age) <= GONE_MEMORY {
                        let time = now - millis(age);
                        self.apply_redeemed(digest, Gone { time, stamp, redeemed: true });
                    }
                }
            }
        }
    }

    fn report(&self, now: Time, digest: Feature) -> Option<TurnReport> {
        let whole = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        if let Some(turn) = self.turns.get(&digest).filter(|turn| turn.group.is_some()) {
            let (age, remaining) = (whole(now.since(turn.issued)), whole(turn.due.since(now)));
            return Some(TurnReport::Issued { digest, stamp: turn.stamp, age, remaining });
        }
        let gone = self.gone.get(&digest).filter(|gone| gone.redeemed)?;
        Some(TurnReport::Redeemed { digest, stamp: gone.stamp, age: whole(now.since(gone.time)) })
    }

    fn apply_issued(&mut self, digest: Feature, reported: Turn) {
        if self.gone.get(&digest).is_some_and(|gone| gone.ends(&reported)) {
            return;
        }
        match self.turns.get_mut(&digest) {
            // A repeated or delayed report must not move the turn.
            Some(known) if known.group.is_some() || reported.issued < known.due => {
                known.issued = known.issued.min(reported.issued);
            }
            _ => self.insert(digest, reported),
        }
    }

    fn apply_redeemed(&mut self, digest: Feature, gone: Gone) {
        if self.turns.get(&digest).is_some_and(|turn| gone.ends(turn)) {
            self.remove(digest);
        }
        self.record_gone(digest, gone);
    }

    /// Start of the first free slot of the group that `rank` may take.
    fn free_slot(
        &mut self,
        now: Time,
        group: &Group,
        rank: u8,
        in_time: Duration,
        longest: Duration,
        rate: f64,
    ) -> Option<Time> {
        if !(rate > 0.0 && rate <= RATE_MAX)
            || longest < DELAY_MIN
            || (self.groups.len() >= GROUPS_MAX && !self.groups.contains_key(group))
        {
            return None;
        }
        let slots = self.groups.entry(group.clone()).or_default();
        slots.refused.insert(rank, now);
        if !(slots.rate / RATE_CHANGE..=slots.rate * RATE_CHANGE).contains(&rate) {
            slots.rate = rate;
        }
        slots.free(now + DELAY_MIN, now + longest, now + in_time, now, rank)
    }

    fn insert(&mut self, digest: Feature, turn: Turn) {
        self.remove(digest);
        while self.turns.len() >= TURNS_MAX
            && let Some(&(_, oldest)) = self.order.first()
        {
            self.remove(oldest);
        }
        self.order.insert((turn.due, digest));
        self.turns.insert(digest, turn);
    }

    fn remove(&mut self, digest: Feature) -> Option<Turn> {
        let turn = self.turns.remove(&digest)?;
        self.order.remove(&(turn.due, digest));
        if let Some(slots) = turn.group.as_ref().and_then(|group| self.groups.get_mut(group)) {
            slots.turns.remove(&turn.due);
        }
        Some(turn)
    }

    fn record_gone(&mut self, digest: Feature, gone: Gone) {
        self.gone.insert(digest, gone);
        self.gone_order.push_back((gone.time, digest));
        if self.gone_order.len() > TURNS_MAX
            && let Some((time, oldest)) = self.gone_order.pop_front()
            && self.gone.get(&oldest).is_some_and(|gone| gone.time == time)
        {
            self.gone.remove(&oldest);
        }
    }

    fn push_unreported(&mut self, digest: Feature) {
        self.unreported.push_back(digest);
        if self.unreported.len() > TURNS_MAX {
            self.unreported.pop_front();
        }
    }
}

impl Gone {
    /// Whether a turn of the same digest ended with this one. A redemption ends all turns issued before it.
    fn ends(&self, turn: &Turn) -> bool {
        turn.stamp == self.stamp || (self.redeemed && turn.issued + MARGIN < self.time)
    }
}

impl Slots {
    fn free(&self, earliest: Time, latest: Time, target: Time, now: Time, rank: u8) -> Option<Time> {
        let length = Duration::from_secs_f64((self.rate * ISSUED_SHARE).recip().min(1e6)).max(SLOT_MIN);
        let length = length.as_micros() as u64;
        let higher = self.refused.range(..rank).count();
        // The room of a redeemed turn is used up, also while the slot lasts.
        let used = self.redeemed.map(|due| micros(due.min(now)) / length + 1);
        let first = (micros(earliest) / length).max(used.unwrap_or_default());
        (first..=micros(latest) / length)
            .map(|slot| (slot, slot * length))
            .filter(|(slot, _)| !is_kept(*slot, higher))
            .filter(|(slot, start)| slot.is_multiple_of(LATE_INTERVAL) || time(*start) < target)
            .find(|(_, start)| self.turns.range(time(*start)..time(start + length)).next().is_none())
            .map(|(_, start)| time(start.max(micros(earliest))))
            .filter(|due| *due <= latest)
    }
}

/// Whether a slot is kept for higher priorities: one in four for one of them, one in two for several.
const fn is_kept(slot: u64, higher: usize) -> bool {
    match higher {
        0 => false,
        1 => slot.is_multiple_of(4),
        _ => slot.is_multiple_of(2),
    }
}

fn millis(value: u32) -> Duration {
    Duration::from_millis(value.into())
}

fn micros(time: Time) -> u64 {
    Duration::from(time).as_micros() as u64
}

fn time(micros: u64) -> Time {
    Duration::from_micros(micros).into()
}
