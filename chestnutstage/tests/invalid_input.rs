//! Invalid requests, settings and messages are rejected with a clear error, and untrusted instances stay out.

mod common;

use std::fmt::Write;
use std::path::Path;

use chestnutstage::link::message::{self, Reply, Request};
use chestnutstage_config::fleet::Defaults;
use chestnutstage_config::load;
use chestnutstage_config::settings::Settings;
use common::{Authority, Deployment, KEY};
use expect_test::expect;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use reqwest::Method;

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests() {
    let deployment = Deployment::start(1, 1).await;
    let cases = [
        (
            "no key",
            "POST",
            "v1/chat/completions",
            "",
            r#"{"model":"m","messages":[{"role":"user","content":"x"}]}"#,
        ),
        ("wrong key", "POST", "v1/chat/completions", "nobody", r"{}"),
        ("no JSON", "POST", "v1/chat/completions", KEY, "{"),
        ("no model", "POST", "v1/chat/completions", KEY, r#"{"messages":[]}"#),
        ("no messages", "POST", "v1/chat/completions", KEY, r#"{"model":"frost-70b","messages":[]}"#),
        ("no prompt", "POST", "v1/completions", KEY, r#"{"model":"frost-70b"}"#),
        (
            "too many tokens",
            "POST",
            "v1/completions",
            KEY,
            r#"{"model":"frost-70b","prompt":"x","max_tokens":0}"#,
        ),
        ("unknown model", "POST", "v1/completions", KEY, r#"{"model":"none","prompt":"x"}"#),
        ("unknown service", "GET", "v1/services/none/x", KEY, ""),
        ("no idempotency key", "POST", "v1/services/bookings/bookings", KEY, r#"{"booking":"x"}"#),
        ("operator's route", "GET", "debug/state", KEY, ""),
    ];
    let mut table = String::new();
    for (name, method, path, key, body) in cases {
        let method = Method::from_bytes(method.as_bytes()).unwrap();
        let mut request = deployment.client.request(method, deployment.url(0, path)).body(body);
        if !key.is_empty() {
            request = request.bearer_auth(key);
        }
        let answer = request.header("content-type", "application/json").send().await.unwrap();
        let status = answer.status().as_u16();
        let error = common::error(answer).await;
        writeln!(table, "{name}: {status} {} {}", error["code"], error["outcome"]).unwrap();
    }
    expect![[r#"
        no key: 401 "invalid_key" "not_run"
        wrong key: 401 "invalid_key" "not_run"
        no JSON: 400 "invalid_request" "not_run"
        no model: 400 "invalid_request" "not_run"
        no messages: 400 "invalid_request" "not_run"
        no prompt: 400 "invalid_request" "not_run"
        too many tokens: 400 "invalid_request" "not_run"
        unknown model: 503 "no_endpoint" "not_run"
        unknown service: 404 "unknown_service" "not_run"
        no idempotency key: 400 "idempotency_key_required" "not_run"
        operator's route: 401 "invalid_token" "not_run"
    "#]]
    .assert_eq(&table);
    let large = "x".repeat(2 << 20);
    let answer = deployment.booking(0, "k", &large).send().await.unwrap();
    assert_eq!(answer.status(), 413);
    assert!(deployment.services[0].runs().is_empty());
}

const SETTINGS: &str = r#"
[instance]
id = "i1"
zone = "a"
listen = "127.0.0.1:8080"
peer = "127.0.0.1:9080"

[fleet]
authority = "a.pem"
certificate = "i1.pem"
key = "i1.key"

[platform]
tables = "http://127.0.0.1:7000"
objects = "http://127.0.0.1:7000"
instances = "http://127.0.0.1:7000"
"#;

#[test]
fn invalid_settings() {
    let cases = [
        SETTINGS.replace("zone =", "zoen ="),
        SETTINGS.replace("127.0.0.1:9080", "nowhere"),
        SETTINGS.replace("[platform]", "[timing]\nsilence = \"2 parsecs\"\n[platform]"),
        SETTINGS.replace("tables = \"http://127.0.0.1:7000\"\n", ""),
        format!("{SETTINGS}\n[callers]\nbody = \"64KiB\"\nbacklgo = 3\n"),
    ];
    let errors: Vec<_> = cases
        .iter()
        .map(|text| load::parse::<Settings>(text, Path::new("i1.toml")).unwrap_err().to_string())
        .collect();
    expect![[r#"
        i1.toml:4: unknown key `zoen`; did you mean `zone`?
        i1.toml:6: invalid socket address syntax
        i1.toml:14: `2 parsecs` is not a duration such as "250ms": unknown time unit "parsecs", supported units: ns, us/µs, ms, sec, min, hours, days, weeks, months, years (and few variations)
        i1.toml:13: missing field `tables`
        i1.toml:20: unknown key `backlgo`; did you mean `backlog`?"#]]
    .assert_eq(&errors.join("\n"));
    let defaults = load::parse::<Defaults>("[limits]\nreserve = 2.0\n", Path::new("d.toml")).unwrap();
    expect!["limits.reserve must lie between 0 and 1"].assert_eq(&defaults.check().unwrap_err().to_string());
}

#[tokio::test(flavor = "multi_thread")]
async fn untrusted_instances() {
    let mut deployment = Deployment::start(2, 1).await;
    // One certificate is signed by another authority, the other is issued to another name.
    let folder = std::env::temp_dir().join(format!("chestnutstage-strangers-{}", std::process::id()));
    let untrusted = Authority::new(&folder);
    untrusted.sign(&folder, "i8");
    deployment.join_from(&folder, "i8", "a").await;
    deployment.join_as("i9", "i7").await;
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    let status = deployment.query_operator(0, common::NORTH, "operator/status").await;
    let names: Vec<_> =
        status["instances"].as_array().unwrap().iter().map(|i| i["instance"].clone()).collect();
    assert_eq!(names, ["i1", "i2"], "an untrusted instance became a member");
    let metrics =
        deployment.client.get(deployment.url(0, "metrics")).send().await.unwrap().text().await.unwrap();
    assert!(metrics.contains("chestnutstage_links_refused_total"), "refused links are not counted");
    let _ = std::fs::remove_dir_all(folder);
}

proptest! {
    #![proptest_config(Config { cases: 5_000, rng_seed: RngSeed::Fixed(17), failure_persistence: None, ..Config::default() })]

    /// Decoding arbitrary bytes from a peer never panics and allocates no more memory than their length.
    #[test]
    fn malformed_messages(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut frame = vec![1];
        frame.extend(&bytes);
        let _ = message::decode::<Request>(&frame);
        let _ = message::decode::<Reply>(&frame);
        let _ = message::decode::<Request>(&bytes);
    }

    /// Parsing arbitrary text as settings or defaults never panics.
    #[test]
    fn malformed_settings(text in ".{0,200}") {
        let _ = load::parse::<Settings>(&text, Path::new("x"));
        let _ = load::parse::<Defaults>(&text, Path::new("x"));
    }
}
