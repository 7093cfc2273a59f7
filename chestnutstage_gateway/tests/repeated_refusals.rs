//! Endpoints that write an earlier refusal once more on a kept connection.

mod common;

use common::backend::{Backend, Reply, success};
use common::{Harness, listing};
use reqwest::{Method, StatusCode};

/// Sends two requests on one connection; the second one gets this refusal. Returns its status and the requests that reached the
/// endpoint and another one.
async fn second_gets(refusal: &str) -> (StatusCode, usize, usize) {
    let replies = vec![success("done"), Reply::Bytes(refusal.to_owned()), success("done")];
    let faulty = Backend::start(replies).await;
    let other = Backend::start(vec![success("done")]).await;
    let harness = Harness::start(vec![listing("d1", "desk", faulty.address)]).await;
    assert_eq!(harness.status(Method::GET, "/look/x").await, StatusCode::OK);
    let listed = chestnutstage_gateway::external::Fact::Listed(listing("d2", "desk", other.address));
    harness.store.publish(chestnutstage_gateway::external::Topic::Endpoints, vec![listed]);
    let status = harness.status(Method::POST, "/book/x").await;
    let accepted = faulty.accepted.load(std::sync::atomic::Ordering::SeqCst);
    assert_eq!(accepted, 1, "both requests went over one connection");
    (status, faulty.requests().len(), other.requests().len())
}

fn refusal(headers: &str) -> String {
    format!("HTTP/1.1 503 Full\r\nx-not-run: 1\r\n{headers}content-length: 0\r\n\r\n")
}

/// The request may have run: it is neither sent again nor reported as not run.
#[tokio::test]
async fn refusal_of_another() {
    assert_eq!(second_gets(&refusal("x-attempt: attempt-0\r\n")).await, (StatusCode::BAD_GATEWAY, 2, 0));
}

#[tokio::test]
async fn refusal_without_id() {
    assert_eq!(second_gets(&refusal("")).await, (StatusCode::BAD_GATEWAY, 2, 0));
}
