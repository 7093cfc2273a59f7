//! Shares of customers and ranks in what is served.

#[path = "common/waiting.rs"]
mod common;

use std::collections::{BTreeMap, HashSet};

use chestnutstage_core::pool::Work;
use chestnutstage_core::waiting::{Entry, Round, WaitingQueue};
use common::{at, entry, group, queue_of, raise_rate, serve};

fn work_of(served: &[Entry], customer: &str) -> f64 {
    served
        .iter()
        .filter(|e| e.customer.as_ref().is_some_and(|c| c.as_str() == customer))
        .map(|e| e.work)
        .sum()
}

/// Guards against customers that get more than their weight by many or by long requests. While both have requests
/// waiting, work over weight differs by at most one request of each, from any time on.
#[test]
fn shares_by_weight() {
    let of = |ticket, customer, weight, work| Entry { weight, work, ..entry(ticket, 0, customer) };
    let long = (0..100).map(|n| of(n, "a", 1, 30.0));
    let short = (100..300).map(|n| of(n, "b", 2, 7.0));
    let mut queue = queue_of(long.chain(short));
    for _ in 0..60 {
        serve(&mut queue, at(2), 1);
    }
    let mut served = Vec::new();
    for _ in 0..100 {
        served.extend(serve(&mut queue, at(2), 1));
        let difference = work_of(&served, "a") - work_of(&served, "b") / 2.0;
        assert!(difference.abs() <= 30.0 + 7.0 / 2.0, "{difference}");
    }
}

/// Guards against a customer that waits behind the whole backlog of a large one.
#[test]
fn small_customer() {
    let mut queue = queue_of((0..200).map(|n| entry(n, 0, "large")));
    serve(&mut queue, at(2), 50);
    queue.admit(at(2), entry(500, 0, "small")).unwrap();
    let served = serve(&mut queue, at(2), 2);
    assert!(served.iter().any(|e| e.ticket == 500), "{served:?}");
}

/// Guards against a customer that goes around the queue without a charge.
#[test]
fn direct_placements() {
    let mut queue = queue_of((0..20).map(|n| entry(n, 0, "a")));
    for n in 100..110 {
        queue.record_placement(at(2), &entry(n, 0, "b"));
    }
    queue.admit(at(2), entry(200, 0, "b")).unwrap();
    let served = serve(&mut queue, at(2), 10);
    assert!(served.iter().all(|e| e.ticket != 200), "{served:?}");
}

/// Guards against ranks that are never served while a higher priority fills all places.
#[test]
fn no_starvation() {
    let mut queue = queue_of((0..240).map(|n| entry(n, 0, &format!("c{}", n % 4))));
    for (n, rank) in [(300, 1), (301, 1), (302, 2), (303, 2), (304, 200), (305, 200)] {
        queue.admit(at(1), entry(n, rank, "low")).unwrap();
    }
    let served = serve(&mut queue, at(2), 48);
    let mut ranks = BTreeMap::<u8, usize>::new();
    for item in &served {
        *ranks.entry(item.rank).or_default() += 1;
    }
    assert_eq!(ranks, BTreeMap::from([(0, 42), (1, 2), (2, 2), (200, 2)]));
}

/// Guards against a starved rank whose turn passes to others when it has no place in one round.
#[test]
fn blocked_turn() {
    let mut queue = queue_of((0..20).map(|n| entry(n, 0, "a")));
    queue.admit(at(1), entry(100, 1, "b")).unwrap();
    serve(&mut queue, at(2), 7);
    let mut round = Round::default();
    let first = queue.next(&round).unwrap();
    queue.block(&mut round, first);
    assert_eq!((first, queue.next(&round)), (100, None));
    assert!(queue.must_wait(&entry(200, 0, "c")), "the next place belongs to the other rank");
    assert_eq!(serve(&mut queue, at(2), 1)[0].ticket, 100);
    assert!(serve(&mut queue, at(2), 7).iter().all(|e| e.rank == 0));
}

/// Guards against entries that are served twice, or lost, when customers and ranks alternate.
#[test]
fn each_once() {
    let mut queue = WaitingQueue::default();
    let mut seen = HashSet::new();
    raise_rate(&mut queue, at(1), &group(Work::Brief));
    for n in 0..2_000_u64 {
        let item = Entry { returning: n % 11 == 0, ..entry(n, (n % 3) as u8, &format!("c{}", n / 3 % 24)) };
        queue.admit(at(1), item).unwrap();
        if n % 3 > 0 {
            for served in serve(&mut queue, at(1), 1) {
                assert!(seen.insert(served.ticket), "served twice: {}", served.ticket);
                assert!(queue.serve(at(1), served.ticket).is_none());
            }
        }
        while queue.len() > 200 {
            seen.extend(serve(&mut queue, at(1), 10).iter().map(|e| e.ticket));
        }
    }
    seen.extend(serve(&mut queue, at(1), usize::MAX).iter().map(|e| e.ticket));
    assert_eq!(seen.len(), 2_000);
}
