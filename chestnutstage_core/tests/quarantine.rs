//! Quarantine of prompt parts that end engines.

mod common;
#[path = "common/fleet.rs"]
mod fleet;

use std::time::Duration;

use chestnutstage_core::quarantine::{
    ANSWERED_MAX, CRASHES_MAX, Change, Evidence, Feature, FeatureReport, Quarantine, REPORTS_MAX,
    SUSPECTS_MAX,
};
use common::at;
use fleet::{endpoint as engine, exchange, fleet};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use Evidence::{Started, Waiting};

fn part(id: &str) -> Feature {
    Feature::part(&"llm".into(), id)
}

fn parts(ids: &str) -> Vec<Feature> {
    ids.split(' ').map(part).collect()
}

fn refuses(quarantine: &mut Quarantine, now: u64, ids: &str) -> bool {
    quarantine.admit(at(now), &parts(ids)).is_err()
}

/// An instance that knows of crashes of the engines 1, 2, ... under `ids` at `times`.
fn crashed(ids: &str, times: &[u64]) -> Quarantine {
    let mut quarantine = Quarantine::new("i0".into());
    for (number, time) in (1..).zip(times) {
        quarantine.record_crash(at(*time), engine(number), &parts(ids), Started);
    }
    quarantine
}

#[test]
fn three_crashes() {
    let mut quarantine = crashed("shared bad", &[1_000, 1_100]);
    assert!(!refuses(&mut quarantine, 5_000, "bad"));
    quarantine.record_crash(at(5_000), engine(3), &parts("shared bad"), Started);
    let held = quarantine.check(at(5_499), &parts("shared bad")).unwrap_err();
    assert_eq!(held.retry, Duration::from_secs(1), "held while peers may object");
    assert!(quarantine.take_changes().is_empty(), "not convicted yet");
    let verdict = quarantine.check(at(5_500), &parts("shared bad other")).unwrap_err();
    assert_eq!((verdict.feature, verdict.crashes), (part("bad"), 3), "the later part at a tie");
    assert_eq!(verdict.retry, Duration::from_millis(9_500));
    assert!(!refuses(&mut quarantine, 5_500, "shared other"), "its crashes are explained");
    let changes = quarantine.take_changes();
    assert!(matches!(&changes[..], [Change::Convicted { feature: p, crashes, answered: None }]
        if *p == part("bad") && crashes.len() == 3));
}

#[test]
fn weak_evidence() {
    let mut quarantine = Quarantine::new("i0".into());
    for number in 0..5 {
        quarantine.record_crash(at(0), engine(number), &parts("bad"), Waiting);
    }
    assert!(!refuses(&mut quarantine, 1_000, "bad"));
    quarantine.record_crash(at(1_000), engine(4), &parts("bad"), Started);
    assert!(refuses(&mut quarantine, 2_000, "bad"), "the stronger evidence of the same crash counts");
}

#[test]
fn answered_here() {
    let mut quarantine = Quarantine::new("i0".into());
    quarantine.record_progress(at(0), &parts("shared good"));
    for (number, time) in [(1, 1_000), (2, 1_200), (3, 1_400), (4, 7_000)] {
        quarantine.record_crash(at(time), engine(number), &parts("shared"), Started);
    }
    assert!(!refuses(&mut quarantine, 8_000, "shared"));
    for number in 5..8 {
        quarantine.record_crash(at(8_000), engine(number), &parts("shared"), Started);
    }
    assert!(!refuses(&mut quarantine, 9_000, "shared"), "14 points");
    quarantine.record_crash(at(9_000), engine(8), &parts("shared"), Started);
    assert!(refuses(&mut quarantine, 9_500, "shared"), "16 points within 8 s");
}

#[test]
fn peer_objects() {
    let mut fleet = fleet(2);
    fleet[1].record_progress(at(0), &parts("shared"));
    for number in 0..3 {
        fleet[0].record_crash(at(30_000), engine(number), &parts("shared"), Started);
    }
    exchange(30_200, &mut fleet);
    exchange(30_400, &mut fleet);
    for quarantine in &mut fleet {
        assert!(!refuses(quarantine, 31_000, "shared"));
        assert!(quarantine.take_changes().is_empty());
    }
}

/// An objection that arrives after the conviction lifts it everywhere.
#[test]
fn late_objection() {
    let mut fleet = fleet(2);
    fleet[1].record_progress(at(0), &parts("shared"));
    for number in 0..3 {
        fleet[0].record_crash(at(30_000), engine(number), &parts("shared"), Started);
    }
    assert!(refuses(&mut fleet[0], 31_000, "shared"));
    exchange(31_000, &mut fleet);
    assert!(!refuses(&mut fleet[1], 31_020, "shared"));
    exchange(31_100, &mut fleet);
    assert!(!refuses(&mut fleet[0], 31_120, "shared"));
}

