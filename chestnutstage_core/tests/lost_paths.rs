//! What an instance believes of its paths to the endpoints.

use std::time::Duration;

use chestnutstage_core::paths::{Change, Paths, choose_witnesses};
use chestnutstage_core::pool::{Key, Listing, OpenEndpoint};
use chestnutstage_core::time::Time;

/// Open endpoints in ascending order of their keys, dealt out to the zones in turn.
fn endpoints(count: usize, zones: &[&str]) -> Vec<OpenEndpoint> {
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
    let dealt = keys.into_iter().zip(zones.iter().cycle());
    dealt
        .map(|(key, zone)| OpenEndpoint {
            key,
            address: "10.0.0.1:80".parse().unwrap(),
            zone: (*zone).into(),
        })
        .collect()
}

fn keys(open: &[OpenEndpoint]) -> Vec<Key> {
    open.iter().map(|endpoint| endpoint.key).collect()
}

fn in_zone(open: &[OpenEndpoint], zone: &str) -> Vec<Key> {
    open.iter().filter(|endpoint| endpoint.zone.as_str() == zone).map(|endpoint| endpoint.key).collect()
}

const fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// The endpoint that is probed next; at most one.
fn next_probe(paths: &mut Paths, open: &[OpenEndpoint]) -> Option<Key> {
    let probed = paths.next_probes(open);
    assert!(probed.len() <= 1, "one endpoint at a time");
    probed.first().copied()
}

#[test]
fn single_endpoint_down() {
    let open = endpoints(3, &["a"]);
    let keys = keys(&open);
    let mut paths = Paths::default();
    assert_eq!(paths.record_failed(at(0), keys[0], &open), None);
    assert!(paths.is_lost(keys[0]) && !paths.is_lost(keys[1]));
    assert!(paths.is_doubtful());
    let probed = next_probe(&mut paths, &open).unwrap();
    assert_ne!(probed, keys[0], "another endpoint tells whether the instance is cut off");
    assert_eq!(paths.record_reached(at(5), probed), None);
    assert!(!paths.is_doubtful());
    for repeat in 0..5 {
        assert_eq!(
            paths.record_failed(at(10 + repeat), keys[0], &open),
            None,
            "the same endpoint over and over"
        );
    }
    assert!(!paths.is_cut_off());
}

#[test]
fn all_paths_lost() {
    let open = endpoints(5, &["a"]);
    let keys = keys(&open);
    let mut paths = Paths::default();
    paths.record_reached(at(0), keys[0]);
    assert_eq!(paths.record_failed(at(100), keys[1], &open), None);
    assert_eq!(paths.record_failed(at(450), keys[2], &open), Some(Change::CutOff));
    assert!(keys.iter().all(|key| paths.is_lost(*key)));
    assert!(!paths.is_settled_cut(at(1_400)));
    assert!(paths.is_settled_cut(at(1_450)));
    let mut probed: Vec<_> = (0..5).map(|_| next_probe(&mut paths, &open).unwrap()).collect();
    probed.sort_unstable();
    assert_eq!(probed, keys, "each endpoint gets its turn");
    let back = paths.record_reached(at(2_450), keys[4]);
    assert_eq!(back, Some(Change::Reconnected(Duration::from_secs(2))));
    assert!(paths.is_lost(keys[1]) && !paths.is_lost(keys[3]), "only paths that failed are avoided");
}

#[test]
fn one_zone_lost() {
    let open = endpoints(6, &["a"]);
    let keys = keys(&open);
    let (lost, sound) = keys.split_at(3);
    let mut paths = Paths::default();
    for round in 0..20 {
        for (lost, sound) in lost.iter().zip(sound) {
            paths.record_failed(at(round), *lost, &open);
            paths.record_reached(at(round), *sound);
        }
        assert!(!paths.is_cut_off());
    }
    assert!(lost.iter().all(|key| paths.is_lost(*key)));
    assert!(!sound.iter().any(|key| paths.is_lost(*key)));
}

#[test]
fn unlisted_forgotten() {
    let open = endpoints(2, &["a"]);
    let keys = keys(&open);
    let mut paths = Paths::default();
    paths.record_failed(at(0), keys[0], &open);
    paths.suspect(keys[1]);
    assert_eq!(next_probe(&mut paths, &[]), None);
    assert!(!paths.needs_probes(), "endpoints that are gone are not probed");
}

