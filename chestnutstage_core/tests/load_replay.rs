//! Replays of load patterns: several instances place requests on engines that run on virtual time.

mod common;
#[path = "common/engines.rs"]
mod engines;

use std::collections::BTreeMap;
use std::time::Duration;

use chestnutstage_core::ids::ModelId;
use chestnutstage_core::pool::{Demand, Key, Listing, Pool};
use common::at;
use engines::{COSTS, Engine, Event};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Length of a step, in milliseconds.
const STEP: u64 = 2;
/// Interval at which a few instances tell each other their grants, in milliseconds.
const TELL: u64 = 10;
/// The same for many instances, whose messages gather for longer.
const TELL_MANY: u64 = 40;
/// Tokens that one event of an answer holds.
const EVENT_TOKENS: u64 = 43;

/// Kind of a request, as the users list it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Brief,
    Middle,
    Archive,
}

impl Kind {
    /// Mean tokens, target of the first event and longest pause, mean events.
    const fn facts(self) -> (f64, u64, u64, u32) {
        match self {
            Self::Brief => (4_960.0, 300, 250, 32),
            Self::Middle => (45_000.0, 1_500, 600, 19),
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
    unread: usize,
    lead: Key,
    first: Option<f64>,
    last: f64,
    pause: f64,
    ended: bool,
}

/// What became of the requests of one kind.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    asked: u32,
    refused: u32,
    on_time: u32,
    first_on_time: u32,
}

struct World {
    pools: Vec<Pool>,
    engines: BTreeMap<Key, Engine>,
    requests: Vec<Request>,
    tally: BTreeMap<Kind, Tally>,
    rng: SmallRng,
    tell: u64,
}

impl World {
    fn new(instances: usize, engines: usize, seed: u64) -> Self {
        let mut pools: Vec<Pool> = (0..instances).map(|n| Pool::new("a".into(), n as u64)).collect();
        let mut all = BTreeMap::new();
        for pool in &mut pools {
            pool.set_instances(instances);
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
        Self { pools, engines: all, requests: Vec::new(), tally: BTreeMap::new(), rng, tell: TELL }
    }

    /// Draws around a mean; the spread is that of a product of even draws.
    fn draw(&mut self, mean: f64) -> f64 {
        let factor: f64 = (0..3).map(|_| self.rng.random_range(0.45..1.55)).product();
        mean * factor
    }

    fn arrive(&mut self, now: u64, kind: Kind) {
        let (mean, first, gap, events) = kind.facts();
        let tokens = self.draw(mean) as u64;
        let events = self.draw(f64::from(events)).max(2.0) as u32;
        let instance = self.rng.random_range(0..self.pools.len());
        let tally = self.tally.entry(kind).or_default();
        tally.asked += 1;
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
        let Ok(placement) = self.pools[instance].place(at(now), &demand) else {
            tally.refused += 1;
            return;
        };
        let parts = placement.helpers.len() + 1;
        let read = COSTS.read(tokens, parts as u32);
        let index = self.requests.len();
        let lead = self.engines.get_mut(&placement.key).unwrap();
        lead.take(index, read, tokens, events, parts == 1);
        for helper in &placement.helpers {
            self.engines.get_mut(&helper.key).unwrap().take(index, read, 0, 0, false);
        }
        self.requests.push(Request {
            kind,
            instance,
            number: placement.number,
            sent: now as f64,
            unread: parts,
            lead: placement.key,
            first: None,
            last: 0.0,
            pause: 0.0,
            ended: false,
        });
    }

    fn run_engines(&mut self, now: u64) {
        let mut events = Vec::new();
        for engine in self.engines.values_mut() {
            events.extend(engine.run(now as f64));
        }
        for event in events {
            match event {
                Event::Read(index) => self.read(index),
                Event::Written(index) => self.written(now, index, false),
                Event::Ended(index) => self.written(now, index, true),
            }
        }
    }

    fn read(&mut self, index: usize) {
        let request = &mut self.requests[index];
        request.unread -= 1;
        if request.unread == 0 {
            self.engines.get_mut(&request.lead).unwrap().set_ready(index);
        }
    }

    fn written(&mut self, now: u64, index: usize, end: bool) {
        let request = &mut self.requests[index];
        let pool = &mut self.pools[request.instance];
        let time = now as f64;
        if request.first.is_some() {
            request.pause = request.pause.max(time - request.last);
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

    fn tell(&mut self, now: u64) {
        for from in 0..self.pools.len() {
            let snapshot = self.pools[from].snapshot(at(now));
            for to in (0..self.pools.len()).filter(|&to| to != from) {
                self.pools[to].apply_snapshot(
                    at(now),
                    format!("i{from}").as_str().into(),
                    at(now),
                    snapshot.clone(),
                );
            }
        }
    }

    /// Runs with `rates` of requests per second, given for each moment in seconds.
    fn run(&mut self, seconds: u64, rates: impl Fn(f64) -> [(Kind, f64); 3]) {
        for now in (0..seconds * 1_000).step_by(STEP as usize) {
            for (kind, rate) in rates(now as f64 / 1e3) {
                if self.rng.random_bool(rate * STEP as f64 / 1e3) {
                    self.arrive(now, kind);
                }
            }
            self.run_engines(now);
            if now % self.tell == 0 {
                self.tell(now);
            }
        }
        for now in (seconds * 1_000..(seconds + 12) * 1_000).step_by(STEP as usize) {
            self.run_engines(now);
        }
    }

    fn tallies(&mut self) -> BTreeMap<Kind, Tally> {
        for request in &self.requests {
            let (_, first, gap, _) = request.kind.facts();
            let tally = self.tally.entry(request.kind).or_default();
            let prompt = request.first.is_some_and(|f| f <= first as f64);
            tally.first_on_time += u32::from(prompt);
            tally.on_time += u32::from(prompt && request.ended && request.pause <= gap as f64);
        }
        self.tally.clone()
    }
}

fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}

/// Share of first tokens on time that the users ask for.
const FIRST_ON_TIME: f64 = 0.95;
/// Least share of each kind's worth that the users accept on a day.
const FLOOR: f64 = 0.4;

/// Brief prompts meet their target, and every kind has its floor.
fn assert_served(tallies: &BTreeMap<Kind, Tally>) {
    let brief = tallies[&Kind::Brief];
    assert!(share(brief.first_on_time, brief.asked) >= FIRST_ON_TIME, "{brief:?}");
    for (kind, tally) in tallies {
        assert!(share(tally.on_time, tally.asked) >= FLOOR, "{kind:?}: {tally:?}");
    }
}

#[test]
fn brief_burst() {
    let mut world = World::new(9, 18, 1);
    world.run(20, |_| [(Kind::Brief, 77.0), (Kind::Middle, 0.9), (Kind::Archive, 0.07)]);
    let tally = world.tallies()[&Kind::Brief];
    assert_eq!(tally.refused, 0, "{tally:?}");
    assert!(share(tally.first_on_time, tally.asked) >= FIRST_ON_TIME, "{tally:?}");
}

#[test]
fn archive_burst() {
    let mut world = World::new(9, 18, 2);
    world.run(20, |_| [(Kind::Brief, 12.0), (Kind::Middle, 2.3), (Kind::Archive, 3.5)]);
    assert_served(&world.tallies());
}

#[test]
fn swinging_mix() {
    let mut world = World::new(9, 18, 3);
    world.run(30, |second| {
        let long = ((second / 9.5) as u64).is_multiple_of(2);
        let (brief, middle, archive) = if long { (12.0, 2.3, 3.5) } else { (77.0, 0.9, 0.07) };
        [(Kind::Brief, brief), (Kind::Middle, middle), (Kind::Archive, archive)]
    });
    assert_served(&world.tallies());
}

/// More than the engines can do: what is admitted is mostly on time, the rest is refused at once.
#[test]
fn overload() {
    let mut world = World::new(9, 8, 4);
    world.run(20, |_| [(Kind::Brief, 77.0), (Kind::Middle, 2.3), (Kind::Archive, 3.5)]);
    for (kind, tally) in world.tallies() {
        let admitted = tally.asked - tally.refused;
        assert!(tally.refused > 0 || kind == Kind::Middle, "{kind:?}: {tally:?}");
        assert!(share(tally.first_on_time, admitted) >= FLOOR, "{kind:?}: {tally:?}");
    }
}

/// Many instances that hear of each other's grants late.
#[test]
fn many_instances() {
    let mut world = World::new(65, 60, 5);
    world.tell = TELL_MANY;
    world.run(10, |_| [(Kind::Brief, 100.0), (Kind::Middle, 6.8), (Kind::Archive, 1.0)]);
    let tally = world.tallies()[&Kind::Brief];
    assert!(share(tally.first_on_time, tally.asked) >= FIRST_ON_TIME, "{tally:?}");
    assert!(share(tally.on_time, tally.asked) >= FIRST_ON_TIME, "{tally:?}");
}
