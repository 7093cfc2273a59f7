//! Placement of plain calls by what the planners learn of the endpoints' pace.

mod common;

use std::sync::Arc;
use std::time::Duration;

use chestnutstage_gateway::external::{Fact, Topic};
use chestnutstage_gateway::settings::{PlacementSettings, Settings};
use common::backend::{Backend, Reply, answer};
use common::external::FakeStore;
use common::{Harness, catalog, listing, settings};
use reqwest::{Method, StatusCode};
use tokio::time::Instant;

/// Callers that send one call after the other.
const CALLERS: usize = 6;

struct Deployment {
    slow: Arc<Backend>,
    _fast: Vec<Arc<Backend>>,
    store: Arc<FakeStore>,
}

/// Three endpoints of a plain service, of which one takes eight times as long as the others.
async fn deployment() -> Deployment {
    let after = |ms| {
        let response = answer("200 OK", "x-seal: s\r\n", "done");
        vec![Reply::Pause(Duration::from_millis(ms), String::new(), response)]
    };
    let slow = Backend::start(after(160)).await;
    let fast = vec![Backend::start(after(20)).await, Backend::start(after(20)).await];
    let addresses = [slow.address, fast[0].address, fast[1].address];
    let store = Arc::new(FakeStore::default());
    store.publish(Topic::Operators, vec![Fact::Catalog(Box::new(catalog(1)))]);
    let listed =
        addresses.iter().enumerate().map(|(n, a)| Fact::Listed(listing(&format!("d{n}"), "desk", *a)));
    store.publish(Topic::Endpoints, listed.collect());
    Deployment { slow, _fast: fast, store }
}

/// Sends calls for a time, and returns their number.
async fn send_calls(harness: &Harness, time: Duration) -> usize {
    let end = Instant::now() + time;
    let callers = (0..CALLERS).map(|_| async {
        let mut sent = 0;
        while Instant::now() < end {
            assert_eq!(harness.status(Method::GET, "/look/x").await, StatusCode::OK);
            sent += 1;
        }
        sent
    });
    futures::future::join_all(callers).await.into_iter().sum()
}

async fn metrics(harness: &Harness) -> String {
    let url = format!("http://{}/metrics", harness.gateway.listen_addresses().checks);
    harness.http.get(url).send().await.unwrap().text().await.unwrap()
}

/// Guards against responses that don't reach the pool, and against planners that don't tell each other what they saw.
#[tokio::test]
async fn learned_by_all_planners() {
    let deployment = deployment().await;
    let first = Harness::with_store("i1", deployment.store.clone()).await;
    let second = Harness::with_store("i2", deployment.store.clone()).await;
    first.until_ready().await;
    second.until_ready().await;
    send_calls(&first, Duration::from_secs(3)).await;
    // The second instance compares the endpoints when it places a call.
    send_calls(&second, Duration::from_millis(300)).await;
    let before = deployment.slow.requests().len();
    let sent = send_calls(&second, Duration::from_secs(1)).await;
    let slow = deployment.slow.requests().len() - before;
    assert!(slow * 20 <= sent, "{slow} of {sent} calls at the slow endpoint");
    // Instances of one process share their metrics.
    while !metrics(&first).await.contains("chestnutstage_learned_limit{endpoint=\"d0\"}") {
        send_calls(&first, Duration::from_millis(50)).await;
    }
}

/// Guards against learned capacities in a deployment that has switched them off.
#[tokio::test]
async fn switched_off() {
    let deployment = deployment().await;
    let placement = PlacementSettings { learned_capacity: false };
    let harness =
        Harness::with_settings(Settings { placement, ..settings("i1") }, deployment.store.clone()).await;
    harness.until_ready().await;
    send_calls(&harness, Duration::from_secs(3)).await;
    let before = deployment.slow.requests().len();
    let sent = send_calls(&harness, Duration::from_secs(1)).await;
    let slow = deployment.slow.requests().len() - before;
    assert!(slow * 20 > sent, "{slow} of {sent} calls at the slow endpoint");
}
