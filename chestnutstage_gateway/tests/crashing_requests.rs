//! Requests that end every endpoint which begins to run them.

mod common;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chestnutstage_gateway::external::{Fact, Topic};
use common::backend::{Backend, END, Reply, answer, stream};
use common::external::FakeStore;
use common::{Harness, OTHER_KEY, catalog, listing};
use futures::future::join_all;
use reqwest::{Method, RequestBuilder, StatusCode};
use tokio::time::{Instant, sleep};

/// Time after the third end from which the sends count, the users' bound.
const COUNTED_AFTER: Duration = Duration::from_secs(3);
/// Sends that may still reach endpoints then, over all instances together, the users' bound.
const COUNTED_MAX: usize = 3;
/// Header that makes an endpoint end, beside what a request asks for.
const CRASH: &str = "x-crash";

/// Endpoints of a service and instances that share a store.
struct Fleet {
    backends: Vec<Arc<Backend>>,
    store: Arc<FakeStore>,
    instances: Vec<Harness>,
}

impl Fleet {
    /// Starts two instances before 12 endpoints, which end with these bytes under a request with the header [`CRASH`].
    async fn start(service: &str, cut: &str) -> Self {
        let served =
            if service == "llm" { stream(1..=5) + END } else { answer("200 OK", "x-seal: s\r\n", "done") };
        let store = Arc::new(FakeStore::default());
        store.publish(Topic::Operators, vec![Fact::Catalog(Box::new(catalog(1)))]);
        let mut backends = Vec::new();
        for number in 0..12 {
            let reply = Reply::CrashOn(CRASH, served.clone(), cut.to_owned());
            let backend = Backend::start(vec![reply]).await;
            let listed = listing(&format!("b{number}"), service, backend.address);
            store.publish(Topic::Endpoints, vec![Fact::Listed(listed)]);
            backends.push(backend);
        }
        let mut fleet = Self { backends, store, instances: Vec::new() };
        fleet.add("i1").await;
        fleet.add("i2").await;
        while fleet.store.published(Topic::Members).len() < 2 {
            sleep(Duration::from_millis(10)).await;
        }
        fleet
    }

    /// Starts another instance, for which ended endpoints can't be connected to.
    async fn add(&mut self, name: &str) {
        let instance = Harness::with_store(name, self.store.clone()).await;
        instance.until_ready().await;
        instance.engines.unresponsive.lock().unwrap().extend(self.backends.iter().map(|b| b.address));
        self.instances.push(instance);
    }

    /// Number of requests with the header [`CRASH`] that reached endpoints.
    fn reached(&self) -> usize {
        self.backends.iter().flat_map(|b| b.requests()).filter(|r| r.contains(CRASH)).count()
    }

    /// Number of endpoints that have ended.
    fn ended(&self) -> usize {
        self.backends.iter().filter(|b| b.requests().iter().any(|r| r.contains(CRASH))).count()
    }

    /// Sends the request to one instance after the other until three endpoints have ended under it. They can't be restarted here, so
    /// that one that has ended may get it again.
    async fn end_three(&self, request: impl Fn(&Harness) -> RequestBuilder) {
        let mut number = 0;
        while self.ended() < 3 {
            request(&self.instances[number % 2]).header(CRASH, "1").send().await.unwrap();
            number += 1;
        }
    }
}

fn look(instance: &Harness) -> RequestBuilder {
    instance.request(Method::GET, "/look/x?item=7").body("mould 7")
}

async fn status(request: RequestBuilder) -> StatusCode {
    request.send().await.unwrap().status()
}

#[tokio::test]
async fn third_end_stops_sends() {
    let fleet = Fleet::start("desk", "").await;
    fleet.end_three(look).await;
    sleep(COUNTED_AFTER).await;
    let before = fleet.reached();
    let mut responses = Vec::new();
    for instance in fleet.instances.iter().cycle().take(12) {
        responses.push(look(instance).header(CRASH, "1").send().await.unwrap());
    }
    assert!(fleet.reached() - before <= COUNTED_MAX, "{} more sends", fleet.reached() - before);
    for response in responses {
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        let retry: f64 = response.headers()["retry-after"].to_str().unwrap().parse().unwrap();
        assert!(retry >= 1.0, "not before a trial is due");
        assert_eq!(response.text().await.unwrap(), "{\"error\":\"request_quarantined\"}\n");
    }
}

