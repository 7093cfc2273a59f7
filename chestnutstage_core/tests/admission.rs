//! Admission by deadline, scheduling by class, and fairness between customers.

mod common;

use std::collections::HashMap;

use chestnutstage_core::length::Tokens;
use chestnutstage_core::outcome::Refusal;
use chestnutstage_core::owner::{Action, End, Limits, Owner};
use common::{at, engine, grants, report, request, request_of, ticket};
use expect_test::expect;

fn owner(engines: usize) -> Owner {
    let mut owner = Owner::new(Limits::default());
    for i in 0..engines {
        let id = format!("e{i}");
        owner.adopt(at(0), engine(&id), false);
        for _ in 0..20 {
            owner.report(at(0), &id.as_str().into(), report(1, false, 0));
        }
    }
    owner
}

fn refusal(actions: &[Action]) -> Option<&Refusal> {
    actions.iter().find_map(|a| match a {
        Action::Refuse { refusal, .. } => Some(refusal),
        _ => None,
    })
}

#[test]
fn deadline_below_estimate() {
    let mut owner = owner(1);
    // Decoding 50 tokens takes 1 s, with 500 ms left before the deadline.
    let actions = owner.request(at(0), request(1, 1_000), at(500));
    expect!["the estimate of 1.066666667s exceeds the 500ms left before the deadline"]
        .assert_eq(&refusal(&actions).unwrap().to_string());
    assert!(refusal(&actions).unwrap().retry().is_some(), "the refusal has a retry delay");
}

#[test]
fn expired_in_queue() {
    let mut owner = owner(1);
    for n in 0..16 {
        assert_eq!(grants(&owner.request(at(0), request(n, 1_000), at(60_000))).len(), 1);
    }
    assert!(owner.request(at(0), request(99, 1_000), at(4_000)).is_empty(), "queued");
    let actions = owner.tick(at(3_500));
    assert!(matches!(refusal(&actions), Some(Refusal::Expired { .. })), "{actions:?}");
    assert_eq!(owner.queued(), 0);
}

#[test]
fn earliest_deadline_first() {
    let mut owner = owner(1);
    for n in 0..16 {
        owner.request(at(0), request(n, 1_000), at(60_000));
    }
    owner.request(at(0), request(20, 1_000), at(50_000));
    owner.request(at(0), request(21, 1_000), at(30_000));
    let next = grants(&owner.release(at(10), ticket(0), End::Done));
    assert_eq!(next[0].0, ticket(21));
}

#[test]
fn short_first() {
    let mut owner = owner(1);
    for n in 0..16 {
        owner.request(at(0), request(n, 1_000), at(600_000));
    }
    owner.request(at(0), request(20, 50_000), at(100_000));
    owner.request(at(0), request(21, 1_000), at(600_000));
    let next = grants(&owner.release(at(10), ticket(0), End::Done));
    assert_eq!(next[0].0, ticket(21), "a short prompt is served before a longer one that was queued earlier");
}

#[test]
fn concurrent_long_prompts() {
    let mut owner = owner(3);
    let granted: Vec<_> =
        (0..5).flat_map(|n| grants(&owner.request(at(0), request(n, 200_000), at(600_000)))).collect();
    let mut endpoints: Vec<_> = granted.iter().map(|(_, e)| e.to_string()).collect();
    endpoints.sort();
    assert_eq!(endpoints, ["e0", "e1", "e2"]);
    let short = grants(&owner.request(at(0), request(9, 1_000), at(60_000)));
    assert_eq!(short.len(), 1, "a short prompt runs beside a long one");
}

#[test]
fn request_without_queueing() {
    let mut owner = owner(1);
    for n in 0..16 {
        owner.request(at(0), request(n, 1_000), at(60_000));
    }
    let mut unqueued = request(20, 1_000);
    unqueued.may_queue = false;
    let actions = owner.request(at(0), unqueued, at(60_000));
    assert!(matches!(refusal(&actions), Some(Refusal::Busy { .. })));
    assert_eq!(owner.queued(), 0);
}

