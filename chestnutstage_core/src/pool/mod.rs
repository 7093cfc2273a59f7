//! Endpoints of routed services, and all work that is granted on them.
//!
//! The planners place requests, each based on the grants of all planners ([`crate::planners`]). A planner sends
//! its peers the changes of its grants at once, and its complete set at regular intervals ([`exchange`]). Grants
//! of a peer that sends nothing expire after [`PEER_TIMEOUT`]. A grant names the endpoints that prefill the
//! prompt, and for each one the prefill time and the KV memory that it fills. Backlog, decoding requests and free
//! memory of an endpoint are calculated from the grants alone ([`load`]); [`place`] chooses endpoints by them.

mod bulk;
mod capacity;
mod estimate;
mod exchange;
mod limits;
mod load;
mod place;
mod plain;
mod prompt;
mod slots;
mod withdrawal;

use core::net::SocketAddr;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::capacity::Learned;
use crate::engine::Costs;
use crate::ids::{EndpointId, InstanceId, ModelId, ZoneId};
use crate::rate::ColdGate;
use crate::time::Time;

pub use self::capacity::CapacityChange;
pub use self::estimate::Estimate;
pub use self::exchange::{Changes, Snapshot};
pub use self::limits::{LimitReport, Permit};
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
/// Minimum number of planners by which a shared rate is divided.
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

/// Listed endpoint that accepts work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenEndpoint {
    /// Key of its incarnation.
    pub key: Key,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
}

impl Listing {
    /// Key of this incarnation.
    pub fn key(&self) -> Key {
        Key(xxh3_64_with_seed(self.id.as_str().as_bytes(), self.born))
    }
}

/// Kind of work that a grant covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
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
    learned: Learned,
}

#[derive(Debug, Default)]
struct Peer {
    heard: Time,
    grants: BTreeMap<u64, Grant>,
}

/// All endpoints, and the work that is granted on them.
#[derive(Debug, Default)]
pub struct Pool {
    /// Name of this instance, once it is known.
    name: Option<InstanceId>,
    zone: Option<ZoneId>,
    seed: u64,
    sites: BTreeMap<Key, Site>,
    engines: HashMap<ModelId, Costs>,
    cold_rates: HashMap<ModelId, f64>,
    withdrawals: withdrawal::Withdrawals,
    limits: limits::Limits,
    claims: slots::Claims,
    zones_out: Vec<ZoneId>,
    /// Grants of this instance by number.
    mine: BTreeMap<u64, Grant>,
    peers: BTreeMap<InstanceId, Peer>,
    /// Forecasts of this instance's placements, by grant.
    forecasts: HashMap<u64, capacity::Forecast>,
    learning: capacity::Learning,
    /// Number of the latest grant.
    last_number: u64,
    /// Changes that were not sent to the peers yet.
    unsent: Changes,
    /// Changes that were sent last, and are sent again in case that a message was lost.
    resent: VecDeque<Changes>,
    planners: usize,
    /// Largest number of planners known at any time.
    planners_max: usize,
    /// Whether this instance places only because it reaches no planner.
    alone: bool,
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

    /// Sets the number of planners, and whether this instance is one of them. One that is not places requests only
    /// while it reaches no planner; it sends none to cold endpoints, whose rate is divided among the planners, and none to
    /// limited ones.
    pub fn set_planners(&mut self, count: usize, included: bool) {
        self.planners = count;
        self.planners_max = self.planners_max.max(count);
        self.alone = !included;
    }

    /// Sets the zones out of service, which get no work.
    pub fn set_zones_out(&mut self, zones: Vec<ZoneId>) {
        self.zones_out = zones;
    }

