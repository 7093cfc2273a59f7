//! What this instance knows from the store, and how old that is.
//!
//! Everything known comes with the revision of the store that it holds for. Some instances follow the store, see
//! [`crate::follower`]; all compare what they know with their peers, so that the others, and those that the store turns
//! away, take from a peer what is newer there. The operators' rules also have an age: a peer that knows the same rules at a
//! later moment makes the knowledge here as fresh. Versions of the catalog only rise.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use chestnutstage_core::catalog::Directory;
use chestnutstage_core::ids::{EndpointId, InstanceId, ZoneId};
use chestnutstage_core::pool::Listing;
use chestnutstage_core::rendezvous;
use chestnutstage_core::time::Time;
use kameo::actor::ActorRef;
use log::{info, warn};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::dispatcher::{Dispatcher, Instances, Listings, Rules};
use crate::external::{Fact, Member, Topic, Updates};

/// Time for which an instance that follows the store knows something else than a peer before it asks that peer: news reach
/// all within a few round trips.
const DIFFERENCE: Duration = Duration::from_millis(700);
/// Age of the rules from which every instance follows the store: over the age that the peers' word has, and
/// below the one from which a missing route is uncertain.
const STALE_AGE: Duration = Duration::from_millis(2_500);
/// Time in which entries that lapsed in an outage of the store come back.
const RETURN: Duration = Duration::from_millis(2_500);

/// What an instance knows of a topic, in short.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Mark {
    /// Hash of everything known; equal for equal knowledge.
    content: u64,
    /// Newest revision of the store for which that holds.
    revision: u64,
}

/// All that an instance knows of a topic, for a peer.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Extract {
    topic: Topic,
    revision: u64,
    /// Facts, each with the time since it was heard.
    facts: Vec<(Fact, Duration)>,
    /// Age of the operators' rules there.
    age: Duration,
    /// Whether the store was out of reach there just before.
    outage: bool,
}

/// How far a topic is known.
#[derive(Debug, Default)]
struct Progress {
    mark: Option<Mark>,
    /// Since when a peer knows something newer.
    differs: Option<Time>,
}

#[derive(Debug, Default)]
struct State {
    known: Option<Time>,
    topics: BTreeMap<Topic, Progress>,
    zones_out: BTreeSet<ZoneId>,
    members: BTreeMap<InstanceId, Member>,
    /// Listed endpoints, and when each was heard of.
    listings: BTreeMap<EndpointId, (Listing, Time)>,
    outage_until: Time,
}

/// What this instance knows from the store.
#[derive(Debug)]
pub(crate) struct Knowledge {
    clock: Clock,
    dispatcher: ActorRef<Dispatcher>,
    directory: ArcSwapOption<Directory>,
    state: Mutex<State>,
    listed: AtomicBool,
    duty: AtomicBool,
    /// Held while facts are taken, so that the dispatcher gets them in the order in which they were taken here.
    taking: tokio::sync::Mutex<()>,
    /// A peer's facts were taken: calls for changes that wait are out of date.
    pub(crate) overtaken: BTreeMap<Topic, Notify>,
    pub(crate) members_changed: Notify,
}

