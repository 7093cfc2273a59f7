//! Endpoints of routed services, and all work that is granted on them.
//!
//! Each instance places its own requests, based on the grants of all instances. An instance sends its
//! complete set of grants to its peers on every change and at regular intervals, so that the next message
//! makes up for a lost one. Grants of a peer that sends nothing expire after [`PEER_TIMEOUT`]. A grant names
//! the endpoints that prefill the prompt, and for each one the prefill time and the KV memory that it fills.
//! Backlog, decoding requests and free memory of an endpoint are calculated from the grants alone ([`load`]);
//! [`place`] chooses endpoints by them.

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

/// Time without a message after which the grants of a peer expire; longer than any interval between two
/// messages of a live peer.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which an endpoint stays usable after it disappeared from the list during an outage of the list.
pub const RELIST_TIMEOUT: Duration = Duration::from_millis(1_900);
/// Backoff after the first failure of an endpoint; doubles with each failure that follows within
/// [`BACKOFF_RESET`].
const BACKOFF_BASE: Duration = Duration::from_millis(400);
/// Longest backoff of a failing endpoint.
const BACKOFF_MAX: Duration = Duration::from_secs(4);
/// Time without a failure after which the backoff starts again at [`BACKOFF_BASE`].
const BACKOFF_RESET: Duration = Duration::from_secs(8);
/// Minimum number of instances by which a shared rate is divided.
const SHARES_MIN: usize = 8;
/// Age at which a report of an endpoint's pace expires.
const PACE_TTL: Duration = Duration::from_secs(4);

/// Identifies one incarnation of an endpoint; short enough to be part of every message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct Key(u64);

/// Entry of an endpoint in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Endpoint id; tells endpoints apart when an address is reassigned.
    pub id: EndpointId,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Service that it belongs to.
    pub service: ModelId,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining: it finishes its work and accepts nothing new.
    pub leaving: bool,
    /// Start of this incarnation, in milliseconds of the endpoint's own clock; zero if it reports none.
    pub born: u64,
    /// Remaining time of its cold start, in milliseconds.
    pub cold: u64,
}

impl Listing {
    /// Key of this incarnation.
    pub fn key(&self) -> Key {
        Key(xxh3_64_with_seed(self.id.as_str().as_bytes(), self.born))
    }
}

/// Kind of work that a grant covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// A call of a plain service.
    Plain,
    /// A prompt whose prefill fits into a pass without delaying the decoding requests.
    Brief,
    /// A prompt whose prefill would stall the requests that decode on the same engine.
    Bulk,
}

/// Share of one endpoint in a grant.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// Key of the endpoint.
    pub endpoint: Key,
    /// Prefill time of this part, in milliseconds.
    pub read: f32,
    /// KV memory filled on this endpoint, in tokens.
    pub memory: u32,
    /// Context that each decode step processes on this endpoint, in tokens.
    pub context: u32,
}

/// Work of one request on one or more endpoints. The endpoint of the first part decodes the answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Kind of the work.
    pub work: Work,
    /// Parts, starting with that of the decode endpoint.
    pub parts: Vec<Part>,
    /// Time of the grant.
    pub granted: Time,
    /// Time of the first event, once there is one.
    pub first: Option<Time>,
    /// Deadline of the first event.
    pub due: Time,
    /// Longest gap between events that is on time, in milliseconds.
    pub gap: u32,
    /// Value of the answer relative to other answers.
    pub value: f32,
}

/// State that an instance sends to its peers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// All its grants; times are relative to the sender's epoch.
    pub grants: Vec<Grant>,
    /// Endpoints that failed for the sender, with their remaining backoff in milliseconds.
    pub paused: Vec<(Key, u32)>,
    /// Pace of the endpoints that the sender watches: observed time divided by published time.
    pub paces: Vec<(Key, f32)>,
}