#[test]
fn same_engine() {
    let mut fleet = fleet(6);
    for (i, quarantine) in fleet.iter_mut().enumerate() {
        quarantine.record_crash(at(1_000 + i as u64), engine(1), &parts("bad"), Started);
        quarantine.record_crash(at(1_000 + i as u64), engine(2), &parts("bad"), Started);
    }
    exchange(1_100, &mut fleet);
    assert!(fleet.iter_mut().all(|q| !refuses(q, 5_000, "bad")));
    fleet[5].record_crash(at(5_000), engine(3), &parts("bad"), Started);
    exchange(5_100, &mut fleet);
    assert!(fleet.iter_mut().all(|q| refuses(q, 5_600, "bad")), "two engines and a third");
}

#[test]
fn all_engines() {
    let mut fleet = fleet(2);
    fleet[0].record_progress(at(0), &parts("shared"));
    for number in 0..18 {
        let ids = format!("shared own{number}");
        fleet[0].record_crash(at(10_000), engine(number), &parts(&ids), Started);
    }
    for number in 0..3 {
        fleet[0].record_crash(at(10_000), engine(number), &parts("shared fresh"), Started);
    }
    exchange(10_100, &mut fleet);
    for now in [10_600, 60_000, 100_000, 500_000] {
        assert!(fleet.iter_mut().all(|q| !refuses(q, now, "shared own1")), "shared at {now}");
    }
    assert!(refuses(&mut fleet[0], 11_000, "shared fresh") && refuses(&mut fleet[1], 11_000, "shared fresh"));
    fleet[1].record_progress(at(11_100), &parts("shared fresh"));
    exchange(11_200, &mut fleet);
    assert!(fleet.iter_mut().all(|q| !refuses(q, 11_220, "shared fresh")));
    assert_eq!(fleet[0].take_changes().last(), Some(&Change::Acquitted { feature: part("fresh") }));
}

#[test]
fn two_culprits() {
    let mut quarantine = Quarantine::new("i0".into());
    quarantine.record_progress(at(0), &parts("shared"));
    for number in 0..10 {
        let ids = if number % 2 == 0 { "shared bad" } else { "shared worse" };
        quarantine.record_crash(at(1_000 * number), engine(number), &parts(ids), Started);
    }
    assert!(refuses(&mut quarantine, 10_000, "bad") && refuses(&mut quarantine, 10_000, "worse"));
    assert!(!refuses(&mut quarantine, 10_000, "shared"), "20 points within 9 s, all explained");
}

/// A culprit between parts that others share; the later one is answered elsewhere, and bystanders end with it.
#[test]
fn middle_culprit() {
    let mut quarantine = Quarantine::new("i0".into());
    quarantine.record_progress(at(0), &parts("shared tail"));
    for number in 0..3 {
        let now = at(1_000 * (number + 1));
        quarantine.record_crash(now, engine(number), &parts("shared bad tail"), Started);
        quarantine.record_crash(now, engine(number), &parts("shared bystander"), Waiting);
    }
    assert!(refuses(&mut quarantine, 4_000, "shared bad tail"));
    assert!(!refuses(&mut quarantine, 4_000, "shared bystander tail"));
}

#[test]
fn progress_acquits() {
    let mut fleet = fleet(4);
    for number in 0..3 {
        fleet[0].record_crash(at(1_000), engine(number), &parts("fresh"), Started);
    }
    exchange(1_600, &mut fleet);
    assert!(fleet.iter_mut().all(|q| refuses(q, 1_700, "fresh")));
    fleet[3].record_progress(at(1_800), &parts("fresh"));
    exchange(1_900, &mut fleet);
    assert!(fleet.iter_mut().all(|q| !refuses(q, 1_920, "fresh")));
    exchange(2_000, &mut fleet);
    assert!(
        fleet.iter_mut().all(|q| !refuses(q, 2_020, "fresh")),
        "reports from before do not convict again"
    );
}

/// Reports that instances repeat to each other do not move progress past the crashes that followed it.
#[test]
fn repeated_reports() {
    let mut fleet = fleet(3);
    fleet[0].record_progress(at(70_000), &parts("bad"));
    for number in 0..3 {
        fleet[0].record_crash(at(70_010 + 31_000 * number), engine(number), &parts("bad"), Started);
    }
    for now in (133_000..141_000).step_by(100) {
        exchange(now, &mut fleet);
    }
    assert!(fleet.iter_mut().all(|q| refuses(q, 141_000, "bad")));
}

