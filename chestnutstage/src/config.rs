//! The operators' configuration, as applied by this instance.
//!
//! Changes form a log in the platform's table service, one row per version. A row is inserted only if the version has
//! none yet, so that of two concurrent changes one wins and the office that made the other sees the winning change.
//! Every instance applies the log in order; the applied version never decreases.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};

use chestnutstage_config::fleet::{FleetConfig, LogEntry, Rule};
use chestnutstage_config::key::KeyHash;
use chestnutstage_core::contract::Contract;
use chestnutstage_core::decision::Decision;
use chestnutstage_core::ids::{CustomerId, EndpointId, Version};
use chestnutstage_core::rollout::VersionTracker;
use chestnutstage_core::window::Capacity;
use log::warn;
use tokio::sync::watch;

use crate::journal::Journal;
use crate::link::message::Reply;
use crate::shared::lock;

/// Number of recent changes kept in memory for peers that lag behind.
const RECENT_CHANGES_MAX: usize = 1_024;

/// One version of the configuration, indexed for look-ups.
#[derive(Debug, Default)]
pub struct Snapshot {
    pub(crate) config: FleetConfig,
    keys: HashMap<KeyHash, CustomerId>,
    contracts: HashMap<CustomerId, Contract>,
    capacities: HashMap<EndpointId, Capacity>,
}

impl Snapshot {
    /// Indexes `config`.
    pub fn new(config: FleetConfig) -> Self {
        let keys = config.customers.iter().map(|(id, c)| (c.key.clone(), id.clone())).collect();
        let (mut contracts, mut capacities) = (HashMap::new(), HashMap::new());
        for exception in config.exceptions.values() {
            match &exception.rule {
                Rule::Contract { customer, contract } => {
                    contracts.insert(customer.clone(), contract.clone());
                }
                Rule::Capacity { endpoint, capacity } => {
                    capacities.insert(endpoint.clone(), *capacity);
                }
            }
        }
        Self { config, keys, contracts, capacities }
    }

    /// Customer that `key` belongs to.
    ///
    /// The look-up is by hash, so that its duration reveals nothing about the key; the match is verified in constant
    /// time.
    pub(crate) fn customer(&self, key: &str) -> Option<&CustomerId> {
        let hash = KeyHash::of(key);
        let id = self.keys.get(&hash)?;
        self.config.customers.get(id).filter(|c| c.key.matches(&hash)).map(|_| id)
    }

    /// Contract of `customer`.
    pub(crate) fn contract(&self, customer: &CustomerId) -> &Contract {
        self.contracts.get(customer).unwrap_or(&self.config.defaults.contract)
    }

    /// Capacity of `endpoint` set by an exception, if any.
    pub(crate) fn capacity(&self, endpoint: &EndpointId) -> Option<Capacity> {
        self.capacities.get(endpoint).copied()
    }
}

/// Configuration in force on this instance.
#[derive(Debug)]
pub(crate) struct ConfigState {
    current: watch::Sender<Arc<Snapshot>>,
    pub(crate) tracker: Mutex<VersionTracker>,
    recent: Mutex<VecDeque<LogEntry>>,
}

impl ConfigState {
    pub(crate) fn new() -> Self {
        Self { current: watch::Sender::default(), tracker: Mutex::default(), recent: Mutex::default() }
    }

    /// Returns the configuration in force.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.current.borrow().clone()
    }

    /// Returns a receiver that is notified when a new version comes into force.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.current.subscribe()
    }

    /// Returns the version in force.
    pub(crate) fn version(&self) -> Version {
        lock(&self.tracker).version()
    }

    /// Applies changes, oldest first; a change that is not the next version is skipped.
    pub(crate) fn apply(&self, entries: &[LogEntry], journal: &Journal) -> Version {
        let mut recent = lock(&self.recent);
        let mut config = self.snapshot().config.clone();
        let before = config.version;
        for entry in entries {
            if entry.version != config.version.next() {
                continue;
            }
            if let Err(e) = config.apply(entry) {
                warn!(version:% = entry.version; "could not apply configuration change; keeping version {}: {e}", config.version);
                break;
            }
            recent.push_back(entry.clone());
        }
        let excess = recent.len().saturating_sub(RECENT_CHANGES_MAX);
        recent.drain(..excess);
        if config.version > before {
            self.publish(config, journal);
        }
        self.version()
    }

    /// Replaces the configuration if `config` is newer.
    pub(crate) fn replace(&self, config: FleetConfig, journal: &Journal) {
        let mut recent = lock(&self.recent);
        if config.version > self.version() {
            recent.clear();
            self.publish(config, journal);
        }
    }

    /// Changes after `after`, or the whole configuration if some of them are no longer in memory.
    pub(crate) fn changes(&self, after: Version, now: chestnutstage_core::time::Time) -> Reply {
        let recent = lock(&self.recent);
        let version = self.version();
        let entries: Vec<_> = recent.iter().filter(|e| e.version > after).collect();
        let complete = after >= version || entries.first().is_some_and(|e| e.version == after.next());
        let whole = (!complete).then(|| serde_json::to_string(&self.snapshot().config).ok()).flatten();
        let entries = if complete { entries } else { Vec::new() };
        let entries = entries.into_iter().filter_map(|e| serde_json::to_string(e).ok()).collect();
        Reply::Changes { entries, whole, fresh: lock(&self.tracker).fresh(now) }
    }

    /// Changes after `after` that are still in memory.
    pub(crate) fn recent_changes(&self, after: Version) -> Vec<LogEntry> {
        lock(&self.recent).iter().filter(|e| e.version > after).cloned().collect()
    }

    fn publish(&self, config: FleetConfig, journal: &Journal) {
        let version = config.version;
        self.current.send_replace(Arc::new(Snapshot::new(config)));
        lock(&self.tracker).apply(version);
        metrics::gauge!("chestnutstage_config_version").set(version.0 as f64);
        journal.record_fleet(Decision::Applied { version });
    }
}
