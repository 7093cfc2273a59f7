//! Event streams through a gateway: a stream either arrives complete or ends with a connection error.

mod common;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chestnutstage_gateway::external::{Fact, Topic};
use common::backend::{Backend, END, PAUSE, Reply, event, stream};
use common::external::FakeStore;
use common::{Harness, catalog, listing, settings};
use reqwest::{Method, Response, StatusCode};
use tokio::time::Instant;

/// Time within which memory is released whose request has ended: the users' bound.
const RELEASE_TIME_MAX: Duration = Duration::from_secs(4);

async fn post(harness: &Harness, path: &str, tokens: &str) -> Response {
    harness.request(Method::POST, path).header("x-tokens", tokens).body("prompt").send().await.unwrap()
}

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event).collect()
}

#[tokio::test]
async fn complete_stream() {
    let backend = Backend::start(vec![Reply::Bytes(stream(1..=5) + END)]).await;
    let harness = Harness::start(vec![listing("e1", "llm", backend.address)]).await;
    let response = post(&harness, "/chat/x", "100").await;
    assert_eq!(response.headers()["x-seal"], "s");
    assert_eq!(response.text().await.unwrap(), events(1..=5));
}

#[tokio::test]
async fn stream_failover() {
    let halves = Reply::Resume(stream(1..=3) + "5\r\nid: 4", stream(4..=6) + END);
    let (one, two) = (Backend::start(vec![halves.clone()]).await, Backend::start(vec![halves]).await);
    let listings = vec![listing("e1", "llm", one.address), listing("e2", "llm", two.address)];
    let harness = Harness::start(listings).await;
    let text = post(&harness, "/chat/x", "100").await.text().await.unwrap();
    assert_eq!(text, events(1..=6), "the events of both endpoints, each once");
    assert_eq!((one.requests().len(), two.requests().len()), (1, 1));
    let resumed = [one.requests(), two.requests()].concat();
    assert!(resumed.iter().any(|r| r.contains("last-event-id: 3")), "resumed after the last whole event");
}

/// An engine accepts a prompt but sends nothing, not even a response head. The request fails over to another
/// engine.
#[tokio::test]
async fn stalled_before_head() {
    let backend = Backend::start(vec![Reply::Hang(String::new()), Reply::Bytes(stream(1..=5) + END)]).await;
    let listings = vec![listing("e1", "llm", backend.address), listing("e2", "llm", backend.address)];
    let harness = Harness::start(listings).await;
    let response = post(&harness, "/chat/x", "100").await;
    assert_eq!(response.text().await.unwrap(), events(1..=5));
    assert_eq!(backend.requests().len(), 2);
    backend.closed.notified().await;
}

/// An engine becomes unreachable before its response head while the retry budget is empty. The request has to fail
/// before its deadline.
#[tokio::test]
async fn unreachable_before_head() {
    let backend = Backend::start(vec![Reply::Hang(String::new())]).await;
    let store = Arc::new(FakeStore::default());
    store.publish(Topic::Operators, vec![Fact::Catalog(Box::new(catalog(1)))]);
    store.publish(Topic::Endpoints, vec![Fact::Listed(listing("e1", "llm", backend.address))]);
    let mut no_retries = settings("i1");
    no_retries.bounds.retry_ratio = 0.0;
    no_retries.bounds.retry_extra = 0.0;
    let harness = Harness::with_settings(no_retries, store).await;
    harness.until_ready().await;
    harness.engines.unresponsive.lock().unwrap().push(backend.address);
    let response = post(&harness, "/chat/x", "100").await;
    assert_eq!(response.status(), StatusCode::BAD_GATEWAY, "outcome unknown, not a timeout");
}

#[tokio::test]
async fn broken_not_resumable() {
    let backend = Backend::start(vec![Reply::Truncate(stream(1..=3))]).await;
    let harness = Harness::start(vec![listing("e1", "llm", backend.address)]).await;
    let response = post(&harness, "/tape/x", "100").await;
    assert!(response.text().await.is_err(), "a truncated stream must not look complete");
    assert_eq!(backend.requests().len(), 1);
}

/// A stream breaks after its head, before the first event, and no endpoint resumes it. The caller gets a response.
#[tokio::test]
async fn broken_before_event() {
    let whole = stream(1..=1);
    let head = whole[..whole.find("\r\n\r\n").unwrap() + 4].to_owned();
    for path in ["/chat/x", "/tape/x"] {
        for partial in ["", "5\r\nid: 1\r\n"] {
            let backend = Backend::start(vec![Reply::Truncate(head.clone() + partial)]).await;
            let harness = Harness::start(vec![listing("e1", "llm", backend.address)]).await;
            let response = post(&harness, path, "100").await;
            assert_eq!(response.status(), StatusCode::BAD_GATEWAY, "{path} {partial:?}");
        }
    }
}

#[tokio::test]
async fn broken_without_failover() {
    let backend = Backend::start(vec![Reply::Truncate(stream(1..=3))]).await;
    let harness = Harness::start(vec![listing("e1", "llm", backend.address)]).await;
    assert!(post(&harness, "/chat/x", "100").await.text().await.is_err(), "no endpoint can resume it");
}

