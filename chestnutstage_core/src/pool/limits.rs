//! Endpoints that limit the requests that they take from all instances together.
//!
//! An endpoint may name such a limit in its responses. One planner counts for each limited endpoint: it gives out permits at the
//! limited rate, one for each placement, and the other planners ask it. A planner that is denied one places the request
//! elsewhere and skips the endpoint for the time that it is told. The planner that counts starts without permits, since a former one
//! may have given out all of them. A limit belongs to one incarnation of an endpoint, and holds until a response to a later request
//! names another one or none. Planners tell each other the limits; each change has a version, and the newest version wins.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Grant, Key, Pool};
use crate::time::Time;

/// Lowest rate of permits, in requests a second: without any response nobody would learn that a limit no longer holds.
const RATE_MIN: f64 = 0.1;
/// Time whose permits may be given out at once, at least one.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Time within which a request has to be sent after its placement with a permit.
const PERMIT_TTL: Duration = Duration::from_secs(1);
/// Time in which the planners learn of a limit that another instance heard.
const LEARNING_TIME: Duration = Duration::from_millis(300);
/// Longest time for which a planner skips an endpoint after it was denied a permit.
const DENIED_MAX: Duration = Duration::from_secs(10);
/// Time after which an endpoint that names no limit any more is forgotten, or one that is no longer listed.
const FORGET_TIME: Duration = Duration::from_mins(1);
/// Time for which a change is repeated in the changes sent to the peers.
const REPEAT_TIME: Duration = Duration::from_secs(1);

/// Limits by endpoint.
#[derive(Debug, Default)]
pub(super) struct Limits(BTreeMap<Key, Limit>);

/// What instances tell each other of an endpoint's limit.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Key of the endpoint.
    pub key: Key,
    /// Requests a second; `None` if the endpoint no longer names a limit.
    pub rate: Option<f64>,
    /// Number of the change; the newest one wins.
    pub version: u64,
}

/// Answer to a planner that asks for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Permit {
    /// The request may be sent.
    Granted,
    /// It may not; the endpoint is to be skipped for this time.
    Denied(Duration),
}

#[derive(Debug, Clone, Copy)]
struct Limit {
    rate: Option<f64>,
    version: u64,
    /// Time of the latest change.
    changed: Time,
    /// Time of the latest response that named the limit.
    heard: Time,
    /// Permits that may be given out, while this planner counts.
    bucket: Option<Bucket>,
    /// Time until which placements skip the endpoint.
    skipped: Time,
}

/// Token bucket.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    filled: Time,
}

impl Bucket {
    /// Takes a token, or returns the time until there is one.
    fn take(&mut self, now: Time, rate: f64) -> Result<(), Duration> {
        let earned = now.since(self.filled).as_secs_f64() * rate;
        self.tokens = (self.tokens + earned).min((rate * BURST_TIME.as_secs_f64()).max(1.0));
        self.filled = now;
        if self.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.tokens) / rate));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}

impl Limit {
    fn report(&self, key: Key) -> LimitReport {
        LimitReport { key, rate: self.rate, version: self.version }
    }
}

impl Limits {
    /// Sets a limit of a version that is newer than the known one.
    fn set(&mut self, now: Time, report: &LimitReport) {
        let bucket = self.0.get(&report.key).and_then(|limit| limit.bucket);
        let rate = report.rate.map(|rate| rate.max(RATE_MIN));
        let limit = Limit {
            rate,
            version: report.version,
            changed: now,
            heard: now,
            bucket: bucket.filter(|_| rate.is_some()),
            skipped: Time::ZERO,
        };
        self.0.insert(report.key, limit);
    }

    fn in_force(&self, key: Key) -> Option<(&Limit, f64)> {
        let limit = self.0.get(&key)?;
        limit.rate.map(|rate| (limit, rate))
    }
}

impl Pool {
    /// Records the limit that a response named, in requests a second, or that it named none. A response to a request that was
    /// `sent` before the limit was last named may have overtaken the one that named it, and lifts nothing. Returns whether the limit
    /// changed.
    pub fn record_limit(&mut self, now: Time, key: Key, rate: Option<f64>, sent: Time) -> bool {
        let rate = rate.filter(|rate| rate.is_finite() && *rate >= 0.0).map(|rate| rate.max(RATE_MIN));
        let known = self.limits.0.get_mut(&key);
        let version = known.as_ref().map_or(0, |limit| limit.version) + 1;
        match known {
            None if rate.is_none() => return false,
            Some(limit) if limit.rate == rate => {
                limit.heard = now;
                return false;
            }
            Some(limit) if rate.is_none() && sent <= limit.heard => return false,
            _ => {}
        }
        self.limits.set(now, &LimitReport { key, rate, version });
        true
    }

