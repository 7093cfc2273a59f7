//! Output and exit codes of the `gateway` commands against a gateway instance.

#[path = "../../chestnutstage_gateway/tests/common/mod.rs"]
mod common;

use std::process::Command;
use std::sync::Arc;

use chestnutstage_gateway::external::{Fact, Topic};
use common::external::FakeStore;
use common::{Harness, catalog, listing};
use tokio::task::spawn_blocking;

/// Runs a `gateway` command and returns its exit code and output.
async fn run(harness: &Harness, command: &'static str) -> (Option<i32>, String) {
    let address = format!("http://{}", harness.gateway.listen_addresses().checks);
    let output = spawn_blocking(move || {
        let mut tool = Command::new(env!("CARGO_BIN_EXE_chestnutctl"));
        tool.args(["--address", &address, "gateway", command]).output().unwrap()
    });
    let output = output.await.unwrap();
    let text = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
    (output.status.code(), text)
}

#[tokio::test]
async fn readiness_and_state() {
    let harness = Harness::with_store("i1", Arc::new(FakeStore::default())).await;
    let (code, text) = run(&harness, "ready").await;
    assert_eq!(code, Some(1));
    assert!(text.contains("503") && text.contains("not ready"), "{text}");
    harness.store.publish(Topic::Operators, vec![Fact::Catalog(Box::new(catalog(7)))]);
    let endpoint = listing("e1", "llm", "127.0.0.1:1".parse().unwrap());
    harness.store.publish(Topic::Endpoints, vec![Fact::Listed(endpoint)]);
    harness.until_ready().await;
    assert_eq!(run(&harness, "ready").await, (Some(0), "ready\n".to_owned()));
    let (code, text) = run(&harness, "state").await;
    assert_eq!(code, Some(0));
    assert!(text.contains("catalog = Some(7)") && text.contains("e1"), "{text}");
    // The counter appears after the first load report has been requested from the engine.
    while !run(&harness, "metrics").await.1.contains("chestnutstage_reports_total") {}
    assert_eq!(run(&harness, "metrics").await.0, Some(0));
}

#[test]
fn unreachable_instance() {
    let mut tool = Command::new(env!("CARGO_BIN_EXE_chestnutctl"));
    let output = tool.args(["--address", "http://127.0.0.1:1", "gateway", "ready"]).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8(output.stderr).unwrap().contains("request to http://127.0.0.1:1 failed"));
}
