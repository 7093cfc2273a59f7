//! This instance's copy of the store, with its revision and age.
//!
//! Each topic carries the revision of the store that it reflects. Some instances watch the store, see
//! [`crate::store_watcher`]; all compare digests with their peers, so that instances which don't watch the store, or
//! which it refuses, fetch newer revisions from a peer. The operators' rules also have an age: a peer that confirmed the
//! same rules at a later time refreshes the copy here. The catalog never goes back to an older version.
//!
//! A store that comes back from a copy has lost its latest changes until their writers have written them again. Until then
//! nothing that was in force is undone: the catalog, zones out of service, members and endpoints that the copy lacks stay,
//! and endpoints that it brings back are not used. After [`RESTORE_GRACE`] the store is read again and taken at its word.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use chestnutstage_core::catalog::Directory;
use chestnutstage_core::ids::{EndpointId, InstanceId, ZoneId};
use chestnutstage_core::planners::{Candidate, Planners};
use chestnutstage_core::pool::Listing;
use chestnutstage_core::rendezvous;
use chestnutstage_core::time::Time;
use kameo::actor::ActorRef;
use log::{info, warn};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::dispatcher::{Dispatcher, SetPlanners, SetRules, UpdateListings};
use crate::external::{Fact, Member, Revision, Topic, Updates};

/// Time for which a peer has to be ahead before an instance that watches the store fetches from it: changes usually
/// reach all watchers within a few round trips.
const PEER_FETCH_DELAY: Duration = Duration::from_millis(700);
/// Age of the rules above which every planner watches the store: higher than the usual age of rules confirmed by peers,
/// and lower than the age from which a missing route may be due to stale rules.
const RULES_STALE_AGE: Duration = Duration::from_millis(2_500);
/// The same for the other instances, which get the rules from the planners; lower than the age from which an instance is
/// not ready.
const RULES_STALE_AGE_ENTRY: Duration = Duration::from_secs(3);
/// Time after an outage of the store within which endpoints renew entries that expired in the meantime.
const OUTAGE_GRACE: Duration = Duration::from_millis(2_500);

/// Time after which all writers have written again what a store lost that came back from a copy.
const RESTORE_GRACE: Duration = Duration::from_secs(5);
/// Time for which the removal of an endpoint is remembered; longer than the age of a copy from which a store comes back.
const REMOVAL_TTL: Duration = Duration::from_mins(1);

/// Digest of an instance's copy of a topic.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Digest {
    /// Hash of the whole content; equal content gives an equal hash.
    content: u64,
    /// Newest revision of the store at which the content is valid.
    revision: Revision,
}

/// An instance's full copy of a topic, as sent to a peer.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct TopicSnapshot {
    topic: Topic,
    revision: Revision,
    /// Facts, each with the time since it was received from the store.
    facts: Vec<(Fact, Duration)>,
    /// Age of the sender's copy of the operators' rules.
    age: Duration,
    /// Whether the sender just had an outage of the store.
    outage: bool,
}

#[derive(Debug, Default)]
struct TopicState {
    /// Missing until the topic has been read.
    digest: Option<Digest>,
    /// Set while a peer has a newer revision with other content: when this was first seen, and that revision.
    behind: Option<(Time, Revision)>,
    /// Time at which the topic is read again after the store came back from a copy.
    reread_at: Option<Time>,
}

#[derive(Debug, Default)]
struct State {
    /// Latest time at which the rules here are known to have been current.
    rules_time: Option<Time>,
    topics: BTreeMap<Topic, TopicState>,
    zones_out: BTreeSet<ZoneId>,
    members: BTreeMap<InstanceId, Member>,
    /// Listed endpoints, each with the time at which its entry was received.
    listings: BTreeMap<EndpointId, (Listing, Time)>,
    /// Removed endpoints: the start of their last incarnation, and the time of the removal.
    removed: BTreeMap<EndpointId, (u64, Time)>,
    outage_until: Time,
}

