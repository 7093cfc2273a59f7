//! A worker that leaves some seconds after the store was away goes on getting requests.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::world::World;

/// `DrainMs`, `ContactMs` and the longest silence of the store on the installation.
const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
const SILENCE: Duration = Duration::from_millis(4_500);

pub fn run(record: &str, trouble: bool) -> Result<usize, String> {
    let mut world = World::new(record);
    world.publish(1);
    let first = world.worker("i-w0", "a");
    world.worker("i-w1", "a");
    for zone in ["b", "c"] {
        world.worker(&format!("i-{zone}"), zone);
    }
    for (zone, count) in [("a", 5), ("b", 2), ("c", 2)] {
        (1..=count).for_each(|n| world.instance(&format!("front-{zone}-{n}"), zone, 0.25, 8));
    }
    if !world.await_ready(Duration::from_secs(25)) {
        world.end();
        return Err("not all instances became ready".into());
    }
    thread::sleep(CONTACT);
    if trouble {
        world.note(Instant::now(), "the store is silent");
        world.store.set_silent(true);
    }
    thread::sleep(SILENCE);
    world.store.set_silent(false);
    let back = Instant::now();
    world.note(back, "the store answers");
    // The store has been without disturbance for ContactMs: it is stable, and all instances are in touch.
    thread::sleep(CONTACT + Duration::from_millis(20));
    world.list("i-w0", "a", first, "ready", 400);
    thread::sleep(Duration::from_millis(15));
    let ack = world.store.put("servers", "i-w1", None);
    world.note(ack, "the entry of worker i-w1 is removed: accepted by the store; it serves for DrainMs and some seconds more");
    let world = Arc::new(world);
    let stop = ack + DRAIN + Duration::from_millis(600);
    let clients: Vec<_> = (0..world.instances.len())
        .flat_map(|n| [n, n])
        .map(|n| {
            let world = world.clone();
            thread::spawn(move || {
                while Instant::now() < stop {
                    world.book(&world.instances[n]);
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    for client in clients {
        client.join().ok();
    }
    let late = world.late_runs("i-w1", ack, DRAIN);
    for run in &late {
        let after = run.at.duration_since(ack).as_millis();
        world.note(run.at, &format!("DRAIN: request {} reaches i-w1 {after} ms after the ack", run.id));
    }
    Arc::into_inner(world).expect("the clients have ended").end();
    Ok(late.len())
}
