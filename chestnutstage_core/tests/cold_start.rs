//! Load on an endpoint in cold start stays within its cold capacity.

mod common;

use std::collections::HashMap;
use std::time::Duration;

use chestnutstage_core::ids::{BootId, EndpointId, Ticket};
use chestnutstage_core::length::Tokens;
use chestnutstage_core::owner::{Action, Cause, End, Limits, Owner};
use chestnutstage_core::time::Time;
use chestnutstage_core::window::{Capacity, Load, Share};
use common::{at, capacity, engine, grants, report, request, ticket};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn owner(now: Time, former: bool) -> Owner {
    let mut owner = Owner::new(Limits::default());
    owner.adopt(now, engine("e1"), former);
    owner
}

fn warm(owner: &mut Owner) {
    for i in 0..20 {
        owner.report(at(i), &"e1".into(), report(1, false, 0));
    }
}

#[test]
fn missing_first_tokens() {
    let mut owner = owner(at(0), false);
    warm(&mut owner);
    for n in 0..10 {
        assert_eq!(grants(&owner.request(at(100), request(n, 1_000), at(60_000))).len(), 1);
    }
    // A first token that is overdue by many times its estimate counts as a cold start.
    let actions = owner.tick(at(5_000));
    assert!(actions.contains(&Action::Reset { endpoint: "e1".into(), cause: Cause::Cold }));
    let recalled = actions.iter().filter(|a| matches!(a, Action::Recall { .. })).count();
    assert_eq!(recalled, 8);
    let (load, limit) = owner.load(&"e1".into()).unwrap();
    assert_eq!((load.requests, limit), (2, capacity().cold));
}

#[test]
fn reboot_in_report() {
    let mut owner = owner(at(0), false);
    warm(&mut owner);
    for n in 0..6 {
        owner.request(at(100), request(n, 1_000), at(60_000));
    }
    let actions = owner.report(at(200), &"e1".into(), report(2, true, 0));
    assert!(actions.contains(&Action::Reset { endpoint: "e1".into(), cause: Cause::Rebooted }));
    assert_eq!(owner.load(&"e1".into()).unwrap().0.requests, 2);
}

#[test]
fn reboot_in_response() {
    let mut owner = owner(at(0), false);
    warm(&mut owner);
    for n in 0..6 {
        owner.request(at(100), request(n, 1_000), at(60_000));
    }
    let actions = owner.record_boot(at(200), &"e1".into(), BootId(2));
    assert!(actions.contains(&Action::Reset { endpoint: "e1".into(), cause: Cause::Rebooted }));
    assert_eq!(
        owner.load(&"e1".into()).unwrap(),
        (load_of(2), capacity().cold),
        "the window closes before any report"
    );
}

/// Returns the load of `count` short requests without a first token.
fn load_of(count: u32) -> Load {
    Load { requests: count, tokens: Tokens(u64::from(count) * 1_000) }
}

#[test]
fn idle_warm_reports() {
    let mut owner = owner(at(0), false);
    for report_number in 0..10 {
        owner.report(at(report_number * 2_000), &"e1".into(), report(1, false, 0));
    }
    assert_eq!(
        owner.load(&"e1".into()).unwrap().1,
        capacity().warm,
        "warm reports open the window within 20 s"
    );
}

#[test]
fn cold_report() {
    let mut owner = owner(at(0), false);
    owner.report(at(0), &"e1".into(), report(1, true, 0));
    // Completions on an endpoint that reports a cold start don't open its window.
    for n in 0..10 {
        let now = at(n * 1_000);
        assert_eq!(grants(&owner.request(now, request(n, 1_000), now + Duration::from_mins(1))).len(), 1);
        owner.record_first_token(now + Duration::from_millis(60), ticket(n), Tokens(0));
        owner.release(now + Duration::from_millis(80), ticket(n), End::Done);
    }
    assert_eq!(owner.load(&"e1".into()).unwrap().1, capacity().cold);
}

#[test]
fn unverified_endpoint() {
    let mut owner = owner(at(0), false);
    assert!(grants(&owner.request(at(0), request(1, 1_000), at(60_000))).is_empty());
    assert_eq!(grants(&owner.report(at(50), &"e1".into(), report(1, false, 0))).len(), 1);
}

#[test]
fn former_owner() {
    let mut owner = owner(at(0), true);
    owner.report(at(10), &"e1".into(), report(1, false, 2));
    assert!(
        grants(&owner.request(at(20), request(1, 1_000), at(60_000))).is_empty(),
        "a request may still start on a grant of the former owner"
    );
    owner.report(at(1_100), &"e1".into(), report(1, true, 2));
    assert!(grants(&owner.tick(at(1_200))).is_empty(), "two requests of the former owner still run");
    assert_eq!(grants(&owner.report(at(1_300), &"e1".into(), report(1, true, 0))).len(), 1);
}

#[test]
fn unused_former_grant() {
    let mut owner = owner(at(0), true);
    owner.report(at(10), &"e1".into(), report(1, false, 0));
    let early = owner.request(at(20), request(1, 1_000), at(60_000));
    assert!(grants(&early).is_empty(), "a request may still start on a grant of the former owner");
    assert_eq!(grants(&owner.tick(at(1_001))).len(), 1);
}

#[test]
fn changed_capacity() {
    let mut owner = owner(at(0), false);
    warm(&mut owner);
    let mut narrowed = engine("e1");
    let load = Load { requests: 1, tokens: Tokens(4_000) };
    narrowed.capacity = Capacity { cold: load, warm: load };
    owner.adopt(at(100), narrowed, true);
    assert_eq!(
        owner.load(&"e1".into()).unwrap().1,
        load,
        "a new capacity applies to an endpoint that is already owned"
    );
}

