//! Endpoints of routed services, and all work that is granted on them.
//!
//! Every instance decides alone where its requests go, on a picture that all share: each tells the others its own grants
//! whole, at every change and at intervals, so that a lost message is healed by the next one and the grants of an
//! instance that fell silent are dropped after [`SILENCE`]. A grant names the endpoints that read the prompt, the time
//! that this takes on each and the memory that is filled there. From the grants alone follow the work ahead on an
//! endpoint, its writers and its free memory; [`place`] weighs them.

mod bulk;
mod load;
mod place;
mod plain;
mod prompt;

use core::net::SocketAddr;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::engine::Costs;
use crate::ids::{EndpointId, InstanceId, ModelId, ZoneId};
use crate::rate::ColdGate;
use crate::time::Time;

pub use self::place::{Cause, Demand, Helper, Placement, Refusal};

/// Silence of a peer after which its grants no longer count; longer than any pause of a live one between two messages.
pub const SILENCE: Duration = Duration::from_secs(3);
/// Time for which an endpoint that the list lost during an outage of the list is still used.
pub const RELISTING: Duration = Duration::from_millis(1_900);
/// Pause after a first failure of an endpoint; doubles with each one that follows soon.
const PAUSE_BASE: Duration = Duration::from_millis(400);
/// Longest pause of a failing endpoint.
const PAUSE_MAX: Duration = Duration::from_secs(4);
/// Time without a failure after which the pauses start small again.
const PAUSE_MEMORY: Duration = Duration::from_secs(8);
/// Instances among which shared rates are divided while fewer are known.
const SHARERS_MIN: usize = 8;
/// Age from which a report of an endpoint's pace no longer counts.
const PACE_AGE: Duration = Duration::from_secs(4);

/// Name of one life of an endpoint, short enough for every message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct Key(u64);

/// What the platform's list says of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Its name; another one answers if the address was given to another endpoint.
    pub id: EndpointId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its service.
    pub service: ModelId,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it finishes its work and takes nothing new.
    pub leaving: bool,
    /// Start of this life, in milliseconds of the endpoint's own clock; zero if it does not say.
    pub born: u64,
    /// Time for which it is still cold, in milliseconds.
    pub cold: u64,
}

impl Listing {
    /// Name of this life.
    pub fn key(&self) -> Key {
        Key(xxh3_64_with_seed(self.id.as_str().as_bytes(), self.born))
    }
}

/// Kind of a grant's work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// A call of a plain service.
    Plain,
    /// A prompt that fits into a pass beside writers.
    Brief,
    /// A prompt that would stall the writers beside it.
    Bulk,
}

/// One endpoint's part of a grant.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The endpoint.
    pub endpoint: Key,
    /// Time to read the part, in milliseconds.
    pub read: f32,
    /// Memory filled there, in tokens.
    pub memory: u32,
    /// Context that each step of the writer costs there, in tokens.
    pub context: u32,
}

/// Work of one request on one or more endpoints; the first part's endpoint writes the answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Kind of the work.
    pub work: Work,
    /// Parts, the writer's first.
    pub parts: Vec<Part>,
    /// When it was granted.
    pub granted: Time,
    /// When the first event came.
    pub first: Option<Time>,
    /// When the first event is late.
    pub due: Time,
    /// Longest pause between events that is on time, in milliseconds.
    pub gap: u32,
    /// Worth of the answer in relation to other answers.
    pub value: f32,
}

/// What an instance tells the others about itself.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// All its grants; times count from the sender's own epoch.
    pub grants: Vec<Grant>,
    /// Endpoints that failed it, with the rest of their pause in milliseconds.
    pub paused: Vec<(Key, u32)>,
    /// Pace of the endpoints that it watches: observed time over published time.
    pub paces: Vec<(Key, f32)>,
}

/// What is believed of one endpoint.
#[derive(Debug)]
struct Site {
    listing: Listing,
    cold_until: Time,
    cold: ColdGate,
    lapse: Time,
    paused_until: Time,
    failures: u32,
    failed: Time,
    pace: (f32, Time),
    own_pace: Option<f32>,
}

