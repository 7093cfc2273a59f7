//! Requests of callers with extreme numbers.

mod common;

use common::backend::{Backend, END, Reply, stream};
use common::{Harness, listing};
use reqwest::{Method, StatusCode};

/// One request must not keep the instance from placing others.
#[tokio::test]
async fn endless_prompt() {
    let backend = Backend::start(vec![Reply::Bytes(stream(1..=3) + END)]).await;
    let harness = Harness::start(vec![listing("e1", "llm", backend.address)]).await;
    let chat = |tokens: String| harness.request(Method::POST, "/chat/x").header("x-tokens", tokens);
    for tokens in [u64::MAX, u64::MAX - 100, u64::MAX / 2, u64::from(u32::MAX) + 1] {
        let response = chat(tokens.to_string()).send().await.unwrap();
        assert_eq!(response.status(), StatusCode::BAD_REQUEST, "{tokens} tokens");
        assert_eq!(
            chat("100".into()).send().await.unwrap().status(),
            StatusCode::OK,
            "after {tokens} tokens"
        );
    }
}
