//! Instances that have lost their paths to endpoints, while callers, the store and peers reach them.

mod common;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use chestnutstage_core::pool::Listing;
use chestnutstage_gateway::external::{Fact, Topic};
use common::backend::{Backend, END, Reply, stream, success};
use common::external::FakeStore;
use common::path::{Path, PathState, StoreView};
use common::{Harness, catalog, listing, settings};
use reqwest::{Method, StatusCode};
use tokio::time::{sleep, timeout};

/// Requests of each kind that are sent to the instance without paths.
const REQUESTS: usize = 10;
/// Time limit of the calls of plain services.
const DEADLINE_MS: u64 = 600;

/// Two linked instances; the second one reaches each endpoint over a path that can be cut.
struct Fleet {
    sound: Harness,
    cut: Harness,
    desks: Vec<Arc<Backend>>,
    engines: Vec<Arc<Backend>>,
    paths: Vec<Path>,
}

impl Fleet {
    /// Starts the instances with two endpoints each of the plain service and of the engines' service.
    async fn start(desk: &Reply, engine: &Reply) -> Self {
        let (mut desks, mut engines, mut paths) = (Vec::new(), Vec::new(), Vec::new());
        let mut listed = Vec::new();
        for number in 0..2 {
            desks.push(Backend::start(vec![desk.clone()]).await);
            engines.push(Backend::start(vec![engine.clone()]).await);
            listed.push(Fact::Listed(listing(&format!("d{number}"), "desk", desks[number].address)));
            listed.push(Fact::Listed(listing(&format!("e{number}"), "llm", engines[number].address)));
        }
        let addresses: Vec<_> = desks.iter().chain(&engines).map(|backend| backend.address).collect();
        paths.extend(addresses.iter().map(|address| Path::open(*address)));
        let store = Arc::new(FakeStore::default());
        store.by_topic.store(true, Ordering::SeqCst);
        store.publish(Topic::Operators, vec![Fact::Catalog(Box::new(catalog(1)))]);
        store.publish(Topic::Endpoints, listed);
        let view = StoreView::new(store.clone(), &addresses.into_iter().zip(&paths).collect::<Vec<_>>());
        let sound = Harness::with_store("i1", store.clone()).await;
        let cut = Harness::with_registry(settings("i2"), store, view).await;
        let fleet = Self { sound, cut, desks, engines, paths };
        fleet.sound.until_ready().await;
        fleet.cut.until_ready().await;
        while !(is_linked(&fleet.sound).await && is_linked(&fleet.cut).await) {
            sleep(Duration::from_millis(10)).await;
        }
        fleet
    }

    async fn cut_paths(&self, state: PathState) {
        let engines = self.paths.iter().map(|path| path.address).filter(|_| state != PathState::Open);
        *self.cut.engines.unresponsive.lock().unwrap() = engines.collect();
        for path in &self.paths {
            path.set(state).await;
        }
    }

    /// Number of requests that reached the endpoints.
    fn arrived(&self) -> usize {
        self.desks.iter().chain(&self.engines).map(|backend| backend.requests().len()).sum()
    }

    /// Statuses of calls of a plain service at the instance without paths.
    async fn call(&self, method: Method, path: &str) -> Vec<Option<StatusCode>> {
        let mut statuses = Vec::new();
        for _ in 0..REQUESTS {
            let request = self.cut.request(method.clone(), path).header("x-remaining", DEADLINE_MS);
            let response = timeout(Duration::from_millis(DEADLINE_MS), request.send()).await;
            statuses.push(response.ok().map(|response| response.unwrap().status()));
        }
        statuses
    }

    /// Texts of streams at the instance without paths; `None` where one broke or did not end in time.
    async fn stream(&self) -> Vec<Option<String>> {
        let mut texts = Vec::new();
        for _ in 0..REQUESTS {
            let request = self.cut.request(Method::POST, "/chat/x").header("x-tokens", "100");
            let text = async { request.send().await.ok()?.text().await.ok() };
            texts.push(timeout(Duration::from_secs(1), text).await.ok().flatten());
        }
        texts
    }
}

async fn state(harness: &Harness) -> String {
    let url = format!("http://{}/state", harness.gateway.listen_addresses().checks);
    harness.http.get(url).send().await.unwrap().text().await.unwrap()
}