/// State of one endpoint as this instance knows it.
#[derive(Debug)]
struct Site {
    listing: Listing,
    cold_until: Time,
    cold_gate: ColdGate,
    /// Time at which it is removed if it does not reappear in the list.
    expires: Time,
    paused_until: Time,
    failures: u32,
    last_failure: Time,
    /// Latest report of its pace, with the time of the report.
    pace: (f32, Time),
    /// Set if that report is this instance's own, which it sends to its peers.
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
    /// Grants of this instance by number.
    mine: BTreeMap<u64, Grant>,
    peers: BTreeMap<InstanceId, Peer>,
    /// Number of the latest grant.
    last_number: u64,
    instances: usize,
    /// Largest number of instances known at any time.
    instances_max: usize,
}

impl Pool {
    /// Creates an empty pool for an instance in `zone`; `seed` differs between instances.
    pub fn new(zone: ZoneId, seed: u64) -> Self {
        Self { zone: Some(zone), seed, ..Self::default() }
    }

    /// Sets the batch costs of a service and its rate for cold endpoints, which all instances share.
    pub fn set_service(&mut self, id: ModelId, costs: Option<Costs>, cold_rate: f64) {
        self.cold_rates.insert(id.clone(), cold_rate);
        match costs {
            Some(costs) => self.engines.insert(id, costs),
            None => self.engines.remove(&id),
        };
    }

    /// Sets the number of known instances of the deployment.
    pub fn set_instances(&mut self, count: usize) {
        self.instances = count;
        self.instances_max = self.instances_max.max(count);
    }

    /// Sets the zones out of service, which get no work.
    pub fn set_zones_out(&mut self, zones: Vec<ZoneId>) {
        self.zones_out = zones;
    }

    /// Adds or updates an endpoint from its list entry and returns the key of its incarnation. Removes other
    /// incarnations of the same endpoint.
    pub fn update_listing(&mut self, now: Time, listing: Listing) -> Key {
        let key = listing.key();
        self.sites.retain(|k, site| *k == key || site.listing.id != listing.id);
        let cold_until = now + Duration::from_millis(listing.cold);
        let site = self.sites.entry(key).or_insert_with(|| Site {
            listing: listing.clone(),
            cold_until,
            cold_gate: ColdGate::default(),
            expires: Time::NEVER,
            paused_until: Time::ZERO,
            failures: 0,
            last_failure: Time::ZERO,
            pace: (1.0, Time::ZERO),
            own_pace: None,
        });
        site.listing = listing;
        site.cold_until = cold_until;
        site.expires = Time::NEVER;
        key
    }

    /// Removes an endpoint that is no longer listed. After an outage of the list it remains usable for
    /// [`RELIST_TIMEOUT`], since it may reappear.
    pub fn remove_listing(&mut self, now: Time, id: &EndpointId, after_outage: bool) {
        if after_outage {
            let sites = self.sites.values_mut().filter(|s| s.listing.id == *id);
            sites.for_each(|s| s.expires = s.expires.min(now + RELIST_TIMEOUT));
            return;
        }
        self.sites.retain(|_, site| site.listing.id != *id);
    }

    /// Ids of all listed endpoints.
    pub fn listed(&self) -> impl Iterator<Item = &EndpointId> {
        self.sites.values().map(|s| &s.listing.id)
    }

    /// Finds the endpoint at an address.
    pub fn find_by_address(&self, address: SocketAddr) -> Option<Key> {
        self.sites.iter().find(|(_, s)| s.listing.address == address).map(|(k, _)| *k)
    }

    /// Model engines that may get work, ordered by key.
    pub fn engines(&self) -> impl Iterator<Item = (Key, &Listing)> {
        self.sites
            .iter()
            .filter(|(_, s)| self.engines.contains_key(&s.listing.service) && !s.listing.leaving)
            .map(|(k, s)| (*k, &s.listing))
    }

    /// Whether an endpoint still accepts work; checked again right before each send.
    pub fn is_open(&self, now: Time, key: Key) -> bool {
        self.sites.get(&key).is_some_and(|site| self.accepts_work(now, site))
    }

    fn accepts_work(&self, now: Time, site: &Site) -> bool {
        !site.listing.leaving && now < site.expires && !self.zones_out.contains(&site.listing.zone)
    }

