//! After the planned restart of one instance another one, to which nothing has happened, goes on as a planner and knows no change of
//! the workers.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::world::World;

/// `DrainMs` and `GraceS` of the installation.
const DRAIN: Duration = Duration::from_millis(2_000);
const GRACE_S: u32 = 8;
const WORKERS: usize = 8;
/// Workers that leave in one round: a quarter.
const LEAVING: usize = 2;
const ROUNDS: usize = 5;
/// The instance that is a planner while a larger one of its zone is away. Its name sorts last, so that the others open the links to
/// it, and it is not among those that watch the store for all.
const SERVED: &str = "front-z-d4";
const RESTARTED: &str = "front-z-3";
const CLIENTS: usize = 24;

pub fn run(record: &str, trouble: bool) -> Result<usize, String> {
    let mut world = World::new(record);
    world.publish(1);
    let mut workers: Vec<String> = (0..WORKERS).map(|n| format!("i-w{n}")).collect();
    let mut addresses: Vec<_> = workers.iter().map(|id| world.worker(id, "z")).collect();
    // Zone z has three large instances, one of middle size and eight small ones; the names of the other zones sort before.
    for zone in ["a", "b"] {
        (1..=4).for_each(|n| world.instance(&format!("front-{zone}-{n}"), zone, 0.25, GRACE_S));
    }
    for n in 1..=11 {
        world.instance(&format!("front-z-{n}"), "z", if n <= 3 { 1.0 } else { 0.25 }, GRACE_S);
    }
    world.instance(SERVED, "z", 0.5, GRACE_S);
    if !world.await_ready(Duration::from_secs(25)) {
        world.end();
        return Err("not all instances became ready".into());
    }
    thread::sleep(Duration::from_secs(4));
    let mut late = 0;
    for round in 0..ROUNDS {
        if trouble {
            let restarted = world.find(RESTARTED);
            let folder = world.folder.clone();
            world.note(Instant::now(), &format!("planned restart: SIGTERM to {RESTARTED}"));
            let instance = &mut world.instances[restarted];
            instance.stop(Duration::from_secs(u64::from(GRACE_S)));
            thread::sleep(Duration::from_millis(500));
            instance.start(&folder);
            world.note(Instant::now(), &format!("{RESTARTED} starts again"));
        }
        thread::sleep(Duration::from_millis(250));
        let leaving: Vec<_> = workers.drain(..LEAVING).zip(addresses.drain(..LEAVING)).collect();
        let mut acks = Vec::new();
        for (id, address) in leaving {
            let ack = world.list(&id, "z", address, "draining", 0);
            world.note(ack, &format!("worker {id} is draining: accepted by the store; it serves for DrainMs and some seconds more"));
            acks.push((id, ack));
        }
        late += press(&mut world, &acks);
        // Others take the place of those that have left, and the instances come to rest.
        for (n, (id, _)) in acks.iter().enumerate() {
            world.store.put("servers", id, None);
            let new = format!("i-x{round}{n}");
            addresses.push(world.worker(&new, "z"));
            workers.push(new);
        }
        thread::sleep(Duration::from_secs(7));
    }
    world.end();
    Ok(late)
}

/// Has requesters press on one instance for 3.5 s; returns how many requests reached a leaving worker too late.
fn press(world: &mut World, acks: &[(String, Instant)]) -> usize {
    let served = world.find(SERVED);
    let stop = Instant::now() + Duration::from_millis(3_500);
    let shared = Arc::new(&*world);
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            let world = shared.clone();
            scope.spawn(move || {
                while Instant::now() < stop {
                    world.book(&world.instances[served]);
                    thread::sleep(Duration::from_millis(20));
                }
            });
        }
    });
    let mut late = 0;
    for (id, ack) in acks {
        for run in world.late_runs(id, *ack, DRAIN) {
            let after = run.at.duration_since(*ack).as_millis();
            world.note(run.at, &format!("DRAIN: request {} reaches {id} {after} ms after the ack", run.id));
            late += 1;
        }
    }
    late
}
