//! Load of an endpoint, worked out from the grants on it.

use std::collections::HashMap;

use super::{Grant, Key, Pool, Work};
use crate::time::Time;

/// Rest of a read that lasts longer than it should, in milliseconds.
const OVERDUE: f64 = 20.0;

/// Load of one endpoint.
#[derive(Debug, Clone, Default)]
pub(super) struct Load {
    /// Requests that it answers.
    pub(super) held: u32,
    /// Brief requests among them.
    pub(super) briefs: u32,
    /// Bulk requests among them.
    pub(super) bulks: u32,
    /// Tokens of context that a step goes through.
    pub(super) context: u64,
    /// Tokens of memory that are filled or will be.
    pub(super) memory: u64,
    /// Time until all granted reads are done, in milliseconds at the published pace.
    pub(super) backlog: f64,
    /// Reads of bulk requests that have not ended, in milliseconds.
    pub(super) bulk_reads: f64,
    /// Longest pause that is on time and value, for each writer.
    writers: Vec<(u32, f32)>,
    /// Rest of the time until the first event is late, in milliseconds, and value, for each read.
    readers: Vec<(f64, f32)>,
}

impl Load {
    /// Worth that is lost when a pass lasts `pass` milliseconds.
    fn loss(&self, pass: f64) -> f64 {
        let writers = self.writers.iter().filter(|(gap, _)| pass > f64::from(*gap)).map(|(_, v)| *v);
        let readers = self.readers.iter().filter(|(rest, _)| pass > *rest).map(|(_, v)| *v);
        writers.chain(readers).map(f64::from).sum()
    }

    /// Worth that is lost when a pass lasts `longer` instead of `pass` milliseconds.
    pub(super) fn added_loss(&self, pass: f64, longer: f64) -> f64 {
        self.loss(longer) - self.loss(pass)
    }
}

impl Pool {
    /// Loads of all endpoints that hold anything.
    pub(super) fn loads(&self, now: Time) -> HashMap<Key, Load> {
        let mut loads: HashMap<Key, Load> = HashMap::new();
        let mut reads: HashMap<Key, Vec<(Time, f64)>> = HashMap::new();
        for grant in self.grants() {
            add(now, &mut loads, grant);
            if grant.first.is_none() {
                for part in &grant.parts {
                    reads.entry(part.endpoint).or_default().push((grant.granted, f64::from(part.read)));
                }
            }
        }
        for (key, mut queue) in reads {
            queue.sort_by_key(|(granted, _)| *granted);
            loads.entry(key).or_default().backlog = backlog(now, &queue);
        }
        loads
    }
}

fn add(now: Time, loads: &mut HashMap<Key, Load>, grant: &Grant) {
    for (index, part) in grant.parts.iter().enumerate() {
        let load = loads.entry(part.endpoint).or_default();
        load.memory += u64::from(part.memory);
        load.context += u64::from(part.context);
        if grant.work == Work::Bulk && grant.first.is_none() {
            load.bulk_reads += f64::from(part.read);
        }
        if index > 0 {
            continue;
        }
        load.held += 1;
        match grant.work {
            Work::Plain => {}
            Work::Brief => load.briefs += 1,
            Work::Bulk => load.bulks += 1,
        }
        if grant.first.is_some() {
            load.writers.push((grant.gap, grant.value));
        } else {
            load.readers.push((grant.due.since(now).as_secs_f64() * 1e3, grant.value));
        }
    }
}

/// Time until reads that were granted in this order are done, in milliseconds.
fn backlog(now: Time, reads: &[(Time, f64)]) -> f64 {
    let now = now.as_secs_f64() * 1e3;
    let mut done = 0.0_f64;
    for (granted, read) in reads {
        done = done.max(granted.as_secs_f64() * 1e3) + read;
        if done < now {
            // The read should have ended, but no event has come.
            done = now + OVERDUE;
        }
    }
    (done - now).max(0.0)
}
