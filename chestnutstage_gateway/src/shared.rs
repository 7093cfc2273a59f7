//! State that all parts of an instance share.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError, Weak};
use std::time::Duration;

use chestnutstage_core::budget::RetryBudget;
use chestnutstage_core::pool::Listing;
use chestnutstage_core::quarantine::Quarantine;
use kameo::actor::ActorRef;

use crate::channel::Channels;
use crate::clock::Clock;
use crate::dispatcher::Dispatcher;
use crate::external::{Engines, HeaderFormat, Registry};
use crate::paths::PathWatch;
use crate::peers::Peers;
use crate::settings::Settings;
use crate::store_cache::StoreCache;

/// Age of the operators' rules at which an instance is no longer ready, so that the balancer sends it no more callers.
const RULES_AGE_MAX: Duration = Duration::from_millis(3_200);

/// Adapters of the external systems.
#[derive(Debug, Clone)]
pub struct Adapters {
    /// The platform's store.
    pub registry: Arc<dyn Registry>,
    /// Header names and values.
    pub header_format: Arc<dyn HeaderFormat>,
    /// Control API of the engines.
    pub engines: Arc<dyn Engines>,
}

/// Counts a request or a tunnel in progress until dropped.
pub(crate) struct ActiveWork(Arc<Shared>);

impl ActiveWork {
    pub(crate) fn start(shared: &Arc<Shared>) -> Self {
        shared.running.fetch_add(1, Ordering::Relaxed);
        Self(shared.clone())
    }
}

impl Drop for ActiveWork {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// State that all parts of an instance share.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) adapters: Adapters,
    pub(crate) store_cache: Arc<StoreCache>,
    pub(crate) dispatcher: ActorRef<Dispatcher>,
    /// Whether any endpoint limits its requests.
    pub(crate) limits_known: Arc<AtomicBool>,
    pub(crate) channels: Channels,
    /// Links to the other instances, once they can be opened.
    pub(crate) peers: OnceLock<Weak<Peers>>,
    pub(crate) budget: Mutex<RetryBudget>,
    /// Parts of prompts that end engines.
    pub(crate) quarantine: Mutex<Quarantine>,
    pub(crate) draining: AtomicBool,
    pub(crate) running: AtomicUsize,
    /// Open connections of callers.
    pub(crate) connections: AtomicUsize,
    /// Which endpoints this instance reaches.
    pub(crate) paths: PathWatch,
    /// Control API of the engines over this instance's own paths.
    pub(crate) direct_engines: Arc<dyn Engines>,
    /// Unique name of this run of the process, which prefixes the names of its reservations.
    pub(crate) incarnation: String,
}

impl Shared {
    /// Whether the balancer may send callers to this instance.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining()
            && self.store_cache.directory().is_some()
            && self.store_cache.has_endpoints()
            && self.store_cache.rules_age() < RULES_AGE_MAX
            && !self.has_no_path()
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Whether no request and no tunnel is open.
    pub(crate) fn is_idle(&self) -> bool {
        self.running.load(Ordering::Relaxed) == 0
    }

    /// Whether all callers are disconnected, and with them every response has left.
    pub(crate) fn has_no_callers(&self) -> bool {
        self.connections.load(Ordering::Relaxed) == 0
    }

    /// Number of idle connections that this instance may keep to an endpoint; 0 while its service is unknown.
    pub(crate) fn idle_share(&self, listing: &Listing) -> usize {
        let Some(directory) = self.store_cache.directory() else { return 0 };
        let spec = directory.catalog().services.get(&listing.service);
        spec.map_or(0, |spec| spec.idle_share(listing.slots, self.store_cache.member_count()))
    }

    /// Takes one retry from this instance's share of the budget; returns whether there was one.
    pub(crate) fn take_retry(&self) -> bool {
        let members = self.store_cache.member_count();
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        if members > 0 {
            budget.set_max_saved(self.settings.bounds.retry_share(members));
        }
        budget.retry(0).is_some()
    }

    /// Returns a retry that was taken and not used.
    pub(crate) fn return_retry(&self) {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner).give_back();
    }

    /// Whether this instance's share of the budget holds a retry.
    pub(crate) fn has_retry(&self) -> bool {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner).has_retry()
    }

    /// Adds the retries that a first attempt earns to the budget.
    pub(crate) fn earn_retries(&self) {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner).earn();
    }
}
