//! Learning of the endpoints' pace and its use in placements.

mod common;
#[path = "common/costs.rs"]
mod costs;

use std::time::Duration;

use chestnutstage_core::capacity::{CapacityReport, Learned, Observation, REPORTED_MAX, Tally, update};
use chestnutstage_core::ids::ModelId;
use chestnutstage_core::pool::{Cause, Demand, Key, Listing, Placement, Pool};
use chestnutstage_core::time::Time;
use common::at;
use costs::COSTS;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const LLM: &str = "llm";
const PLAIN: &str = "desk";
/// Interval between the answers of an endpoint that gets five requests a second, in milliseconds.
const INTERVAL_MS: u64 = 200;

fn listing(id: &str, service: &str, slots: u32) -> Listing {
    let number: u16 = id.bytes().map(u16::from).sum();
    Listing {
        id: id.into(),
        address: ([127, 0, 0, 1], 1_000 + number).into(),
        zone: "a".into(),
        service: service.into(),
        slots,
        leaving: false,
        born: 1,
        cold: 0,
    }
}

/// A pool of six engines and three endpoints of a plain service.
fn pool(learned: bool) -> Pool {
    let mut pool = Pool::new("a".into(), 1);
    pool.set_planners(1, true);
    pool.set_learned_capacity(learned);
    pool.set_service(LLM.into(), Some(COSTS), 0.0);
    pool.set_service(PLAIN.into(), None, 0.0);
    for n in 0..6 {
        pool.update_listing(at(0), listing(&format!("e{n}"), LLM, 16));
    }
    for n in 0..3 {
        pool.update_listing(at(0), listing(&format!("d{n}"), PLAIN, 6));
    }
    pool
}

fn demand(service: &ModelId, tokens: u64) -> Demand<'_> {
    Demand {
        service,
        tokens,
        output: 1_400,
        first: Duration::from_millis(300),
        gap: Duration::from_millis(250),
        remaining: Duration::from_secs(10),
        tried: &[],
        jitter: 0.9,
    }
}

fn observation(ratio: f64) -> Observation {
    Observation { inflight: 1, expected_ms: 100.0, observed_ms: 100.0 * ratio }
}

/// Endpoints of one service that answer five requests a second each.
struct Fleet {
    learned: Vec<Learned>,
    now: u64,
}

impl Fleet {
    fn new(count: usize) -> Self {
        Self { learned: vec![Learned::default(); count], now: 10_000 }
    }

    fn update(&mut self) {
        let mut all: Vec<_> = self.learned.iter_mut().map(|learned| (learned, 16)).collect();
        update(at(self.now), &mut all);
    }

    /// Lets each endpoint answer once, at its ratio of observed to forecast time.
    fn answer(&mut self, ratios: &[f64]) {
        self.now += INTERVAL_MS;
        for (learned, ratio) in self.learned.iter_mut().zip(ratios) {
            learned.record(at(self.now), &observation(*ratio));
        }
        self.update();
    }

    /// Time until the pace of an endpoint is at least 1.5, or is not, in milliseconds; at most 10 s.
    fn time_until(&mut self, index: usize, slow: bool, ratios: &[f64]) -> u64 {
        let start = self.now;
        while self.now < start + 10_000 && (self.pace(index) >= 1.5) != slow {
            self.answer(ratios);
        }
        self.now - start
    }

    fn pace(&self, index: usize) -> f64 {
        self.learned[index].pace(at(self.now))
    }

    fn assert_even(&self) {
        for learned in &self.learned {
            assert!((learned.pace(at(self.now)) - 1.0).abs() < f64::EPSILON, "{learned:?}");
            assert_eq!(learned.limit(at(self.now), 16), 16);
        }
    }
}

/// Guards against a verdict on an endpoint by a single outlier.
#[test]
fn one_slow_answer() {
    let mut fleet = Fleet::new(3);
    for n in 0..40 {
        fleet.answer(&[if n == 20 { 50.0 } else { 1.0 }, 1.0, 1.0]);
        fleet.assert_even();
    }
}

/// Guards against values out of range that enter the state, from this planner or from a peer.
#[test]
fn garbage() {
    let mut fleet = Fleet::new(3);
    for _ in 0..20 {
        fleet.answer(&[1.0, 1.0, 1.0]);
        for value in [1e308, f64::NAN, f64::INFINITY, -1.0, 0.0] {
            for (expected_ms, observed_ms) in [(value, 100.0), (100.0, value), (value, value)] {
                let garbage = Observation { inflight: 1, expected_ms, observed_ms };
                fleet.learned[0].record(at(fleet.now), &garbage);
            }
        }
        fleet.learned[0].record(at(fleet.now), &Observation { inflight: 0, ..observation(9.0) });
        for (level, bin, count) in [(200, 40, 50), (0, 255, 50), (0, 47, 0), (0, 47, u16::MAX)] {
            fleet.learned[0].apply(at(fleet.now), &[Tally { level, bin, count }]);
        }
        fleet.update();
        fleet.assert_even();
    }
}

