//! What a caller is told of a request that did not go well: "not run" only where that is known.

mod common;

use std::time::Duration;

use chestnutstage_gateway::external::{Fact, Topic};
use common::backend::{Backend, Reply, answer, success};
use common::{Harness, catalog, listing};
use reqwest::{Method, StatusCode};

async fn once(replies: Vec<Reply>) -> (StatusCode, usize) {
    let backend = Backend::start(replies).await;
    let harness = Harness::start(vec![listing("d1", "desk", backend.address)]).await;
    let status = harness.status(Method::POST, "/book/x").await;
    (status, backend.requests().len())
}

#[tokio::test]
async fn cut_without_answer() {
    let (status, sent) = once(vec![Reply::Truncate(String::new())]).await;
    assert_eq!(
        (status, sent),
        (StatusCode::BAD_GATEWAY, 1),
        "it may have run: neither 503 nor a second send"
    );
}

#[tokio::test]
async fn refusal_without_mark() {
    let bare = Reply::Bytes(answer("503 Full", "x-seal: s\r\n", ""));
    let (status, sent) = once(vec![bare, success("done")]).await;
    assert_eq!((status, sent), (StatusCode::BAD_GATEWAY, 1), "the endpoint does not say that it did not run");
}

#[tokio::test]
async fn refusal_with_mark() {
    let full = Reply::Bytes(answer("503 Full", "x-not-run: 1\r\n", ""));
    let refusing = Backend::start(vec![full]).await;
    let taking = Backend::start(vec![success("done")]).await;
    let listings = vec![listing("d1", "desk", refusing.address), listing("d2", "desk", taking.address)];
    let harness = Harness::start(listings).await;
    for _ in 0..4 {
        assert_eq!(harness.status(Method::POST, "/book/x").await, StatusCode::OK, "not run: sent elsewhere");
    }
    assert_eq!(taking.requests().len(), 4);
}

#[tokio::test]
async fn all_full() {
    let full = Reply::Bytes(answer("503 Full", "x-not-run: 1\r\n", ""));
    let backend = Backend::start(vec![full]).await;
    let harness = Harness::start(vec![listing("d1", "desk", backend.address)]).await;
    let answer = harness.request(Method::POST, "/book/x").send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("retry-after"), "when to come back");
    assert!(!answer.headers().contains_key("x-seal"), "not the endpoint's answer");
}

#[tokio::test]
async fn success_without_mark() {
    let (status, sent) = once(vec![Reply::Bytes(answer("200 OK", "", "done"))]).await;
    assert_eq!((status, sent), (StatusCode::BAD_GATEWAY, 1));
}

#[tokio::test]
async fn answer_of_another() {
    let other =
        "HTTP/1.1 200 OK\r\nx-attempt: attempt-0\r\nx-seal: s\r\ncontent-length: 2\r\n\r\nno".to_owned();
    let (status, sent) = once(vec![Reply::Bytes(other)]).await;
    assert_eq!((status, sent), (StatusCode::BAD_GATEWAY, 1));
}

#[tokio::test]
async fn short_answer() {
    let short =
        "HTTP/1.1 200 OK\r\nx-attempt: attempt-1\r\nx-seal: s\r\ncontent-length: 9\r\n\r\nhalf".to_owned();
    let (status, sent) = once(vec![Reply::Truncate(short)]).await;
    assert_eq!((status, sent), (StatusCode::BAD_GATEWAY, 1), "half an answer is none");
}

#[tokio::test]
async fn extra_answer() {
    let twice = answer("200 OK", "x-seal: s\r\n", "one") + &answer("200 OK", "x-seal: s\r\n", "two");
    let backend = Backend::start(vec![Reply::Bytes(twice), success("three")]).await;
    let harness = Harness::start(vec![listing("d1", "desk", backend.address)]).await;
    let text = async || harness.request(Method::POST, "/book/x").send().await.unwrap().text().await.unwrap();
    assert_eq!(text().await, "one");
    assert_eq!(text().await, "three", "bytes that belong to no request are never an answer");
}

#[tokio::test]
async fn other_instance() {
    let stranger = Reply::Bytes("HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n".to_owned());
    let (status, _) = once(vec![stranger]).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "another endpoint has the address: not run");
}

#[tokio::test]
async fn closed_port() {
    let address = Backend::start(vec![success("")]).await.address;
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let listings = vec![listing("d1", "desk", free), listing("d2", "desk", address)];
    let harness = Harness::start(listings).await;
    for _ in 0..4 {
        assert_eq!(
            harness.status(Method::POST, "/book/x").await,
            StatusCode::OK,
            "nothing was sent to the other"
        );
    }
}

#[tokio::test]
async fn finished_answer_kept() {
    let error = Reply::Bytes(answer("500 Broken", "x-seal: s\r\n", "no"));
    let backend = Backend::start(vec![error]).await;
    let harness = Harness::start(vec![listing("d1", "desk", backend.address)]).await;
    let answer = harness.request(Method::GET, "/look/x").send().await.unwrap();
    assert_eq!(
        answer.status(),
        StatusCode::INTERNAL_SERVER_ERROR,
        "no other endpoint: its answer is delivered"
    );
    assert_eq!(answer.headers()["x-seal"], "s");
    assert_eq!(answer.text().await.unwrap(), "no");
}

#[tokio::test]
async fn unknown_then_refused() {
    let backend = Backend::start(vec![Reply::Truncate(String::new())]).await;
    let harness = Harness::start(vec![listing("d1", "desk", backend.address)]).await;
    let status = harness.status(Method::GET, "/look/x").await;
    assert_eq!(status, StatusCode::BAD_GATEWAY, "it may have run: a refusal would not be true");
}

/// What bars a second attempt tells nothing about the first, which may have run.
#[tokio::test]
async fn barred_after_a_run() {
    let backend = Backend::start(vec![Reply::Hang(String::new())]).await;
    let listings = vec![listing("d1", "desk", backend.address), listing("d2", "desk", backend.address)];
    let harness = Harness::start(listings).await;
    let sent = tokio::spawn(harness.request(Method::GET, "/look/x").send());
    while backend.requests().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut next = catalog(2);
    next.customers[0].keys = vec!["another".into()];
    harness.store.publish(Topic::Operators, vec![Fact::Catalog(Box::new(next))]);
    let answer = sent.await.unwrap().unwrap();
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY, "unknown, not refused");
    assert_eq!(backend.requests().len(), 1);
}
