//! Replays of load on uneven endpoints whose own reports say nothing, with and without learned capacities.

mod common;
#[path = "common/engines.rs"]
mod engines;

use std::collections::BTreeMap;
use std::time::Duration;

use chestnutstage_core::ids::ModelId;
use chestnutstage_core::pool::{Demand, Key, Listing, Placement, Pool};
use common::at;
use engines::{COSTS, Engine, Event};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Length of a simulation step, in milliseconds.
const STEP_MS: u64 = 2;
/// Interval at which planners exchange their grants, in milliseconds.
const GOSSIP_INTERVAL_MS: u64 = 10;
/// Interval at which they exchange their observations, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// Number of planners.
const PLANNERS: usize = 3;
/// Target and time of a call of a plain service, in milliseconds.
const CALL_TARGET_MS: u64 = 120;
const CALL_MS: f64 = 15.0;
/// Slots of an endpoint of the plain service.
const CALL_SLOTS: u32 = 6;

/// Shares of callers, and of work on slow endpoints.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    submitted: u32,
    refused: u32,
    in_time: u32,
    on_slow: u32,
}

impl Tally {
    fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.submitted.max(1))
    }
}

struct Planners {
    pools: Vec<Pool>,
    rng: SmallRng,
}

impl Planners {
    fn new(learned: bool, service: &str, engine: bool, endpoints: usize, slots: u32) -> (Self, Vec<Key>) {
        let mut pools: Vec<Pool> = (0..PLANNERS).map(|n| Pool::new("a".into(), n as u64)).collect();
        let mut keys = Vec::new();
        for pool in &mut pools {
            pool.set_planners(PLANNERS, true);
            pool.set_learned_capacity(learned);
            pool.set_service(service.into(), engine.then_some(COSTS), 0.0);
            keys = (0..endpoints)
                .map(|n| {
                    pool.update_listing(
                        at(0),
                        Listing {
                            id: format!("e{n}").as_str().into(),
                            address: ([127, 0, 0, 1], 1_000 + n as u16).into(),
                            zone: ["a", "b", "c"][n % 3].into(),
                            service: service.into(),
                            slots,
                            leaving: false,
                            born: 1,
                            cold: 0,
                        },
                    )
                })
                .collect();
        }
        (Self { pools, rng: SmallRng::seed_from_u64(7) }, keys)
    }

    /// Draws a random value around a mean, with a factor that is the product of three uniform draws.
    fn draw(&mut self, mean: f64) -> f64 {
        mean * (0..3).map(|_| self.rng.random_range(0.45..1.55)).product::<f64>()
    }

    fn place(
        &mut self,
        now: u64,
        service: &str,
        tokens: u64,
        output: u64,
        targets: (u64, u64),
    ) -> (usize, Option<Placement>) {
        let planner = self.rng.random_range(0..PLANNERS);
        let service = ModelId::from(service);
        let demand = Demand {
            service: &service,
            tokens,
            output,
            first: Duration::from_millis(targets.0),
            gap: Duration::from_millis(targets.1),
            remaining: Duration::from_secs(10),
            tried: &[],
            jitter: self.rng.random_range(0.0..1.0),
        };
        (planner, self.pools[planner].place(at(now), &demand).ok())
    }

    fn gossip(&mut self, now: u64) {
        if !now.is_multiple_of(GOSSIP_INTERVAL_MS) {
            return;
        }
        for from in 0..PLANNERS {
            let snapshot = self.pools[from].snapshot(at(now));
            let is_due = now.is_multiple_of(REPORT_INTERVAL_MS);
            let reports = if is_due { self.pools[from].take_capacity_reports(at(now)) } else { Vec::new() };
            for to in (0..PLANNERS).filter(|&to| to != from) {
                let peer = format!("i{from}").as_str().into();
                self.pools[to].apply_snapshot(at(now), peer, at(now), snapshot.clone());
                self.pools[to].apply_capacity_reports(at(now), &reports);
            }
        }
    }
}

struct Request {
    planner: usize,
    number: u64,
    sent: u64,
    key: Key,
    unprefilled: usize,
    first: Option<u64>,
    brief: bool,
}

