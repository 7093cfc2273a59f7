//! Helpers for tests of the waiting queue.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use chestnutstage_core::pool::Work;
use chestnutstage_core::time::Time;
use chestnutstage_core::waiting::{Entry, Group, Round, Ticket, WaitingQueue};

pub fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

pub fn group(work: Work) -> Group {
    Group { service: "llm".into(), work }
}

/// A brief prompt that may wait very long.
pub fn entry(ticket: Ticket, rank: u8, customer: &str) -> Entry {
    Entry {
        ticket,
        group: group(Work::Brief),
        rank,
        customer: Some(customer.into()),
        weight: 1,
        work: 10.0,
        latest: at(600_000),
        returning: false,
        arrived: at(ticket),
    }
}

/// Records so many placements that every forecast is short.
pub fn raise_rate(queue: &mut WaitingQueue, now: Time, group: &Group) {
    for n in 0..1_000 {
        queue.record_placement(now, &Entry { group: group.clone(), ..entry(u64::MAX - n, 0, "other") });
    }
}

/// Queue with the entries, admitted at 1 ms at a high placement rate.
pub fn queue_of(entries: impl IntoIterator<Item = Entry>) -> WaitingQueue {
    let mut queue = WaitingQueue::default();
    raise_rate(&mut queue, at(1), &group(Work::Brief));
    for entry in entries {
        queue.admit(at(1), entry).unwrap();
    }
    queue
}

/// Serves up to `places` requests in a new round.
pub fn serve(queue: &mut WaitingQueue, now: Time, places: usize) -> Vec<Entry> {
    let round = Round::default();
    let mut served = Vec::new();
    while served.len() < places
        && let Some(ticket) = queue.next(&round)
    {
        served.extend(queue.serve(now, ticket));
    }
    served
}

pub fn tickets(entries: &[Entry]) -> Vec<Ticket> {
    entries.iter().map(|entry| entry.ticket).collect()
}
