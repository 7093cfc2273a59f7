//! Quarantine of whole requests that end endpoints.

mod common;
#[path = "common/fleet.rs"]
mod fleet;

use std::time::Duration;

use chestnutstage_core::quarantine::{Change, Evidence, Feature, Quarantine, SUSPECTS_MAX};
use common::at;
use fleet::{endpoint, exchange, fleet};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use Evidence::Waiting;

/// Time after the third end from which the sends count, and how many may follow: the users' bound.
const COUNTED_AFTER: u64 = 3_000;
const COUNTED_MAX: usize = 3;

#[test]
fn third_end_convicts() {
    let mut quarantine = Quarantine::new("i0".into());
    let request = [Feature::Request(7)];
    for number in 0..2 {
        quarantine.record_crash(at(1_000), endpoint(number), &request, Waiting);
    }
    assert!(quarantine.admit(at(5_000), &request).is_ok());
    quarantine.record_crash(at(5_000), endpoint(2), &request, Waiting);
    assert!(quarantine.admit(at(5_001), &request).is_err(), "held while peers may object");
    let verdict = quarantine.admit(at(5_600), &request).unwrap_err();
    assert_eq!((verdict.feature, verdict.crashes), (request[0], 3));
    assert_eq!(verdict.retry, Duration::from_millis(9_400));
    assert!(quarantine.admit(at(5_600), &[Feature::Request(8)]).is_ok());
}

/// The parts of a repeated prompt are answered in other prompts; only the request is refused.
#[test]
fn shared_parts_stay_free() {
    let mut quarantine = Quarantine::new("i0".into());
    let part = Feature::part(&"llm".into(), "shared");
    quarantine.record_progress(at(500), &[part, Feature::Request(1)]);
    for number in 0..3 {
        quarantine.record_crash(at(1_000 + number), endpoint(number), &[part, Feature::Request(2)], Waiting);
    }
    assert!(quarantine.admit(at(2_000), &[part, Feature::Request(2)]).is_err());
    assert!(quarantine.admit(at(2_000), &[part, Feature::Request(3)]).is_ok());
}

/// A part ends engines under different requests, one of which is repeated: the part is convicted, and the request is not.
#[test]
fn part_explains_repeats() {
    let mut quarantine = Quarantine::new("i0".into());
    let part = Feature::part(&"llm".into(), "bad");
    for number in 0..5 {
        let request = Feature::Request(number.max(2));
        quarantine.record_crash(at(1_000 + number), endpoint(number), &[part, request], Evidence::Started);
    }
    assert_eq!(quarantine.admit(at(2_000), &[part, Feature::Request(9)]).unwrap_err().feature, part);
    assert!(quarantine.admit(at(2_000), &[Feature::Request(2)]).is_ok());
}

/// Three trials, then none until the request has not come for ten minutes.
#[test]
fn trials_run_out() {
    let request = [Feature::Request(7)];
    let mut fleet = fleet(3);
    for number in 0..3 {
        fleet[0].record_crash(at(1_000), endpoint(number), &request, Waiting);
    }
    exchange(1_100, &mut fleet);
    let mut trials = Vec::new();
    for now in (2_000..1_800_000).step_by(500) {
        for quarantine in &mut fleet {
            if quarantine.admit(at(now), &request).is_ok() {
                trials.push(now);
                quarantine.record_crash(at(now + 20), endpoint(now), &request, Waiting);
            }
        }
        exchange(now + 100, &mut fleet);
    }
    assert_eq!(trials.len(), COUNTED_MAX, "{trials:?}");
    assert_eq!(fleet[0].admit(at(1_800_000), &request).unwrap_err().retry, Duration::from_mins(10));
    fleet[0].remove_expired(at(2_500_000));
    assert_eq!(fleet[0].take_changes().last(), Some(&Change::Expired { feature: request[0] }));
}

/// Endpoints that end under 20,000 unlike requests, one each; a request with two ends is kept among them.
#[test]
fn bounded_memory() {
    let mut quarantine = Quarantine::new("i0".into());
    quarantine.record_crash(at(10), endpoint(0), &[Feature::Request(7)], Waiting);
    quarantine.record_crash(at(20), endpoint(1), &[Feature::Request(7)], Waiting);
    for number in 10..20_010 {
        quarantine.record_crash(at(30), endpoint(number), &[Feature::Request(number)], Waiting);
    }
    assert_eq!(quarantine.sizes().0, SUSPECTS_MAX);
    quarantine.record_crash(at(40), endpoint(2), &[Feature::Request(7)], Waiting);
    assert!(quarantine.admit(at(1_000), &[Feature::Request(7)]).is_err());
}

/// Replay: each of nine instances gets the crashing request now and then; an endpoint is back after three seconds, and reports take up
/// to 400 ms. Another request is popular, and is under way at some of the ends.
#[test]
fn repeats_at_all_instances() {
    for seed in 0..40 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (bad, popular) = ([Feature::Request(1)], [Feature::Request(2)]);
        let mut fleet = fleet(9);
        let mut up = [0_u64; 3];
        let (mut boots, mut ends) = (10_u64, Vec::new());
        let (mut sends, mut refused) = (Vec::new(), 0);
        for now in (0..120_000).step_by(20) {
            if now % 400 == 0 {
                exchange(now, &mut fleet);
            }
            let member = rng.random_range(0..fleet.len());
            if fleet[member].admit(at(now), &popular).is_err() {
                refused += 1;
            } else if up.iter().any(|back| now >= *back) {
                fleet[member].record_progress(at(now), &popular);
            }
            let member = rng.random_range(0..fleet.len());
            let Some(server) = (0..up.len()).find(|server| now >= up[*server]) else { continue };
            if !rng.random_bool(0.1) || fleet[member].admit(at(now), &bad).is_err() {
                continue;
            }
            boots += 1;
            sends.push(now);
            ends.push(now);
            up[server] = now + 3_000;
            fleet[member].record_crash(at(now), endpoint(boots), &bad, Waiting);
            if rng.random_bool(0.3) {
                let other = rng.random_range(0..fleet.len());
                fleet[other].record_crash(at(now), endpoint(boots), &popular, Waiting);
            }
        }
        let counted = sends.iter().filter(|send| **send > ends[2] + COUNTED_AFTER).count();
        assert!(counted <= COUNTED_MAX, "{counted} sends after the third end, seed {seed}");
        assert_eq!(refused, 0, "the popular request was refused, seed {seed}");
    }
}
