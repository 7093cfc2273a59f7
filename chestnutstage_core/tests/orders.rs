//! Leases and fencing numbers for orders to endpoints.

mod common;

use chestnutstage_core::ids::Fencing;
use chestnutstage_core::order::{Issuer, LEASE_TTL, Lease, LeaseRow, ORDER_TIMEOUT, Step};
use chestnutstage_core::time::Time;
use common::at;

fn lease(holder: &str, fencing: u64) -> Lease {
    Lease { holder: holder.into(), fencing: Fencing(fencing) }
}

fn holder(fenced: bool) -> Issuer {
    let mut issuer = Issuer::new("i1".into(), fenced);
    assert_eq!(issuer.next(at(0)), Step::Read);
    assert_eq!(issuer.record_read(at(0), None), Step::Acquire(0, lease("i1", 1)));
    issuer.record_acquired(at(0), lease("i1", 1), 1);
    issuer
}

#[test]
fn first_lease() {
    assert_eq!(holder(true).next(at(10)), Step::Order(Fencing(1)));
}

#[test]
fn expired_lease() {
    let issuer = holder(true);
    let late = Time::from(LEASE_TTL);
    assert_eq!(issuer.next(late), Step::Acquire(1, lease("i1", 2)), "the lease must be renewed first");
}

#[test]
fn no_fencing_support() {
    let issuer = holder(false);
    let near_end = Time::from(LEASE_TTL.saturating_sub(ORDER_TIMEOUT));
    assert!(
        matches!(issuer.next(near_end), Step::Acquire(..)),
        "the lease would expire before the order timeout"
    );
}

#[test]
fn previous_lease() {
    let mut issuer = Issuer::new("i2".into(), false);
    let row = LeaseRow { lease: lease("i1", 4), version: 9 };
    assert_eq!(issuer.record_read(at(0), Some(row.clone())), Step::Wait(LEASE_TTL + ORDER_TIMEOUT));
    assert!(matches!(issuer.record_read(at(5_000), Some(row.clone())), Step::Wait(_)));
    let after = Time::from(LEASE_TTL + ORDER_TIMEOUT);
    assert_eq!(issuer.next(after), Step::Acquire(9, lease("i2", 5)));
}

#[test]
fn renewal_restarts_wait() {
    let mut issuer = Issuer::new("i2".into(), true);
    issuer.record_read(at(0), Some(LeaseRow { lease: lease("i1", 4), version: 9 }));
    let renewed = Some(LeaseRow { lease: lease("i1", 5), version: 10 });
    assert_eq!(
        issuer.record_read(at(11_000), renewed),
        Step::Wait(LEASE_TTL + ORDER_TIMEOUT),
        "the wait starts again after a renewal"
    );
}

#[test]
fn lost_write_response() {
    let mut issuer = Issuer::new("i1".into(), true);
    issuer.record_read(at(0), None);
    issuer.record_failed_write();
    assert_eq!(issuer.next(at(10)), Step::Read);
    // The write took effect, but the row may be from an earlier incarnation, so its lease must expire first.
    let step = issuer.record_read(at(20), Some(LeaseRow { lease: lease("i1", 1), version: 1 }));
    assert_eq!(step, Step::Wait(LEASE_TTL + ORDER_TIMEOUT));
}

#[test]
fn never_two_holders() {
    // The old holder counts its lease from when it sent the write; the new one waits from its first read of the row.
    let old = holder(false);
    let mut new = Issuer::new("i2".into(), false);
    new.record_read(at(1), Some(LeaseRow { lease: lease("i1", 1), version: 1 }));
    for millis in (0..30_000).step_by(50) {
        let now = at(millis);
        let both = matches!(old.next(now), Step::Order(_)) && matches!(new.next(now), Step::Acquire(..));
        assert!(!both, "both instances act as the holder at {millis} ms");
    }
}