/// Whether an instance knows another one as linked: the pool holds a peer.
async fn is_linked(harness: &Harness) -> bool {
    !state(harness).await.contains("peers: {},")
}

fn whole_stream() -> Reply {
    Reply::Bytes(stream(1..=3) + END)
}

async fn serve_without_paths(lost: PathState) {
    let fleet = Fleet::start(&success("done"), &whole_stream()).await;
    fleet.cut_paths(lost).await;
    let before = fleet.arrived();
    for (method, path) in [(Method::GET, "/look/x"), (Method::POST, "/book/x")] {
        let statuses = fleet.call(method, path).await;
        assert_eq!(statuses, [Some(StatusCode::OK); REQUESTS], "{path}");
    }
    let expected: String = (1..=3).map(common::backend::event).collect();
    assert_eq!(fleet.stream().await, vec![Some(expected); REQUESTS]);
    assert_eq!(fleet.arrived() - before, 3 * REQUESTS, "each request ran once");
}

#[tokio::test]
async fn refused_paths() {
    serve_without_paths(PathState::Refused).await;
}

#[tokio::test]
async fn hung_paths() {
    serve_without_paths(PathState::Hung).await;
}

/// Number of endpoints that are or were in backoff at an instance.
async fn backoffs(harness: &Harness) -> usize {
    let state = state(harness).await;
    let lines: Vec<_> = state.lines().map(str::trim).collect();
    let times = lines.windows(2).filter(|pair| pair[0] == "paused_until: Time(");
    let untouched = times.filter(|pair| pair[1] == "0ns,").count();
    state.matches("paused_until").count() - untouched
}

/// Failures that are the path's own must not keep other instances from endpoints that are sound for them.
#[tokio::test]
async fn peers_undisturbed() {
    let fleet = Fleet::start(&success("done"), &whole_stream()).await;
    assert_eq!(backoffs(&fleet.sound).await, 0);
    fleet.cut_paths(PathState::Refused).await;
    let until = Instant::now() + Duration::from_secs(2);
    while Instant::now() < until {
        fleet.call(Method::GET, "/look/x").await;
        assert_eq!(backoffs(&fleet.sound).await, 0, "no endpoint is in backoff at the sound instance");
        sleep(Duration::from_millis(100)).await;
    }
}

/// Waits until the dump of an instance says whether it is cut off.
async fn until_cut_off(harness: &Harness, cut_off: bool) {
    let told = async {
        while !state(harness).await.contains(&format!("cut_off = {cut_off}\n")) {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(3), told).await.expect("paths are checked");
}

/// Without requests, only probes tell that the paths are back.
#[tokio::test]
async fn paths_return() {
    let fleet = Fleet::start(&success("done"), &whole_stream()).await;
    fleet.cut_paths(PathState::Refused).await;
    fleet.call(Method::GET, "/look/x").await;
    until_cut_off(&fleet.cut, true).await;
    let before = fleet.arrived();
    fleet.cut_paths(PathState::Open).await;
    until_cut_off(&fleet.cut, false).await;
    assert_eq!(fleet.arrived(), before, "no request is spent on finding out");
    let statuses = fleet.call(Method::GET, "/look/x").await;
    assert_eq!(statuses, [Some(StatusCode::OK); REQUESTS]);
}

/// Open connections go on while new ones hang.
#[tokio::test]
async fn open_connections_live() {
    let fleet = Fleet::start(&success("done"), &whole_stream()).await;
    fleet.call(Method::GET, "/look/x").await;
    fleet.cut_paths(PathState::HungForNew).await;
    for method in [Method::GET, Method::POST] {
        let path = if method == Method::GET { "/look/x" } else { "/book/x" };
        let statuses = fleet.call(method, path).await;
        assert_eq!(statuses, [Some(StatusCode::OK); REQUESTS], "{path}");
    }
}

/// If no peer has a path either, requests are refused at once, and the balancer sends no more.
#[tokio::test]
async fn nobody_has_paths() {
    let fleet = Fleet::start(&success("done"), &whole_stream()).await;
    fleet.cut_paths(PathState::Refused).await;
    let gone = tokio::spawn(fleet.sound.gateway.shutdown());
    fleet.cut.call_until_unready().await;
    let started = Instant::now();
    let response = fleet.cut.request(Method::POST, "/book/x").send().await.unwrap();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers().contains_key("retry-after"));
    assert!(started.elapsed() < Duration::from_millis(300), "refused without a try");
    gone.await.unwrap();
}

