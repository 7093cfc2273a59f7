//! Cost of single decisions, checked against bounds that follow from the users' targets.
//!
//! `cargo bench --bench decisions` measures with criterion, then fails if the median (for admission, the
//! mean) of a decision exceeds its bound.

#[path = "../tests/common/costs.rs"]
mod costs;

use std::collections::BTreeSet;
use std::hint::black_box;
use std::time::{Duration, Instant};

use chestnutstage_core::endpoint::{Endpoint, Kind, Report, Size, Speed};
use chestnutstage_core::ids::{BootId, InstanceId, ModelId, RequestId, Ticket, ZoneId};
use chestnutstage_core::length::{Class, Tokens};
use chestnutstage_core::members::ModelSet;
use chestnutstage_core::owner::{End, GrantRequest, Limits, Owner};
use chestnutstage_core::pool::{Demand, Listing, Pool, Work};
use chestnutstage_core::route::{Peer, Router};
use chestnutstage_core::time::Time;
use chestnutstage_core::waiting::{Entry, Group, Round, WaitingQueue};
use chestnutstage_core::window::{Capacity, Load};
use costs::COSTS;
use criterion::{BatchSize, BenchmarkId, Criterion};

/// Bound on one routing decision among [`ROUTED`] candidates.
const ROUTE_TIME_MAX: Duration = Duration::from_micros(20);
/// Candidates for the bound on routing.
const ROUTED: usize = 64;
/// Bound on one admission with [`QUEUED`] requests in the queue.
const ADMIT_TIME_MAX: Duration = Duration::from_micros(10);
/// Queued requests for the bound on admission.
const QUEUED: u64 = 10_000;
/// Bound on one placement of a prompt among [`PLACED`] engines with eight grants each.
const PLACE_TIME_MAX: Duration = Duration::from_micros(20);
/// Engines for the bound on placement.
const PLACED: usize = 64;
/// Bound on letting a request wait and serving the next one, with [`WAITING`] requests of 24 customers. A placement
/// beside it has to stay within [`PLACE_TIME_MAX`].
const WAIT_TIME_MAX: Duration = Duration::from_micros(10);
/// Waiting requests for the bound on the waiting queue.
const WAITING: u64 = 200;
/// Repetitions over which the median, or the mean of admission, is taken.
const REPEATS: usize = 2_001;

fn model() -> ModelId {
    "m".into()
}

fn router(count: usize) -> Router {
    let mut router = Router::new("a".into(), 1);
    let peers: Vec<(InstanceId, ZoneId)> =
        (0..count).map(|i| (format!("i{i}").as_str().into(), ["a", "b", "c"][i % 3].into())).collect();
    let models = ModelSet::of([&model()]);
    let views = peers.iter().map(|(id, zone)| Peer { id, zone, models });
    router.set_peers(views, &BTreeSet::from([model()]));
    router
}

fn ask(n: u64) -> GrantRequest {
    GrantRequest {
        ticket: Ticket { request: RequestId(u128::from(n) << 16), attempt: 0 },
        customer: format!("c{}", n % 100).as_str().into(),
        weight: 1,
        model: model(),
        size: Size { prompt: Tokens(1_000 + n % 5_000), output: Tokens(50) },
        prefix: Some(n % 50),
        may_queue: true,
        avoid: Vec::new(),
    }
}

fn owner(endpoints: usize, queued: u64) -> Owner {
    let mut owner = Owner::new(Limits::default());
    let load = Load { requests: 4, tokens: Tokens(100_000) };
    for i in 0..endpoints {
        let id = format!("e{i}");
        owner.adopt(
            Time::ZERO,
            Endpoint {
                id: id.as_str().into(),
                zone: "a".into(),
                address: String::new(),
                kind: Kind::Engine,
                models: vec![model()],
                capacity: Capacity { cold: load, warm: load },
                speed: Speed { prefill: 60_000, step: 20_000 },
                memory: Tokens(450_000),
                fenced: true,
                leaving: false,
            },
            false,
        );
        let report = Report { boot: BootId(1), cold: false, running: 0, held: Tokens(0) };
        owner.report(Time::ZERO, &id.as_str().into(), report);
    }
    for n in 0..queued {
        owner.request(Time::ZERO, ask(n), Time::NEVER);
    }
    owner
}

