//! Which requests may wait: forecast, bounds of the queue, departures and the switch.

#[path = "common/waiting.rs"]
mod common;

use std::time::Duration;

use chestnutstage_core::pool::Work;
use chestnutstage_core::waiting::{CUSTOMER_MAX, ENTRIES_MAX, Entry, Forecast, Mode, Reason, WaitingQueue};
use common::{at, entry, group, queue_of, raise_rate, serve, tickets};

/// Queue with 20 brief placements in the last second, at 1 s.
fn steady_queue() -> WaitingQueue {
    let mut queue = WaitingQueue::default();
    for n in 0..20 {
        queue.record_placement(at(50 * n + 1), &entry(n, 0, "a"));
    }
    queue
}

fn until(ticket: u64, rank: u8, latest: u64) -> Entry {
    Entry { latest: at(latest), ..entry(ticket, rank, "a") }
}

/// Guards against requests that wait although they will be late, and retry delays unrelated to the wait.
#[test]
fn too_late() {
    let mut queue = steady_queue();
    for n in 0..4 {
        let forecast = queue.admit(at(999), until(n, 0, 1_300)).unwrap();
        assert_eq!(forecast, Forecast { position: n as usize, start: at(999 + 50 * n) });
    }
    let other = Entry { customer: Some("b".into()), ..until(9, 0, 1_040) };
    let rejected = queue.admit(at(999), other).unwrap_err();
    assert_eq!((rejected.reason, rejected.wait), (Reason::TooLate, Duration::from_millis(50)));
    let rejected = queue.admit(at(999), until(10, 1, 1_100)).unwrap_err();
    assert_eq!(rejected.reason, Reason::TooLate, "those of higher priority count");
    assert!(queue.admit(at(999), until(11, 1, 1_300)).is_ok());
}

/// Guards against a queue that fills up before the placement rate is known.
#[test]
fn unknown_rate() {
    let mut queue = WaitingQueue::default();
    assert!(queue.admit(at(5), until(1, 1, 900)).is_ok());
    assert_eq!(queue.admit(at(5), until(2, 1, 900)).unwrap_err().reason, Reason::TooLate);
    assert!(queue.admit(at(5), until(3, 0, 900)).is_ok(), "nothing is ahead of it");
}

/// Guards against a forecast by count for prompts that differ in length by far.
#[test]
fn bulk_work() {
    let bulk = |ticket, work| Entry { group: group(Work::Bulk), work, ..until(ticket, 1, 3_000) };
    let mut queue = WaitingQueue::default();
    queue.record_placement(at(900), &bulk(1, 1_000.0));
    queue.admit(at(999), bulk(2, 500.0)).unwrap();
    assert_eq!(queue.admit(at(999), bulk(3, 900.0)).unwrap().start, at(1_499));
    assert_eq!(queue.admit(at(999), bulk(4, 10.0)).unwrap().start, at(2_399));
}

/// Guards against unbounded memory, and against one customer that fills the queue.
#[test]
fn bounds() {
    let mut queue = queue_of([]);
    let mut count = |customer: &str, requests: u64, first: u64| {
        let admitted = (0..requests).filter_map(|n| queue.admit(at(1), entry(first + n, 0, customer)).err());
        let reasons: Vec<_> = admitted.map(|r| r.reason).collect();
        (queue.len(), reasons.last().copied())
    };
    assert_eq!(count("a", 10_000, 0), (CUSTOMER_MAX, Some(Reason::CustomerFull)));
    for n in 1..10 {
        count(&format!("b{n}"), 1_000, n * 10_000);
    }
    assert_eq!(count("c", 10, 200_000), (ENTRIES_MAX, Some(Reason::Full)));
    assert_eq!(queue.admit(at(1), entry(0, 0, "d")).unwrap_err().reason, Reason::Duplicate);
    serve(&mut queue, at(2), usize::MAX);
    assert!(queue.admit(at(2), entry(1, 0, "a")).is_ok(), "the places of those that were served are free");
}

/// Guards against callers that leave and still hold a place, or are charged for it.
#[test]
fn departures() {
    let mut queue = queue_of([entry(1, 0, "a"), entry(2, 0, "a"), entry(3, 0, "b")]);
    assert_eq!(queue.cancel(1).map(|e| e.ticket), Some(1));
    assert_eq!(queue.cancel(1), None);
    assert_eq!(queue.forecast(at(1), 1), None);
    assert_eq!(tickets(&serve(&mut queue, at(2), 9)), [2, 3], "the customer was not charged");
    assert_eq!((queue.len(), queue.next_expiry()), (0, None));
    assert!(!queue.must_wait(&entry(4, 2, "c")));
}

/// Guards against requests that are held past the time at which they can be served in time.
#[test]
fn expiry() {
    let mut queue = steady_queue();
    for n in 0..4 {
        queue.admit(at(999), until(n, 1, 1_200 + 100 * n)).unwrap();
    }
    assert_eq!(queue.next_expiry(), Some(at(1_200)));
    assert!(queue.expire(at(1_199)).is_empty());
    assert_eq!(tickets(&queue.expire(at(1_200))), [0]);
    assert_eq!(queue.next_expiry(), Some(at(1_300)));
}

/// Guards against requests that wait on although others of higher priority pushed them past their latest start.
#[test]
fn pushed_back() {
    let mut queue = steady_queue();
    queue.admit(at(999), until(1, 1, 1_100)).unwrap();
    for n in 2..7 {
        queue.admit(at(999), until(n, 0, 3_000)).unwrap();
    }
    assert!(queue.expire(at(999)).is_empty(), "the forecast may be wrong by a little");
    for n in 7..20 {
        queue.admit(at(999), until(n, 0, 3_000)).unwrap();
    }
    assert_eq!(tickets(&queue.expire(at(999))), [1]);
}

/// Guards against state that remains for groups without requests.
#[test]
fn idle_groups() {
    let mut queue = queue_of([]);
    raise_rate(&mut queue, at(1), &group(Work::Plain));
    let before = format!("{queue:?}").len();
    queue.expire(at(5_000));
    assert!(format!("{queue:?}").len() < before);
    assert_eq!(format!("{queue:?}"), format!("{:?}", WaitingQueue::default()));
}

/// Guards against waiting where the configuration doesn't call for it.
#[test]
fn switch() {
    let by_rank = |routes: &[u8], customers: &[Option<u8>]| {
        Mode::default().calls_for_waiting(routes.iter().copied(), customers.iter().copied())
    };
    assert!(!by_rank(&[], &[]));
    assert!(!by_rank(&[1], &[]));
    assert!(!by_rank(&[1, 1], &[None, Some(1)]));
    assert!(by_rank(&[0, 1], &[]));
    assert!(by_rank(&[1], &[None, Some(0)]));
    assert!(Mode::Always.calls_for_waiting([1], []));
    assert!(!Mode::Never.calls_for_waiting([0, 1], []));
}