/// Guards against garbage in an engine's own report of its pace, and in reports on unknown endpoints.
#[test]
fn garbage_of_others() {
    let (mut even, mut told) = (pool(false), pool(true));
    let unknown = listing("e99", LLM, 16).key();
    let tallies = vec![Tally { level: 0, bin: 40, count: 500 }];
    let mut engines: Vec<Key> = told.engines(at(0)).map(|(key, _)| key).collect();
    engines.push(unknown);
    for n in 0..40 {
        let now = at(1_000 + n * 100);
        for pace in [f32::NAN, f32::INFINITY, f32::NEG_INFINITY, -1.0, 0.0, 1e308_f64 as f32] {
            for key in &engines {
                told.set_pace(now, *key, pace);
            }
            told.apply_capacity_reports(
                now,
                &[CapacityReport { endpoint: unknown, tallies: tallies.clone() }],
            );
            let (a, b) =
                (even.place(now, &demand(&LLM.into(), 5_000)), told.place(now, &demand(&LLM.into(), 5_000)));
            assert_eq!(a, b);
        }
    }
}

/// Guards against a limit on endpoints that are slow only because all of them are.
#[test]
fn general_overload() {
    let mut fleet = Fleet::new(6);
    let mut rng = SmallRng::seed_from_u64(1);
    for n in 0..100 {
        let load = if n < 30 { 1.0 } else { 6.0 };
        let ratios: Vec<f64> = (0..6).map(|_| load * rng.random_range(0.9..1.1)).collect();
        fleet.answer(&ratios);
        fleet.assert_even();
    }
}

/// Guards against callers that go on to a slow endpoint, or that leave one unused that is fast again.
#[test]
fn slow_then_fast() {
    for slowdown in [2.0, 3.0, 5.0] {
        let mut fleet = Fleet::new(3);
        (0..25).for_each(|_| fleet.answer(&[1.0, 1.0, 1.0]));
        let found = fleet.time_until(0, true, &[slowdown, 1.0, 1.0]);
        assert!(found <= 3_000, "{slowdown} times slower, found after {found} ms");
        (0..25).for_each(|_| fleet.answer(&[slowdown, 1.0, 1.0]));
        let pace = fleet.pace(0);
        assert!((0.8..1.25).contains(&(pace / slowdown)), "{pace} for {slowdown}");
        assert!(fleet.pace(1) < 1.5 && fleet.pace(2) < 1.5);
        let recovered = fleet.time_until(0, false, &[1.0, 1.0, 1.0]);
        assert!(recovered <= 5_000, "{slowdown} times slower, recovered after {recovered} ms");
    }
}

/// Guards against an endpoint that gets no requests any more and so is never found fast again.
#[test]
fn slow_without_requests() {
    let mut fleet = Fleet::new(3);
    (0..25).for_each(|_| fleet.answer(&[5.0, 1.0, 1.0]));
    let start = fleet.now;
    while fleet.pace(0) >= 1.5 {
        fleet.now += INTERVAL_MS;
        fleet.update();
        assert!(fleet.now - start <= 7_000);
        let limit = fleet.learned[0].limit(at(fleet.now), 16);
        assert!(fleet.now - start <= 1_000 || limit <= 7, "only a few requests try it: {limit}");
    }
    fleet.learned[0].record(at(fleet.now), &observation(5.0));
    fleet.update();
    assert!(fleet.pace(0) >= 4.0, "one slow trial confirms what was known: {}", fleet.pace(0));
}

/// Guards against full use of an endpoint that is fast alone but slow long before its slots are full.
#[test]
fn early_knee() {
    let mut fleet = Fleet::new(3);
    let crowded = |ratio: f64| Observation { inflight: 9, ..observation(ratio) };
    for _ in 0..25 {
        fleet.answer(&[1.0, 1.0, 1.0]);
        for (learned, ratio) in fleet.learned.iter_mut().zip([4.0, 1.0, 1.0]) {
            learned.record(at(fleet.now), &crowded(ratio));
        }
        fleet.update();
    }
    let limits = fleet.learned.iter().map(|l| l.limit(at(fleet.now), 16)).collect::<Vec<_>>();
    assert!(limits[0] <= 8 && limits[1..] == [16, 16], "{limits:?}");
    assert!(fleet.pace(0) < 1.5, "below the knee it is as fast as the others");
    (0..60).for_each(|_| fleet.answer(&[1.0, 1.0, 1.0]));
    assert_eq!(fleet.learned[0].limit(at(fleet.now), 16), 16, "the limit grows again");
}

