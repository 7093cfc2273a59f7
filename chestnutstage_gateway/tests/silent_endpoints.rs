//! Endpoints that send nothing for a while and then go on. The silence must not end a request that no other endpoint takes
//! over.

mod common;

use std::sync::Arc;
use std::time::Duration;

use chestnutstage_gateway::external::{Fact, Topic};
use common::backend::{Backend, END, Reply, answer, event, stream, success};
use common::{Harness, catalog, listing};
use reqwest::{Method, Response, StatusCode};

/// Longer than the time without data after which an engine is probed, and than the timeout of a plain response.
const SILENCE: Duration = Duration::from_secs(2);

/// Starts a gateway before an engine that gives this reply and answers no load probes.
async fn silent_engine(reply: Reply) -> (Arc<Backend>, Harness) {
    let backend = Backend::start(vec![reply]).await;
    let harness = Harness::start(vec![listing("e1", "llm", backend.address)]).await;
    harness.engines.unresponsive.lock().unwrap().push(backend.address);
    (backend, harness)
}

async fn post(harness: &Harness, path: &str) -> Response {
    harness.request(Method::POST, path).header("x-tokens", "100").body("prompt").send().await.unwrap()
}

/// A call, and the two endpoints that it met.
struct Call {
    response: Response,
    first: Arc<Backend>,
    other: Arc<Backend>,
    _harness: Harness,
}

/// Sends a call to an endpoint that gives the reply `first`; once it has arrived there, a second endpoint with the reply `other`
/// is listed.
async fn call_with_replacement(first: Reply, other: Reply) -> Call {
    let first = Backend::start(vec![first]).await;
    let other = Backend::start(vec![other]).await;
    let harness = Harness::start(vec![listing("d1", "desk", first.address)]).await;
    let sending = tokio::spawn(harness.request(Method::GET, "/look/x").send());
    while first.requests().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    harness.store.publish(Topic::Endpoints, vec![Fact::Listed(listing("d2", "desk", other.address))]);
    let response = sending.await.unwrap().unwrap();
    Call { response, first, other, _harness: harness }
}

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event).collect()
}

/// Two events, the silence, and two more events.
fn interrupted_stream() -> Reply {
    let rest = stream(1..=4)[stream(1..=2).len()..].to_owned() + END;
    Reply::Pause(SILENCE, stream(1..=2), rest)
}

#[tokio::test]
async fn stream_cut_by_silence() {
    for path in ["/chat/x", "/archive/x"] {
        let (backend, harness) = silent_engine(interrupted_stream()).await;
        assert_eq!(post(&harness, path).await.text().await.unwrap(), events(1..=4));
        assert_eq!(backend.requests().len(), 1);
    }
}

#[tokio::test]
async fn head_lost_by_silence() {
    for path in ["/chat/x", "/archive/x"] {
        let (backend, harness) =
            silent_engine(Reply::Pause(SILENCE, String::new(), stream(1..=4) + END)).await;
        let response = post(&harness, path).await;
        assert_eq!(response.status(), StatusCode::OK);
        assert_eq!(response.text().await.unwrap(), events(1..=4));
        assert_eq!(backend.requests().len(), 1);
    }
}

/// A key is revoked while the engine is silent, so that no other engine may take over.
#[tokio::test]
async fn revoked_during_silence() {
    let backend = Backend::start(vec![interrupted_stream()]).await;
    let listings = vec![listing("e1", "llm", backend.address), listing("e2", "llm", backend.address)];
    let harness = Harness::start(listings).await;
    harness.engines.unresponsive.lock().unwrap().push(backend.address);
    let response = post(&harness, "/archive/x").await;
    let mut next = catalog(2);
    next.customers[0].keys = vec!["another".into()];
    harness.store.publish(Topic::Operators, vec![Fact::Catalog(Box::new(next))]);
    assert_eq!(response.text().await.unwrap(), events(1..=4));
    assert_eq!(backend.requests().len(), 1);
}

/// The other engine refuses to take over.
#[tokio::test]
async fn replacement_refused() {
    let silent = Backend::start(vec![interrupted_stream()]).await;
    let full = Backend::start(vec![Reply::Bytes(answer("503 Full", "x-not-run: 1\r\n", ""))]).await;
    let harness = Harness::start(vec![listing("e1", "llm", silent.address)]).await;
    harness.engines.unresponsive.lock().unwrap().push(silent.address);
    let response = post(&harness, "/archive/x").await;
    harness.store.publish(Topic::Endpoints, vec![Fact::Listed(listing("e2", "llm", full.address))]);
    assert_eq!(response.text().await.unwrap(), events(1..=4));
    assert_eq!(full.requests().len(), 1, "the other engine was tried");
}

/// The engine goes on while another one has accepted the stream but sent nothing yet.
#[tokio::test]
async fn starved_by_failover() {
    let silent = Backend::start(vec![interrupted_stream()]).await;
    let hanging = Backend::start(vec![Reply::Hang(String::new())]).await;
    let harness = Harness::start(vec![listing("e1", "llm", silent.address)]).await;
    let response = post(&harness, "/chat/x").await;
    harness.store.publish(Topic::Endpoints, vec![Fact::Listed(listing("e2", "llm", hanging.address))]);
    assert_eq!(response.text().await.unwrap(), events(1..=4));
    assert_eq!(hanging.requests().len(), 1, "the other engine was tried meanwhile");
    hanging.closed.notified().await;
}

