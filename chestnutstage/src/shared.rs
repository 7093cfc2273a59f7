//! State shared by all parts of an instance.

use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use chestnutstage_config::settings::Settings;
use chestnutstage_core::budget::RetryBudget;
use chestnutstage_core::endpoint::Endpoint;
use chestnutstage_core::ids::{EndpointId, InstanceId, Nonce, RequestId, ZoneId};
use chestnutstage_core::members::Member;
use chestnutstage_core::outcome::Refusal;
use chestnutstage_core::rendezvous;
use chestnutstage_core::route::Router;
use chestnutstage_core::window::Share;
use rand::Rng;
use rand::rngs::StdRng;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::config::ConfigState;
use crate::engine::{EngineSet, ServiceSet};
use crate::journal::Journal;
use crate::link::Links;
use crate::link::message::Target;
use crate::store::{Instances, Listing, Objects, Tables};

/// Retry delay returned to a caller by an isolated instance.
const ISOLATED_RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);
/// Number of low bits of a request id that hold the number of the attempt at an engine.
const ATTEMPT_BITS: u32 = 16;

/// Members as of the last update.
#[derive(Debug, Clone, Default)]
pub(crate) struct Roster {
    /// All members known.
    pub(crate) members: Vec<Member>,
    /// Fraction of the roster that is alive.
    pub(crate) share: Option<Share>,
}

impl Roster {
    /// Returns the members that may own endpoints.
    pub(crate) fn owners(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.health.may_own())
    }

    /// Returns the endpoints in `listing` that the instance `me` owns.
    pub(crate) fn owned_by<'a>(
        &'a self,
        me: &'a InstanceId,
        listing: &'a Listing,
    ) -> impl Iterator<Item = &'a Endpoint> {
        let owners: Vec<_> = self.owners().map(|m| (&m.id, &m.zone)).collect();
        let owner = move |e: &Endpoint| rendezvous::owner(e.id.as_str(), &e.zone, owners.iter().copied());
        listing.endpoints.iter().filter(move |e| owner(e) == Some(me))
    }

    /// Returns the id and address of a member, if it is known.
    pub(crate) fn target(&self, id: &InstanceId) -> Option<Target> {
        let member = self.members.iter().find(|m| m.id == *id)?;
        Some(Target { id: id.clone(), address: member.address })
    }
}

/// Adapters to the systems outside the process.
pub struct Adapters {
    /// The platform's table service.
    pub tables: Arc<Tables>,
    /// The platform's object store.
    pub objects: Arc<Objects>,
    /// The platform's list of instances.
    pub instances: Arc<Instances>,
    /// Model engines.
    pub engines: Arc<EngineSet>,
    /// Plain services.
    pub services: Arc<ServiceSet>,
    /// Links to the other instances.
    pub links: Arc<Links>,
}

/// State that all parts of the instance share.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) journal: Journal,
    pub(crate) adapters: Adapters,
    pub(crate) config: ConfigState,
    pub(crate) roster: watch::Sender<Arc<Roster>>,
    pub(crate) listing: watch::Sender<Arc<Listing>>,
    pub(crate) router: Mutex<Router>,
    pub(crate) budget: Mutex<RetryBudget>,
    pub(crate) rng: Mutex<StdRng>,
    /// Requests that this instance serves as their entry.
    pub(crate) serving: Mutex<HashSet<RequestId>>,
    pub(crate) leaving: AtomicBool,
    /// Number of requests in `serving`.
    pub(crate) open_requests: AtomicUsize,
}

/// Locks a mutex and ignores poisoning, because a panic elsewhere does not invalidate plain data.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// Returns the id of this instance.
    pub(crate) const fn me(&self) -> &InstanceId {
        &self.settings.instance.id
    }

    /// Returns a new request id, whose low bits are free for the number of the attempt.
    pub(crate) fn request_id(&self) -> RequestId {
        let bits: u128 = lock(&self.rng).random();
        RequestId(bits << ATTEMPT_BITS)
    }

    /// Returns a random number that serves as a unique id.
    pub(crate) fn nonce(&self) -> Nonce {
        Nonce(lock(&self.rng).random())
    }

    /// Returns whether the instance is shutting down.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Checks that new work may be accepted.
    ///
    /// # Errors
    ///
    /// [`Refusal::Isolated`] if the configuration may be out of date.
    pub(crate) fn check_current(&self) -> Result<(), Refusal> {
        if lock(&self.config.tracker).is_current(self.clock.now()) {
            return Ok(());
        }
        Err(Refusal::Isolated { retry: ISOLATED_RETRY_AFTER })
    }

    /// Returns whether the configuration in force permits work on an endpoint.
    pub(crate) fn may_use(&self, endpoint: &EndpointId, zone: &ZoneId) -> bool {
        self.check_current().is_ok() && self.config.snapshot().config.in_service(endpoint, zone)
    }
}

/// Counts a request as being served until it is dropped.
pub(crate) struct ServingGuard {
    shared: Arc<Shared>,
    id: RequestId,
}

impl ServingGuard {
    pub(crate) fn new(shared: &Arc<Shared>, id: RequestId) -> Self {
        lock(&shared.serving).insert(id);
        shared.open_requests.fetch_add(1, Ordering::Relaxed);
        metrics::gauge!("chestnutstage_open_requests").increment(1.0);
        Self { shared: shared.clone(), id }
    }
}

impl Drop for ServingGuard {
    fn drop(&mut self) {
        lock(&self.shared.serving).remove(&self.id);
        self.shared.open_requests.fetch_sub(1, Ordering::Relaxed);
        metrics::gauge!("chestnutstage_open_requests").decrement(1.0);
    }
}
