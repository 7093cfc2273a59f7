//! Endpoints that name a limit of the requests that they take from all instances together.

mod common;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use chestnutstage_core::ids::{InstanceId, ZoneId};
use chestnutstage_core::planners::{Candidate, Planners};
use chestnutstage_gateway::external::{Fact, Topic};
use common::backend::{Backend, END, Reply, answer, stream, success};
use common::external::FakeStore;
use common::{Harness, catalog, listing};
use futures::future::join_all;
use reqwest::{Method, StatusCode};
use tokio::time::{interval, sleep};

/// Time from the first response that names a limit until the limit has to hold, the users' bound.
const IN_FORCE_AFTER: Duration = Duration::from_secs(3);
/// Window of the users' bound.
const WINDOW: Duration = Duration::from_secs(4);

/// A success that names a limit.
fn limited(limit: &str) -> Reply {
    Reply::Bytes(answer("200 OK", &format!("x-seal: s\r\nx-limit: {limit}\r\n"), "done"))
}

/// Largest number of requests that an endpoint may get within [`WINDOW`], the users' bound.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Largest number of requests in any [`WINDOW`] that begins after the time `from`.
fn largest_window(backend: &Backend, from: Instant) -> usize {
    let times: Vec<_> = backend.arrivals.lock().unwrap().iter().copied().filter(|t| *t >= from).collect();
    let within = |start: &Instant| times.iter().filter(|t| *t >= start && **t < *start + WINDOW).count();
    times.iter().map(within).max().unwrap_or_default()
}

fn arrived_since(backend: &Backend, from: Instant) -> usize {
    backend.arrivals.lock().unwrap().iter().filter(|t| **t >= from).count()
}

/// Instances that share a store and know each other.
async fn instances(names: &[&str], backends: &[Arc<Backend>]) -> Vec<Harness> {
    let store = Arc::new(FakeStore::default());
    store.publish(Topic::Operators, vec![Fact::Catalog(Box::new(catalog(1)))]);
    for (number, backend) in backends.iter().enumerate() {
        let listed = listing(&format!("d{number}"), "desk", backend.address);
        store.publish(Topic::Endpoints, vec![Fact::Listed(listed)]);
    }
    let mut harnesses = Vec::new();
    for name in names {
        let harness = Harness::with_store(name, store.clone()).await;
        harness.until_ready().await;
        harnesses.push(harness);
    }
    while store.published(Topic::Members).len() < names.len() {
        sleep(Duration::from_millis(10)).await;
    }
    sleep(Duration::from_millis(500)).await;
    harnesses
}

/// Sends a request every `pause` to each instance during `time`; returns the statuses with the time that each response took.
async fn load(harnesses: &[Harness], pause: Duration, time: Duration) -> Vec<(StatusCode, Duration)> {
    let until = Instant::now() + time;
    let callers = harnesses.iter().map(|harness| async move {
        let mut ticks = interval(pause);
        let mut responses = Vec::new();
        while Instant::now() < until {
            ticks.tick().await;
            let sent = Instant::now();
            let response = harness.request(Method::GET, "/look/x").send().await.unwrap();
            if response.status() == StatusCode::SERVICE_UNAVAILABLE {
                assert!(response.headers().contains_key("retry-after"));
            }
            responses.push((response.status(), sent.elapsed()));
        }
        responses
    });
    join_all(callers).await.into_iter().flatten().collect()
}

/// An endpoint that names a limit gets no more from all instances together, nearly what it asked for, and nobody is refused while
/// others take the rest.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limit_over_all_instances() {
    let limit = 1.4;
    let backends = [Backend::start(vec![limited("1.4")]).await, Backend::start(vec![success("done")]).await];
    let harnesses = instances(&["i1", "i2", "i3"], &backends).await;
    let from = Instant::now() + IN_FORCE_AFTER;
    let responses = load(&harnesses, Duration::from_millis(40), IN_FORCE_AFTER + WINDOW * 2).await;
    assert!(responses.iter().all(|(status, _)| *status == StatusCode::OK));
    let most = largest_window(&backends[0], from);
    assert!(most <= allowed(limit), "{most} requests within 4 s at a limit of {limit}");
    let got = arrived_since(&backends[0], from) as f64 / (WINDOW * 2).as_secs_f64();
    assert!(got >= limit / 2.0, "{got} requests a second at a limit of {limit}");
}

