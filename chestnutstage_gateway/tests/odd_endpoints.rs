//! Endpoints that are listed with extreme numbers.

mod common;

use chestnutstage_core::pool::Listing;
use common::backend::{Backend, END, Reply, stream, success};
use common::{Harness, listing};
use reqwest::{Method, StatusCode};

/// An endpoint with many slots is as good as any other, and does not stop the placement of other requests.
#[tokio::test]
async fn too_many_slots() {
    let backend = Backend::start(vec![success("done")]).await;
    for slots in [u32::MAX / 3 + 1, u32::MAX] {
        let listed = Listing { slots, ..listing("d1", "desk", backend.address) };
        let harness = Harness::start(vec![listed]).await;
        for _ in 0..3 {
            assert_eq!(harness.status(Method::GET, "/look/x").await, StatusCode::OK, "{slots} slots");
        }
    }
}

#[tokio::test]
async fn extreme_engines() {
    let backend = Backend::start(vec![Reply::Bytes(stream(1..=3) + END)]).await;
    let engine = listing("e1", "llm", backend.address);
    let extremes = [
        Listing { slots: u32::MAX, ..engine.clone() },
        Listing { slots: 0, ..engine.clone() },
        Listing { born: u64::MAX, ..engine.clone() },
        Listing { cold: u64::MAX, ..engine },
    ];
    for listed in extremes {
        let text = format!("{listed:?}");
        let harness = Harness::start(vec![listed]).await;
        let request = harness.request(Method::POST, "/chat/x").header("x-tokens", "100");
        assert_eq!(request.send().await.unwrap().status(), StatusCode::OK, "{text}");
    }
}