/// Brief prompts on 18 engines, of which those in `slow` take longer by the factor, at this many a second and with the longer
/// prompts of the second customer.
fn replay_prompts(learned: bool, rate: f64, slow: &[(usize, f64)], seconds: u64) -> Tally {
    let (mut planners, keys) = Planners::new(learned, "llm", true, 18, COSTS.slots);
    let mut engines: BTreeMap<Key, Engine> = keys.iter().map(|key| (*key, Engine::default())).collect();
    for (index, slowdown) in slow {
        engines.get_mut(&keys[*index]).unwrap().slowdown = *slowdown;
    }
    let mut requests: Vec<Request> = Vec::new();
    let mut tally = Tally::default();
    for now in (0..seconds * 1_000).step_by(STEP_MS as usize) {
        for (brief, rate, mean, events, targets) in
            [(true, rate, 5_000.0, 32.0, (300, 200)), (false, rate / 11.0, 45_000.0, 19.0, (1_500, 500))]
        {
            if !planners.rng.random_bool(rate * STEP_MS as f64 / 1e3) {
                continue;
            }
            let tokens = planners.draw(mean) as u64;
            let events = planners.draw(events).max(2.0) as u32;
            let (planner, placed) = planners.place(now, "llm", tokens, u64::from(events) * 43, targets);
            tally.submitted += u32::from(brief);
            let Some(placement) = placed else {
                tally.refused += u32::from(brief);
                continue;
            };
            let parts = placement.helpers.len() + 1;
            let prefill_ms = COSTS.prefill_ms(tokens, parts as u32);
            let (index, key) = (requests.len(), placement.key);
            engines.get_mut(&key).unwrap().enqueue(index, prefill_ms, tokens, events, parts == 1);
            for helper in &placement.helpers {
                engines.get_mut(&helper.key).unwrap().enqueue(index, prefill_ms, 0, 0, false);
            }
            let is_slow = engines[&key].slowdown > 1.0;
            tally.on_slow += u32::from(brief && is_slow);
            let number = placement.number;
            requests.push(Request {
                planner,
                number,
                sent: now,
                key,
                unprefilled: parts,
                first: None,
                brief,
            });
        }
        let events: Vec<_> = engines.values_mut().flat_map(|engine| engine.run(now as f64)).collect();
        for event in events {
            let (index, end) = match event {
                Event::Prefilled(index) => {
                    requests[index].unprefilled -= 1;
                    if requests[index].unprefilled == 0 {
                        engines.get_mut(&requests[index].key).unwrap().set_ready(index);
                    }
                    continue;
                }
                Event::Emitted(index) => (index, false),
                Event::Ended(index) => (index, true),
            };
            let request = &mut requests[index];
            let pool = &mut planners.pools[request.planner];
            if request.first.is_none() {
                request.first = Some(now);
                pool.record_first_event(at(now), request.number);
                tally.in_time += u32::from(request.brief && now - request.sent <= 300);
            }
            if end {
                pool.end_grant(request.number);
            }
        }
        planners.gossip(now);
    }
    tally
}

/// Calls on three endpoints of a plain service, of which one takes longer by the factor.
fn replay_calls(learned: bool, rate: f64, slowdown: f64, seconds: u64) -> Tally {
    let (mut planners, keys) = Planners::new(learned, "desk", false, 3, CALL_SLOTS);
    // Times at which the slots of each endpoint are free.
    let mut free: BTreeMap<Key, Vec<f64>> =
        keys.iter().map(|k| (*k, vec![0.0; CALL_SLOTS as usize])).collect();
    let mut open: Vec<(u64, usize, u64)> = Vec::new();
    let mut tally = Tally::default();
    for now in 0..seconds * 1_000 {
        if planners.rng.random_bool(rate / 1e3) {
            let (planner, placed) = planners.place(now, "desk", 0, 0, (CALL_TARGET_MS, 0));
            tally.submitted += 1;
            let service_ms = planners.draw(CALL_MS);
            if let Some(placement) = placed {
                let is_slow = placement.key == keys[0];
                let factor = if is_slow { slowdown } else { 1.0 };
                let slots = free.get_mut(&placement.key).unwrap();
                let slot = slots.iter_mut().min_by(|a, b| a.total_cmp(b)).unwrap();
                *slot = slot.max(now as f64) + service_ms * factor;
                let end = slot.ceil() as u64;
                tally.in_time += u32::from(end - now <= CALL_TARGET_MS);
                tally.on_slow += u32::from(is_slow);
                open.push((end, planner, placement.number));
            } else {
                tally.refused += 1;
            }
        }
        open.retain(|(end, planner, number)| {
            if *end <= now {
                planners.pools[*planner].record_first_event(at(now), *number);
                planners.pools[*planner].end_grant(*number);
            }
            *end > now
        });
        planners.gossip(now);
    }
    tally
}

const SLOW_THIRD: [(usize, f64); 6] = [(0, 2.0), (3, 2.5), (6, 3.0), (9, 3.5), (12, 4.0), (15, 5.0)];

/// Guards against brief prompts that are late because a third of the engines is slower than published.
#[test]
fn slow_third_of_engines() {
    for rate in [40.0, 77.0, 117.0] {
        let [without, with] = [false, true].map(|learned| replay_prompts(learned, rate, &SLOW_THIRD, 30));
        println!(
            "prompts at {rate}/s: without {without:?} {:.3}; with {with:?} {:.3}",
            without.share(),
            with.share()
        );
        assert!(with.share() > without.share(), "{rate}: {without:?} {with:?}");
    }
}

/// Guards against a loss where nothing is slow.
#[test]
fn even_engines() {
    for rate in [40.0, 77.0, 117.0] {
        let [without, with] = [false, true].map(|learned| replay_prompts(learned, rate, &[], 20));
        println!("even prompts at {rate}/s: without {without:?}; with {with:?}");
        assert!(with.in_time + 2 >= without.in_time, "{rate}: {without:?} {with:?}");
    }
}

/// Guards against plain calls that are late because one of three endpoints is slow.
#[test]
fn slow_plain_endpoint() {
    for (rate, slowdown) in
        [(16.0, 5.0), (100.0, 5.0), (200.0, 5.0), (400.0, 5.0), (200.0, 2.0), (16.0, 1.0), (400.0, 1.0)]
    {
        let [without, with] = [false, true].map(|learned| replay_calls(learned, rate, slowdown, 60));
        println!(
            "calls at {rate}/s, one {slowdown} times slower: without {without:?} {:.4}; with {with:?} {:.4}",
            without.share(),
            with.share()
        );
        assert!(with.share() >= without.share(), "{rate} {slowdown}: {without:?} {with:?}");
    }
}