/// Instances that are no planners tell one of the limit and get permits from it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limit_among_entries() {
    let limit = 1.4;
    let backends = [Backend::start(vec![limited("1.4")]).await, Backend::start(vec![success("done")]).await];
    let names: Vec<_> = (0..20).map(|number| format!("i{number}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let mut harnesses = instances(&names, &backends).await;
    let ids: Vec<_> = names.iter().map(|name| InstanceId::from(*name)).collect();
    let zone = ZoneId::from("a");
    let planners = Planners::select(ids.iter().map(|id| Candidate { id, zone: &zone, capacity: 1_000 }));
    harnesses.sort_by_key(|harness| planners.contains(&harness.name));
    let entries = &harnesses[..names.len() - planners.count()];
    let from = Instant::now() + IN_FORCE_AFTER;
    let responses = load(entries, Duration::from_millis(300), IN_FORCE_AFTER + WINDOW).await;
    assert!(responses.iter().all(|(status, _)| *status == StatusCode::OK));
    let most = largest_window(&backends[0], from);
    assert!(most <= allowed(limit), "{most} requests within 4 s at a limit of {limit}");
    assert!(most >= 2, "{most} requests within 4 s");
}

/// Once an endpoint names no limit any more, it gets its part of the load again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limit_lifted() {
    let replies = std::iter::repeat_n(limited("2"), 12).chain([success("done")]).collect();
    let backends = [Backend::start(replies).await, Backend::start(vec![success("done")]).await];
    let harnesses = instances(&["i1", "i2"], &backends).await;
    let started = Instant::now();
    while backends[0].requests().len() < 60 {
        load(&harnesses, Duration::from_millis(20), Duration::from_millis(200)).await;
        assert!(started.elapsed() < Duration::from_secs(20), "{} requests", backends[0].requests().len());
    }
    assert!(started.elapsed() > Duration::from_secs(2), "at a limit of 2 a second");
}

/// Requests that were under way before the limit was known do not leave in one burst afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn burst_of_callers() {
    let limit = 1.4;
    let backends = [Backend::start(vec![limited("1.4")]).await];
    let harnesses = instances(&["i1", "i2", "i3"], &backends).await;
    assert_eq!(harnesses[0].status(Method::GET, "/look/x").await, StatusCode::OK);
    sleep(IN_FORCE_AFTER).await;
    let from = Instant::now();
    let bursts = harnesses.iter().cycle().take(60).map(|harness| harness.status(Method::GET, "/look/x"));
    let statuses = join_all(bursts).await;
    assert!(
        statuses.iter().all(|s| [StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE].contains(s)),
        "{statuses:?}"
    );
    sleep(Duration::from_millis(500)).await;
    let got = arrived_since(&backends[0], from);
    assert!(got <= allowed(limit), "{got} requests at once at a limit of {limit}");
}

/// A prompt that waits for memory while its engine names a limit is not sent without a permit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn placed_before_limit() {
    let limited = (stream(1..=3) + END).replace("x-seal: s\r\n", "x-seal: s\r\nx-limit: 0.2\r\n");
    let mut backends = Vec::new();
    let mut listings = Vec::new();
    for id in ["e1", "e2"] {
        let backend = Backend::start(vec![Reply::Bytes(limited.clone())]).await;
        listings.push(listing(id, "llm", backend.address));
        backends.push(backend);
    }
    let harness = Harness::start(listings).await;
    harness.engines.held.store(true, Ordering::SeqCst);
    let post = |tokens: &'static str| {
        let request = harness.request(Method::POST, "/archive/x").header("x-tokens", tokens);
        request.header("x-remaining", "60000").send()
    };
    let long = tokio::spawn(post("400000"));
    while harness.engines.asked.load(Ordering::SeqCst) == 0 {
        sleep(Duration::from_millis(1)).await;
    }
    while backends.iter().any(|backend| backend.requests().is_empty()) {
        post("100").await.unwrap();
    }
    harness.engines.held.store(false, Ordering::SeqCst);
    assert_eq!(long.await.unwrap().unwrap().status(), StatusCode::SERVICE_UNAVAILABLE);
    let sent = backends.iter().flat_map(|backend| backend.requests());
    assert!(sent.into_iter().all(|request| !request.contains("x-tokens: 400000")));
}

/// If all endpoints of a service name limits, the rest is refused at once, with the time to come back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn load_above_all_limits() {
    let limit = 4.0;
    let backends = [Backend::start(vec![limited("4")]).await, Backend::start(vec![limited("4")]).await];
    let harnesses = instances(&["i1", "i2", "i3"], &backends).await;
    let from = Instant::now() + IN_FORCE_AFTER;
    let responses = load(&harnesses, Duration::from_millis(50), IN_FORCE_AFTER + WINDOW).await;
    for backend in &backends {
        let most = largest_window(backend, from);
        assert!(most <= allowed(limit), "{most} requests within 4 s at a limit of {limit}");
        assert!(most as f64 >= limit * WINDOW.as_secs_f64() / 2.0, "{most} requests within 4 s");
    }
    let mut refused = responses.iter().filter(|(status, _)| *status != StatusCode::OK).peekable();
    assert!(refused.peek().is_some());
    for (status, took) in refused {
        assert_eq!(*status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(*took < Duration::from_millis(500), "refused after {took:?}");
    }
}
