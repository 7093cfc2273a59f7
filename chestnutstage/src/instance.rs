//! Assembly and life cycle of an instance.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use chestnutstage_config::settings::Settings;
use chestnutstage_core::budget::RetryBudget;
use chestnutstage_core::decision::Decision;
use chestnutstage_core::ids::Incarnation;
use chestnutstage_core::members::{Health, Member, ModelSet};
use chestnutstage_core::pause::PauseDetector;
use chestnutstage_core::route::Router as RouteTable;
use chestnutstage_daemon::tls::{Identity, TlsError};
use kameo::actor::{ActorRef, Spawn};
use log::{info, warn};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use crate::actor::claim_writer::ClaimWriter;
use crate::actor::committer::{Committer, Refresh};
use crate::actor::members::{self, Leave, MembersActor, SetListed};
use crate::actor::owner::{self, IsIdle, OwnerActor};
use crate::call::ServiceClient;
use crate::caller::{self, CallerApi};
use crate::clock::Clock;
use crate::config::ConfigState;
use crate::engine::HttpEndpoints;
use crate::entry::Entry;
use crate::journal::Journal;
use crate::link::{Handler, QuicLink};
use crate::operator::{self, OperatorApi};
use crate::owner_client::OwnerClient;
use crate::ownership;
use crate::peer_server::PeerServer;
use crate::rate_limiter::RateLimiter;
use crate::reclaim;
use crate::shared::{Adapters, Shared, lock};
use crate::store::HttpPlatform;

/// Interval of the state machines' ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Reads of the configuration log per second, over the whole fleet.
const REFRESHES_PER_S: f64 = 8.0;
/// Maximum interval between two reads of the configuration log by one instance.
const REFRESH_INTERVAL_MAX: Duration = Duration::from_mins(2);
/// Interval between reads of the platform's list of instances.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between checks for running work during shutdown.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);
/// Time for sending gossip about the departure before the link closes.
const DEPARTURE_DELAY: Duration = Duration::from_millis(300);

/// Error from starting an instance.
#[derive(Debug, Error)]
pub enum StartError {
    /// The certificates could not be loaded.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// An HTTP client could not be created.
    #[error("cannot create the HTTP client: {0}")]
    Client(#[from] reqwest::Error),
    /// An address could not be bound.
    #[error("cannot bind {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// A secret could not be read.
    #[error("{0}")]
    Secret(String),
}

/// An instance without sockets. The daemon connects it to the network; benches run it on virtual time.
pub struct InstanceCore {
    shared: Arc<Shared>,
    owner: ActorRef<OwnerActor>,
    members: ActorRef<MembersActor>,
    tasks: Vec<JoinHandle<()>>,
    /// HTTP routes for callers and operators.
    pub router: Router,
    /// Handler of peers' requests.
    pub handler: Arc<Handler>,
}

/// A running instance.
pub struct Instance {
    inner: InstanceCore,
    link: Arc<QuicLink>,
    listen: SocketAddr,
    peer: SocketAddr,
    stop: watch::Sender<bool>,
}

/// Returns the metrics of the process; all instances that a test runs share one recorder.
fn metrics() -> &'static PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        let _ = ::metrics::set_global_recorder(recorder);
        handle
    })
}

impl InstanceCore {
    /// Assembles an instance from `adapters` and starts its tasks. Peers reach it at `peer`; `seed` determines all
    /// random choices.
    pub fn new(settings: Settings, adapters: Adapters, peer: SocketAddr, seed: u64) -> Self {
        metrics();
        let shared = shared(settings, adapters, seed);
        let owner = OwnerActor::spawn(OwnerActor::new(shared.clone()));
        let committer = Committer::spawn(Committer::new(shared.clone()));
        let claim_writer = ClaimWriter::spawn(ClaimWriter::new(shared.clone()));
        let me = member(&shared, peer);
        let members = MembersActor::spawn(MembersActor::new(shared.clone(), committer.clone(), me));
        let rate_limiter = Arc::new(RateLimiter::default());
        let owners = OwnerClient { shared: shared.clone(), local: owner.clone() };
        let entry = Entry { shared: shared.clone(), owners };
        let calls = ServiceClient { entry: entry.clone(), claim_writer };
        let handler = Arc::new(PeerServer {
            shared: shared.clone(),
            owner: owner.clone(),
            members: members.clone(),
            rate_limiter: rate_limiter.clone(),
        });
        let callers = CallerApi { shared: shared.clone(), entry, calls, rate_limiter };
        let operators =
            OperatorApi { shared: shared.clone(), committer: committer.clone(), owner: owner.clone() };
        let router = Router::new()
            .merge(caller::routes(callers))
            .merge(operator::routes(operators))
            .merge(health(shared.clone()));
        let tasks = vec![
            tokio::spawn(tick(shared.clone(), owner.clone(), members.clone())),
            tokio::spawn(refresh(shared.clone(), committer)),
            tokio::spawn(list(shared.clone(), members.clone())),
            tokio::spawn(ownership::watch(shared.clone(), owner.clone(), members.clone())),
            tokio::spawn(reclaim::run(shared.clone())),
        ];
        Self { shared, owner, members, tasks, router, handler }
    }

