//! Prompts with a part that ends every engine which begins to answer them.

mod common;

use std::sync::Arc;
use std::time::Duration;

use chestnutstage_gateway::external::{Fact, Topic};
use common::backend::{Backend, END, Reply, event, stream};
use common::external::FakeStore;
use common::{Harness, catalog, listing};
use reqwest::{Method, Response, StatusCode};
use tokio::time::{Instant, sleep};

/// Time within which every instance must refuse the part, the users' bound, less that of the slowest test machine.
const REFUSED_WITHIN: Duration = Duration::from_secs(3);

/// Head of a stream without an event.
fn head() -> String {
    let text = stream(1..=1);
    text[..text.find("\r\n\r\n").unwrap() + 4].to_owned()
}

/// Engines that end under the part `bad` and answer other prompts. Ended ones answer no load probes.
async fn engines(count: usize, probes_fail: bool) -> (Vec<Arc<Backend>>, Arc<FakeStore>, Vec<Harness>) {
    start(Reply::CrashOn("bad", stream(1..=5) + END, head()), count, probes_fail).await
}

async fn start(
    reply: Reply,
    count: usize,
    probes_fail: bool,
) -> (Vec<Arc<Backend>>, Arc<FakeStore>, Vec<Harness>) {
    let store = Arc::new(FakeStore::default());
    store.publish(Topic::Operators, vec![Fact::Catalog(Box::new(catalog(1)))]);
    let mut backends = Vec::new();
    for number in 0..count {
        let backend = Backend::start(vec![reply.clone()]).await;
        let listing = listing(&format!("e{number}"), "llm", backend.address);
        store.publish(Topic::Endpoints, vec![Fact::Listed(listing)]);
        backends.push(backend);
    }
    let mut harnesses = Vec::new();
    for name in ["i1", "i2"] {
        let harness = Harness::with_store(name, store.clone()).await;
        harness.until_ready().await;
        if probes_fail {
            harness.engines.unresponsive.lock().unwrap().extend(backends.iter().map(|b| b.address));
        }
        harnesses.push(harness);
    }
    while store.published(Topic::Members).len() < 2 {
        sleep(Duration::from_millis(10)).await;
    }
    (backends, store, harnesses)
}

async fn post(harness: &Harness, parts: &str) -> Response {
    let request = harness.request(Method::POST, "/chat/x").header("x-tokens", "100").header("x-parts", parts);
    request.body("prompt").send().await.unwrap()
}

/// Number of requests with the part `bad` that reached engines.
fn reached(backends: &[Arc<Backend>]) -> usize {
    backends.iter().flat_map(|b| b.requests()).filter(|r| r.contains("bad")).count()
}

#[tokio::test]
async fn part_ends_engines() {
    let (backends, _store, harnesses) = engines(12, true).await;
    assert_eq!(post(&harnesses[0], "first,good,own").await.status(), StatusCode::OK);
    for number in 0..3 {
        let response = post(&harnesses[number % 2], &format!("first,bad,own{number}")).await;
        assert_eq!(response.status(), StatusCode::BAD_GATEWAY, "the engine ended before the first event");
    }
    sleep(REFUSED_WITHIN).await;
    let before = reached(&backends);
    for (number, harness) in harnesses.iter().cycle().take(8).enumerate() {
        let response = post(harness, &format!("first,bad,other{number}")).await;
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        let retry: f64 = response.headers()["retry-after"].to_str().unwrap().parse().unwrap();
        assert!(retry >= 1.0, "not before a trial is due");
        assert_eq!(response.text().await.unwrap(), "{\"error\":\"prompt_quarantined\"}\n");
        assert_eq!(post(harness, &format!("first,good,other{number}")).await.status(), StatusCode::OK);
    }
    assert_eq!(reached(&backends), before, "no engine got the part");
    let state = format!("http://{}/state", harnesses[1].gateway.listen_addresses().checks);
    let state = harnesses[1].http.get(&state).send().await.unwrap().text().await.unwrap();
    assert!(state.contains(" convicted "), "{state}");
}

/// An instance that starts later learns of the part from its peers.
#[tokio::test]
async fn newcomer_refuses() {
    let (backends, store, harnesses) = engines(12, true).await;
    for number in 0..3 {
        post(&harnesses[0], &format!("bad,own{number}")).await;
    }
    sleep(REFUSED_WITHIN).await;
    let newcomer = Harness::with_store("i3", store).await;
    newcomer.until_ready().await;
    let before = reached(&backends);
    let started = Instant::now();
    while post(&newcomer, "bad,own").await.status() != StatusCode::SERVICE_UNAVAILABLE {
        assert!(started.elapsed() < REFUSED_WITHIN, "never refused");
    }
    assert!(reached(&backends) <= before + 4, "at most what is sent before the links are up");
}

/// Engines that break off answers, but still run, are not charged to the prompt.
#[tokio::test]
async fn broken_answers() {
    let (_backends, _store, harnesses) = engines(12, false).await;
    for number in 0..4 {
        assert_eq!(post(&harnesses[0], &format!("bad,own{number}")).await.status(), StatusCode::BAD_GATEWAY);
    }
    sleep(Duration::from_secs(1)).await;
    assert_ne!(post(&harnesses[0], "bad,own").await.status(), StatusCode::SERVICE_UNAVAILABLE);
}

/// Sound prompts that were under way on engines that ended are accepted all the time.
#[tokio::test]
async fn bystanders_served() {
    let (_backends, _store, harnesses) = engines(12, true).await;
    for number in 0..3 {
        let poisoned = async { post(&harnesses[0], &format!("first,bad,own{number}")).await };
        let parts = format!("first,good,own{number}");
        let sound = async { post(&harnesses[0], &parts).await.status() };
        let (_, sound) = tokio::join!(poisoned, sound);
        assert_eq!(sound, StatusCode::OK);
    }
    sleep(Duration::from_secs(1)).await;
    assert_eq!(post(&harnesses[0], "first,good,own").await.status(), StatusCode::OK);
    assert_eq!(post(&harnesses[1], "first,fresh,own").await.status(), StatusCode::OK);
}

/// Engines that fall silent have not ended.
#[tokio::test]
async fn silent_engines() {
    let (_backends, _store, harnesses) = start(Reply::Hang(head()), 12, true).await;
    let posts = (0..6).map(|number| {
        let harness = &harnesses[number % 2];
        async move { post(harness, &format!("bad,own{number}")).await.status() }
    });
    let statuses = futures::future::join_all(posts).await;
    assert!(statuses.iter().all(|s| *s != StatusCode::SERVICE_UNAVAILABLE), "{statuses:?}");
    sleep(Duration::from_secs(1)).await;
    assert_ne!(post(&harnesses[0], "bad,own").await.status(), StatusCode::SERVICE_UNAVAILABLE);
}

/// Engines end after their first event, on streams whose end only the connection marks.
#[tokio::test]
async fn ends_without_length() {
    let cut = "HTTP/1.1 200 OK\r\nx-attempt: attempt-1\r\nx-seal: s\r\n\r\n".to_owned() + &event(1);
    let (_backends, _store, harnesses) =
        start(Reply::CrashOn("bad", stream(1..=5) + END, cut), 12, true).await;
    for number in 0..4 {
        post(&harnesses[0], &format!("bad,own{number}")).await;
    }
    sleep(REFUSED_WITHIN).await;
    assert_eq!(post(&harnesses[1], "bad,own").await.status(), StatusCode::SERVICE_UNAVAILABLE);
}
