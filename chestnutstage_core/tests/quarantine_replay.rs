//! Replay of prompts that end engines: part of the load contains a crashing part, the rest shares its other parts.

mod common;

use std::collections::BTreeMap;

use chestnutstage_core::pool::{Key, Listing};
use chestnutstage_core::quarantine::{Evidence, Feature, Quarantine};
use common::at;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Step of the simulation, in milliseconds.
const STEP: u64 = 10;
/// Times from a send to the head, to the end of the engine, and to progress, in milliseconds.
const HEAD: u64 = 100;
const END: u64 = 160;
const PROGRESS: u64 = 400;
/// Time from the head of an answer to its end.
const ANSWER: u64 = 2_000;
/// Time after which an engine that ended is back.
const DOWN: u64 = 3_000;
/// Time after the fifth end from which hardly any request with the part may be sent: the users' bound.
const CONTACT: u64 = 3_000;

struct Arrival {
    bad: bool,
    resumed: bool,
    parts: Vec<Feature>,
}

struct Running {
    request: Arrival,
    instance: usize,
    engine: usize,
    sent: u64,
}

#[derive(Default)]
struct Outcome {
    ends: Vec<u64>,
    bad_sends: Vec<u64>,
    sound: BTreeMap<u64, (u32, u32)>,
}

struct Deployment {
    instances: usize,
    /// The first instances exchange reports with each other, the others with one of them.
    planners: usize,
    engines: usize,
}

/// Requests a second.
struct Load {
    sound: u32,
    bad: u32,
    /// Second in which all engines lose power.
    power_loss: Option<u64>,
}

fn key(engine: usize, incarnation: u64) -> Key {
    Listing {
        id: format!("e{engine}").as_str().into(),
        address: ([127, 0, 0, 1], 1_000).into(),
        zone: "a".into(),
        service: "llm".into(),
        slots: 16,
        leaving: false,
        born: incarnation,
        cold: 0,
    }
    .key()
}

fn exchange(fleet: &mut [Quarantine], now: u64, pairs: impl Iterator<Item = (usize, usize)>, complete: bool) {
    let mut reports = BTreeMap::new();
    for (from, to) in pairs {
        let sent = reports.entry(from).or_insert_with(|| fleet[from].reports(at(now), complete)).clone();
        fleet[to].apply(at(now + STEP), &sent);
    }
}

/// Plays `seconds` of a load; its bad requests begin after a second.
fn replay(seed: u64, deployment: &Deployment, load: &Load, seconds: u64) -> Outcome {
    let Deployment { instances, planners, engines } = *deployment;
    let mut rng = SmallRng::seed_from_u64(seed);
    let ids: Vec<_> = (0..instances).map(|i| format!("i{i}").as_str().into()).collect();
    let mut fleet: Vec<_> = ids.iter().cloned().map(Quarantine::new).collect();
    for quarantine in &mut fleet {
        quarantine.set_members(ids.clone());
    }
    let mut back = vec![0_u64; engines];
    let mut running: Vec<Running> = Vec::new();
    let mut outcome = Outcome::default();
    let part = |id: &str| Feature::part(&"llm".into(), id);
    for now in (0..seconds * 1_000).step_by(STEP as usize) {
        let mut arrivals = Vec::new();
        let chance = |rate: u32| f64::from(rate) * STEP as f64 / 1e3;
        for (bad, rate) in [(false, load.sound), (true, if now > 1_000 { load.bad } else { 0 })] {
            if rng.random_bool(chance(rate)) {
                let subject = part(&format!("subject{}", rng.random_range(0..20)));
                let parts = if bad {
                    vec![part("first"), part("bad"), subject]
                } else {
                    vec![part("first"), subject]
                };
                arrivals.push(Arrival { bad, resumed: false, parts });
            }
        }
        let mut ended: Vec<usize> = Vec::new();
        if load.power_loss == Some(now / 1_000) && now % 1_000 == 0 {
            ended.extend(0..engines);
        }
        ended.extend(running.iter().filter(|r| r.request.bad && now == r.sent + END).map(|r| r.engine));
        ended.retain(|engine| back[*engine] <= now);
        for engine in &ended {
            outcome.ends.push(now);
            back[*engine] = now + DOWN;
        }
        let (broken, rest) = running.into_iter().partition::<Vec<_>, _>(|r| ended.contains(&r.engine));
        running = rest;
        for Running { request, instance, engine, sent } in broken {
            let age = now - sent;
            if age < PROGRESS {
                let evidence = if age >= HEAD { Evidence::Started } else { Evidence::Waiting };
                fleet[instance].record_crash(at(now), key(engine, back[engine]), &request.parts, evidence);
            }
            if !request.resumed {
                arrivals.push(Arrival { resumed: true, ..request });
            }
        }
        for Running { request, instance, .. } in running.iter().filter(|r| now == r.sent + PROGRESS) {
            fleet[*instance].record_progress(at(now), &request.parts);
        }
        running.retain(|r| now < r.sent + ANSWER);
        for request in arrivals {
            let instance = rng.random_range(0..instances);
            let served = outcome.sound.entry(now / 1_000).or_default();
            served.0 += u32::from(!request.bad);
            let open: Vec<_> = (0..engines).filter(|e| back[*e] <= now).collect();
            if fleet[instance].admit(at(now), &request.parts).is_err() {
                continue;
            }
            served.1 += u32::from(!request.bad);
            if open.is_empty() {
                continue;
            }
            if request.bad {
                outcome.bad_sends.push(now);
            }
            let engine = open[rng.random_range(0..open.len())];
            running.push(Running { request, instance, engine, sent: now });
        }
        if now % 100 == 0 {
            let pairs = (0..planners).flat_map(|a| (0..planners).map(move |b| (a, b)));
            exchange(&mut fleet, now, pairs.filter(|(a, b)| a != b), now % 1_000 == 0);
        }
        if now % 400 == 0 {
            let pairs = (planners..instances).flat_map(|e| [(e, e % planners), (e % planners, e)]);
            exchange(&mut fleet, now, pairs, true);
        }
        if now % 1_000 == 0 {
            for quarantine in &mut fleet {
                quarantine.remove_expired(at(now));
            }
        }
    }
    outcome
}

