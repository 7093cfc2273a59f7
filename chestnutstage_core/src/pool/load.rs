//! Load of an endpoint, calculated from the grants on it.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::time::Duration;

use super::{Grant, Key, Pool, Work};
use crate::time::Time;

/// Remaining time that is assumed for a prefill that takes longer than expected, in milliseconds.
const OVERDUE_MS: f64 = 20.0;

/// Time after its deadline from which a brief request without a first event counts as unanswered; longer than
/// first events take to reach the peers.
const UNANSWERED_AFTER: Duration = Duration::from_millis(700);

/// Passes a [`Key`] through unchanged: it already is a hash.
#[derive(Debug, Default)]
pub(super) struct KeyHasher(u64);

impl Hasher for KeyHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(byte);
        }
    }

    fn write_u64(&mut self, number: u64) {
        self.0 = number;
    }
}

type KeyMap<T> = HashMap<Key, T, BuildHasherDefault<KeyHasher>>;

/// Loads by endpoint key.
pub(super) type Loads = KeyMap<Load>;

#[derive(Debug, Clone, Default)]
pub(super) struct Load {
    /// Requests assigned to the endpoint; a shared prompt counts only on its decode engine.
    pub(super) held: u32,
    /// Brief requests among them.
    pub(super) briefs: u32,
    /// Bulk requests among them.
    pub(super) bulks: u32,
    /// Brief requests that are unanswered long after their deadline.
    unanswered: u32,
    /// Time of the earliest grant among them.
    unanswered_since: Option<Time>,
    /// Time of the latest first event.
    answered: Option<Time>,
    /// Context that each decode step processes, in tokens.
    pub(super) context: u64,
    /// KV memory that is filled or going to be, in tokens.
    pub(super) memory: u64,
    /// Time until all granted prefills are done, in milliseconds at the published speed.
    pub(super) backlog_ms: f64,
    /// The part of the backlog that belongs to bulk requests, in milliseconds.
    pub(super) bulk_backlog: f64,
    /// Remaining time of each prefill, in milliseconds.
    remaining: Vec<f64>,
    /// Longest event gaps that are on time, in milliseconds, each with the total value of the decoding
    /// requests that have it.
    decoding: Vec<(u32, f32)>,
    /// The same for each request in prefill, whose gap is also limited by the time until its first event is
    /// late.
    prefilling: Vec<(f64, f32)>,
    /// Shortest pass that makes one of these requests late, in milliseconds.
    slack_min: Option<f64>,
}

impl Load {
    fn add_decoding(&mut self, gap: u32, value: f32) {
        match self.decoding.iter_mut().find(|(other, _)| *other == gap) {
            Some((_, sum)) => *sum += value,
            None => self.decoding.push((gap, value)),
        }
    }

    /// Whether at least `count` brief requests are unanswered and no other request has been answered since.
    /// An overloaded engine is late as well, but still answers some requests.
    pub(super) fn is_unresponsive(&self, count: u32) -> bool {
        self.unanswered >= count && self.answered < self.unanswered_since
    }

    /// Value lost in a pass of `pass_ms`.
    fn value_lost(&self, pass_ms: f64) -> f64 {
        let decoding = self.decoding.iter().filter(|(gap, _)| pass_ms > f64::from(*gap)).map(|(_, v)| *v);
        let prefilling = self.prefilling.iter().filter(|(slack, _)| pass_ms > *slack).map(|(_, v)| *v);
        decoding.chain(prefilling).map(f64::from).sum()
    }

    /// Time spent on other prompts while a prefill of `prefill_ms` runs: an engine prefills all
    /// waiting prompts in turn, chunk by chunk.
    pub(super) fn interleaved(&self, prefill_ms: f64) -> f64 {
        self.remaining.iter().map(|remaining| remaining.min(prefill_ms)).sum()
    }

    /// Additional value lost when a pass takes `longer_ms` instead of `pass_ms`.
    pub(super) fn added_value_lost(&self, pass_ms: f64, longer_ms: f64) -> f64 {
        if self.slack_min.is_none_or(|slack| longer_ms <= slack) {
            return 0.0;
        }
        self.value_lost(longer_ms) - self.value_lost(pass_ms)
    }
}

