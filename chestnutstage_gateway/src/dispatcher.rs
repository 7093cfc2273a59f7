//! The actor that owns the pool. It supplies the current time; all decisions are made by the pool.

use std::collections::{BTreeMap, HashSet};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use chestnutstage_core::capacity::CapacityReport;
use chestnutstage_core::catalog::Directory;
use chestnutstage_core::ids::{EndpointId, InstanceId, ZoneId};
use chestnutstage_core::pool::{
    Changes, Grant, Key, LimitReport, Listing, OpenEndpoint, Permit, Pool, Snapshot,
};
use chestnutstage_core::time::Time;
use kameo::Actor;
use kameo::message::{Context, Message};
use log::info;
use metrics::gauge;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::admission_queue::AdmissionQueue;
use crate::clock::Clock;
use crate::external::{Fact, LoadReport};
use crate::settings::{Bounds, Settings};

/// Actor that owns the pool of endpoints.
#[derive(Actor)]
pub(crate) struct Dispatcher {
    pub(crate) pool: Pool,
    pub(crate) admission: AdmissionQueue,
    pub(crate) clock: Clock,
    bounds: Bounds,
    pub(crate) granted: Arc<Notify>,
    /// Whether any endpoint limits its requests.
    limits_known: Arc<AtomicBool>,
    /// Slots of the endpoints whose learned limit is below them.
    learned_below: BTreeMap<EndpointId, u32>,
}

impl Dispatcher {
    /// Creates the dispatcher of an instance; `granted` is notified of each new grant.
    pub(crate) fn new(settings: &Settings, clock: Clock, granted: Arc<Notify>) -> Self {
        let mut pool = Pool::new(settings.instance.zone.clone(), rand::random());
        pool.set_name(settings.instance.name.clone());
        pool.set_learned_capacity(settings.placement.learned_capacity);
        Self {
            pool,
            admission: AdmissionQueue::new(settings.admission.waiting),
            clock,
            bounds: settings.bounds.clone(),
            granted,
            limits_known: Arc::default(),
            learned_below: BTreeMap::new(),
        }
    }

    /// Reports what has changed in the learned capacities.
    fn report_learned(&mut self, now: Time) {
        for changed in self.pool.take_capacity_changes() {
            let change = changed.change;
            info!(
                endpoint:% = changed.endpoint, pace = change.pace, limit = change.limit,
                observations = change.observations, age_ms = change.age.as_millis() as u64;
                "learned pace of an endpoint has changed"
            );
        }
        let limits: Vec<_> =
            self.pool.learned_limits(now).map(|(l, limit)| (l.id.clone(), l.slots, limit)).collect();
        for (id, slots) in std::mem::take(&mut self.learned_below) {
            if !limits.iter().any(|(below, ..)| *below == id) {
                // An exported gauge can't be removed; its endpoint is no longer limited below its slots.
                gauge!("chestnutstage_learned_limit", "endpoint" => id.to_string()).set(f64::from(slots));
            }
        }
        for (id, slots, limit) in limits {
            gauge!("chestnutstage_learned_limit", "endpoint" => id.to_string()).set(f64::from(limit));
            self.learned_below.insert(id, slots);
        }
    }

    /// Flag that tells without a message whether any endpoint limits its requests.
    pub(crate) fn limits_known(&self) -> Arc<AtomicBool> {
        self.limits_known.clone()
    }

    fn update_limits_known(&self) {
        self.limits_known.store(self.pool.limited().next().is_some(), Ordering::Relaxed);
    }
}

/// Records a grant of another planner whose request goes on; its times are by this instance's clock.
pub(crate) struct Adopt(pub(crate) Grant);

impl Message<Adopt> for Dispatcher {
    /// Number of the grant here.
    type Reply = u64;

    async fn handle(&mut self, msg: Adopt, _: &mut Context<Self, Self::Reply>) -> u64 {
        self.pool.adopt_grant(msg.0)
    }
}

/// Asks whether an endpoint still accepts work.
pub(crate) struct IsOpen {
    pub(crate) key: Key,
    /// Whether an endpoint that is not listed here counts as open: the planner that chose it has a newer list.
    pub(crate) unlisted: bool,
    /// Start of the placement.
    pub(crate) placed: Time,
    /// Whether it has the permits that it needs.
    pub(crate) permitted: bool,
}

