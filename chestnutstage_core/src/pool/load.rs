//! Load of an endpoint, worked out from the grants on it.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::time::Duration;

use super::{Grant, Key, Pool, Work};
use crate::time::Time;

/// Rest of a read that lasts longer than it should, in milliseconds.
const OVERDUE: f64 = 20.0;

/// Time past its due moment after which a brief request without a first event counts as one that got no answer; over the
/// time that peers take to hear of a first event.
const UNANSWERED: Duration = Duration::from_millis(700);

/// Takes a [`Key`] as it is: it is a hash already.
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

/// Loads by endpoint.
pub(super) type Loads = KeyMap<Load>;

/// Load of one endpoint.
#[derive(Debug, Clone, Default)]
pub(super) struct Load {
    /// Requests that it answers.
    pub(super) held: u32,
    /// Brief requests among them.
    pub(super) briefs: u32,
    /// Bulk requests among them.
    pub(super) bulks: u32,
    /// Brief requests that got no answer long after it was due.
    unanswered: u32,
    /// When the first of them was granted.
    unanswered_since: Option<Time>,
    /// When the last first event of an answer came.
    answered: Option<Time>,
    /// Tokens of context that a step goes through.
    pub(super) context: u64,
    /// Tokens of memory that are filled or will be.
    pub(super) memory: u64,
    /// Time until all granted reads are done, in milliseconds at the published pace.
    pub(super) backlog: f64,
    /// Reads of bulk requests among them, in milliseconds.
    pub(super) bulk_reads: f64,
    /// What is left of each read, in milliseconds.
    rests: Vec<f64>,
    /// Longest pauses that are on time, and the value of all writers that have them.
    writers: Vec<(u32, f32)>,
    /// The same for each read whose writing begins soon; the time until its first event is late counts as a pause.
    readers: Vec<(f64, f32)>,
    /// Shortest pass that makes one of them late, in milliseconds.
    least: Option<f64>,
}

impl Load {
    fn add_writer(&mut self, gap: u32, value: f32) {
        match self.writers.iter_mut().find(|(other, _)| *other == gap) {
            Some((_, sum)) => *sum += value,
            None => self.writers.push((gap, value)),
        }
    }

    /// Whether `count` brief requests or more got no answer, and none of the others one since. An engine that has too much to
    /// do is late as well, but answers some.
    pub(super) fn is_unresponsive(&self, count: u32) -> bool {
        self.unanswered >= count && self.answered < self.unanswered_since
    }

    /// Worth that is lost when a pass lasts `pass` milliseconds.
    fn loss(&self, pass: f64) -> f64 {
        let writers = self.writers.iter().filter(|(gap, _)| pass > f64::from(*gap)).map(|(_, v)| *v);
        let readers = self.readers.iter().filter(|(rest, _)| pass > *rest).map(|(_, v)| *v);
        writers.chain(readers).map(f64::from).sum()
    }

    /// Time that others take while a read of `read` milliseconds is done: an engine reads all waiting prompts in turn,
    /// piece by piece.
    pub(super) fn ahead(&self, read: f64) -> f64 {
        self.rests.iter().map(|rest| rest.min(read)).sum()
    }

    /// Worth that is lost when a pass lasts `longer` instead of `pass` milliseconds.
    pub(super) fn added_loss(&self, pass: f64, longer: f64) -> f64 {
        if self.least.is_none_or(|least| longer <= least) {
            return 0.0;
        }
        self.loss(longer) - self.loss(pass)
    }
}

impl Pool {
    /// Tokens of memory and requests that an endpoint is believed to hold.
    pub fn estimated_usage(&self, now: Time, key: Key) -> (u64, u32) {
        self.loads(now).get(&key).map_or((0, 0), |load| (load.memory, load.held))
    }

    /// Whether an engine took a request long ago and answers nothing since.
    pub fn is_unresponsive(&self, now: Time, key: Key) -> bool {
        self.loads(now).get(&key).is_some_and(|load| load.is_unresponsive(1))
    }

    /// Loads of all endpoints that hold anything.
    pub(super) fn loads(&self, now: Time) -> Loads {
        let mut loads = Loads::default();
        let mut reads: KeyMap<Vec<Read>> = KeyMap::default();
        for grant in self.grants() {
            add(now, &mut loads, grant);
            if grant.first.is_none() {
                for part in &grant.parts {
                    reads.entry(part.endpoint).or_default().push(Read {
                        granted: grant.granted.as_secs_f64() * 1e3,
                        rest: f64::from(part.read),
                        bulk: grant.work == Work::Bulk,
                    });
                }
            }
        }
        for (key, reads) in reads {
            let load = loads.entry(key).or_default();
            for read in shared_rests(now.as_secs_f64() * 1e3, reads) {
                load.backlog += read.rest;
                load.bulk_reads += if read.bulk { read.rest } else { 0.0 };
                load.rests.push(read.rest);
            }
        }
        loads
    }
}

fn add(now: Time, loads: &mut Loads, grant: &Grant) {
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
        let mut patience = f64::from(grant.gap);
        if grant.first.is_some() {
            load.answered = load.answered.max(grant.first);
            load.add_writer(grant.gap, grant.value);
        } else {
            if grant.work == Work::Brief && now.since(grant.due) > UNANSWERED {
                load.unanswered += 1;
                let since = load.unanswered_since.map_or(grant.granted, |since| since.min(grant.granted));
                load.unanswered_since = Some(since);
            }
            patience = patience.min(grant.due.since(now).as_secs_f64() * 1e3);
            load.readers.push((patience, grant.value));
        }
        load.least = Some(load.least.map_or(patience, |least| least.min(patience)));
    }
}

/// A read that shares an engine with others.
#[derive(Debug, Clone, Copy)]
struct Read {
    granted: f64,
    rest: f64,
    bulk: bool,
}

/// What is left of reads that share an engine evenly, each from the moment of its grant; all times in milliseconds.
fn shared_rests(now: f64, mut reads: Vec<Read>) -> Vec<Read> {
    reads.sort_by(|a, b| a.granted.total_cmp(&b.granted));
    let mut time = reads.first().map_or(now, |r| r.granted);
    for next in 1..=reads.len() {
        let until = reads.get(next).map_or(now, |r| r.granted).min(now);
        let mut left = (until - time).max(0.0);
        while left > f64::EPSILON {
            let open: Vec<usize> = (0..next).filter(|&i| reads[i].rest > 0.0).collect();
            let Some(least) = open.iter().map(|&i| reads[i].rest).min_by(f64::total_cmp) else { break };
            let count = open.len() as f64;
            let step = least.min(left / count);
            for &i in &open {
                reads[i].rest = (reads[i].rest - step).max(0.0);
            }
            left -= step * count;
        }
        time = time.max(until);
    }
    // No event has come yet of any of them: the last piece is still being read.
    for read in &mut reads {
        read.rest = read.rest.max(OVERDUE);
    }
    reads
}
