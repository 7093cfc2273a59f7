//! Streams that stall, break, or lose their engine, and callers that disconnect or wait in a queue.

mod common;

use chestnutstage_config::fleet::{Change, Exception, Rule};
use chestnutstage_core::length::Tokens;
use chestnutstage_core::window::{Capacity, Load};
use chestnutstage_fakes::endpoint::Fault;
use common::{Deployment, NORTH, error, wait_until};
use futures::StreamExt;
use serde_json::Value;

/// Returns the texts of a stream's pieces, and its last event.
async fn read_stream(response: reqwest::Response) -> (Vec<String>, String) {
    let body = response.text().await.unwrap();
    let events: Vec<_> = body.split("\n\n").filter_map(|e| e.trim().strip_prefix("data: ")).collect();
    let text = |e: &&str| {
        let chunk: Value = serde_json::from_str(e).ok()?;
        chunk["choices"][0]["delta"]["content"].as_str().map(str::to_owned)
    };
    (events.iter().filter_map(text).collect(), (*events.last().unwrap()).to_owned())
}

fn expected_pieces(count: u64) -> Vec<String> {
    (0..count).map(|n| format!("t{n} ")).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn stalled_connection() {
    let deployment = Deployment::start(2, 1).await;
    let engine = &deployment.engines[0];
    let stream = tokio::spawn(deployment.completion(0, "a long answer", 120, true).send());
    wait_until("the stream runs", async || engine.running() > 0).await;
    engine.inject(Fault::StallStreams);
    let (pieces, last) = read_stream(stream.await.unwrap().unwrap()).await;
    assert_eq!(last, "[DONE]");
    assert_eq!(pieces, expected_pieces(120), "every piece arrives once, in order");
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_restart() {
    let deployment = Deployment::start(2, 1).await;
    let engine = &deployment.engines[0];
    let response = deployment.completion(0, "an answer cut short", 400, true).send().await.unwrap();
    let mut stream = response.bytes_stream();
    stream.next().await.unwrap().unwrap();
    engine.inject(Fault::Restart);
    let mut remaining = String::new();
    while let Some(part) = stream.next().await {
        remaining.push_str(&String::from_utf8_lossy(&part.unwrap()));
    }
    assert!(remaining.contains("\"outcome\":\"unknown\""), "the stream ended without an explicit error");
    assert!(!remaining.contains("[DONE]"));
}

#[tokio::test(flavor = "multi_thread")]
async fn refusing_engine() {
    let deployment = Deployment::start(2, 3).await;
    for engine in &deployment.engines[..2] {
        engine.inject(Fault::Refuse);
    }
    for i in 0..6 {
        assert_eq!(deployment.complete(i % 2, "goes elsewhere", 3).await.status(), 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn hanging_engine() {
    let deployment = Deployment::start(2, 2).await;
    deployment.engines[0].inject(Fault::Hang);
    for i in 0..4 {
        assert_eq!(deployment.complete(i % 2, "goes elsewhere", 3).await.status(), 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnects() {
    let deployment = Deployment::start(2, 1).await;
    let engine = &deployment.engines[0];
    let response = deployment.completion(0, "never read", 4_000, true).send().await.unwrap();
    wait_until("the stream runs", async || engine.running() > 0).await;
    drop(response);
    wait_until("the engine stops the request", async || engine.running() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn deadline_exceeded() {
    let deployment = Deployment::start(2, 1).await;
    let engine = &deployment.engines[0];
    // The engine turns cold without notice, so that it misses the deadline of a request that was already admitted.
    engine.inject(Fault::Cold);
    let request = deployment.completion(0, "too slow", 60, false).header("x-request-timeout-ms", 2_000);
    let answer = request.send().await.unwrap();
    assert_eq!(answer.status(), 504);
    assert!(answer.headers().contains_key("retry-after"));
    assert_eq!(error(answer).await["outcome"], "unknown");
    wait_until("the request is cancelled on the engine", async || engine.running() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn long_queue_wait() {
    // A request that waits in an owner's queue for longer than the owner timeout must keep its place: the entry must
    // not take the owner for lost.
    for instances in [1, 2] {
        let deployment = Deployment::start(instances, 1).await;
        let engine = deployment.engines[0].listing().id;
        let exception = Change::AddException(
            "narrow".into(),
            Exception {
                rule: Rule::Capacity { endpoint: engine, capacity: single_request() },
                reason: "this engine is on loan to the night shift".into(),
            },
        );
        let base = deployment.version(0).await;
        let answer = deployment.change(0, NORTH, base, "", &exception).await;
        assert_eq!(answer.status(), 200, "{:?}", answer.text().await);
        let first = tokio::spawn(deployment.completion(0, "holds the engine", 500, false).send());
        wait_until("the first request runs", async || deployment.engines[0].running() > 0).await;
        let second = deployment.complete(0, "waits for it", 2).await;
        assert_eq!(second.status(), 200);
        let id = second.headers()["x-request-id"].to_str().unwrap();
        let explained = deployment.query_operator(0, NORTH, &format!("operator/explain/{id}")).await;
        assert!(!explained.to_string().contains("owner_lost"), "the owner was taken for lost: {explained}");
        assert_eq!(first.await.unwrap().unwrap().status(), 200);
    }
}

/// Capacity for one request at a time.
fn single_request() -> Capacity {
    let load = Load { requests: 1, tokens: Tokens(100_000) };
    Capacity { cold: load, warm: load }
}

#[tokio::test(flavor = "multi_thread")]
async fn unmeetable_deadline() {
    let deployment = Deployment::start(2, 1).await;
    let before = deployment.engines[0].submitted();
    let request =
        deployment.completion(0, "no time at all", 10_000, false).header("x-request-timeout-ms", 500);
    let answer = request.send().await.unwrap();
    assert_eq!(answer.status(), 429);
    assert!(answer.headers().contains_key("retry-after"));
    assert_eq!(error(answer).await["outcome"], "not_run");
    assert_eq!(deployment.engines[0].submitted(), before);
}
