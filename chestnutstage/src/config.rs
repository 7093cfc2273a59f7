//! The operators' configuration in this instance.
//!
//! Changes form a log in the platform's table service, one row a version. A row is inserted only if there is none, so
//! that of two offices that race one wins and the other sees what the winner did. Every instance applies the log in
//! order; versions never go back.

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

/// Changes kept at hand for peers that lag.
const TAIL: usize = 1_024;

/// A version of the configuration, indexed for use.
#[derive(Debug, Default)]
pub struct Snapshot {
    pub(crate) config: FleetConfig,
    keys: HashMap<KeyHash, CustomerId>,
    contracts: HashMap<CustomerId, Contract>,
    capacities: HashMap<EndpointId, Capacity>,
}

impl Snapshot {
    /// Indexes a configuration.
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
    /// The look-up is by hash, so that its time says nothing about the key; the match is checked in constant time.
    pub(crate) fn customer(&self, key: &str) -> Option<&CustomerId> {
        let hash = KeyHash::of(key);
        let id = self.keys.get(&hash)?;
        self.config.customers.get(id).filter(|c| c.key.matches(&hash)).map(|_| id)
    }

    /// Contract of `customer`.
    pub(crate) fn contract(&self, customer: &CustomerId) -> &Contract {
        self.contracts.get(customer).unwrap_or(&self.config.defaults.contract)
    }

    /// Capacity set for `endpoint` by an exception.
    pub(crate) fn capacity(&self, endpoint: &EndpointId) -> Option<Capacity> {
        self.capacities.get(endpoint).copied()
    }
}

/// Configuration in force in this instance.
#[derive(Debug)]
pub(crate) struct ConfigState {
    current: watch::Sender<Arc<Snapshot>>,
    pub(crate) tracker: Mutex<VersionTracker>,
    tail: Mutex<VecDeque<LogEntry>>,
}

impl ConfigState {
    pub(crate) fn new() -> Self {
        Self { current: watch::Sender::default(), tracker: Mutex::default(), tail: Mutex::default() }
    }

    /// The version in force, with all its values.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.current.borrow().clone()
    }

    /// Hears of each version that comes into force.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.current.subscribe()
    }

    /// Version in force.
    pub(crate) fn version(&self) -> Version {
        lock(&self.tracker).version()
    }

    /// Puts changes in force, oldest first; what is not next is passed over.
    pub(crate) fn apply(&self, entries: &[LogEntry], journal: &Journal) -> Version {
        let mut tail = lock(&self.tail);
        let mut config = self.snapshot().config.clone();
        let before = config.version;
        for entry in entries {
            if entry.version != config.version.next() {
                continue;
            }
            if let Err(e) = config.apply(entry) {
                warn!(version:% = entry.version; "change passed over: {e}");
                break;
            }
            tail.push_back(entry.clone());
        }
        let excess = tail.len().saturating_sub(TAIL);
        tail.drain(..excess);
        if config.version > before {
            self.put(config, journal);
        }
        self.version()
    }

    /// Puts a whole configuration in force if it is newer.
    pub(crate) fn replace(&self, config: FleetConfig, journal: &Journal) {
        let mut tail = lock(&self.tail);
        if config.version > self.version() {
            tail.clear();
            self.put(config, journal);
        }
    }

    /// Changes after `after`, or the whole configuration if they are not all at hand.
    pub(crate) fn changes(&self, after: Version, now: chestnutstage_core::time::Time) -> Reply {
        let tail = lock(&self.tail);
        let version = self.version();
        let entries: Vec<_> = tail.iter().filter(|e| e.version > after).collect();
        let complete = after >= version || entries.first().is_some_and(|e| e.version == after.next());
        let whole = (!complete).then(|| serde_json::to_string(&self.snapshot().config).ok()).flatten();
        let entries = if complete { entries } else { Vec::new() };
        let entries = entries.into_iter().filter_map(|e| serde_json::to_string(e).ok()).collect();
        Reply::Changes { entries, whole, fresh: lock(&self.tracker).fresh(now) }
    }

    /// Changes at hand after `after`.
    pub(crate) fn recent_changes(&self, after: Version) -> Vec<LogEntry> {
        lock(&self.tail).iter().filter(|e| e.version > after).cloned().collect()
    }

    fn put(&self, config: FleetConfig, journal: &Journal) {
        let version = config.version;
        self.current.send_replace(Arc::new(Snapshot::new(config)));
        lock(&self.tracker).apply(version);
        metrics::gauge!("chestnutstage_config_version").set(version.0 as f64);
        journal.fleet(Decision::Applied { version });
    }
}
