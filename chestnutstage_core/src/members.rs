//! Membership of the instances, without a node that knows more than others.
//!
//! Each instance watches a few others: its successors on [`RINGS`] rings, each of which orders the members by another
//! hash. The watches form a random regular graph, so that connections stay few and long-lived, every member has as
//! many watchers as rings, and news spreads in a logarithmic number of rounds. News rides on the probes and their
//! answers. A member that does not answer directly or through others is suspected; it has the suspicion time to refute
//! with a higher incarnation before it counts as dead.

use core::net::SocketAddr;
use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{Incarnation, InstanceId, ModelId, Version, ZoneId};
use crate::rollout::Freshness;
use crate::time::Time;
use crate::window::Share;

/// Number of rings, and so of members that an instance watches.
pub const RINGS: u64 = 4;
/// Interval between probes of one watched member.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a suspected member has to refute.
const SUSPICION: Duration = Duration::from_secs(3);
/// Time for which a dead or departed member is remembered, so that late news does not revive it.
const GRAVE: Duration = Duration::from_mins(1);
/// News items in one message, at the most.
const NEWS_MAX: usize = 16;
/// Times that a news item is sent, per power of two of the member count.
const SENDS_FACTOR: u32 = 3;

/// Condition of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// Answers.
    #[display("alive")]
    Alive,
    /// Did not answer lately.
    #[display("suspect")]
    Suspect,
    /// Finishes its work; owns nothing and takes nothing new from the balancer.
    #[display("leaving")]
    Leaving,
    /// Did not refute the suspicion.
    #[display("dead")]
    Dead,
    /// Went away by itself.
    #[display("left")]
    Left,
}

impl Health {
    /// Whether a member in this condition may own endpoints.
    pub const fn may_own(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// Set of models, as a filter over hashes; may name a model too many, never one too few.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ModelSet(u64);

impl ModelSet {
    /// The set of `models`.
    pub fn of<'a>(models: impl IntoIterator<Item = &'a ModelId>) -> Self {
        Self(models.into_iter().fold(0, |set, m| set | Self::bit(m)))
    }

    /// Whether the set may hold `model`.
    pub fn may_hold(self, model: &ModelId) -> bool {
        self.0 & Self::bit(model) != 0
    }

    fn bit(model: &ModelId) -> u64 {
        1 << (xxh3_64_with_seed(model.as_str().as_bytes(), 0) % 64)
    }
}

/// What is told of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Number of its life and refutations.
    pub incarnation: Incarnation,
    /// Condition.
    pub health: Health,
    /// Models of which it owns endpoints.
    pub models: ModelSet,
}

impl Member {
    /// Whether this news goes before `other` about the same member.
    fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.health) > (other.incarnation, other.health)
    }
}

/// What rides on every probe and answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Who sends.
    pub from: InstanceId,
    /// Configuration version in force at the sender.
    pub version: Version,
    /// How lately that version was known to be the newest.
    pub fresh: Option<Freshness>,
    /// Changes of members.
    pub news: Vec<Member>,
}

/// What the caller must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Probe a member.
    Probe {
        /// The member.
        peer: InstanceId,
        /// Its address.
        address: SocketAddr,
    },
    /// Note that a member's condition changed.
    Changed {
        /// The member.
        peer: InstanceId,
        /// Its condition now.
        health: Health,
    },
}

#[derive(Debug)]
struct Entry {
    member: Member,
    since: Time,
}

impl Entry {
    /// When its condition ends by itself, if it does.
    fn due(&self) -> Option<Time> {
        match self.member.health {
            Health::Suspect => Some(self.since + SUSPICION),
            Health::Dead | Health::Left => Some(self.since + GRAVE),
            Health::Alive | Health::Leaving => None,
        }
    }
}

/// One instance's view of the members.
#[derive(Debug)]
pub struct Members {
    me: InstanceId,
    entries: BTreeMap<InstanceId, Entry>,
    news: BTreeMap<InstanceId, u32>,
    listed: BTreeMap<InstanceId, SocketAddr>,
    watched: Vec<InstanceId>,
    next_probe: Time,
    turn: usize,
    /// When some member's condition ends by itself.
    due: Option<Time>,
}

impl Members {
    /// A view that knows only `me`.
    pub fn new(now: Time, me: Member) -> Self {
        let id = me.id.clone();
        let mut members = Self {
            me: id.clone(),
            entries: BTreeMap::new(),
            news: BTreeMap::new(),
            listed: BTreeMap::new(),
            watched: Vec::new(),
            next_probe: now,
            turn: 0,
            due: None,
        };
        members.entries.insert(id, Entry { member: me, since: now });
        members.announce(&members.me.clone());
        members
    }