#[test]
fn small_customer_share() {
    let mut owner = owner(1);
    for n in 0..200 {
        owner.request(at(0), request_of(n, "large", 1_000), at(600_000));
    }
    for n in 200..204 {
        owner.request(at(0), request_of(n, "small", 1_000), at(600_000));
    }
    let mut served = HashMap::<bool, usize>::new();
    let mut running: Vec<_> = (0..16).map(ticket).collect();
    for i in 0..8 {
        let done = running.remove(0);
        for (ticket, _) in grants(&owner.release(at(10 + i), done, End::Done)) {
            *served.entry(ticket.request.0 >> 16 >= 200).or_default() += 1;
            running.push(ticket);
        }
    }
    assert!(
        served[&true] >= 4,
        "the small customer is not queued behind the large one's backlog: {served:?}"
    );
}

#[test]
fn out_of_service() {
    let mut owner = owner(2);
    owner.set_service(at(0), &"e0".into(), chestnutstage_core::Service::Out);
    for n in 0..8 {
        let granted = grants(&owner.request(at(0), request(n, 1_000), at(60_000)));
        assert_eq!(granted[0].1.as_str(), "e1");
    }
    owner.set_service(at(0), &"e1".into(), chestnutstage_core::Service::Out);
    let actions = owner.request(at(0), request(9, 1_000), at(60_000));
    assert!(matches!(refusal(&actions), Some(Refusal::NoEndpoint { .. })));
}

#[test]
fn queue_without_endpoint() {
    let mut owner = owner(1);
    for n in 0..17 {
        owner.request(at(0), request(n, 1_000), at(60_000));
    }
    assert_eq!(owner.queued(), 1);
    let actions = owner.retain(at(10), |_| false);
    assert!(matches!(refusal(&actions), Some(Refusal::NoEndpoint { .. })), "refused at once: {actions:?}");
}

#[test]
fn return_from_service() {
    let mut owner = owner(1);
    let warm = owner.load(&"e0".into()).unwrap().1;
    owner.set_service(at(0), &"e0".into(), chestnutstage_core::Service::Out);
    owner.set_service(at(9_000), &"e0".into(), chestnutstage_core::Service::In);
    let back = owner.load(&"e0".into()).unwrap().1;
    assert!(back.requests < warm.requests, "an endpoint that returns to service starts at cold capacity");
}

#[test]
fn cached_prefix() {
    let mut owner = owner(2);
    let mut first = request(1, 9_000);
    first.prefix = Some(7);
    let cached_at = grants(&owner.request(at(0), first, at(60_000)))[0].1.clone();
    owner.record_first_token(at(200), ticket(1), Tokens(0));
    owner.release(at(900), ticket(1), End::Done);
    let mut second = request(2, 9_000);
    second.prefix = Some(7);
    assert_eq!(grants(&owner.request(at(1_000), second, at(60_000)))[0].1, cached_at);
    // A popular prefix must not overload the endpoint that has it cached.
    let spread: std::collections::HashSet<_> = (3..13)
        .flat_map(|n| {
            let mut more = request(n, 9_000);
            more.prefix = Some(7);
            grants(&owner.request(at(1_000), more, at(60_000)))
        })
        .map(|(_, e)| e)
        .collect();
    assert_eq!(spread.len(), 2);
}

#[test]
fn orphaned_grant() {
    let mut owner = owner(1);
    owner.request(at(0), request(1, 1_000), at(10_000));
    owner.orphan(at(100), ticket(1));
    assert_eq!(owner.load(&"e0".into()).unwrap().0.requests, 1, "the request may still run");
    owner.report(at(200), &"e0".into(), report(1, false, 0));
    assert_eq!(
        owner.load(&"e0".into()).unwrap().0.requests,
        1,
        "the report may predate the loss of the entry"
    );
    owner.report(at(4_000), &"e0".into(), report(1, false, 0));
    assert_eq!(owner.load(&"e0".into()).unwrap().0.requests, 0);
}
