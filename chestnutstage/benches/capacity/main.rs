//! How state, messages and processor time grow with the size of a fleet, and their totals at the target size.
//!
//! `cargo bench --bench capacity` prints the tables of docs/CAPACITY.md. Each slope is a least-squares fit over three
//! sizes or more, with its error. The totals at the target size are computed from the same fits, so that the two always
//! agree.

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

/// Measured fleet sizes, in nodes.
const SIZES: [usize; 4] = [8, 64, 200, 670];

/// Size and load of the target fleet.
const NODES: f64 = 670.0;
const ENDPOINTS: f64 = 10_000.0;
const REQUESTS_PER_S: f64 = 58_000.0;
const TOKENS_PER_S: f64 = 13_000_000.0;
const CUSTOMERS: f64 = 29_000.0;
const CHANGES_PER_S: f64 = 23_000.0 / 86_400.0;
/// Failures and restarts per second; each produces several updates about a member.
const CHURN_PER_S: f64 = (96.0 + 1_100.0) / 86_400.0;
/// Bounds on the cost of control on one node.
const CPU_MAX_PERCENT: f64 = 2.9;
const MEMORY_MAX_BYTES: f64 = 256e6;
const TRAFFIC_MAX_BYTES_PER_S: f64 = 5_000.0;

/// Runs `make` and counts the bytes that stay allocated.
fn allocated<T>(make: impl FnOnce() -> T) -> (T, f64) {
    let region = Region::new(ALLOCATOR);
    let value = make();
    let change = region.change();
    let bytes =
        change.bytes_allocated as f64 - change.bytes_deallocated as f64 + change.bytes_reallocated as f64;
    (value, bytes)
}

/// Time of one `step`: the best of several runs, as other load on the machine can only slow a run down.
fn best_seconds(runs: usize, mut step: impl FnMut()) -> f64 {
    let mut best = f64::MAX;
    for _ in 0..5 {
        let start = Instant::now();
        (0..runs).for_each(|_| step());
        best = best.min(start.elapsed().as_secs_f64() / runs as f64);
    }
    best
}

fn encoded_size<T: serde::Serialize>(message: &T) -> f64 {
    message::encode(message).map_or(0.0, |frame| frame.len() as f64)
}

/// Prints a row of the table of slopes.
fn print_fit(what: &str, unit: &str, fit: &Fit) {
    println!("| {what} | {} | {} |", fit.line(unit), fit.points(unit));
}

struct MemberCost {
    bytes: f64,
    seconds: f64,
    memory: Fit,
}

/// Cost of membership, from real state machines that exchange encoded messages.
fn member_cost() -> MemberCost {
    let runs: Vec<_> = SIZES.iter().map(|n| (*n as f64, exchange::run(*n))).collect();
    let points =
        |f: fn(&exchange::Cost) -> f64| Fit::of(&runs.iter().map(|(n, c)| (*n, f(c))).collect::<Vec<_>>());
    let (bytes, seconds) = (points(|c| c.bytes), points(|c| c.seconds));
    let change = points(|c| c.change_bytes);
    let memory = points(|c| c.memory);
    print_fit("member: payload sent and received, quiet, B/s per node", "B/s", &bytes);
    print_fit("member: payload per change of one member, B per node", "B", &change);
    print_fit("member: processor, s per s", "s/s", &seconds);
    print_fit("member: state per node", "B", &memory);
    MemberCost {
        bytes: bytes.at(NODES) + change.at(NODES) * CHURN_PER_S * 2.0,
        seconds: seconds.at(NODES),
        memory,
    }
}

fn config_of(customers: usize) -> FleetConfig {
    let mut config = FleetConfig::default();
    let customer =
        |i: usize| (format!("customer-{i}").as_str().into(), Customer { key: KeyHash::of(&i.to_string()) });
    config.customers = (0..customers).map(customer).collect::<BTreeMap<_, _>>();
    config
}

fn log_entry(version: u64) -> LogEntry {
    LogEntry {
        version: Version(version),
        id: Nonce(1 << 100),
        author: "north desk".into(),
        office: "north".into(),
        reason: "the festival paths need more lanterns this week".into(),
        change: Change::EndpointOut("e1234".into()),
    }
}

struct ConfigCost {
    bytes: f64,
    seconds: f64,
    memory: f64,
}

