//! Limits of the requests that an endpoint takes from all instances together.

mod common;
#[path = "common/costs.rs"]
mod costs;

use std::time::Duration;

use chestnutstage_core::ids::ModelId;
use chestnutstage_core::pool::{Cause, Demand, Key, LimitReport, Listing, Permit, Placement, Pool, Refusal};
use common::at;
use costs::COSTS;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SERVICE: &str = "llm";
/// Window of the users' bound, in milliseconds.
const WINDOW: u64 = 4_000;

fn listing(id: &str, born: u64) -> Listing {
    Listing {
        id: id.into(),
        address: ([127, 0, 0, 1], 1_000).into(),
        zone: "a".into(),
        service: SERVICE.into(),
        slots: 16,
        leaving: false,
        born,
        cold: 0,
    }
}

fn pool(planners: usize) -> (Pool, Key, Key) {
    let mut pool = Pool::new("a".into(), 1);
    pool.set_planners(planners, true);
    pool.set_service(SERVICE.into(), Some(COSTS), 0.0);
    let first = pool.update_listing(at(0), listing("e1", 1));
    let second = pool.update_listing(at(0), listing("e2", 1));
    (pool, first, second)
}

fn place(pool: &mut Pool, now: u64, tokens: u64) -> Result<Placement, Refusal> {
    let service = ModelId::from(SERVICE);
    let demand = Demand {
        service: &service,
        tokens,
        output: 100,
        first: Duration::from_millis(2_500),
        gap: Duration::from_millis(600),
        remaining: Duration::from_secs(10),
        tried: &[],
        jitter: 0.5,
    };
    pool.place(at(now), &demand)
}

fn report(pool: &Pool, key: Key) -> Option<LimitReport> {
    pool.snapshot(at(0)).limits.into_iter().find(|limit| limit.key == key)
}

fn rate(pool: &Pool, key: Key) -> Option<f64> {
    report(pool, key)?.rate
}

/// A planner that asks for permits, and the one that counts for it.
struct Asker {
    counter: usize,
    next: u64,
}

/// Sends of `askers` that ask as often as they may; `counters` count at these shares. Returns their times, in milliseconds.
fn sends(limit: f64, planners: usize, shares: &[f64], seed: u64) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut counters: Vec<_> = shares.iter().map(|_| pool(planners)).collect();
    let key = counters[0].1;
    let asked = LimitReport { key, rate: Some(limit), version: 1 };
    let mut askers: Vec<_> =
        (0..planners).map(|n| Asker { counter: n % shares.len(), next: rng.random_range(0..500) }).collect();
    let mut sent = Vec::new();
    for now in 0..60_000 {
        for asker in askers.iter_mut().filter(|asker| asker.next == now) {
            let counter = &mut counters[asker.counter].0;
            let share = shares[asker.counter];
            match counter.take_permit(at(now), &asked, share, rng.random_range(0.0..1.0)) {
                Permit::Granted => {
                    // A request leaves up to a second after its permit was given out.
                    sent.push(now + rng.random_range(0..1_000));
                    asker.next = now + rng.random_range(1..50);
                }
                Permit::Denied(wait) => asker.next = now + 1 + wait.as_millis() as u64,
            }
        }
    }
    sent.sort_unstable();
    sent
}

fn most_in_window(sent: &[u64]) -> usize {
    let within = |from: &u64| sent.iter().filter(|t| *t >= from && **t < from + WINDOW).count();
    sent.iter().map(within).max().unwrap_or_default()
}

fn check_bound(limit: f64, planners: usize, shares: &[f64]) {
    for seed in 0..5 {
        let sent = sends(limit, planners, shares, seed);
        let most = most_in_window(&sent);
        assert!(
            most as f64 <= 1.5 * limit * 4.0 + 5.0,
            "{most} in 4 s at {limit} with {planners} planners, {shares:?}, seed {seed}"
        );
        let mean = sent.len() as f64 / 60.0;
        assert!(mean >= 0.6 * limit, "{mean} a second at {limit} with {planners} planners, seed {seed}");
    }
}

#[test]
fn bound_of_all_planners() {
    for planners in [1, 3, 9, 36, 300] {
        for limit in [0.2, 0.7, 1.0, 1.7, 4.0, 30.0] {
            check_bound(limit, planners, &[1.0]);
        }
    }
}