/// Lets a pool place calls of the plain service at an interval, with the response times that `respond` gives for each
/// endpoint, and returns the placements.
fn run_calls(pool: &mut Pool, from: u64, calls: u64, respond: impl Fn(&Placement) -> u64) -> Vec<Placement> {
    let mut open: Vec<(u64, u64)> = Vec::new();
    let mut placed = Vec::new();
    for n in 0..calls {
        let now = from + n * 20;
        open.retain(|(ends, number)| {
            if *ends <= now {
                pool.record_first_event(at(*ends), *number);
                pool.end_grant(*number);
            }
            *ends > now
        });
        let placement = pool.place(at(now), &demand(&PLAIN.into(), 0)).unwrap();
        open.push((now + respond(&placement), placement.number));
        placed.push(placement);
    }
    for (ends, number) in open {
        pool.record_first_event(at(ends), number);
        pool.end_grant(number);
    }
    placed
}

fn slow_desk(placement: &Placement) -> u64 {
    if placement.listing.id.as_str() == "d0" { 75 } else { 15 }
}

fn pace_of(pool: &Pool, now: Time, id: &str) -> f64 {
    [(LLM, 16), (PLAIN, 6)]
        .into_iter()
        .map(|(s, n)| pool.learned_pace(now, listing(id, s, n).key()))
        .fold(1.0, f64::max)
}

/// Guards against state of a former incarnation that limits the new one.
#[test]
fn new_incarnation() {
    let mut pool = pool(true);
    run_calls(&mut pool, 10_000, 200, slow_desk);
    assert!(pace_of(&pool, at(14_000), "d0") >= 1.5);
    let key = pool.update_listing(at(14_000), Listing { born: 2, ..listing("d0", PLAIN, 6) });
    assert!((pool.learned_pace(at(14_000), key) - 1.0).abs() < f64::EPSILON);
}

/// Guards against a cold start that is taken for a slow endpoint.
#[test]
fn cold_endpoints() {
    let mut pool = pool(true);
    pool.update_listing(at(0), Listing { cold: 60_000, ..listing("d0", PLAIN, 6) });
    run_calls(&mut pool, 10_000, 400, slow_desk);
    let reports = pool.take_capacity_reports(at(18_000));
    assert!(!reports.is_empty());
    assert!(reports.iter().all(|r| r.endpoint != listing("d0", PLAIN, 6).key()));
    assert!((pace_of(&pool, at(18_000), "d0") - 1.0).abs() < f64::EPSILON);
}

/// Guards against callers that leave, or endpoints that fail, being counted as fast responses.
#[test]
fn ended_without_response() {
    let mut pool = pool(true);
    for n in 0..100 {
        let placement = pool.place(at(n * 20), &demand(&PLAIN.into(), 0)).unwrap();
        pool.end_grant(placement.number);
    }
    assert!(pool.take_capacity_reports(at(2_000)).is_empty());
}

/// Guards against retried or resumed requests, whose forecast does not hold, being counted.
#[test]
fn tried_requests() {
    let mut pool = pool(true);
    let (service, tried) = (PLAIN.into(), [listing("d0", PLAIN, 6).key()]);
    let call = Demand { tried: &tried, ..demand(&service, 0) };
    let placement = pool.place(at(1_000), &call).unwrap();
    pool.record_first_event(at(1_015), placement.number);
    assert!(pool.take_capacity_reports(at(1_100)).is_empty());
}

/// Guards against other placements where nothing differs: the same demands, placement by placement.
#[test]
fn alike_endpoints() {
    for seed in 0..6 {
        let mut pools = [pool(false), pool(true)];
        let mut rng = SmallRng::seed_from_u64(seed);
        // Times of a first event and of an end, with the number of the grant.
        let mut open: Vec<(u64, u64, u64)> = Vec::new();
        let mut now = 1_000;
        for _ in 0..4_000 {
            now += rng.random_range(1..20);
            for pool in &mut pools {
                for (first, end, number) in &open {
                    if *first <= now {
                        pool.record_first_event(at(*first), *number);
                    }
                    if *end <= now {
                        pool.end_grant(*number);
                    }
                }
            }
            open.retain(|(_, end, _)| *end > now);
            let (service, tokens): (ModelId, u64) = match rng.random_range(0..10) {
                0..4 => (PLAIN.into(), 0),
                4 => (LLM.into(), 45_000),
                _ => (LLM.into(), rng.random_range(500..8_000)),
            };
            let call = demand(&service, tokens);
            let [a, b] = pools.each_mut().map(|pool| pool.place(at(now), &call));
            let changes = pools[1].take_capacity_changes();
            assert_eq!(a, b, "seed {seed}, at {now}: {changes:?}");
            let Ok(placement) = a else { continue };
            let spread: f64 = (0..3).map(|_| rng.random_range(0.7..1.4)).product();
            let mean = if service.as_str() == PLAIN { 15.0 } else { placement.expected.as_secs_f64() * 1e3 };
            let first = now + (mean * spread).max(1.0) as u64;
            let lasts = if service.as_str() == PLAIN { 0 } else { rng.random_range(200..900) };
            open.push((first, first + lasts, placement.number));
        }
    }
}

