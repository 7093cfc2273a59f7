//! The actor that reads and writes the log of configuration changes.

use std::sync::Arc;
use std::time::Duration;

use chestnutstage_config::fleet::{self, Change, ChangeError, FleetConfig, LogEntry};
use chestnutstage_core::ids::{InstanceId, Nonce, Version};
use kameo::Actor;
use kameo::message::{Context, Message};
use log::{debug, warn};
use serde_json::Value;
use thiserror::Error;

use crate::link::message::{Reply, Request};
use crate::shared::{Shared, lock};
use crate::store::{Effect, Row, StoreError, Write, WriteResult};

/// Table that holds the log.
const TABLE: &str = "config";
/// Object that holds a whole configuration, so that nobody reads the log from its start.
const OBJECT: &str = "config";
/// Changes between two writes of the whole configuration.
const SNAPSHOT_EVERY: u64 = 64;
/// Time for which a lost answer of the store is settled.
const SETTLE_LIMIT: Duration = Duration::from_secs(5);
/// Delay before the store is asked again.
const SETTLE_DELAY: Duration = Duration::from_millis(100);
/// Races lost to other offices in a row before giving up.
const RACES_MAX: u32 = 20;
/// Time limit of a peer's answer.
const PEER_LIMIT: Duration = Duration::from_secs(1);

/// Reader and writer of the log.
#[derive(Actor)]
pub(crate) struct Committer {
    shared: Arc<Shared>,
}

/// Reads the store for changes.
pub(crate) struct Refresh;

/// Gets the changes that a peer has and this instance lacks.
pub(crate) struct CatchUp {
    pub(crate) peer: InstanceId,
}

/// A change that an operator wants.
pub(crate) struct Commit {
    pub(crate) base: Version,
    pub(crate) author: String,
    pub(crate) office: String,
    pub(crate) reason: String,
    pub(crate) change: Change,
}

/// A change was not committed, or may not have been.
#[derive(Debug, Clone, Error)]
pub(crate) enum CommitError {
    /// Another change since the base touches the same.
    #[error(
        "version {version} by {author} ({office}) changed the same since version {base}: {reason}",
        version = .0.version, author = .0.author, office = .0.office, reason = .0.reason, base = .1
    )]
    Conflict(Box<LogEntry>, Version),
    /// The change itself is wrong.
    #[error(transparent)]
    Invalid(#[from] ChangeError),
    /// The store did not take it.
    #[error("not committed: {0}")]
    Store(StoreError),
    /// The store's answer was lost, and it could not be read back.
    #[error("it is unknown whether change {id} was committed; look for it in the history: {source}")]
    Unknown {
        /// The change's id.
        id: Nonce,
        /// What failed.
        source: StoreError,
    },
    /// The change can't be written down.
    #[error("not committed: encoding of the change: {0}")]
    Encoding(String),
    /// Others were faster too often.
    #[error("not committed: other changes came first {RACES_MAX} times")]
    Raced,
}

fn key(version: Version) -> String {
    format!("{:020}", version.0)
}

fn entry(row: Row<Value>) -> Option<LogEntry> {
    let parsed = serde_json::from_value(row.value);
    parsed.inspect_err(|e| warn!("row {} of the configuration log is malformed: {e}", row.key)).ok()
}

/// The write that adds an entry to the log.
fn row(entry: &LogEntry) -> Result<Write<Value>, CommitError> {
    let value = serde_json::to_value(entry).map_err(|e| CommitError::Encoding(e.to_string()))?;
    Ok(Write { key: key(entry.version), expect: 0, value })
}

impl Committer {
    pub(crate) const fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Applies all that the store has beyond the version in force.
    async fn refresh(&self) -> Result<(), StoreError> {
        let Shared { clock, config, journal, adapters, .. } = &*self.shared;
        let asked = clock.now();
        if config.version() == Version(0) {
            self.load_whole().await?;
        }
        loop {
            let rows = adapters.tables.scan(TABLE, &key(config.version())).await?;
            if rows.is_empty() {
                break;
            }
            let entries: Vec<_> = rows.into_iter().filter_map(entry).collect();
            let before = config.version();
            if config.apply(&entries, journal) == before {
                break;
            }
        }
        let newest = config.version();
        lock(&config.tracker).record_store_read(asked, newest);
        Ok(())
    }

    async fn load_whole(&self) -> Result<(), StoreError> {
        let Some(content) = self.shared.adapters.objects.get(OBJECT).await? else {
            return Ok(());
        };
        match serde_json::from_slice::<FleetConfig>(&content) {
            Ok(whole) => self.shared.config.replace(whole, &self.shared.journal),
            Err(e) => warn!("the whole configuration in the object store is malformed: {e}"),
        }
        Ok(())
    }