/// Both parts of a divided network count, each for its share of the planners.
#[test]
fn divided_network() {
    for limit in [0.7, 1.4, 10.0, 30.0] {
        check_bound(limit, 10, &[0.5, 0.5]);
        check_bound(limit, 9, &[1.0 / 3.0, 1.0 / 3.0, 1.0 / 3.0]);
    }
}

/// A planner that takes over starts without permits: the former one may have given out all of them.
#[test]
fn successor_starts_empty() {
    let (mut successor, key, _) = pool(9);
    let asked = LimitReport { key, rate: Some(2.0), version: 1 };
    let Permit::Denied(wait) = successor.take_permit(at(10_000), &asked, 1.0, 0.0) else {
        panic!("a permit")
    };
    assert_eq!(wait, Duration::from_millis(500));
    assert_eq!(successor.take_permit(at(10_499), &asked, 1.0, 0.0), Permit::Denied(Duration::from_millis(1)));
    assert_eq!(successor.take_permit(at(10_500), &asked, 1.0, 0.0), Permit::Granted);
    assert!(matches!(successor.take_permit(at(10_500), &asked, 1.0, 0.0), Permit::Denied(_)));
}

#[test]
fn skipped_until_due() {
    let (mut pool, first, second) = pool(1);
    pool.record_limit(at(0), first, Some(1.0), at(0));
    pool.skip_limited(at(0), first, Duration::from_secs(2));
    for _ in 0..8 {
        assert_eq!(place(&mut pool, 1_999, 100).unwrap().key, second);
    }
    pool.record_limit(at(0), second, Some(1.0), at(0));
    pool.skip_limited(at(0), second, Duration::from_secs(3));
    let refusal = place(&mut pool, 1_500, 100).unwrap_err();
    assert_eq!((refusal.cause, refusal.retry), (Cause::Limited, Duration::from_millis(625)));
    let placed = place(&mut pool, 2_000, 100).unwrap();
    assert_eq!(placed.key, first);
    assert_eq!(pool.limits_on(pool.grant(placed.number).unwrap()), [report(&pool, first).unwrap()]);
}

/// An instance that reaches no planner gets no permit.
#[test]
fn placing_alone() {
    let (mut pool, first, second) = pool(3);
    pool.set_planners(3, false);
    pool.record_limit(at(0), first, Some(100.0), at(0));
    for now in 0..8 {
        assert_eq!(place(&mut pool, 60_000 + now, 100).unwrap().key, second);
    }
    pool.record_limit(at(0), second, Some(100.0), at(0));
    assert_eq!(place(&mut pool, 60_000, 100).unwrap_err().cause, Cause::Limited);
}

#[test]
fn long_prompts_elsewhere() {
    let (mut pool, first, second) = pool(1);
    pool.record_limit(at(0), first, Some(5.0), at(0));
    let placed = place(&mut pool, 10, 120_000).unwrap();
    assert_eq!((placed.key, placed.helpers.len()), (second, 0));
}

/// A request that was placed before the limit was known has no permit; one that waited too long has lost it.
#[test]
fn checked_before_send() {
    let (mut pool, key, _) = pool(1);
    assert!(pool.may_send(at(900), key, at(0), false));
    pool.record_limit(at(1_000), key, Some(1.0), at(0));
    assert!(!pool.may_send(at(1_100), key, at(990), false));
    assert!(
        !pool.may_send(at(1_400), key, at(1_290), false),
        "placed by a planner that may not know the limit"
    );
    assert!(pool.may_send(at(1_400), key, at(1_350), false), "placed by one that knows that it was lifted");
    assert!(pool.may_send(at(2_900), key, at(2_000), true));
    assert!(!pool.may_send(at(3_100), key, at(2_000), true));
}

#[test]
fn rise_fall_lift() {
    let (mut pool, key, _) = pool(1);
    assert!(!pool.record_limit(at(0), key, None, at(0)));
    assert!(pool.record_limit(at(10), key, Some(2.0), at(0)));
    assert!(!pool.record_limit(at(20), key, Some(2.0), at(0)));
    assert!(pool.record_limit(at(30), key, Some(5.0), at(0)));
    assert!(pool.record_limit(at(40), key, Some(1.0), at(0)));
    assert_eq!(rate(&pool, key), Some(1.0));
    assert!(!pool.record_limit(at(50), key, None, at(40)), "overtaken by the response that named the limit");
    assert_eq!(rate(&pool, key), Some(1.0));
    assert!(pool.record_limit(at(60), key, None, at(41)));
    assert_eq!(rate(&pool, key), None);
    let asked = LimitReport { key, rate: Some(1.0), version: 1 };
    assert_eq!(
        pool.take_permit(at(70), &asked, 1.0, 0.0),
        Permit::Granted,
        "this planner knows that it was lifted"
    );
}

