//! Streams of events through a gateway, whole or visibly broken.

mod common;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chestnutstage_gateway::external::{Fact, Topic};
use common::backend::{Backend, END, Reply, event, stream};
use common::external::FakeStore;
use common::{Harness, catalog, listing, settings};
use reqwest::{Method, Response, StatusCode};

async fn ask(harness: &Harness, path: &str, tokens: &str) -> Response {
    harness.request(Method::POST, path).header("x-tokens", tokens).body("prompt").send().await.unwrap()
}

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event).collect()
}

#[tokio::test]
async fn whole_stream() {
    let backend = Backend::start(vec![Reply::Bytes(stream(1..=5) + END)]).await;
    let harness = Harness::start(vec![listing("e1", "llm", backend.address)]).await;
    let answer = ask(&harness, "/chat/x", "100").await;
    assert_eq!(answer.headers()["x-seal"], "s");
    assert_eq!(answer.text().await.unwrap(), events(1..=5));
}

#[tokio::test]
async fn resumed_elsewhere() {
    let halves = Reply::Resume(stream(1..=3) + "5\r\nid: 4", stream(4..=6) + END);
    let (one, two) = (Backend::start(vec![halves.clone()]).await, Backend::start(vec![halves]).await);
    let listings = vec![listing("e1", "llm", one.address), listing("e2", "llm", two.address)];
    let harness = Harness::start(listings).await;
    let text = ask(&harness, "/chat/x", "100").await.text().await.unwrap();
    assert_eq!(text, events(1..=6), "the events of both, each once");
    assert_eq!((one.requests().len(), two.requests().len()), (1, 1));
    let resumed = [one.requests(), two.requests()].concat();
    assert!(resumed.iter().any(|r| r.contains("last-event-id: 3")), "after the last whole event");
}

/// An engine that takes a prompt and answers nothing, not even a head; the next one answers.
#[tokio::test]
async fn silent_from_the_start() {
    let backend = Backend::start(vec![Reply::Hang(String::new()), Reply::Bytes(stream(1..=5) + END)]).await;
    let listings = vec![listing("e1", "llm", backend.address), listing("e2", "llm", backend.address)];
    let harness = Harness::start(listings).await;
    let answer = ask(&harness, "/chat/x", "100").await;
    assert_eq!(answer.text().await.unwrap(), events(1..=5));
    assert_eq!(backend.requests().len(), 2);
    backend.closed.notified().await;
}

/// An engine that goes dark before its answer begins, while nothing may be sent again: the caller is told before its time is up.
#[tokio::test]
async fn dark_from_the_start() {
    let backend = Backend::start(vec![Reply::Hang(String::new())]).await;
    let store = Arc::new(FakeStore::default());
    store.publish(Topic::Operators, vec![Fact::Catalog(Box::new(catalog(1)))]);
    store.publish(Topic::Endpoints, vec![Fact::Listed(listing("e1", "llm", backend.address))]);
    let mut frugal = settings("i1");
    frugal.bounds.retry_ratio = 0.0;
    frugal.bounds.retry_extra = 0.0;
    let harness = Harness::with_settings(frugal, store).await;
    harness.until_ready().await;
    harness.engines.unresponsive.lock().unwrap().push(backend.address);
    let answer = ask(&harness, "/chat/x", "100").await;
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY, "unknown, and not for want of time");
}

#[tokio::test]
async fn cut_and_not_resumable() {
    let backend = Backend::start(vec![Reply::Truncate(stream(1..=3))]).await;
    let harness = Harness::start(vec![listing("e1", "llm", backend.address)]).await;
    let answer = ask(&harness, "/tape/x", "100").await;
    assert!(answer.text().await.is_err(), "a stream that ends early never looks complete");
    assert_eq!(backend.requests().len(), 1);
}

#[tokio::test]
async fn cut_without_another() {
    let backend = Backend::start(vec![Reply::Truncate(stream(1..=3))]).await;
    let harness = Harness::start(vec![listing("e1", "llm", backend.address)]).await;
    assert!(ask(&harness, "/chat/x", "100").await.text().await.is_err(), "no endpoint can go on with it");
}

