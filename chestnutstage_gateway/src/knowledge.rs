//! What this instance knows from the store, and how old that is.
//!
//! Each topic is read whole once and then followed. Knowledge is as old as the moment at which the last answered call was
//! sent, or at which its wait for changes ended without one. A peer that knows the same rules at a later moment makes the
//! knowledge here as fresh, so that an instance that the store turns away goes on while the others are served.
//! Versions of the catalog only rise.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use chestnutstage_core::catalog::Directory;
use chestnutstage_core::ids::{InstanceId, ZoneId};
use chestnutstage_core::time::Time;
use kameo::actor::ActorRef;
use log::{info, warn};
use metrics::counter;
use rand::Rng;
use tokio::sync::Notify;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Clock;
use crate::dispatcher::{Dispatcher, Instances, Listings, Rules};
use crate::outside::{Fact, Failure, Member, News, Registry, Topic};
use crate::peers::PeerRules;

/// Longest wait of a call for changes; its answer also proves that the knowledge is fresh.
const FOLLOW_WAIT: Duration = Duration::from_millis(1_600);
/// Time after which a change is seen by calls that wait for it, at the latest.
const CHANGE_DELAY: Duration = Duration::from_millis(1_100);
/// Time for which a peer's endpoints may differ from the own ones: news reach all within a few round trips.
const DIFFERENCE: Duration = Duration::from_millis(700);
/// Longest wait of a call while the store is out of reach.
const REGAIN_WAIT: Duration = Duration::from_millis(20);
/// Longest wait for changes of the instances, which peers notice by themselves.
const MEMBERS_WAIT: Duration = Duration::from_secs(20);
/// Pause after a first failed call; grows by half with each one that follows.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after a failed call: the rules are to be known again well within a second of the store's return.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(600);
/// Silence of the store from which entries may have lapsed without their endpoints being gone.
const OUTAGE: Duration = Duration::from_millis(1_200);
/// Time after an outage in which lapsed entries come back.
const RETURN: Duration = Duration::from_millis(2_500);

#[derive(Debug, Default)]
struct State {
    known: Option<Time>,
    zones_out: BTreeSet<ZoneId>,
    members: BTreeMap<InstanceId, Member>,
    outage_until: Time,
    /// Since when a peer's endpoints differ from the own ones.
    differs: Option<Time>,
}

/// What this instance knows from the store.
#[derive(Debug)]
pub(crate) struct Knowledge {
    clock: Clock,
    directory: ArcSwapOption<Directory>,
    state: Mutex<State>,
    listed: AtomicBool,
    listings: AtomicU64,
    doubted: Notify,
    pub(crate) members_changed: Notify,
}

impl Knowledge {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            directory: ArcSwapOption::empty(),
            state: Mutex::default(),
            listed: AtomicBool::new(false),
            listings: AtomicU64::new(0),
            doubted: Notify::new(),
            members_changed: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The catalog in force here.
    pub(crate) fn directory(&self) -> Option<Arc<Directory>> {
        self.directory.load_full()
    }

    /// Whether the endpoints were read.
    pub(crate) fn has_endpoints(&self) -> bool {
        self.listed.load(Ordering::Relaxed)
    }

    /// Age of what is known of the operators' rules.
    pub(crate) fn rules_age(&self) -> Duration {
        self.lock().known.map_or(Duration::MAX, |known| self.clock.now().since(known))
    }

    /// Hash of the operators' rules in force here.
    pub(crate) fn content(&self) -> Option<u64> {
        let version = self.directory()?.catalog().version;
        let state = self.lock();
        let zones = state.zones_out.iter().map(ZoneId::as_str).collect::<Vec<_>>().join(",");
        Some(xxh3_64_with_seed(zones.as_bytes(), version))
    }

    /// Takes that a peer knew rules with the same hash as the newest ones at `known`.
    pub(crate) fn confirm(&self, content: u64, known: Time) {
        if self.content() == Some(content) {
            self.mark(known);
        }
    }

    /// Takes the hash of the endpoints that are listed here.
    pub(crate) fn set_listings(&self, hash: u64) {
        self.listings.store(hash, Ordering::Relaxed);
    }