    /// Ends the instance at once, as a crash would.
    pub fn kill(&self) {
        for task in &self.tasks {
            task.abort();
        }
        self.owner.kill();
        self.members.kill();
    }

    async fn wait_drained(&self) {
        while self.shared.open_requests.load(Ordering::Relaxed) > 0
            || !self.owner.ask(IsIdle).await.unwrap_or(true)
        {
            sleep(DRAIN_INTERVAL).await;
        }
    }
}

impl Instance {
    /// Starts an instance, which accepts work once it knows that its configuration is current.
    ///
    /// # Errors
    ///
    /// [`StartError`] if a certificate, a secret, an address or an HTTP client can't be used.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let identity =
            Identity::load(&settings.fleet.authority, &settings.fleet.certificate, &settings.fleet.key)?;
        let link = Arc::new(QuicLink::bind(settings.instance.id.clone(), &identity, settings.instance.peer)?);
        let bind = |source| StartError::Bind { address: settings.instance.peer, source };
        let peer = link.bound_address().map_err(bind)?.address;
        let bind = |source| StartError::Bind { address: settings.instance.listen, source };
        let listener = TcpListener::bind(settings.instance.listen).await.map_err(bind)?;
        let listen = listener.local_addr().map_err(bind)?;
        let adapters = adapters(&settings, link.clone())?;
        let mut inner = InstanceCore::new(settings, adapters, peer, rand::rng().random());
        let stop = watch::Sender::new(false);
        inner.tasks.push(tokio::spawn(link.clone().serve(inner.handler.clone())));
        inner.tasks.push(tokio::spawn(link.clone().report_traffic()));
        inner.tasks.push(tokio::spawn(serve(listener, inner.router.clone(), stop.subscribe())));
        info!(listen:% = listen, peer:% = peer; "instance started");
        Ok(Self { inner, link, listen, peer, stop })
    }

    /// Returns the address for callers and operators.
    pub const fn address(&self) -> SocketAddr {
        self.listen
    }

    /// Returns the address for peers.
    pub const fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Shuts down without interrupting requests: hands its endpoints over, stays in service until the load balancer has
    /// noticed, and waits for running requests to complete.
    pub async fn shutdown(self) {
        info!("shutting down: no longer ready for the load balancer");
        let shared = &self.inner.shared;
        shared.leaving.store(true, Ordering::Relaxed);
        let _ = self.inner.members.ask(Leave(Health::Leaving)).await;
        let timing = shared.settings.timing.clone();
        sleep(timing.balancer.0).await;
        if timeout(timing.shutdown.0, self.inner.wait_drained()).await.is_err() {
            warn!(
                open = shared.open_requests.load(Ordering::Relaxed);
                "shutdown timeout reached; stopping with requests still running"
            );
        }
        self.stop.send_replace(true);
        let _ = self.inner.members.ask(Leave(Health::Left)).await;
        sleep(DEPARTURE_DELAY).await;
        info!("shut down");
        self.kill();
    }

    /// Ends the instance at once, as a crash would.
    pub fn kill(self) {
        self.link.close();
        self.inner.kill();
    }
}

fn adapters(settings: &Settings, link: Arc<QuicLink>) -> Result<Adapters, StartError> {
    let token =
        settings.platform.token.as_ref().map(chestnutstage_config::settings::SecretSource::read).transpose();
    let token = token.map_err(StartError::Secret)?;
    let limit = settings.timing.platform.0;
    let platform = |base: &str| HttpPlatform::new(base, token.clone(), limit);
    let endpoints = HttpEndpoints::new()?;
    Ok(Adapters {
        tables: Arc::new(platform(&settings.platform.tables)?),
        objects: Arc::new(platform(&settings.platform.objects)?),
        instances: Arc::new(platform(&settings.platform.instances)?),
        engines: Arc::new(endpoints.clone()),
        services: Arc::new(endpoints),
        links: link,
    })
}