/// Engines with eight brief grants each, the total that all instances together would have.
fn pool(engines: usize) -> Pool {
    let mut pool = Pool::new("a".into(), 1);
    pool.set_planners(1, true);
    pool.set_service(model(), Some(COSTS), 0.0);
    for i in 0..engines {
        let listing = Listing {
            id: format!("e{i}").as_str().into(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: "a".into(),
            service: model(),
            slots: 16,
            leaving: false,
            born: 1,
            cold: 0,
        };
        pool.update_listing(Time::ZERO, listing);
    }
    for n in 0..engines as u64 * 8 {
        if let Ok(placement) = pool.place(Time::ZERO, &prompt(&model(), 1_000)) {
            pool.record_first_event(Time::from_millis(n), placement.number);
        }
    }
    pool
}

fn prompt(service: &ModelId, tokens: u64) -> Demand<'_> {
    Demand {
        service,
        tokens,
        output: 1_400,
        first: Duration::from_millis(if tokens < 10_000 { 300 } else { 2_500 }),
        gap: Duration::from_millis(if tokens < 10_000 { 250 } else { 1_000 }),
        remaining: Duration::from_secs(10),
        tried: &[],
        jitter: 0.5,
    }
}

/// Places a prompt and ends its grant.
fn place(pool: &mut Pool, tokens: u64) {
    if let Ok(placement) = black_box(pool.place(Time::from_millis(900), &prompt(&model(), tokens))) {
        pool.end_grant(placement.number);
    }
}

fn placement(c: &mut Criterion) {
    let mut group = c.benchmark_group("place");
    for engines in [18, 64, 250, 1_000] {
        for tokens in [5_000, 133_000] {
            let mut pool = pool(engines);
            group.bench_with_input(BenchmarkId::new(tokens.to_string(), engines), &tokens, |b, &tokens| {
                b.iter(|| place(&mut pool, tokens));
            });
        }
    }
    group.finish();
}

fn waiting_entry(n: u64) -> Entry {
    Entry {
        ticket: n,
        group: Group { service: model(), work: Work::Brief },
        rank: (n % 3) as u8,
        customer: Some(format!("c{}", n / 3 % 24).as_str().into()),
        weight: 1 + n as u32 % 3,
        work: 5.0 + (n % 7) as f64,
        latest: Time::from_millis(100_000 + n * 37 % 101),
        returning: n.is_multiple_of(11),
        arrived: Time::ZERO,
    }
}

fn waiting_queue(count: u64) -> WaitingQueue {
    let mut queue = WaitingQueue::default();
    for n in 0..100 {
        queue.record_placement(Time::ZERO, &waiting_entry(n));
    }
    for n in 0..count {
        queue.admit(Time::ZERO, waiting_entry(n)).expect("the queue has room");
    }
    queue
}

/// Lets a request wait and serves the next one.
fn wait(queue: &mut WaitingQueue, entry: Entry) {
    black_box(queue.must_wait(&entry));
    black_box(queue.admit(Time::ZERO, entry)).ok();
    let next = queue.next(&Round::default());
    black_box(next.and_then(|ticket| queue.serve(Time::ZERO, ticket)));
}

fn waiting(c: &mut Criterion) {
    let mut group = c.benchmark_group("wait");
    for count in [0, 200, 1_000] {
        let mut queue = waiting_queue(count);
        let mut n = count;
        group.bench_with_input(BenchmarkId::from_parameter(count), &count, |b, _| {
            b.iter_batched(
                || {
                    n += 1;
                    waiting_entry(n)
                },
                |entry| wait(&mut queue, entry),
                BatchSize::SmallInput,
            );
        });
        group.bench_function(BenchmarkId::new("expire", count), |b| b.iter(|| queue.expire(Time::ZERO)));
    }
    group.finish();
}

