//! Requests that end every endpoint which begins to run them.

mod common;

use std::sync::Arc;
use std::time::Duration;

use chestnutstage_gateway::external::{Fact, Topic};
use common::backend::{Backend, END, Reply, answer, stream};
use common::external::FakeStore;
use common::{Harness, catalog, listing};
use reqwest::{Method, RequestBuilder, StatusCode};
use tokio::time::sleep;

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
