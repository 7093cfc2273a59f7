//! Slopes of state, messages and processor time, and what they come to at the target size.
//!
//! `cargo bench --bench capacity` prints the tables of docs/CAPACITY.md. Each slope is a least-squares fit over three
//! sizes or more, with its error; the sums at the target size are made here, so that they can't drift from the slopes.

mod exchange;
mod fit;

use std::alloc::System;
use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::time::{Duration, Instant};

use chestnutstage::Snapshot;
use chestnutstage::link::message::{self, EntryMessage, OwnerMessage, Reply, Request, Target};
use chestnutstage_config::fleet::{Change, Customer, FleetConfig, LogEntry};
use chestnutstage_config::key::KeyHash;
use chestnutstage_core::endpoint::{Report, Size};
use chestnutstage_core::ids::{BootId, InstanceId, ModelId, Nonce, RequestId, Ticket, Version, ZoneId};
use chestnutstage_core::length::{Class, Tokens};
use chestnutstage_core::members::ModelSet;
use chestnutstage_core::owner::{End, GrantRequest, Limits, Owner, Summary};
use chestnutstage_core::rendezvous;
use chestnutstage_core::route::{Peer, Router};
use chestnutstage_core::time::Time;
use chestnutstage_fakes::world;
use fit::Fit;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Sizes of the fleet that are measured.
const SIZES: [usize; 4] = [8, 64, 200, 670];

/// The target.
const NODES: f64 = 670.0;
const WORKERS: f64 = 10_000.0;
const REQUESTS: f64 = 58_000.0;
const TOKENS: f64 = 13_000_000.0;
const CUSTOMERS: f64 = 29_000.0;
const CHANGES: f64 = 23_000.0 / 86_400.0;
/// Failures and restarts a second: each makes news of some changes of a member.
const CHURN: f64 = (96.0 + 1_100.0) / 86_400.0;
/// Bounds on the control of one node.
const CORE_MAX: f64 = 2.9;
const MEMORY_MAX: f64 = 256e6;
const BYTES_MAX: f64 = 5_000.0;

/// Bytes that `make` leaves allocated.
fn held<T>(make: impl FnOnce() -> T) -> (T, f64) {
    let region = Region::new(ALLOCATOR);
    let value = make();
    let change = region.change();
    let bytes =
        change.bytes_allocated as f64 - change.bytes_deallocated as f64 + change.bytes_reallocated as f64;
    (value, bytes)
}

/// Seconds that one `step` takes: the best of several runs, as load beside the bench only ever slows it.
fn seconds(runs: usize, mut step: impl FnMut()) -> f64 {
    let mut best = f64::MAX;
    for _ in 0..5 {
        let start = Instant::now();
        (0..runs).for_each(|_| step());
        best = best.min(start.elapsed().as_secs_f64() / runs as f64);
    }
    best
}

fn size_of<T: serde::Serialize>(message: &T) -> f64 {
    message::encode(message).map_or(0.0, |frame| frame.len() as f64)
}

/// A line of the table of slopes.
fn show(what: &str, unit: &str, fit: &Fit) {
    println!("| {what} | {} | {} |", fit.shown(unit), fit.points(unit));
}

struct Members {
    bytes: f64,
    seconds: f64,
    memory: Fit,
}

/// Membership: real state machines that exchange encoded messages.
fn members() -> Members {
    let runs: Vec<_> = SIZES.iter().map(|n| (*n as f64, exchange::run(*n))).collect();
    let points =
        |f: fn(&exchange::Cost) -> f64| Fit::of(&runs.iter().map(|(n, c)| (*n, f(c))).collect::<Vec<_>>());
    let (bytes, seconds) = (points(|c| c.bytes), points(|c| c.seconds));
    let churn = points(|c| c.churn_bytes);
    let memory = points(|c| c.memory);
    show("member: payload sent and received, quiet, B/s per node", "B/s", &bytes);
    show("member: payload per change of one member, B per node", "B", &churn);
    show("member: processor, s per s", "s/s", &seconds);
    show("member: state per node", "B", &memory);
    Members { bytes: bytes.at(NODES) + churn.at(NODES) * CHURN * 2.0, seconds: seconds.at(NODES), memory }
}

