//! Outcomes of failed requests as reported to callers: "not run" only if that is certain.

mod common;

use std::time::Duration;

use chestnutstage_gateway::external::{Fact, Topic};
use common::backend::{Backend, Reply, answer, success};
use common::{Harness, catalog, listing};
use reqwest::{Method, StatusCode};

async fn send_once(replies: Vec<Reply>) -> (StatusCode, usize) {
    let backend = Backend::start(replies).await;
    let harness = Harness::start(vec![listing("d1", "desk", backend.address)]).await;
    let status = harness.status(Method::POST, "/book/x").await;
    (status, backend.requests().len())
}

#[tokio::test]
async fn closed_without_response() {
    let (status, sent) = send_once(vec![Reply::Truncate(String::new())]).await;
    assert_eq!(
        (status, sent),
        (StatusCode::BAD_GATEWAY, 1),
        "it may have run: neither 503 nor a second attempt"
    );
}

#[tokio::test]
async fn unmarked_refusal() {
    let unmarked = Reply::Bytes(answer("503 Full", "x-seal: s\r\n", ""));
    let (status, sent) = send_once(vec![unmarked, success("done")]).await;
    assert_eq!((status, sent), (StatusCode::BAD_GATEWAY, 1), "the endpoint's not-run header is absent");
}

#[tokio::test]
async fn marked_refusal() {
    let full = Reply::Bytes(answer("503 Full", "x-not-run: 1\r\n", ""));
    let refusing = Backend::start(vec![full]).await;
    let accepting = Backend::start(vec![success("done")]).await;
    let listings = vec![listing("d1", "desk", refusing.address), listing("d2", "desk", accepting.address)];
    let harness = Harness::start(listings).await;
    for _ in 0..4 {
        assert_eq!(
            harness.status(Method::POST, "/book/x").await,
            StatusCode::OK,
            "the request did not run, so it is sent to another endpoint"
        );
    }
    assert_eq!(accepting.requests().len(), 4);
}

#[tokio::test]
async fn all_endpoints_full() {
    let full = Reply::Bytes(answer("503 Full", "x-not-run: 1\r\n", ""));
    let backend = Backend::start(vec![full]).await;
    let harness = Harness::start(vec![listing("d1", "desk", backend.address)]).await;
    let response = harness.request(Method::POST, "/book/x").send().await.unwrap();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers().contains_key("retry-after"), "the refusal tells the caller when to retry");
    assert!(!response.headers().contains_key("x-seal"), "not the endpoint's response");
}

#[tokio::test]
async fn unmarked_success() {
    let (status, sent) = send_once(vec![Reply::Bytes(answer("200 OK", "", "done"))]).await;
    assert_eq!((status, sent), (StatusCode::BAD_GATEWAY, 1));
}

#[tokio::test]
async fn mismatched_attempt_id() {
    let other =
        "HTTP/1.1 200 OK\r\nx-attempt: attempt-0\r\nx-seal: s\r\ncontent-length: 2\r\n\r\nno".to_owned();
    let (status, sent) = send_once(vec![Reply::Bytes(other)]).await;
    assert_eq!((status, sent), (StatusCode::BAD_GATEWAY, 1));
}

#[tokio::test]
async fn truncated_response() {
    let truncated =
        "HTTP/1.1 200 OK\r\nx-attempt: attempt-1\r\nx-seal: s\r\ncontent-length: 9\r\n\r\nhalf".to_owned();
    let (status, sent) = send_once(vec![Reply::Truncate(truncated)]).await;
    assert_eq!((status, sent), (StatusCode::BAD_GATEWAY, 1), "a truncated response is not forwarded");
}

#[tokio::test]
async fn surplus_response() {
    let twice = answer("200 OK", "x-seal: s\r\n", "one") + &answer("200 OK", "x-seal: s\r\n", "two");
    let backend = Backend::start(vec![Reply::Bytes(twice), success("three")]).await;
    let harness = Harness::start(vec![listing("d1", "desk", backend.address)]).await;
    let text = async || harness.request(Method::POST, "/book/x").send().await.unwrap().text().await.unwrap();
    assert_eq!(text().await, "one");
    assert_eq!(text().await, "three", "surplus bytes are never read as a response");
}