    /// Compares the hash of a peer's endpoints with that of the own ones. If they differ for long, the own call for changes may
    /// hang on a silent connection; it is made anew.
    pub(crate) fn compare(&self, theirs: u64) {
        let now = self.clock.now();
        let mut state = self.lock();
        if theirs == self.listings.load(Ordering::Relaxed) {
            state.differs = None;
            return;
        }
        let since = *state.differs.get_or_insert(now);
        if now.since(since) > DIFFERENCE {
            info!("a peer knows other endpoints; the call for changes is made anew");
            state.differs = Some(now);
            self.doubted.notify_one();
        }
    }

    /// The operators' rules in force here, for a peer.
    pub(crate) fn rules(&self) -> Option<PeerRules> {
        let catalog = self.directory()?.catalog().clone();
        Some(PeerRules { catalog, zones_out: self.zones_out(), age: self.rules_age() })
    }

    /// Takes rules of a peer if they are fresher; gives the catalog that is then in force.
    pub(crate) fn take_peer(&self, rules: PeerRules, asked: Time) -> Option<Arc<Directory>> {
        let known = asked - rules.age;
        if Some(known) <= self.lock().known {
            return None;
        }
        let directory = Directory::from(rules.catalog);
        if self.directory().is_some_and(|present| present.supersedes(&directory)) {
            return None;
        }
        info!(version = directory.catalog().version, age:? = rules.age; "rules of a peer");
        self.take_catalog(directory);
        self.lock().zones_out = rules.zones_out.into_iter().collect();
        self.mark(known);
        self.directory()
    }

    /// Zones to which nothing may be sent.
    pub(crate) fn zones_out(&self) -> Vec<ZoneId> {
        self.lock().zones_out.iter().cloned().collect()
    }

    /// Number of instances that the store names.
    pub(crate) fn member_count(&self) -> usize {
        self.lock().members.len()
    }

    /// The other instances.
    pub(crate) fn members(&self) -> Vec<Member> {
        self.lock().members.values().cloned().collect()
    }

    /// Takes that the rules here were the newest ones at `known`.
    fn mark(&self, known: Time) {
        let mut state = self.lock();
        state.known = state.known.max(Some(known));
    }

    /// Takes versions of the catalog and zones; gives whether anything changed.
    fn take_rules(&self, facts: &[Fact], whole: bool) -> bool {
        let mut changed = whole;
        let mut state = self.lock();
        if whole {
            state.zones_out.clear();
        }
        for fact in facts {
            match fact {
                Fact::Catalog(catalog) => changed |= self.take_catalog(Directory::from((**catalog).clone())),
                Fact::ZoneOut(zone) => {
                    info!(zone:% = zone; "nothing more is sent to the zone");
                    changed |= state.zones_out.insert(zone.clone());
                }
                Fact::ZoneIn(zone) => {
                    info!(zone:% = zone; "the zone takes work again");
                    changed |= state.zones_out.remove(zone);
                }
                _ => {}
            }
        }
        changed
    }

    fn take_catalog(&self, directory: Directory) -> bool {
        if self.directory.load().as_ref().is_some_and(|present| !directory.supersedes(present)) {
            return false;
        }
        let version = directory.catalog().version;
        let routes = directory.catalog().routes.len();
        info!(version, routes; "catalog in force");
        self.directory.store(Some(Arc::new(directory)));
        true
    }

    fn take_members(&self, facts: Vec<Fact>, whole: bool) -> usize {
        let mut state = self.lock();
        if whole {
            state.members.clear();
        }
        for fact in facts {
            match fact {
                Fact::Joined(member) => _ = state.members.insert(member.id.clone(), member),
                Fact::Left(id) => _ = state.members.remove(&id),
                _ => {}
            }
        }
        self.members_changed.notify_one();
        state.members.len()
    }
}

/// Keeps what is known of one topic up to date, for ever.
pub(crate) struct Follower {
    pub(crate) topic: Topic,
    pub(crate) registry: Arc<dyn Registry>,
    pub(crate) knowledge: Arc<Knowledge>,
    pub(crate) dispatcher: ActorRef<Dispatcher>,
}

