//! Replays of load patterns: several instances place requests on engines that run on virtual time.

mod common;
#[path = "common/engines.rs"]
mod engines;

use std::collections::BTreeMap;
use std::time::Duration;

use chestnutstage_core::ids::{InstanceId, ModelId};
use chestnutstage_core::pool::{Demand, Key, Listing, Placement, Pool};
use chestnutstage_core::time::Time;
use common::at;
use engines::{COSTS, Engine, Event};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Length of a simulation step, in milliseconds.
const STEP_MS: u64 = 2;
/// Interval at which a small number of instances exchange their grants, in milliseconds.
const GOSSIP_INTERVAL_MS: u64 = 10;
/// The same for many instances, which batch their messages over a longer interval.
const GOSSIP_INTERVAL_MANY_MS: u64 = 40;
/// Tokens in one event of an answer.
const EVENT_TOKENS: u64 = 43;

/// Class of a request, as the users define it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Brief,
    Medium,
    Archive,
}

impl Kind {
    /// Mean tokens, target of the first event and longest gap in milliseconds, mean events.
    const fn parameters(self) -> (f64, u64, u64, u32) {
        match self {
            Self::Brief => (4_960.0, 300, 250, 32),
            Self::Medium => (45_000.0, 1_500, 600, 19),
            Self::Archive => (133_000.0, 2_500, 1_000, 16),
        }
    }
}

#[derive(Debug)]
struct Request {
    kind: Kind,
    instance: usize,
    number: u64,
    sent: f64,
    unprefilled: usize,
    decode: Key,
    first: Option<f64>,
    last: f64,
    longest_gap: f64,
    ended: bool,
}

/// Results of the requests of one kind.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    submitted: u32,
    refused: u32,
    on_time: u32,
    first_on_time: u32,
}

struct Simulation {
    pools: Vec<Pool>,
    engines: BTreeMap<Key, Engine>,
    requests: Vec<Request>,
    tally: BTreeMap<Kind, Tally>,
    rng: SmallRng,
    gossip_interval: u64,
    most_held: u32,
}

fn name(planner: usize) -> InstanceId {
    format!("i{planner}").as_str().into()
}

/// Places a request at one of the planners; the home planner of an engine has to agree on its last slots.
fn place(pools: &mut [Pool], planner: usize, now: Time, demand: &Demand<'_>) -> Option<Placement> {
    loop {
        let placement = pools[planner].place(now, demand).ok()?;
        let grant = pools[planner].grant(placement.number).expect("the grant was just made");
        let claim = pools[planner].claim_needed(grant).map(|(key, home)| (key, home.clone()));
        let Some((key, home)) = claim else { return Some(placement) };
        let home = (0..pools.len()).find(|&n| name(n) == home).expect("the home is one of the planners");
        if pools[home].claim_slot(now, key, &name(planner)) {
            return Some(placement);
        }
        pools[planner].end_grant(placement.number);
        pools[planner].record_denial(now, key);
    }
}

impl Simulation {
    fn new(instances: usize, engines: usize, seed: u64) -> Self {
        let mut pools: Vec<Pool> = (0..instances).map(|n| Pool::new("a".into(), n as u64)).collect();
        let mut all = BTreeMap::new();
        for pool in &mut pools {
            pool.set_planners(instances, true);
            pool.set_service("llm".into(), Some(COSTS), 0.0);
            for n in 0..engines {
                let listing = Listing {
                    id: format!("e{n}").as_str().into(),
                    address: ([127, 0, 0, 1], 1_000 + n as u16).into(),
                    zone: "a".into(),
                    service: "llm".into(),
                    slots: COSTS.slots,
                    leaving: false,
                    born: 1,
                    cold: 0,
                };
                all.insert(pool.update_listing(at(0), listing), Engine::default());
            }
        }
        let rng = SmallRng::seed_from_u64(seed);
        Self {
            pools,
            engines: all,
            requests: Vec::new(),
            tally: BTreeMap::new(),
            rng,
            gossip_interval: GOSSIP_INTERVAL_MS,
            most_held: 0,
        }
    }

    /// Draws a random value around a mean, with a factor that is the product of three uniform draws.
    fn draw(&mut self, mean: f64) -> f64 {
        let factor: f64 = (0..3).map(|_| self.rng.random_range(0.45..1.55)).product();
        mean * factor
    }

