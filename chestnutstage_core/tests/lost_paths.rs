//! What an instance believes of its paths to the endpoints.

use std::time::Duration;

use chestnutstage_core::paths::{Change, Paths};
use chestnutstage_core::pool::{Key, Listing};
use chestnutstage_core::time::Time;

fn keys(count: usize) -> Vec<Key> {
    let key = |number: usize| {
        let listing = Listing {
            id: format!("e{number}").as_str().into(),
            address: "10.0.0.1:80".parse().unwrap(),
            zone: "a".into(),
            service: "llm".into(),
            slots: 1,
            leaving: false,
            born: 1,
            cold: 0,
        };
        listing.key()
    };
    let mut keys: Vec<_> = (0..count).map(key).collect();
    keys.sort_unstable();
    keys
}

const fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn single_endpoint_down() {
    let keys = keys(3);
    let mut paths = Paths::default();
    assert_eq!(paths.record_failed(at(0), keys[0]), None);
    assert!(paths.is_lost(keys[0]) && !paths.is_lost(keys[1]));
    assert!(paths.is_doubtful());
    let probed = paths.next_probe(&keys).unwrap();
    assert_ne!(probed, keys[0], "another endpoint tells whether the instance is cut off");
    assert_eq!(paths.record_reached(at(5), probed), None);
    assert!(!paths.is_doubtful());
    for repeat in 0..5 {
        assert_eq!(paths.record_failed(at(10 + repeat), keys[0]), None, "the same endpoint over and over");
    }
    assert!(!paths.is_cut_off());
}

#[test]
fn all_paths_lost() {
    let keys = keys(5);
    let mut paths = Paths::default();
    paths.record_reached(at(0), keys[0]);
    assert_eq!(paths.record_failed(at(100), keys[1]), None);
    assert_eq!(paths.record_failed(at(450), keys[2]), Some(Change::CutOff));
    assert!(keys.iter().all(|key| paths.is_lost(*key)));
    assert!(!paths.is_settled_cut(at(1_400)));
    assert!(paths.is_settled_cut(at(1_450)));
    let mut probed: Vec<_> = (0..5).map(|_| paths.next_probe(&keys).unwrap()).collect();
    probed.sort_unstable();
    assert_eq!(probed, keys, "each endpoint gets its turn");
    let back = paths.record_reached(at(2_450), keys[4]);
    assert_eq!(back, Some(Change::Reconnected(Duration::from_secs(2))));
    assert!(paths.is_lost(keys[1]) && !paths.is_lost(keys[3]), "only paths that failed are avoided");
}

#[test]
fn one_zone_lost() {
    let keys = keys(6);
    let (lost, sound) = keys.split_at(3);
    let mut paths = Paths::default();
    for round in 0..20 {
        for (lost, sound) in lost.iter().zip(sound) {
            paths.record_failed(at(round), *lost);
            paths.record_reached(at(round), *sound);
        }
        assert!(!paths.is_cut_off());
    }
    assert!(lost.iter().all(|key| paths.is_lost(*key)));
    assert!(!sound.iter().any(|key| paths.is_lost(*key)));
}

#[test]
fn unlisted_forgotten() {
    let keys = keys(2);
    let mut paths = Paths::default();
    paths.record_failed(at(0), keys[0]);
    paths.suspect(keys[1]);
    assert_eq!(paths.next_probe(&[]), None);
    assert!(!paths.needs_probes(), "endpoints that are gone are not probed");
}

#[test]
fn suspect_probed_first() {
    let keys = keys(4);
    let mut paths = Paths::default();
    paths.suspect(keys[3]);
    assert!(paths.needs_probes());
    assert_eq!(paths.next_probe(&keys), Some(keys[3]));
    paths.record_reached(at(0), keys[3]);
    assert!(!paths.needs_probes());
}
