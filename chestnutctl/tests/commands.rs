//! Output and exit codes of the tool against a running fleet.

#[path = "../../chestnutstage/tests/common/mod.rs"]
mod common;

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

use common::{Deployment, NORTH, SOUTH};
use expect_test::expect;

/// Runs the tool with an operator's token, and with `input` on standard input.
fn run(deployment: &Deployment, token: &str, args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_chestnutctl"))
        .args(args)
        .env("CHESTNUTCTL_ADDRESS", deployment.url(0, ""))
        .env("CHESTNUTCTL_TOKEN", token)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    child.wait_with_output().unwrap()
}

/// Exit code, standard output and standard error, as one text.
fn format_output(output: &Output) -> String {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim_end().to_owned();
    format!("{} {}{}", output.status.code().unwrap(), text(&output.stdout), text(&output.stderr))
}

fn example(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../examples").join(name);
    path.to_str().unwrap().to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn zone_out_in() {
    let deployment = Deployment::start(2, 2).await;
    let north = |args: &[&str]| format_output(&run(&deployment, NORTH, args, ""));
    expect!["0 version 4 is in force everywhere"].assert_eq(&north(&[
        "zones",
        "out",
        "b",
        "--reason",
        "the landlord cuts the power",
    ]));
    expect![[r"
        0 ZONE  SERVICE  ENDPOINTS
        a     in       2
        b     out      1"]]
    .assert_eq(&north(&["zones", "list"]));
    expect!["0 version 5 is in force everywhere"].assert_eq(&north(&["zones", "in", "b"]));
    expect![[r"
        0 version 5
        INSTANCE  ZONE  HEALTH  VERSION  READY
        i1        a     alive   5        yes
        i2        b     alive   5        yes"]]
    .assert_eq(&north(&["status"]));
}

#[tokio::test(flavor = "multi_thread")]
async fn exit_codes() {
    let deployment = Deployment::start(1, 1).await;
    let add = [
        "exceptions",
        "add",
        "rate",
        "contract",
        "--customer",
        "c1",
        "--rate",
        "5",
        "--base",
        "3",
        "--reason",
    ];
    let with = |reason| [&add[..], &[reason]].concat();
    let code = |token, args: &[&str]| run(&deployment, token, args, "").status.code().unwrap();
    assert_eq!(code(NORTH, &with("because")), 2, "a reason that is too short is invalid input");
    assert_eq!(code(NORTH, &with("the winter archive is read")), 0);
    let conflict = run(&deployment, SOUTH, &with("the festival season starts"), "");
    expect!["3 chestnutctl: conflict (outcome not_run): version 4 by north desk (north) changed the same since version 3: the winter archive is read"]
        .assert_eq(&format_output(&conflict));
    assert_eq!(code("nobody", &["status"]), 1);
    assert_eq!(code(NORTH, &["zones", "sideways"]), 2);
    assert_eq!(code(NORTH, &["explain", "77"]), 2, "no instance has a record of the request");
}

#[tokio::test(flavor = "multi_thread")]
async fn defaults_and_customers() {
    let deployment = Deployment::start(1, 1).await;
    let file = example("hennaboek.toml");
    let diff = format_output(&run(&deployment, NORTH, &["defaults", "diff", &file], ""));
    assert!(diff.contains("+reserve = 0.4") && diff.contains("-reserve = 0.2"), "{diff}");
    assert_eq!(run(&deployment, NORTH, &["defaults", "set", &file], "").status.code(), Some(0));
    let got = format_output(&run(&deployment, NORTH, &["defaults", "get"], ""));
    assert!(got.contains("reserve = 0.4"), "{got}");
    let put = run(&deployment, NORTH, &["customers", "put", "studio"], "a-new-key\n");
    assert_eq!(put.status.code(), Some(0));
    let models = deployment.client.get(deployment.url(0, "v1/models")).bearer_auth("a-new-key");
    assert_eq!(models.send().await.unwrap().status(), 200, "the new key is accepted");
    let history = format_output(&run(&deployment, NORTH, &["defaults", "history", "--after", "3"], ""));
    assert!(history.contains("the defaults") && history.contains("customer studio"), "{history}");
}

#[test]
fn offline_checks() {
    let check = |name: &str| {
        let output =
            Command::new(env!("CARGO_BIN_EXE_chestnutctl")).args(["check", &example(name)]).output().unwrap();
        output.status.code().unwrap()
    };
    for name in ["frostbank.toml", "hennaboek.toml", "frostbank-instance.toml", "hennaboek-instance.toml"] {
        assert_eq!(check(name), 0, "{name}");
    }
    assert_eq!(check("../Cargo.toml"), 2);
}
