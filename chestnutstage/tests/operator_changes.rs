//! Configuration changes by operators: concurrent, during failures, and invalid ones.

mod common;

use chestnutstage_config::fleet::{Change, Exception, Rule};
use chestnutstage_core::contract::Contract;
use chestnutstage_core::ids::CustomerId;
use chestnutstage_fakes::platform::Fault as StoreFault;
use common::{Deployment, NORTH, SOUTH, error, wait_until};
use reqwest::StatusCode;
use serde_json::Value;

const NORTH_REASON: &str = "winter lanterns need more room";
const SOUTH_REASON: &str = "festival season has started here";

fn contract(rate: u64, reason: &str) -> Change {
    let rule = Rule::Contract {
        customer: CustomerId::from("c1"),
        contract: Contract { rate, ..Contract::default() },
    };
    Change::AddException("c1-rate".into(), Exception { rule, reason: reason.into() })
}

#[tokio::test(flavor = "multi_thread")]
async fn conflicting_changes() {
    let deployment = Deployment::start(3, 1).await;
    let base = deployment.version(0).await;
    let (north, south) = (contract(5_000_000, NORTH_REASON), contract(7_000_000, SOUTH_REASON));
    let (first, second) = tokio::join!(
        deployment.change(0, NORTH, base, NORTH_REASON, &north),
        deployment.change(1, SOUTH, base, SOUTH_REASON, &south),
    );
    let (accepted, rejected) = if first.status() == 200 { (first, second) } else { (second, first) };
    assert_eq!(accepted.status(), 200);
    assert_eq!(rejected.status(), StatusCode::CONFLICT);
    let message = error(rejected).await["message"].as_str().unwrap().to_owned();
    assert!(message.contains("desk"), "the author of the other change is missing: {message}");
    assert!(
        message.contains(NORTH_REASON) || message.contains(SOUTH_REASON),
        "its reason is missing: {message}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn independent_changes() {
    let deployment = Deployment::start(3, 1).await;
    let base = deployment.version(0).await;
    let (north, south) = (contract(5_000_000, NORTH_REASON), Change::ZoneOut("c".into()));
    let (first, second) = tokio::join!(
        deployment.change(0, NORTH, base, NORTH_REASON, &north),
        deployment.change(1, SOUTH, base, SOUTH_REASON, &south),
    );
    assert_eq!(
        (first.status().as_u16(), second.status().as_u16()),
        (200, 200),
        "the changes are independent"
    );
    for i in 0..3 {
        assert_eq!(deployment.version(i).await, base + 2);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_store_response() {
    let deployment = Deployment::start(2, 1).await;
    let base = deployment.version(0).await;
    deployment.platform.inject(StoreFault::LoseResponses(1));
    let change = Change::ZoneOut("b".into());
    let answer = deployment.change(0, NORTH, base, "the ice must be kept cold", &change).await;
    let answer: Value = answer.json().await.unwrap();
    assert_eq!((answer["version"].as_u64(), answer["progress"].as_str()), (Some(base + 1), Some("in_force")));
    assert_eq!(deployment.platform.rows("config").len() as u64, base + 1, "not committed exactly once");
}

#[tokio::test(flavor = "multi_thread")]
async fn store_down() {
    let deployment = Deployment::start(2, 1).await;
    let base = deployment.version(0).await;
    deployment.platform.inject(StoreFault::Down);
    let change = Change::ZoneOut("b".into());
    let answer = deployment.change(0, NORTH, base, "the ice must be kept cold", &change).await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    let error = error(answer).await;
    assert_eq!(
        (error["code"].as_str(), error["outcome"].as_str()),
        (Some("store_unavailable"), Some("not_run"))
    );
    assert_eq!(deployment.version(1).await, base);
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_instance() {
    let mut deployment = Deployment::start(4, 1).await;
    let base = deployment.version(0).await;
    deployment.instances.remove(3).kill();
    let change = Change::ZoneOut("b".into());
    let answer = deployment.change(0, NORTH, base, "the ice must be kept cold", &change).await;
    let answer: Value = answer.json().await.unwrap();
    assert_eq!(answer["progress"], "in_force", "the rollout did not finish without the killed instance");
}

#[tokio::test(flavor = "multi_thread")]
async fn log_replay() {
    // A restarted instance reads the whole log from the store, so every row must deserialize.
    let mut deployment = Deployment::start(1, 1).await;
    let base = deployment.version(0).await;
    let change = contract(5_000_000, NORTH_REASON);
    assert_eq!(deployment.change(0, NORTH, base, NORTH_REASON, &change).await.status(), 200);
    deployment.instances.remove(0).kill();
    deployment.unlist("i1");
    deployment.join("i2", "a").await;
    wait_until("the new instance has the configuration", async || deployment.version(0).await == base + 1)
        .await;
    let config = deployment.query_operator(0, NORTH, "operator/config").await;
    assert_eq!(config["exceptions"]["c1-rate"]["reason"], NORTH_REASON);
}

#[tokio::test(flavor = "multi_thread")]
async fn insufficient_reason() {
    let deployment = Deployment::start(1, 1).await;
    let base = deployment.version(0).await;
    for reason in ["", "because", "x x x x x x x x x x"] {
        let change = contract(5_000_000, reason);
        let answer = deployment.change(0, NORTH, base, reason, &change).await;
        assert_eq!(answer.status(), StatusCode::UNPROCESSABLE_ENTITY, "{reason:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn forged_author() {
    let deployment = Deployment::start(1, 1).await;
    let base = deployment.version(0).await;
    let body = serde_json::json!({
        "base": base, "reason": "written in the north", "office": "north", "author": "north desk",
        "change": Change::ZoneIn("b".into()),
    });
    let request = deployment.client.post(deployment.url(0, "operator/change")).bearer_auth(SOUTH);
    let answer = request.json(&body).send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::BAD_REQUEST, "office and author may come only from the token");
    let unknown = deployment.change(0, "token-of-nobody", base, "", &Change::ZoneIn("b".into())).await;
    assert_eq!(unknown.status(), StatusCode::UNAUTHORIZED);
}
