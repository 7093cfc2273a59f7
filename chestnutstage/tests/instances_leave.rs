//! Instances that leave, die, join, and are cut off.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use chestnutstage_fakes::platform::Fault as StoreFault;
use common::{Deployment, NORTH, until};

#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown() {
    let mut deployment = Deployment::start(3, 3).await;
    let long: Vec<_> = (0..6)
        .map(|n| tokio::spawn(deployment.completion(n % 3, "a long answer", 150, true).send()))
        .collect();
    until("the streams run", async || {
        deployment.engines.iter().map(chestnutstage_fakes::endpoint::EngineFake::running).sum::<usize>() >= 6
    })
    .await;
    let leaving = deployment.instances.remove(2);
    let gone = tokio::spawn(leaving.shutdown());
    for stream in long {
        let body = stream.await.unwrap().unwrap().text().await.unwrap();
        assert!(body.contains("[DONE]"), "a request was cut: {body}");
    }
    gone.await.unwrap();
    for i in 0..4 {
        assert_eq!(deployment.ask(i % 2, "after it left", 2).await.status(), 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart() {
    let mut deployment = Deployment::start(7, 6).await;
    // What the platform's balancer has in rotation; it takes an instance out while that still serves.
    let rotation: Arc<Mutex<Vec<String>>> = Arc::default();
    let urls =
        |d: &Deployment| (0..d.instances.len()).map(|i| d.url(i, "v1/chat/completions")).collect::<Vec<_>>();
    *rotation.lock().unwrap() = urls(&deployment);
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..12)
        .map(|n| tokio::spawn(keep_asking(deployment.client.clone(), rotation.clone(), stop.clone(), n)))
        .collect();
    for number in 1..=7 {
        let leaving = deployment.instances.remove(0);
        rotation.lock().unwrap().remove(0);
        leaving.shutdown().await;
        let id = format!("i{number}");
        deployment.unlist(&id);
        deployment.join(&id, ["a", "b", "c"][(number - 1) % 3]).await;
        deployment.ready().await;
        *rotation.lock().unwrap() = urls(&deployment);
    }
    stop.store(true, Ordering::Relaxed);
    let mut whole = 0;
    for caller in callers {
        let (answers, cut) = caller.await.unwrap();
        assert_eq!(cut, Vec::<String>::new());
        whole += answers;
    }
    assert!(whole > 0);
}

/// Asks again and again through the balancer; counts whole answers and gathers the others.
async fn keep_asking(
    client: reqwest::Client,
    rotation: Arc<Mutex<Vec<String>>>,
    stop: Arc<AtomicBool>,
    n: usize,
) -> (usize, Vec<String>) {
    let (mut whole, mut cut) = (0, Vec::new());
    let body = serde_json::json!({
        "model": chestnutstage_fakes::world::MODEL,
        "max_tokens": 20,
        "stream": true,
        "messages": [{"role": "user", "content": "through a rolling restart"}],
    });
    for turn in n.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let url = {
            let urls = rotation.lock().unwrap();
            urls[turn % urls.len()].clone()
        };
        let answer = client.post(url).bearer_auth(common::KEY).json(&body).send().await;
        match answer {
            Ok(answer) => match answer.text().await {
                Ok(text) if text.contains("[DONE]") => whole += 1,
                Ok(text) => cut.push(text),
                Err(e) => cut.push(e.to_string()),
            },
            Err(e) => cut.push(e.to_string()),
        }
    }
    (whole, cut)
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_owner() {
    let mut deployment = Deployment::start(3, 1).await;
    let owner = deployment.owner_of("e1").await.unwrap();
    let entry = (owner + 1) % 3;
    let stream = tokio::spawn(deployment.completion(entry, "survives its owner", 100, true).send());
    until("the stream runs", async || deployment.engines[0].running() > 0).await;
    let dead = deployment.instances.remove(owner);
    dead.kill();
    let body = stream.await.unwrap().unwrap().text().await.unwrap();
    assert!(body.contains("[DONE]"), "the owner's death cuts nobody's stream");
    until("another instance owns the engine", async || {
        deployment.ask(0, "who owns it now?", 2).await.status() == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn joining_instance() {
    let mut deployment = Deployment::start(2, 3).await;
    let version = deployment.version(0).await;
    deployment.join("i9", "c").await;
    deployment.ready().await;
    assert_eq!(deployment.version(2).await, version, "it starts with its peers' configuration");
}

#[tokio::test(flavor = "multi_thread")]
async fn joins_in_outage() {
    let mut deployment = Deployment::start(2, 2).await;
    let version = deployment.version(0).await;
    // The whole store is gone, but the list can still be had from the settings' seeds: the newcomer learns from peers.
    deployment.join("i9", "c").await;
    deployment.platform.inject(StoreFault::Down);
    until("the newcomer has its peers' configuration", async || deployment.version(2).await == version).await;
    assert_eq!(deployment.ask(0, "served in the outage", 2).await.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn store_outage_serves() {
    let deployment = Deployment::start(3, 2).await;
    deployment.platform.inject(StoreFault::Down);
    // Longer than the isolation time, on the clock that the instances go by.
    tokio::time::sleep(std::time::Duration::from_secs(5)).await;
    for i in 0..3 {
        assert_eq!(deployment.ask(i, "without the store", 2).await.status(), 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_off_instance() {
    let mut deployment = Deployment::start(3, 2).await;
    for dead in deployment.instances.drain(1..) {
        dead.kill();
    }
    deployment.platform.inject(StoreFault::Down);
    until("the last one stops taking work", async || {
        let answer = deployment.ask(0, "alone", 2).await;
        let refused = answer.status() == 503;
        refused && common::error(answer).await["code"] == "isolated"
    })
    .await;
    deployment.platform.inject(StoreFault::Clear);
    until("the store assures it again", async || deployment.ask(0, "not alone", 2).await.status() == 200)
        .await;
    assert_eq!(deployment.operator(0, NORTH, "debug/state").await["config"]["current"], true);
}