#[tokio::test]
async fn call_lost_by_silence() {
    let reply = Reply::Pause(SILENCE, String::new(), answer("200 OK", "x-seal: s\r\n", "done"));
    let backend = Backend::start(vec![reply]).await;
    let harness = Harness::start(vec![listing("d1", "desk", backend.address)]).await;
    let response = harness.request(Method::GET, "/look/x").send().await.unwrap();
    assert_eq!((response.status(), response.text().await.unwrap()), (StatusCode::OK, "done".into()));
    assert_eq!(backend.requests().len(), 1);
}

/// The silent endpoint goes on while another one works on the request as well; the first response wins.
#[tokio::test]
async fn first_response_wins() {
    let slow = Reply::Pause(SILENCE, String::new(), answer("200 OK", "x-seal: s\r\n", "first"));
    let call = call_with_replacement(slow, Reply::Hang(String::new())).await;
    assert_eq!(
        (call.response.status(), call.response.text().await.unwrap()),
        (StatusCode::OK, "first".into())
    );
    assert_eq!(call.other.requests().len(), 1, "the other endpoint was tried meanwhile");
    call.other.closed.notified().await;
}

#[tokio::test]
async fn replacement_responds() {
    let call = call_with_replacement(Reply::Hang(String::new()), success("other")).await;
    assert_eq!(call.response.text().await.unwrap(), "other");
    call.first.closed.notified().await;
}

/// The silent endpoint fails while another one works on the request.
#[tokio::test]
async fn first_fails_late() {
    let slow = Reply::Pause(SILENCE, String::new(), answer("200 OK", "x-seal: s\r\n", "other"));
    let call = call_with_replacement(Reply::Abandon(SILENCE, String::new()), slow).await;
    assert_eq!(call.response.text().await.unwrap(), "other");
    assert_eq!(call.first.requests().len(), 1);
}

/// The stream of the silent engine breaks while another engine reads the prompt.
#[tokio::test]
async fn stream_fails_late() {
    let silent = Backend::start(vec![Reply::Abandon(SILENCE, stream(1..=2))]).await;
    let head_length = stream(1..=2).find("\r\n\r\n").unwrap() + 4;
    let later = stream(1..=2)[..head_length].to_owned() + &stream(1..=4)[stream(1..=2).len()..] + END;
    let other = Backend::start(vec![Reply::Pause(SILENCE, String::new(), later)]).await;
    let harness = Harness::start(vec![listing("e1", "llm", silent.address)]).await;
    let response = post(&harness, "/chat/x").await;
    harness.store.publish(Topic::Endpoints, vec![Fact::Listed(listing("e2", "llm", other.address))]);
    assert_eq!(response.text().await.unwrap(), events(1..=4));
    assert_eq!(other.requests().len(), 1);
}

/// The other endpoint fails, and the silent one goes on.
#[tokio::test]
async fn replacement_fails() {
    let slow = Reply::Pause(SILENCE, String::new(), answer("200 OK", "x-seal: s\r\n", "first"));
    let call = call_with_replacement(slow, Reply::Bytes(answer("500 Broken", "x-seal: s\r\n", "no"))).await;
    assert_eq!(call.response.text().await.unwrap(), "first");
    assert_eq!(call.other.requests().len(), 1, "the other endpoint was tried");
}

/// The other engine sends a head and breaks, and the silent one goes on.
#[tokio::test]
async fn replacement_breaks() {
    let silent = Backend::start(vec![interrupted_stream()]).await;
    let head_length = stream(1..=2).find("\r\n\r\n").unwrap() + 4;
    let broken = Backend::start(vec![Reply::Truncate(stream(1..=2)[..head_length].to_owned())]).await;
    let harness = Harness::start(vec![listing("e1", "llm", silent.address)]).await;
    let response = post(&harness, "/chat/x").await;
    harness.store.publish(Topic::Endpoints, vec![Fact::Listed(listing("e2", "llm", broken.address))]);
    assert_eq!(response.text().await.unwrap(), events(1..=4));
    assert_eq!(broken.requests().len(), 1, "the other engine was tried");
}

/// A key moves to another customer while a request waits. Nothing more is sent in the name of the former one.
#[tokio::test]
async fn key_changes_owner() {
    let slow = Reply::Pause(SILENCE, String::new(), answer("200 OK", "x-seal: s\r\n", "first"));
    let silent = Backend::start(vec![slow]).await;
    let other = Backend::start(vec![success("other")]).await;
    let harness = Harness::start(vec![listing("d1", "desk", silent.address)]).await;
    let sending = tokio::spawn(harness.request(Method::GET, "/look/x").send());
    while silent.requests().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut next = catalog(2);
    next.customers[0].id = "village".into();
    harness.store.publish(Topic::Operators, vec![Fact::Catalog(Box::new(next))]);
    tokio::time::sleep(Duration::from_millis(200)).await;
    harness.store.publish(Topic::Endpoints, vec![Fact::Listed(listing("d2", "desk", other.address))]);
    assert_eq!(sending.await.unwrap().unwrap().text().await.unwrap(), "first");
    assert!(other.requests().is_empty(), "{:?}", other.requests());
}
