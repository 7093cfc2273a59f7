//! What all parts of one instance share.

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

/// When a caller is told to come back to a cut-off or leaving instance.
const RETRY_SOON: std::time::Duration = std::time::Duration::from_secs(1);
/// Bits of a request id that count its attempts at engines.
const ATTEMPT_BITS: u32 = 16;

/// Members as last seen.
#[derive(Debug, Clone, Default)]
pub(crate) struct Roster {
    /// All members known.
    pub(crate) members: Vec<Member>,
    /// Part of the roster that is alive.
    pub(crate) share: Option<Share>,
}

impl Roster {
    /// Members that may own endpoints.
    pub(crate) fn owners(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.health.may_own())
    }

    /// Endpoints of `listing` that the instance `me` owns.
    pub(crate) fn owned_by<'a>(
        &'a self,
        me: &'a InstanceId,
        listing: &'a Listing,
    ) -> impl Iterator<Item = &'a Endpoint> {
        let owners: Vec<_> = self.owners().map(|m| (&m.id, &m.zone)).collect();
        let owner = move |e: &Endpoint| rendezvous::owner(e.id.as_str(), &e.zone, owners.iter().copied());
        listing.endpoints.iter().filter(move |e| owner(e) == Some(me))
    }

    /// Address of a member.
    pub(crate) fn target(&self, id: &InstanceId) -> Option<Target> {
        let member = self.members.iter().find(|m| m.id == *id)?;
        Some(Target { id: id.clone(), address: member.address })
    }
}

/// Adapters of everything outside the process.
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
    /// Streams open towards callers.
    pub(crate) open: AtomicUsize,
}

/// Locks a mutex; a panic elsewhere does not spoil plain data.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// This instance's name.
    pub(crate) const fn me(&self) -> &InstanceId {
        &self.settings.instance.id
    }

    /// A new request id, with room for the count of attempts.
    pub(crate) fn request_id(&self) -> RequestId {
        let bits: u128 = lock(&self.rng).random();
        RequestId(bits << ATTEMPT_BITS)
    }

    /// A number that nobody else draws.
    pub(crate) fn nonce(&self) -> Nonce {
        Nonce(lock(&self.rng).random())
    }

    /// Whether the instance is on its way out.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Whether new work may be taken.
    ///
    /// # Errors
    ///
    /// [`Refusal::Isolated`] if the configuration may be out of date.
    pub(crate) fn check_current(&self) -> Result<(), Refusal> {
        if lock(&self.config.tracker).is_current(self.clock.now()) {
            return Ok(());
        }
        Err(Refusal::Isolated { retry: RETRY_SOON })
    }

    /// Whether work may go to an endpoint, by the configuration in force now.
    pub(crate) fn may_use(&self, endpoint: &EndpointId, zone: &ZoneId) -> bool {
        self.check_current().is_ok() && self.config.snapshot().config.in_service(endpoint, zone)
    }
}

/// Counts a request as being served while it lives.
pub(crate) struct ServingGuard {
    shared: Arc<Shared>,
    id: RequestId,
}

impl ServingGuard {
    pub(crate) fn new(shared: &Arc<Shared>, id: RequestId) -> Self {
        lock(&shared.serving).insert(id);
        shared.open.fetch_add(1, Ordering::Relaxed);
        metrics::gauge!("chestnutstage_open_requests").increment(1.0);
        Self { shared: shared.clone(), id }
    }
}

impl Drop for ServingGuard {
    fn drop(&mut self) {
        lock(&self.shared.serving).remove(&self.id);
        self.shared.open.fetch_sub(1, Ordering::Relaxed);
        metrics::gauge!("chestnutstage_open_requests").decrement(1.0);
    }
}
