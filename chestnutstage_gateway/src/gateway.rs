//! Construction, startup and shutdown of a gateway instance.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use chestnutstage_core::budget::RetryBudget;
use chestnutstage_core::quarantine::Quarantine;
use kameo::actor::Spawn;
use kameo::mailbox;
use log::{info, warn};
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, interval, sleep};

use crate::channel::Channels;
use crate::clock::Clock;
use crate::dispatcher::Dispatcher;
use crate::engine_access::EngineAccess;
use crate::external::{Member, Topic};
use crate::identity::{LinkError, generate_identity};
use crate::paths::PathWatch;
use crate::peers::Peers;
use crate::settings::Settings;
use crate::shared::{Adapters, Shared};
use crate::store_cache::StoreCache;
use crate::store_watcher::StoreWatcher;
use crate::{checks, listener, load_reports, paths};

/// Delay before a failed call to the store is retried at startup.
const START_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Delay before binding the port for links is tried again.
const BIND_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time for which a draining instance still accepts connections: the balancer keeps sending until it sees that the
/// instance is not ready.
const DRAIN_DELAY: Duration = Duration::from_millis(2_600);
/// Part of the grace period that is reserved for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Interval at which expired idle connections are closed and expired records of crashes are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a shutdown checks whether all requests have ended.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Age from which a registration is not lost when the store comes back from a copy, which is some seconds old.
const REGISTRATION_SAFE_AGE: Duration = Duration::from_mins(1);
/// Longest random delay of a repeated registration.
const REGISTRATION_JITTER: Duration = Duration::from_millis(500);
/// Number of instances among which the retry budget is divided until the members are known.
const ASSUMED_INSTANCES: usize = 16;

/// Why an instance can't start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A port can't be bound.
    #[error("can't bind {address}: {source}")]
    Bind {
        /// Address of the port.
        address: SocketAddr,
        /// Cause of the failure.
        source: io::Error,
    },
    /// The metrics can't be set up.
    #[error("can't install the metrics recorder: {0}")]
    Metrics(#[from] BuildError),
    /// The links to the other instances can't be set up.
    #[error("can't set up the links to the other instances: {0}")]
    Link(#[from] LinkError),
}

/// A running gateway instance.
pub struct Gateway {
    shared: Arc<Shared>,
    closing: watch::Sender<bool>,
    peers: Arc<Mutex<Option<Arc<Peers>>>>,
    addresses: ListenAddresses,
}

/// Addresses on which an instance listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness, metrics and the state dump.
    pub checks: SocketAddr,
}

/// Metrics recorder of the process, which all instances in it share.
static RECORDER: Mutex<Option<PrometheusHandle>> = Mutex::new(None);

fn recorder() -> Result<PrometheusHandle, BuildError> {
    let mut recorder = RECORDER.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(handle) = &*recorder {
        return Ok(handle.clone());
    }
    let handle = PrometheusBuilder::new().install_recorder()?;
    Ok(recorder.insert(handle).clone())
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, StartError> {
    let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
    listener.local_addr().map_err(|source| StartError::Bind { address: unknown, source })
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|source| StartError::Bind { address, source })
}

impl Gateway {
    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// [`StartError`] if a port can't be bound or the metrics recorder can't be installed.
    pub async fn start(settings: Settings, adapters: Adapters) -> Result<Self, StartError> {
        let metrics = recorder()?;
        let callers = bind(settings.listen.callers).await?;
        let checks = bind(settings.listen.checks).await?;
        let addresses =
            ListenAddresses { callers: local_address(&callers)?, checks: local_address(&checks)? };
        let clock = Clock::start();
        let granted = Arc::new(Notify::new());
        let dispatcher = Dispatcher::new(
            settings.instance.name.clone(),
            settings.instance.zone.clone(),
            clock,
            settings.bounds.clone(),
            settings.admission.waiting,
            granted.clone(),
        );
        let limits_known = dispatcher.limits_known();
        let dispatcher = Dispatcher::spawn_with_mailbox(dispatcher, mailbox::unbounded());
        let incarnation = format!("{}-{:08x}", settings.instance.name, rand::random::<u32>());
        info!(callers:% = settings.listen.callers, zone:% = settings.instance.zone; "instance starting");
        let budget = retry_budget(&settings);
        let name = settings.instance.name.clone();
        let direct_engines = adapters.engines.clone();
        let shared = Arc::new_cyclic(|shared| Shared {
            settings,
            clock,
            adapters: Adapters { engines: Arc::new(EngineAccess::new(shared.clone())), ..adapters },
            paths: PathWatch::default(),
            direct_engines,
            store_cache: Arc::new(StoreCache::new(clock, dispatcher.clone(), name.clone())),
            dispatcher,
            limits_known,
            channels: Channels::default(),
            peers: OnceLock::new(),
            budget: Mutex::new(budget),
            quarantine: Mutex::new(Quarantine::new(name.clone())),
            draining: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            incarnation,
        });
        let (closing, closed) = watch::channel(false);
        let peers = Arc::new(Mutex::new(None));
        tokio::spawn(listener::serve(shared.clone(), callers, closed));
        serve_checks(&shared, checks, metrics).await;
        for topic in Topic::ALL {
            tokio::spawn(store_watcher(&shared, topic).run());
        }
        tokio::spawn(sweep(shared.clone()));
        tokio::spawn(paths::watch(shared.clone()));
        tokio::spawn(connect_peers(shared.clone(), granted, peers.clone()));
        Ok(Self { shared, closing, peers, addresses })
    }

