//! Membership protocol: real state machines that exchange messages without loss.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use chestnutstage_core::ids::{Incarnation, InstanceId, Version};
use chestnutstage_core::members::{Action, Gossip, Health, Member, Members, ModelSet, RINGS};
use chestnutstage_core::time::Time;
use common::at;

fn id(n: usize) -> InstanceId {
    format!("i{n}").as_str().into()
}

fn member(n: usize, incarnation: u64) -> Member {
    Member {
        id: id(n),
        zone: "a".into(),
        address: format!("127.0.0.1:{}", 1_000 + n).parse().unwrap(),
        incarnation: Incarnation(incarnation),
        health: Health::Alive,
        models: ModelSet::default(),
    }
}

/// Members that exchange messages without delay; unresponsive ones neither send nor answer.
struct Fleet {
    views: BTreeMap<InstanceId, Members>,
    unresponsive: BTreeSet<InstanceId>,
    now: u64,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let all: Vec<_> = (0..count).map(|n| member(n, 1)).collect();
        let mut views = BTreeMap::new();
        for me in &all {
            let mut view = Members::new(at(0), me.clone());
            view.apply_updates(at(0), all.clone());
            view.set_listed(all.iter().map(|m| (m.id.clone(), m.address)).collect());
            views.insert(me.id.clone(), view);
        }
        Self { views, unresponsive: BTreeSet::new(), now: 0 }
    }

    fn gossip(view: &mut Members) -> Gossip {
        let news = view.next_updates();
        Gossip { from: view.me().id.clone(), version: Version(1), fresh: None, news }
    }

    /// Advances time in steps of 50 ms.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 50 {
            self.now += 50;
            let names: Vec<_> =
                self.views.keys().filter(|id| !self.unresponsive.contains(*id)).cloned().collect();
            for name in names {
                let actions = self.views.get_mut(&name).unwrap().tick(at(self.now));
                for action in actions {
                    if let Action::Probe { peer, .. } = action {
                        self.probe(&name, &peer);
                    }
                }
            }
        }
    }

    fn probe(&mut self, from: &InstanceId, to: &InstanceId) {
        let now = at(self.now);
        let sent = Self::gossip(self.views.get_mut(from).unwrap());
        if self.unresponsive.contains(to) || !self.views.contains_key(to) {
            self.views.get_mut(from).unwrap().mark_unreachable(now, to);
            return;
        }
        let receiver = self.views.get_mut(to).unwrap();
        receiver.apply_updates(now, sent.news);
        let answer = Self::gossip(receiver);
        self.views.get_mut(from).unwrap().apply_updates(now, answer.news);
    }

    fn health(&self, of: &InstanceId) -> BTreeSet<Option<Health>> {
        let state = |v: &Members| v.all().find(|m| m.id == *of).map(|m| m.health);
        self.views
            .iter()
            .filter(|(id, _)| !self.unresponsive.contains(*id) && *id != of)
            .map(|(_, v)| state(v))
            .collect()
    }
}

#[test]
fn dead_member() {
    let mut fleet = Fleet::new(20);
    fleet.run(2_000);
    fleet.unresponsive.insert(id(7));
    fleet.run(8_000);
    assert_eq!(fleet.health(&id(7)), BTreeSet::from([Some(Health::Dead)]));
    assert_eq!(fleet.health(&id(8)), BTreeSet::from([Some(Health::Alive)]));
}

#[test]
fn refuted_suspicion() {
    let mut fleet = Fleet::new(20);
    fleet.run(2_000);
    fleet.unresponsive.insert(id(7));
    fleet.run(1_500);
    fleet.unresponsive.remove(&id(7));
    fleet.run(8_000);
    assert_eq!(fleet.health(&id(7)), BTreeSet::from([Some(Health::Alive)]));
}

#[test]
fn graceful_leave() {
    let mut fleet = Fleet::new(20);
    fleet.run(1_000);
    fleet.views.get_mut(&id(3)).unwrap().leave(Health::Leaving);
    fleet.run(5_000);
    assert_eq!(fleet.health(&id(3)), BTreeSet::from([Some(Health::Leaving)]));
    let owners = fleet.views[&id(4)].owners().filter(|m| m.id == id(3)).count();
    assert_eq!(owners, 0, "a leaving member owns nothing");
}

#[test]
fn restarted_member() {
    let mut fleet = Fleet::new(12);
    fleet.run(1_000);
    fleet.unresponsive.insert(id(5));
    fleet.run(8_000);
    fleet.unresponsive.remove(&id(5));
    // The new run starts with a lower incarnation than the previous run; updates about that run raise it.
    let mut restarted = Members::new(at(fleet.now), member(5, 1));
    restarted.apply_updates(at(fleet.now), vec![member(0, 1)]);
    fleet.views.insert(id(5), restarted);
    fleet.run(10_000);
    assert_eq!(fleet.health(&id(5)), BTreeSet::from([Some(Health::Alive)]));
}

#[test]
fn few_probe_targets() {
    let fleet = Fleet::new(200);
    for view in fleet.views.values() {
        assert!(view.indirect_probers(&id(9_999)).len() <= RINGS as usize);
    }
}

#[test]
fn minority_share() {
    let mut fleet = Fleet::new(8);
    fleet.run(1_000);
    for n in 0..5 {
        fleet.unresponsive.insert(id(n));
    }
    fleet.run(10_000);
    let share = fleet.views[&id(6)].share();
    assert_eq!(
        (share.seen, share.roster),
        (3, 8),
        "dead members stay on the roster while the platform lists them"
    );
}

#[test]
fn join_announcement() {
    let all: Vec<_> = (0..200).map(|n| member(n, 1)).collect();
    let mut view = Members::new(at(0), all[0].clone());
    view.apply_roster(at(0), all);
    assert_eq!(view.all().count(), 200);
    let announced: BTreeSet<_> = (0..100).flat_map(|_| view.next_updates()).map(|m| m.id).collect();
    assert_eq!(announced, BTreeSet::from([id(0)]), "a joining member announces only itself");
}

#[test]
fn listed_unknown_instance() {
    let mut view = Members::new(Time::ZERO, member(0, 1));
    let address = "127.0.0.1:2000".parse().unwrap();
    let actions = view.set_listed([(id(1), address)].into());
    assert_eq!(actions, vec![Action::Probe { peer: id(1), address }]);
    let share = view.share();
    assert_eq!((share.seen, share.roster), (1, 2), "a listed instance without contact counts as not seen");
}
