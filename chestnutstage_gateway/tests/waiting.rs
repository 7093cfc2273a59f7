//! Requests that wait for a place, and the turns of those that were refused.

mod common;

use std::sync::Arc;
use std::time::Duration;

use chestnutstage_core::catalog::{Catalog, Repeat, Route, Target};
use chestnutstage_core::ids::InstanceId;
use chestnutstage_core::pool::Listing;
use chestnutstage_core::waiting::Mode;
use chestnutstage_gateway::external::{Fact, Topic};
use common::backend::{Backend, END, Reply, event, stream, success};
use common::external::FakeStore;
use common::fleet::{Fleet, state};
use common::{Harness, catalog, listing, route, settings};
use reqwest::{Method, Response, StatusCode};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Slots of the engine in each test.
const SLOTS: usize = 2;

fn prompt_route(name: &str, rank: u8, first: Duration) -> Route {
    let target = Target { first, gap: Duration::from_millis(250) };
    Route { rank, target, timeout: Duration::from_secs(30), ..route(name, Repeat::Stream, "llm") }
}

/// Prompts of two ranks, and some that can't wait because their target is too short.
fn ranked() -> Catalog {
    let long = Duration::from_secs(20);
    let routes = vec![
        prompt_route("urgent", 0, long),
        prompt_route("usual", 1, long),
        prompt_route("second", 1, Duration::from_secs(1)),
        prompt_route("brief", 1, Duration::from_millis(100)),
    ];
    Catalog { routes, ..catalog(1) }
}

fn held() -> Reply {
    Reply::Hang(stream(1..=1))
}

fn complete() -> Reply {
    Reply::Bytes(stream(1..=1) + END)
}

struct Engine {
    backend: Arc<Backend>,
    harness: Arc<Harness>,
    /// Responses that hold the slots.
    held: Vec<Response>,
}

impl Engine {
    /// Starts an instance with an engine whose slots are taken; `replies` are those to further requests.
    async fn full(catalog: Catalog, mode: Mode, replies: Vec<Reply>) -> Self {
        let replies = [vec![held(); SLOTS], replies].concat();
        let backend = Backend::start(replies).await;
        let store = Arc::new(FakeStore::default());
        store.publish(Topic::Operators, vec![Fact::Catalog(Box::new(catalog))]);
        let engine = Listing { slots: SLOTS as u32, ..listing("e1", "llm", backend.address) };
        store.publish(Topic::Endpoints, vec![Fact::Listed(engine)]);
        let mut settings = settings("i1");
        settings.admission.waiting = mode;
        let harness = Arc::new(Harness::with_settings(settings, store).await);
        harness.until_ready().await;
        let mut engine = Self { backend, harness, held: Vec::new() };
        for _ in 0..SLOTS {
            let response = call(&engine.harness, "usual", "held").await;
            assert_eq!(response.status(), StatusCode::OK);
            engine.held.push(response);
        }
        engine
    }

    fn call(&self, route: &str, body: &'static str) -> JoinHandle<Response> {
        let (harness, route) = (self.harness.clone(), route.to_owned());
        tokio::spawn(async move { call(&harness, &route, body).await })
    }

    async fn until_state(&self, text: &str) {
        while !state(&self.harness).await.contains(text) {
            sleep(Duration::from_millis(2)).await;
        }
    }

    async fn until_requests(&self, count: usize) -> Vec<String> {
        while self.backend.requests().len() < count {
            sleep(Duration::from_millis(2)).await;
        }
        self.backend.requests()
    }
}

async fn call(harness: &Harness, route: &str, body: &'static str) -> Response {
    let request = harness.request(Method::POST, &format!("/{route}/x")).header("x-tokens", "100");
    request.body(body).send().await.unwrap()
}

fn retry_after(response: &Response) -> Duration {
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    let seconds = response.headers()["retry-after"].to_str().unwrap().parse().unwrap();
    Duration::from_secs_f64(seconds)
}

/// Guards against a refusal although a slot becomes free in time.
#[tokio::test]
async fn answered_after_wait() {
    let mut engine = Engine::full(ranked(), Mode::ByRank, vec![complete()]).await;
    let call = engine.call("usual", "next");
    engine.until_state("waiting = 1\n").await;
    assert_eq!(engine.backend.requests().len(), SLOTS, "a waiting request is not sent");
    engine.held.pop();
    assert_eq!(call.await.unwrap().status(), StatusCode::OK);
    assert!(engine.until_requests(SLOTS + 1).await[SLOTS].contains("next"));
    engine.until_state("waiting = 0\n").await;
}

