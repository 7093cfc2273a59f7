//! The waiting queue with clocks that stand still or jump, and numbers out of range.

#[path = "common/waiting.rs"]
mod common;

use std::collections::HashSet;
use std::time::Duration;

use chestnutstage_core::pool::Work;
use chestnutstage_core::time::Time;
use chestnutstage_core::waiting::{CUSTOMER_MAX, ENTRIES_MAX, Entry, Round, Ticket, WaitingQueue};
use common::{at, entry, group, queue_of, raise_rate, serve};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Guards against a rate that grows without bound, or requests that expire, while the clock stands still.
#[test]
fn clock_stands() {
    let mut queue = queue_of([]);
    for n in 0..5_000 {
        queue.admit(at(1), entry(n, 0, "a")).unwrap();
        assert!(queue.expire(at(1)).is_empty());
        assert_eq!(serve(&mut queue, at(1), 9).len(), 1);
    }
}

/// Guards against requests that are served after a jump past their latest start, and against an old rate.
#[test]
fn clock_jumps() {
    let mut queue = queue_of((0..5).map(|n| entry(n, 0, "a")));
    let later = at(700_000);
    assert_eq!(queue.expire(later).len(), 5);
    let fresh = |ticket| Entry { latest: later + Duration::from_secs(1), ..entry(ticket, 0, "a") };
    assert!(queue.admit(later, fresh(6)).is_ok());
    assert!(queue.admit(later, fresh(7)).is_err(), "the rate of a second long ago says nothing");
    assert!(queue.expire(Time::NEVER).len() == 1 && queue.is_empty());
}

/// Guards against a clock that steps back and removes or duplicates requests.
#[test]
fn clock_returns() {
    let mut queue = WaitingQueue::default();
    raise_rate(&mut queue, at(9_000), &group(Work::Brief));
    queue.admit(at(9_000), entry(1, 0, "a")).unwrap();
    queue.admit(at(100), entry(2, 0, "a")).unwrap();
    assert!(queue.expire(at(100)).is_empty());
    assert_eq!(serve(&mut queue, at(50), 9).len(), 2);
}

/// Guards against a number out of range of one customer that starves the others.
#[test]
fn wrong_numbers() {
    for work in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0, 0.0, 1e308, -1e308] {
        for weight in [0, 1, u32::MAX] {
            let wrong = |ticket| Entry { work, weight, ..entry(ticket, 0, "wrong") };
            let mut queue = queue_of((0..200).map(wrong).chain((500..520).map(|n| entry(n, 0, "right"))));
            let served = serve(&mut queue, at(2), 220);
            assert_eq!(served.len(), 220);
            assert!(served[..202].iter().any(|e| e.ticket >= 500), "{work} {weight}");
        }
    }
}

#[derive(Debug, Clone)]
enum Step {
    Admit { rank: u8, customer: u8, weight: u32, work: f64, slack: u64, returning: bool, kind: u8 },
    Round { places: usize },
    Direct { rank: u8, customer: u8, work: f64 },
    Cancel(Ticket),
    Expire,
    Clock(i64),
}

fn work() -> impl Strategy<Value = f64> {
    prop_oneof![4 => 0.0..500.0, 1 => any::<f64>(), 1 => Just(f64::NAN), 1 => Just(1e308)]
}

fn step() -> impl Strategy<Value = Step> {
    let rank = prop_oneof![4 => 0_u8..3, 1 => any::<u8>()];
    let weight = prop_oneof![4 => 1_u32..5, 1 => any::<u32>()];
    let admit = (rank, 0_u8..6, weight, work(), 0_u64..2_000, any::<bool>(), 0_u8..3).prop_map(
        |(rank, customer, weight, work, slack, returning, kind)| Step::Admit {
            rank,
            customer,
            weight,
            work,
            slack,
            returning,
            kind,
        },
    );
    prop_oneof![
        6 => admit,
        2 => (0_usize..6).prop_map(|places| Step::Round { places }),
        2 => (0_u8..3, 0_u8..6, work()).prop_map(|(rank, customer, work)| Step::Direct { rank, customer, work }),
        1 => (0_u64..300).prop_map(Step::Cancel),
        1 => Just(Step::Expire),
        2 => prop_oneof![4 => 0_i64..200, 1 => Just(0), 1 => -500_i64..0, 1 => 10_000_i64..20_000].prop_map(Step::Clock),
    ]
}

const KINDS: [Work; 3] = [Work::Plain, Work::Brief, Work::Bulk];

proptest! {
    #![proptest_config(Config { cases: 500, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Config::default() })]

    /// Guards against requests that are lost, returned twice or late, rounds that don't end, and a panic, for any sequence
    /// of events and any numbers.
    #[test]
    fn any_events(steps in prop::collection::vec(step(), 1..300)) {
        let mut queue = WaitingQueue::default();
        let mut waiting = HashSet::new();
        let mut now = 1_000_i64;
        for (number, step) in steps.into_iter().enumerate() {
            let time = at(now as u64);
            match step {
                Step::Admit { rank, customer, weight, work, slack, returning, kind } => {
                    let item = Entry {
                        weight,
                        work,
                        returning,
                        latest: time + Duration::from_millis(slack),
                        group: group(KINDS[usize::from(kind)]),
                        ..entry(number as Ticket, rank, &format!("c{customer}"))
                    };
                    let latest = item.latest;
                    if let Ok(forecast) = queue.admit(time, item) {
                        prop_assert!(forecast.start <= latest);
                        waiting.insert(number as Ticket);
                    }
                }
                Step::Round { places } => {
                    let mut round = Round::default();
                    let mut tried = HashSet::new();
                    let mut left = places;
                    while let Some(ticket) = queue.next(&round) {
                        prop_assert!(tried.insert(ticket), "tried twice in a round");
                        if left > 0 {
                            left -= 1;
                            prop_assert!(queue.serve(time, ticket).is_some());
                            prop_assert!(waiting.remove(&ticket));
                        } else {
                            queue.block(&mut round, ticket);
                        }
                    }
                    prop_assert!(left == 0 || queue.is_empty(), "requests wait while there are places");
                }
                Step::Direct { rank, customer, work } => {
                    queue.record_placement(time, &Entry { work, ..entry(u64::MAX, rank, &format!("c{customer}")) });
                }
                Step::Cancel(ticket) => {
                    prop_assert_eq!(queue.cancel(ticket).is_some(), waiting.remove(&ticket));
                }
                Step::Expire => {
                    for expired in queue.expire(time) {
                        prop_assert!(waiting.remove(&expired.ticket));
                    }
                    prop_assert!(queue.next_expiry().is_none_or(|latest| latest > time));
                }
                Step::Clock(change) => now = (now + change).max(0),
            }
            prop_assert_eq!(queue.len(), waiting.len());
            prop_assert_eq!(queue.counts().map(|(_, _, count)| count).sum::<usize>(), waiting.len());
            prop_assert!(queue.len() <= ENTRIES_MAX.min(6 * CUSTOMER_MAX));
        }
        while let Some(ticket) = queue.next(&Round::default()) {
            prop_assert!(queue.serve(at(now as u64), ticket).is_some());
            prop_assert!(waiting.remove(&ticket));
        }
        prop_assert!(waiting.is_empty());
    }
}
