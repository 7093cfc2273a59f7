//! Callers get their own answer, complete and in order, and a reported `not_run` is true.

use chestnutstage_core::ids::{BootId, RequestId};
use chestnutstage_core::outcome::{Outcome, SendEvent, SendState};
use chestnutstage_core::stream::{Accept, Assembly, Piece};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn piece(request: u128, boot: u64, offset: u64, last: bool) -> Piece {
    Piece { request: RequestId(request), boot: BootId(boot), offset, text: String::new(), last }
}

#[test]
fn misdirected_pieces() {
    let mut assembly = Assembly::new(RequestId(1));
    assert_eq!(assembly.accept(&piece(2, 9, 0, false)), Accept::Foreign);
    assert_eq!(assembly.accept(&piece(1, 1, 0, false)), Accept::Forward);
    assert_eq!(assembly.accept(&piece(1, 2, 1, false)), Accept::Foreign, "another incarnation of the engine");
}

#[test]
fn duplicate_pieces() {
    let mut assembly = Assembly::new(RequestId(1));
    assert_eq!(assembly.accept(&piece(1, 1, 0, false)), Accept::Forward);
    assert_eq!(assembly.accept(&piece(1, 1, 0, false)), Accept::Duplicate);
}

#[test]
fn missing_piece() {
    let mut assembly = Assembly::new(RequestId(1));
    assert_eq!(assembly.accept(&piece(1, 1, 0, false)), Accept::Forward);
    assert_eq!(assembly.accept(&piece(1, 1, 2, true)), Accept::Gap(1));
    assert!(!assembly.is_complete());
}

#[test]
fn end_marker() {
    let mut assembly = Assembly::new(RequestId(1));
    assert_eq!(assembly.accept(&piece(1, 1, 0, true)), Accept::Last);
    assert!(assembly.is_complete());
    assert_eq!(assembly.accept(&piece(1, 1, 1, false)), Accept::Duplicate);
}

fn event() -> impl Strategy<Value = SendEvent> {
    prop_oneof![
        Just(SendEvent::ConnectFailed),
        Just(SendEvent::FirstByte),
        Just(SendEvent::Broken),
        Just(SendEvent::Declined),
        Just(SendEvent::Answered),
    ]
}

proptest! {
    #![proptest_config(Config { cases: 2_000, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..Config::default() })]

    /// Pieces of several answers arrive late, duplicated and misdirected. The forwarded pieces are those of one answer,
    /// in order and once each.
    #[test]
    fn any_arrival_order(arrivals in prop::collection::vec((1_u128..3, 1_u64..3, 0_u64..6), 1..200)) {
        let mut assembly = Assembly::new(RequestId(1));
        let mut forwarded = Vec::new();
        let mut first_boot = None;
        for (request, boot, offset) in arrivals {
            let piece = piece(request, boot, offset, offset == 5);
            if matches!(assembly.accept(&piece), Accept::Forward | Accept::Last) {
                prop_assert_eq!(request, 1);
                prop_assert_eq!(*first_boot.get_or_insert(boot), boot);
                forwarded.push(offset);
            }
        }
        let expected: Vec<u64> = (0..forwarded.len() as u64).collect();
        prop_assert_eq!(&forwarded, &expected);
        prop_assert_eq!(assembly.is_complete(), forwarded.len() == 6);
    }

    /// `not_run` is reported only if no byte was sent or the endpoint declined.
    #[test]
    fn not_run_outcome(events in prop::collection::vec(event(), 0..8)) {
        let end = events.iter().fold(SendState::Before, |s, e| s.after(*e));
        let sent = events.iter().any(|e| matches!(e, SendEvent::FirstByte | SendEvent::Broken | SendEvent::Answered));
        let declined = events.contains(&SendEvent::Declined);
        if end.outcome() == Outcome::NotRun {
            prop_assert!(!sent || declined);
        }
        if !sent && !declined {
            prop_assert_eq!(end.outcome(), Outcome::NotRun);
        }
    }
}
