//! Responses without a length and without chunks, which end with their connection.

mod common;

use common::backend::{Backend, Reply, event};
use common::{Harness, listing};
use reqwest::{Method, StatusCode};

const HEAD: &str = "HTTP/1.1 200 OK\r\nx-attempt: attempt-1\r\nx-seal: s\r\n\r\n";

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event).collect()
}

/// Sends a prompt to engines that all give this reply, and returns the events; `None` if the stream broke.
async fn prompt(path: &str, reply: Reply) -> Option<String> {
    let backend = Backend::start(vec![reply]).await;
    let listings = vec![listing("e1", "llm", backend.address), listing("e2", "llm", backend.address)];
    let harness = Harness::start(listings).await;
    let request = harness.request(Method::POST, path).header("x-tokens", "100").body("prompt");
    request.send().await.unwrap().text().await.ok()
}

#[tokio::test]
async fn whole_stream() {
    for path in ["/chat/x", "/tape/x"] {
        let whole = Reply::Truncate(HEAD.to_owned() + &events(1..=3));
        assert_eq!(prompt(path, whole).await, Some(events(1..=3)), "{path}");
    }
}

#[tokio::test]
async fn cut_inside_event() {
    let cut = HEAD.to_owned() + &events(1..=3) + "id: 4\nda";
    assert_eq!(prompt("/tape/x", Reply::Truncate(cut.clone())).await, None, "must not look complete");
    let resumed = Reply::Resume(cut, HEAD.to_owned() + &events(4..=5));
    let backend = Backend::start(vec![resumed.clone()]).await;
    let other = Backend::start(vec![resumed]).await;
    let listings = vec![listing("e1", "llm", backend.address), listing("e2", "llm", other.address)];
    let harness = Harness::start(listings).await;
    let request = harness.request(Method::POST, "/chat/x").header("x-tokens", "100").body("prompt");
    let mut response = request.send().await.unwrap();
    let mut text = String::new();
    while text.len() < events(1..=5).len() {
        let chunk = response.chunk().await.unwrap().expect("the stream goes on");
        text += &String::from_utf8_lossy(&chunk);
    }
    assert_eq!(text, events(1..=5));
}

/// An engine ends between its head and its first event. Without a length, only the missing events tell.
#[tokio::test]
async fn cut_before_event() {
    for path in ["/chat/x", "/tape/x"] {
        let backend = Backend::start(vec![Reply::Truncate(HEAD.to_owned())]).await;
        let harness = Harness::start(vec![listing("e1", "llm", backend.address)]).await;
        let request = harness.request(Method::POST, path).header("x-tokens", "100").body("prompt");
        assert_eq!(request.send().await.unwrap().status(), StatusCode::BAD_GATEWAY, "{path}");
    }
}

#[tokio::test]
async fn whole_call() {
    let backend = Backend::start(vec![Reply::Truncate(HEAD.to_owned() + "done")]).await;
    let harness = Harness::start(vec![listing("d1", "desk", backend.address)]).await;
    for (method, path) in [(Method::GET, "/look/x"), (Method::POST, "/book/x")] {
        let response = harness.request(method, path).send().await.unwrap();
        assert_eq!(response.status(), StatusCode::OK);
        assert_eq!(response.text().await.unwrap(), "done");
    }
}
