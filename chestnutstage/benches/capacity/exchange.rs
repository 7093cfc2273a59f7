//! Membership of a whole fleet in one process: the real state machines and message encodings, without a network.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use chestnutstage::link::message::{self, Reply, Request};
use chestnutstage_core::ids::{Incarnation, InstanceId, Version};
use chestnutstage_core::members::{Action, Gossip, Health, Member, Members, ModelSet};
use chestnutstage_core::rollout::Freshness;
use chestnutstage_core::time::Time;

/// Step of virtual time.
const STEP_MS: u64 = 50;
/// Length of a measured period.
const QUIET_MS: u64 = 20_000;

/// Cost of membership for one node.
pub(crate) struct Cost {
    /// Payload bytes sent and received per second while no member changes.
    pub(crate) bytes: f64,
    /// Payload bytes sent and received to spread one change of a member.
    pub(crate) change_bytes: f64,
    /// Processor seconds per second.
    pub(crate) seconds: f64,
    /// Bytes of membership state.
    pub(crate) memory: f64,
}

struct Exchange {
    views: BTreeMap<InstanceId, Members>,
    now: u64,
    bytes: f64,
    spent: Duration,
}

fn member(n: usize) -> Member {
    Member {
        id: format!("i{n}").as_str().into(),
        zone: format!("z{}", n % 12).as_str().into(),
        address: ([10, 0, (n / 250) as u8, (n % 250) as u8], 9_080).into(),
        incarnation: Incarnation(1_796_000_000_000),
        health: Health::Alive,
        models: ModelSet::default(),
    }
}

fn gossip(view: &mut Members) -> Gossip {
    let fresh = Some(Freshness { version: Version(23_000), age: Duration::from_millis(700) });
    Gossip { from: view.me().id.clone(), version: Version(23_000), fresh, news: view.next_updates() }
}

impl Exchange {
    fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.now += STEP_MS;
            let now = Time::from_millis(self.now);
            let names: Vec<_> = self.views.keys().cloned().collect();
            for name in names {
                let start = Instant::now();
                let actions = self.views.get_mut(&name).map(|v| v.tick(now)).unwrap_or_default();
                self.spent += start.elapsed();
                for action in actions {
                    if let Action::Probe { peer, .. } = action {
                        self.probe(now, &name, &peer);
                    }
                }
            }
        }
    }

    /// Exchanges one probe and its reply, encoded and decoded as on a link.
    fn probe(&mut self, now: Time, from: &InstanceId, to: &InstanceId) {
        let start = Instant::now();
        let Some(request) = self.views.get_mut(from).map(gossip) else {
            return;
        };
        let frame = message::encode(&Request::Gossip(request)).unwrap_or_default();
        let Ok(Request::Gossip(request)) = message::decode(&frame) else {
            return;
        };
        let Some(receiver) = self.views.get_mut(to) else {
            return;
        };
        receiver.apply_updates(now, request.news);
        let reply = message::encode(&Reply::Gossip(gossip(receiver))).unwrap_or_default();
        let Ok(Reply::Gossip(returned)) = message::decode::<Reply>(&reply) else {
            return;
        };
        if let Some(sender) = self.views.get_mut(from) {
            sender.apply_updates(now, returned.news);
        }
        self.spent += start.elapsed();
        // Each byte is sent by one node and received by another.
        self.bytes += 2.0 * (frame.len() + reply.len()) as f64;
    }

    fn take_totals(&mut self) -> (f64, f64) {
        let totals = (self.bytes, self.spent.as_secs_f64());
        (self.bytes, self.spent) = (0.0, Duration::ZERO);
        totals
    }
}

/// Measures a fleet of `count` nodes, first without changes and then while one member leaves.
pub(crate) fn run(count: usize) -> Cost {
    let all: Vec<_> = (0..count).map(member).collect();
    let view = |me: &Member| {
        let mut view = Members::new(Time::ZERO, me.clone());
        view.apply_roster(Time::ZERO, all.clone());
        view
    };
    let (sample, memory) = crate::allocated(|| view(&all[0]));
    drop(sample);
    let views = all.iter().map(|m| (m.id.clone(), view(m))).collect();
    let mut exchange = Exchange { views, now: 0, bytes: 0.0, spent: Duration::ZERO };
    // The updates of the start-up must have stopped spreading before the measurement.
    exchange.run(60_000);
    exchange.take_totals();
    exchange.run(QUIET_MS);
    let (quiet, spent) = exchange.take_totals();
    let first = all[0].id.clone();
    if let Some(changed) = exchange.views.get_mut(&first) {
        changed.leave(Health::Leaving);
    }
    exchange.run(QUIET_MS);
    let (changed, _) = exchange.take_totals();
    let (nodes, time) = (count as f64, QUIET_MS as f64 / 1e3);
    Cost {
        bytes: quiet / nodes / time,
        change_bytes: (changed - quiet).max(0.0) / nodes,
        seconds: spent / nodes / time,
        memory,
    }
}
