//! Following the store.
//!
//! Each topic is read whole once and then followed by calls that wait for changes. Among many instances only some do
//! that, and the others hear of changes from them; an instance whose knowledge grows old follows for itself.
//! An answer holds for the moment at which its call was sent, or at which its wait for changes ended without one.

use std::sync::Arc;
use std::time::Duration;

use chestnutstage_core::time::Time;
use log::{info, warn};
use metrics::counter;
use rand::Rng;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::external::{Failure, Registry, Topic, Updates};
use crate::knowledge::Knowledge;

/// Longest wait of a call for changes; its answer also proves that the knowledge is fresh.
const FOLLOW_WAIT: Duration = Duration::from_millis(1_600);
/// Least part of that wait: it is drawn anew each time, as else a change would make the calls of all instances end at the
/// same moments, and what is known to any of them would grow as old as to one alone.
const FOLLOW_PART: f64 = 0.7;
/// Time after which a change is seen by calls that wait for it, at the latest.
const CHANGE_DELAY: Duration = Duration::from_millis(1_100);
/// Longest wait of a call whose answer is wanted at once: the store is out of reach, or the peers' word too old.
const SHORT_WAIT: Duration = Duration::from_millis(20);
/// Longest wait for changes of the instances, which peers notice by themselves.
const MEMBERS_WAIT: Duration = Duration::from_secs(20);
/// Pause after a change of the instances: many start at the same time, and each change would be a call of all.
const MEMBERS_PAUSE: Duration = Duration::from_millis(300);
/// Interval at which an instance that leaves the store to others looks whether that still does.
const DUTY_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a first failed call; grows by half with each one that follows.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after a failed call: the rules are to be known again well within a second of the store's return.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(600);
/// Silence of the store from which entries may have lapsed without their endpoints being gone.
const OUTAGE: Duration = Duration::from_millis(1_200);

/// Keeps what is known of one topic up to date, for ever.
pub(crate) struct Follower {
    pub(crate) topic: Topic,
    pub(crate) registry: Arc<dyn Registry>,
    pub(crate) knowledge: Arc<Knowledge>,
    pub(crate) clock: Clock,
}

impl Follower {
    /// Reads the topic and follows it.
    pub(crate) async fn run(self) {
        let mut lost = None;
        let mut pause = RETRY_PAUSE;
        let mut reread = false;
        loop {
            let revision = self.knowledge.revision(self.topic).filter(|_| !reread);
            let has_duty = self.knowledge.has_duty();
            if revision.is_some() && !has_duty && !self.knowledge.is_stale() {
                lost = None;
                sleep(DUTY_INTERVAL).await;
                continue;
            }
            let asked = self.clock.now();
            let wait = self.wait(lost.is_some() || !has_duty);
            let result = match revision {
                None => self.registry.read(self.topic).await,
                Some(after) => tokio::select! {
                    result = self.registry.follow(self.topic, after, wait) => result,
                    () = self.knowledge.overtaken[&self.topic].notified() => continue,
                },
            };
            match result {
                Ok(news) => {
                    reread = false;
                    self.regained(&mut lost);
                    let known = if revision.is_none() { asked } else { self.known(&news, asked, wait) };
                    let changed = !news.facts.is_empty();
                    self.knowledge.take_news(self.topic, news, revision.is_none(), known).await;
                    if changed && self.topic == Topic::Members {
                        sleep(MEMBERS_PAUSE).await;
                    }
                }
                Err(e) if e.failure == Failure::HistoryGone => {
                    warn!(topic:% = self.topic; "the store dropped its history; reading everything again");
                    reread = true;
                }
                Err(e) => {
                    counter!("chestnutstage_store_failures_total").increment(1);
                    if lost.is_none() {
                        warn!(topic:% = self.topic; "store out of reach: {e}");
                        lost = Some(self.clock.now());
                        pause = RETRY_PAUSE;
                    }
                    let spread = rand::rng().random_range(0.7..1.4);
                    sleep(pause.mul_f64(spread)).await;
                    pause = (pause * 3 / 2).min(RETRY_PAUSE_MAX);
                }
            }
        }
    }

    /// How long a call for changes waits: hardly at all if its answer is wanted to know that the store can be reached.
    fn wait(&self, short: bool) -> Duration {
        match self.topic {
            _ if short => SHORT_WAIT,
            Topic::Members => MEMBERS_WAIT,
            Topic::Operators | Topic::Endpoints => {
                FOLLOW_WAIT.mul_f64(rand::rng().random_range(FOLLOW_PART..1.0))
            }
        }
    }

    /// The moment for which an answer holds. An answer without changes came only after the store had waited for them, so
    /// that it holds for the end of the wait, but for the time that changes take to be seen.
    fn known(&self, news: &Updates, asked: Time, wait: Duration) -> Time {
        let waited = news.facts.is_empty() && self.clock.now().since(asked) >= wait;
        if waited { asked + wait.saturating_sub(CHANGE_DELAY) } else { asked }
    }

    fn regained(&self, lost: &mut Option<Time>) {
        let Some(since) = lost.take() else { return };
        let outage = self.clock.now().since(since);
        info!(topic:% = self.topic, outage:?; "store reached again");
        if outage >= OUTAGE {
            self.knowledge.regained();
        }
    }
}