/// A limit is not used up by a lower one that follows, and a bucket filled at a high rate does not outlast it.
#[test]
fn fall_empties_bucket() {
    let (mut pool, key, _) = pool(1);
    let high = LimitReport { key, rate: Some(100.0), version: 1 };
    pool.take_permit(at(0), &high, 1.0, 0.0);
    let low = LimitReport { key, rate: Some(1.0), version: 2 };
    let granted = (0..50).filter(|_| pool.take_permit(at(60_000), &low, 1.0, 0.0) == Permit::Granted).count();
    assert_eq!(granted, 1);
}

#[test]
fn unusable_values() {
    let (mut pool, key, _) = pool(1);
    for value in [-1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert!(!pool.record_limit(at(0), key, Some(value), at(0)), "{value}");
    }
    assert!(pool.record_limit(at(0), key, Some(1e300), at(0)));
    let asked = report(&pool, key).unwrap();
    pool.take_permit(at(0), &asked, 1.0, 0.5);
    assert_eq!(pool.take_permit(at(1), &asked, 1.0, 0.5), Permit::Granted);
    // Zero: a request now and then finds out whether the limit still holds.
    assert!(pool.record_limit(at(0), key, Some(0.0), at(0)));
    let asked = report(&pool, key).unwrap();
    let granted: Vec<u64> = (1..60)
        .map(|second| second * 1_000)
        .filter(|now| pool.take_permit(at(*now), &asked, 1.0, 0.0) == Permit::Granted)
        .collect();
    assert!((3..=6).contains(&granted.len()), "{granted:?}");
}

/// Two instances hear different values; both orders of their messages give the same limit.
#[test]
fn conflicting_values() {
    let (mut one, key, _) = pool(2);
    let (mut other, ..) = pool(2);
    one.record_limit(at(0), key, Some(3.0), at(0));
    other.record_limit(at(0), key, Some(2.0), at(0));
    let (from_one, from_other) = (one.take_changes(at(10)), other.take_changes(at(10)));
    one.apply_changes(at(20), "o".into(), at(10), from_other);
    other.apply_changes(at(20), "i".into(), at(10), from_one);
    assert_eq!((rate(&one, key), rate(&other, key)), (Some(2.0), Some(2.0)));
    one.record_limit(at(30), key, None, at(25));
    let lifted = one.snapshot(at(40));
    other.apply_snapshot(at(50), "i".into(), at(40), lifted.clone());
    assert_eq!(rate(&other, key), None);
    let late = other.snapshot(at(60));
    one.apply_snapshot(at(70), "o".into(), at(60), late);
    assert_eq!(rate(&one, key), None);
}

#[test]
fn newcomer_learns() {
    let (mut pool, key, _) = pool(2);
    pool.record_limit(at(0), key, Some(2.0), at(0));
    let (mut newcomer, ..) = self::pool(2);
    newcomer.apply_snapshot(at(5), "i1".into(), at(60_000), pool.snapshot(at(60_000)));
    assert_eq!(rate(&newcomer, key), Some(2.0));
    assert!(pool.take_changes(at(60_000)).limits.is_empty(), "changes hold recent limits only");
}

#[test]
fn restarted_endpoint() {
    let (mut pool, key, _) = pool(1);
    pool.record_limit(at(0), key, Some(0.5), at(0));
    let restarted = pool.update_listing(at(100), listing("e1", 2));
    assert_eq!((rate(&pool, key), rate(&pool, restarted)), (Some(0.5), None));
    pool.remove_expired(at(61_000));
    assert_eq!(report(&pool, key), None, "forgotten with its endpoint");
}

/// A limit holds for as long as nothing else is heard.
#[test]
fn silence_keeps_limit() {
    let (mut pool, key, _) = pool(1);
    pool.record_limit(at(0), key, Some(0.5), at(0));
    pool.remove_expired(at(3_600_000));
    assert_eq!(rate(&pool, key), Some(0.5));
}
