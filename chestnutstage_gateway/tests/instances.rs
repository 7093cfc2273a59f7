//! Several gateways of one deployment, and gateways that leave.

mod common;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chestnutstage_gateway::external::{Fact, Topic};
use common::backend::{Backend, END, Reply, stream, success};
use common::external::FakeStore;
use common::{Harness, catalog, listing};
use reqwest::{Method, StatusCode};

fn store(backend: &Backend) -> Arc<FakeStore> {
    let store = Arc::new(FakeStore::default());
    store.publish(Topic::Operators, vec![Fact::Catalog(Box::new(catalog(1)))]);
    let engine = listing("e1", "llm", backend.address);
    let desk = listing("d1", "desk", backend.address);
    store.publish(Topic::Endpoints, vec![Fact::Listed(engine), Fact::Listed(desk)]);
    store
}

async fn state(harness: &Harness) -> String {
    let url = format!("http://{}/state", harness.gateway.listen_addresses().checks);
    harness.http.get(url).send().await.unwrap().text().await.unwrap()
}

#[tokio::test]
async fn shared_grants() {
    let backend = Backend::start(vec![Reply::Hang(stream(1..=1))]).await;
    let store = store(&backend);
    let near = Harness::with_store("i1", store.clone()).await;
    let far = Harness::with_store("i2", store.clone()).await;
    near.until_ready().await;
    far.until_ready().await;
    let asked = near.request(Method::POST, "/chat/x").header("x-tokens", "100").send().await.unwrap();
    while !state(&far).await.contains("work: Brief") {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    drop(asked);
    while state(&far).await.contains("work: Brief") {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn store_out_of_reach() {
    let backend = Backend::start(vec![success("done")]).await;
    let store = store(&backend);
    let harness = Harness::with_store("i1", store.clone()).await;
    harness.until_ready().await;
    store.down.store(true, Ordering::SeqCst);
    while harness.status(Method::GET, "/look/x").await == StatusCode::OK {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let answer = harness.request(Method::GET, "/look/x").send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE, "the key may have been revoked");
    assert!(!harness.ready().await);
    store.down.store(false, Ordering::SeqCst);
    harness.until_ready().await;
    assert_eq!(harness.status(Method::GET, "/look/x").await, StatusCode::OK);
}

#[tokio::test]
async fn graceful_shutdown() {
    let backend = Backend::start(vec![Reply::Bytes(stream(1..=2) + END)]).await;
    let store = store(&backend);
    let harness = Harness::with_store("i1", store).await;
    harness.until_ready().await;
    let (bound, http) = (harness.gateway.listen_addresses(), harness.http.clone());
    let running = harness.request(Method::POST, "/chat/x").header("x-tokens", "100").send().await.unwrap();
    let leaving = tokio::spawn(harness.gateway.shutdown());
    tokio::task::yield_now().await;
    let check = http.get(format!("http://{}/any", bound.checks)).send().await.unwrap();
    assert_eq!(check.status(), StatusCode::SERVICE_UNAVAILABLE, "not ready at once");
    assert!(running.text().await.is_ok(), "what runs is finished");
    leaving.await.unwrap();
    assert!(http.get(format!("http://{}/look/x", bound.callers)).send().await.is_err(), "the port is closed");
}

#[tokio::test]
async fn departed_endpoint() {
    let backend = Backend::start(vec![success("done")]).await;
    let store = store(&backend);
    let harness = Harness::with_store("i1", store.clone()).await;
    harness.until_ready().await;
    assert_eq!(harness.status(Method::GET, "/look/x").await, StatusCode::OK);
    store.publish(Topic::Endpoints, vec![Fact::Unlisted("d1".into())]);
    while harness.status(Method::GET, "/look/x").await == StatusCode::OK {}
    let sent = backend.requests().len();
    assert_eq!(harness.status(Method::GET, "/look/x").await, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(backend.requests().len(), sent, "nothing more reaches it");
}

/// An instance that the store turns away goes on with what a peer knows, newer rules included.
#[tokio::test]
async fn fresh_by_peer() {
    let backend = Backend::start(vec![success("done")]).await;
    let (near, far) = (store(&backend), store(&backend));
    let one = Harness::with_store("i1", near.clone()).await;
    one.until_ready().await;
    while near.published(Topic::Members).is_empty() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    far.share_secret(&near);
    let two = Harness::with_store("i2", far.clone()).await;
    two.until_ready().await;
    while far.published(Topic::Members).is_empty() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    near.publish(Topic::Members, far.published(Topic::Members));
    far.down.store(true, Ordering::SeqCst);
    let mut next = catalog(2);
    next.routes.retain(|r| r.name != "book");
    near.publish(Topic::Operators, vec![Fact::Catalog(Box::new(next))]);
    while two.status(Method::POST, "/book/x").await != StatusCode::NOT_FOUND {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // Longer than what it knew from its own store holds.
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert_eq!(two.status(Method::GET, "/look/x").await, StatusCode::OK);
    assert!(two.ready().await);
}