/// A request for an engine, without parts that other prompts share.
#[tokio::test]
async fn third_engine_end() {
    let fleet = Fleet::start("llm", "").await;
    let chat = |instance: &Harness| {
        let request = instance.request(Method::POST, "/chat/x").header("x-tokens", "100");
        request.header("x-parts", "own").body("prompt")
    };
    fleet.end_three(chat).await;
    sleep(COUNTED_AFTER).await;
    let before = fleet.reached();
    let mut statuses = Vec::new();
    for instance in fleet.instances.iter().cycle().take(12) {
        statuses.push(status(chat(instance).header(CRASH, "1")).await);
    }
    assert!(fleet.reached() - before <= COUNTED_MAX, "{} more sends", fleet.reached() - before);
    assert!(statuses.iter().all(|s| *s == StatusCode::SERVICE_UNAVAILABLE), "{statuses:?}");
}

/// An instance that starts after the third end learns of the request from its peers.
#[tokio::test]
async fn newcomer_refuses_request() {
    let mut fleet = Fleet::start("desk", "").await;
    fleet.end_three(look).await;
    sleep(Duration::from_secs(1)).await;
    fleet.add("i3").await;
    sleep(COUNTED_AFTER).await;
    let before = fleet.reached();
    for _ in 0..4 {
        assert_eq!(
            status(look(&fleet.instances[2]).header(CRASH, "1")).await,
            StatusCode::SERVICE_UNAVAILABLE
        );
    }
    assert_eq!(fleet.reached(), before);
}

/// Requests that differ in anything that is asked for, or come from another caller, are served all the time.
#[tokio::test]
async fn other_requests_served() {
    let fleet = Fleet::start("desk", "").await;
    fleet.end_three(look).await;
    sleep(Duration::from_secs(1)).await;
    for instance in &fleet.instances {
        assert_eq!(status(look(instance)).await, StatusCode::SERVICE_UNAVAILABLE);
        let others = [
            instance.request(Method::GET, "/look/x?item=8").body("mould 7"),
            instance.request(Method::GET, "/look/x").body("mould 7"),
            instance.request(Method::GET, "/look/x?item=7").body("mould 8"),
            instance.request(Method::GET, "/look/x?item=7"),
            instance.request(Method::POST, "/look/x?item=7").body("mould 7"),
            instance.bare_request(Method::GET, "/look/x?item=7").header("x-key", OTHER_KEY).body("mould 7"),
        ];
        for (number, other) in others.into_iter().enumerate() {
            assert_eq!(status(other).await, StatusCode::OK, "request {number}");
        }
    }
}

/// A request that is answered lately is not charged with endpoints that end for another reason.
#[tokio::test]
async fn popular_request_served() {
    let fleet = Fleet::start("desk", "").await;
    for instance in &fleet.instances {
        assert_eq!(status(look(instance)).await, StatusCode::OK);
    }
    fleet.end_three(look).await;
    for _ in 0..10 {
        for instance in &fleet.instances {
            assert_eq!(status(look(instance)).await, StatusCode::OK);
        }
        sleep(Duration::from_millis(100)).await;
    }
}

/// A wrong verdict is lifted everywhere by the first trial.
#[tokio::test]
async fn verdict_taken_back() {
    let fleet = Fleet::start("desk", "").await;
    fleet.end_three(look).await;
    sleep(Duration::from_secs(1)).await;
    let started = Instant::now();
    for instance in &fleet.instances {
        while status(look(instance)).await != StatusCode::OK {
            assert!(started.elapsed() < Duration::from_secs(20), "refused for too long");
            sleep(Duration::from_millis(100)).await;
        }
    }
    assert!(started.elapsed() > Duration::from_secs(5), "not before a trial is due");
}

