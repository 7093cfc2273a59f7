//! Reserved KV memory is freed after success, failures, disconnects and crashes.

mod common;

use chestnutstage_fakes::endpoint::Fault;
use common::{Deployment, wait_until};
use serde_json::json;

/// A prompt of about a million tokens.
fn long_prompt_text() -> String {
    "cast ".repeat(800_000)
}

fn reservations(deployment: &Deployment) -> usize {
    deployment.engines.iter().map(chestnutstage_fakes::endpoint::EngineFake::reservations).sum()
}

/// Waits until the slow-start windows of all engines have grown, as long prompts are never placed on a cold engine.
async fn wait_until_warm(deployment: &Deployment) {
    wait_until("every engine accepts long prompts", async || {
        let mut open = 0;
        for i in 0..deployment.instances.len() {
            let state = deployment.query_operator(i, common::NORTH, "debug/state").await;
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
async fn long_prompt() {
    let deployment = Deployment::start(2, 4).await;
    wait_until_warm(&deployment).await;
    let answer = deployment.complete(0, &long_prompt_text(), 3).await;
    assert_eq!(answer.status(), 200, "{:?}", answer.text().await);
    wait_until("all memory is free", async || reservations(&deployment) == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnects() {
    let deployment = Deployment::start(2, 4).await;
    wait_until_warm(&deployment).await;
    let request = tokio::spawn(deployment.completion(0, &long_prompt_text(), 3, false).send());
    wait_until("memory is held", async || reservations(&deployment) == 3).await;
    request.abort();
    wait_until("all memory is free", async || reservations(&deployment) == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_entry() {
    let mut deployment = Deployment::start(3, 4).await;
    wait_until_warm(&deployment).await;
    let request = tokio::spawn(deployment.completion(2, &long_prompt_text(), 3, false).send());
    wait_until("memory is held", async || reservations(&deployment) == 3).await;
    deployment.instances.remove(2).kill();
    wait_until("the owners free the reservations of the killed instance", async || {
        reservations(&deployment) == 0
    })
    .await;
    request.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_restart() {
    let deployment = Deployment::start(2, 4).await;
    wait_until_warm(&deployment).await;
    let request = tokio::spawn(deployment.completion(0, &long_prompt_text(), 3, false).send());
    wait_until("memory is held", async || reservations(&deployment) == 3).await;
    let holder = deployment.engines.iter().find(|e| e.reservations() > 0).unwrap();
    holder.inject(Fault::Restart);
    let answer = request.await.unwrap().unwrap();
    assert_eq!(answer.status(), 200, "the lost segment was not prefilled again: {:?}", answer.text().await);
    wait_until("all memory is free", async || reservations(&deployment) == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn foreign_reservation() {
    let deployment = Deployment::start(2, 1).await;
    let address = deployment.engines[0].listing().address;
    let put = async |name: &str| {
        let url = format!("http://{address}/kv/{name}");
        let body = json!({"tokens": 10, "ttl": 600_000});
        assert_eq!(deployment.client.put(url).json(&body).send().await.unwrap().status(), 201);
    };
    put("somebody-elses").await;
    put(&format!("i77.{:032x}.0", 5)).await;
    wait_until("the reservation of an unknown instance is freed", async || {
        deployment.engines[0].reservations() == 1
    })
    .await;
    let url = format!("http://{address}/kv");
    let holdings: serde_json::Value = deployment.client.get(url).send().await.unwrap().json().await.unwrap();
    assert!(holdings["somebody-elses"].is_object(), "a reservation of another system was freed");
}