/// Median time of `step` over [`REPEATS`] runs.
fn median(mut step: impl FnMut(u64)) -> Duration {
    let mut times: Vec<_> = (0..REPEATS as u64)
        .map(|n| {
            let start = Instant::now();
            step(n);
            start.elapsed()
        })
        .collect();
    times.sort_unstable();
    times[REPEATS / 2]
}

fn routing(c: &mut Criterion) {
    let mut group = c.benchmark_group("route");
    for count in [8, 64, 200, 670, 1_000] {
        let mut router = router(count);
        group.bench_with_input(BenchmarkId::from_parameter(count), &count, |b, _| {
            b.iter(|| black_box(router.candidates(Time::ZERO, &model(), Class::Short, Some(7))));
        });
    }
    group.finish();
}

fn admission(c: &mut Criterion) {
    let mut group = c.benchmark_group("admit");
    for queued in [0, 100, 1_000, 10_000] {
        let mut owner = owner(15, queued);
        let mut n = queued;
        group.bench_with_input(BenchmarkId::from_parameter(queued), &queued, |b, _| {
            b.iter_batched(
                || {
                    n += 1;
                    ask(n)
                },
                |wanted| {
                    let ticket = wanted.ticket;
                    black_box(owner.request(Time::ZERO, wanted, Time::NEVER));
                    owner.release(Time::ZERO, ticket, End::Done)
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

fn check_bound(what: &str, took: Duration, bound: Duration) -> bool {
    let holds = took <= bound;
    println!("{} {what}: median {took:?}, bound {bound:?}", if holds { "ok  " } else { "FAIL" });
    holds
}

fn check_bounds() -> bool {
    let mut router = router(ROUTED);
    let choice = median(|n| {
        black_box(router.candidates(Time::ZERO, &model(), Class::Short, Some(n)));
    });
    let mut owner = owner(15, QUEUED);
    let mut admitted = Duration::ZERO;
    for n in 0..REPEATS as u64 {
        let wanted = ask(QUEUED + n);
        let start = Instant::now();
        black_box(owner.request(Time::ZERO, wanted, Time::NEVER));
        admitted += start.elapsed();
    }
    let admitted = admitted / REPEATS as u32;
    let mut pool = pool(PLACED);
    let brief = median(|_| place(&mut pool, 5_000));
    let long = median(|_| place(&mut pool, 133_000));
    let brief_ok =
        check_bound(&format!("placement of a brief prompt on {PLACED} engines"), brief, PLACE_TIME_MAX);
    let long_ok =
        check_bound(&format!("placement of a long prompt on {PLACED} engines"), long, PLACE_TIME_MAX);
    let routing_ok = check_bound(&format!("routing among {ROUTED} candidates"), choice, ROUTE_TIME_MAX);
    let admission_ok =
        check_bound(&format!("admission before {QUEUED} waiting requests (mean)"), admitted, ADMIT_TIME_MAX);
    let mut queue = waiting_queue(WAITING);
    let mut entries: Vec<_> = (0..REPEATS as u64).map(|n| Some(waiting_entry(WAITING + n))).collect();
    let waited = median(|n| entries[n as usize].take().into_iter().for_each(|entry| wait(&mut queue, entry)));
    let waiting_ok =
        check_bound(&format!("waiting and service among {WAITING} requests"), waited, WAIT_TIME_MAX);
    routing_ok && admission_ok && brief_ok && long_ok && waiting_ok
}

fn main() {
    // `cargo test` also runs bench targets, but without this flag: there is nothing to test here.
    if !std::env::args().any(|a| a == "--bench") {
        return;
    }
    let mut c = Criterion::default()
        .without_plots()
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(800))
        .sample_size(20);
    routing(&mut c);
    admission(&mut c);
    placement(&mut c);
    waiting(&mut c);
    assert!(check_bounds(), "a decision exceeded its bound");
}