impl Knowledge {
    pub(crate) fn new(clock: Clock, dispatcher: ActorRef<Dispatcher>) -> Self {
        Self {
            clock,
            dispatcher,
            directory: ArcSwapOption::empty(),
            state: Mutex::default(),
            listed: AtomicBool::new(false),
            duty: AtomicBool::new(true),
            taking: tokio::sync::Mutex::default(),
            overtaken: Topic::ALL.into_iter().map(|topic| (topic, Notify::new())).collect(),
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

    /// Number of instances that the store names.
    pub(crate) fn member_count(&self) -> usize {
        self.lock().members.len()
    }

    /// The other instances.
    pub(crate) fn members(&self) -> Vec<Member> {
        self.lock().members.values().cloned().collect()
    }

    /// Takes whether this instance is one of those that follow the store for all.
    pub(crate) fn set_duty(&self, duty: bool) {
        if self.duty.swap(duty, Ordering::Relaxed) != duty {
            info!(duty; "duty to follow the store");
        }
    }

    /// Whether this instance is one of those that follow the store for all.
    pub(crate) fn has_duty(&self) -> bool {
        self.duty.load(Ordering::Relaxed)
    }

    /// Whether the rules are so old that each instance asks the store for itself.
    pub(crate) fn is_stale(&self) -> bool {
        self.rules_age() > STALE_AGE
    }

    /// Revision up to which a topic is known.
    pub(crate) fn revision(&self, topic: Topic) -> Option<u64> {
        self.lock().topics.get(&topic)?.mark.map(|mark| mark.revision)
    }

    /// What is known of each topic, in short.
    pub(crate) fn marks(&self) -> Vec<(Topic, Mark)> {
        let state = self.lock();
        state.topics.iter().filter_map(|(topic, p)| Some((*topic, p.mark?))).collect()
    }

    /// Takes that a peer has the mark `theirs` and that its rules held at `known`; gives whether to ask it for the topic.
    pub(crate) fn compare(&self, topic: Topic, theirs: Mark, known: Option<Time>) -> bool {
        let now = self.clock.now();
        let patience = if self.has_duty() { DIFFERENCE } else { Duration::ZERO };
        let mut state = self.lock();
        let progress = state.topics.entry(topic).or_default();
        let Some(mark) = &mut progress.mark else { return false };
        if mark.content == theirs.content {
            mark.revision = mark.revision.max(theirs.revision);
            progress.differs = None;
            if topic == Topic::Operators {
                state.known = state.known.max(known);
            }
            return false;
        }
        if theirs.revision <= mark.revision {
            return false;
        }
        now.since(*progress.differs.get_or_insert(now)) >= patience
    }

    /// All that is known of a topic, for a peer.
    pub(crate) fn extract(&self, topic: Topic) -> Option<Extract> {
        let now = self.clock.now();
        let state = self.lock();
        let revision = state.topics.get(&topic)?.mark?.revision;
        let fresh = |fact| (fact, Duration::ZERO);
        let facts = match topic {
            Topic::Operators => {
                let catalog = Fact::Catalog(Box::new(self.directory()?.catalog().clone()));
                let zones = state.zones_out.iter().cloned().map(Fact::ZoneOut);
                std::iter::once(catalog).chain(zones).map(fresh).collect()
            }
            Topic::Members => state.members.values().cloned().map(Fact::Joined).map(fresh).collect(),
            Topic::Endpoints => {
                let listings = state.listings.values();
                listings.map(|(listing, heard)| (Fact::Listed(listing.clone()), now.since(*heard))).collect()
            }
        };
        let age = state.known.map_or(Duration::MAX, |known| now.since(known));
        Some(Extract { topic, revision, facts, age, outage: now < state.outage_until })
    }

    /// Takes all that a peer, asked at `asked`, knows of a topic, if it is newer than what is known here.
    pub(crate) async fn take_extract(&self, extract: Extract, asked: Time) {
        let Extract { topic, revision, facts, age, outage } = extract;
        let _order = self.taking.lock().await;
        if self.revision(topic).is_some_and(|present| present >= revision) {
            return;
        }
        info!(topic:%, revision, age:?; "taken from a peer");
        self.take(topic, revision, facts, true, outage).await;
        if topic == Topic::Operators {
            self.mark_rules(asked - age);
        }
        self.overtaken[&topic].notify_one();
    }

    /// Takes what the store said, which held at `known`; it may be all there is. Nothing is taken that is older than what a
    /// peer told in the meantime.
    pub(crate) async fn take_news(&self, topic: Topic, news: Updates, whole: bool, known: Time) {
        let _order = self.taking.lock().await;
        if topic == Topic::Operators {
            self.mark_rules(known);
        }
        if self.revision(topic).is_some_and(|present| present > news.revision) {
            return;
        }
        let facts = news.facts.into_iter().map(|fact| (fact, Duration::ZERO)).collect();
        self.take(topic, news.revision, facts, whole, false).await;
    }

    /// Takes that the store can be reached again after so long an outage that entries may have lapsed.
    pub(crate) fn regained(&self) {
        self.lock().outage_until = self.clock.now() + RETURN;
    }

    /// Takes that the rules here were the newest ones at `known`.
    fn mark_rules(&self, known: Time) {
        let mut state = self.lock();
        state.known = state.known.max(Some(known));
    }

    async fn take(
        &self,
        topic: Topic,
        revision: u64,
        facts: Vec<(Fact, Duration)>,
        whole: bool,
        outage: bool,
    ) {
        let changes = whole || !facts.is_empty();
        if changes {
            match topic {
                Topic::Operators => self.take_rules(facts, whole).await,
                Topic::Members => self.take_members(facts, whole).await,
                Topic::Endpoints => self.take_listings(facts, whole, outage).await,
            }
        }
        let mut state = self.lock();
        let content = if changes { Some(self.content(&state, topic)) } else { None };
        let progress = state.topics.entry(topic).or_default();
        let content = content.or(progress.mark.map(|mark| mark.content)).unwrap_or_default();
        *progress = Progress { mark: Some(Mark { content, revision }), differs: None };
    }

    fn content(&self, state: &State, topic: Topic) -> u64 {
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
                warn!(topic:%; "no hash of what is known: {e}");
                0
            },
            |bytes| rendezvous::hash(&bytes),
        )
    }