fn config_of(customers: usize) -> FleetConfig {
    let mut config = FleetConfig::default();
    let customer =
        |i: usize| (format!("customer-{i}").as_str().into(), Customer { key: KeyHash::of(&i.to_string()) });
    config.customers = (0..customers).map(customer).collect::<BTreeMap<_, _>>();
    config
}

fn entry(version: u64) -> LogEntry {
    LogEntry {
        version: Version(version),
        id: Nonce(1 << 100),
        author: "north desk".into(),
        office: "north".into(),
        reason: "the festival paths need more lanterns this week".into(),
        change: Change::EndpointOut("e1234".into()),
    }
}

struct Config {
    bytes: f64,
    seconds: f64,
    memory: f64,
}

/// Configuration: state and time by customers, bytes of a change by members.
fn config() -> Config {
    let (mut time, mut memory) = (Vec::new(), Vec::new());
    for customers in [1_000, 10_000, 29_000] {
        let (snapshot, bytes) = held(|| Snapshot::new(config_of(customers)));
        memory.push((customers as f64, bytes));
        drop(snapshot);
        let config = config_of(customers);
        time.push((
            customers as f64,
            seconds(3, || {
                let mut next = config.clone();
                let _ = next.apply(&entry(1));
                black_box(Snapshot::new(next));
            }),
        ));
    }
    let (time, memory) = (Fit::of(&time), Fit::of(&memory));
    let text = serde_json::to_string(&entry(1)).unwrap_or_default();
    let spread = |n: usize| {
        let target =
            |i: usize| Target { id: format!("i{i}").as_str().into(), address: ([127, 0, 0, 1], 1).into() };
        let targets: Vec<_> = (0..n).map(target).collect();
        let acked: Vec<_> = targets.iter().map(|t| (t.id.clone(), Version(1))).collect();
        spread_bytes(&text, &targets) / n as f64 + size_of(&Reply::Spread { acked }) * depth(n) / n as f64
    };
    let bytes = Fit::of(&SIZES.map(|n| (n as f64, spread(n))));
    show("configuration: one change applied, by customers", "s", &time);
    show("configuration: state by customers", "B", &memory);
    show("configuration: bytes of one change per node, by nodes", "B", &bytes);
    Config {
        bytes: bytes.at(NODES) * CHANGES * 2.0,
        seconds: time.at(CUSTOMERS) * CHANGES,
        // The old version lives until the last reader of it has gone.
        memory: memory.at(CUSTOMERS) * 2.0,
    }
}

fn depth(n: usize) -> f64 {
    (n as f64).log(8.0).ceil().max(1.0)
}

/// Bytes of all messages that hand one change to `targets`.
fn spread_bytes(entry: &str, targets: &[Target]) -> f64 {
    let parts = chestnutstage_core::rollout::fan_out(targets, 8);
    let branch = |(_, rest): (Target, Vec<Target>)| {
        let more = if rest.is_empty() { 0.0 } else { spread_bytes(entry, &rest) };
        size_of(&Request::Spread { entries: vec![entry.to_owned()], targets: rest }) + more
    };
    parts.into_iter().map(branch).sum()
}

fn ask(n: u64) -> GrantRequest {
    GrantRequest {
        ticket: Ticket { request: RequestId(u128::from(n) << 16), attempt: 0 },
        customer: format!("c{}", n % 1_000).as_str().into(),
        weight: 1,
        model: world::MODEL.into(),
        size: Size { prompt: Tokens(1_000 + n % 5_000), output: Tokens(50) },
        prefix: Some(n % 1_000),
        may_queue: true,
        avoid: Vec::new(),
    }
}

fn owner(endpoints: usize) -> Owner {
    let mut owner = Owner::new(Limits::default());
    for i in 0..endpoints {
        let id = format!("e{i}");
        owner.adopt(Time::ZERO, world::engine(&id, "a", "127.0.0.1:8000"), false);
        for _ in 0..50 {
            let report = Report { boot: BootId(1), cold: false, running: 0, held: Tokens(0) };
            owner.report(Time::ZERO, &id.as_str().into(), report);
        }
    }
    owner
}

