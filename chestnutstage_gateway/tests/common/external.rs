//! Test doubles of the store, the header format and the control API of the engines.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use chestnutstage_core::ids::InstanceId;
use chestnutstage_gateway::external::{
    Engines, ExternalError, Fact, Failure, HeaderFormat, HeaderNames, LoadReport, Member, Operation, Prompt,
    Registry, Revision, Topic, Updates,
};
use futures::FutureExt;
use futures::future::BoxFuture;
use http::{HeaderMap, HeaderName, HeaderValue};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Result of an operation on a test double.
pub type ExternalResult<T> = Result<T, ExternalError>;

/// In-memory store: facts with increasing revisions.
#[derive(Debug, Default)]
pub struct FakeStore {
    facts: Mutex<HashMap<Topic, Vec<(u64, Fact)>>>,
    revision: AtomicU64,
    era: AtomicU64,
    changed: Notify,
    pub down: AtomicBool,
    /// Whether the revision of a topic is that of its latest fact. Copies of a topic that differ stay as they are then, since no
    /// instance is ahead of another for long.
    pub by_topic: AtomicBool,
    compacted: AtomicBool,
    waiting: Mutex<HashMap<Topic, usize>>,
    secret: Mutex<Option<String>>,
}

impl FakeStore {
    /// Adds facts to a topic.
    pub fn publish(&self, topic: Topic, facts: Vec<Fact>) {
        for fact in facts {
            let revision = self.revision.fetch_add(1, Ordering::SeqCst) + 1;
            self.facts.lock().unwrap().entry(topic).or_default().push((revision, fact));
        }
        self.changed.notify_waiters();
    }

    /// All facts of a topic.
    pub fn published(&self, topic: Topic) -> Vec<Fact> {
        self.after(topic, 0).facts
    }

    /// Copies the secret of another store.
    pub fn share_secret(&self, other: &Self) {
        let secret = other.secret.lock().unwrap().clone();
        *self.secret.lock().unwrap() = secret;
    }

    /// Comes back from a copy without the facts after `number`; their numbers are given out again.
    pub fn restore(&self, number: u64) {
        for facts in self.facts.lock().unwrap().values_mut() {
            facts.retain(|(revision, _)| *revision <= number);
        }
        self.revision.store(number, Ordering::SeqCst);
        self.era.fetch_add(1, Ordering::SeqCst);
        *self.secret.lock().unwrap() = None;
        self.changed.notify_waiters();
    }

    /// Number of the latest fact.
    pub fn number(&self) -> u64 {
        self.revision.load(Ordering::SeqCst)
    }

    /// Secret that the store holds.
    pub fn stored_secret(&self) -> Option<String> {
        self.secret.lock().unwrap().clone()
    }

    /// Drops the history: the next call for changes fails with [`Failure::HistoryGone`].
    pub fn compact(&self) {
        self.compacted.store(true, Ordering::SeqCst);
        self.changed.notify_waiters();
    }

    /// Number of pending calls for changes of a topic.
    pub fn waiting(&self, topic: Topic) -> usize {
        self.waiting.lock().unwrap().get(&topic).copied().unwrap_or_default()
    }

    fn count_waiting(&self, topic: Topic) -> Waiting<'_> {
        *self.waiting.lock().unwrap().entry(topic).or_default() += 1;
        Waiting { store: self, topic }
    }

    fn after(&self, topic: Topic, after: u64) -> Updates {
        let facts = self.facts.lock().unwrap();
        let latest = facts.get(&topic).and_then(|facts| facts.last()).map_or(0, |(revision, _)| *revision);
        let all = facts.get(&topic).into_iter().flatten();
        let facts = all.filter(|(revision, _)| *revision > after).map(|(_, fact)| fact.clone()).collect();
        let by_topic = self.by_topic.load(Ordering::SeqCst);
        let number = if by_topic { latest } else { self.revision.load(Ordering::SeqCst) };
        Updates { revision: Revision { era: self.era.load(Ordering::SeqCst), number }, facts }
    }

    fn check_era(&self, known: Revision) -> Result<(), ExternalError> {
        if known.era == self.era.load(Ordering::SeqCst) { Ok(()) } else { Err(history_gone()) }
    }

    fn check(&self, operation: Operation) -> Result<(), ExternalError> {
        if self.down.load(Ordering::SeqCst) {
            let failure = Failure::NoAnswer("down".into());
            return Err(ExternalError { operation, peer: "store".into(), failure });
        }
        Ok(())
    }
}

fn history_gone() -> ExternalError {
    ExternalError { operation: Operation::Follow, peer: "store".into(), failure: Failure::HistoryGone }
}

/// Pending call for changes, counted until it is dropped.
struct Waiting<'a> {
    store: &'a FakeStore,
    topic: Topic,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        *self.store.waiting.lock().unwrap().entry(self.topic).or_default() -= 1;
    }
}