    /// Adds or updates an endpoint from its list entry and returns the key of its incarnation. Removes other
    /// incarnations of the same endpoint.
    pub fn update_listing(&mut self, now: Time, listing: Listing) -> Key {
        let key = listing.key();
        if !self.sites.contains_key(&key) {
            self.sites.retain(|_, site| site.listing.id != listing.id);
        }
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
            learned: Learned::default(),
        });
        // An endpoint that leaves never stays after all; its entry may be that of an old copy.
        let leaving = listing.leaving || site.listing.leaving;
        site.listing = Listing { leaving, ..listing };
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
    pub fn engines(&self, now: Time) -> impl Iterator<Item = (Key, &Listing)> {
        self.sites
            .iter()
            .filter(|(_, s)| self.engines.contains_key(&s.listing.service) && !s.listing.leaving)
            .filter(move |(k, _)| !self.is_withdrawn(now, **k))
            .map(|(k, s)| (*k, &s.listing))
    }

    /// Address of a listed endpoint.
    pub fn address(&self, key: Key) -> Option<SocketAddr> {
        self.sites.get(&key).map(|site| site.listing.address)
    }

    /// Endpoints that accept work, ordered by key.
    pub fn open_endpoints(&self, now: Time) -> impl Iterator<Item = OpenEndpoint> {
        let open = self.sites.iter().filter(move |(key, site)| self.accepts_work(now, **key, site));
        open.map(|(key, Site { listing, .. })| OpenEndpoint {
            key: *key,
            address: listing.address,
            zone: listing.zone.clone(),
        })
    }

    /// Whether an endpoint is known from the list.
    pub fn is_listed(&self, key: Key) -> bool {
        self.sites.contains_key(&key)
    }

    /// Whether an endpoint still accepts work; checked again right before each send.
    pub fn is_open(&self, now: Time, key: Key) -> bool {
        self.sites.get(&key).is_some_and(|site| self.accepts_work(now, key, site))
    }

    fn accepts_work(&self, now: Time, key: Key, site: &Site) -> bool {
        !site.listing.leaving
            && now < site.expires
            && !self.zones_out.contains(&site.listing.zone)
            && !self.is_withdrawn(now, key)
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

    /// Records the first event of a grant, or the response of a plain service.
    pub fn record_first_event(&mut self, now: Time, number: u64) {
        if let Some(grant) = self.mine.get_mut(&number)
            && grant.first.is_none()
        {
            grant.first = Some(now);
            self.unsent.started.push((number, now));
            self.learn(now, number);
        }
    }

    /// Removes a grant whose request has ended.
    pub fn end_grant(&mut self, number: u64) {
        self.forecasts.remove(&number);
        if self.mine.remove(&number).is_some() {
            self.unsent.record_end(number);
        }
    }

    /// Records a grant that another planner made, whose request goes on here; returns its number.
    pub fn adopt_grant(&mut self, grant: Grant) -> u64 {
        self.last_number += 1;
        self.unsent.added.push((self.last_number, grant.clone()));
        self.mine.insert(self.last_number, grant);
        self.last_number
    }

    /// A grant of this instance, unless it has ended.
    pub fn grant(&self, number: u64) -> Option<&Grant> {
        self.mine.get(&number)
    }

    /// Number of grants of this instance.
    pub fn held(&self) -> usize {
        self.mine.len()
    }

    /// Removes the grants of peers that timed out, and endpoints that did not reappear in the list.
    pub fn remove_expired(&mut self, now: Time) {
        self.peers.retain(|_, p| now.since(p.heard) <= PEER_TIMEOUT);
        self.sites.retain(|_, s| now < s.expires);
        self.remove_expired_withdrawals(now);
        self.remove_expired_limits(now);
    }

    /// Removes a peer that left.
    pub fn remove_peer(&mut self, peer: &InstanceId) {
        self.peers.remove(peer);
    }

    /// All current grants, of this instance and of its peers.
    fn grants(&self) -> impl Iterator<Item = &Grant> {
        self.mine.values().chain(self.peers.values().flat_map(|p| p.grants.values()))
    }

    /// Ratio of all planners to those whose grants are known; above one while links are down.
    fn planner_ratio(&self) -> f64 {
        self.planners.max(1) as f64 / (self.peers.len() + 1) as f64
    }

    /// Number of planners by which shared rates are divided, this one included.
    fn rate_shares(&self) -> usize {
        self.planners_max.max(self.peers.len() + 1).max(SHARES_MIN)
    }
}

impl Site {
    fn pace(&self, now: Time) -> f64 {
        let (pace, seen) = self.pace;
        if now.since(seen) > PACE_TTL || !pace.is_finite() { 1.0 } else { f64::from(pace).max(1.0) }
    }
}
