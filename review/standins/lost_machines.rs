//! Machines are lost for good, one after the other, and each is replaced by another one at a new address.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::case::{Case, Outcome};
use crate::changes;
use crate::process::{Instance, free_ports, machine, wait_ready};
use crate::store::Store;
use crate::worker::{Worker, desired_state};

const ZONES: [(&str, usize); 3] = [("bc-north-a", 3), ("bc-north-b", 4), ("bc-north-c", 2)];
/// Zones of the machines that are lost, in their order; always the oldest machine of the zone.
const LOST: &str = "cbacbacbacbacbb";
/// Time until a lost machine is replaced.
const REPLACED_AFTER: Duration = Duration::from_millis(300);
/// Time between two losses.
const GAP: Duration = Duration::from_millis(1_500);
/// Longer than `ContactMs`, so that all machines are in touch.
const CALM: Duration = Duration::from_secs(6);
const ROUNDS: u64 = 10;

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
    let machines = (ZONES.iter().map(|z| z.1).sum::<usize>() + LOST.len()) as u8;
    let ports = free_ports(machines);
    let mut used = 0;
    let mut start = |zone: usize, number: usize, first: bool| {
        used += 1;
        let name = format!("front-{}-{number}", ZONES[zone].0);
        let instance = Instance::start(case, &name, ZONES[zone].0, machine(used), ports, store.address, first)?;
        let addresses = (name, instance.callers, instance.checks);
        case.keep(instance);
        Ok::<_, std::io::Error>(addresses)
    };
    // Live machines of each zone, oldest first, and the number of machines that the zone has had.
    let mut live: [Vec<(String, SocketAddr, SocketAddr)>; 3] = Default::default();
    let mut numbers = [0; 3];
    for zone in 0..3 {
        for _ in 0..ZONES[zone].1 {
            numbers[zone] += 1;
            live[zone].push(start(zone, numbers[zone], true)?);
        }
    }
    for (name, _, checks) in live.iter().flatten() {
        if !wait_ready(*checks, Duration::from_secs(10)) {
            return Ok(Outcome::NotRun(format!("{name} does not get ready")));
        }
    }
    std::thread::sleep(Duration::from_secs(2));
    for zone in LOST.bytes().map(|z| usize::from(z - b'a')).filter(|_| case.trouble) {
        let begun = case.now();
        let (name, ..) = live[zone].remove(0);
        case.with(&name, Instance::kill);
        case.log(&format!("{name} is lost for good"));
        std::thread::sleep(REPLACED_AFTER);
        numbers[zone] += 1;
        let new = start(zone, numbers[zone], false)?;
        if !wait_ready(new.2, Duration::from_secs(10)) {
            return Ok(Outcome::NotRun(format!("{} does not get ready", new.0)));
        }
        live[zone].push(new);
        case.sleep_until(begun + GAP);
    }
    case.log(&format!("instances registered in the store: {}", store.keys("chestnutstage-members").len()));
    std::thread::sleep(CALM);
    let instances: Vec<_> = live.iter().flatten().map(|(name, callers, _)| (name.clone(), *callers)).collect();
    let (stale, drained) = changes::check(case, &store, &leaving, &staying, &instances, ROUNDS);
    case.log(&format!("CONFIG broken {stale} times, DRAIN {drained} times"));
    Ok(if stale + drained == 0 { Outcome::Held } else { Outcome::Broken(stale + drained) })
}
