//! Decentralized membership and failure detection, based on the SWIM protocol.
//!
//! Each instance probes its successors on [`RINGS`] hash rings, each of which orders the members by a different hash.
//! The probe targets form a random regular graph: connections are few and long-lived, every member is watched by as
//! many others as there are rings, and updates reach all members in a logarithmic number of rounds. Updates are
//! piggybacked on probes and their answers. A member that answers neither a direct nor an indirect probe is suspected,
//! and is declared dead unless it refutes the suspicion with a higher incarnation within the suspicion timeout.

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

/// Number of hash rings, and therefore of members that one instance probes.
pub const RINGS: u64 = 4;
/// Interval between probes of the same member.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time within which a suspected member must refute the suspicion.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which a dead or departed member stays recorded, so that a delayed update does not add it again.
const TOMBSTONE_TTL: Duration = Duration::from_mins(1);
/// Maximum number of updates in one message.
const UPDATES_MAX: usize = 16;
/// Number of times that an update is sent, per doubling of the member count.
const RETRANSMIT_FACTOR: u32 = 3;

/// State of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// Answers probes.
    #[display("alive")]
    Alive,
    /// Did not answer the latest probes.
    #[display("suspect")]
    Suspect,
    /// Drains: finishes its work, owns no endpoints and receives no new requests from the load balancer.
    #[display("leaving")]
    Leaving,
    /// Did not refute the suspicion in time.
    #[display("dead")]
    Dead,
    /// Shut down deliberately.
    #[display("left")]
    Left,
}

impl Health {
    /// Whether a member in this state may own endpoints.
    pub const fn may_own(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// Set of models as a Bloom filter with one hash: false positives are possible, false negatives are not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ModelSet(u64);

impl ModelSet {
    /// Builds the set of `models`.
    pub fn of<'a>(models: impl IntoIterator<Item = &'a ModelId>) -> Self {
        Self(models.into_iter().fold(0, |set, m| set | Self::bit(m)))
    }

    /// Whether the set possibly contains `model`.
    pub fn may_hold(self, model: &ModelId) -> bool {
        self.0 & Self::bit(model) != 0
    }

    fn bit(model: &ModelId) -> u64 {
        1 << (xxh3_64_with_seed(model.as_str().as_bytes(), 0) % 64)
    }
}

/// Gossiped description of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Instance id.
    pub id: InstanceId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address for connections from peers.
    pub address: SocketAddr,
    /// Incarnation; rises with every restart, refutation and change of its own entry.
    pub incarnation: Incarnation,
    /// State of the member.
    pub health: Health,
    /// Models whose endpoints it owns.
    pub models: ModelSet,
}

impl Member {
    /// Whether this update replaces `other`, an entry of the same member.
    fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.health) > (other.incarnation, other.health)
    }
}

/// Payload of every probe and its answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Sender.
    pub from: InstanceId,
    /// Configuration version in force at the sender.
    pub version: Version,
    /// Newest version that the sender knows of, and how long ago it was confirmed to be the newest.
    pub fresh: Option<Freshness>,
    /// Member updates.
    pub news: Vec<Member>,
}

/// Action for the caller to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Probe a member.
    Probe {
        /// The member.
        peer: InstanceId,
        /// Its address.
        address: SocketAddr,
    },
    /// A member's state changed.
    Changed {
        /// The member.
        peer: InstanceId,
        /// Its new state.
        health: Health,
    },
}

#[derive(Debug)]
struct Record {
    member: Member,
    since: Time,
}

impl Record {
    /// Time at which the current state expires, if it does.
    fn expires_at(&self) -> Option<Time> {
        match self.member.health {
            Health::Suspect => Some(self.since + SUSPICION_TIMEOUT),
            Health::Dead | Health::Left => Some(self.since + TOMBSTONE_TTL),
            Health::Alive | Health::Leaving => None,
        }
    }
}

/// One instance's view of the membership.
#[derive(Debug)]
pub struct Members {
    me: InstanceId,
    entries: BTreeMap<InstanceId, Record>,
    /// Updates to send, with the number of sends that remain.
    pending: BTreeMap<InstanceId, u32>,
    /// Live instances according to the platform.
    listed: BTreeMap<InstanceId, SocketAddr>,
    /// Members that this instance probes.
    watched: Vec<InstanceId>,
    next_probe: Time,
    last_probed: usize,
    /// Earliest time at which the state of a member expires.
    next_expiry: Option<Time>,
}

