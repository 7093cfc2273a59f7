//! Bookings before a store and a service that fail.

mod common;

use chestnutstage_fakes::platform::Fault as StoreFault;
use chestnutstage_fakes::service::Fault;
use common::{Deployment, error, until};
use reqwest::StatusCode;

#[tokio::test(flavor = "multi_thread")]
async fn store_down() {
    let deployment = Deployment::start(2, 1).await;
    deployment.platform.inject(StoreFault::Down);
    let request = deployment.booking(0, "k1", "mould 1").header("x-request-timeout-ms", 800);
    let answer = request.send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("retry-after"));
    assert_eq!(error(answer).await["outcome"], "not_run");
    assert!(deployment.services[0].runs().is_empty());
    // Completions go on without the store.
    assert_eq!(deployment.ask(0, "still served?", 2).await.status(), 200);
    deployment.platform.inject(StoreFault::Clear);
    assert_eq!(deployment.book(0, "k1", "mould 1").await.status(), 201);
    assert_eq!(deployment.services[0].runs()["mould 1"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_store_answer() {
    let deployment = Deployment::start(2, 1).await;
    deployment.platform.inject(StoreFault::LoseResponses(1));
    let answer = deployment.book(0, "k1", "mould 1").await;
    assert_eq!(answer.status(), 201, "{:?}", answer.text().await);
    assert_eq!(deployment.services[0].runs()["mould 1"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn mute_service() {
    let deployment = Deployment::start(2, 1).await;
    deployment.services[0].inject(Fault::LoseResponse);
    let request = deployment.booking(0, "k1", "mould 1").header("x-request-timeout-ms", 1_000);
    let first = request.send().await.unwrap();
    assert_eq!(error(first).await["outcome"], "unknown");
    deployment.services[0].inject(Fault::Clear);
    // A repeat must not run it again, and must not be told that it did not run.
    until("the result is recorded", async || {
        let again = deployment.book(1, "k1", "mould 1").await;
        assert!(!again.status().is_success());
        let error = error(again).await;
        assert_eq!(error["outcome"], "unknown");
        error["code"] == "outcome_unknown"
    })
    .await;
    assert_eq!(deployment.services[0].runs()["mould 1"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn declined_call() {
    let deployment = Deployment::start(2, 1).await;
    deployment.services[0].inject(Fault::Refuse);
    let first = deployment.book(0, "k1", "mould 1").await;
    assert_eq!(error(first).await["outcome"], "not_run");
    deployment.services[0].inject(Fault::Clear);
    until("the key is free again", async || deployment.book(1, "k1", "mould 1").await.status() == 201).await;
    assert_eq!(deployment.services[0].runs()["mould 1"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn crossed_repeats() {
    let deployment = Deployment::start(3, 1).await;
    let asks = (0..24).map(|n| deployment.book(n % 3, "k1", "mould 1"));
    let answers = futures::future::join_all(asks).await;
    assert!(answers.iter().any(|a| a.status() == 201));
    assert_eq!(deployment.services[0].runs()["mould 1"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn other_customers_key() {
    let deployment = Deployment::start(2, 1).await;
    assert_eq!(deployment.book(0, "k1", "mould 1").await.status(), 201);
    let other = deployment.booking(0, "k1", "mould 2").bearer_auth("key-of-c2");
    let other = other.send().await.unwrap();
    // The header was given twice; the first customer's key stands, so the same key names another call.
    assert_eq!(other.status(), StatusCode::UNPROCESSABLE_ENTITY);
    let request = deployment.client.post(deployment.url(0, "v1/services/bookings/bookings"));
    let request = request.bearer_auth("key-of-c2").header("idempotency-key", "k1");
    let own = request.json(&serde_json::json!({"booking": "mould 2"})).send().await.unwrap();
    assert_eq!(own.status(), 201, "keys of different customers never meet");
}
