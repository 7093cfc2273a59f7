//! Learned pace and request limit of endpoints.
//!
//! Answers uneven endpoints: some are several times slower than the others of their service, or slow down long before
//! their slots are full, and their own reports don't say so. Each first event of a brief prompt and each response of a
//! plain service is compared with its forecast. [`Learned`] collects the ratios of one incarnation of an endpoint by
//! the number of requests in flight, as counts in bins of a logarithmic scale, whose median no single answer moves.
//! [`update`] compares the endpoints of a service with each other, so that general load is attributed to none.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::pool::Key;
use crate::time::Time;

/// Slowdown against the other endpoints from which a learned pace takes effect.
pub const SLOWDOWN_MIN: f64 = 1.5;
/// Endpoints in the reports of one message.
pub const REPORTED_MAX: usize = 64;
/// Age at which observations expire.
const WINDOW: Duration = Duration::from_secs(5);
/// Age up to which all observations count; older ones only if there are fewer than [`EVIDENCE_ENOUGH`].
const WINDOW_RECENT: Duration = Duration::from_secs(2);
/// Observations from which older ones are ignored.
const EVIDENCE_ENOUGH: u32 = 16;
/// Observations without which nothing takes effect.
const EVIDENCE_MIN: u32 = 8;
/// Observations with which an endpoint counts in the comparison of others.
const REFERENCE_MIN: u32 = 4;
/// Standard errors by which a slowdown has to exceed what the spread of the observations explains. With four, replays of
/// alike endpoints still found slow ones.
const DEVIATIONS_MIN: f64 = 5.0;
/// Smallest spread that is assumed, as the standard deviation of the ratio's logarithm: a few observations may be
/// alike by chance.
const SPREAD_MIN: f64 = 0.2;
/// Standard error of a median of normal values, relative to that of their mean.
const MEDIAN_ERROR: f64 = 1.25;
/// Difference between the quartiles of normal values, in standard deviations.
const QUARTILE_RANGE: f64 = 1.35;
/// Observations of a slow endpoint that end its slowdown, or of a limited one that confirm its limit.
const TRIALS_MIN: u32 = 3;
/// Time within which observations belong to the same trial of a slow endpoint.
const TRIAL_TIME: Duration = Duration::from_millis(1_500);
/// Time after the latest confirmation from which a slowdown decays.
const HOLD_TIME: Duration = Duration::from_secs(1);
/// Time in which an unconfirmed slowdown falls by half: a slow endpoint that gets no requests is tried again
/// within seconds.
const HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Decayed pace at which a slowdown is forgotten.
const PACE_FORGOTTEN: f64 = 1.1;
/// Interval at which a limit grows by one request.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);
/// Time after the latest confirmation of a slowdown from which a single request may try the endpoint; longer than
/// confirmations take to reach the other planners.
const TRIAL_DELAY: Duration = Duration::from_secs(2);
/// Bins for each doubling of the ratio; four tell a slowdown of 1.5 from none.
const BINS_PER_OCTAVE: f64 = 4.0;
/// Octaves of the scale on each side of ratio one.
const OCTAVES: f64 = 6.0;
const BINS: usize = (2.0 * OCTAVES * BINS_PER_OCTAVE) as usize;
/// Levels of requests in flight: one, two and three, four to seven, and so on.
const LEVELS: u8 = 6;
/// Observations that are kept of one endpoint.
const KEPT_MAX: usize = 256;
/// Answers of one endpoint in a second, in a peer's report; more are not plausible.
const COUNT_MAX: u16 = 1_000;
/// Age at which observations that were not sent expire.
const UNSENT_TTL: Duration = Duration::from_secs(2);

/// A time to first event or response, and its forecast.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Observation {
    /// Requests in flight on the endpoint when it was placed, this one included.
    pub inflight: u32,
    /// Forecast at the published speed, in milliseconds.
    pub expected_ms: f64,
    /// Observed time, in milliseconds.
    pub observed_ms: f64,
}

/// Number of observations in one bin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Level of requests in flight: the binary logarithm of their number.
    pub level: u8,
    /// Bin of the ratio of observed to forecast time.
    pub bin: u8,
    /// Number of observations.
    pub count: u16,
}

/// Observations of one endpoint during about a second, for the other planners.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacityReport {
    /// Key of the endpoint.
    pub endpoint: Key,
    /// Observations by level and bin.
    pub tallies: Vec<Tally>,
}