fn shared(settings: Settings, adapters: Adapters, seed: u64) -> Arc<Shared> {
    let clock = Clock::start();
    let mut rng = StdRng::seed_from_u64(seed);
    let router = RouteTable::new(settings.instance.zone.clone(), rng.random());
    let budget = RetryBudget::new(rng.random());
    Arc::new(Shared {
        clock,
        journal: Journal::new(clock),
        adapters,
        config: ConfigState::new(),
        roster: watch::Sender::default(),
        listing: watch::Sender::default(),
        router: Mutex::new(router),
        budget: Mutex::new(budget),
        rng: Mutex::new(rng),
        serving: Mutex::default(),
        leaving: false.into(),
        open_requests: 0.into(),
        settings,
    })
}

/// Returns this instance's entry in the membership.
///
/// The incarnation is taken from the wall clock, so that it is higher than that of the run before a restart. If the
/// clock went back, the first gossip about the earlier run raises the incarnation.
fn member(shared: &Shared, address: SocketAddr) -> Member {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    Member {
        id: shared.me().clone(),
        zone: shared.settings.instance.zone.clone(),
        address,
        incarnation: Incarnation(since.as_millis() as u64),
        health: Health::Alive,
        models: ModelSet::default(),
    }
}

fn health(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/healthz", get(|| async { "ok" }))
        .route("/readyz", get(ready))
        .route("/metrics", get(|| async { metrics().render() }))
        .with_state(shared)
}

async fn ready(State(shared): State<Arc<Shared>>) -> (StatusCode, &'static str) {
    if shared.is_leaving() {
        return (StatusCode::SERVICE_UNAVAILABLE, "leaving");
    }
    match shared.check_current() {
        Ok(()) => (StatusCode::OK, "ready"),
        Err(_) => (StatusCode::SERVICE_UNAVAILABLE, "the configuration may be out of date"),
    }
}

async fn serve(listener: TcpListener, router: Router, mut stop: watch::Receiver<bool>) {
    let stopped = async move {
        let _ = stop.wait_for(|s| *s).await;
    };
    if let Err(e) = axum::serve(listener, router).with_graceful_shutdown(stopped).await {
        warn!("HTTP server for callers and operators failed: {e}");
    }
}

/// Sends ticks to the state machines, and detects pauses of the process.
async fn tick(shared: Arc<Shared>, owner: ActorRef<OwnerActor>, members: ActorRef<MembersActor>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut detector = PauseDetector::new(shared.clock.now());
    loop {
        ticks.tick().await;
        if let Some(gap) = detector.tick(shared.clock.now()) {
            lock(&shared.config.tracker).reset_assurance();
            shared.journal.record_fleet(Decision::Paused { millis: gap.as_millis() as u64 });
        }
        let _ = owner.tell(owner::Tick).await;
        let _ = members.tell(members::Tick).await;
    }
}

/// Reads the configuration log, at intervals such that the whole fleet reads it [`REFRESHES_PER_S`] times per second.
async fn refresh(shared: Arc<Shared>, committer: ActorRef<Committer>) {
    loop {
        let _ = committer.ask(Refresh).await;
        let instances = shared.roster.borrow().share.map_or(1, |s| s.roster);
        let jitter = lock(&shared.rng).random_range(0.75..1.25);
        let delay = Duration::from_secs_f64(f64::from(instances) / REFRESHES_PER_S * jitter);
        sleep(delay.clamp(TICK_INTERVAL, REFRESH_INTERVAL_MAX)).await;
    }
}

/// Reads the platform's list of instances; until it can be read, the seeds from the settings are used instead.
async fn list(shared: Arc<Shared>, members: ActorRef<MembersActor>) {
    let seeds = shared.settings.fleet.seeds.iter().map(|s| (s.id.clone(), s.peer)).collect();
    let _ = members.tell(SetListed(seeds)).await;
    loop {
        match shared.adapters.instances.list().await {
            Ok(listing) => {
                let _ = members.tell(SetListed(listing.roster())).await;
                if **shared.listing.borrow() != listing {
                    shared.listing.send_replace(Arc::new(listing));
                }
            }
            Err(e) => log::debug!("reading the list of instances failed; keeping the previous list: {e}"),
        }
        sleep(LIST_INTERVAL).await;
    }
}