impl Pool {
    /// KV memory, in tokens, and number of requests on an endpoint, calculated from the known grants.
    pub fn estimated_usage(&self, now: Time, key: Key) -> (u64, u32) {
        self.loads(now).get(&key).map_or((0, 0), |load| (load.memory, load.held))
    }

    /// Whether a brief request on an engine is unanswered long after its deadline, and the engine has answered no
    /// other request since that one was granted.
    pub fn is_unresponsive(&self, now: Time, key: Key) -> bool {
        self.loads(now).get(&key).is_some_and(|load| load.is_unresponsive(1))
    }

    /// Loads of all endpoints that have grants.
    pub(super) fn loads(&self, now: Time) -> Loads {
        let mut loads = Loads::default();
        let mut prefills: KeyMap<Vec<Prefill>> = KeyMap::default();
        for grant in self.grants() {
            add_grant(now, &mut loads, grant);
            if grant.first.is_none() {
                for part in &grant.parts {
                    prefills.entry(part.endpoint).or_default().push(Prefill {
                        granted: grant.granted.as_secs_f64() * 1e3,
                        remaining: f64::from(part.read),
                        bulk: grant.work == Work::Bulk,
                    });
                }
            }
        }
        for (key, prefills) in prefills {
            let load = loads.entry(key).or_default();
            for prefill in remaining_prefills(now.as_secs_f64() * 1e3, prefills) {
                load.backlog_ms += prefill.remaining;
                load.bulk_backlog += if prefill.bulk { prefill.remaining } else { 0.0 };
                load.remaining.push(prefill.remaining);
            }
        }
        self.add_claims(now, &mut loads);
        loads
    }
}

fn add_grant(now: Time, loads: &mut Loads, grant: &Grant) {
    for (index, part) in grant.parts.iter().enumerate() {
        let load = loads.entry(part.endpoint).or_default();
        load.memory += u64::from(part.memory);
        load.context += u64::from(part.context);
        if index > 0 {
            continue;
        }
        load.held += 1;
        match grant.work {
            Work::Plain => {}
            Work::Brief => load.briefs += 1,
            Work::Bulk => load.bulks += 1,
        }
        let mut slack = f64::from(grant.gap);
        if grant.first.is_some() {
            load.answered = load.answered.max(grant.first);
            load.add_decoding(grant.gap, grant.value);
        } else {
            if grant.work == Work::Brief && now.since(grant.due) > UNANSWERED_AFTER {
                load.unanswered += 1;
                let since = load.unanswered_since.map_or(grant.granted, |since| since.min(grant.granted));
                load.unanswered_since = Some(since);
            }
            slack = slack.min(grant.due.since(now).as_secs_f64() * 1e3);
            load.prefilling.push((slack, grant.value));
        }
        load.slack_min = Some(load.slack_min.map_or(slack, |least| least.min(slack)));
    }
}

/// A prefill that shares an engine with others; times in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Prefill {
    granted: f64,
    remaining: f64,
    bulk: bool,
}

/// Remaining times of prefills that share an engine evenly, each from the time of its grant; all times in
/// milliseconds.
fn remaining_prefills(now: f64, mut prefills: Vec<Prefill>) -> Vec<Prefill> {
    prefills.sort_by(|a, b| a.granted.total_cmp(&b.granted));
    let mut time = prefills.first().map_or(now, |r| r.granted);
    for next in 1..=prefills.len() {
        let until = prefills.get(next).map_or(now, |r| r.granted).min(now);
        let mut available = (until - time).max(0.0);
        while available > f64::EPSILON {
            let open: Vec<usize> = (0..next).filter(|&i| prefills[i].remaining > 0.0).collect();
            let Some(shortest) = open.iter().map(|&i| prefills[i].remaining).min_by(f64::total_cmp) else {
                break;
            };
            let count = open.len() as f64;
            let step = shortest.min(available / count);
            for &i in &open {
                prefills[i].remaining = (prefills[i].remaining - step).max(0.0);
            }
            available -= step * count;
        }
        time = time.max(until);
    }
    // None of them has produced an event yet, so each still has its last chunk to prefill.
    for prefill in &mut prefills {
        prefill.remaining = prefill.remaining.max(OVERDUE_MS);
    }
    prefills
}
