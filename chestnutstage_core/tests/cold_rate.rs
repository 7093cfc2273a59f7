//! Rates of cold endpoints, over all instances together.

mod common;

use chestnutstage_core::rate::ColdGate;
use chestnutstage_core::time::Time;
use common::at;

/// Most requests in any second, over `count` instances that each try every `pace` milliseconds for three seconds.
fn most_in_a_second(rate: f64, count: usize, sharers: usize, pace: u64) -> usize {
    let mut gates: Vec<ColdGate> = (0..count).map(|_| ColdGate::default()).collect();
    let mut sent = Vec::new();
    for millis in 0..3_000_u64 {
        for (index, gate) in gates.iter_mut().enumerate() {
            let due = (millis + index as u64).is_multiple_of(pace);
            if due && gate.has_room(at(millis), rate, sharers) {
                gate.count(at(millis));
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
fn shared_bound() {
    for instances in [1, 3, 9, 40] {
        let most = most_in_a_second(59.0, instances, instances.max(8), 5);
        assert!(most <= 59, "{most} of 59 in a second from {instances} instances");
    }
}

#[test]
fn unseen_instances() {
    // Each of nine instances that see nobody else divides by the smallest number.
    let most = most_in_a_second(59.0, 9, 8, 5);
    assert!(most <= 59, "{most} of 59 in a second");
}

#[test]
fn small_rate() {
    let mut gate = ColdGate::default();
    assert!(gate.has_room(at(0), 2.0, 9), "one request is always possible");
    gate.count(at(0));
    assert!(!gate.has_room(at(900), 2.0, 9));
    assert!(gate.has_room(Time::from_millis(1_200), 2.0, 9));
}
