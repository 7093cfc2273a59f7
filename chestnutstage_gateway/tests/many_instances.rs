//! A deployment in which only some of the instances watch the store.

mod common;

use std::sync::Arc;
use std::time::Duration;

use chestnutstage_gateway::external::{Fact, Topic};
use common::backend::{Backend, success};
use common::external::FakeStore;
use common::{Harness, catalog, listing};
use reqwest::{Method, StatusCode};

/// Number of instances; more than the sixteen up to which each one watches the store.
const INSTANCES: usize = 20;
/// Number of instances that watch the store on behalf of all.
const WATCHERS: usize = 8;

#[tokio::test]
async fn few_watchers() {
    let backend = Backend::start(vec![success("done")]).await;
    let store = Arc::new(FakeStore::default());
    store.publish(Topic::Operators, vec![Fact::Catalog(Box::new(catalog(1)))]);
    store.publish(Topic::Endpoints, vec![Fact::Listed(listing("d1", "desk", backend.address))]);
    let mut harnesses = Vec::new();
    for number in 0..INSTANCES {
        harnesses.push(Harness::with_store(&format!("i{number}"), store.clone()).await);
    }
    for harness in &harnesses {
        harness.until_ready().await;
    }
    while store.waiting(Topic::Endpoints) > WATCHERS {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    store.publish(Topic::Endpoints, vec![Fact::Unlisted("d1".into())]);
    let mut next = catalog(2);
    next.routes.retain(|r| r.name != "book");
    store.publish(Topic::Operators, vec![Fact::Catalog(Box::new(next))]);
    for harness in &harnesses {
        while harness.status(Method::GET, "/look/x").await == StatusCode::OK {}
        while harness.status(Method::POST, "/book/x").await != StatusCode::NOT_FOUND {}
    }
    assert!(store.waiting(Topic::Endpoints) <= WATCHERS, "the other instances got the changes from peers");
}