    /// Addresses on which the instance listens.
    pub const fn listen_addresses(&self) -> ListenAddresses {
        self.addresses
    }

    /// Stops accepting callers, waits up to the grace period until all responses have left, and leaves the members.
    pub async fn shutdown(self) {
        let started = Instant::now();
        let grace = self.shared.settings.bounds.grace().saturating_sub(EXIT_MARGIN);
        info!(running = self.shared.running.load(Ordering::Relaxed); "shutting down");
        self.shared.draining.store(true, Ordering::Relaxed);
        let shared = self.shared.clone();
        tokio::spawn(async move {
            if let Err(e) = shared.adapters.registry.leave(&shared.settings.instance.name).await {
                warn!("can't remove this instance from the store: {e}");
            }
        });
        sleep(DRAIN_DELAY.min(grace)).await;
        self.closing.send_replace(true);
        while !(self.shared.is_idle() && self.shared.has_no_callers()) && started.elapsed() < grace {
            sleep(IDLE_POLL_INTERVAL).await;
        }
        let peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let Some(peers) = peers {
            peers.leave().await;
        }
        sleep(IDLE_POLL_INTERVAL).await;
        info!(running = self.shared.running.load(Ordering::Relaxed); "instance stopped");
    }
}

fn retry_budget(settings: &Settings) -> RetryBudget {
    let bounds = &settings.bounds;
    RetryBudget::with_limits(rand::random(), bounds.retry_ratio(), bounds.retry_share(ASSUMED_INSTANCES))
}

fn store_watcher(shared: &Shared, topic: Topic) -> StoreWatcher {
    StoreWatcher {
        topic,
        registry: shared.adapters.registry.clone(),
        store_cache: shared.store_cache.clone(),
        clock: shared.clock,
        first_start: shared.settings.instance.first_start,
    }
}

async fn serve_checks(shared: &Arc<Shared>, listener: TcpListener, metrics: PrometheusHandle) {
    let router = checks::router(shared.clone(), metrics);
    if let Some(port) = shared.settings.listen.metrics {
        let address = SocketAddr::new(IpAddr::V4(shared.settings.instance.ip), port);
        match bind(address).await {
            Ok(extra) => _ = tokio::spawn(axum::serve(extra, router.clone()).into_future()),
            Err(e) => warn!("metrics are served at the checks address only: {e}"),
        }
    }
    tokio::spawn(axum::serve(listener, router).into_future());
}

async fn sweep(shared: Arc<Shared>) {
    let mut ticks = interval(SWEEP_INTERVAL);
    loop {
        ticks.tick().await;
        shared.channels.sweep();
        shared.sweep_quarantine();
    }
}

/// Opens the links to the other instances and registers this one in the store.
async fn connect_peers(shared: Arc<Shared>, granted: Arc<Notify>, slot: Arc<Mutex<Option<Arc<Peers>>>>) {
    let identity = match generate_identity() {
        Ok(fresh) => shared_identity(&shared, &fresh).await,
        Err(e) => {
            warn!(
                "can't open links to the other instances; running without peers, not registered in the store: {e}"
            );
            return;
        }
    };
    let address = SocketAddr::new(IpAddr::V4(shared.settings.instance.ip), shared.settings.listen.peers);
    let peers = loop {
        match Peers::bind(shared.clone(), &identity, address) {
            Ok(peers) => break Arc::new(peers),
            Err(e) => warn!("can't open links to the other instances, retrying: {e}"),
        }
        sleep(BIND_RETRY_DELAY).await;
    };
    shared.peers.get_or_init(|| Arc::downgrade(&peers));
    *slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(peers.clone());
    let instance = &shared.settings.instance;
    let address = peers.address().unwrap_or(address);
    let member = Member {
        id: instance.name.clone(),
        zone: instance.zone.clone(),
        address,
        capacity: instance.capacity(),
    };
    tokio::spawn(peers.clone().accept());
    tokio::spawn(peers.clone().dial());
    tokio::spawn(peers.clone().gossip(granted));
    tokio::spawn(load_reports::run(shared.clone(), peers));
    register(&shared, &member).await;
    let mut registered = Instant::now();
    loop {
        shared.store_cache.restored.notified().await;
        if shared.is_draining() {
            return;
        }
        if registered.elapsed() > REGISTRATION_SAFE_AGE {
            continue;
        }
        sleep(REGISTRATION_JITTER.mul_f64(rand::random())).await;
        // A new instance must not store another certificate while this one is missing.
        shared_identity(&shared, &identity).await;
        register(&shared, &member).await;
        registered = Instant::now();
    }
}

/// Registers this instance in the store; retries until that has succeeded.
async fn register(shared: &Shared, member: &Member) {
    while let Err(e) = shared.adapters.registry.join(member).await {
        info!("can't register this instance in the store, retrying: {e}");
        sleep(START_RETRY_DELAY).await;
    }
}

/// Certificate that the store holds for all instances; stores `fresh` if there is none.
async fn shared_identity(shared: &Shared, fresh: &str) -> String {
    loop {
        match shared.adapters.registry.secret(fresh).await {
            Ok(stored) => return stored,
            Err(e) => info!("can't read the shared certificate from the store, retrying: {e}"),
        }
        sleep(START_RETRY_DELAY).await;
    }
}
