//! Calls that must not be repeated, while the store or the service fails.

mod common;

use chestnutstage_fakes::platform::Fault as StoreFault;
use chestnutstage_fakes::service::Fault;
use common::{Deployment, error, wait_until};
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
    // Completions do not depend on the store.
    assert_eq!(deployment.complete(0, "still served?", 2).await.status(), 200);
    deployment.platform.inject(StoreFault::Clear);
    assert_eq!(deployment.book(0, "k1", "mould 1").await.status(), 201);
    assert_eq!(deployment.services[0].runs()["mould 1"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_store_response() {
    let deployment = Deployment::start(2, 1).await;
    deployment.platform.inject(StoreFault::LoseResponses(1));
    let answer = deployment.book(0, "k1", "mould 1").await;
    assert_eq!(answer.status(), 201, "{:?}", answer.text().await);
    assert_eq!(deployment.services[0].runs()["mould 1"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn unresponsive_service() {
    let deployment = Deployment::start(2, 1).await;
    deployment.services[0].inject(Fault::LoseResponse);
    let request = deployment.booking(0, "k1", "mould 1").header("x-request-timeout-ms", 1_000);
    let first = request.send().await.unwrap();
    assert_eq!(error(first).await["outcome"], "unknown");
    deployment.services[0].inject(Fault::Clear);
    // A repeat must not run the call again, nor report that it did not run.
    wait_until("the result is recorded", async || {
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
async fn refused_call() {
    let deployment = Deployment::start(2, 1).await;
    deployment.services[0].inject(Fault::Refuse);
    let first = deployment.book(0, "k1", "mould 1").await;
    assert_eq!(error(first).await["outcome"], "not_run");
    deployment.services[0].inject(Fault::Clear);
    wait_until("the key is free again", async || deployment.book(1, "k1", "mould 1").await.status() == 201)
        .await;
    assert_eq!(deployment.services[0].runs()["mould 1"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_repeats() {
    let deployment = Deployment::start(3, 1).await;
    let calls = (0..24).map(|n| deployment.book(n % 3, "k1", "mould 1"));
    let answers = futures::future::join_all(calls).await;
    assert!(answers.iter().any(|a| a.status() == 201));
    assert_eq!(deployment.services[0].runs()["mould 1"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_per_customer() {
    let deployment = Deployment::start(2, 1).await;
    assert_eq!(deployment.book(0, "k1", "mould 1").await.status(), 201);
    let other = deployment.booking(0, "k1", "mould 2").bearer_auth("key-of-c2");
    let other = other.send().await.unwrap();
    // The request has two Authorization headers and the first one counts: the same customer, with the same idempotency
    // key for another call.
    assert_eq!(other.status(), StatusCode::UNPROCESSABLE_ENTITY);
    let request = deployment.client.post(deployment.url(0, "v1/services/bookings/bookings"));
    let request = request.bearer_auth("key-of-c2").header("idempotency-key", "k1");
    let own = request.json(&serde_json::json!({"booking": "mould 2"})).send().await.unwrap();
    assert_eq!(own.status(), 201, "idempotency keys of different customers collide");
}