struct Owning {
    seconds: f64,
    memory: f64,
    polls: f64,
}

/// Endpoint owner: time of a request's whole course, and state, by endpoints.
fn owning() -> Owning {
    let sizes = [5, 15, 60, 150];
    let mut n = 0;
    let time = Fit::of(&sizes.map(|endpoints| {
        let mut owner = owner(endpoints);
        let taken = seconds(2_000, || {
            n += 1;
            let wanted = ask(n);
            let ticket = wanted.ticket;
            black_box(owner.request(Time::ZERO, wanted, Time::NEVER));
            owner.record_first_token(Time::ZERO, ticket, Tokens(0));
            owner.release(Time::ZERO, ticket, End::Done);
        });
        (endpoints as f64, taken)
    }));
    let tick = Fit::of(&sizes.map(|endpoints| {
        let mut owner = owner(endpoints);
        (endpoints as f64, seconds(500, || drop(black_box(owner.tick(Time::ZERO)))))
    }));
    let memory = Fit::of(&sizes.map(|endpoints| (endpoints as f64, held(|| owner(endpoints)).1)));
    let mut busy = owner(15);
    let flights = Fit::of(&[100, 300, 600].map(|count| {
        let before = busy.queued();
        let bytes = held(|| {
            for _ in 0..count {
                n += 1;
                busy.request(Time::ZERO, ask(n), Time::NEVER);
            }
        })
        .1;
        ((before + count) as f64, bytes / count as f64)
    }));
    show("owner: ask, first token and end of a request, by endpoints", "s", &time);
    show("owner: one tick, by endpoints", "s", &tick);
    show("owner: state by endpoints", "B", &memory);
    show("owner: state of one request, by requests there", "B", &flights);
    let endpoints = WORKERS / NODES;
    let requests = REQUESTS / NODES;
    // Reading a load report costs an HTTP exchange, which stands with the measured processes.
    Owning {
        seconds: time.at(endpoints) * requests + tick.at(endpoints) * 10.0,
        memory: memory.at(endpoints) + flights.at(1_000.0) * requests * 10.0,
        polls: endpoints / 2.0,
    }
}

struct Entering {
    seconds: f64,
    bytes: f64,
    memory: f64,
}

/// Entry: routing by nodes, and the messages of one request.
fn entering() -> Entering {
    let model: ModelId = world::MODEL.into();
    let peers = |n: usize| -> Vec<(InstanceId, ZoneId)> {
        (0..n).map(|i| (format!("i{i}").as_str().into(), format!("z{}", i % 12).as_str().into())).collect()
    };
    let router = |peers: &[(InstanceId, ZoneId)]| {
        let mut router = Router::new("z0".into(), 1);
        let models = ModelSet::of([&model]);
        let views = peers.iter().map(|(id, zone)| Peer { id, zone, models });
        router.set_peers(views, &BTreeSet::from([model.clone()]));
        for (id, _) in peers {
            router.record_summary(Time::ZERO, id, &model, Summary::default());
        }
        router
    };
    let time = Fit::of(&SIZES.map(|n| {
        let mut router = router(&peers(n));
        let taken = seconds(2_000, || {
            drop(black_box(router.candidates(Time::ZERO, &model, Class::Short, Some(7))));
        });
        (n as f64, taken)
    }));
    let memory = Fit::of(&SIZES.map(|n| {
        let peers = peers(n);
        (n as f64, held(|| router(&peers)).1)
    }));
    let granted = OwnerMessage::Granted {
        endpoint: "e1234".into(),
        zone: "z1".into(),
        address: "10.1.2.3:8000".into(),
        waited: Duration::ZERO,
        summary: Summary { free: 12, wait: Duration::from_millis(90) },
    };
    let course = size_of(&Request::Ask { ask: ask(1), remaining: Duration::from_mins(1) })
        + size_of(&granted)
        + size_of(&EntryMessage::Started { cached: Tokens(500), boot: BootId(1) })
        + size_of(&EntryMessage::Ended(End::Done));
    show("entry: one routing decision, by nodes", "s", &time);
    show("entry: routing state, by nodes", "B", &memory);
    println!(
        "| entry: messages of one request to its owner | {course:.0} B | one measured message of each kind |"
    );
    let requests = REQUESTS / NODES;
    Entering { seconds: time.at(NODES) * requests, bytes: course * requests, memory: memory.at(NODES) }
}