/// Guards against placement in order of arrival where ranks differ.
#[tokio::test]
async fn higher_priority_first() {
    let mut engine = Engine::full(ranked(), Mode::ByRank, vec![held()]).await;
    let usual = engine.call("usual", "of usual rank");
    engine.until_state("waiting = 1\n").await;
    let urgent = engine.call("urgent", "of urgent rank");
    engine.until_state("waiting = 2\n").await;
    engine.held.pop();
    assert!(urgent.await.unwrap().status().is_success());
    assert!(engine.until_requests(SLOTS + 1).await[SLOTS].contains("of urgent rank"));
    assert!(!usual.is_finished());
    engine.held.pop();
    assert!(usual.await.unwrap().status().is_success());
}

/// Guards against work for callers that have left, and against places that stay reserved for them.
#[tokio::test]
async fn caller_leaves() {
    let mut engine = Engine::full(ranked(), Mode::ByRank, vec![complete()]).await;
    let left = engine.call("usual", "left");
    engine.until_state("waiting = 1\n").await;
    left.abort();
    engine.until_state("waiting = 0\n").await;
    engine.held.clear();
    while state(&engine.harness).await.contains("work: Brief") {
        sleep(Duration::from_millis(2)).await;
    }
    assert!(engine.call("usual", "after").await.unwrap().status().is_success());
    let requests = engine.until_requests(SLOTS + 1).await;
    assert!(requests.iter().all(|request| !request.contains("left")), "nothing reached the endpoint");
}

/// Guards against refused callers that return when told to and are served after those that came since.
#[tokio::test]
async fn returning_before_newcomers() {
    let mut engine = Engine::full(ranked(), Mode::ByRank, vec![held()]).await;
    let _ahead = (engine.call("usual", "ahead 1"), engine.until_state("waiting = 1\n").await);
    // Its forecast start is half a second away, the second one's a second.
    let _more = (engine.call("usual", "ahead 2"), engine.until_state("waiting = 2\n").await);
    let delay = retry_after(&engine.call("second", "refused").await.unwrap());
    engine.until_state("turns = 1\n").await;
    sleep(delay).await;
    let _returned = engine.call("second", "refused");
    engine.until_state("waiting = 3\n").await;
    engine.until_state("turns = 0\n").await;
    engine.held.pop();
    assert!(engine.until_requests(SLOTS + 1).await[SLOTS].contains("refused"));
}

/// Guards against turns for callers that come back early.
#[tokio::test]
async fn early_return() {
    let engine = Engine::full(ranked(), Mode::ByRank, vec![held()]).await;
    let delay = retry_after(&engine.call("brief", "refused").await.unwrap());
    assert!(delay >= Duration::from_millis(300), "{delay:?}");
    let again = retry_after(&engine.call("brief", "refused").await.unwrap());
    assert!(again <= delay.max(Duration::from_millis(300)), "{again:?} after {delay:?}");
    engine.until_state("turns = 1\n").await;
}

/// Whether a request without a place waits.
async fn waits(catalog: Catalog, mode: Mode) -> bool {
    let engine = Engine::full(catalog, mode, vec![complete()]).await;
    let call = engine.call("usual", "next");
    loop {
        let state = state(&engine.harness).await;
        if state.contains("waiting = 1\n") {
            return true;
        }
        if call.is_finished() {
            retry_after(&call.await.unwrap());
            assert!(state.contains("turns = 0\n"), "no turn is kept");
            return false;
        }
    }
}

fn equal_ranks() -> Catalog {
    let mut catalog = ranked();
    catalog.routes.iter_mut().for_each(|route| route.rank = 1);
    catalog
}

/// Guards against other placements where nobody asked for waiting.
#[tokio::test]
async fn refused_without_switch() {
    assert!(waits(ranked(), Mode::ByRank).await);
    assert!(waits(equal_ranks(), Mode::Always).await);
    assert!(!waits(ranked(), Mode::Never).await);
    assert!(!waits(equal_ranks(), Mode::ByRank).await);
}