#[derive(Debug, Default)]
struct Peer {
    heard: Time,
    snapshot: Snapshot,
}

/// All endpoints, and the work that is granted on them.
#[derive(Debug, Default)]
pub struct Pool {
    zone: Option<ZoneId>,
    seed: u64,
    sites: BTreeMap<Key, Site>,
    engines: HashMap<ModelId, Costs>,
    cold_rates: HashMap<ModelId, f64>,
    zones_out: Vec<ZoneId>,
    mine: BTreeMap<u64, Grant>,
    peers: BTreeMap<InstanceId, Peer>,
    next: u64,
    instances: usize,
    /// Most instances that were known at a time.
    most: usize,
}

impl Pool {
    /// An empty pool of an instance in `zone`; `seed` differs between instances.
    pub fn new(zone: ZoneId, seed: u64) -> Self {
        Self { zone: Some(zone), seed, ..Self::default() }
    }

    /// Takes the batch costs and the cold rate of a service; the rate holds for all instances together.
    pub fn set_service(&mut self, id: ModelId, costs: Option<Costs>, cold_rate: f64) {
        self.cold_rates.insert(id.clone(), cold_rate);
        match costs {
            Some(costs) => self.engines.insert(id, costs),
            None => self.engines.remove(&id),
        };
    }

    /// Takes the number of instances of the deployment that are known.
    pub fn set_instances(&mut self, count: usize) {
        self.instances = count;
        self.most = self.most.max(count);
    }

    /// Takes the zones to which nothing may be sent.
    pub fn set_zones_out(&mut self, zones: Vec<ZoneId>) {
        self.zones_out = zones;
    }

    /// Takes what the list says of an endpoint; gives the name of its life.
    pub fn update_listing(&mut self, now: Time, listing: Listing) -> Key {
        let key = listing.key();
        self.sites.retain(|k, site| *k == key || site.listing.id != listing.id);
        let cold_until = now + Duration::from_millis(listing.cold);
        let site = self.sites.entry(key).or_insert_with(|| Site {
            listing: listing.clone(),
            cold_until,
            cold: ColdGate::default(),
            lapse: Time::NEVER,
            paused_until: Time::ZERO,
            failures: 0,
            failed: Time::ZERO,
            pace: (1.0, Time::ZERO),
            own_pace: None,
        });
        site.listing = listing;
        site.cold_until = cold_until;
        site.lapse = Time::NEVER;
        key
    }

    /// Takes that the list no longer holds an endpoint. After an outage of the list it may come back.
    pub fn remove_listing(&mut self, now: Time, id: &EndpointId, after_outage: bool) {
        if after_outage {
            let sites = self.sites.values_mut().filter(|s| s.listing.id == *id);
            sites.for_each(|s| s.lapse = s.lapse.min(now + RELISTING));
            return;
        }
        self.sites.retain(|_, site| site.listing.id != *id);
    }

    /// Names of all listed endpoints.
    pub fn listed(&self) -> impl Iterator<Item = &EndpointId> {
        self.sites.values().map(|s| &s.listing.id)
    }

    /// The endpoint at an address.
    pub fn find_by_address(&self, address: SocketAddr) -> Option<Key> {
        self.sites.iter().find(|(_, s)| s.listing.address == address).map(|(k, _)| *k)
    }

    /// Model engines that may get work, in the order of their names.
    pub fn engines(&self) -> impl Iterator<Item = (Key, &Listing)> {
        self.sites
            .iter()
            .filter(|(_, s)| self.engines.contains_key(&s.listing.service) && !s.listing.leaving)
            .map(|(k, s)| (*k, &s.listing))
    }

    /// Whether work may still be sent to an endpoint; asked again right before each send.
    pub fn is_open(&self, now: Time, key: Key) -> bool {
        self.sites.get(&key).is_some_and(|site| self.takes_work(now, site))
    }

    fn takes_work(&self, now: Time, site: &Site) -> bool {
        !site.listing.leaving && now < site.lapse && !self.zones_out.contains(&site.listing.zone)
    }