/// An engine that reads a long prompt is silent, too; its stream is kept if no other endpoint takes over.
#[tokio::test]
async fn silent_then_on() {
    let later = stream(1..=4)[stream(1..=2).len()..].to_owned() + END;
    let backend = Backend::start(vec![Reply::Pause(stream(1..=2), later)]).await;
    let harness = Harness::start(vec![listing("e1", "llm", backend.address)]).await;
    let text = ask(&harness, "/chat/x", "100").await.text().await.unwrap();
    assert_eq!(text, events(1..=4));
    assert_eq!(backend.requests().len(), 1);
}

/// An engine that went dark before its first event gives no reports: its memory is released long before the deadline.
#[tokio::test]
async fn dark_engine() {
    let backend = Backend::start(vec![Reply::Hang(String::new())]).await;
    let listings = (1..=4).map(|n| listing(&format!("e{n}"), "llm", backend.address)).collect();
    let harness = Harness::start(listings).await;
    let request = harness.request(Method::POST, "/archive/x").header("x-tokens", "400000");
    let asked = tokio::spawn(request.header("x-remaining", "60000").send());
    while backend.requests().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(!harness.engines.reserved.lock().unwrap().is_empty());
    harness.engines.unresponsive.lock().unwrap().push(backend.address);
    harness.engines.full.store(true, Ordering::SeqCst);
    let answer = asked.await.unwrap().unwrap();
    assert_eq!(
        answer.status(),
        StatusCode::BAD_GATEWAY,
        "given up long before the deadline; it may have run"
    );
    while !harness.engines.reserved.lock().unwrap().is_empty() {
        harness.engines.released.notified().await;
    }
}

#[tokio::test]
async fn caller_leaves() {
    let backend = Backend::start(vec![Reply::Hang(stream(1..=1))]).await;
    let harness = Harness::start(vec![listing("e1", "llm", backend.address)]).await;
    let mut answer = ask(&harness, "/chat/x", "100").await;
    assert!(answer.chunk().await.unwrap().is_some());
    drop(answer);
    backend.closed.notified().await;
}

#[tokio::test]
async fn caller_leaves_early() {
    let backend = Backend::start(vec![Reply::Hang(String::new())]).await;
    let harness = Harness::start(vec![listing("e1", "llm", backend.address)]).await;
    let request = harness.request(Method::POST, "/chat/x").header("x-tokens", "100").send();
    let asking = tokio::spawn(request);
    while backend.requests().is_empty() {
        tokio::task::yield_now().await;
    }
    asking.abort();
    backend.closed.notified().await;
}

#[tokio::test]
async fn reserved_and_released() {
    let backend = Backend::start(vec![Reply::Bytes(stream(1..=2) + END)]).await;
    let listings = (1..=4).map(|n| listing(&format!("e{n}"), "llm", backend.address)).collect();
    let harness = Harness::start(listings).await;
    let request = harness.request(Method::POST, "/archive/x").header("x-tokens", "400000");
    let answer = request.header("x-remaining", "60000").send().await.unwrap();
    assert_eq!(answer.text().await.unwrap(), events(1..=2));
    assert!(harness.engines.granted.load(Ordering::SeqCst) > 1, "no single engine holds the prompt");
    assert!(backend.requests()[0].contains("x-helpers: "));
    while !harness.engines.reserved.lock().unwrap().is_empty() {
        harness.engines.released.notified().await;
    }
}

#[tokio::test]
async fn no_reservation() {
    let backend = Backend::start(vec![Reply::Bytes(stream(1..=2) + END)]).await;
    let listings = (1..=4).map(|n| listing(&format!("e{n}"), "llm", backend.address)).collect();
    let harness = Harness::start(listings).await;
    harness.engines.full.store(true, Ordering::SeqCst);
    let request = harness.request(Method::POST, "/archive/x").header("x-tokens", "400000");
    let answer = request.header("x-remaining", "60000").send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(backend.requests().is_empty(), "nothing is sent without the memory");
}