/// Cost of configuration: state and time by customers, bytes of a change by members.
fn config_cost() -> ConfigCost {
    let (mut time, mut memory) = (Vec::new(), Vec::new());
    for customers in [1_000, 10_000, 29_000] {
        let (snapshot, bytes) = allocated(|| Snapshot::new(config_of(customers)));
        memory.push((customers as f64, bytes));
        drop(snapshot);
        let config = config_of(customers);
        time.push((
            customers as f64,
            best_seconds(3, || {
                let mut next = config.clone();
                let _ = next.apply(&log_entry(1));
                black_box(Snapshot::new(next));
            }),
        ));
    }
    let (time, memory) = (Fit::of(&time), Fit::of(&memory));
    let text = serde_json::to_string(&log_entry(1)).unwrap_or_default();
    let spread = |n: usize| {
        let target =
            |i: usize| Target { id: format!("i{i}").as_str().into(), address: ([127, 0, 0, 1], 1).into() };
        let targets: Vec<_> = (0..n).map(target).collect();
        let acked: Vec<_> = targets.iter().map(|t| (t.id.clone(), Version(1))).collect();
        spread_bytes(&text, &targets) / n as f64
            + encoded_size(&Reply::Spread { acked }) * depth(n) / n as f64
    };
    let bytes = Fit::of(&SIZES.map(|n| (n as f64, spread(n))));
    print_fit("configuration: one change applied, by customers", "s", &time);
    print_fit("configuration: state by customers", "B", &memory);
    print_fit("configuration: bytes of one change per node, by nodes", "B", &bytes);
    ConfigCost {
        bytes: bytes.at(NODES) * CHANGES_PER_S * 2.0,
        seconds: time.at(CUSTOMERS) * CHANGES_PER_S,
        // The previous version stays in memory until its last reader drops it.
        memory: memory.at(CUSTOMERS) * 2.0,
    }
}

fn depth(n: usize) -> f64 {
    (n as f64).log(8.0).ceil().max(1.0)
}

/// Bytes of all messages that spread one change to `targets`.
fn spread_bytes(entry: &str, targets: &[Target]) -> f64 {
    let parts = chestnutstage_core::rollout::fan_out(targets, 8);
    let branch = |(_, targets): (Target, Vec<Target>)| {
        let nested = if targets.is_empty() { 0.0 } else { spread_bytes(entry, &targets) };
        encoded_size(&Request::Spread { entries: vec![entry.to_owned()], targets }) + nested
    };
    parts.into_iter().map(branch).sum()
}

fn grant_request(n: u64) -> GrantRequest {
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

struct OwnerCost {
    seconds: f64,
    memory: f64,
    reports: f64,
}

/// Cost of an endpoint owner: time of a request from grant to release, and state, by endpoints.
fn owner_cost() -> OwnerCost {
    let sizes = [5, 15, 60, 150];
    let mut n = 0;
    let time = Fit::of(&sizes.map(|endpoints| {
        let mut owner = owner(endpoints);
        let taken = best_seconds(2_000, || {
            n += 1;
            let request = grant_request(n);
            let ticket = request.ticket;
            black_box(owner.request(Time::ZERO, request, Time::NEVER));
            owner.record_first_token(Time::ZERO, ticket, Tokens(0));
            owner.release(Time::ZERO, ticket, End::Done);
        });
        (endpoints as f64, taken)
    }));
    let tick = Fit::of(&sizes.map(|endpoints| {
        let mut owner = owner(endpoints);
        (endpoints as f64, best_seconds(500, || drop(black_box(owner.tick(Time::ZERO)))))
    }));
    let memory = Fit::of(&sizes.map(|endpoints| (endpoints as f64, allocated(|| owner(endpoints)).1)));
    let mut busy = owner(15);
    let per_request = Fit::of(&[100, 300, 600].map(|count| {
        let before = busy.queued();
        let bytes = allocated(|| {
            for _ in 0..count {
                n += 1;
                busy.request(Time::ZERO, grant_request(n), Time::NEVER);
            }
        })
        .1;
        ((before + count) as f64, bytes / count as f64)
    }));
    print_fit("owner: ask, first token and end of a request, by endpoints", "s", &time);
    print_fit("owner: one tick, by endpoints", "s", &tick);
    print_fit("owner: state by endpoints", "B", &memory);
    print_fit("owner: state of one request, by requests there", "B", &per_request);
    let endpoints = ENDPOINTS / NODES;
    let requests = REQUESTS_PER_S / NODES;
    // Reading a load report costs an HTTP exchange, which is counted where whole processes are measured.
    OwnerCost {
        seconds: time.at(endpoints) * requests + tick.at(endpoints) * 10.0,
        memory: memory.at(endpoints) + per_request.at(1_000.0) * requests * 10.0,
        reports: endpoints / 2.0,
    }
}

struct EntryCost {
    seconds: f64,
    bytes: f64,
    memory: f64,
}

/// Cost of an entry: routing by nodes, and the messages of one request.
fn entry_cost() -> EntryCost {
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
        let taken = best_seconds(2_000, || {
            drop(black_box(router.candidates(Time::ZERO, &model, Class::Short, Some(7))));
        });
        (n as f64, taken)
    }));
    let memory = Fit::of(&SIZES.map(|n| {
        let peers = peers(n);
        (n as f64, allocated(|| router(&peers)).1)
    }));
    let granted = OwnerMessage::Granted {
        endpoint: "e1234".into(),
        zone: "z1".into(),
        address: "10.1.2.3:8000".into(),
        waited: Duration::ZERO,
        summary: Summary { free: 12, wait: Duration::from_millis(90) },
    };
    let request_bytes =
        encoded_size(&Request::Ask { ask: grant_request(1), remaining: Duration::from_mins(1) })
            + encoded_size(&granted)
            + encoded_size(&EntryMessage::Started { cached: Tokens(500), boot: BootId(1) })
            + encoded_size(&EntryMessage::Ended(End::Done));
    print_fit("entry: one routing decision, by nodes", "s", &time);
    print_fit("entry: routing state, by nodes", "B", &memory);
    println!(
        "| entry: messages of one request to its owner | {request_bytes:.0} B | one measured message of each kind |"
    );
    let requests = REQUESTS_PER_S / NODES;
    EntryCost {
        seconds: time.at(NODES) * requests,
        bytes: request_bytes * requests,
        memory: memory.at(NODES),
    }
}