#[test]
fn trial_turns() {
    let mut fleet = fleet(8);
    for number in 0..3 {
        fleet[0].record_crash(at(0), engine(number), &parts("bad"), Started);
    }
    exchange(500, &mut fleet);
    assert!(fleet.iter_mut().all(|q| refuses(q, 9_999, "bad")));
    let admitted: Vec<_> = (0..8).filter(|i| !refuses(&mut fleet[*i], 10_100, "bad")).collect();
    assert_eq!(admitted.len(), 1);
    let winner = admitted[0];
    assert_eq!(fleet[winner].take_changes().last(), Some(&Change::Trial { feature: part("bad"), number: 1 }));
    assert!(refuses(&mut fleet[winner], 10_101, "bad"), "one request only");
    fleet[winner].record_crash(at(10_200), engine(3), &parts("bad"), Started);
    exchange(10_300, &mut fleet);
    for quarantine in &mut fleet {
        let verdict = quarantine.check(at(11_200), &parts("bad")).unwrap_err();
        let wait = verdict.retry.as_millis();
        assert!((39_000..=39_020).contains(&wait), "{wait} ms");
    }
}

/// Every instance sees requests with the part all the time, and each trial ends an engine.
#[test]
fn rare_trials() {
    let mut fleet = fleet(5);
    for number in 0..3 {
        fleet[0].record_crash(at(0), engine(number), &parts("shared bad"), Started);
    }
    let mut trials = 0;
    for now in (600..200_000).step_by(100) {
        exchange(now, &mut fleet);
        for quarantine in &mut fleet {
            if !refuses(quarantine, now + 50, "shared bad") {
                trials += 1;
                quarantine.record_crash(at(now + 90), engine(100 + trials), &parts("shared bad"), Started);
            }
        }
    }
    assert!((1..=3).contains(&trials), "{trials} trials");
}

#[test]
fn conviction_expires() {
    let mut quarantine = crashed("bad", &[0, 0, 0]);
    assert!(refuses(&mut quarantine, 5_000, "bad"));
    quarantine.remove_expired(at(604_999));
    assert_eq!(quarantine.sizes().0, 1);
    let old = quarantine.reports(at(604_999), true);
    quarantine.remove_expired(at(605_000));
    assert_eq!(quarantine.sizes().0, 0);
    assert_eq!(quarantine.take_changes().last(), Some(&Change::Expired { feature: part("bad") }));
    quarantine.apply(at(605_000), &old);
    assert_eq!(quarantine.sizes().0, 1, "a peer had a request later");
    quarantine.remove_expired(at(1_300_000));
    let outdated: Vec<_> = old.into_iter().map(|r| FeatureReport { refused: Some(600_000), ..r }).collect();
    quarantine.apply(at(1_300_000), &outdated);
    assert_eq!(quarantine.sizes().0, 0, "not brought back by a peer that is about to forget it");
}

#[test]
fn newcomer_refuses() {
    let mut quarantine = Quarantine::new("i0".into());
    quarantine.record_progress(at(0), &parts("bad"));
    for number in 0..3 {
        quarantine.record_crash(at(70_000), engine(number), &parts("shared bad"), Started);
    }
    quarantine.record_progress(at(71_500), &parts("shared"));
    let reports = quarantine.reports(at(73_000), true);
    assert_eq!(reports.len(), 2);
    quarantine.apply(at(73_000), &reports);
    assert_eq!(quarantine.reports(at(73_000), true), reports, "idempotent");
    let mut newcomer = Quarantine::new("i1".into());
    newcomer.apply(at(5), &reports);
    newcomer.apply(at(5), &reports);
    assert!(refuses(&mut newcomer, 5, "bad") && !refuses(&mut newcomer, 5, "shared"));
    assert!(newcomer.to_string().contains(&format!("{} convicted", part("bad"))));
    let bytes = postcard::to_allocvec(&reports).unwrap();
    assert_eq!(postcard::from_bytes::<Vec<FeatureReport>>(&bytes).unwrap(), reports);
}

#[test]
fn bounds_hold() {
    let mut quarantine = crashed("bad", &[0, 0, 0]);
    assert!(refuses(&mut quarantine, 500, "bad"));
    for number in 0..5_000 {
        let ids: Vec<_> = (0..20).map(|i| part(&format!("{number}/{i}"))).collect();
        quarantine.record_crash(at(600 + number), engine(number % 100), &ids, Started);
        quarantine.record_progress(at(600 + number), &ids);
        quarantine.record_crash(at(600 + number), engine(number), &parts("bad"), Waiting);
    }
    let (suspects, answered) = quarantine.sizes();
    assert!(suspects == SUSPECTS_MAX && answered <= ANSWERED_MAX, "{suspects} {answered}");
    let reports = quarantine.reports(at(6_000), true);
    assert_eq!(reports.len(), REPORTS_MAX);
    assert_eq!((reports[0].feature, reports[0].crashes.len()), (part("bad"), CRASHES_MAX), "convicted first");
    let long: Vec<_> = (0..100_000).map(|i| part(&i.to_string())).collect();
    quarantine.record_crash(at(6_000), engine(1), &long, Started);
    assert!(quarantine.sizes().0 == SUSPECTS_MAX && quarantine.check(at(6_000), &long).is_ok());
}

