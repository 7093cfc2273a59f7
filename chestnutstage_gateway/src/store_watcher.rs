//! Watches the store for changes.
//!
//! Each topic is read in full once and then watched by long polls. In a large deployment only some planners do that
//! and the others get the changes from them; an instance whose rules become stale watches the store itself. A response
//! is current as of the time at which its call was sent, or, if a poll ended without changes, as of the end of its wait.

use std::sync::Arc;
use std::time::Duration;

use chestnutstage_core::time::Time;
use log::{info, warn};
use metrics::counter;
use rand::Rng;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::external::{Failure, Registry, Topic, Updates};
use crate::store_cache::StoreCache;

/// Longest wait of a poll; its response also confirms that the copy of the topic is current.
const POLL_WAIT_MAX: Duration = Duration::from_millis(1_600);
/// Smallest fraction of [`POLL_WAIT_MAX`] that a poll waits. The wait is random: a change ends the polls of all instances
/// at once, and with equal waits they would stay in phase, so that the rules would get as old everywhere as with a single
/// instance.
const POLL_WAIT_FRACTION_MIN: f64 = 0.7;
/// Longest time until the store delivers a change to pending polls.
const CHANGE_DELAY_MAX: Duration = Duration::from_millis(1_100);
/// Wait of a poll that has to return at once: the store could not be reached, or the rules from the peers are stale.
const SHORT_WAIT: Duration = Duration::from_millis(20);
/// Wait of a poll for changes of the members; it may be long, since peers notice these by themselves.
const MEMBERS_WAIT: Duration = Duration::from_secs(20);
/// Delay after a change of the members: many instances start at the same time, and without it each start would cause a
/// call by every instance.
const MEMBERS_DELAY: Duration = Duration::from_millis(300);
/// Delay after a change of the endpoints: during a release they change many times a second, and each change would end
/// the polls of all watchers.
const ENDPOINTS_DELAY: Duration = Duration::from_millis(200);
/// Interval at which an instance that doesn't watch the store checks whether it has to.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which the first copy of a topic is expected from a peer, before it is read from the store.
const PEER_COPY_WAIT: Duration = Duration::from_millis(1_500);
/// Longest random extension of that time.
const PEER_COPY_JITTER: Duration = Duration::from_secs(1);
/// Interval at which an instance checks whether a peer has sent a first copy.
const PEER_COPY_POLL: Duration = Duration::from_millis(25);
/// Time after which the members are read when the whole deployment starts for the first time; others register in it.
const FIRST_START_DELAY: Duration = Duration::from_millis(900);
/// Backoff after the first failed call; grows by half with each further failure.
const RETRY_BACKOFF: Duration = Duration::from_millis(150);
/// Longest backoff: the rules have to be confirmed again well within a second after the store has recovered.
const RETRY_BACKOFF_MAX: Duration = Duration::from_millis(600);
/// Factor on both for instances that planners inform; there are many of them.
const ENTRY_BACKOFF_FACTOR: u32 = 5;
/// Duration of an outage of the store from which entries may have expired although their endpoints still run.
const OUTAGE_MIN: Duration = Duration::from_millis(1_200);

/// Keeps the copy of one topic up to date.
pub(crate) struct StoreWatcher {
    pub(crate) topic: Topic,
    pub(crate) registry: Arc<dyn Registry>,
    pub(crate) store_cache: Arc<StoreCache>,
    pub(crate) clock: Clock,
    /// Whether the whole deployment starts for the first time.
    pub(crate) first_start: bool,
}