/// Ownership: one pass over all endpoints when a member comes or goes.
fn ownership() -> (f64, f64) {
    let zones: Vec<ZoneId> = (0..12).map(|i| format!("z{i}").as_str().into()).collect();
    let pass = |n: usize| {
        let instances: Vec<(InstanceId, &ZoneId)> =
            (0..n).map(|i| (format!("i{i}").as_str().into(), &zones[i % 12])).collect();
        let one = seconds(200, || {
            let _ = black_box(rendezvous::owner("e1234", &zones[3], instances.iter().map(|(i, z)| (i, *z))));
        });
        (n as f64, one)
    };
    let time = Fit::of(&SIZES.map(pass));
    show("ownership: one endpoint's owner, by nodes", "s", &time);
    // Each failure and each restart changes the owners twice; all endpoints are looked at each time.
    let whole = time.at(NODES) * WORKERS;
    (whole, whole * CHURN * 2.0)
}

fn verdict(value: f64, bound: f64) -> &'static str {
    if value <= bound { "fits" } else { "**does not fit**" }
}

fn main() {
    if !std::env::args().any(|a| a == "--bench") {
        return;
    }
    println!("| slope | fit | points |\n|---|---|---|");
    let members = members();
    let config = config();
    let owning = owning();
    let entering = entering();
    let (pass, ownership) = ownership();
    let kb = |bytes: f64| bytes / 1e3;
    let core = |seconds: f64| seconds * 100.0;
    println!(
        "\n| role | processor, % of a core | memory, kB | control sent and received, kB/s | carried by |"
    );
    println!("|---|---|---|---|---|");
    let rows = [
        (
            "member",
            members.seconds,
            members.memory.at(NODES),
            members.bytes,
            "watches on four rings, news on probes",
        ),
        (
            "configuration",
            config.seconds,
            config.memory,
            config.bytes,
            "log in the table service, spread over a tree of 8",
        ),
        ("endpoint owner", owning.seconds, owning.memory, 0.0, "rendezvous hash, exact windows"),
        ("ownership passes", ownership, 0.0, 0.0, "rendezvous hash over all endpoints"),
        ("entry (routing)", entering.seconds, entering.memory, 0.0, "four candidates, summaries on grants"),
    ];
    let (mut cpu, mut memory, mut bytes) = (0.0, 0.0, 0.0);
    for (role, seconds, held, sent, how) in rows {
        println!("| {role} | {:.4} | {:.0} | {:.3} | {how} |", core(seconds), kb(held), kb(sent));
        cpu += seconds;
        memory += held;
        bytes += sent;
    }
    println!("| sum | {:.4} | {:.0} | {:.3} | |", core(cpu), kb(memory), kb(bytes));
    let (cpu, memory_fits) = (core(cpu), verdict(memory, MEMORY_MAX));
    println!(
        "| bound | {CORE_MAX} ({}) | {:.0} ({memory_fits}) | {} ({}) | |",
        verdict(cpu, CORE_MAX),
        kb(MEMORY_MAX),
        kb(BYTES_MAX),
        verdict(bytes, BYTES_MAX)
    );
    println!(
        "\nBeside control, on the path of requests: {:.1} kB/s of messages between entry and owner per node,",
        kb(entering.bytes)
    );
    println!(
        "{:.0} requests/s and {:.0} tokens/s through each entry, {:.1} load reports/s read by each owner.",
        REQUESTS / NODES,
        TOKENS / NODES,
        owning.polls
    );
    println!("One pass over all endpoints takes {:.1} ms.", pass * 1e3);
}
