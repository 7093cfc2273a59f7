//! Turns of refused callers: spread, order, expiry, exchange between planners and bounds.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use chestnutstage_core::quarantine::Feature;
use chestnutstage_core::time::Time;
use chestnutstage_core::turns::{
    DELAY_MAX, DELAY_MIN, Group, ISSUED_SHARE, REPORTS_MAX, Redeemed, TURNS_MAX, TurnBook, TurnReport,
};
use common::at;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const REMAINING: Duration = Duration::from_secs(10);

fn group() -> Group {
    Group { service: "llm".into(), kind: 0 }
}

fn digest(n: u64) -> Feature {
    Feature::Request(n)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Refuses caller `n` of rank 0 at a placement rate of 40 requests a second.
fn refuse(book: &mut TurnBook, now: u64, n: u64) -> Duration {
    book.reserve(at(now), &group(), 0, digest(n), Duration::MAX, REMAINING, 40.0, 0.5)
}

/// Refusals that gave no turn must not come back together either, and those with one at most at the issued rate.
#[test]
fn hundred_spread() {
    let mut book = TurnBook::default();
    let mut buckets = BTreeMap::<u64, usize>::new();
    let mut rest = Vec::new();
    for n in 0..100 {
        let jitter = n as f64 / 100.0;
        let delay = book.reserve(at(1_000), &group(), 0, digest(n), Duration::MAX, REMAINING, 40.0, jitter);
        assert!((DELAY_MIN..=DELAY_MAX).contains(&delay), "{delay:?}");
        if book.len() as u64 == n + 1 {
            *buckets.entry((at(1_000) + delay).as_millis() / 100).or_default() += 1;
        } else {
            rest.push(delay);
        }
    }
    // 30 turns a second: three in each bucket of 100 ms, and one more where slots don't align with buckets.
    assert!(buckets.values().all(|count| *count <= 4), "{buckets:?}");
    let turns: usize = buckets.values().sum();
    assert!((79..=82).contains(&turns), "{turns} turns in 2.7 s");
    rest.sort_unstable();
    let (first, last) = (rest[0], rest[rest.len() - 1]);
    assert!(first >= DELAY_MAX * 3 / 4 && last > first + ms(100), "{rest:?}");
}

/// A caller that returns early must not get an earlier or a second turn.
#[test]
fn early_return() {
    let mut book = TurnBook::default();
    for n in 0..30 {
        refuse(&mut book, 0, n);
    }
    let delay = refuse(&mut book, 0, 30);
    for now in (0..delay.as_millis() as u64 - 300).step_by(100) {
        assert_eq!(book.redeem(at(now), digest(30)), Redeemed::Early);
        assert_eq!(refuse(&mut book, now, 30) + ms(now), delay);
    }
    assert_eq!(book.len(), 31);
    assert_eq!(book.redeem(Time::ZERO + delay, digest(30)), Redeemed::Kept);
    assert_eq!(book.redeem(Time::ZERO + delay, digest(30)), Redeemed::Unknown, "a turn serves one request");
}

/// Shortly before its turn a caller is told at least the shortest delay, and its turn must last until then.
#[test]
fn just_early() {
    let mut book = TurnBook::default();
    let delay = refuse(&mut book, 0, 1);
    let now = Time::ZERO + delay - ms(20);
    let again = book.reserve(now, &group(), 0, digest(1), Duration::MAX, REMAINING, 40.0, 0.5);
    assert_eq!(again, DELAY_MIN);
    assert_eq!(book.redeem(now + again, digest(1)), Redeemed::Kept);
}

/// Lower priorities must not take all early turns before a caller of a higher one is refused.
#[test]
fn rank_order() {
    let mut book = TurnBook::default();
    let mut refuse =
        |rank, n| book.reserve(at(5_000), &group(), rank, digest(n), Duration::MAX, REMAINING, 40.0, 0.0);
    refuse(0, 0);
    refuse(1, 1);
    let lowest: Vec<_> = (100..200).map(|n| refuse(2, n)).collect();
    let middle: Vec<_> = (200..300).map(|n| refuse(1, n)).collect();
    let highest: Vec<_> = (300..310).map(|n| refuse(0, n)).collect();
    let early = |delays: &[Duration]| delays.iter().filter(|d| **d < ms(1_000)).count();
    assert!(early(&lowest) >= 8, "the lowest rank gets turns too: {lowest:?}");
    assert!(early(&middle) >= 3 && early(&highest) >= 3, "{middle:?} {highest:?}");
    assert!(highest.iter().all(|d| *d < ms(2_000)), "{highest:?}");
}

/// Without a caller of a higher priority nothing is kept for one.
#[test]
fn single_rank() {
    let mut books = [TurnBook::default(), TurnBook::default()];
    for (rank, book) in books.iter_mut().enumerate() {
        for n in 0..100 {
            book.reserve(at(0), &group(), rank as u8, digest(n), Duration::MAX, REMAINING, 40.0, 0.0);
        }
    }
    assert_eq!(books[0].len(), books[1].len());
}

/// A turn that nobody takes must not block its room, and its caller is a newcomer afterwards.
#[test]
fn expiry() {
    let mut book = TurnBook::default();
    let delay = book.reserve(at(0), &group(), 1, digest(1), Duration::MAX, REMAINING, 0.2, 0.0);
    let due = Time::ZERO + delay;
    assert_eq!(book.reserved(due, &group(), 1, ms(50)), 1);
    assert_eq!(book.reserved(due, &group(), 0, ms(50)), 0, "room for rank 1 doesn't hold up rank 0");
    let full = book.reserve(at(0), &group(), 1, digest(2), Duration::MAX, REMAINING, 0.2, 0.0);
    assert_eq!((full, book.len()), (DELAY_MAX, 1), "one turn in a slot of 6.7 s");
    assert_eq!(book.expire(due + ms(1_000)), 0);
    assert_eq!(book.expire(due + ms(1_001)), 1);
    assert_eq!(book.reserved(due, &group(), 1, ms(50)), 0);
    book.reserve(due + ms(1_001), &group(), 1, digest(2), Duration::MAX, REMAINING, 0.2, 0.0);
    assert_eq!(book.len(), 1, "the slot is free again");
    assert_eq!(book.redeem(due + ms(1_100), digest(1)), Redeemed::Expired);
    assert_eq!(book.redeem(due + ms(1_100), digest(1)), Redeemed::Unknown);
}

/// The room of a redeemed turn must not be issued again in the same slot.
#[test]
fn redeemed_slot() {
    let mut book = TurnBook::default();
    let delay = book.reserve(at(0), &group(), 0, digest(1), Duration::MAX, REMAINING, 0.2, 0.0);
    assert_eq!(book.redeem(Time::ZERO + delay, digest(1)), Redeemed::Kept);
    let next = book.reserve(Time::ZERO + delay, &group(), 0, digest(1), Duration::MAX, REMAINING, 0.2, 0.0);
    assert_eq!((next, book.len()), (DELAY_MAX, 0));
}

/// A caller with little time left must not be told to return after its timeout.
#[test]
fn little_time() {
    let mut book = TurnBook::default();
    for (n, remaining) in [1_500, 900, 600, 3, 0].into_iter().enumerate() {
        let remaining = ms(remaining);
        for m in 0..20 {
            let digest = digest(n as u64 * 100 + m);
            let delay = book.reserve(at(0), &group(), 0, digest, Duration::MAX, remaining, 40.0, 0.5);
            assert!(delay <= remaining / 3, "{delay:?} of {remaining:?}");
            assert!(delay >= DELAY_MIN.min(remaining / 3), "{delay:?} of {remaining:?}");
        }
    }
}

/// A hundred thousand refused callers and reports of as many must not fill the memory.
#[test]
fn bounded() {
    let mut book = TurnBook::default();
    for n in 0..100_000 {
        let group = Group { service: format!("s{}", n % 5_000).as_str().into(), kind: 0 };
        book.reserve(at(n / 100), &group, 0, digest(n), Duration::MAX, REMAINING, 60_000.0, 0.5);
        let report = TurnReport::Issued { digest: digest(n + 200_000), stamp: 0, age: 0, remaining: 3_000 };
        book.apply(at(n / 100), &[report]);
        assert!(book.len() <= TURNS_MAX);
    }
    assert_eq!(book.len(), TURNS_MAX);
    let mut reports = 0;
    loop {
        let taken = book.take_new(at(1_000)).len();
        assert!(taken <= REPORTS_MAX);
        reports += taken;
        if taken == 0 {
            break;
        }
    }
    assert!(reports <= TURNS_MAX, "{reports}");
    let many: Vec<_> = (0..1_000)
        .map(|n| TurnReport::Issued { digest: digest(n), stamp: 0, age: 0, remaining: 500 })
        .collect();
    let mut other = TurnBook::default();
    other.apply(at(0), &many);
    assert_eq!(other.len(), REPORTS_MAX);
}

/// A caller must be recognized at a planner that learned of its turn, once among all.
#[test]
fn other_planner() {
    let (mut first, mut second) = (TurnBook::default(), TurnBook::default());
    let delay = refuse(&mut first, 1_000, 1);
    let due = at(1_000) + delay;
    let reports = first.take_new(at(1_010));
    let bytes = postcard::to_allocvec(&reports).unwrap();
    let reports: Vec<TurnReport> = postcard::from_bytes(&bytes).unwrap();
    // The planners' clocks differ by 7 s.
    let shift = ms(7_000);
    second.apply(at(1_030) + shift, &reports);
    assert_eq!(second.redeem(at(1_100) + shift, digest(1)), Redeemed::Early);
    assert!(second.take_new(at(1_100) + shift).is_empty(), "reports are not passed on");
    assert_eq!(second.redeem(due + shift, digest(1)), Redeemed::Kept);
    first.apply(due + ms(30), &second.take_new(due + shift));
    assert_eq!(first.redeem(due + ms(40), digest(1)), Redeemed::Unknown);
    assert_eq!(first.reserved(due + ms(40), &group(), 0, ms(100)), 0, "its room is free");
}

/// Repeated and late reports must neither move a turn nor bring back one that was redeemed.
#[test]
fn repeated_reports() {
    let (mut first, mut second) = (TurnBook::default(), TurnBook::default());
    let due = at(1_000) + refuse(&mut first, 1_000, 1);
    let issued = first.take_new(at(1_000));
    for now in (1_000..1_200).step_by(20) {
        second.apply(at(now), &issued);
    }
    assert_eq!((second.len(), second.redeem(due, digest(1))), (1, Redeemed::Kept));
    let redeemed = second.take_new(due);
    second.apply(due + ms(10), &issued);
    second.apply(due + ms(80), &issued);
    assert_eq!(second.redeem(due + ms(600), digest(1)), Redeemed::Unknown);
    // The same caller is refused again and gets a new turn, which the old reports must not take away.
    first.apply(due + ms(10), &redeemed);
    let next = first.reserve(due + ms(10), &group(), 0, digest(1), Duration::MAX, REMAINING, 40.0, 0.5);
    first.apply(due + ms(100), &redeemed);
    let renewed = first.take_new(due + ms(100));
    second.apply(due + ms(110), &renewed);
    assert_eq!(second.redeem(due + ms(10) + next, digest(1)), Redeemed::Kept);
    assert_eq!(first.redeem(due + ms(10) + next, digest(1)), Redeemed::Kept, "the report is not there yet");
}

/// Where reports are lost, a caller is a newcomer elsewhere, and keeps its turn where it got it.
#[test]
fn lost_reports() {
    let (mut first, mut second) = (TurnBook::default(), TurnBook::default());
    let due = at(0) + refuse(&mut first, 0, 1);
    drop(first.take_new(at(0)));
    assert_eq!(second.redeem(due, digest(1)), Redeemed::Unknown);
    assert_eq!(first.redeem(due + ms(10), digest(1)), Redeemed::Kept);
}

/// With a clock that stands still, turns must stay within the issued rate.
#[test]
fn clock_stands() {
    let mut book = TurnBook::default();
    for n in 0..10_000 {
        refuse(&mut book, 500, n % 3_000);
        book.redeem(at(500), digest(n % 3_000));
    }
    assert!(book.len() <= 82, "{}", book.len());
}

/// A jump of the clock must not leave turns that nobody can redeem, nor stop new ones.
#[test]
fn clock_jumps() {
    let mut book = TurnBook::default();
    for (n, now) in [at(100_000_000), at(0), Time::NEVER, at(5), at(90_000), Time::NEVER].iter().enumerate() {
        for m in 0..10 {
            let delay = book.reserve(
                *now,
                &group(),
                0,
                digest(n as u64 * 10 + m),
                Duration::MAX,
                REMAINING,
                40.0,
                0.5,
            );
            assert!((DELAY_MIN..=DELAY_MAX).contains(&delay), "{delay:?}");
        }
        assert_eq!(book.len(), 10, "only the turns at this time");
        book.take_new(*now);
        book.redeem(*now + ms(400), digest(n as u64 * 10));
    }
}

/// Input out of range must neither panic nor give turns.
#[test]
fn out_of_range() {
    let mut book = TurnBook::default();
    for (n, rate) in [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e308, -0.0].into_iter().enumerate() {
        for jitter in [f64::NAN, f64::NEG_INFINITY, 1e308, -3.0, 0.5] {
            let delay = book.reserve(
                at(0),
                &group(),
                255,
                digest(n as u64),
                Duration::MAX,
                Duration::MAX,
                rate,
                jitter,
            );
            assert!((DELAY_MAX * 3 / 4..=DELAY_MAX).contains(&delay), "{delay:?}");
        }
    }
    book.apply(
        at(10),
        &[
            TurnReport::Issued { digest: digest(1), stamp: 0, age: u32::MAX, remaining: 500 },
            TurnReport::Issued { digest: digest(2), stamp: 0, age: 0, remaining: u32::MAX },
            TurnReport::Redeemed { digest: digest(3), stamp: 0, age: u32::MAX },
        ],
    );
    assert!(book.is_empty());
    book.apply(at(10), &[TurnReport::Issued { digest: digest(4), stamp: 0, age: 0, remaining: 500 }]);
    assert_eq!(book.len(), 1, "one report out of range doesn't harm the others");
    book.reserve(at(10), &group(), 0, digest(5), Duration::MAX, REMAINING, 1e-308, 0.5);
    assert_eq!(book.reserved(at(10), &group(), 0, Duration::MAX), 1);
    assert_eq!(book.reserved(at(10), &Group { service: "other".into(), kind: 0 }, 0, Duration::MAX), 0);
}

proptest! {
    #![proptest_config(Config { cases: 300, rng_seed: RngSeed::Fixed(23), failure_persistence: None, ..Config::default() })]

    /// Whatever the order of refusals, returns and times, delays stay in range, each turn is redeemed at most once, and no
    /// second holds more turns than the rate allows.
    #[test]
    fn any_history(
        events in prop::collection::vec((0_u64..60, 0_u8..4, 0_u64..120, 0_u64..12_000, 0_u8..3), 1..400),
        rate in 1.0_f64..200.0,
    ) {
        let mut book = TurnBook::default();
        let mut now = at(0);
        let mut kept = BTreeMap::<u64, usize>::new();
        let mut issued = BTreeMap::<u64, usize>::new();
        for (n, rank, step, remaining, kind) in events {
            now = now + ms(step);
            let before = book.len();
            if kind == 0 {
                if book.redeem(now, digest(n)) == Redeemed::Kept {
                    *kept.entry(n).or_default() += 1;
                }
                prop_assert!(kept.get(&n) <= issued.get(&n));
            } else {
                book.expire(now);
                let held = book.len();
                let delay = book.reserve(now, &group(), rank, digest(n), Duration::MAX, ms(remaining), rate, 0.3);
                let longest = DELAY_MAX.min(ms(remaining) / 3);
                prop_assert!(delay <= longest && delay >= DELAY_MIN.min(longest), "{:?}", delay);
                if book.len() > held {
                    *issued.entry(n).or_default() += 1;
                }
            }
            prop_assert!(book.len() <= before + 1);
            let most = (rate * ISSUED_SHARE).ceil() as usize + 2;
            for middle in (0..4_000).step_by(1_000) {
                let due = book.reserved(now + ms(middle), &group(), u8::MAX, ms(500));
                prop_assert!(due <= most, "{} turns in a second, {} allowed", due, most);
            }
        }
    }

    /// Whatever reports arrive, in whatever order, the book stays within its bounds and later turns can be redeemed.
    #[test]
    fn any_reports(
        reports in prop::collection::vec((any::<bool>(), 0_u64..20, any::<u32>(), any::<u32>(), 0_u32..4_000), 0..300),
        times in prop::collection::vec(any::<u64>(), 1..10),
    ) {
        let mut book = TurnBook::default();
        let reports: Vec<_> = reports
            .into_iter()
            .map(|(issued, n, age, remaining, small)| {
                let digest = digest(n);
                let age = if small % 2 == 0 { small } else { age };
                let remaining = if small % 3 == 0 { small } else { remaining };
                if issued { TurnReport::Issued { digest, stamp: small, age, remaining } } else { TurnReport::Redeemed { digest, stamp: small, age } }
            })
            .collect();
        for now in &times {
            book.apply(at(*now), &reports);
            prop_assert!(book.len() <= 20);
            book.redeem(at(*now), digest(0));
            prop_assert!(book.take_new(at(*now)).len() <= 20);
        }
        let now = at(1 << 42);
        let delay = refuse(&mut book, 1 << 42, 1_000);
        prop_assert_eq!(book.redeem(now + delay, digest(1_000)), Redeemed::Kept);
    }
}