impl Members {
    /// Creates a view that contains only `me`.
    pub fn new(now: Time, me: Member) -> Self {
        let id = me.id.clone();
        let mut members = Self {
            me: id.clone(),
            entries: BTreeMap::new(),
            pending: BTreeMap::new(),
            listed: BTreeMap::new(),
            watched: Vec::new(),
            next_probe: now,
            last_probed: 0,
            next_expiry: None,
        };
        members.entries.insert(id, Record { member: me, since: now });
        members.announce(&members.me.clone());
        members
    }

    /// This instance.
    pub fn me(&self) -> &Member {
        &self.entries[&self.me].member
    }

    /// All known members, including dead ones that are still recorded.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|e| &e.member)
    }

    /// Members that may own endpoints: alive or suspected.
    pub fn owners(&self) -> impl Iterator<Item = &Member> {
        self.all().filter(|m| m.health.may_own())
    }

    /// Members that configuration changes must reach: all that may still accept work.
    pub fn active(&self) -> impl Iterator<Item = &Member> {
        self.all().filter(|m| matches!(m.health, Health::Alive | Health::Suspect | Health::Leaving))
    }

    /// Fraction of the roster that this instance sees alive.
    pub fn share(&self) -> Share {
        let seen = self.owners().filter(|m| m.health == Health::Alive).count() as u32;
        let missing = self
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
        Share { seen, roster: seen + missing + unlisted }
    }

    /// Sets the platform's list of live instances, which may be out of date, and returns probes of listed instances
    /// that are not known yet.
    pub fn set_listed(&mut self, listed: BTreeMap<InstanceId, SocketAddr>) -> Vec<Action> {
        self.listed = listed;
        let unknown = |id: &&InstanceId| !self.entries.contains_key(*id);
        let newcomers: Vec<_> = self.listed.keys().filter(unknown).cloned().collect();
        newcomers
            .into_iter()
            .take(RINGS as usize)
            .map(|peer| Action::Probe { address: self.listed[&peer], peer })
            .collect()
    }

    /// Sets and announces the models whose endpoints this instance owns.
    pub fn set_models(&mut self, models: ModelSet) {
        if self.me().models != models {
            self.update_self(|me| me.models = models);
        }
    }

    /// Announces that this instance is leaving or has left.
    pub fn leave(&mut self, health: Health) {
        self.update_self(|me| me.health = health);
    }

    /// Returns the probe that is due, and expires suspicions and entries of departed members.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        if now < self.next_probe {
            return actions;
        }
        let watched = self.watched.len().max(1) as u32;
        self.next_probe = now + PROBE_INTERVAL / watched;
        if self.watched.is_empty() {
            return actions;
        }
        self.last_probed = (self.last_probed + 1) % self.watched.len();
        let peer = self.watched[self.last_probed].clone();
        if let Some(entry) = self.entries.get(&peer) {
            actions.push(Action::Probe { address: entry.member.address, peer });
        }
        actions
    }

    /// Members that probe `target` on this instance's behalf when a direct probe was not answered.
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

    /// Records that a member answered neither direct nor indirect probes.
    pub fn mark_unreachable(&mut self, now: Time, peer: &InstanceId) -> Vec<Action> {
        let Some(entry) = self.entries.get_mut(peer) else {
            return Vec::new();
        };
        if !matches!(entry.member.health, Health::Alive | Health::Leaving) {
            return Vec::new();
        }
        let previous = entry.member.health;
        entry.member.health = if previous == Health::Leaving { Health::Left } else { Health::Suspect };
        entry.since = now;
        let health = entry.member.health;
        self.next_expiry = earlier(self.next_expiry, entry.expires_at());
        self.announce(peer);
        self.select_watched();
        vec![Action::Changed { peer: peer.clone(), health }]
    }

    /// Returns the updates for the next message and counts them as sent; those with the most remaining sends go
    /// first.
    pub fn next_updates(&mut self) -> Vec<Member> {
        let mut queue: Vec<_> =
            self.pending.iter().map(|(id, sends)| (std::cmp::Reverse(*sends), id.clone())).collect();
        queue.sort_unstable();
        let mut out = Vec::new();
        for (_, id) in queue.into_iter().take(UPDATES_MAX) {
            if let Some(sends) = self.pending.get_mut(&id) {
                *sends -= 1;
                if *sends == 0 {
                    self.pending.remove(&id);
                }
            }
            if let Some(entry) = self.entries.get(&id) {
                out.push(entry.member.clone());
            }
        }
        out
    }

    /// Adds the members that another member knows, when this instance joins.
    ///
    /// The other members know them already, so they are not gossiped further.
    pub fn apply_roster(&mut self, now: Time, roster: Vec<Member>) -> Vec<Action> {
        let before = self.pending.clone();
        let actions = self.apply_updates(now, roster);
        let me = self.me.clone();
        self.pending.retain(|id, _| *id == me || before.contains_key(id));
        actions
    }

    /// Applies the updates of a received message.
    pub fn apply_updates(&mut self, now: Time, updates: Vec<Member>) -> Vec<Action> {
        let mut actions = Vec::new();
        for member in updates {
            self.apply_update(now, member, &mut actions);
        }
        if !actions.is_empty() {
            self.select_watched();
        }
        actions
    }

    fn apply_update(&mut self, now: Time, member: Member, actions: &mut Vec<Action>) {
        if member.id == self.me {
            self.refute(&member);
            return;
        }
        let known = self.entries.get(&member.id);
        if let Some(known) = known.filter(|e| !member.supersedes(&e.member)) {
            // A member that restarted can refute a record of it as suspect, dead or left only if it receives that record.
            let needs_refutation = !matches!(known.member.health, Health::Alive | Health::Leaving);
            if needs_refutation && member.health == Health::Alive {
                self.announce(&member.id);
            }
            return;
        }
        if known.is_none() && matches!(member.health, Health::Dead | Health::Left) {
            return;
        }
        let (peer, health) = (member.id.clone(), member.health);
        let entry = Record { member, since: now };
        self.next_expiry = earlier(self.next_expiry, entry.expires_at());
        self.entries.insert(peer.clone(), entry);
        self.announce(&peer);
        actions.push(Action::Changed { peer, health });
    }

    /// Refutes an update that reports this instance as suspect, dead or left, or that carries a higher incarnation of an
    /// earlier run.
    fn refute(&mut self, update: &Member) {
        let me = self.me();
        if update.incarnation < me.incarnation
            || (update.incarnation == me.incarnation && update.health <= me.health)
        {
            return;
        }
        let incarnation = update.incarnation;
        self.update_self(|me| me.incarnation = incarnation);
    }

    /// Changes this instance's own entry and raises its incarnation.
    fn update_self(&mut self, change: impl FnOnce(&mut Member)) {
        let id = self.me.clone();
        if let Some(entry) = self.entries.get_mut(&id) {
            change(&mut entry.member);
            entry.member.incarnation.0 += 1;
        }
        self.announce(&id);
    }

    fn announce(&mut self, id: &InstanceId) {
        let doublings = usize::BITS - self.entries.len().leading_zeros();
        self.pending.insert(id.clone(), RETRANSMIT_FACTOR * doublings.max(1));
    }

    fn expire(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.next_expiry.is_none_or(|expiry| now < expiry) {
            return;
        }
        let mut dead = Vec::new();
        for (id, entry) in &mut self.entries {
            if entry.member.health == Health::Suspect && now.since(entry.since) >= SUSPICION_TIMEOUT {
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
            !matches!(e.member.health, Health::Dead | Health::Left) || now.since(e.since) < TOMBSTONE_TTL
        });
        self.next_expiry = self.entries.values().filter_map(Record::expires_at).min();
        if !dead.is_empty() || self.entries.len() != before {
            self.select_watched();
        }
    }

    /// Selects the members to probe: this instance's successor on each ring.
    fn select_watched(&mut self) {
        let mut watched = Vec::new();
        for ring in 0..RINGS {
            let position = |id: &InstanceId| xxh3_64_with_seed(id.as_str().as_bytes(), ring);
            let own = position(&self.me);
            let others = self.active().filter(|m| m.id != self.me);
            let next = others.min_by_key(|m| position(&m.id).wrapping_sub(own)).map(|m| m.id.clone());
            watched.extend(next.filter(|id| !watched.contains(id)));
        }
        self.watched = watched;
    }
}

/// The earlier of two optional times.
fn earlier(a: Option<Time>, b: Option<Time>) -> Option<Time> {
    a.into_iter().chain(b).min()
}