impl Registry for FakeStore {
    fn read(&self, topic: Topic) -> BoxFuture<'_, Result<Updates, ExternalError>> {
        async move { self.check(Operation::Read).map(|()| self.after(topic, 0)) }.boxed()
    }

    fn follow(
        &self,
        topic: Topic,
        known: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Updates, ExternalError>> {
        async move {
            let changed = self.changed.notified();
            self.check(Operation::Follow)?;
            let compacted = topic == Topic::Operators && self.compacted.swap(false, Ordering::SeqCst);
            if compacted {
                return Err(history_gone());
            }
            self.check_era(known)?;
            let after = known.number;
            let news = self.after(topic, after);
            if !news.facts.is_empty() {
                return Ok(news);
            }
            let _waiting = self.count_waiting(topic);
            // The facts are read again both after a change and after the timeout.
            _ = timeout(wait, changed).await;
            self.check(Operation::Follow)?;
            self.check_era(known)?;
            Ok(self.after(topic, after))
        }
        .boxed()
    }

    fn join<'a>(&'a self, member: &'a Member) -> BoxFuture<'a, Result<(), ExternalError>> {
        async move {
            self.check(Operation::Write)?;
            self.publish(Topic::Members, vec![Fact::Joined(member.clone())]);
            Ok(())
        }
        .boxed()
    }

    fn leave<'a>(&'a self, id: &'a InstanceId) -> BoxFuture<'a, Result<(), ExternalError>> {
        async move {
            self.check(Operation::Write)?;
            self.publish(Topic::Members, vec![Fact::Left(id.clone())]);
            Ok(())
        }
        .boxed()
    }

    fn secret<'a>(&'a self, fresh: &'a str) -> BoxFuture<'a, Result<String, ExternalError>> {
        async move {
            self.check(Operation::Write)?;
            Ok(self.secret.lock().unwrap().get_or_insert_with(|| fresh.to_owned()).clone())
        }
        .boxed()
    }
}

/// Header names and values of the tests.
#[derive(Debug)]
pub struct TestHeaderFormat(HeaderNames);

impl TestHeaderFormat {
    pub fn new() -> Self {
        Self(HeaderNames {
            attempt: HeaderName::from_static("x-attempt"),
            remaining: HeaderName::from_static("x-remaining"),
            seal: HeaderName::from_static("x-seal"),
            key: HeaderName::from_static("x-key"),
            customer: HeaderName::from_static("x-customer"),
            expected: HeaderName::from_static("x-expected"),
            not_run: HeaderName::from_static("x-not-run"),
            last_event: HeaderName::from_static("last-event-id"),
            urgency: HeaderName::from_static("x-urgency"),
            helpers: HeaderName::from_static("x-helpers"),
            failed_helper: HeaderName::from_static("x-fault"),
            leaving: HeaderName::from_static("x-leaving"),
            content: vec![HeaderName::from_static("x-tokens"), HeaderName::from_static("x-parts")],
        })
    }
}

impl HeaderFormat for TestHeaderFormat {
    fn names(&self) -> &HeaderNames {
        &self.0
    }

    fn prompt(&self, headers: &HeaderMap) -> Option<Prompt> {
        let tokens = headers.get("x-tokens")?.to_str().ok()?.parse().ok()?;
        Some(Prompt { tokens, output: 100 })
    }

    fn shared_parts(&self, headers: &HeaderMap) -> Vec<String> {
        let text = headers.get("x-parts").map_or("", |v| v.to_str().unwrap());
        let mut ids: Vec<_> = text.split(',').map(str::to_owned).collect();
        ids.pop();
        ids
    }

    fn helpers(&self, helpers: &[(SocketAddr, Option<String>)]) -> Option<HeaderValue> {
        if helpers.is_empty() {
            return None;
        }
        HeaderValue::from_str(&format!("{helpers:?}")).ok()
    }

    fn request_limit(&self, headers: &HeaderMap) -> Option<f64> {
        headers.get("x-limit")?.to_str().ok()?.parse().ok()
    }

    fn failed_helper(&self, value: &HeaderValue) -> Option<SocketAddr> {
        value.to_str().ok()?.parse().ok()
    }
}

/// Fake control API of the engines.
#[derive(Debug, Default)]
pub struct FakeEngines {
    /// Reserved tokens by the name of the reservation.
    pub reserved: Mutex<HashMap<String, u64>>,
    pub granted: AtomicU64,
    pub full: AtomicBool,
    /// Whether reservations wait until this is cleared.
    pub held: AtomicBool,
    /// Number of reservations asked for.
    pub asked: AtomicU64,
    /// Engines that can't be connected to.
    pub unresponsive: Mutex<Vec<SocketAddr>>,
    /// Whether load reports are refused.
    pub overloaded: AtomicBool,
    /// Whether load reports are not answered.
    pub silent: AtomicBool,
    pub released: Notify,
}

impl Engines for FakeEngines {
    fn report(&self, address: SocketAddr) -> BoxFuture<'_, Result<LoadReport, ExternalError>> {
        async move {
            if self.silent.load(Ordering::SeqCst) {
                std::future::pending::<()>().await;
            }
            if self.overloaded.load(Ordering::SeqCst) {
                let failure = Failure::Refused(503);
                return Err(ExternalError {
                    operation: Operation::Report,
                    peer: address.to_string(),
                    failure,
                });
            }
            if self.unresponsive.lock().unwrap().contains(&address) {
                let failure = Failure::NoAnswer("unresponsive".into());
                return Err(ExternalError {
                    operation: Operation::Report,
                    peer: address.to_string(),
                    failure,
                });
            }
            Ok(LoadReport { pace: 1.0, waiting: 0, running: 0, used: 0, leaving: false, limit: None })
        }
        .boxed()
    }

    fn reserve<'a>(
        &'a self,
        _: SocketAddr,
        name: &'a str,
        tokens: u64,
        _: Duration,
    ) -> BoxFuture<'a, Result<bool, ExternalError>> {
        async move {
            self.asked.fetch_add(1, Ordering::SeqCst);
            while self.held.load(Ordering::SeqCst) {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            if self.full.load(Ordering::SeqCst) {
                return Ok(false);
            }
            self.granted.fetch_add(1, Ordering::SeqCst);
            self.reserved.lock().unwrap().insert(name.to_owned(), tokens);
            Ok(true)
        }
        .boxed()
    }

    fn release<'a>(&'a self, _: SocketAddr, name: &'a str) -> BoxFuture<'a, Result<(), ExternalError>> {
        async move {
            self.reserved.lock().unwrap().remove(name);
            self.released.notify_one();
            Ok(())
        }
        .boxed()
    }
}