/// Guards against plain calls that go on to an endpoint that is slower than the others.
#[test]
fn slow_plain_endpoint() {
    let mut pool = pool(true);
    run_calls(&mut pool, 10_000, 200, slow_desk);
    let later = run_calls(&mut pool, 14_000, 200, slow_desk);
    let slow = later.iter().filter(|p| p.listing.id.as_str() == "d0").count();
    assert!(slow <= 10, "{slow} of 200 on the slow endpoint");
    assert!(pool.learned_limits(at(18_000)).all(|(listing, _)| listing.id.as_str() == "d0"));
    let changes = pool.take_capacity_changes();
    assert!(changes.iter().all(|c| c.endpoint.as_str() == "d0"), "{changes:?}");
    assert!(changes[0].change.pace >= 1.5 && changes[0].change.observations >= 8, "{changes:?}");
}

/// Guards against calls that wait at an endpoint although they would be late.
#[test]
fn late_plain_calls() {
    let mut pool = pool(true);
    run_calls(&mut pool, 10_000, 200, |p| slow_desk(p) * 2);
    let service = PLAIN.into();
    let call = Demand { first: Duration::from_millis(60), ..demand(&service, 0) };
    let refusal = (0..60).find_map(|_| pool.place(at(14_000), &call).err()).unwrap();
    assert_eq!(refusal.cause, Cause::NoSlot);
    assert!(pool.held() < 3 * 6 * 3, "refused before the queues are full: {}", pool.held());
    let late = Demand { first: Duration::from_millis(5), ..call };
    let mut pool = self::pool(true);
    run_calls(&mut pool, 10_000, 200, slow_desk);
    assert!(pool.place(at(14_000), &late).is_ok(), "a target that is missed anyway refuses nothing");
}

/// Guards against planners that don't learn from each other, and against reports that are sent twice or without bound.
#[test]
fn reports_of_peers() {
    let (mut own, mut peer) = (pool(true), pool(true));
    for second in 0..4 {
        run_calls(&mut own, 10_000 + second * 1_000, 50, slow_desk);
        let now = at(11_000 + second * 1_000);
        let reports = own.take_capacity_reports(now);
        assert!(reports.len() <= REPORTED_MAX);
        assert!(own.take_capacity_reports(now).is_empty());
        let bytes = postcard::to_stdvec(&reports).unwrap();
        assert!(bytes.len() < 200, "{} bytes", bytes.len());
        peer.apply_capacity_reports(now, &postcard::from_bytes::<Vec<CapacityReport>>(&bytes).unwrap());
        _ = peer.place(now, &demand(&PLAIN.into(), 0));
    }
    assert!(pace_of(&peer, at(14_000), "d0") >= 1.5, "the peer has no observations of its own");
}

/// Guards against reports of many endpoints that exceed a message, and against endpoints that are never reported.
#[test]
fn many_reported_endpoints() {
    let mut pool = pool(true);
    (0..150).for_each(|n| _ = pool.update_listing(at(0), listing(&format!("x{n}"), "wide", 1)));
    let mut numbers = Vec::new();
    for n in 0..150 {
        numbers.push(pool.place(at(1_000 + n), &demand(&"wide".into(), 0)).unwrap().number);
    }
    for number in &numbers {
        pool.record_first_event(at(1_200), *number);
    }
    let mut reported: Vec<Key> = Vec::new();
    for n in 0..3 {
        let reports = pool.take_capacity_reports(at(1_300 + n));
        assert!(reports.len() <= REPORTED_MAX);
        reported.extend(reports.iter().map(|r| r.endpoint));
    }
    reported.sort();
    reported.dedup();
    assert_eq!(reported.len(), 150);
}

/// Guards against a learned limit that binds where nothing was learned: an engine may be listed with few slots or none.
#[test]
fn few_slots() {
    for slots in [0, 1, 2, u32::MAX] {
        let [without, with] = [false, true].map(|learned| {
            let mut pool = pool(learned);
            pool.set_service("few".into(), Some(COSTS), 0.0);
            pool.update_listing(at(0), listing("f0", "few", slots));
            (0..4).map(|n| pool.place(at(n), &demand(&"few".into(), 100))).collect::<Vec<_>>()
        });
        assert!(without[0].is_ok());
        assert_eq!(without, with, "{slots} slots");
    }
}