impl StoreWatcher {
    /// Reads the topic, then watches it; never returns.
    pub(crate) async fn run(self) {
        self.await_first_copy().await;
        let mut outage_start = None;
        let mut backoff = RETRY_BACKOFF;
        let mut reread = false;
        loop {
            let watches_store = self.store_cache.watches_store();
            reread |= watches_store && self.store_cache.take_reread(self.topic);
            let revision = self.store_cache.revision(self.topic).filter(|_| !reread);
            if revision.is_some() && !watches_store && !self.store_cache.has_stale_rules() {
                outage_start = None;
                sleep(CHECK_INTERVAL).await;
                continue;
            }
            let requested = self.clock.now();
            let wait = self.wait(outage_start.is_some() || !watches_store);
            let result = match revision {
                None => self.registry.read(self.topic).await,
                Some(after) => tokio::select! {
                    result = self.registry.follow(self.topic, after, wait) => result,
                    () = self.store_cache.superseded[&self.topic].notified() => continue,
                },
            };
            match result {
                Ok(updates) => {
                    reread = false;
                    self.record_recovery(&mut outage_start);
                    let time = if revision.is_none() {
                        requested
                    } else {
                        self.valid_time(&updates, requested, wait)
                    };
                    let changed = !updates.facts.is_empty();
                    self.store_cache.apply_changes(self.topic, updates, revision.is_none(), time).await;
                    match self.topic {
                        Topic::Members if changed => sleep(MEMBERS_DELAY).await,
                        Topic::Endpoints if changed => sleep(ENDPOINTS_DELAY).await,
                        _ => {}
                    }
                }
                Err(e) if e.failure == Failure::HistoryGone => {
                    warn!(topic:% = self.topic; "store no longer has the history; reading the whole topic again");
                    reread = true;
                }
                Err(e) => {
                    counter!("chestnutstage_store_failures_total").increment(1);
                    if outage_start.is_none() {
                        warn!(topic:% = self.topic; "store can't be reached, retrying: {e}");
                        outage_start = Some(self.clock.now());
                        backoff = RETRY_BACKOFF;
                    }
                    let jitter = rand::rng().random_range(0.7..1.4);
                    let factor = if self.store_cache.has_planners() { ENTRY_BACKOFF_FACTOR } else { 1 };
                    sleep((backoff * factor).mul_f64(jitter)).await;
                    backoff = (backoff * 3 / 2).min(RETRY_BACKOFF_MAX);
                }
            }
        }
    }

    /// Waits until the first copy of the topic has to be read from the store. The members are read at once; they show
    /// whether this instance watches the store, and from which planners it gets the other topics.
    async fn await_first_copy(&self) {
        if self.topic == Topic::Members {
            sleep(if self.first_start { FIRST_START_DELAY } else { Duration::ZERO }).await;
            return;
        }
        let start = self.clock.now();
        let limit = PEER_COPY_WAIT + PEER_COPY_JITTER.mul_f64(rand::rng().random_range(0.0..1.0));
        while !self.store_cache.watches_store()
            && self.store_cache.revision(self.topic).is_none()
            && self.clock.now().since(start) < limit
        {
            sleep(PEER_COPY_POLL).await;
        }
    }

    /// Wait of the next poll; a `short` one shows quickly whether the store can be reached.
    fn wait(&self, short: bool) -> Duration {
        match self.topic {
            _ if short => SHORT_WAIT,
            Topic::Members => MEMBERS_WAIT,
            Topic::Operators | Topic::Endpoints => {
                POLL_WAIT_MAX.mul_f64(rand::rng().random_range(POLL_WAIT_FRACTION_MIN..1.0))
            }
        }
    }

    /// Time as of which a response is current. One without changes was sent after the store had waited for them, so it
    /// is current as of the end of the wait, less the time that a change takes to reach pending polls.
    fn valid_time(&self, updates: &Updates, requested: Time, wait: Duration) -> Time {
        let waited = updates.facts.is_empty() && self.clock.now().since(requested) >= wait;
        if waited { requested + wait.saturating_sub(CHANGE_DELAY_MAX) } else { requested }
    }

    fn record_recovery(&self, outage_start: &mut Option<Time>) {
        let Some(start) = outage_start.take() else { return };
        let outage = self.clock.now().since(start);
        info!(topic:% = self.topic, outage:?; "store can be reached again");
        if outage >= OUTAGE_MIN {
            self.store_cache.record_outage();
        }
    }
}