    /// Takes that an endpoint failed; gives the pause for which it gets nothing new.
    pub fn record_failure(&mut self, now: Time, key: Key) -> Duration {
        let Some(site) = self.sites.get_mut(&key) else { return Duration::ZERO };
        if now.since(site.failed) > PAUSE_MEMORY {
            site.failures = 0;
        }
        let pause = (PAUSE_BASE * 2_u32.saturating_pow(site.failures)).min(PAUSE_MAX);
        site.failures = (site.failures + 1).min(8);
        site.failed = now;
        site.paused_until = site.paused_until.max(now + pause);
        pause
    }

    /// Takes a report of an endpoint's pace: observed time over published time.
    pub fn set_pace(&mut self, now: Time, key: Key, pace: f32) {
        if let Some(site) = self.sites.get_mut(&key) {
            site.pace = (pace, now);
            site.own_pace = Some(pace);
        }
    }

    /// Takes that the first event of a grant came.
    pub fn record_first_event(&mut self, now: Time, number: u64) {
        if let Some(grant) = self.mine.get_mut(&number) {
            grant.first = grant.first.or(Some(now));
        }
    }

    /// Ends a grant.
    pub fn end_grant(&mut self, number: u64) {
        self.mine.remove(&number);
    }

    /// Number of this instance's grants.
    pub fn held(&self) -> usize {
        self.mine.len()
    }

    /// Takes what a peer says of itself, sent at `sent` by its clock and heard `now`.
    pub fn apply_snapshot(&mut self, now: Time, peer: InstanceId, sent: Time, mut snapshot: Snapshot) {
        let shift = |t: Time| Time::from(Duration::from(now).saturating_sub(sent.since(t)));
        for grant in &mut snapshot.grants {
            grant.granted = shift(grant.granted);
            grant.first = grant.first.map(shift);
            grant.due = if grant.due < sent { shift(grant.due) } else { now + grant.due.since(sent) };
        }
        for (key, rest) in &snapshot.paused {
            if let Some(site) = self.sites.get_mut(key) {
                site.paused_until = site.paused_until.max(now + Duration::from_millis(u64::from(*rest)));
            }
        }
        for (key, pace) in &snapshot.paces {
            if let Some(site) = self.sites.get_mut(key) {
                site.pace = (*pace, now);
                site.own_pace = None;
            }
        }
        self.peers.insert(peer, Peer { heard: now, snapshot });
    }

    /// Drops the grants of peers that fell silent and endpoints that did not come back to the list.
    pub fn remove_expired(&mut self, now: Time) {
        self.peers.retain(|_, p| now.since(p.heard) <= SILENCE);
        self.sites.retain(|_, s| now < s.lapse);
    }

    /// Forgets a peer that left.
    pub fn remove_peer(&mut self, peer: &InstanceId) {
        self.peers.remove(peer);
    }

    /// What this instance tells the others.
    pub fn snapshot(&self, now: Time) -> Snapshot {
        let paused = self
            .sites
            .iter()
            .filter(|(_, s)| now < s.paused_until && now.since(s.failed) < PAUSE_MAX && s.failures > 0)
            .map(|(k, s)| (*k, s.paused_until.since(now).as_millis() as u32))
            .collect();
        let paces = self.sites.iter().filter_map(|(k, s)| s.own_pace.map(|p| (*k, p))).collect();
        Snapshot { grants: self.mine.values().cloned().collect(), paused, paces }
    }

    /// All live grants, of this instance and of the others.
    fn grants(&self) -> impl Iterator<Item = &Grant> {
        self.mine.values().chain(self.peers.values().flat_map(|p| &p.snapshot.grants))
    }

    /// Instances for each one whose grants are known; over one while links are down.
    fn unseen(&self) -> f64 {
        self.instances.max(1) as f64 / (self.peers.len() + 1) as f64
    }

    /// Instances among which shared rates are divided, this one included.
    fn sharers(&self) -> usize {
        self.most.max(self.peers.len() + 1).max(SHARERS_MIN)
    }
}

impl Site {
    fn pace(&self, now: Time) -> f64 {
        let (pace, seen) = self.pace;
        if now.since(seen) > PACE_AGE { 1.0 } else { f64::from(pace).max(1.0) }
    }
}
