//! Prompts that exceed the memory of a single engine, and the lifetime of the memory they hold.

use std::time::Duration;

use chestnutstage_core::chain::{Chain, Event, Step, plan};
use chestnutstage_core::endpoint::Size;
use chestnutstage_core::ids::RequestId;
use chestnutstage_core::length::Tokens;
use chestnutstage_core::reservation::{Disposition, HolderState, ReservationName};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const MEMORY: Tokens = Tokens(450_000);

fn size(prompt: u64) -> Size {
    Size { prompt: Tokens(prompt), output: Tokens(1_000) }
}

#[test]
fn million_tokens() {
    let segments = plan(size(1_000_000), MEMORY).unwrap();
    assert_eq!(segments.len(), 3);
    assert_eq!(segments.iter().map(|s| s.prompt.0).sum::<u64>(), 1_000_000);
    assert!(segments.iter().all(|s| s.memory() <= MEMORY));
    assert_eq!(segments.last().unwrap().output, Tokens(1_000));
}

#[test]
fn prompt_too_long() {
    assert!(plan(size(100_000_000), MEMORY).is_none());
}

#[test]
fn all_or_nothing() {
    let mut chain = Chain::new(3);
    assert_eq!(chain.next(), Step::RequestGrant(0));
    assert_eq!(chain.step(0, Event::Granted), Step::RequestGrant(1));
    assert_eq!(
        chain.step(1, Event::Refused),
        Step::BackOff,
        "a refusal frees the engines that were granted before"
    );
    assert_eq!(chain.next(), Step::RequestGrant(0));
}

#[test]
fn failed_engine() {
    let mut chain = Chain::new(3);
    for i in 0..3 {
        chain.step(i, Event::Granted);
    }
    for i in 0..3 {
        chain.step(i, Event::Reserved);
    }
    chain.step(0, Event::Prefilled);
    chain.step(1, Event::Prefilled);
    assert_eq!(
        chain.step(1, Event::Broken),
        Step::RequestGrant(1),
        "only the segment of the failed engine is repeated"
    );
    chain.step(1, Event::Granted);
    assert_eq!(chain.step(1, Event::Reserved), Step::Prefill(1));
    assert_eq!(chain.step(1, Event::Prefilled), Step::Prefill(2));
    assert_eq!(chain.step(2, Event::Prefilled), Step::Decode);
    assert_eq!(chain.step(2, Event::Done), Step::Finish);
}

#[test]
fn repeated_failures() {
    let mut chain = Chain::new(2);
    let steps: Vec<_> = (0..4).map(|_| chain.step(0, Event::Broken)).collect();
    assert_eq!(steps.last(), Some(&Step::Fail));
}

#[test]
fn name_round_trip() {
    let name = ReservationName { holder: "i1.north".into(), request: RequestId(0xabc), segment: 2 };
    assert_eq!(ReservationName::parse(&name.to_string()), Some(name));
    assert_eq!(ReservationName::parse("someone-elses"), None);
}

#[test]
fn memory_lifetime() {
    let name = ReservationName { holder: "i1".into(), request: RequestId(1), segment: 0 };
    let (minute, hour) = (Duration::from_mins(1), Duration::from_hours(1));
    assert_eq!(name.disposition(HolderState::Serving, minute, hour), Disposition::Keep);
    assert_eq!(name.disposition(HolderState::Ended, minute, hour), Disposition::Free);
    assert_eq!(
        name.disposition(HolderState::Ended, Duration::ZERO, hour),
        Disposition::Keep,
        "the holder may not know of the reservation yet"
    );
    assert_eq!(name.disposition(HolderState::Gone, minute, hour), Disposition::Free);
    assert_eq!(name.disposition(HolderState::Unknown, minute, hour), Disposition::Keep);
    assert_eq!(
        name.disposition(HolderState::Unknown, hour, hour),
        Disposition::Free,
        "expires even if the state of the holder is unknown"
    );
}

proptest! {
    #![proptest_config(Config { cases: 1_000, rng_seed: RngSeed::Fixed(13), failure_persistence: None, ..Config::default() })]

    #[test]
    fn any_length(prompt in 1_u64..5_000_000) {
        let segments = plan(size(prompt), MEMORY).unwrap();
        prop_assert_eq!(segments.iter().map(|s| s.prompt.0).sum::<u64>(), prompt);
        prop_assert!(segments.iter().all(|s| s.memory() <= MEMORY));
    }
}
