//! Streams that break after their first events, and whose next endpoint does not go on with them.

mod common;

use common::backend::{Backend, Reply, answer, event, stream};
use common::{Harness, listing};
use reqwest::Method;

/// Bytes that the caller gets of a stream that breaks after two events, if the next endpoint sends this, and whether they look
/// complete.
async fn received(next: &str) -> (String, bool) {
    let replies = vec![Reply::Truncate(stream(1..=2)), Reply::Truncate(next.to_owned())];
    let backend = Backend::start(replies).await;
    let listings = vec![listing("e1", "llm", backend.address), listing("e2", "llm", backend.address)];
    let harness = Harness::start(listings).await;
    let request = harness.request(Method::POST, "/chat/x").header("x-tokens", "100").body("prompt");
    let mut response = request.send().await.unwrap();
    let mut text = Vec::new();
    let complete = loop {
        match response.chunk().await {
            Ok(Some(bytes)) => text.extend_from_slice(&bytes),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    assert_eq!(backend.requests().len(), 2, "another endpoint was tried");
    (String::from_utf8(text).unwrap(), complete)
}

async fn broken_after_two(next: &str) {
    assert_eq!(received(next).await, (event(1) + &event(2), false), "next: {next}");
}

#[tokio::test]
async fn error_responses() {
    for status in ["500 Failed", "503 Full", "504 Late", "404 Gone", "429 Full", "302 Moved"] {
        for headers in ["", "x-seal: s\r\n", "x-not-run: 1\r\n"] {
            broken_after_two(&answer(status, headers, "id: 3\ndata: error\n\n")).await;
        }
    }
}

#[tokio::test]
async fn error_in_success() {
    broken_after_two(&answer("200 OK", "", "id: 3\ndata: no seal\n\n")).await;
    broken_after_two("not a response at all\r\n\r\n").await;
    let head = "HTTP/1.1 200 OK\r\nx-attempt: attempt-1\r\nx-seal: s\r\n";
    broken_after_two(&format!("{head}content-length: 500\r\n\r\nHTTP/1.1 500 Failed\r\n")).await;
}

/// The end of a connection is not the end of a stream that has sent nothing yet.
#[tokio::test]
async fn connection_ends_at_once() {
    broken_after_two("HTTP/1.1 200 OK\r\nx-attempt: attempt-1\r\nx-seal: s\r\n\r\n").await;
}