impl Message<IsOpen> for Dispatcher {
    type Reply = bool;

    async fn handle(&mut self, msg: IsOpen, _: &mut Context<Self, Self::Reply>) -> bool {
        let now = self.clock.now();
        let unlisted = msg.unlisted && !self.pool.is_listed(msg.key) && !self.pool.is_withdrawn(now, msg.key);
        (unlisted || self.pool.is_open(now, msg.key))
            && self.pool.may_send(now, msg.key, msg.placed, msg.permitted)
    }
}

/// Asks whether an engine accepted a request long ago and has been unresponsive since.
pub(crate) struct IsUnresponsive(pub(crate) Key);

impl Message<IsUnresponsive> for Dispatcher {
    type Reply = bool;

    async fn handle(&mut self, msg: IsUnresponsive, _: &mut Context<Self, Self::Reply>) -> bool {
        self.pool.is_unresponsive(self.clock.now(), msg.0)
    }
}

/// Reports the first event of a grant, or the response of a plain service.
pub(crate) struct FirstEvent(pub(crate) u64);

impl Message<FirstEvent> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: FirstEvent, context: &mut Context<Self, Self::Reply>) {
        self.pool.record_first_event(self.clock.now(), msg.0);
        self.place_waiting(context.actor_ref());
    }
}

/// Reports the end of a grant.
pub(crate) struct Ended(pub(crate) u64);

impl Message<Ended> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: Ended, context: &mut Context<Self, Self::Reply>) {
        self.pool.end_grant(msg.0);
        self.place_waiting(context.actor_ref());
    }
}

/// Reports a failure of an endpoint.
pub(crate) struct Failed(pub(crate) Key);

impl Message<Failed> for Dispatcher {
    /// Backoff in milliseconds, during which the endpoint gets no new work.
    type Reply = u64;

    async fn handle(&mut self, msg: Failed, _: &mut Context<Self, Self::Reply>) -> u64 {
        self.pool.record_failure(self.clock.now(), msg.0).as_millis() as u64
    }
}

/// Reports that an endpoint wants no requests for a time, or never again if that is `None`.
pub(crate) struct Withdraw(pub(crate) Key, pub(crate) Option<Duration>);

impl Message<Withdraw> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: Withdraw, _: &mut Context<Self, Self::Reply>) {
        self.pool.withdraw(self.clock.now(), msg.0, msg.1);
        self.granted.notify_one();
    }
}

/// Records the limit that a response named, or that it named none.
pub(crate) struct RecordLimit {
    pub(crate) key: Key,
    /// Requests a second.
    pub(crate) rate: Option<f64>,
    /// Time at which the request was sent.
    pub(crate) sent: Time,
}

impl Message<RecordLimit> for Dispatcher {
    /// Whether the limit changed.
    type Reply = bool;

    async fn handle(&mut self, msg: RecordLimit, _: &mut Context<Self, Self::Reply>) -> bool {
        let changed = self.pool.record_limit(self.clock.now(), msg.key, msg.rate, msg.sent);
        if changed {
            self.update_limits_known();
            self.granted.notify_one();
        }
        changed
    }
}

/// Takes a permit from this planner, which counts for the endpoint.
pub(crate) struct TakePermit {
    pub(crate) limit: LimitReport,
    /// Fraction of the planners that this one counts for.
    pub(crate) share: f64,
    /// Random number between zero and one.
    pub(crate) jitter: f64,
}

impl Message<TakePermit> for Dispatcher {
    type Reply = Result<Permit, Infallible>;

    async fn handle(&mut self, msg: TakePermit, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        Ok(self.pool.take_permit(self.clock.now(), &msg.limit, msg.share, msg.jitter))
    }
}

/// Skips an endpoint in placements for a time, after a permit was denied.
pub(crate) struct SkipLimited(pub(crate) Key, pub(crate) Duration);

impl Message<SkipLimited> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: SkipLimited, _: &mut Context<Self, Self::Reply>) {
        self.pool.skip_limited(self.clock.now(), msg.0, msg.1);
    }
}