    /// This instance.
    pub fn me(&self) -> &Member {
        &self.entries[&self.me].member
    }

    /// All members known, dead ones included.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|e| &e.member)
    }

    /// Members that may own endpoints: alive or under suspicion.
    pub fn owners(&self) -> impl Iterator<Item = &Member> {
        self.all().filter(|m| m.health.may_own())
    }

    /// Members that configuration must reach: all that may take work.
    pub fn active(&self) -> impl Iterator<Item = &Member> {
        self.all().filter(|m| matches!(m.health, Health::Alive | Health::Suspect | Health::Leaving))
    }

    /// Part of the roster that is alive here.
    pub fn share(&self) -> Share {
        let seen = self.owners().filter(|m| m.health == Health::Alive).count() as u32;
        let gone = self
            .listed
            .keys()
            .filter(|id| {
                self.entries.get(*id).is_none_or(|e| {
                    !matches!(e.member.health, Health::Alive | Health::Leaving | Health::Left)
                })
            })
            .count() as u32;
        let unlisted = self
            .entries
            .iter()
            .filter(|(id, e)| e.member.health == Health::Suspect && !self.listed.contains_key(*id))
            .count() as u32;
        Share { seen, roster: seen + gone + unlisted }
    }

    /// Takes in the platform's list of live instances, which lags; gives those to probe that are not known yet.
    pub fn set_listed(&mut self, listed: BTreeMap<InstanceId, SocketAddr>) -> Vec<Action> {
        self.listed = listed;
        let stranger = |id: &&InstanceId| !self.entries.contains_key(*id);
        let strangers: Vec<_> = self.listed.keys().filter(stranger).cloned().collect();
        strangers
            .into_iter()
            .take(RINGS as usize)
            .map(|peer| Action::Probe { address: self.listed[&peer], peer })
            .collect()
    }

    /// Changes what this instance tells of itself.
    pub fn set_models(&mut self, models: ModelSet) {
        if self.me().models != models {
            self.refute(|me| me.models = models);
        }
    }

    /// Tells all that this instance is leaving, or has left.
    pub fn leave(&mut self, health: Health) {
        self.refute(|me| me.health = health);
    }

    /// Probes that are due, and suspicions that have run out.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.bury(now, &mut actions);
        if now < self.next_probe {
            return actions;
        }
        let watched = self.watched.len().max(1) as u32;
        self.next_probe = now + PROBE_INTERVAL / watched;
        if self.watched.is_empty() {
            return actions;
        }
        self.turn = (self.turn + 1) % self.watched.len();
        let peer = self.watched[self.turn].clone();
        if let Some(entry) = self.entries.get(&peer) {
            actions.push(Action::Probe { address: entry.member.address, peer });
        }
        actions
    }

    /// Members through which an unanswered probe of `target` is tried again.
    pub fn indirect_probers(&self, target: &InstanceId) -> Vec<(InstanceId, SocketAddr)> {
        self.watched
            .iter()
            .filter(|id| *id != target)
            .filter_map(|id| self.entries.get(id))
            .filter(|e| e.member.health == Health::Alive)
            .map(|e| (e.member.id.clone(), e.member.address))
            .take(2)
            .collect()
    }

    /// Takes in that a member answered neither directly nor through others.
    pub fn mark_unreachable(&mut self, now: Time, peer: &InstanceId) -> Vec<Action> {
        let Some(entry) = self.entries.get_mut(peer) else {
            return Vec::new();
        };
        if !matches!(entry.member.health, Health::Alive | Health::Leaving) {
            return Vec::new();
        }
        let was = entry.member.health;
        entry.member.health = if was == Health::Leaving { Health::Left } else { Health::Suspect };
        entry.since = now;
        let health = entry.member.health;
        self.due = earlier(self.due, entry.due());
        self.announce(peer);
        self.rewatch();
        vec![Action::Changed { peer: peer.clone(), health }]
    }

    /// News to put on a message; counts as sent.
    pub fn next_updates(&mut self) -> Vec<Member> {
        let mut fresh: Vec<_> =
            self.news.iter().map(|(id, left)| (std::cmp::Reverse(*left), id.clone())).collect();
        fresh.sort_unstable();
        let mut out = Vec::new();
        for (_, id) in fresh.into_iter().take(NEWS_MAX) {
            if let Some(left) = self.news.get_mut(&id) {
                *left -= 1;
                if *left == 0 {
                    self.news.remove(&id);
                }
            }
            if let Some(entry) = self.entries.get(&id) {
                out.push(entry.member.clone());
            }
        }
        out
    }

    /// Takes in all that another member knows, when this one joins.
    ///
    /// What one member knows is no news to the rest, so it is not handed on.
    pub fn apply_roster(&mut self, now: Time, roster: Vec<Member>) -> Vec<Action> {
        let before = self.news.clone();
        let actions = self.apply_updates(now, roster);
        let me = self.me.clone();
        self.news.retain(|id, _| *id == me || before.contains_key(id));
        actions
    }

    /// Takes in news from a message.
    pub fn apply_updates(&mut self, now: Time, news: Vec<Member>) -> Vec<Action> {
        let mut actions = Vec::new();
        for member in news {
            self.apply_update(now, member, &mut actions);
        }
        if !actions.is_empty() {
            self.rewatch();
        }
        actions
    }

    fn apply_update(&mut self, now: Time, member: Member, actions: &mut Vec<Action>) {
        if member.id == self.me {
            self.defend(&member);
            return;
        }
        let known = self.entries.get(&member.id);
        if let Some(known) = known.filter(|e| !member.supersedes(&e.member)) {
            // A member that was given up and came back must hear of it, or it could not refute.
            let given_up = !matches!(known.member.health, Health::Alive | Health::Leaving);
            if given_up && member.health == Health::Alive {
                self.announce(&member.id);
            }
            return;
        }
        if known.is_none() && matches!(member.health, Health::Dead | Health::Left) {
            return;
        }
        let (peer, health) = (member.id.clone(), member.health);
        let entry = Entry { member, since: now };
        self.due = earlier(self.due, entry.due());
        self.entries.insert(peer.clone(), entry);
        self.announce(&peer);
        actions.push(Action::Changed { peer, health });
    }

    /// Answers news that says this instance is gone, or that an earlier life of it had a higher number.
    fn defend(&mut self, news: &Member) {
        let me = self.me();
        if news.incarnation < me.incarnation
            || (news.incarnation == me.incarnation && news.health <= me.health)
        {
            return;
        }
        let above = news.incarnation;
        self.refute(|me| me.incarnation = above);
    }

    /// Changes this instance's own entry under a higher incarnation.
    fn refute(&mut self, change: impl FnOnce(&mut Member)) {
        let id = self.me.clone();
        if let Some(entry) = self.entries.get_mut(&id) {
            change(&mut entry.member);
            entry.member.incarnation.0 += 1;
        }
        self.announce(&id);
    }

    fn announce(&mut self, id: &InstanceId) {
        let doublings = usize::BITS - self.entries.len().leading_zeros();
        self.news.insert(id.clone(), SENDS_FACTOR * doublings.max(1));
    }

    fn bury(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.due.is_none_or(|due| now < due) {
            return;
        }
        let mut dead = Vec::new();
        for (id, entry) in &mut self.entries {
            if entry.member.health == Health::Suspect && now.since(entry.since) >= SUSPICION {
                entry.member.health = Health::Dead;
                entry.since = now;
                dead.push(id.clone());
            }
        }
        for peer in &dead {
            self.announce(peer);
            actions.push(Action::Changed { peer: peer.clone(), health: Health::Dead });
        }
        let before = self.entries.len();
        self.entries.retain(|_, e| {
            !matches!(e.member.health, Health::Dead | Health::Left) || now.since(e.since) < GRAVE
        });
        self.due = self.entries.values().filter_map(Entry::due).min();
        if !dead.is_empty() || self.entries.len() != before {
            self.rewatch();
        }
    }

    /// Finds the successors on each ring.
    fn rewatch(&mut self) {
        let mut watched = Vec::new();
        for ring in 0..RINGS {
            let place = |id: &InstanceId| xxh3_64_with_seed(id.as_str().as_bytes(), ring);
            let mine = place(&self.me);
            let others = self.active().filter(|m| m.id != self.me);
            let next = others.min_by_key(|m| place(&m.id).wrapping_sub(mine)).map(|m| m.id.clone());
            watched.extend(next.filter(|id| !watched.contains(id)));
        }
        self.watched = watched;
    }
}

/// The earlier of two times that may not be set.
fn earlier(a: Option<Time>, b: Option<Time>) -> Option<Time> {
    a.into_iter().chain(b).min()
}
