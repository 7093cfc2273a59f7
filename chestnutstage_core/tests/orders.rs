//! Orders under fencing numbers.

mod common;

use chestnutstage_core::ids::Fencing;
use chestnutstage_core::order::{Issuer, LEASE, Lease, ORDER_TIME, Seen, Step};
use chestnutstage_core::time::Time;
use common::at;

fn lease(holder: &str, fencing: u64) -> Lease {
    Lease { holder: holder.into(), fencing: Fencing(fencing) }
}

fn held(fenced: bool) -> Issuer {
    let mut issuer = Issuer::new("i1".into(), fenced);
    assert_eq!(issuer.next(at(0)), Step::Read);
    assert_eq!(issuer.read(at(0), None), Step::Take(0, lease("i1", 1)));
    issuer.taken(at(0), lease("i1", 1), 1);
    issuer
}

#[test]
fn first_holder() {
    assert_eq!(held(true).next(at(10)), Step::Order(Fencing(1)));
}

#[test]
fn paused_holder() {
    let issuer = held(true);
    let late = Time::from(LEASE);
    assert_eq!(issuer.next(late), Step::Take(1, lease("i1", 2)), "the lease must be renewed first");
}

#[test]
fn unchecked_endpoint() {
    let issuer = held(false);
    let near_end = Time::from(LEASE.saturating_sub(ORDER_TIME));
    assert!(matches!(issuer.next(near_end), Step::Take(..)), "the lease would not cover the order");
}

#[test]
fn waits_out_lease() {
    let mut issuer = Issuer::new("i2".into(), false);
    let row = Seen { lease: lease("i1", 4), version: 9 };
    assert_eq!(issuer.read(at(0), Some(row.clone())), Step::Wait(LEASE + ORDER_TIME));
    assert!(matches!(issuer.read(at(5_000), Some(row.clone())), Step::Wait(_)));
    let after = Time::from(LEASE + ORDER_TIME);
    assert_eq!(issuer.next(after), Step::Take(9, lease("i2", 5)));
}

#[test]
fn renewed_meanwhile() {
    let mut issuer = Issuer::new("i2".into(), true);
    issuer.read(at(0), Some(Seen { lease: lease("i1", 4), version: 9 }));
    let renewed = Some(Seen { lease: lease("i1", 5), version: 10 });
    assert_eq!(issuer.read(at(11_000), renewed), Step::Wait(LEASE + ORDER_TIME), "counted anew");
}

#[test]
fn lost_answer() {
    let mut issuer = Issuer::new("i1".into(), true);
    issuer.read(at(0), None);
    issuer.lost();
    assert_eq!(issuer.next(at(10)), Step::Read);
    // The write had taken effect, but whether this life wrote it can't be told: it is waited out.
    let step = issuer.read(at(20), Some(Seen { lease: lease("i1", 1), version: 1 }));
    assert_eq!(step, Step::Wait(LEASE + ORDER_TIME));
}

#[test]
fn never_two_holders() {
    // The old holder counts its lease from before it asked; the new one waits from when it first saw the row.
    let old = held(false);
    let mut new = Issuer::new("i2".into(), false);
    new.read(at(1), Some(Seen { lease: lease("i1", 1), version: 1 }));
    for millis in (0..30_000).step_by(50) {
        let now = at(millis);
        let both = matches!(old.next(now), Step::Order(_)) && matches!(new.next(now), Step::Take(..));
        assert!(!both, "both may act at {millis} ms");
    }
}