/// Copy of the store's topics that this instance holds.
#[derive(Debug)]
pub(crate) struct StoreCache {
    clock: Clock,
    dispatcher: ActorRef<Dispatcher>,
    own_id: InstanceId,
    planners: ArcSwap<Planners>,
    directory: ArcSwapOption<Directory>,
    state: Mutex<State>,
    endpoints_loaded: AtomicBool,
    watching: AtomicBool,
    /// Held while facts are applied, so that the dispatcher gets them in the same order as this cache.
    apply_lock: tokio::sync::Mutex<()>,
    /// Notified after a snapshot from a peer was applied: a pending watch call then starts from an outdated revision.
    pub(crate) superseded: BTreeMap<Topic, Notify>,
    pub(crate) members_changed: Notify,
    /// Latest known era of the store.
    era: AtomicU64,
    /// Notified when the store has come back from a copy.
    pub(crate) restored: Notify,
}

impl StoreCache {
    pub(crate) fn new(clock: Clock, dispatcher: ActorRef<Dispatcher>, own_id: InstanceId) -> Self {
        Self {
            clock,
            dispatcher,
            own_id,
            planners: ArcSwap::default(),
            directory: ArcSwapOption::empty(),
            state: Mutex::default(),
            endpoints_loaded: AtomicBool::new(false),
            watching: AtomicBool::new(false),
            apply_lock: tokio::sync::Mutex::default(),
            superseded: Topic::ALL.into_iter().map(|topic| (topic, Notify::new())).collect(),
            members_changed: Notify::new(),
            era: AtomicU64::new(u64::MAX),
            restored: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Directory of the catalog version in force.
    pub(crate) fn directory(&self) -> Option<Arc<Directory>> {
        self.directory.load_full()
    }

    /// Whether a non-empty list of endpoints has been loaded.
    pub(crate) fn has_endpoints(&self) -> bool {
        self.endpoints_loaded.load(Ordering::Relaxed)
    }

    /// Time since the rules held here were last known to be current; [`Duration::MAX`] before they are first read.
    pub(crate) fn rules_age(&self) -> Duration {
        self.lock().rules_time.map_or(Duration::MAX, |time| self.clock.now().since(time))
    }

    /// Number of instances registered in the store.
    pub(crate) fn member_count(&self) -> usize {
        self.lock().members.len()
    }

    /// The instances registered in the store.
    pub(crate) fn members(&self) -> Vec<Member> {
        self.lock().members.values().cloned().collect()
    }

    /// The planners of the deployment; none before the members have been read.
    pub(crate) fn planners(&self) -> Arc<Planners> {
        self.planners.load_full()
    }

    /// Whether this instance is a planner.
    pub(crate) fn is_planner(&self) -> bool {
        self.planners.load().contains(&self.own_id)
    }

    /// Whether others are known as planners and this instance is not one of them.
    pub(crate) fn has_planners(&self) -> bool {
        let planners = self.planners.load();
        planners.count() > 0 && !planners.contains(&self.own_id)
    }

    /// Sets whether this instance is one of those that watch the store on behalf of all.
    pub(crate) fn set_store_watch(&self, watching: bool) {
        if self.watching.swap(watching, Ordering::Relaxed) != watching {
            info!(duty = watching; "selection as a watcher of the store changed");
        }
    }

    /// Whether this instance is one of those that watch the store on behalf of all.
    pub(crate) fn watches_store(&self) -> bool {
        self.watching.load(Ordering::Relaxed)
    }

    /// Whether the rules are so old that this instance watches the store even if not selected for it.
    pub(crate) fn has_stale_rules(&self) -> bool {
        self.rules_age() > if self.is_planner() { RULES_STALE_AGE } else { RULES_STALE_AGE_ENTRY }
    }

    /// Revision of the store that the copy of a topic reflects.
    pub(crate) fn revision(&self, topic: Topic) -> Option<Revision> {
        self.lock().topics.get(&topic)?.digest.map(|digest| digest.revision)
    }

    /// Whether a topic has to be read again because the grace time after the return of the store has passed; true only
    /// once for each return.
    pub(crate) fn take_reread(&self, topic: Topic) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        state.topics.get_mut(&topic).is_some_and(|t| t.reread_at.take_if(|at| *at <= now).is_some())
    }

    /// Records the era of an answer of the store.
    fn record_era(&self, era: u64) {
        let known = self.era.load(Ordering::Relaxed);
        if known == u64::MAX || era > known {
            self.era.store(era, Ordering::Relaxed);
        }
        if known != u64::MAX && era > known {
            warn!(era, known; "store came back from a copy; what it lost is kept until it is written again");
            self.restored.notify_one();
        }
    }

    /// Digests of all topics that have been read.
    pub(crate) fn digests(&self) -> Vec<(Topic, Digest)> {
        let state = self.lock();
        state.topics.iter().filter_map(|(topic, t)| Some((*topic, t.digest?))).collect()
    }

    /// Compares a topic with the digest of a peer whose rules were current at `rules_time`. Returns whether to fetch the
    /// topic from that peer; from a `remote_zone` only if no peer of the own zone has been faster.
    pub(crate) fn compare_digest(
        &self,
        topic: Topic,
        remote: Digest,
        rules_time: Option<Time>,
        remote_zone: bool,
    ) -> bool {
        let now = self.clock.now();
        let delayed = self.watches_store() || (remote_zone && !self.is_planner());
        let delay = if delayed { PEER_FETCH_DELAY } else { Duration::ZERO };
        let mut state = self.lock();
        let topic_state = state.topics.entry(topic).or_default();
        if let Some(digest) = &mut topic_state.digest {
            if digest.content == remote.content {
                digest.revision = digest.revision.max(remote.revision);
                // A peer that is behind as well does not show that this copy is current.
                topic_state.behind = topic_state.behind.filter(|(_, ahead)| *ahead > digest.revision);
                if topic == Topic::Operators {
                    state.rules_time = state.rules_time.max(rules_time);
                }
                return false;
            }
            if remote.revision <= digest.revision {
                return false;
            }
        }
        let (since, _) = *topic_state.behind.get_or_insert((now, remote.revision));
        now.since(since) >= delay
    }

    /// Full copy of a topic, for a peer.
    pub(crate) fn snapshot(&self, topic: Topic) -> Option<TopicSnapshot> {
        let now = self.clock.now();
        let state = self.lock();
        let revision = state.topics.get(&topic)?.digest?.revision;
        let with_zero_age = |fact| (fact, Duration::ZERO);
        let facts = match topic {
            Topic::Operators => {
                let catalog = Fact::Catalog(Box::new(self.directory()?.catalog().clone()));
                let zones = state.zones_out.iter().cloned().map(Fact::ZoneOut);
                std::iter::once(catalog).chain(zones).map(with_zero_age).collect()
            }
            Topic::Members => state.members.values().cloned().map(Fact::Joined).map(with_zero_age).collect(),
            Topic::Endpoints => {
                let listings = state.listings.values();
                listings.map(|(listing, time)| (Fact::Listed(listing.clone()), now.since(*time))).collect()
            }
        };
        let age = state.rules_time.map_or(Duration::MAX, |time| now.since(time));
        Some(TopicSnapshot { topic, revision, facts, age, outage: now < state.outage_until })
    }

    /// Applies a snapshot that a peer sent for a request made at `requested`, if it is newer than the copy here.
    pub(crate) async fn apply_snapshot(&self, snapshot: TopicSnapshot, requested: Time) {
        let TopicSnapshot { topic, revision, facts, age, outage } = snapshot;
        let _guard = self.apply_lock.lock().await;
        if self.revision(topic).is_some_and(|current| current >= revision) {
            return;
        }
        info!(topic:%, revision:%, age:?; "topic updated from a peer");
        self.apply(topic, revision, facts, true, outage).await;
        if topic == Topic::Operators {
            self.confirm_rules(requested - age);
        }
        self.superseded[&topic].notify_one();
    }

    /// Applies facts of the store that were current at `time`; `complete` facts replace the copy of the topic. Facts are
    /// dropped if a peer has sent a newer revision in the meantime.
    pub(crate) async fn apply_changes(&self, topic: Topic, updates: Updates, complete: bool, time: Time) {
        let _guard = self.apply_lock.lock().await;
        let current = self.revision(topic);
        if topic == Topic::Operators && current.is_none_or(|current| current.era <= updates.revision.era) {
            self.confirm_rules(time);
        }
        if current.is_some_and(|current| current > updates.revision) {
            return;
        }
        let facts = updates.facts.into_iter().map(|fact| (fact, Duration::ZERO)).collect();
        self.apply(topic, updates.revision, facts, complete, false).await;
    }

    /// Records that the store can be reached again after an outage long enough for entries to expire.
    pub(crate) fn record_outage(&self) {
        self.lock().outage_until = self.clock.now() + OUTAGE_GRACE;
    }

    /// Records that the rules here were current at `time`.
    fn confirm_rules(&self, time: Time) {
        let mut state = self.lock();
        state.rules_time = state.rules_time.max(Some(time));
    }

    async fn apply(
        &self,
        topic: Topic,
        revision: Revision,
        facts: Vec<(Fact, Duration)>,
        complete: bool,
        outage: bool,
    ) {
        self.record_era(revision.era);
        let changes = complete || !facts.is_empty();
        let restored = complete && self.revision(topic).is_some_and(|known| known.era < revision.era);
        if changes {
            match topic {
                Topic::Operators => self.apply_rules(facts, complete && !restored).await,
                Topic::Members => self.apply_members(facts, complete && !restored).await,
                Topic::Endpoints if restored => self.apply_restored_listings(facts).await,
                Topic::Endpoints => self.apply_listings(facts, complete, outage).await,
            }
        }
        let reread_at = if restored { Some(self.clock.now() + RESTORE_GRACE) } else { None };
        let mut state = self.lock();
        let content = if changes { Some(self.content_hash(&state, topic)) } else { None };
        let topic_state = state.topics.entry(topic).or_default();
        let content = content.or(topic_state.digest.map(|digest| digest.content)).unwrap_or_default();
        let reread_at = reread_at.or(topic_state.reread_at);
        *topic_state = TopicState { digest: Some(Digest { content, revision }), behind: None, reread_at };
    }

    fn content_hash(&self, state: &State, topic: Topic) -> u64 {
        let bytes = match topic {
            Topic::Operators => {
                let version = self.directory().map(|d| d.catalog().version);
                postcard::to_stdvec(&(version, &state.zones_out))
            }
            Topic::Members => postcard::to_stdvec(&state.members),
            Topic::Endpoints => {
                postcard::to_stdvec(&state.listings.values().map(|(listing, _)| listing).collect::<Vec<_>>())
            }
        };
        bytes.map_or_else(
            |e| {
                warn!(topic:%; "topic can't be encoded for its digest; hash set to 0: {e}");
                0
            },
            |bytes| rendezvous::hash(&bytes),
        )
    }

    async fn apply_rules(&self, facts: Vec<(Fact, Duration)>, complete: bool) {
        let zones_out = {
            let mut state = self.lock();
            if complete {
                state.zones_out.clear();
            }
            for (fact, _) in facts {
                match fact {
                    Fact::Catalog(catalog) => self.apply_catalog(Directory::from(*catalog)),
                    Fact::ZoneOut(zone) => {
                        info!(zone:%; "zone taken out of service; it gets no new requests");
                        state.zones_out.insert(zone);
                    }
                    Fact::ZoneIn(zone) => {
                        info!(zone:%; "zone back in service");
                        state.zones_out.remove(&zone);
                    }
                    _ => {}
                }
            }
            state.zones_out.iter().cloned().collect()
        };
        let Some(directory) = self.directory() else { return };
        if self.dispatcher.tell(SetRules { directory, zones_out }).await.is_err() {
            warn!("dispatcher has stopped; new rules are not applied");
        }
    }

    fn apply_catalog(&self, directory: Directory) {
        if self.directory.load().as_ref().is_some_and(|current| !directory.supersedes(current)) {
            return;
        }
        let version = directory.catalog().version;
        let routes = directory.catalog().routes.len();
        info!(version, routes; "catalog in force");
        self.directory.store(Some(Arc::new(directory)));
    }

    async fn apply_members(&self, facts: Vec<(Fact, Duration)>, complete: bool) {
        let planners = {
            let mut state = self.lock();
            if complete {
                state.members.clear();
            }
            for (fact, _) in facts {
                match fact {
                    Fact::Joined(member) => _ = state.members.insert(member.id.clone(), member),
                    Fact::Left(id) => _ = state.members.remove(&id),
                    _ => {}
                }
            }
            Planners::select(state.members.values().map(|m| Candidate {
                id: &m.id,
                zone: &m.zone,
                capacity: m.capacity,
            }))
        };
        let (count, included) = (planners.count(), planners.contains(&self.own_id));
        if **self.planners.load() != planners {
            info!(planners = count, included; "planners changed");
            self.planners.store(Arc::new(planners));
        }
        self.members_changed.notify_one();
        if self.dispatcher.tell(SetPlanners { count, included }).await.is_err() {
            warn!(count; "dispatcher has stopped; rate limits are still divided by the previous number of planners");
        }
    }

    /// Applies the list of a store that came back from a copy: endpoints that were removed since stay removed until they
    /// write their entry again, and those that it lacks are kept for a while.
    async fn apply_restored_listings(&self, mut facts: Vec<(Fact, Duration)>) {
        let now = self.clock.now();
        {
            let mut state = self.lock();
            state.removed.retain(|_, (_, time)| now.since(*time) < REMOVAL_TTL);
            facts.retain(|(fact, _)| match fact {
                Fact::Listed(l) => state.removed.get(&l.id).is_none_or(|(born, _)| *born != l.born),
                _ => true,
            });
        }
        self.apply_listings(facts, true, true).await;
    }

    async fn apply_listings(&self, facts: Vec<(Fact, Duration)>, complete: bool, outage: bool) {
        let now = self.clock.now();
        let mut updates = Vec::with_capacity(facts.len());
        let outage = {
            let mut state = self.lock();
            let known = if complete { std::mem::take(&mut state.listings) } else { BTreeMap::new() };
            for (fact, age) in facts {
                match &fact {
                    Fact::Listed(l) => {
                        if known.get(&l.id).is_none_or(|(listing, _)| listing != l) {
                            info!(endpoint:% = l.id, leaving = l.leaving, cold_ms = l.cold, age:?; "endpoint listed");
                        }
                        let received = Time::from(Duration::from(now).saturating_sub(age));
                        state.listings.insert(l.id.clone(), (l.clone(), received));
                        let cold = l.cold.saturating_sub(age.as_millis() as u64);
                        updates.push(Fact::Listed(Listing { cold, ..l.clone() }));
                    }
                    Fact::Unlisted(id) => {
                        info!(endpoint:% = id; "endpoint no longer listed");
                        if let Some((listing, _)) = state.listings.remove(id) {
                            state.removed.insert(id.clone(), (listing.born, now));
                        }
                        updates.push(fact);
                    }
                    _ => {}
                }
            }
            outage || now < state.outage_until
        };
        match self.dispatcher.ask(UpdateListings { facts: updates, complete, outage }).await {
            Ok(0) => {}
            Ok(_) => self.endpoints_loaded.store(true, Ordering::Relaxed),
            Err(e) => warn!("dispatcher has stopped; changes of endpoints are not applied: {e}"),
        }
    }
}