/// An engine in a long prefill also sends nothing, so a stalled stream is kept if no other endpoint takes over.
#[tokio::test]
async fn stalled_stream_kept() {
    let later = stream(1..=4)[stream(1..=2).len()..].to_owned() + END;
    let backend = Backend::start(vec![Reply::Pause(PAUSE, stream(1..=2), later)]).await;
    let harness = Harness::start(vec![listing("e1", "llm", backend.address)]).await;
    let text = post(&harness, "/chat/x", "100").await.text().await.unwrap();
    assert_eq!(text, events(1..=4));
    assert_eq!(backend.requests().len(), 1);
}

/// An engine becomes unreachable before its first event and sends no load reports. The request fails and the reserved
/// memory is released long before the deadline.
#[tokio::test]
async fn unreachable_engine() {
    let backend = Backend::start(vec![Reply::Hang(String::new())]).await;
    let listings = (1..=4).map(|n| listing(&format!("e{n}"), "llm", backend.address)).collect();
    let harness = Harness::start(listings).await;
    let request = harness.request(Method::POST, "/archive/x").header("x-tokens", "400000");
    let sending = tokio::spawn(request.header("x-remaining", "60000").send());
    while backend.requests().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(!harness.engines.reserved.lock().unwrap().is_empty());
    harness.engines.unresponsive.lock().unwrap().push(backend.address);
    harness.engines.full.store(true, Ordering::SeqCst);
    let silent = Instant::now();
    let response = sending.await.unwrap().unwrap();
    assert_eq!(
        response.status(),
        StatusCode::BAD_GATEWAY,
        "failed long before the deadline; it may have run"
    );
    while !harness.engines.reserved.lock().unwrap().is_empty() {
        harness.engines.released.notified().await;
    }
    assert!(silent.elapsed() < RELEASE_TIME_MAX, "{:?}", silent.elapsed());
}

/// The same while another engine works on the request: the memory reserved for the unreachable one is released all the same.
#[tokio::test]
async fn unreachable_during_failover() {
    for started in [String::new(), stream(1..=1)] {
        let backend = Backend::start(vec![Reply::Hang(started), Reply::Hang(String::new())]).await;
        let listings = (1..=8).map(|n| listing(&format!("e{n}"), "llm", backend.address)).collect();
        let harness = Harness::start(listings).await;
        let request = harness.request(Method::POST, "/archive/x").header("x-tokens", "400000");
        let sending = tokio::spawn(request.header("x-remaining", "60000").send());
        while backend.requests().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let first: Vec<_> = harness.engines.reserved.lock().unwrap().keys().cloned().collect();
        harness.engines.unresponsive.lock().unwrap().push(backend.address);
        let silent = Instant::now();
        while first.iter().any(|name| harness.engines.reserved.lock().unwrap().contains_key(name)) {
            assert!(silent.elapsed() < RELEASE_TIME_MAX, "memory of the unreachable engine is kept");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(backend.requests().len(), 2, "another engine was tried");
        sending.abort();
    }
}

#[tokio::test]
async fn caller_disconnects() {
    let backend = Backend::start(vec![Reply::Hang(stream(1..=1))]).await;
    let harness = Harness::start(vec![listing("e1", "llm", backend.address)]).await;
    let mut response = post(&harness, "/chat/x", "100").await;
    assert!(response.chunk().await.unwrap().is_some());
    drop(response);
    backend.closed.notified().await;
}

#[tokio::test]
async fn caller_disconnects_early() {
    let backend = Backend::start(vec![Reply::Hang(String::new())]).await;
    let harness = Harness::start(vec![listing("e1", "llm", backend.address)]).await;
    let request = harness.request(Method::POST, "/chat/x").header("x-tokens", "100").send();
    let sending = tokio::spawn(request);
    while backend.requests().is_empty() {
        tokio::task::yield_now().await;
    }
    sending.abort();
    backend.closed.notified().await;
}

#[tokio::test]
async fn reservation_released() {
    let backend = Backend::start(vec![Reply::Bytes(stream(1..=2) + END)]).await;
    let listings = (1..=4).map(|n| listing(&format!("e{n}"), "llm", backend.address)).collect();
    let harness = Harness::start(listings).await;
    let request = harness.request(Method::POST, "/archive/x").header("x-tokens", "400000");
    let response = request.header("x-remaining", "60000").send().await.unwrap();
    assert_eq!(response.text().await.unwrap(), events(1..=2));
    assert!(
        harness.engines.granted.load(Ordering::SeqCst) > 1,
        "the prompt must be spread over several engines"
    );
    assert!(backend.requests()[0].contains("x-helpers: "));
    while !harness.engines.reserved.lock().unwrap().is_empty() {
        harness.engines.released.notified().await;
    }
}

#[tokio::test]
async fn reservation_refused() {
    let backend = Backend::start(vec![Reply::Bytes(stream(1..=2) + END)]).await;
    let listings = (1..=4).map(|n| listing(&format!("e{n}"), "llm", backend.address)).collect();
    let harness = Harness::start(listings).await;
    harness.engines.full.store(true, Ordering::SeqCst);
    let request = harness.request(Method::POST, "/archive/x").header("x-tokens", "400000");
    let response = request.header("x-remaining", "60000").send().await.unwrap();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(backend.requests().is_empty(), "nothing may be sent without reserved memory");
}