    fn arrive(&mut self, now: u64, kind: Kind) {
        let (mean, first, gap, events) = kind.parameters();
        let tokens = self.draw(mean) as u64;
        let events = self.draw(f64::from(events)).max(2.0) as u32;
        let instance = self.rng.random_range(0..self.pools.len());
        let tally = self.tally.entry(kind).or_default();
        tally.submitted += 1;
        let service = ModelId::from("llm");
        let demand = Demand {
            service: &service,
            tokens,
            output: u64::from(events) * EVENT_TOKENS,
            first: Duration::from_millis(first),
            gap: Duration::from_millis(gap),
            remaining: Duration::from_secs(10),
            tried: &[],
            jitter: self.rng.random_range(0.0..1.0),
        };
        let Some(placement) = place(&mut self.pools, instance, at(now), &demand) else {
            tally.refused += 1;
            return;
        };
        let held = self.requests.iter().filter(|r| r.decode == placement.key && !r.ended).count() as u32;
        self.most_held = self.most_held.max(held + 1);
        let parts = placement.helpers.len() + 1;
        let prefill_ms = COSTS.prefill_ms(tokens, parts as u32);
        let index = self.requests.len();
        let decode = self.engines.get_mut(&placement.key).unwrap();
        decode.enqueue(index, prefill_ms, tokens, events, parts == 1);
        for helper in &placement.helpers {
            self.engines.get_mut(&helper.key).unwrap().enqueue(index, prefill_ms, 0, 0, false);
        }
        self.requests.push(Request {
            kind,
            instance,
            number: placement.number,
            sent: now as f64,
            unprefilled: parts,
            decode: placement.key,
            first: None,
            last: 0.0,
            longest_gap: 0.0,
            ended: false,
        });
    }

    /// Gives the planners names, so that they agree on the last slots of engines.
    fn name_planners(&mut self) {
        for (n, pool) in self.pools.iter_mut().enumerate() {
            pool.set_name(name(n));
        }
        self.gossip(0);
    }

    /// Largest number of requests that an engine has had at once.
    fn most_held(&self) -> u32 {
        self.most_held
    }

    fn run_engines(&mut self, now: u64) {
        let mut events = Vec::new();
        for engine in self.engines.values_mut() {
            events.extend(engine.run(now as f64));
        }
        for event in events {
            match event {
                Event::Prefilled(index) => self.record_prefill(index),
                Event::Emitted(index) => self.record_event(now, index, false),
                Event::Ended(index) => self.record_event(now, index, true),
            }
        }
    }

    fn record_prefill(&mut self, index: usize) {
        let request = &mut self.requests[index];
        request.unprefilled -= 1;
        if request.unprefilled == 0 {
            self.engines.get_mut(&request.decode).unwrap().set_ready(index);
        }
    }

    fn record_event(&mut self, now: u64, index: usize, end: bool) {
        let request = &mut self.requests[index];
        let pool = &mut self.pools[request.instance];
        let time = now as f64;
        if request.first.is_some() {
            request.longest_gap = request.longest_gap.max(time - request.last);
        } else {
            request.first = Some(time - request.sent);
            pool.record_first_event(at(now), request.number);
        }
        request.last = time;
        if end {
            request.ended = true;
            pool.end_grant(request.number);
        }
    }

    fn gossip(&mut self, now: u64) {
        for from in 0..self.pools.len() {
            let snapshot = self.pools[from].snapshot(at(now));
            for to in (0..self.pools.len()).filter(|&to| to != from) {
                self.pools[to].apply_snapshot(at(now), name(from), at(now), snapshot.clone());
            }
        }
    }

    /// Simulates `seconds` with the requests per second that `rates` gives for each time in seconds.
    fn run(&mut self, seconds: u64, rates: impl Fn(f64) -> [(Kind, f64); 3]) {
        for now in (0..seconds * 1_000).step_by(STEP_MS as usize) {
            for (kind, rate) in rates(now as f64 / 1e3) {
                if self.rng.random_bool(rate * STEP_MS as f64 / 1e3) {
                    self.arrive(now, kind);
                }
            }
            self.run_engines(now);
            if now % self.gossip_interval == 0 {
                self.gossip(now);
            }
        }
        for now in (seconds * 1_000..(seconds + 12) * 1_000).step_by(STEP_MS as usize) {
            self.run_engines(now);
        }
    }

    fn tallies(&mut self) -> BTreeMap<Kind, Tally> {
        for request in &self.requests {
            let (_, first, gap, _) = request.kind.parameters();
            let tally = self.tally.entry(request.kind).or_default();
            let first_on_time = request.first.is_some_and(|f| f <= first as f64);
            tally.first_on_time += u32::from(first_on_time);
            tally.on_time += u32::from(first_on_time && request.ended && request.longest_gap <= gap as f64);
        }
        self.tally.clone()
    }
}

fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}

/// Share of first events on time that the users require.
const FIRST_ON_TIME_MIN: f64 = 0.95;
/// Smallest share of each kind's value that the users accept on a day; checked here as the share of requests on
/// time.
const ON_TIME_MIN: f64 = 0.4;

/// Asserts that brief prompts meet their target and that each kind has its minimum share on time.
fn assert_served(tallies: &BTreeMap<Kind, Tally>) {
    let brief = tallies[&Kind::Brief];
    assert!(share(brief.first_on_time, brief.submitted) >= FIRST_ON_TIME_MIN, "{brief:?}");
    for (kind, tally) in tallies {
        assert!(share(tally.on_time, tally.submitted) >= ON_TIME_MIN, "{kind:?}: {tally:?}");
    }
}

#[test]
fn brief_burst() {
    let mut simulation = Simulation::new(9, 18, 1);
    simulation.run(20, |_| [(Kind::Brief, 77.0), (Kind::Medium, 0.9), (Kind::Archive, 0.07)]);
    let tally = simulation.tallies()[&Kind::Brief];
    assert_eq!(tally.refused, 0, "{tally:?}");
    assert!(share(tally.first_on_time, tally.submitted) >= FIRST_ON_TIME_MIN, "{tally:?}");
}

#[test]
fn archive_burst() {
    let mut simulation = Simulation::new(9, 18, 2);
    simulation.run(20, |_| [(Kind::Brief, 12.0), (Kind::Medium, 2.3), (Kind::Archive, 3.5)]);
    assert_served(&simulation.tallies());
}

#[test]
fn alternating_mix() {
    let mut simulation = Simulation::new(9, 18, 3);
    simulation.run(30, |second| {
        let long = ((second / 9.5) as u64).is_multiple_of(2);
        let (brief, medium, archive) = if long { (12.0, 2.3, 3.5) } else { (77.0, 0.9, 0.07) };
        [(Kind::Brief, brief), (Kind::Medium, medium), (Kind::Archive, archive)]
    });
    assert_served(&simulation.tallies());
}

/// More load than the engines can serve: admitted requests are mostly on time, the others are refused at
/// once.
#[test]
fn overload() {
    let mut simulation = Simulation::new(9, 8, 4);
    simulation.run(20, |_| [(Kind::Brief, 77.0), (Kind::Medium, 2.3), (Kind::Archive, 3.5)]);
    for (kind, tally) in simulation.tallies() {
        let admitted = tally.submitted - tally.refused;
        assert!(tally.refused > 0 || kind == Kind::Medium, "{kind:?}: {tally:?}");
        assert!(share(tally.first_on_time, admitted) >= ON_TIME_MIN, "{kind:?}: {tally:?}");
    }
}

/// Half as many brief prompts again as there are slots. Guards against planners that choose the same free slot within the
/// time of their messages, so that requests wait in the engine and are late.
#[test]
fn last_slots() {
    let mut simulation = Simulation::new(9, 18, 6);
    simulation.gossip_interval = GOSSIP_INTERVAL_MANY_MS;
    simulation.name_planners();
    simulation.run(12, |_| [(Kind::Brief, 160.0), (Kind::Medium, 0.0), (Kind::Archive, 0.0)]);
    let tally = simulation.tallies()[&Kind::Brief];
    let admitted = tally.submitted - tally.refused;
    assert!(tally.refused > 0, "{tally:?}");
    assert!(simulation.most_held() <= COSTS.slots, "{} requests on an engine", simulation.most_held());
    assert!(share(tally.first_on_time, admitted) >= FIRST_ON_TIME_MIN, "{tally:?}");
}

/// Many instances that receive each other's grants late.
#[test]
fn many_instances() {
    let mut simulation = Simulation::new(65, 60, 5);
    simulation.gossip_interval = GOSSIP_INTERVAL_MANY_MS;
    simulation.run(10, |_| [(Kind::Brief, 100.0), (Kind::Medium, 6.8), (Kind::Archive, 1.0)]);
    let tally = simulation.tallies()[&Kind::Brief];
    assert!(share(tally.first_on_time, tally.submitted) >= FIRST_ON_TIME_MIN, "{tally:?}");
    assert!(share(tally.on_time, tally.submitted) >= FIRST_ON_TIME_MIN, "{tally:?}");
}