#[tokio::test]
async fn misdirected_request() {
    let misdirected = Reply::Bytes("HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n".to_owned());
    let (status, _) = send_once(vec![misdirected]).await;
    assert_eq!(
        status,
        StatusCode::SERVICE_UNAVAILABLE,
        "another endpoint listens at the address, so the request did not run"
    );
}

#[tokio::test]
async fn connection_refused() {
    let address = Backend::start(vec![success("")]).await.address;
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let listings = vec![listing("d1", "desk", free), listing("d2", "desk", address)];
    let harness = Harness::start(listings).await;
    for _ in 0..4 {
        assert_eq!(
            harness.status(Method::POST, "/book/x").await,
            StatusCode::OK,
            "nothing was sent to the closed port"
        );
    }
}

#[tokio::test]
async fn error_response_kept() {
    let error = Reply::Bytes(answer("500 Broken", "x-seal: s\r\n", "no"));
    let backend = Backend::start(vec![error]).await;
    let harness = Harness::start(vec![listing("d1", "desk", backend.address)]).await;
    let response = harness.request(Method::GET, "/look/x").send().await.unwrap();
    assert_eq!(
        response.status(),
        StatusCode::INTERNAL_SERVER_ERROR,
        "there is no other endpoint, so its error response is forwarded"
    );
    assert_eq!(response.headers()["x-seal"], "s");
    assert_eq!(response.text().await.unwrap(), "no");
}

#[tokio::test]
async fn unknown_then_refused() {
    let backend = Backend::start(vec![Reply::Truncate(String::new())]).await;
    let harness = Harness::start(vec![listing("d1", "desk", backend.address)]).await;
    let status = harness.status(Method::GET, "/look/x").await;
    assert_eq!(
        status,
        StatusCode::BAD_GATEWAY,
        "the request may have run, but a refusal reports that it did not"
    );
}

/// A key is revoked between two attempts. The rejection of the second attempt must not report the request as not run, as
/// the first endpoint may still respond, until the deadline.
#[tokio::test]
async fn rejection_after_run() {
    let backend = Backend::start(vec![Reply::Hang(String::new())]).await;
    let listings = vec![listing("d1", "desk", backend.address), listing("d2", "desk", backend.address)];
    let harness = Harness::start(listings).await;
    let sending = tokio::spawn(harness.request(Method::GET, "/look/x").send());
    while backend.requests().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut next = catalog(2);
    next.customers[0].keys = vec!["another".into()];
    harness.store.publish(Topic::Operators, vec![Fact::Catalog(Box::new(next))]);
    let response = sending.await.unwrap().unwrap();
    assert_eq!(response.status(), StatusCode::GATEWAY_TIMEOUT, "outcome unknown, not rejected");
    assert_eq!(backend.requests().len(), 1);
}

/// The only endpoint closes the connection after the key was revoked. The rejection of the second attempt must not report the
/// request as not run.
#[tokio::test]
async fn rejection_after_failure() {
    let backend = Backend::start(vec![Reply::Abandon(Duration::from_secs(2), String::new())]).await;
    let listings = vec![listing("d1", "desk", backend.address), listing("d2", "desk", backend.address)];
    let harness = Harness::start(listings).await;
    let sending = tokio::spawn(harness.request(Method::GET, "/look/x").send());
    while backend.requests().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut next = catalog(2);
    next.customers[0].keys = vec!["another".into()];
    harness.store.publish(Topic::Operators, vec![Fact::Catalog(Box::new(next))]);
    let response = sending.await.unwrap().unwrap();
    assert_eq!(response.status(), StatusCode::BAD_GATEWAY, "outcome unknown, not rejected");
    assert_eq!(backend.requests().len(), 1);
}