/// One instance convicts a bystander before it learns of the culprit that explains the same ends.
#[test]
fn bystander_released() {
    let mut fleet = fleet(2);
    for number in 0..3 {
        fleet[0].record_crash(at(1_000), engine(number), &parts("subject"), Started);
        fleet[1].record_crash(at(1_000), engine(number), &parts("bad"), Started);
    }
    assert!(refuses(&mut fleet[0], 1_600, "subject"));
    fleet[1].record_crash(at(1_700), engine(3), &parts("bad"), Started);
    exchange(2_300, &mut fleet);
    for quarantine in &mut fleet {
        assert!(refuses(quarantine, 2_400, "bad") && !refuses(quarantine, 2_400, "subject"));
    }
}

/// A part that was answered before begins to end engines quickly.
#[test]
fn turned_bad() {
    let mut quarantine = Quarantine::new("i0".into());
    quarantine.record_progress(at(0), &parts("bad"));
    let mut refused = None;
    for number in 0..100 {
        let now = 1_000 + number * 150;
        if refuses(&mut quarantine, now, "bad") {
            refused = refused.or(Some(now));
        } else {
            quarantine.record_crash(at(now), engine(number), &parts("bad"), Started);
        }
    }
    let fifth = 1_000 + 4 * 150;
    assert!(refused.is_some_and(|now| now <= fifth + 3_000), "{refused:?}");
}

/// All engines lose power at once, and one more ends later, before anything was answered again.
#[test]
fn late_end_after_outage() {
    let mut quarantine = Quarantine::new("i0".into());
    quarantine.record_progress(at(9_900), &parts("shared"));
    for number in 0..18 {
        quarantine.record_crash(at(10_000), engine(number), &parts("shared"), Started);
    }
    quarantine.record_crash(at(15_000), engine(18), &parts("shared"), Waiting);
    assert!(!refuses(&mut quarantine, 16_000, "shared"));
}

/// An instance applies a report that was delayed for 5 s; what it passes on must not acquit the culprit.
#[test]
fn delayed_report() {
    let mut fleet = fleet(2);
    fleet[0].record_progress(at(1_000), &parts("bad"));
    for number in 0..3 {
        fleet[0].record_crash(at(70_000), engine(number), &parts("bad"), Started);
    }
    let old = fleet[0].reports(at(70_600), true);
    fleet[1].apply(at(75_600), &old);
    for now in [75_700, 75_800, 75_900] {
        exchange(now, &mut fleet);
    }
    assert!(fleet.iter_mut().all(|q| refuses(q, 75_950, "bad")));
}

/// An instance that knows no members sends no trials.
#[test]
fn no_members() {
    let mut quarantine = crashed("bad", &[0, 0, 0]);
    assert!(refuses(&mut quarantine, 30_000, "bad"));
}

proptest! {
    #![proptest_config(Config { cases: 1_000, rng_seed: RngSeed::Fixed(17), failure_persistence: None, ..Config::default() })]

    /// Instances see crashes, progress and trials of a common history; the order in which a newcomer applies their
    /// reports makes no difference.
    #[test]
    fn any_order(
        events in prop::collection::vec((0_usize..4, 0_u8..4, 1_u8..16, 0_u64..12), 1..60),
        step in 100_u64..4_000,
        order in Just((0_usize..4).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let mut fleet = fleet(4);
        let all = parts("a b c d");
        let mut now = 0;
        for (who, kind, subset, number) in events {
            now += step;
            let chosen: Vec<_> = (0..4).filter(|i| subset & (1 << i) != 0).map(|i| all[i]).collect();
            match kind {
                0 => fleet[who].record_progress(at(now), &chosen),
                1 => { let _ = fleet[who].admit(at(now), &chosen); }
                _ => fleet[who].record_crash(at(number * step), engine(number), &chosen, Started),
            }
        }
        let reports: Vec<_> = fleet.iter_mut().map(|q| q.reports(at(now), true)).collect();
        let mut verdicts = [vec![0, 1, 2, 3], order.clone(), [order.clone(), order].concat()].map(|order| {
            let mut newcomer = Quarantine::new("i9".into());
            for i in order {
                newcomer.apply(at(now), &reports[i]);
            }
            let checks = [now, now + 600].map(|now| all.iter().map(|p| newcomer.admit(at(now), &[*p])).collect::<Vec<_>>());
            (checks, newcomer.take_changes())
        });
        let expected = verdicts[0].clone();
        prop_assert!(verdicts.iter_mut().all(|v| *v == expected), "{:?}", verdicts);
    }
}