    /// Records a failure of an endpoint and returns its backoff, during which it gets no new work.
    pub fn record_failure(&mut self, now: Time, key: Key) -> Duration {
        let Some(site) = self.sites.get_mut(&key) else { return Duration::ZERO };
        if now.since(site.last_failure) > BACKOFF_RESET {
            site.failures = 0;
        }
        let backoff = (BACKOFF_BASE * 2_u32.saturating_pow(site.failures)).min(BACKOFF_MAX);
        site.failures = (site.failures + 1).min(8);
        site.last_failure = now;
        site.paused_until = site.paused_until.max(now + backoff);
        backoff
    }

    /// Records a report of an endpoint's pace: observed time divided by published time.
    pub fn set_pace(&mut self, now: Time, key: Key, pace: f32) {
        if let Some(site) = self.sites.get_mut(&key) {
            site.pace = (pace, now);
            site.own_pace = Some(pace);
        }
    }

    /// Records the first event of a grant.
    pub fn record_first_event(&mut self, now: Time, number: u64) {
        if let Some(grant) = self.mine.get_mut(&number) {
            grant.first = grant.first.or(Some(now));
        }
    }

    /// Removes a grant whose request has ended.
    pub fn end_grant(&mut self, number: u64) {
        self.mine.remove(&number);
    }

    /// Number of grants of this instance.
    pub fn held(&self) -> usize {
        self.mine.len()
    }

    /// Replaces the state of a peer; `sent` is by the peer's clock and `now` the time of receipt.
    pub fn apply_snapshot(&mut self, now: Time, peer: InstanceId, sent: Time, mut snapshot: Snapshot) {
        let shift = |t: Time| Time::from(Duration::from(now).saturating_sub(sent.since(t)));
        for grant in &mut snapshot.grants {
            grant.granted = shift(grant.granted);
            grant.first = grant.first.map(shift);
            grant.due = if grant.due < sent { shift(grant.due) } else { now + grant.due.since(sent) };
        }
        for (key, remaining) in &snapshot.paused {
            if let Some(site) = self.sites.get_mut(key) {
                site.paused_until = site.paused_until.max(now + Duration::from_millis(u64::from(*remaining)));
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

    /// Removes the grants of peers that timed out, and endpoints that did not reappear in the list.
    pub fn remove_expired(&mut self, now: Time) {
        self.peers.retain(|_, p| now.since(p.heard) <= PEER_TIMEOUT);
        self.sites.retain(|_, s| now < s.expires);
    }

    /// Removes a peer that left.
    pub fn remove_peer(&mut self, peer: &InstanceId) {
        self.peers.remove(peer);
    }

    /// State of this instance to be sent to its peers.
    pub fn snapshot(&self, now: Time) -> Snapshot {
        let paused = self
            .sites
            .iter()
            .filter(|(_, s)| {
                now < s.paused_until && now.since(s.last_failure) < BACKOFF_MAX && s.failures > 0
            })
            .map(|(k, s)| (*k, s.paused_until.since(now).as_millis() as u32))
            .collect();
        let paces = self.sites.iter().filter_map(|(k, s)| s.own_pace.map(|p| (*k, p))).collect();
        Snapshot { grants: self.mine.values().cloned().collect(), paused, paces }
    }

    /// All current grants, of this instance and of its peers.
    fn grants(&self) -> impl Iterator<Item = &Grant> {
        self.mine.values().chain(self.peers.values().flat_map(|p| &p.snapshot.grants))
    }

    /// Ratio of all instances to those whose grants are known; above one while links are down.
    fn instance_ratio(&self) -> f64 {
        self.instances.max(1) as f64 / (self.peers.len() + 1) as f64
    }

    /// Number of instances by which shared rates are divided, this one included.
    fn rate_shares(&self) -> usize {
        self.instances_max.max(self.peers.len() + 1).max(SHARES_MIN)
    }
}

impl Site {
    fn pace(&self, now: Time) -> f64 {
        let (pace, seen) = self.pace;
        if now.since(seen) > PACE_TTL { 1.0 } else { f64::from(pace).max(1.0) }
    }
}