/// Change of an endpoint's learned pace across [`SLOWDOWN_MIN`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceChange {
    /// Learned pace.
    pub pace: f64,
    /// Learned limit of requests in flight.
    pub limit: u32,
    /// Observations that count.
    pub observations: u32,
    /// Age of the latest one.
    pub age: Duration,
}

/// What was learned of one incarnation of an endpoint.
#[derive(derive_more::Debug, Clone)]
pub struct Learned {
    #[debug(skip)]
    cells: VecDeque<(Time, Tally)>,
    #[debug(skip)]
    unsent: Vec<Tally>,
    unsent_since: Time,
    /// Slowdown against the other endpoints; one if there is none.
    slowdown: f64,
    /// Time of the latest observation that confirmed it.
    confirmed: Time,
    /// Requests in flight from which latency does not rise, with the time of the latest confirmation.
    knee: Option<(u32, Time)>,
    /// Ratio of observed to forecast time of the other endpoints.
    reference: Option<Estimate>,
    /// Whether the pace was at least [`SLOWDOWN_MIN`] in the latest update.
    slow: bool,
}

impl Default for Learned {
    fn default() -> Self {
        Self {
            cells: VecDeque::new(),
            unsent: Vec::new(),
            unsent_since: Time::ZERO,
            slowdown: 1.0,
            confirmed: Time::ZERO,
            knee: None,
            reference: None,
            slow: false,
        }
    }
}

/// Counts by bin.
struct Histogram {
    counts: [u32; BINS],
    total: u32,
}

impl Histogram {
    fn new<'a>(tallies: impl Iterator<Item = &'a Tally>) -> Self {
        let mut histogram = Self { counts: [0; BINS], total: 0 };
        for tally in tallies {
            histogram.counts[usize::from(tally.bin)] += u32::from(tally.count);
            histogram.total += u32::from(tally.count);
        }
        histogram
    }

    /// Ratio below which this share of the observations is.
    fn quantile(&self, share: f64) -> f64 {
        let wanted = share * f64::from(self.total);
        let mut below = 0.0;
        for (bin, count) in self.counts.iter().map(|count| f64::from(*count)).enumerate() {
            if count > 0.0 && below + count >= wanted {
                let position = bin as f64 + (wanted - below) / count;
                return (position / BINS_PER_OCTAVE - OCTAVES).exp2();
            }
            below += count;
        }
        1.0
    }

    /// Median ratio; `None` if there are fewer than `least` observations.
    fn median(&self, least: u32) -> Option<f64> {
        (self.total >= least.max(1)).then(|| self.quantile(0.5))
    }

    /// Standard error of the median's logarithm.
    fn error(&self) -> f64 {
        let spread = (self.quantile(0.75) / self.quantile(0.25)).ln() / QUARTILE_RANGE;
        MEDIAN_ERROR * spread.max(SPREAD_MIN) / f64::from(self.total.max(1)).sqrt()
    }

    /// Median ratio with its error; `None` if there are fewer than `least` observations.
    fn estimate(&self, least: u32) -> Option<Estimate> {
        Some(Estimate { ratio: self.median(least)?, error: self.error() })
    }
}

/// Ratio of observed to forecast time, with the standard error of its logarithm.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    ratio: f64,
    error: f64,
}

impl Estimate {
    /// Whether it is slow against another one, beyond what may be by chance.
    fn is_slow(self, other: Self) -> bool {
        let slowdown = self.ratio / other.ratio;
        slowdown >= SLOWDOWN_MIN && slowdown.ln() >= DEVIATIONS_MIN * self.error.hypot(other.error)
    }
}

impl Observation {
    /// The bin of the observation; `None` if a value is out of range.
    fn tally(&self) -> Option<Tally> {
        let ratio = self.observed_ms / self.expected_ms;
        let in_range = |ms: f64| ms.is_finite() && ms > 0.0 && ms < 1e9;
        if !in_range(self.observed_ms) || !in_range(self.expected_ms) || self.inflight == 0 {
            return None;
        }
        let bin = ((ratio.log2() + OCTAVES) * BINS_PER_OCTAVE).clamp(0.0, BINS as f64 - 1.0) as u8;
        let level = (self.inflight.ilog2() as u8).min(LEVELS - 1);
        Some(Tally { level, bin, count: 1 })
    }
}

