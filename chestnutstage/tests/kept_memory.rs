//! No engine loses memory for good.

mod common;

use chestnutstage_fakes::endpoint::Fault;
use common::{Deployment, until};
use serde_json::json;

/// A prompt of about a million tokens.
fn archive() -> String {
    "cast ".repeat(800_000)
}

fn held(deployment: &Deployment) -> usize {
    deployment.engines.iter().map(chestnutstage_fakes::endpoint::EngineFake::reservations).sum()
}

/// Waits until the engines' windows are open, as long prompts never go to a cold engine.
async fn warm(deployment: &Deployment) {
    until("every engine takes long work", async || {
        let mut open = 0;
        for i in 0..deployment.instances.len() {
            let state = deployment.operator(i, common::NORTH, "debug/state").await;
            let owned = state["owner"]["endpoints"].as_array().cloned().unwrap_or_default();
            open += owned
                .iter()
                .filter(|e| e["endpoint"]["kind"] == "engine" && e["window"]["requests"].as_u64() > Some(2))
                .count();
        }
        open == deployment.engines.len()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_archive() {
    let deployment = Deployment::start(2, 4).await;
    warm(&deployment).await;
    let answer = deployment.ask(0, &archive(), 3).await;
    assert_eq!(answer.status(), 200, "{:?}", answer.text().await);
    until("all memory is free", async || held(&deployment) == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_leaves() {
    let deployment = Deployment::start(2, 4).await;
    warm(&deployment).await;
    let asked = tokio::spawn(deployment.completion(0, &archive(), 3, false).send());
    until("memory is held", async || held(&deployment) == 3).await;
    asked.abort();
    until("all memory is free", async || held(&deployment) == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_holder() {
    let mut deployment = Deployment::start(3, 4).await;
    warm(&deployment).await;
    let asked = tokio::spawn(deployment.completion(2, &archive(), 3, false).send());
    until("memory is held", async || held(&deployment) == 3).await;
    deployment.instances.remove(2).kill();
    until("the owners free what the dead one held", async || held(&deployment) == 0).await;
    asked.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_dies_midway() {
    let deployment = Deployment::start(2, 4).await;
    warm(&deployment).await;
    let asked = tokio::spawn(deployment.completion(0, &archive(), 3, false).send());
    until("memory is held", async || held(&deployment) == 3).await;
    let holder = deployment.engines.iter().find(|e| e.reservations() > 0).unwrap();
    holder.inject(Fault::Restart);
    let answer = asked.await.unwrap().unwrap();
    assert_eq!(answer.status(), 200, "only the lost segment is done over: {:?}", answer.text().await);
    until("all memory is free", async || held(&deployment) == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stranger_on_engine() {
    let deployment = Deployment::start(2, 1).await;
    let address = deployment.engines[0].listing().address;
    let put = async |name: &str| {
        let url = format!("http://{address}/kv/{name}");
        let body = json!({"tokens": 10, "ttl": 600_000});
        assert_eq!(deployment.client.put(url).json(&body).send().await.unwrap().status(), 201);
    };
    put("somebody-elses").await;
    put(&format!("i77.{:032x}.0", 5)).await;
    until("what a vanished holder left is freed", async || deployment.engines[0].reservations() == 1).await;
    let url = format!("http://{address}/kv");
    let left: serde_json::Value = deployment.client.get(url).send().await.unwrap().json().await.unwrap();
    assert!(left["somebody-elses"].is_object(), "what is not ours stays");
}