    /// Limits in force on the endpoints of a grant.
    pub fn limits_on(&self, grant: &Grant) -> Vec<LimitReport> {
        let limited = |key| self.limits.in_force(key).map(|(limit, _)| limit.report(key));
        grant.parts.iter().filter_map(|part| limited(part.endpoint)).collect()
    }

    /// Endpoints with a limit in force.
    pub fn limited(&self) -> impl Iterator<Item = Key> {
        self.limits.0.iter().filter(|(_, limit)| limit.rate.is_some()).map(|(key, _)| *key)
    }

    pub(super) fn is_limited(&self, key: Key) -> bool {
        self.limits.in_force(key).is_some()
    }

    /// Gives out a permit for one request if the limit allows it; called on the planner that counts for the endpoint. `share` is the
    /// fraction of the planners that it serves: each part of a divided network counts for itself. `jitter` is a random number
    /// between zero and one.
    pub fn take_permit(&mut self, now: Time, asked: &LimitReport, share: f64, jitter: f64) -> Permit {
        self.apply_limits(now, &[*asked]);
        let planners = self.planners.max(1) as f64;
        let Some(limit) = self.limits.0.get_mut(&asked.key) else { return Permit::Granted };
        let Some(rate) = limit.rate else { return Permit::Granted };
        let bucket = limit.bucket.get_or_insert(Bucket { tokens: 0.0, filled: now });
        let taken = bucket.take(now, rate * share.clamp(1.0 / planners, 1.0));
        let Err(wait) = taken else { return Permit::Granted };
        // The planners come back one after the other, twice as often as there are permits.
        let turn = Duration::try_from_secs_f64(jitter * planners / 2.0 / rate).unwrap_or(DENIED_MAX);
        Permit::Denied(wait.saturating_add(turn).min(DENIED_MAX))
    }

    /// Skips an endpoint after a permit was denied.
    pub fn skip_limited(&mut self, now: Time, key: Key, wait: Duration) {
        if let Some(limit) = self.limits.0.get_mut(&key) {
            limit.skipped = limit.skipped.max(now + wait);
        }
    }

    /// Time at which a permit may be asked for; `None` if none is needed. An instance that reaches no planner gets none.
    pub(super) fn permit_due(&self, key: Key) -> Option<Time> {
        let (limit, _) = self.limits.in_force(key)?;
        Some(if self.alone { Time::NEVER } else { limit.skipped })
    }

    /// Whether a request may be sent that was `placed` then, with or without a permit. A request that was placed before the limit was
    /// known has none. Later placements without one are the choice of a planner that knows better.
    pub fn may_send(&self, now: Time, key: Key, placed: Time, permitted: bool) -> bool {
        let Some((limit, _)) = self.limits.in_force(key) else { return true };
        if permitted { now.since(placed) <= PERMIT_TTL } else { placed > limit.changed + LEARNING_TIME }
    }

    /// Limits for the peers; those that changed lately, or all of them if `complete`.
    pub(super) fn limit_reports(&self, now: Time, complete: bool) -> Vec<LimitReport> {
        let is_due = |limit: &Limit| complete || now.since(limit.changed) < REPEAT_TIME;
        let due = self.limits.0.iter().filter(|(_, limit)| is_due(limit));
        due.map(|(key, limit)| limit.report(*key)).collect()
    }

    /// Applies the limits that a peer knows of. Of two that were heard at the same time, the lower one holds.
    pub(super) fn apply_limits(&mut self, now: Time, reports: &[LimitReport]) {
        for report in reports {
            let rank = |rate: Option<f64>| rate.unwrap_or(f64::INFINITY);
            let newer =
                self.limits.0.get(&report.key).is_none_or(|known| {
                    (report.version, rank(known.rate)) > (known.version, rank(report.rate))
                });
            if newer {
                self.limits.set(now, report);
            }
        }
    }

    pub(super) fn remove_expired_limits(&mut self, now: Time) {
        let sites = &self.sites;
        self.limits.0.retain(|key, limit| {
            (limit.rate.is_some() && sites.contains_key(key)) || now.since(limit.changed) < FORGET_TIME
        });
    }
}