/// Of all repeats that come when a trial is due, one is sent, and its failure is not repeated.
#[tokio::test]
async fn trial_counted() {
    let fleet = Fleet::start("desk", "").await;
    fleet.end_three(look).await;
    sleep(Duration::from_secs(1)).await;
    let before = fleet.reached();
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(16) {
        let repeats = fleet.instances.iter().map(|instance| status(look(instance).header(CRASH, "1")));
        join_all(repeats).await;
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(fleet.reached() - before, 1);
}

/// A call that may run only once is never sent twice, and is refused as not run only before it is sent.
#[tokio::test]
async fn once_only_calls() {
    let fleet = Fleet::start("desk", "").await;
    let mut statuses = Vec::new();
    for number in 0..12 {
        let instance = &fleet.instances[number % 2];
        let before = fleet.reached();
        let book = instance.request(Method::POST, "/book/x").body("mould 7").header(CRASH, "1");
        let status = status(book).await;
        let expected = usize::from(status != StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(fleet.reached() - before, expected, "{status}");
        statuses.push(status);
        sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(statuses[0], StatusCode::BAD_GATEWAY, "it may have run");
    assert_eq!(statuses[11], StatusCode::SERVICE_UNAVAILABLE);
}

/// Endpoints end inside their responses.
#[tokio::test]
async fn ends_inside_response() {
    let cut = "HTTP/1.1 200 OK\r\nx-attempt: attempt-1\r\nx-seal: s\r\ncontent-length: 100\r\n\r\nmould";
    let fleet = Fleet::start("desk", cut).await;
    fleet.end_three(look).await;
    sleep(COUNTED_AFTER).await;
    let before = fleet.reached();
    for instance in fleet.instances.iter().cycle().take(6) {
        assert_eq!(status(look(instance).header(CRASH, "1")).await, StatusCode::SERVICE_UNAVAILABLE);
    }
    assert_eq!(fleet.reached(), before);
}

/// Endpoints that break off responses, but refuse load reports or leave them unanswered, have not ended.
#[tokio::test]
async fn overloaded_or_silent_endpoints() {
    for overloaded in [true, false] {
        let fleet = Fleet::start("desk", "").await;
        for instance in &fleet.instances {
            instance.engines.overloaded.store(overloaded, Ordering::SeqCst);
            instance.engines.silent.store(!overloaded, Ordering::SeqCst);
        }
        fleet.end_three(look).await;
        sleep(Duration::from_millis(1_500)).await;
        for instance in &fleet.instances {
            assert_eq!(status(look(instance)).await, StatusCode::OK, "overloaded: {overloaded}");
        }
    }
}

/// A prompt that waits for memory while a verdict on a part of it is reached is not sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn placed_before_verdict() {
    let text = stream(1..=1);
    let head = &text[..text.find("\r\n\r\n").unwrap() + 4];
    let fleet = Fleet::start("llm", head).await;
    let instance = &fleet.instances[0];
    let chat = |tokens: &str, body: &'static str| {
        let request = instance.request(Method::POST, "/archive/x").header("x-tokens", tokens);
        request.header("x-remaining", "60000").header("x-parts", "bad,own").body(body)
    };
    instance.engines.held.store(true, Ordering::SeqCst);
    let long = tokio::spawn(chat("400000", "prompt").send());
    while instance.engines.asked.load(Ordering::SeqCst) == 0 {
        sleep(Duration::from_millis(1)).await;
    }
    for body in ["1", "2", "3"] {
        chat("100", body).header(CRASH, "1").send().await.unwrap();
    }
    while !dump(instance).await.contains(" points=6 ") {
        sleep(Duration::from_millis(1)).await;
    }
    instance.engines.held.store(false, Ordering::SeqCst);
    assert_eq!(long.await.unwrap().unwrap().status(), StatusCode::SERVICE_UNAVAILABLE);
    let sent = fleet.backends.iter().flat_map(|backend| backend.requests());
    assert!(sent.into_iter().all(|request| !request.contains("x-tokens: 400000")));
}

async fn dump(instance: &Harness) -> String {
    let url = format!("http://{}/state", instance.gateway.listen_addresses().checks);
    instance.http.get(url).send().await.unwrap().text().await.unwrap()
}
