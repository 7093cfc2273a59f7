//! Actor that reads and writes the log of configuration changes.

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
const LOG_TABLE: &str = "config";
/// Object that holds a snapshot of the configuration, so that an instance need not read the log from its start.
const SNAPSHOT_OBJECT: &str = "config";
/// Number of changes between two snapshots.
const CHANGES_PER_SNAPSHOT: u64 = 64;
/// Timeout for reading back a row whose write got no response.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay between two such reads.
const RESOLVE_DELAY: Duration = Duration::from_millis(100);
/// Number of consecutive races lost to other writers after which a commit fails.
const RACES_MAX: u32 = 20;
/// Timeout of a request to a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads and writes the log.
#[derive(Actor)]
pub(crate) struct Committer {
    shared: Arc<Shared>,
}

/// Reads new changes from the store.
pub(crate) struct Refresh;

/// Fetches from a peer the changes that this instance lacks.
pub(crate) struct CatchUp {
    pub(crate) peer: InstanceId,
}

/// A change submitted by an operator.
pub(crate) struct Commit {
    pub(crate) base: Version,
    pub(crate) author: String,
    pub(crate) office: String,
    pub(crate) reason: String,
    pub(crate) change: Change,
}

/// Error for a change that was not committed, or whose outcome is unknown.
#[derive(Debug, Clone, Error)]
pub(crate) enum CommitError {
    /// A change committed after the base version affects the same setting.
    #[error(
        "version {version} by {author} ({office}) changed the same since version {base}: {reason}",
        version = .0.version, author = .0.author, office = .0.office, reason = .0.reason, base = .1
    )]
    Conflict(Box<LogEntry>, Version),
    /// The change is invalid.
    #[error(transparent)]
    Invalid(#[from] ChangeError),
    /// The store failed before the change was written.
    #[error("not committed: {0}")]
    Store(StoreError),
    /// The store's response was lost, and the row could not be read back.
    #[error("it is unknown whether change {id} was committed; look for it in the history: {source}")]
    Unknown {
        /// Id of the change.
        id: Nonce,
        /// Last error of the store.
        source: StoreError,
    },
    /// The change could not be encoded.
    #[error("not committed: encoding of the change: {0}")]
    Encoding(String),
    /// Too many races in a row were lost to other writers.
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

/// Returns the write that inserts `entry` into the log.
fn row(entry: &LogEntry) -> Result<Write<Value>, CommitError> {
    let value = serde_json::to_value(entry).map_err(|e| CommitError::Encoding(e.to_string()))?;
    Ok(Write { key: key(entry.version), expect: 0, value })
}

impl Committer {
    pub(crate) const fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Applies all changes in the store after the version in force.
    async fn refresh(&self) -> Result<(), StoreError> {
        let Shared { clock, config, journal, adapters, .. } = &*self.shared;
        let asked = clock.now();
        if config.version() == Version(0) {
            self.load_snapshot().await?;
        }
        loop {
            let rows = adapters.tables.scan(LOG_TABLE, &key(config.version())).await?;
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

    async fn load_snapshot(&self) -> Result<(), StoreError> {
        let Some(content) = self.shared.adapters.objects.get(SNAPSHOT_OBJECT).await? else {
            return Ok(());
        };
        match serde_json::from_slice::<FleetConfig>(&content) {
            Ok(config) => self.shared.config.replace(config, &self.shared.journal),
            Err(e) => warn!(
                "configuration snapshot in the object store is malformed; reading the log from its start: {e}"
            ),
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
        let answer = adapters.links.call(&target, request, PEER_TIMEOUT).await;
        let Ok(Reply::Changes { entries, whole, fresh }) = answer else {
            debug!(peer:% = peer; "fetching configuration changes from the peer failed: {answer:?}");
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
                self.write_snapshot(entry.version).await;
                return Ok(entry);
            }
        }
        Err(CommitError::Raced)
    }

    /// Returns the log entry for the change as successor of the current version, if the change is valid and conflicts
    /// with no other.
    async fn next_entry(&self, id: Nonce, commit: &Commit) -> Result<LogEntry, CommitError> {
        let snapshot = self.shared.config.snapshot();
        let current = snapshot.config.version;
        if commit.base < current {
            let since = self.since(commit.base).await.map_err(CommitError::Store)?;
            if let Some(other) = fleet::find_conflict(&commit.change, &since) {
                return Err(CommitError::Conflict(Box::new(other.clone()), commit.base));
            }
        }
        snapshot.config.check(&commit.change, &commit.reason)?;
        Ok(LogEntry {
            version: current.next(),
            id,
            author: commit.author.clone(),
            office: commit.office.clone(),
            reason: commit.reason.clone(),
            change: commit.change.clone(),
        })
    }

    /// Returns the changes after `base`, from memory if they are all there.
    async fn since(&self, base: Version) -> Result<Vec<LogEntry>, StoreError> {
        let tail = self.shared.config.recent_changes(base);
        if tail.first().is_some_and(|e| e.version == base.next()) {
            return Ok(tail);
        }
        let rows = self.shared.adapters.tables.scan(LOG_TABLE, &key(base)).await?;
        Ok(rows.into_iter().filter_map(entry).collect())
    }

    /// Inserts the entry's row; returns false if another change has its version.
    async fn insert(&self, entry: &LogEntry) -> Result<bool, CommitError> {
        let write = row(entry)?;
        match self.shared.adapters.tables.write(LOG_TABLE, vec![write]).await {
            Ok(results) => Ok(matches!(results.first(), Some(WriteResult::Done(_)))),
            Err(e) if e.effect == Effect::None => Err(CommitError::Store(e)),
            Err(e) => self.resolve_write(entry, e).await,
        }
    }

    /// Reads back a row whose write got no response, and repeats the write if the row is missing; returns whether the
    /// row holds `entry`.
    async fn resolve_write(&self, entry: &LogEntry, lost: StoreError) -> Result<bool, CommitError> {
        let deadline = self.shared.clock.now() + RESOLVE_TIMEOUT;
        let mut source = lost;
        while self.shared.clock.now() < deadline {
            match self.shared.adapters.tables.read(LOG_TABLE, &key(entry.version)).await {
                Ok(Some(row)) => return Ok(self::entry(row).is_some_and(|e| e.id == entry.id)),
                Ok(None) => {
                    // The first write may still be in flight. Repeating it is safe: the row is inserted only once.
                    let write = row(entry)?;
                    match self.shared.adapters.tables.write(LOG_TABLE, vec![write]).await {
                        Ok(results) if matches!(results.first(), Some(WriteResult::Done(_))) => {
                            return Ok(true);
                        }
                        Ok(_) => {}
                        Err(e) => source = e,
                    }
                }
                Err(e) => source = e,
            }
            tokio::time::sleep(RESOLVE_DELAY).await;
        }
        Err(CommitError::Unknown { id: entry.id, source })
    }

    /// Writes a snapshot if one is due. A failure only makes later starts slower.
    async fn write_snapshot(&self, version: Version) {
        if !version.0.is_multiple_of(CHANGES_PER_SNAPSHOT) {
            return;
        }
        let Ok(content) = serde_json::to_vec(&self.shared.config.snapshot().config) else {
            return;
        };
        if let Err(e) = self.shared.adapters.objects.put(SNAPSHOT_OBJECT, content).await {
            warn!("writing the configuration snapshot failed; starting instances use the previous one: {e}");
        }
    }
}

impl Message<Refresh> for Committer {
    type Reply = ();

    async fn handle(&mut self, _: Refresh, _: &mut Context<Self, Self::Reply>) {
        if let Err(e) = self.refresh().await {
            debug!("reading configuration changes failed; retrying at the next refresh: {e}");
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
