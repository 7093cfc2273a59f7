//! Endpoints that asked for no further requests, in one of their responses.
//!
//! An endpoint that leaves says so in its responses, often before its list entry does; an overloaded one may name the time
//! for which it wants no requests. Neither may get new work, not even if no other endpoint is open. A withdrawal belongs to
//! one incarnation, so that a restarted endpoint is not affected. Instances tell each other what they heard themselves.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Key, Pool};
use crate::time::Time;

/// Time after which the leaving of an endpoint that is no longer listed is forgotten.
const LEFT_TTL: Duration = Duration::from_mins(1);
/// Time for which a withdrawal is repeated in the changes sent to the peers.
const REPEAT_TIME: Duration = Duration::from_secs(1);

/// Withdrawals by endpoint.
#[derive(Debug, Default)]
pub(super) struct Withdrawals(BTreeMap<Key, Withdrawal>);

#[derive(Debug, Clone, Copy)]
struct Withdrawal {
    /// [`Time::NEVER`] if the endpoint leaves.
    until: Time,
    recorded: Time,
    /// Whether this instance heard it from the endpoint or from an instance that only asks for placements.
    own: bool,
}

impl Withdrawals {
    fn record(&mut self, now: Time, key: Key, until: Time, own: bool) {
        let entry = self.0.entry(key).or_insert(Withdrawal { until, recorded: now, own });
        if until > entry.until {
            *entry = Withdrawal { until, recorded: now, own };
        }
    }
}

impl Pool {
    /// Records that an endpoint wants no requests for the time `span`, or never again if it is `None`.
    pub fn withdraw(&mut self, now: Time, key: Key, span: Option<Duration>) {
        self.withdrawals.record(now, key, span.map_or(Time::NEVER, |span| now + span), true);
    }

    /// Whether an endpoint wants no requests.
    pub fn is_withdrawn(&self, now: Time, key: Key) -> bool {
        self.withdrawals.0.get(&key).is_some_and(|withdrawal| now < withdrawal.until)
    }

    /// Withdrawals that this instance heard of itself, for its peers: each with the remaining time in milliseconds, or
    /// `None` if the endpoint leaves. Only recent ones unless `complete`.
    pub(super) fn own_withdrawals(&self, now: Time, complete: bool) -> Vec<(Key, Option<u32>)> {
        let sent = self
            .withdrawals
            .0
            .iter()
            .filter(|(_, w)| w.own && now < w.until && (complete || now.since(w.recorded) < REPEAT_TIME));
        let remaining = |until: Time| (until < Time::NEVER).then(|| until.since(now).as_millis() as u32);
        sent.map(|(key, w)| (*key, remaining(w.until))).collect()
    }

    /// Applies the withdrawals that a peer heard of.
    pub(super) fn apply_withdrawals(&mut self, now: Time, withdrawals: &[(Key, Option<u32>)]) {
        for (key, remaining) in withdrawals {
            let until = remaining.map_or(Time::NEVER, |ms| now + Duration::from_millis(u64::from(ms)));
            self.withdrawals.record(now, *key, until, false);
        }
    }

    pub(super) fn remove_expired_withdrawals(&mut self, now: Time) {
        let sites = &self.sites;
        self.withdrawals
            .0
            .retain(|key, w| now < w.until && (sites.contains_key(key) || now.since(w.recorded) < LEFT_TTL));
    }
}