impl Learned {
    /// Records an observation of this planner; one that is out of range is skipped.
    pub fn record(&mut self, now: Time, observation: &Observation) {
        let Some(tally) = observation.tally() else { return };
        self.push(now, tally);
        if self.unsent.is_empty() || now.since(self.unsent_since) > UNSENT_TTL {
            self.unsent.clear();
            self.unsent_since = now;
        }
        match self.unsent.iter_mut().find(|t| t.level == tally.level && t.bin == tally.bin) {
            Some(known) => known.count = known.count.saturating_add(1).min(COUNT_MAX),
            None => self.unsent.push(tally),
        }
    }

    /// Applies the observations of another planner; those out of range are skipped.
    pub fn apply(&mut self, now: Time, tallies: &[Tally]) {
        let valid =
            |t: &&Tally| t.level < LEVELS && usize::from(t.bin) < BINS && (1..=COUNT_MAX).contains(&t.count);
        for tally in tallies.iter().filter(valid).take(KEPT_MAX) {
            self.push(now, *tally);
        }
    }

    /// Takes the observations that were not sent yet.
    pub fn take_unsent(&mut self, now: Time) -> Vec<Tally> {
        let unsent = std::mem::take(&mut self.unsent);
        if now.since(self.unsent_since) > UNSENT_TTL { Vec::new() } else { unsent }
    }

    fn push(&mut self, now: Time, tally: Tally) {
        self.cells.push_back((now, tally));
        if self.cells.len() > KEPT_MAX {
            self.cells.pop_front();
        }
    }

