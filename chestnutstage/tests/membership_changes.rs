//! Instances that shut down, are killed, join, or become isolated.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use chestnutstage_fakes::platform::Fault as StoreFault;
use common::{Deployment, NORTH, wait_until};

#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown() {
    let mut deployment = Deployment::start(3, 3).await;
    let streams: Vec<_> = (0..6)
        .map(|n| tokio::spawn(deployment.completion(n % 3, "a long answer", 150, true).send()))
        .collect();
    wait_until("the streams run", async || {
        deployment.engines.iter().map(chestnutstage_fakes::endpoint::EngineFake::running).sum::<usize>() >= 6
    })
    .await;
    let leaving = deployment.instances.remove(2);
    let shutdown = tokio::spawn(leaving.shutdown());
    for stream in streams {
        let body = stream.await.unwrap().unwrap().text().await.unwrap();
        assert!(body.contains("[DONE]"), "a stream was cut off: {body}");
    }
    shutdown.await.unwrap();
    for i in 0..4 {
        assert_eq!(deployment.complete(i % 2, "after it left", 2).await.status(), 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart() {
    let mut deployment = Deployment::start(7, 6).await;
    // URLs in rotation at the platform's load balancer, which removes an instance while it still serves.
    let rotation: Arc<Mutex<Vec<String>>> = Arc::default();
    let urls =
        |d: &Deployment| (0..d.instances.len()).map(|i| d.url(i, "v1/chat/completions")).collect::<Vec<_>>();
    *rotation.lock().unwrap() = urls(&deployment);
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..12)
        .map(|n| {
            tokio::spawn(send_until_stopped(deployment.client.clone(), rotation.clone(), stop.clone(), n))
        })
        .collect();
    for number in 1..=7 {
        let leaving = deployment.instances.remove(0);
        rotation.lock().unwrap().remove(0);
        leaving.shutdown().await;
        let id = format!("i{number}");
        deployment.unlist(&id);
        deployment.join(&id, ["a", "b", "c"][(number - 1) % 3]).await;
        deployment.wait_until_ready().await;
        *rotation.lock().unwrap() = urls(&deployment);
    }
    stop.store(true, Ordering::Relaxed);
    let mut complete = 0;
    for caller in callers {
        let (completed, failed) = caller.await.unwrap();
        assert_eq!(failed, Vec::<String>::new());
        complete += completed;
    }
    assert!(complete > 0);
}

/// Sends requests through the load balancer until `stop` is set; counts complete responses and collects the others.
async fn send_until_stopped(
    client: reqwest::Client,
    rotation: Arc<Mutex<Vec<String>>>,
    stop: Arc<AtomicBool>,
    n: usize,
) -> (usize, Vec<String>) {
    let (mut complete, mut failed) = (0, Vec::new());
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
        let response = client.post(url).bearer_auth(common::KEY).json(&body).send().await;
        match response {
            Ok(response) => match response.text().await {
                Ok(text) if text.contains("[DONE]") => complete += 1,
                Ok(text) => failed.push(text),
                Err(e) => failed.push(e.to_string()),
            },
            Err(e) => failed.push(e.to_string()),
        }
    }
    (complete, failed)
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_owner() {
    let mut deployment = Deployment::start(3, 1).await;
    let owner = deployment.owner_of("e1").await.unwrap();
    let entry = (owner + 1) % 3;
    let stream = tokio::spawn(deployment.completion(entry, "survives its owner", 100, true).send());
    wait_until("the stream runs", async || deployment.engines[0].running() > 0).await;
    let killed = deployment.instances.remove(owner);
    killed.kill();
    let body = stream.await.unwrap().unwrap().text().await.unwrap();
    assert!(body.contains("[DONE]"), "the stream was cut off when its owner was killed");
    wait_until("another instance owns the engine", async || {
        deployment.complete(0, "who owns it now?", 2).await.status() == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn joining_instance() {
    let mut deployment = Deployment::start(2, 3).await;
    let version = deployment.version(0).await;
    deployment.join("i9", "c").await;
    deployment.wait_until_ready().await;
    assert_eq!(deployment.version(2).await, version, "it does not have its peers' configuration");
}

#[tokio::test(flavor = "multi_thread")]
async fn join_during_outage() {
    let mut deployment = Deployment::start(2, 2).await;
    let version = deployment.version(0).await;
    // The store is down, so the new instance finds its peers through the seeds in its settings and must get the
    // configuration from them.
    deployment.join("i9", "c").await;
    deployment.platform.inject(StoreFault::Down);
    wait_until("the new instance has its peers' configuration", async || {
        deployment.version(2).await == version
    })
    .await;
    assert_eq!(deployment.complete(0, "served in the outage", 2).await.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn store_outage() {
    let deployment = Deployment::start(3, 2).await;
    deployment.platform.inject(StoreFault::Down);
    // Longer than the isolation timeout; the clocks of the instances run in real time.
    tokio::time::sleep(std::time::Duration::from_secs(5)).await;
    for i in 0..3 {
        assert_eq!(deployment.complete(i, "without the store", 2).await.status(), 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn isolated_instance() {
    let mut deployment = Deployment::start(3, 2).await;
    for instance in deployment.instances.drain(1..) {
        instance.kill();
    }
    deployment.platform.inject(StoreFault::Down);
    wait_until("the remaining instance refuses requests", async || {
        let answer = deployment.complete(0, "alone", 2).await;
        let refused = answer.status() == 503;
        refused && common::error(answer).await["code"] == "isolated"
    })
    .await;
    deployment.platform.inject(StoreFault::Clear);
    wait_until("the instance serves again with the store", async || {
        deployment.complete(0, "not alone", 2).await.status() == 200
    })
    .await;
    assert_eq!(deployment.query_operator(0, NORTH, "debug/state").await["config"]["current"], true);
}
