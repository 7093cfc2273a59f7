//! Replay of the load after an outage: refused callers return while newcomers arrive.

mod common;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use chestnutstage_core::quarantine::Feature;
use chestnutstage_core::turns::{Group, Redeemed, TurnBook};
use common::at;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Places that become free in a second.
const PLACES: f64 = 60.0;
/// Largest number of free places, those of 100 ms.
const FREE_MAX: f64 = 6.0;
/// Requests of a caller until it gives up.
const ATTEMPTS_MAX: u32 = 5;
/// Timeout of a caller, in milliseconds.
const TIMEOUT_MS: u64 = 10_000;
/// Longest delay in the network, in milliseconds.
const NETWORK_MS: u64 = 50;
/// Time before and after a turn for which a place is kept from newcomers.
const KEPT_SPAN: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Copy)]
struct Caller {
    number: u64,
    arrived: u64,
    attempts: u32,
    impatient: bool,
    /// Whether room was forecast for its return.
    turn: bool,
}

#[derive(Debug, Default)]
struct Outcome {
    callers: u32,
    served: u32,
    /// Callers that are served at the first attempt.
    first: u32,
    /// Callers that follow their delay, and those of them that are served at the first or second attempt.
    patient: u32,
    soon: u32,
    attempts: u32,
    /// Callers that return when they were told to, where room was forecast, and those of them that are served.
    told: u32,
    told_served: u32,
    /// Callers that are recognized in their turn, and those of them that are served.
    in_turn: u32,
    in_turn_served: u32,
    waited_ms: u64,
}

/// Replays 40 s with turns, or with a delay computed for each refusal alone.
fn replay(seed: u64, turns: bool) -> Outcome {
    let group = Group { service: "llm".into(), kind: 0 };
    // Both ways of delaying see the same arrivals.
    let mut arrivals = SmallRng::seed_from_u64(seed);
    let mut rng = SmallRng::seed_from_u64(seed + 1_000);
    let mut book = TurnBook::default();
    let mut outcome = Outcome::default();
    let mut due = BTreeMap::<u64, Vec<Caller>>::new();
    let mut placed = VecDeque::new();
    let mut free = FREE_MAX;
    for now in 0..40_000 {
        free = (free + PLACES / 1e3).min(FREE_MAX);
        let mut callers = due.remove(&now).unwrap_or_default();
        let rate = if now < 5_000 { 0.12 } else { 0.04 };
        if now < 30_000 && arrivals.random_bool(rate) {
            let impatient = arrivals.random_bool(0.2);
            let number = u64::from(outcome.callers);
            callers.push(Caller { number, arrived: now, attempts: 0, impatient, turn: false });
            outcome.callers += 1;
            outcome.patient += u32::from(!impatient);
        }
        let mut callers: Vec<_> = callers
            .into_iter()
            .map(|caller| {
                let digest = Feature::Request(caller.number);
                (turns && book.redeem(at(now), digest) == Redeemed::Kept, caller)
            })
            .collect();
        callers.sort_by_key(|(kept, _)| !kept);
        for (kept, mut caller) in callers {
            caller.attempts += 1;
            outcome.attempts += 1;
            outcome.in_turn += u32::from(kept);
            let told = caller.turn && !caller.impatient;
            outcome.told += u32::from(told);
            let reserved = if kept { 0 } else { book.reserved(at(now), &group, 0, KEPT_SPAN) };
            if free >= 1.0 + reserved as f64 {
                free -= 1.0;
                placed.push_back(now);
                outcome.served += 1;
                outcome.first += u32::from(caller.attempts == 1);
                outcome.soon += u32::from(!caller.impatient && caller.attempts <= 2);
                outcome.in_turn_served += u32::from(kept);
                outcome.told_served += u32::from(told);
                outcome.waited_ms += now - caller.arrived;
                continue;
            }
            while placed.front().is_some_and(|time| time + 1_000 <= now) {
                placed.pop_front();
            }
            let remaining = Duration::from_millis((caller.arrived + TIMEOUT_MS).saturating_sub(now));
            let jitter = rng.random_range(0.0..1.0);
            let delay = if turns {
                let digest = Feature::Request(caller.number);
                let delay = book.reserve(
                    at(now),
                    &group,
                    0,
                    digest,
                    Duration::MAX,
                    remaining,
                    placed.len() as f64,
                    jitter,
                );
                caller.turn = book.redeem(at(now), digest) == Redeemed::Early;
                delay
            } else {
                // The next place is free before the shortest delay, which is therefore the one of every refusal.
                Duration::from_millis(300).mul_f64(1.0 + 0.5 * jitter).min(remaining / 3)
            };
            let delay = if caller.impatient { 0 } else { delay.as_micros().div_ceil(1_000) as u64 };
            let back = now + delay + rng.random_range(1..=NETWORK_MS);
            if caller.attempts < ATTEMPTS_MAX && back < caller.arrived + TIMEOUT_MS {
                due.entry(back).or_default().push(caller);
            }
        }
    }
    outcome
}

/// Callers that return in their turn must find room, and more callers be served than with delays that don't know of each other.
#[test]
fn refused_return() {
    for seed in 1..=5 {
        let (with, without) = (replay(seed, true), replay(seed, false));
        println!("seed {seed}\nwith turns {with:?}\nwithout    {without:?}");
        assert!(with.told >= 100, "{with:?}");
        assert!(with.told_served * 10 >= with.told * 9, "{with:?}");
        assert!(with.in_turn_served * 10 >= with.in_turn * 9, "{with:?}");
        assert!(with.soon > without.soon && with.served >= without.served, "{with:?} {without:?}");
        assert!(with.attempts < without.attempts, "{with:?} {without:?}");
    }
}