/// Asks for the endpoints that limit their requests.
pub(crate) struct ListLimited;

impl Message<ListLimited> for Dispatcher {
    type Reply = Vec<Key>;

    async fn handle(&mut self, _: ListLimited, _: &mut Context<Self, Self::Reply>) -> Vec<Key> {
        self.pool.limited().collect()
    }
}

/// Asks for the endpoint at an address.
pub(crate) struct FindEndpoint(pub(crate) SocketAddr);

impl Message<FindEndpoint> for Dispatcher {
    type Reply = Option<Key>;

    async fn handle(&mut self, msg: FindEndpoint, _: &mut Context<Self, Self::Reply>) -> Option<Key> {
        self.pool.find_by_address(msg.0)
    }
}

/// Asks for the listed endpoints that accept work, in ascending order of their keys.
pub(crate) struct ListOpen;

impl Message<ListOpen> for Dispatcher {
    type Reply = Vec<OpenEndpoint>;

    async fn handle(&mut self, _: ListOpen, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.pool.open_endpoints(self.clock.now()).collect()
    }
}

/// Asks for the address of a listed endpoint.
pub(crate) struct FindAddress {
    pub(crate) key: Key,
    /// Whether the endpoint has to accept work.
    pub(crate) open: bool,
}

impl Message<FindAddress> for Dispatcher {
    type Reply = Option<SocketAddr>;

    async fn handle(&mut self, msg: FindAddress, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let is_usable = !msg.open || self.pool.is_open(self.clock.now(), msg.key);
        self.pool.address(msg.key).filter(|_| is_usable)
    }
}

/// Applies changes of the list of endpoints.
pub(crate) struct UpdateListings {
    pub(crate) facts: Vec<Fact>,
    /// Whether the facts are the whole list; endpoints missing from it are removed.
    pub(crate) complete: bool,
    /// Whether the store has just recovered from an outage.
    pub(crate) outage: bool,
}

impl Message<UpdateListings> for Dispatcher {
    /// Number of listed endpoints.
    type Reply = usize;

    async fn handle(&mut self, msg: UpdateListings, context: &mut Context<Self, Self::Reply>) -> usize {
        let now = self.clock.now();
        if msg.complete {
            let id = |fact: &'_ Fact| if let Fact::Listed(l) = fact { Some(l.id.clone()) } else { None };
            let listed: HashSet<EndpointId> = msg.facts.iter().filter_map(id).collect();
            let removed: Vec<_> = self.pool.listed().filter(|id| !listed.contains(id)).cloned().collect();
            for id in removed {
                self.pool.remove_listing(now, &id, msg.outage);
            }
        }
        for fact in msg.facts {
            match fact {
                Fact::Listed(listing) => _ = self.pool.update_listing(now, listing),
                Fact::Unlisted(id) => self.pool.remove_listing(now, &id, msg.outage),
                _ => {}
            }
        }
        self.place_waiting(context.actor_ref());
        self.pool.listed().count()
    }
}

/// Applies the catalog and the zones taken out of service.
pub(crate) struct SetRules {
    pub(crate) directory: Arc<Directory>,
    pub(crate) zones_out: Vec<ZoneId>,
}

impl Message<SetRules> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: SetRules, _: &mut Context<Self, Self::Reply>) {
        for (id, service) in &msg.directory.catalog().services {
            let rate = service.cold.per_second * self.bounds.cold_factor + self.bounds.cold_extra;
            let rate = if service.cold.per_second > 0.0 { rate } else { 0.0 };
            self.pool.set_service(id.clone(), service.engine, rate);
        }
        self.pool.set_zones_out(msg.zones_out);
        self.admission.set_rules(msg.directory.catalog());
    }
}

/// Sets the number of planners, and whether this instance is one of them.
pub(crate) struct SetPlanners {
    pub(crate) count: usize,
    pub(crate) included: bool,
}

impl Message<SetPlanners> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: SetPlanners, _: &mut Context<Self, Self::Reply>) {
        self.pool.set_planners(msg.count, msg.included);
    }
}

/// Grants of a planner, as sent to its peers.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum GrantUpdate {
    /// All grants.
    Snapshot(Snapshot),
    /// What has changed since earlier messages.
    Changes(Changes),
}