    /// Factor of the forecast: above one only if the endpoint was found slower than the others.
    pub fn pace(&self, now: Time) -> f64 {
        let idle = now.since(self.confirmed).saturating_sub(HOLD_TIME);
        let decay = (-idle.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        let pace = 1.0 + (self.slowdown - 1.0) * decay;
        if pace < PACE_FORGOTTEN { 1.0 } else { pace }
    }

    /// Slowdown to expect of a request that tries the endpoint; `None` while no trial is due.
    pub fn trial(&self, now: Time) -> Option<f64> {
        (self.pace(now) > 1.0 && now.since(self.confirmed) > TRIAL_DELAY).then_some(self.slowdown)
    }

    /// Requests in flight that it serves well, at most `slots`.
    pub fn limit(&self, now: Time, slots: u32) -> u32 {
        let grown = |since: Time| (now.since(since).as_secs_f64() / TRIAL_INTERVAL.as_secs_f64()) as u32;
        let knee = self.knee.map_or(slots, |(knee, since)| knee.saturating_add(grown(since)));
        // A slowdown that nothing confirms any more is tried with few requests.
        let is_tried = self.pace(now) > 1.0 && now.since(self.confirmed) > HOLD_TIME;
        let trial = if is_tried { grown(self.confirmed).max(1) } else { slots };
        knee.min(trial).min(slots)
    }

    /// Ratio of observed to forecast time that the other endpoints of the service have.
    pub fn reference(&self) -> Option<f64> {
        self.reference.map(|reference| reference.ratio)
    }

    /// Observations that count: the recent ones, and older ones while those are few.
    fn evidence(&self, now: Time) -> impl Iterator<Item = &Tally> {
        let mut newer = 0;
        self.cells.iter().rev().map_while(move |(time, tally)| {
            let counts = now.since(*time) <= WINDOW_RECENT || newer < EVIDENCE_ENOUGH;
            newer += u32::from(tally.count);
            counts.then_some(tally)
        })
    }

    fn expire(&mut self, now: Time) {
        while self.cells.front().is_some_and(|(time, _)| now.since(*time) > WINDOW) {
            self.cells.pop_front();
        }
        if self.pace(now) <= 1.0 {
            self.slowdown = 1.0;
        }
    }

    /// Decides on the slowdown against `reference`, the ratio of the other endpoints.
    fn decide(&mut self, now: Time, reference: Estimate) {
        self.find_knee(now, reference);
        let is_recent = |(time, _): &&(Time, Tally)| now.since(*time) <= TRIAL_TIME;
        let recent = Histogram::new(self.cells.iter().filter(is_recent).map(|(_, tally)| tally));
        let Some(latest) = self.cells.back().map(|(time, _)| *time) else { return };
        if self.slowdown > 1.0 && recent.total < EVIDENCE_MIN {
            let is_slow = |ratio: f64| ratio / reference.ratio >= SLOWDOWN_MIN;
            if recent.median(1).is_some_and(is_slow) {
                self.confirmed = latest;
            } else if recent.total >= TRIALS_MIN {
                self.slowdown = 1.0;
                self.cells.retain(|(time, _)| now.since(*time) <= TRIAL_TIME);
            }
            return;
        }
        let below_knee = |t: &&Tally| self.knee.is_none_or(|(knee, _)| 1 << t.level <= knee);
        let evidence = Histogram::new(self.evidence(now).filter(below_knee));
        let Some(estimate) = evidence.estimate(EVIDENCE_MIN) else { return };
        let slowdown = estimate.ratio / reference.ratio;
        if estimate.is_slow(reference) || (self.slowdown > 1.0 && slowdown >= SLOWDOWN_MIN) {
            self.slowdown = slowdown;
            self.confirmed = latest;
        } else {
            self.slowdown = 1.0;
        }
    }

    /// Finds a level of requests in flight from which the endpoint is slow, although it is not below.
    fn find_knee(&mut self, now: Time, reference: Estimate) {
        let least = if self.knee.is_some() { TRIALS_MIN } else { EVIDENCE_MIN };
        let split = (1..LEVELS).rev().find(|level| {
            let high = Histogram::new(self.evidence(now).filter(|t| t.level >= *level));
            let Some(high) = high.estimate(least) else { return false };
            let low = Histogram::new(self.evidence(now).filter(|t| t.level < *level));
            low.estimate(REFERENCE_MIN).is_some_and(|low| {
                low.ratio / reference.ratio < SLOWDOWN_MIN && high.is_slow(low) && high.is_slow(reference)
            })
        });
        let Some(level) = split else { return };
        let latest = self.cells.iter().rev().find(|(_, t)| t.level >= level).map_or(now, |(time, _)| *time);
        // Requests of the old number in flight still answer for a while.
        if self.knee.is_none_or(|(_, since)| latest > since) {
            self.knee = Some(((1 << level) - 1, latest));
        }
    }
}

/// Compares the endpoints of a service, each with its slots. Returns the changes, with the index of the endpoint.
pub fn update(now: Time, endpoints: &mut [(&mut Learned, u32)]) -> Vec<(usize, PaceChange)> {
    let mut ratios = Vec::with_capacity(endpoints.len());
    for (index, (learned, _)) in endpoints.iter_mut().enumerate() {
        learned.expire(now);
        if let Some(ratio) = Histogram::new(learned.evidence(now)).estimate(REFERENCE_MIN) {
            ratios.push((ratio, index));
        }
    }
    ratios.sort_by(|a, b| a.0.ratio.total_cmp(&b.0.ratio));
    let mut changes = Vec::new();
    for (index, (learned, slots)) in endpoints.iter_mut().enumerate() {
        let own = ratios.iter().position(|(_, i)| *i == index);
        let others = ratios.len() - usize::from(own.is_some());
        let reference = others.checked_sub(1).map(|last| {
            let middle = last / 2;
            let Estimate { ratio, error } =
                ratios[middle + usize::from(own.is_some_and(|own| own <= middle))].0;
            Estimate { ratio, error: error / (others as f64).sqrt() }
        });
        // A known slowdown is tried against what was known when the others get no requests.
        let known = learned.reference.filter(|_| learned.slowdown > 1.0);
        learned.reference = reference.or(known);
        if let Some(reference) = learned.reference {
            learned.decide(now, reference);
        }
        if learned.knee.is_some_and(|_| learned.limit(now, *slots) >= *slots) && !learned.slow {
            learned.knee = None;
        }
        let pace = learned.pace(now);
        if learned.slow != (pace >= SLOWDOWN_MIN) {
            learned.slow = pace >= SLOWDOWN_MIN;
            let observations = learned.evidence(now).map(|t| u32::from(t.count)).sum();
            let latest = learned.cells.back().map_or(learned.confirmed, |(time, _)| *time);
            let limit = learned.limit(now, *slots);
            changes.push((index, PaceChange { pace, limit, observations, age: now.since(latest) }));
        }
    }
    changes
}
