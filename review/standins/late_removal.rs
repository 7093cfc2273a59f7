//! The instances are restarted one after the other. The store does what each writes when it leaves, but late and without an answer.

use std::sync::Arc;
use std::time::Duration;

use crate::case::{Case, Outcome};
use crate::changes;
use crate::process::{Instance, free_ports, machine, wait_ready};
use crate::store::Store;
use crate::worker::{Worker, desired_state};

const ZONES: [&str; 3] = ["bc-north-a", "bc-north-b", "bc-north-c"];
/// Time after which a call without an answer is done; the pages allow 1 to 6 s.
const LATE: Duration = Duration::from_millis(5_500);
/// `GraceS` of the site.
const GRACE: Duration = Duration::from_secs(8);
/// Time between the ends of two restarts.
const GAP: Duration = Duration::from_secs(8);
/// Longer than `ContactMs`, so that all machines are in touch and the store is stable.
const CALM: Duration = Duration::from_secs(6);
const ROUNDS: u64 = 12;

pub fn run(case: &Arc<Case>) -> Outcome {
    play(case).unwrap_or_else(|e| Outcome::NotRun(e.to_string()))
}

fn play(case: &Arc<Case>) -> std::io::Result<Outcome> {
    let store = Store::start(case)?;
    store.put("op", "config", Some(&desired_state(1, &["/base/", "/route-0/"])));
    let mut staying = Vec::new();
    for (n, zone) in ["bc-north-a", "bc-north-c", "bc-north-c"].iter().enumerate() {
        let worker = Worker::start(case, &format!("w-staying-{n}"), zone)?;
        worker.register(&store);
        staying.push(worker);
    }
    let leaving = Worker::start(case, "w-leaving-0", "bc-north-b")?;
    leaving.register(&store);
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
    store.reset_counts();
    store.set_late_removals(case.trouble.then_some(LATE));
    for (name, _, checks) in &instances {
        let begun = case.now();
        case.log(&format!("{name} gets SIGTERM"));
        case.with(name, |i| i.signal("TERM"));
        while !case.with(name, Instance::has_ended).unwrap_or(true) && case.now() < begun + GRACE {
            std::thread::sleep(Duration::from_millis(10));
        }
        case.with(name, Instance::kill);
        case.log(&format!("{name} has ended and is started again"));
        case.with(name, Instance::restart).transpose()?;
        if !wait_ready(*checks, Duration::from_secs(10)) {
            return Ok(Outcome::NotRun(format!("{name} does not get ready")));
        }
        case.log(&format!("{name} is ready"));
        case.sleep_until(begun + GAP);
    }
    store.set_late_removals(None);
    let (writes, lost) = store.counts();
    case.log(&format!("writing calls meanwhile: {writes}, of which {lost} were done late and without an answer"));
    std::thread::sleep(CALM);
    case.log(&format!("instances registered in the store: {}", store.keys("chestnutstage-members").len()));
    let targets: Vec<_> = instances.iter().map(|(name, callers, _)| (name.clone(), *callers)).collect();
    let (stale, drained) = changes::check(case, &store, &leaving, &staying, &targets, ROUNDS);
    case.log(&format!("CONFIG broken {stale} times, DRAIN {drained} times"));
    Ok(if stale + drained == 0 { Outcome::Held } else { Outcome::Broken(stale + drained) })
}
