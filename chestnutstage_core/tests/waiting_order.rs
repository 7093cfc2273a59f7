//! Order of waiting requests within a round, and work conservation.

#[path = "common/waiting.rs"]
mod common;

use chestnutstage_core::pool::Work;
use chestnutstage_core::waiting::{Entry, Group, Round, WaitingQueue};
use common::{at, entry, group, queue_of, raise_rate, serve, tickets};

/// Guards against an order by arrival.
#[test]
fn by_rank() {
    let mut queue = queue_of([entry(1, 2, "a"), entry(2, 1, "a"), entry(3, 0, "a")]);
    assert_eq!(tickets(&serve(&mut queue, at(2), 9)), [3, 2, 1]);
    assert!(queue.is_empty());
}

/// Guards against a returning caller that waits behind newcomers again, and one that goes before a higher priority.
#[test]
fn returning_first() {
    let returning = |ticket, rank| Entry { returning: true, ..entry(ticket, rank, "b") };
    let mut queue = queue_of([entry(1, 0, "a"), entry(2, 1, "a"), returning(3, 1), entry(4, 1, "b")]);
    assert_eq!(tickets(&serve(&mut queue, at(2), 9))[..2], [1, 3]);
}

/// Guards against requests that expire behind others of the same customer that have more time.
#[test]
fn earliest_first() {
    let due = |ticket, latest| Entry { latest: at(latest), ..entry(ticket, 0, "a") };
    let mut queue = queue_of([due(1, 900), due(2, 300), due(3, 600)]);
    assert_eq!(tickets(&serve(&mut queue, at(2), 9)), [2, 3, 1]);
}

/// Guards against a kind of work without a place that keeps others waiting.
#[test]
fn blocked_group() {
    let mut queue = queue_of((1..=3).map(|n| entry(n, 0, "a")));
    let plain = Group { service: "booking".into(), work: Work::Plain };
    raise_rate(&mut queue, at(1), &plain);
    for n in 4..=6 {
        queue.admit(at(1), Entry { group: plain.clone(), ..entry(n, 2, "a") }).unwrap();
    }
    let mut round = Round::default();
    let mut placed = Vec::new();
    let mut tried = 0;
    while let Some(ticket) = queue.next(&round) {
        tried += 1;
        if queue.get(ticket).unwrap().group == plain {
            placed.extend(queue.serve(at(2), ticket));
        } else {
            queue.block(&mut round, ticket);
        }
    }
    assert_eq!(tickets(&placed), [4, 5, 6]);
    assert_eq!(tried, 4, "the others of the blocked group are not tried");
    assert_eq!(queue.len(), 3);
}

/// Guards against a long prompt that keeps shorter ones waiting, and against trying all of them.
#[test]
fn blocked_bulk() {
    let bulk = |ticket| Entry { group: group(Work::Bulk), ..entry(ticket, 1, "a") };
    let mut queue = WaitingQueue::default();
    raise_rate(&mut queue, at(1), &group(Work::Bulk));
    for n in 1..=8 {
        queue.admit(at(1), bulk(n)).unwrap();
    }
    let mut round = Round::default();
    let mut tried = Vec::new();
    while let Some(ticket) = queue.next(&round) {
        tried.push(ticket);
        if ticket == 3 {
            queue.serve(at(2), ticket);
        } else {
            queue.block(&mut round, ticket);
        }
    }
    assert_eq!(tried, [1, 2, 3, 4, 5]);
    assert_eq!(queue.next(&Round::default()), Some(1), "a new round starts at the front");
}

/// Guards against a newcomer that takes the place of one that waits, and one that waits without need.
#[test]
fn newcomers() {
    let queue = queue_of([entry(1, 1, "a")]);
    assert!(queue.must_wait(&entry(2, 1, "a")));
    assert!(queue.must_wait(&entry(2, 2, "b")));
    assert!(!queue.must_wait(&entry(2, 0, "b")));
    let other = Entry { group: group(Work::Bulk), ..entry(2, 2, "b") };
    assert!(!queue.must_wait(&other), "it competes for other places");
    assert!(!queue_of([]).must_wait(&entry(2, 2, "b")));
}

/// Guards against positions that don't follow from the order of service.
#[test]
fn position() {
    let mut queue = queue_of([]);
    for n in 0..40 {
        let work = 1.0 + (n * 7 % 13) as f64;
        let customer = ["a", "b", "c"][(n % 5 % 3) as usize];
        let item =
            Entry { work, returning: n % 9 == 0, latest: at(90_000 - n * 31 % 97), ..entry(n, 0, customer) };
        let forecast = queue.admit(at(1), item).unwrap();
        assert_eq!(queue.forecast(at(1), n), Some(forecast));
    }
    let positions: Vec<_> = (0..40).map(|n| queue.forecast(at(1), n).unwrap().position).collect();
    for (index, ticket) in tickets(&serve(&mut queue, at(2), 40)).into_iter().enumerate() {
        assert_eq!(positions[ticket as usize], index, "{positions:?}");
    }
}
