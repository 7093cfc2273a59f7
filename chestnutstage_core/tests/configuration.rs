//! Rollout of configuration versions: versions only increase, and an isolated instance stops accepting work.

mod common;

use std::time::Duration;

use chestnutstage_core::ids::{InstanceId, Version};
use chestnutstage_core::rollout::{
    AckTracker, Freshness, ISOLATION_TIMEOUT, Progress, VersionTracker, fan_out,
};
use chestnutstage_core::time::Time;
use chestnutstage_core::window::Share;
use common::at;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn current(version: u64) -> VersionTracker {
    let mut tracker = VersionTracker::default();
    tracker.apply(Version(version));
    tracker
}

fn members(count: usize) -> Vec<InstanceId> {
    (0..count).map(|i| format!("i{i}").as_str().into()).collect()
}

#[test]
fn stale_read() {
    let mut tracker = current(7);
    tracker.record_store_read(at(100), Version(5));
    assert_eq!(tracker.version(), Version(7));
    assert!(!tracker.is_current(at(100)), "a stale read gives no assurance");
    assert!(!tracker.apply(Version(6)));
    assert_eq!(tracker.version(), Version(7));
}

#[test]
fn new_instance_waits() {
    let mut tracker = VersionTracker::default();
    tracker.record_store_read(at(0), Version(0));
    assert!(!tracker.is_current(at(0)), "no configuration yet");
    tracker.apply(Version(3));
    tracker.record_peer_assurance(at(0), Freshness { version: Version(4), age: Duration::ZERO });
    assert!(!tracker.is_current(at(0)), "a peer has a newer version");
    tracker.apply(Version(4));
    tracker.record_peer_assurance(at(0), Freshness { version: Version(4), age: Duration::ZERO });
    assert!(tracker.is_current(at(0)));
}

#[test]
fn isolated_instance() {
    let mut tracker = current(1);
    tracker.record_store_read(at(0), Version(1));
    assert!(tracker.is_current(at(2_999)));
    assert!(!tracker.is_current(Time::from(ISOLATION_TIMEOUT)));
}

#[test]
fn store_outage() {
    let mut tracker = current(1);
    tracker.record_store_read(at(0), Version(1));
    tracker.set_share(at(60_000), Share { seen: 5, roster: 8 });
    assert!(tracker.is_current(at(60_500)), "a majority of the roster answers");
    tracker.set_share(at(70_000), Share { seen: 4, roster: 8 });
    assert!(!tracker.is_current(at(70_000)), "half of the roster is no majority");
}

#[test]
fn paused_process() {
    let mut tracker = current(1);
    tracker.record_store_read(at(0), Version(1));
    assert!(!tracker.is_current(at(20_000)), "the assurance aged during the pause");
    tracker.record_store_read(at(19_000), Version(1));
    tracker.reset_assurance();
    assert!(!tracker.is_current(at(20_000)));
}

#[test]
fn ages_add_up() {
    let mut first = current(1);
    first.record_store_read(at(1_000), Version(1));
    let fresh = first.fresh(at(2_000)).unwrap();
    let mut second = current(1);
    // The request was sent at 5,000 ms on another clock; the response may be as old as the full round trip.
    second.record_peer_assurance(at(5_000), fresh);
    assert!(second.is_current(at(6_900)));
    assert!(!second.is_current(at(7_100)));
}

#[test]
fn all_acknowledge() {
    let all = members(3);
    let mut acks = AckTracker::new(at(0), Version(5), all.clone());
    acks.record_ack(&all[0], Version(5));
    acks.record_ack(&all[1], Version(4));
    let missing = vec![all[1].clone(), all[2].clone()];
    assert_eq!(acks.progress(at(100)), Progress::Committed { missing });
    acks.record_ack(&all[1], Version(6));
    acks.record_ack(&all[2], Version(5));
    assert_eq!(acks.progress(at(100)), Progress::InForce);
}

#[test]
fn one_unreachable() {
    let all = members(5);
    let mut acks = AckTracker::new(at(0), Version(5), all.clone());
    all[..4].iter().for_each(|m| acks.record_ack(m, Version(5)));
    assert!(matches!(acks.progress(at(4_000)), Progress::Committed { .. }), "it may still accept work");
    assert_eq!(acks.progress(at(6_000)), Progress::InForce);
}

#[test]
fn minority_acknowledged() {
    let all = members(5);
    let mut acks = AckTracker::new(at(0), Version(5), all.clone());
    all[..2].iter().for_each(|m| acks.record_ack(m, Version(5)));
    assert!(
        matches!(acks.progress(at(60_000)), Progress::Committed { .. }),
        "the other members may still assure each other"
    );
}

#[test]
fn fan_out_coverage() {
    for count in [0, 1, 7, 8, 9, 64, 670] {
        let targets: Vec<usize> = (0..count).collect();
        let parts = fan_out(&targets, 8);
        assert!(parts.len() <= 8);
        let mut all: Vec<_> =
            parts.into_iter().flat_map(|(head, rest)| rest.into_iter().chain([head])).collect();
        all.sort_unstable();
        assert_eq!(all, targets);
    }
}

proptest! {
    #![proptest_config(Config { cases: 2_000, rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..Config::default() })]

    /// For any sequence of store reads and gossip, the version in force never decreases, and new work is accepted only
    /// with the newest known version.
    #[test]
    fn version_never_decreases(events in prop::collection::vec((0_u8..5, 0_u64..12, 0_u64..2_000), 1..100)) {
        let mut tracker = VersionTracker::default();
        let (mut now, mut last, mut newest) = (0, Version(0), Version(0));
        for (kind, number, step) in events {
            now += step;
            let version = Version(number);
            match kind {
                0 => { tracker.apply(version); newest = newest.max(version); }
                1 => { tracker.observe(version); newest = newest.max(version); }
                2 => { tracker.record_store_read(at(now), version); newest = newest.max(version); }
                3 => {
                    tracker.record_peer_assurance(at(now), Freshness { version, age: Duration::from_millis(step) });
                    newest = newest.max(version);
                }
                _ => tracker.set_share(at(now), Share { seen: number as u32, roster: 12 }),
            }
            prop_assert!(tracker.version() >= last);
            last = tracker.version();
            prop_assert!(!tracker.is_current(at(now)) || tracker.version() == newest);
        }
    }
}