impl Follower {
    /// Reads the topic and follows it.
    pub(crate) async fn run(self) {
        let mut revision = None;
        let mut lost = None;
        let mut pause = RETRY_PAUSE;
        loop {
            let asked = self.knowledge.clock.now();
            let wait = self.wait(lost.is_some());
            let result = match revision {
                None => self.registry.read(self.topic).await,
                Some(after) => tokio::select! {
                    result = self.registry.follow(self.topic, after, wait) => result,
                    () = self.knowledge.doubted.notified(), if self.topic == Topic::Endpoints => continue,
                },
            };
            match result {
                Ok(news) => {
                    self.regained(&mut lost);
                    let whole = revision.is_none();
                    revision = Some(news.revision);
                    let known = if whole { asked } else { self.known(&news, asked, wait) };
                    self.take(news, whole, known).await;
                }
                Err(e) if e.failure == Failure::HistoryGone => {
                    warn!(topic:% = self.topic; "the store dropped its history; reading everything again");
                    revision = None;
                }
                Err(e) => {
                    counter!("chestnutstage_store_failures_total").increment(1);
                    if lost.is_none() {
                        warn!(topic:% = self.topic; "store out of reach: {e}");
                        lost = Some(self.knowledge.clock.now());
                        pause = RETRY_PAUSE;
                    }
                    let spread = rand::rng().random_range(0.7..1.4);
                    sleep(pause.mul_f64(spread)).await;
                    pause = (pause * 3 / 2).min(RETRY_PAUSE_MAX);
                }
            }
        }
    }

    /// How long a call for changes waits: hardly at all while the store is lost, so that its answer tells of its return.
    fn wait(&self, lost: bool) -> Duration {
        match self.topic {
            _ if lost => REGAIN_WAIT,
            Topic::Members => MEMBERS_WAIT,
            Topic::Operators | Topic::Endpoints => FOLLOW_WAIT,
        }
    }

    /// The moment for which an answer holds. An answer without changes came only after the store had waited for them, so
    /// that it holds for the end of the wait, but for the time that changes take to be seen.
    fn known(&self, news: &News, asked: Time, wait: Duration) -> Time {
        let waited = news.facts.is_empty() && self.knowledge.clock.now().since(asked) >= wait;
        if waited { asked + wait.saturating_sub(CHANGE_DELAY) } else { asked }
    }

    fn regained(&self, lost: &mut Option<Time>) {
        let Some(since) = lost.take() else { return };
        let now = self.knowledge.clock.now();
        let outage = now.since(since);
        info!(topic:% = self.topic, outage:? = outage; "store reached again");
        if outage >= OUTAGE {
            self.knowledge.lock().outage_until = now + RETURN;
        }
    }

    async fn take(&self, news: News, whole: bool, known: Time) {
        match self.topic {
            Topic::Operators => {
                self.take_rules(&news, whole).await;
                self.knowledge.mark(known);
            }
            Topic::Endpoints => self.take_listings(news.facts, whole).await,
            Topic::Members => {
                let count = self.knowledge.take_members(news.facts, whole);
                if self.dispatcher.tell(Instances(count)).await.is_err() {
                    warn!(count; "the dispatcher is gone; shared rates stay divided as they were");
                }
            }
        }
    }

    async fn take_rules(&self, news: &News, whole: bool) {
        if !self.knowledge.take_rules(&news.facts, whole) {
            return;
        }
        let Some(directory) = self.knowledge.directory() else { return };
        let zones_out = self.knowledge.zones_out();
        if self.dispatcher.tell(Rules { directory, zones_out }).await.is_err() {
            warn!("the dispatcher is gone; the rules are not in force");
        }
    }

    async fn take_listings(&self, facts: Vec<Fact>, whole: bool) {
        if facts.is_empty() && !whole {
            return;
        }
        for fact in &facts {
            match fact {
                Fact::Listed(l) => {
                    info!(endpoint:% = l.id, leaving = l.leaving, cold_ms = l.cold; "endpoint listed");
                }
                Fact::Unlisted(id) => info!(endpoint:% = id; "endpoint no longer listed"),
                _ => {}
            }
        }
        let outage = self.knowledge.clock.now() < self.knowledge.lock().outage_until;
        if self.dispatcher.ask(Listings { facts, whole, outage }).await.is_ok_and(|count| count > 0) {
            self.knowledge.listed.store(true, Ordering::Relaxed);
        }
    }
}