impl Harness {
    /// Sends calls until the instance is not ready.
    async fn call_until_unready(&self) {
        let unready = async {
            while self.ready().await {
                self.status(Method::GET, "/look/x").await;
            }
        };
        timeout(Duration::from_secs(8), unready).await.expect("an instance without any path is not ready");
    }
}

/// One endpoint that is down is no lost path: it is in backoff at every instance.
#[tokio::test]
async fn endpoint_down() {
    let fleet = Fleet::start(&success("done"), &whole_stream()).await;
    let down = unused_address().await;
    let listed = Fact::Listed(listing("d9", "desk", down));
    fleet.sound.store.publish(Topic::Endpoints, vec![listed]);
    let booked = async {
        while backoffs(&fleet.cut).await == 0 || backoffs(&fleet.sound).await == 0 {
            fleet.cut.status(Method::GET, "/look/x").await;
        }
    };
    timeout(Duration::from_secs(5), booked).await.expect("the failure is known at both instances");
    assert!(state(&fleet.cut).await.contains("cut_off = false\n"));
}

/// Address at which nobody listens.
async fn unused_address() -> std::net::SocketAddr {
    tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

/// A connection that a peer relays breaks as one of the instance's own does.
#[tokio::test]
async fn relayed_response_cut() {
    let head = "HTTP/1.1 200 OK\r\nx-attempt: attempt-1\r\nx-seal: s\r\n";
    let cut = Reply::Truncate(format!("{head}content-length: 500\r\n\r\nhalf"));
    let fleet = Fleet::start(&cut, &Reply::Truncate(stream(1..=2))).await;
    fleet.cut_paths(PathState::Refused).await;
    let statuses = fleet.call(Method::POST, "/book/x").await;
    assert_eq!(statuses, [Some(StatusCode::BAD_GATEWAY); REQUESTS], "the request may have run");
    let texts = fleet.stream().await;
    assert_eq!(texts, vec![None; REQUESTS], "a stream that was cut does not look complete");
}

/// The endpoint learns at once that the caller has left, although a peer relays the connection.
#[tokio::test]
async fn caller_leaves() {
    let fleet = Fleet::start(&success("done"), &Reply::Hang(stream(1..=1))).await;
    fleet.cut_paths(PathState::Refused).await;
    let request = fleet.cut.request(Method::POST, "/chat/x").header("x-tokens", "100");
    let mut response = request.send().await.unwrap();
    assert!(response.chunk().await.unwrap().is_some());
    drop(response);
    let closed = fleet.engines.iter().map(|engine| Box::pin(engine.closed.notified()));
    let closed = futures::future::select_all(closed);
    timeout(Duration::from_millis(500), closed).await.expect("within the users' bound");
}

/// Probes a second that an instance may spend on finding out about its paths.
const PROBES_PER_SECOND_MAX: usize = 5;

/// An endpoint that stays down does not make the instances connect to the others again and again.
#[tokio::test]
async fn probes_bounded() {
    let fleet = Fleet::start(&success("done"), &whole_stream()).await;
    let listed = Fact::Listed(listing("d9", "desk", unused_address().await));
    fleet.sound.store.publish(Topic::Endpoints, vec![listed]);
    while backoffs(&fleet.cut).await == 0 {
        fleet.cut.status(Method::GET, "/look/x").await;
    }
    let accepted = || -> usize {
        let backends = fleet.desks.iter().chain(&fleet.engines);
        backends.map(|backend| backend.accepted.load(Ordering::SeqCst)).sum()
    };
    let before = accepted();
    sleep(Duration::from_secs(2)).await;
    let probes = accepted() - before;
    assert!(probes <= 2 * 2 * PROBES_PER_SECOND_MAX, "{probes} connections in 2 s from two instances");
}

/// Peers that are cut off as well, two of three here, don't keep a request from the one that has paths.
#[tokio::test]
async fn most_cut_off() {
    let fleet = Fleet::start(&success("done"), &whole_stream()).await;
    let endpoints = fleet.desks.iter().chain(&fleet.engines).map(|backend| backend.address);
    let view = StoreView::new(fleet.sound.store.clone(), &endpoints.zip(&fleet.paths).collect::<Vec<_>>());
    let third = Harness::with_registry(settings("i3"), fleet.sound.store.clone(), view).await;
    third.until_ready().await;
    let linked = |state: String| state.matches("heard: ").count() >= 2;
    while !(linked(state(&third).await) && linked(state(&fleet.cut).await)) {
        sleep(Duration::from_millis(10)).await;
    }
    fleet.cut_paths(PathState::Hung).await;
    for (method, path) in [(Method::GET, "/look/x"), (Method::POST, "/book/x")] {
        let statuses = fleet.call(method.clone(), path).await;
        assert_eq!(statuses, [Some(StatusCode::OK); REQUESTS], "{path}");
        let request = third.request(method, path).header("x-remaining", DEADLINE_MS).send();
        let response = timeout(Duration::from_millis(DEADLINE_MS), request).await.expect("within its time");
        assert_eq!(response.unwrap().status(), StatusCode::OK, "{path}");
    }
}

/// A peer that shuts down waits for the connections that it relays.
#[tokio::test]
async fn relaying_peer_leaves() {
    let rest = stream(1..=2).split_off(stream(1..=1).len()) + END;
    let pause = Reply::Pause(Duration::from_millis(900), stream(1..=1), rest);
    let fleet = Fleet::start(&success("done"), &pause).await;
    fleet.cut_paths(PathState::Refused).await;
    let request = fleet.cut.request(Method::POST, "/chat/x").header("x-tokens", "100");
    let response = request.send().await.unwrap();
    let leaving = tokio::spawn(fleet.sound.gateway.shutdown());
    assert_eq!(response.text().await.unwrap(), common::backend::event(1) + &common::backend::event(2));
    leaving.await.unwrap();
}

/// Endpoints in the zone that goes dark; more than are asked whether the instance itself is cut off.
const DARK: usize = 6;
/// Calls that are sent at once.
const BURST: usize = 24;

/// A zone that goes dark is no lost path: its endpoints are in backoff, and connections to the others stay direct. Its endpoints
/// fail all at once here, and most of the others that could be asked are in the same zone.
#[tokio::test]
async fn dark_zone() {
    let (mut backends, mut paths, mut listed) = (Vec::new(), Vec::new(), Vec::new());
    for number in 0..DARK + 2 {
        let backend = Backend::start(vec![success("done")]).await;
        let zone = if number < DARK { "a" } else { ["b", "c"][number - DARK] };
        let desk = Listing { zone: zone.into(), ..listing(&format!("d{number}"), "desk", backend.address) };
        listed.push(Fact::Listed(desk));
        // The others are reached without a path, whose queue is too short for a burst.
        if number < DARK {
            paths.push(Path::open(backend.address));
        }
        backends.push(backend);
    }
    let store = Arc::new(FakeStore::default());
    store.by_topic.store(true, Ordering::SeqCst);
    store.publish(Topic::Operators, vec![Fact::Catalog(Box::new(catalog(1)))]);
    store.publish(Topic::Endpoints, listed);
    let addresses = backends.iter().map(|backend| backend.address);
    let view = StoreView::new(store.clone(), &addresses.zip(&paths).collect::<Vec<_>>());
    let peer = Harness::with_registry(settings("i1"), store.clone(), view.clone()).await;
    let instance = Harness::with_registry(settings("i2"), store, view).await;
    for harness in [&peer, &instance] {
        harness.until_ready().await;
        while !is_linked(harness).await {
            sleep(Duration::from_millis(10)).await;
        }
    }
    for dark in &paths {
        dark.set(PathState::Hung).await;
    }
    let calls = async {
        let mut statuses = Vec::new();
        while backoffs(&instance).await < DARK {
            let burst = (0..BURST).map(|_| instance.status(Method::GET, "/look/x"));
            statuses.extend(futures::future::join_all(burst).await);
        }
        // The rest of the time that the endpoints need to be probed once more.
        sleep(Duration::from_secs(1)).await;
        statuses
    };
    let statuses = timeout(Duration::from_secs(15), calls).await.expect("failures are booked");
    // Counted rather than polled, since a cut that is not one lasts only until another endpoint is reached.
    assert!(state(&instance).await.contains("cuts = 0\n"), "two zones are reached");
    assert!(statuses.iter().all(|status| *status == StatusCode::OK), "{statuses:?}");
    assert_eq!(backoffs(&instance).await, DARK, "endpoints of the other zones are in no backoff");
}