/// Applies an update of a peer's grants.
pub(crate) struct PeerUpdate {
    pub(crate) peer: InstanceId,
    /// By the peer's clock.
    pub(crate) sent: Time,
    pub(crate) update: GrantUpdate,
}

impl Message<PeerUpdate> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: PeerUpdate, context: &mut Context<Self, Self::Reply>) {
        let now = self.clock.now();
        match msg.update {
            GrantUpdate::Snapshot(snapshot) => self.pool.apply_snapshot(now, msg.peer, msg.sent, snapshot),
            GrantUpdate::Changes(changes) => self.pool.apply_changes(now, msg.peer, msg.sent, changes),
        }
        self.update_limits_known();
        self.place_waiting_after_update(context.actor_ref());
    }
}

/// Reports that a peer leaves the deployment.
pub(crate) struct PeerLeft(pub(crate) InstanceId);

impl Message<PeerLeft> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: PeerLeft, context: &mut Context<Self, Self::Reply>) {
        self.pool.remove_peer(&msg.0);
        self.place_waiting(context.actor_ref());
    }
}

/// Removes expired state and takes the update that is sent to the peers.
pub(crate) struct TakeUpdate {
    /// Whether to take all grants instead of the changes.
    pub(crate) complete: bool,
}

impl Message<TakeUpdate> for Dispatcher {
    type Reply = Option<GrantUpdate>;

    async fn handle(&mut self, msg: TakeUpdate, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.clock.now();
        self.pool.remove_expired(now);
        Some(if msg.complete {
            GrantUpdate::Snapshot(self.pool.snapshot(now))
        } else {
            GrantUpdate::Changes(self.pool.take_changes(now))
        })
    }
}

/// Takes this planner's observations of endpoints since the last call, and reports what was learned.
pub(crate) struct TakeCapacities;

impl Message<TakeCapacities> for Dispatcher {
    type Reply = Vec<CapacityReport>;

    async fn handle(&mut self, _: TakeCapacities, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.clock.now();
        self.report_learned(now);
        self.pool.take_capacity_reports(now)
    }
}

/// Applies a planner's observations of endpoints.
pub(crate) struct ApplyCapacities(pub(crate) Vec<CapacityReport>);

impl Message<ApplyCapacities> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: ApplyCapacities, _: &mut Context<Self, Self::Reply>) {
        self.pool.apply_capacity_reports(self.clock.now(), &msg.0);
    }
}

/// Records a load report of an engine.
pub(crate) struct LoadReported(pub(crate) Key, pub(crate) LoadReport);

impl Message<LoadReported> for Dispatcher {
    /// KV memory in tokens and number of requests, as estimated from the known grants.
    type Reply = Option<(u64, u32)>;

    async fn handle(&mut self, msg: LoadReported, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.clock.now();
        self.pool.set_pace(now, msg.0, msg.1.pace);
        if msg.1.limit.is_some() {
            self.pool.record_limit(now, msg.0, msg.1.limit, now);
            self.update_limits_known();
        }
        if msg.1.leaving {
            self.pool.withdraw(now, msg.0, None);
        }
        Some(self.pool.estimated_usage(now, msg.0))
    }
}

/// Asks for the number of grants of this instance, those for its peers included.
pub(crate) struct CountGrants;

impl Message<CountGrants> for Dispatcher {
    type Reply = usize;

    async fn handle(&mut self, _: CountGrants, _: &mut Context<Self, Self::Reply>) -> usize {
        self.pool.held()
    }
}

/// Asks for the model engines that may get work.
pub(crate) struct ListEngines;

impl Message<ListEngines> for Dispatcher {
    type Reply = Vec<(Key, Listing)>;

    async fn handle(&mut self, _: ListEngines, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.pool.engines(self.clock.now()).map(|(key, listing)| (key, listing.clone())).collect()
    }
}

/// Asks for the state of the pool as text.
pub(crate) struct Dump;

impl Message<Dump> for Dispatcher {
    type Reply = String;

    async fn handle(&mut self, _: Dump, _: &mut Context<Self, Self::Reply>) -> String {
        format!("{}{:#?}", self.admission.dump(), self.pool)
    }
}
