//! Changes of the desired state and of the workers, and requests that show whether they are in force in time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::case::Case;
use crate::store::Store;
use crate::worker::{Worker, desired_state, request};

/// `ConfigurationMs` and `DrainMs` of the site.
const BOUND: Duration = Duration::from_millis(2_000);
/// Times after the acknowledgement at which requests are sent.
const SENT_AFTER_MS: [u64; 6] = [2_060, 2_220, 2_380, 2_540, 2_700, 2_860];
/// Time from one change to the next.
const ROUND: Duration = Duration::from_millis(4_300);

/// A request of the check.
struct Probe {
    sent: Duration,
    attempt: String,
    status: u16,
    added: bool,
    instance: String,
}

/// Makes `rounds` changes. Each adds a route and drops the one before, and takes the entry of `leaving` out of the list, which goes on
/// serving. Returns the number of requests that were handled as only an older state allows, and of those that reached the worker that
/// had left, later than the bound.
pub fn check(
    case: &Arc<Case>,
    store: &Store,
    leaving: &Worker,
    others: &[Arc<Worker>],
    instances: &[(String, SocketAddr)],
    rounds: u64,
) -> (usize, usize) {
    let (mut stale, mut drained) = (0, 0);
    let mut number = 1_000;
    for round in 0..rounds {
        let start = case.now();
        let (added, dropped) = (format!("/route-{}/", round + 1), format!("/route-{round}/"));
        store.put("op", "config", Some(&desired_state(10 + round, &["/base/", &added])));
        let gone = leaving.id();
        store.put("servers", &gone, None);
        let acked = case.now();
        case.log(&format!("operator: version {} is acknowledged: {added} added, {dropped} dropped", 10 + round));
        case.log(&format!("store: the entry of worker {gone} is removed; the worker goes on serving"));
        let mut tasks = Vec::new();
        for ms in SENT_AFTER_MS {
            for (name, address) in instances {
                for path in [&added, &dropped] {
                    number += 1;
                    let (case, name, address) = (case.clone(), name.clone(), *address);
                    let (path, added, number) = (format!("{path}x"), *path == added, number);
                    tasks.push(std::thread::spawn(move || {
                        case.sleep_until(acked + Duration::from_millis(ms));
                        let sent = case.now();
                        let (attempt, status) = request(&case, number, &name, address, &path);
                        Probe { sent, attempt, status, added, instance: name }
                    }));
                }
            }
        }
        let probes: Vec<_> = tasks.into_iter().filter_map(|t| t.join().ok()).collect();
        let runs: Vec<_> = others.iter().flat_map(|w| w.runs()).chain(leaving.runs()).collect();
        for probe in &probes {
            let ran = runs.iter().any(|(_, attempt, ..)| *attempt == probe.attempt);
            let after = (probe.sent - acked).as_millis();
            if probe.added && probe.status == 404 {
                stale += 1;
                case.log(&format!(
                    "BROKEN: {} refused {} with 404, {after} ms after the acknowledgement of its route",
                    probe.instance, probe.attempt
                ));
            }
            if !probe.added && ran {
                stale += 1;
                case.log(&format!(
                    "BROKEN: {} let {} run, {after} ms after the acknowledgement that its route is dropped",
                    probe.instance, probe.attempt
                ));
            }
        }
        for (time, attempt, _, id) in leaving.runs() {
            if id == gone && time > acked + BOUND {
                drained += 1;
                let after = (time - acked).as_millis();
                case.log(&format!("BROKEN (DRAIN): {attempt} runs on {id}, {after} ms after it had left"));
            }
        }
        case.sleep_until(start + Duration::from_millis(3_300));
        leaving.reboot(&format!("w-leaving-{}", round + 1));
        leaving.register(store);
        case.sleep_until(start + ROUND);
    }
    (stale, drained)
}
