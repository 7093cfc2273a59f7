//! Findings and exit codes of `check`, offline.

use std::path::PathBuf;
use std::process::Command;

fn run(args: &[&str]) -> (i32, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_chestnutctl")).arg("check").args(args).output().unwrap();
    (output.status.code().unwrap(), String::from_utf8([output.stdout, output.stderr].concat()).unwrap())
}

fn example(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../examples").join(name);
    path.to_str().unwrap().to_owned()
}

/// Writes a file for one test.
fn file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("chestnutctl-check-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

#[test]
fn differences() {
    let (code, text) = run(&[&example("hennaboek.toml"), "--against", &example("frostbank.toml")]);
    assert_eq!(code, 0, "a difference is no fault: {text}");
    for line in [
        "change: contract.rate: the value is 300000 instead of 400000.",
        "change: services.deposits.repeatable: the value false is new.",
        "change: services.stock.repeatable: the value true is removed.",
    ] {
        assert!(text.lines().any(|found| found == line), "{line}: {text}");
    }
    let (code, text) = run(&[&example("frostbank.toml"), "--against", &example("frostbank.toml")]);
    assert!(code == 0 && !text.contains("change:"), "{text}");
}

/// Faults in the defaults and in exceptions are findings, all of them in one run.
#[test]
fn findings() {
    let defaults = file("defaults.toml", "[limits]\nreserve = 2.0\n[contract]\nrate = 5\n");
    let exceptions = "\
        [early]\n\
        reason = 'agreed with the town hall in May'\n\
        rule.contract = { customer = 'town', contract = { rate = 5 } }\n\
        [late]\n\
        reason = 'because'\n\
        rule.contract = { customer = 'town', contract = { weight = 0 } }\n";
    let exceptions = file("exceptions.toml", exceptions);
    let (code, text) = run(&[&defaults, "--exceptions", &exceptions]);
    assert_eq!(code, 1, "{text}");
    for line in [
        "error: defaults: limits.reserve must lie between 0 and 1.",
        "warning: exception `early`: it has no effect: it equals the default contract.",
        "error: exception `late`: exception early is about the contract of customer town already.",
    ] {
        assert!(text.lines().any(|found| found == line), "{line}: {text}");
    }
    assert!(text.contains("3 findings"), "{text}");
    let (code, text) = run(&["--json", &defaults, "--exceptions", &exceptions]);
    assert!(code == 1 && text.contains(r#""severity": "error""#), "{text}");
    std::fs::remove_file(defaults).unwrap();
    std::fs::remove_file(exceptions).unwrap();
}

#[test]
fn unreadable() {
    for args in [
        vec!["/does/not/exist".to_owned()],
        vec![example("frostbank.toml"), "--against".into(), "/does/not/exist".into()],
        vec![example("frostbank.toml"), "--exceptions".into(), example("frostbank.toml")],
        vec![example("frostbank-instance.toml"), "--against".into(), example("frostbank.toml")],
    ] {
        let args: Vec<_> = args.iter().map(String::as_str).collect();
        let (code, text) = run(&args);
        assert_eq!(code, 2, "{args:?}: {text}");
    }
}