fn check(deployment: &Deployment, load: &Load, seeds: u64) {
    for seed in 0..seeds {
        let outcome = replay(seed, deployment, load, 30);
        let limit = outcome.ends.get(4).map_or(u64::MAX, |fifth| fifth + CONTACT);
        let late = outcome.bad_sends.iter().filter(|sent| **sent > limit).count();
        assert!(late <= 3, "seed {seed}: {late} sends after {limit} ms, {} ends", outcome.ends.len());
        let after =
            outcome.sound.iter().filter(|(second, _)| **second * 1_000 > limit.saturating_add(CONTACT));
        let (asked, served) = after.fold((0, 0), |sum, (_, s)| (sum.0 + s.0, sum.1 + s.1));
        assert!(served * 2 >= asked, "seed {seed}: {served} of {asked} sound requests");
        println!(
            "seed {seed}: {} ends, {late} late sends, {served} of {asked} sound later",
            outcome.ends.len()
        );
    }
}

#[test]
fn crashing_load() {
    let load = Load { sound: 40, bad: 12, power_loss: None };
    check(&Deployment { instances: 9, planners: 9, engines: 18 }, &load, 10);
}

/// Requests with the part are rare, so that the verdict and trials rest on few of them.
#[test]
fn crashing_trickle() {
    let load = Load { sound: 40, bad: 2, power_loss: None };
    check(&Deployment { instances: 9, planners: 9, engines: 18 }, &load, 10);
}

#[test]
fn many_instances() {
    let load = Load { sound: 90, bad: 20, power_loss: None };
    check(&Deployment { instances: 65, planners: 9, engines: 60 }, &load, 3);
}

/// The part comes while engines also end for another reason.
#[test]
fn crashes_beside_outage() {
    let load = Load { sound: 40, bad: 6, power_loss: Some(8) };
    check(&Deployment { instances: 9, planners: 9, engines: 18 }, &load, 10);
}

/// All engines end at once under sound requests: nearly all of these are accepted all the time.
#[test]
fn power_loss() {
    let deployment = Deployment { instances: 9, planners: 9, engines: 18 };
    let load = Load { sound: 90, bad: 0, power_loss: Some(3) };
    for seed in 0..10 {
        let outcome = replay(seed, &deployment, &load, 12);
        let (asked, accepted) = outcome.sound.values().fold((0, 0), |sum, s| (sum.0 + s.0, sum.1 + s.1));
        println!("seed {seed}: {accepted} of {asked} accepted");
        assert_eq!(accepted, asked, "seed {seed}");
    }
}
