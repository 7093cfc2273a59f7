//! Shared rate limits of cold endpoints, over all instances together.

mod common;

use chestnutstage_core::rate::ColdGate;
use chestnutstage_core::time::Time;
use common::at;

/// Largest number of requests in any second when each of `count` instances tries every `interval` milliseconds
/// for three seconds.
fn most_in_a_second(rate: f64, count: usize, shares: usize, interval: u64) -> usize {
    let mut gates: Vec<ColdGate> = (0..count).map(|_| ColdGate::default()).collect();
    let mut sent = Vec::new();
    for millis in 0..3_000_u64 {
        for (index, gate) in gates.iter_mut().enumerate() {
            let due = (millis + index as u64).is_multiple_of(interval);
            if due && gate.has_room(at(millis), rate, shares) {
                gate.record(at(millis));
                sent.push(millis);
            }
        }
    }
    sent.iter()
        .map(|&from| sent.iter().filter(|&&t| t >= from && t < from + 1_000).count())
        .max()
        .unwrap_or(0)
}

#[test]
fn shared_limit() {
    for instances in [1, 3, 9, 40] {
        let most = most_in_a_second(59.0, instances, instances.max(8), 5);
        assert!(most <= 59, "{most} of 59 in a second from {instances} instances");
    }
}

#[test]
fn instances_without_peers() {
    // Each of nine instances without peers divides the rate by the minimum number of shares.
    let most = most_in_a_second(59.0, 9, 8, 5);
    assert!(most <= 59, "{most} of 59 in a second");
}

#[test]
fn small_rate() {
    let mut gate = ColdGate::default();
    assert!(gate.has_room(at(0), 2.0, 9), "each instance may always send one request");
    gate.record(at(0));
    assert!(!gate.has_room(at(900), 2.0, 9));
    assert!(gate.has_room(Time::from_millis(1_200), 2.0, 9));
}