#[test]
fn disjoint_owner_views() {
    // Two owners in a network partition each scale the window by the part of the roster that they see.
    let limit = |seen, roster| {
        let mut owner = owner(at(0), false);
        owner.set_share(Share { seen, roster });
        owner.load(&"e1".into()).unwrap().1
    };
    for roster in 1..=9 {
        for seen in 0..=roster {
            let (left, right) = (limit(seen, roster), limit(roster - seen, roster));
            let sum = left.plus(right);
            assert!(Load::default().fits(sum, capacity().cold), "{seen} of {roster}: {sum:?}");
        }
    }
}

#[test]
fn broken_stream() {
    let mut owner = owner(at(0), false);
    warm(&mut owner);
    for n in 0..4 {
        owner.request(at(100), request(n, 1_000), at(60_000));
    }
    let actions = owner.release(at(200), ticket(0), End::Broken);
    assert!(actions.contains(&Action::Probe { endpoint: "e1".into() }));
    assert!(
        grants(&owner.request(at(210), request(9, 1_000), at(60_000))).is_empty(),
        "no grant until the boot id is confirmed"
    );
    assert_eq!(grants(&owner.report(at(250), &"e1".into(), report(1, false, 3))).len(), 1);
}

/// Event in the property test.
#[derive(Debug, Clone)]
enum Event {
    Request(u64),
    Start(usize),
    Release(usize, bool),
    ColdReport,
    WarmReport,
    Reboot,
    Tick,
    Share(u32),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (500_u64..30_000).prop_map(Event::Request),
        4 => (0_usize..64).prop_map(Event::Start),
        4 => ((0_usize..64), any::<bool>()).prop_map(|(i, b)| Event::Release(i, b)),
        1 => Just(Event::ColdReport),
        2 => Just(Event::WarmReport),
        1 => Just(Event::Reboot),
        2 => Just(Event::Tick),
        1 => (1_u32..=8).prop_map(Event::Share),
    ]
}

/// Reference state: granted requests that have not ended, and the endpoint's state.
#[derive(Default)]
struct Reference {
    running: HashMap<Ticket, u64>,
    boot: u64,
    cold: bool,
    share: Option<Share>,
}

impl Reference {
    /// Applies actions; grants on an endpoint in cold start must stay within its cold capacity.
    fn apply(&mut self, owner: &Owner, actions: &[Action], sizes: &HashMap<Ticket, u64>) {
        for action in actions {
            match action {
                Action::Grant { ticket, .. } => {
                    self.running.insert(*ticket, sizes[ticket]);
                }
                Action::Recall { ticket, .. } => drop(self.running.remove(ticket)),
                _ => {}
            }
        }
        let id: EndpointId = "e1".into();
        let (load, limit) = owner.load(&id).unwrap();
        assert_eq!(load.requests as usize, self.running.len(), "the owner's count is exact");
        if self.cold && actions.iter().any(|a| matches!(a, Action::Grant { .. })) {
            let bound = capacity().cold;
            assert!(Load::default().fits(limit, bound), "window above the cold capacity: {limit:?}");
            assert!(Load::default().fits(load, bound), "grants above the cold capacity: {load:?}");
        }
    }
}

proptest! {
    #![proptest_config(Config { cases: 1_000, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Config::default() })]

    #[test]
    fn random_event_order(events in prop::collection::vec((event(), 1_u64..400), 1..120)) {
        let mut owner = owner(at(0), false);
        let mut reference = Reference { boot: 1, ..Reference::default() };
        let mut sizes = HashMap::new();
        let (mut now, mut next) = (0, 0);
        for (event, step) in events {
            now += step;
            let t = at(now);
            let nth = |reference: &Reference, i: usize| {
                let mut all: Vec<_> = reference.running.keys().copied().collect();
                all.sort_unstable();
                if all.is_empty() { None } else { Some(all[i % all.len()]) }
            };
            let actions = match event {
                Event::Request(prompt) => {
                    next += 1;
                    sizes.insert(ticket(next), prompt);
                    owner.request(t, request(next, prompt), at(now + 60_000))
                }
                Event::Start(i) => match nth(&reference, i) {
                    Some(ticket) => owner.record_first_token(t, ticket, Tokens(0)),
                    None => continue,
                },
                Event::Release(i, broken) => match nth(&reference, i) {
                    Some(ticket) => {
                        reference.running.remove(&ticket);
                        owner.release(t, ticket, if broken { End::Broken } else { End::Done })
                    }
                    None => continue,
                },
                Event::ColdReport => {
                    reference.cold = true;
                    owner.report(t, &"e1".into(), report(reference.boot, true, reference.running.len() as u32))
                }
                Event::WarmReport => {
                    reference.cold = false;
                    owner.report(t, &"e1".into(), report(reference.boot, false, reference.running.len() as u32))
                }
                Event::Reboot => {
                    reference.cold = true;
                    reference.boot += 1;
                    owner.report(t, &"e1".into(), report(reference.boot, true, 0))
                }
                Event::Tick => owner.tick(t),
                Event::Share(seen) => {
                    let share = Share { seen, roster: 8 };
                    reference.share = Some(share);
                    owner.set_share(share);
                    continue;
                }
            };
            reference.apply(&owner, &actions, &sizes);
        }
    }
}