/// Guards against customers' own ranks that are ignored.
#[tokio::test]
async fn rank_of_customer() {
    let mut catalog = equal_ranks();
    catalog.customers[1].rank = Some(0);
    assert!(waits(catalog, Mode::ByRank).await);
}

/// Guards against plain calls that are refused although an endpoint becomes free in time.
#[tokio::test]
async fn plain_call_waits() {
    // An endpoint also queues two calls for each of its slots.
    const CALLS: usize = 3;
    let backend =
        Backend::start([vec![Reply::Hang(String::new()); CALLS], vec![success("done")]].concat()).await;
    let store = Arc::new(FakeStore::default());
    let target = Target { first: Duration::from_secs(20), ..route("book", Repeat::Once, "desk").target };
    let timeout = Duration::from_secs(30);
    let routes = vec![
        Route { target, timeout, ..route("book", Repeat::Once, "desk") },
        Route { rank: 0, ..route("look", Repeat::Idempotent, "desk") },
    ];
    store.publish(Topic::Operators, vec![Fact::Catalog(Box::new(Catalog { routes, ..catalog(1) }))]);
    let desk = Listing { slots: 1, ..listing("d1", "desk", backend.address) };
    store.publish(Topic::Endpoints, vec![Fact::Listed(desk)]);
    let harness = Harness::with_settings(settings("i1"), store).await;
    harness.until_ready().await;
    let held: Vec<_> =
        (0..CALLS).map(|_| tokio::spawn(harness.request(Method::POST, "/book/x").send())).collect();
    while backend.requests().len() < CALLS {
        sleep(Duration::from_millis(2)).await;
    }
    let next = tokio::spawn(harness.request(Method::POST, "/book/next").send());
    while !state(&harness).await.contains("work=Plain rank=1: 1\n") {
        sleep(Duration::from_millis(2)).await;
    }
    held.iter().for_each(JoinHandle::abort);
    assert_eq!(next.await.unwrap().unwrap().status(), StatusCode::OK);
}

/// Starts a fleet whose engine is full, with a request that waits; returns the name of the planner that holds it.
async fn waiting_fleet(replies: Vec<Reply>) -> (Fleet, Vec<Response>, JoinHandle<Response>, InstanceId) {
    let replies = [vec![held(); SLOTS], replies].concat();
    let fleet = Fleet::start(ranked(), SLOTS as u32, replies).await;
    let mut held = Vec::new();
    for _ in 0..SLOTS {
        held.push(call(fleet.entry(), "usual", "held").await);
    }
    assert!(held.iter().all(|response| response.status().is_success()));
    let request = fleet.entry().request(Method::POST, "/usual/x").header("x-tokens", "100").body("next");
    let next = tokio::spawn(async move { request.send().await.unwrap() });
    let holder = loop {
        if let Some(holder) = holder(&fleet).await {
            break holder;
        }
        sleep(Duration::from_millis(5)).await;
    };
    (fleet, held, next, holder)
}

async fn holder(fleet: &Fleet) -> Option<InstanceId> {
    for planner in fleet.planners() {
        if state(planner).await.contains("waiting = 1\n") {
            return Some(planner.name.clone());
        }
    }
    None
}

/// Guards against requests that wait at the entry instead of the planner, and against planners that keep those of callers that
/// left.
#[tokio::test]
async fn wait_at_planner() {
    let (fleet, held, next, _) = waiting_fleet(vec![complete()]).await;
    next.abort();
    while holder(&fleet).await.is_some() {
        sleep(Duration::from_millis(5)).await;
    }
    drop(held);
    fleet.until_informed(0).await;
    assert_eq!(fleet.backend.requests().len(), SLOTS, "nothing reached the endpoint");
}

/// Guards against requests that are lost, refused or sent twice when the planner at which they wait is lost.
#[tokio::test]
async fn planner_lost_while_waiting() {
    let (mut fleet, held, next, lost) = waiting_fleet(vec![complete()]).await;
    let (_, harness) = fleet.harnesses.iter_mut().find(|(id, _)| *id == lost).unwrap();
    harness.take().unwrap().gateway.shutdown().await;
    while holder(&fleet).await.is_none() {
        assert!(!next.is_finished());
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(fleet.backend.requests().len(), SLOTS);
    drop(held);
    let response = next.await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    assert_eq!(response.text().await.unwrap(), event(1));
    assert_eq!(fleet.backend.requests().len(), SLOTS + 1, "sent once");
}
