//! Stand-ins for the review's scripts: the platform's store, workers, requesters, and control of the project's processes.
//!
//! Usage: `standins SCENARIO RECORD`, started in the repository's root after the build of the deploy file. The exit code is 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the environment the disruption is left out.
//! Standard library only.

mod case;
mod changes;
mod engine;
mod http;
mod json;
mod process;
mod store;
mod worker;

mod late_removal;
mod link;
mod lost_machines;
mod removed_after_cut;
mod short_outage;
mod stale_planner;

use std::process::exit;
use std::sync::Arc;
use std::time::Duration;

use case::{Case, Outcome};

/// Longest time that a case may take.
const TIME_MAX: Duration = Duration::from_secs(115);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, scenario, record] = &args[..] else {
        eprintln!("usage: standins SCENARIO RECORD");
        exit(2);
    };
    let run: fn(&Arc<Case>) -> Outcome = match scenario.as_str() {
        "lost-machines" => lost_machines::run,
        "removed-after-cut" => removed_after_cut::run,
        "stale-planner" => stale_planner::run,
        "short-outage" => short_outage::run,
        "late-removal" => late_removal::run,
        other => {
            eprintln!("unknown scenario: {other}");
            exit(2);
        }
    };
    let case = match Case::new(record) {
        Ok(case) => Arc::new(case),
        Err(e) => {
            eprintln!("cannot start: {e}");
            exit(2);
        }
    };
    let watched = case.clone();
    std::thread::spawn(move || {
        std::thread::sleep(TIME_MAX);
        watched.log("the case took too long");
        watched.stop_all();
        exit(2);
    });
    let running = case.clone();
    let outcome = std::thread::spawn(move || run(&running)).join();
    case.stop_all();
    let (text, code) = match outcome {
        Ok(Outcome::Held) => ("the rule held".to_owned(), 0),
        Ok(Outcome::Broken(count)) => (format!("the rule was broken, {count} times"), 1),
        Ok(Outcome::NotRun(cause)) => (format!("the case could not run: {cause}"), 2),
        Err(_) => ("the case could not run: a stand-in failed".to_owned(), 2),
    };
    case.log(&text);
    println!("{scenario}: {text}");
    exit(code);
}
