//! A deployment in which a few planners place the requests of all instances.

mod common;

use std::time::Duration;

use common::backend::{END, PAUSE, Reply, stream, success};
use common::fleet::{Fleet, state};
use common::{Harness, catalog};
use reqwest::{Method, Response, StatusCode};
use tokio::time::sleep;

async fn start(replies: Vec<Reply>) -> Fleet {
    Fleet::start(catalog(1), 16, replies).await
}

async fn chat(harness: &Harness) -> Response {
    harness.request(Method::POST, "/chat/x").header("x-tokens", "100").send().await.unwrap()
}

#[tokio::test]
async fn grant_of_planner() {
    let fleet = start(vec![Reply::Hang(stream(1..=1))]).await;
    let response = chat(fleet.entry()).await;
    fleet.until_informed(3).await;
    let entry = state(fleet.entry()).await;
    assert!(!entry.contains("work: Brief"), "the instance itself has no grants");
    assert!(entry.contains("planner = false") && entry.contains("asked_planners = [InstanceId("), "{entry}");
    drop(response);
    fleet.until_informed(0).await;
}

/// Each open request keeps a stream to its planner; there may be many more than the hundred that QUIC allows by default,
/// times the planners that are asked.
#[tokio::test]
async fn many_open_requests() {
    const REQUESTS: usize = 350;
    let fleet = start(vec![Reply::Hang(String::new())]).await;
    let entry = fleet.entry();
    let planner = fleet.planners().next().unwrap();
    let mut calls = Vec::new();
    for number in 1..=REQUESTS {
        calls.push(tokio::spawn(entry.request(Method::POST, "/book/x").send()));
        // One after the other, so that each is answered in time on a busy machine.
        while number.is_multiple_of(10) && state(planner).await.matches("work: Plain").count() < number {
            sleep(Duration::from_millis(5)).await;
        }
    }
    // On a busy machine a planner may answer too late; a request that was then placed alone is told to one afterwards.
    while state(entry).await.contains("work: Plain") {
        sleep(Duration::from_millis(10)).await;
    }
    let held = state(planner).await.matches("work: Plain").count();
    assert!(held >= REQUESTS, "{held}");
    calls.iter().for_each(tokio::task::JoinHandle::abort);
}

#[tokio::test]
async fn lost_planners() {
    let text = stream(1..=1);
    let mut fleet = start(vec![Reply::Pause(PAUSE, text, END.into())]).await;
    let response = chat(fleet.entry()).await;
    fleet.until_informed(3).await;
    fleet.stop_planners(2).await;
    fleet.until_informed(1).await;
    assert!(response.text().await.is_ok(), "the request outlives the planner that placed it");
    assert_eq!(fleet.entry().status(Method::GET, "/look/x").await, StatusCode::OK);
}

#[tokio::test]
async fn no_planner_left() {
    let mut fleet = start(vec![success("done")]).await;
    fleet.stop_planners(3).await;
    for _ in 0..3 {
        assert_eq!(fleet.entry().status(Method::GET, "/look/x").await, StatusCode::OK, "placed alone");
    }
}