/// Cost of ownership: one pass over all endpoints when a member joins or leaves.
fn ownership_cost() -> (f64, f64) {
    let zones: Vec<ZoneId> = (0..12).map(|i| format!("z{i}").as_str().into()).collect();
    let pass = |n: usize| {
        let instances: Vec<(InstanceId, &ZoneId)> =
            (0..n).map(|i| (format!("i{i}").as_str().into(), &zones[i % 12])).collect();
        let time = best_seconds(200, || {
            let _ = black_box(rendezvous::owner("e1234", &zones[3], instances.iter().map(|(i, z)| (i, *z))));
        });
        (n as f64, time)
    };
    let time = Fit::of(&SIZES.map(pass));
    print_fit("ownership: one endpoint's owner, by nodes", "s", &time);
    // Each failure and each restart changes the owners twice, and each change recomputes the owners of all endpoints.
    let whole = time.at(NODES) * ENDPOINTS;
    (whole, whole * CHURN_PER_S * 2.0)
}

fn verdict(value: f64, bound: f64) -> &'static str {
    if value <= bound { "fits" } else { "**does not fit**" }
}

fn main() {
    if !std::env::args().any(|a| a == "--bench") {
        return;
    }
    println!("| slope | fit | points |\n|---|---|---|");
    let members = member_cost();
    let config = config_cost();
    let owner = owner_cost();
    let entry = entry_cost();
    let (pass, ownership) = ownership_cost();
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
        ("endpoint owner", owner.seconds, owner.memory, 0.0, "rendezvous hash, exact windows"),
        ("ownership passes", ownership, 0.0, 0.0, "rendezvous hash over all endpoints"),
        ("entry (routing)", entry.seconds, entry.memory, 0.0, "four candidates, summaries on grants"),
    ];
    let (mut cpu, mut memory, mut bytes) = (0.0, 0.0, 0.0);
    for (role, seconds, state, sent, how) in rows {
        println!("| {role} | {:.4} | {:.0} | {:.3} | {how} |", core(seconds), kb(state), kb(sent));
        cpu += seconds;
        memory += state;
        bytes += sent;
    }
    println!("| sum | {:.4} | {:.0} | {:.3} | |", core(cpu), kb(memory), kb(bytes));
    let (cpu, memory_fits) = (core(cpu), verdict(memory, MEMORY_MAX_BYTES));
    println!(
        "| bound | {CPU_MAX_PERCENT} ({}) | {:.0} ({memory_fits}) | {} ({}) | |",
        verdict(cpu, CPU_MAX_PERCENT),
        kb(MEMORY_MAX_BYTES),
        kb(TRAFFIC_MAX_BYTES_PER_S),
        verdict(bytes, TRAFFIC_MAX_BYTES_PER_S)
    );
    println!(
        "\nNot counted as control, on the request path: {:.1} kB/s of messages between entry and owner per node,",
        kb(entry.bytes)
    );
    println!(
        "{:.0} requests/s and {:.0} tokens/s through each entry, {:.1} load reports/s read by each owner.",
        REQUESTS_PER_S / NODES,
        TOKENS_PER_S / NODES,
        owner.reports
    );
    println!("One pass over all endpoints takes {:.1} ms.", pass * 1e3);
}