#[test]
fn suspect_probed_first() {
    let open = endpoints(4, &["a"]);
    let keys = keys(&open);
    let mut paths = Paths::default();
    paths.suspect(keys[3]);
    assert!(paths.needs_probes());
    assert_eq!(next_probe(&mut paths, &open), Some(keys[3]));
    paths.record_reached(at(0), keys[3]);
    assert!(!paths.needs_probes());
}

/// A zone without power was taken for a cut: its endpoints fail one after the other, before any other is tried.
#[test]
fn dark_zone() {
    let open = endpoints(78, &["a", "b", "c"]);
    let mut paths = Paths::default();
    for (number, dark) in in_zone(&open, "b").into_iter().enumerate() {
        assert_eq!(paths.record_failed(at(number as u64), dark, &open), None, "after {number} failures");
    }
    let probed = paths.next_probes(&open);
    let zones: Vec<_> = open.iter().filter(|e| probed.contains(&e.key)).map(|e| e.zone.as_str()).collect();
    assert!(zones.len() == 2 && zones.contains(&"a") && zones.contains(&"c"), "{zones:?}");
    paths.record_reached(at(100), probed[0]);
    assert!(!paths.is_doubtful() && !paths.is_cut_off(), "one zone in reach is enough");
    assert_eq!(paths.record_failed(at(101), in_zone(&open, "a")[3], &open), None);
    assert_eq!(paths.record_failed(at(102), in_zone(&open, "b")[0], &open), None);
    assert!(!paths.is_cut_off(), "nothing is known of the third zone");
}

/// A cut from all zones is found after the first failure and one round of probes, as with one zone.
#[test]
fn all_zones_lost() {
    let open = endpoints(9, &["a", "b", "c"]);
    let mut paths = Paths::default();
    // An earlier failure of a whole zone does not keep it from being tried.
    for dark in in_zone(&open, "c") {
        paths.record_failed(at(0), dark, &open);
    }
    paths.record_reached(at(1), in_zone(&open, "a")[0]);
    paths.record_failed(at(350), in_zone(&open, "a")[1], &open);
    let probed = paths.next_probes(&open);
    let changes: Vec<_> = probed.iter().map(|key| paths.record_failed(at(700), *key, &open)).collect();
    assert_eq!(changes, [None, Some(Change::CutOff)]);
}

/// Two zones of which one has left the list: the other one alone decides.
#[test]
fn emptied_zone() {
    let open = endpoints(6, &["a", "b"]);
    let left: Vec<_> = open.iter().filter(|endpoint| endpoint.zone.as_str() == "a").cloned().collect();
    let mut paths = Paths::default();
    assert_eq!(paths.record_failed(at(0), left[0].key, &left), None);
    assert_eq!(paths.record_failed(at(1), left[1].key, &left), Some(Change::CutOff));
}

/// With one cursor for both kinds of probes, lost endpoints between two others were never probed again.
#[test]
fn each_lost_probed() {
    let open = endpoints(6, &["a", "a", "b"]);
    let (dark, sound) = (in_zone(&open, "a"), in_zone(&open, "b"));
    let mut paths = Paths::default();
    for key in &dark {
        paths.record_failed(at(0), *key, &open);
    }
    paths.record_reached(at(1), sound[0]);
    let mut tried = Vec::new();
    for round in 0..dark.len() as u64 {
        let probed = next_probe(&mut paths, &open).unwrap();
        paths.record_failed(at(10 + round), probed, &open);
        tried.push(probed);
        let compared = next_probe(&mut paths, &open).unwrap();
        assert!(sound.contains(&compared), "round {round}");
        paths.record_reached(at(10 + round), compared);
    }
    tried.sort_unstable();
    assert_eq!(tried, dark);
}

/// Witnesses from the zone that failed would say that nothing is reached from here.
#[test]
fn witnesses_of_other_zones() {
    let mut open = endpoints(9, &["a"]);
    open[7].zone = "b".into();
    open[8].zone = "c".into();
    let chosen = keys(&choose_witnesses(open.clone(), open[0].key, 3));
    assert_eq!(chosen, [open[7].key, open[8].key, open[1].key]);
    let single_zone = endpoints(5, &["a"]);
    let chosen = keys(&choose_witnesses(single_zone.clone(), single_zone[1].key, 3));
    assert_eq!(chosen, [single_zone[0].key, single_zone[2].key, single_zone[3].key], "in the given order");
}