    async fn take_rules(&self, facts: Vec<(Fact, Duration)>, whole: bool) {
        let zones_out = {
            let mut state = self.lock();
            if whole {
                state.zones_out.clear();
            }
            for (fact, _) in facts {
                match fact {
                    Fact::Catalog(catalog) => self.take_catalog(Directory::from(*catalog)),
                    Fact::ZoneOut(zone) => {
                        info!(zone:%; "nothing more is sent to the zone");
                        state.zones_out.insert(zone);
                    }
                    Fact::ZoneIn(zone) => {
                        info!(zone:%; "the zone takes work again");
                        state.zones_out.remove(&zone);
                    }
                    _ => {}
                }
            }
            state.zones_out.iter().cloned().collect()
        };
        let Some(directory) = self.directory() else { return };
        if self.dispatcher.tell(Rules { directory, zones_out }).await.is_err() {
            warn!("the dispatcher is gone; the rules are not in force");
        }
    }

    fn take_catalog(&self, directory: Directory) {
        if self.directory.load().as_ref().is_some_and(|present| !directory.supersedes(present)) {
            return;
        }
        let version = directory.catalog().version;
        let routes = directory.catalog().routes.len();
        info!(version, routes; "catalog in force");
        self.directory.store(Some(Arc::new(directory)));
    }

    async fn take_members(&self, facts: Vec<(Fact, Duration)>, whole: bool) {
        let count = {
            let mut state = self.lock();
            if whole {
                state.members.clear();
            }
            for (fact, _) in facts {
                match fact {
                    Fact::Joined(member) => _ = state.members.insert(member.id.clone(), member),
                    Fact::Left(id) => _ = state.members.remove(&id),
                    _ => {}
                }
            }
            state.members.len()
        };
        self.members_changed.notify_one();
        if self.dispatcher.tell(Instances(count)).await.is_err() {
            warn!(count; "the dispatcher is gone; shared rates stay divided as they were");
        }
    }

    async fn take_listings(&self, facts: Vec<(Fact, Duration)>, whole: bool, outage: bool) {
        let now = self.clock.now();
        let mut told = Vec::with_capacity(facts.len());
        let outage = {
            let mut state = self.lock();
            if whole {
                state.listings.clear();
            }
            for (fact, age) in facts {
                match &fact {
                    Fact::Listed(l) => {
                        info!(endpoint:% = l.id, leaving = l.leaving, cold_ms = l.cold, age:?; "endpoint listed");
                        let heard = Time::from(Duration::from(now).saturating_sub(age));
                        state.listings.insert(l.id.clone(), (l.clone(), heard));
                        let cold = l.cold.saturating_sub(age.as_millis() as u64);
                        told.push(Fact::Listed(Listing { cold, ..l.clone() }));
                    }
                    Fact::Unlisted(id) => {
                        info!(endpoint:% = id; "endpoint no longer listed");
                        state.listings.remove(id);
                        told.push(fact);
                    }
                    _ => {}
                }
            }
            outage || now < state.outage_until
        };
        match self.dispatcher.ask(Listings { facts: told, whole, outage }).await {
            Ok(0) => {}
            Ok(_) => self.listed.store(true, Ordering::Relaxed),
            Err(e) => warn!("the dispatcher is gone; the endpoints are not in use: {e}"),
        }
    }
}
