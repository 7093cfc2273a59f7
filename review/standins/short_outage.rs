//! The engine that writes a long prompt loses power for a short time, while other engines hold parts of the prompt.

use std::sync::Arc;
use std::time::Duration;

use crate::case::{Case, Outcome};
use crate::engine::{Engine, desired_state};
use crate::http::{self, Message};
use crate::process::{Instance, free_ports, machine, wait_ready};
use crate::store::Store;
use crate::worker::{HOST, KEY};

const ZONES: [&str; 3] = ["bc-north-a", "bc-north-b", "bc-north-c"];
const ENGINES: usize = 6;
/// `FreeMs` of the site.
const FREE: Duration = Duration::from_millis(4_000);
/// Time from the arrival of a prompt to the loss of power, and until it is back.
const READ: Duration = Duration::from_millis(500);
const DARK: Duration = Duration::from_millis(1_500);
/// Time after which an entry of a silent worker is removed: three heartbeats of 1.2 s.
const EXPIRY: Duration = Duration::from_millis(3_600);
/// Time limit of the requester.
const LIMIT: Duration = Duration::from_millis(15_000);
/// Prompt that needs the memory of two engines at least.
const TOKENS: u64 = 300_000;
const ROUNDS: u64 = 4;

pub fn run(case: &Arc<Case>) -> Outcome {
    play(case).unwrap_or_else(|e| Outcome::NotRun(e.to_string()))
}

/// Sends a prompt until one is not refused; returns the status.
fn send(case: &Case, address: std::net::SocketAddr, round: u64) -> u16 {
    for retry in 0..10 {
        let attempt = format!("{:016x}", 0x1000 + round * 16 + retry);
        let headers = [
            ("host", HOST),
            ("chestnutstage-attempt-id", attempt.as_str()),
            ("chestnutstage-deadline-remaining-ms", "15000"),
            ("chestnutstage-key", KEY),
            ("chestnutstage-model", "m"),
            ("chestnutstage-token-counts", &format!("{TOKENS},200")),
            ("chestnutstage-prompt-prefix", &format!("5c1e07a2:40,{attempt}:{}", TOKENS - 40)),
        ];
        let headers = headers.iter().map(|(n, v)| ((*n).to_owned(), (*v).to_owned())).collect();
        let message = Message { line: "POST /archive/1 HTTP/1.1".into(), headers, body: b"{}".to_vec() };
        case.log(&format!("prompt {attempt} is sent"));
        let status = http::ask(address, &message, LIMIT).map_or(0, |a| a.status());
        case.log(&format!("prompt {attempt}: status {status}{}", if status == 0 { ", no answer" } else { "" }));
        if status != 503 {
            return status;
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    503
}

fn play(case: &Arc<Case>) -> std::io::Result<Outcome> {
    let store = Store::start(case)?;
    store.put("op", "config", Some(&desired_state(HOST, KEY)));
    let mut engines = Vec::new();
    for n in 0..ENGINES {
        let engine = Engine::start(case, &format!("engine{n}"), ZONES[n % ZONES.len()])?;
        engine.register(&store);
        engines.push(engine);
    }
    let ports = free_ports(ZONES.len() as u8);
    let mut instances = Vec::new();
    for (n, zone) in ZONES.iter().enumerate() {
        let name = format!("front-{zone}-1");
        let ip = machine(n as u8 + 1);
        let instance = Instance::start(case, &name, zone, ip, ports, store.address, true)?;
        instances.push((name, instance.callers, instance.checks));
        case.keep(instance);
    }
    for (name, _, checks) in &instances {
        if !wait_ready(*checks, Duration::from_secs(10)) {
            return Ok(Outcome::NotRun(format!("{name} does not get ready")));
        }
    }
    std::thread::sleep(Duration::from_secs(4));
    let (mut broken, mut shown) = (0, 0);
    for round in 0..ROUNDS {
        let (sender, address) = (case.clone(), instances[round as usize % instances.len()].1);
        let begun = case.now();
        let sending = std::thread::spawn(move || send(&sender, address, round));
        // The engine at which a prompt with tickets arrived, and the engines that hold these.
        let arrival = loop {
            let arrived = engines.iter().find_map(|e| {
                let mut arrived = e.arrived().into_iter();
                arrived.find(|(t, _, h)| *t > begun && h.contains('/')).map(|(t, _, h)| (e, t, h))
            });
            if arrived.is_some() || sending.is_finished() {
                break arrived;
            }
            std::thread::sleep(Duration::from_millis(5));
        };
        let Some((writer, time, helpers)) = arrival else {
            case.log("the prompt came without tickets, or was not placed");
            continue;
        };
        shown += 1;
        let tickets = helpers.split(',').filter_map(|h| h.split_once('/'));
        let tickets: Vec<String> = tickets.map(|(_, ticket)| ticket.to_owned()).collect();
        if case.trouble {
            case.sleep_until(time + READ);
            let over = case.now();
            let old = writer.id();
            writer.lose_power();
            case.log(&format!("engine {} loses power; the prompt that it reads is over", writer.name));
            case.sleep_until(over + DARK);
            writer.return_power();
            writer.register(&store);
            case.log(&format!("engine {} is back as {}", writer.name, writer.id()));
            let mut held_until = over;
            while !sending.is_finished() && case.now() < over + LIMIT {
                if engines.iter().any(|e| e.name != writer.name && e.holds(&tickets)) {
                    held_until = case.now();
                }
                if case.now() > over + EXPIRY && store.keys("servers").contains(&old) {
                    store.put("servers", &old, None);
                    case.log(&format!("store: the entry of {old} is removed"));
                }
                std::thread::sleep(Duration::from_millis(20));
            }
            let held = held_until - over;
            case.log(&format!("its tickets at the other engines stayed set aside for {} ms", held.as_millis()));
            if held > FREE {
                broken += 1;
                case.log(&format!("BROKEN: set aside {} ms after the request that used it was over", held.as_millis()));
            }
        }
        let status = sending.join().unwrap_or(0);
        case.log(&format!("round {round} ends with status {status}"));
        std::thread::sleep(Duration::from_millis(4_500));
        let held: u64 = engines.iter().map(|e| e.reserved()).sum();
        if held > 0 {
            broken += 1;
            case.log(&format!("BROKEN: {held} tokens are set aside 4.5 s after the end of all requests"));
        }
    }
    if shown == 0 {
        return Ok(Outcome::NotRun("no prompt needed tickets".into()));
    }
    Ok(if broken == 0 { Outcome::Held } else { Outcome::Broken(broken) })
}