    async fn catch_up(&self, peer: &InstanceId) {
        let Shared { clock, config, journal, adapters, roster, .. } = &*self.shared;
        if !lock(&config.tracker).is_behind() {
            return;
        }
        let target = roster.borrow().target(peer);
        let Some(target) = target else { return };
        let asked = clock.now();
        let request = Request::Changes { after: config.version() };
        let answer = adapters.links.call(&target, request, PEER_LIMIT).await;
        let Ok(Reply::Changes { entries, whole, fresh }) = answer else {
            debug!(peer:% = peer; "catching up failed: {answer:?}");
            return;
        };
        if let Some(whole) = whole.and_then(|w| serde_json::from_str(&w).ok()) {
            config.replace(whole, journal);
        }
        let entries: Vec<_> = entries.iter().filter_map(|e| serde_json::from_str(e).ok()).collect();
        config.apply(&entries, journal);
        if let Some(fresh) = fresh {
            lock(&config.tracker).record_peer_assurance(asked, fresh);
        }
    }

    async fn commit(&self, commit: Commit) -> Result<LogEntry, CommitError> {
        let id = self.shared.nonce();
        for _ in 0..RACES_MAX {
            self.refresh().await.map_err(CommitError::Store)?;
            let entry = self.next_entry(id, &commit).await?;
            if self.insert(&entry).await? {
                self.shared.config.apply(std::slice::from_ref(&entry), &self.shared.journal);
                self.write_whole(entry.version).await;
                return Ok(entry);
            }
        }
        Err(CommitError::Raced)
    }

    /// The entry that would follow the present version, if nothing speaks against it.
    async fn next_entry(&self, id: Nonce, commit: &Commit) -> Result<LogEntry, CommitError> {
        let snapshot = self.shared.config.snapshot();
        let present = snapshot.config.version;
        if commit.base < present {
            let since = self.since(commit.base).await.map_err(CommitError::Store)?;
            if let Some(other) = fleet::find_conflict(&commit.change, &since) {
                return Err(CommitError::Conflict(Box::new(other.clone()), commit.base));
            }
        }
        snapshot.config.check(&commit.change, &commit.reason)?;
        Ok(LogEntry {
            version: present.next(),
            id,
            author: commit.author.clone(),
            office: commit.office.clone(),
            reason: commit.reason.clone(),
            change: commit.change.clone(),
        })
    }

    /// Changes after `base`, from memory if they are there.
    async fn since(&self, base: Version) -> Result<Vec<LogEntry>, StoreError> {
        let tail = self.shared.config.tail(base);
        if tail.first().is_some_and(|e| e.version == base.next()) {
            return Ok(tail);
        }
        let rows = self.shared.adapters.tables.scan(TABLE, &key(base)).await?;
        Ok(rows.into_iter().filter_map(entry).collect())
    }

    /// Inserts the entry's row; false if another change took its version.
    async fn insert(&self, entry: &LogEntry) -> Result<bool, CommitError> {
        let write = row(entry)?;
        match self.shared.adapters.tables.write(TABLE, vec![write]).await {
            Ok(results) => Ok(matches!(results.first(), Some(WriteResult::Done(_)))),
            Err(e) if e.effect == Effect::None => Err(CommitError::Store(e)),
            Err(e) => self.settle(entry, e).await,
        }
    }

    /// Reads back a row whose write has lost its answer.
    async fn settle(&self, entry: &LogEntry, lost: StoreError) -> Result<bool, CommitError> {
        let until = self.shared.clock.now() + SETTLE_LIMIT;
        let mut source = lost;
        while self.shared.clock.now() < until {
            match self.shared.adapters.tables.read(TABLE, &key(entry.version)).await {
                Ok(Some(row)) => return Ok(self::entry(row).is_some_and(|e| e.id == entry.id)),
                Ok(None) => {
                    // The write may still be on its way; the same row again does no harm.
                    let write = row(entry)?;
                    match self.shared.adapters.tables.write(TABLE, vec![write]).await {
                        Ok(results) if matches!(results.first(), Some(WriteResult::Done(_))) => {
                            return Ok(true);
                        }
                        Ok(_) => {}
                        Err(e) => source = e,
                    }
                }
                Err(e) => source = e,
            }
            tokio::time::sleep(SETTLE_DELAY).await;
        }
        Err(CommitError::Unknown { id: entry.id, source })
    }

    /// Writes the whole configuration now and then; a failure only makes later starts slower.
    async fn write_whole(&self, version: Version) {
        if !version.0.is_multiple_of(SNAPSHOT_EVERY) {
            return;
        }
        let Ok(content) = serde_json::to_vec(&self.shared.config.snapshot().config) else {
            return;
        };
        if let Err(e) = self.shared.adapters.objects.put(OBJECT, content).await {
            warn!("{e}");
        }
    }
}

impl Message<Refresh> for Committer {
    type Reply = ();

    async fn handle(&mut self, _: Refresh, _: &mut Context<Self, Self::Reply>) {
        if let Err(e) = self.refresh().await {
            debug!("{e}");
        }
    }
}

impl Message<CatchUp> for Committer {
    type Reply = ();

    async fn handle(&mut self, msg: CatchUp, _: &mut Context<Self, Self::Reply>) {
        self.catch_up(&msg.peer).await;
    }
}

impl Message<Commit> for Committer {
    type Reply = Result<LogEntry, CommitError>;

    async fn handle(&mut self, msg: Commit, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.commit(msg).await
    }
}
