//! Paths to the endpoints: opening connections, and telling a lost path from an endpoint that is down.
//!
//! A connection is opened directly. If that fails, or takes longer than usual, peers are asked for one as well, and the
//! first that is open is used. Paths that failed are probed until they carry connections again, with nothing but a
//! connection that is closed at once; until then peers are asked first. An endpoint is reported as failed only if its
//! failure can't be that of this instance's own paths.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chestnutstage_core::paths::{Change, Paths, choose_witnesses};
use chestnutstage_core::pool::{Key, OpenEndpoint};
use futures::FutureExt;
use futures::StreamExt;
use futures::future::{BoxFuture, join_all};
use futures::stream::FuturesUnordered;
use log::{info, warn};
use metrics::{counter, gauge};
use quinn::Connection;
use rand::seq::SliceRandom;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::channel::{ByteStream, CONNECT_TIMEOUT, Channel, Via, open_direct};
use crate::dispatcher::{FindAddress, ListOpen};
use crate::fault::Fault;
use crate::shared::Shared;
use crate::tunnel::open_relayed;

/// Time after which the next way to an endpoint is tried beside those that have not answered; several round trips.
pub(crate) const STAGGER: Duration = Duration::from_millis(100);
/// Peers that are asked for one connection or call.
pub(crate) const RELAYS_ASKED_MAX: usize = 3;
/// Interval between probes while this instance is cut off, or does not know whether it is.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between probes of single endpoints that can't be reached; each is followed by one of another endpoint.
const LOST_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between probes after one has found a lost path restored.
const RETURN_INTERVAL: Duration = Duration::from_millis(20);
/// Other endpoints that are tried to tell a lost path from a failed endpoint.
const WITNESSES: usize = 3;

/// What this instance knows of its paths.
#[derive(Debug, Default)]
pub(crate) struct PathWatch {
    paths: Mutex<Paths>,
    /// Notified when a path has to be probed.
    doubted: Notify,
}

impl PathWatch {
    fn lock(&self) -> MutexGuard<'_, Paths> {
        self.paths.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Shared {
    /// Whether this instance takes itself to be cut off from all endpoints.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.paths.lock().is_cut_off()
    }

    /// Number of times that this instance took itself to be cut off.
    pub(crate) fn cuts(&self) -> u64 {
        self.paths.lock().cuts()
    }

    /// Whether an endpoint is better reached through a peer.
    pub(crate) fn is_lost(&self, key: Key) -> bool {
        self.paths.lock().is_lost(key)
    }

    /// Whether neither this instance nor a peer that it is linked with reaches any endpoint.
    pub(crate) fn has_no_path(&self) -> bool {
        self.paths.lock().is_settled_cut(self.clock.now()) && self.relays().is_empty()
    }

    /// Connections to peers that reach endpoints, as far as is known.
    pub(crate) fn relays(&self) -> Vec<Connection> {
        self.peers().map(|peers| peers.relays()).unwrap_or_default()
    }

    /// Records that a connection to an endpoint was opened.
    pub(crate) fn record_reached(&self, key: Key) {
        let change = self.paths.lock().record_reached(self.clock.now(), key);
        log_change(change);
    }

    async fn record_unreached(&self, key: Key) {
        let open = self.dispatcher.ask(ListOpen).await.unwrap_or_default();
        let change = self.paths.lock().record_failed(self.clock.now(), key, &open);
        log_change(change);
    }

    /// Has the path to an endpoint checked.
    pub(crate) fn suspect_path(&self, key: Key) {
        self.paths.lock().suspect(key);
        self.paths.doubted.notify_one();
    }

    /// Opens a connection directly, and records whether that was possible.
    async fn reach(&self, key: Key, address: SocketAddr) -> io::Result<Box<dyn ByteStream>> {
        match open_direct(address).await {
            Ok(stream) => {
                self.record_reached(key);
                Ok(Box::new(stream))
            }
            Err(e) => {
                self.record_unreached(key).await;
                Err(e)
            }
        }
    }

    /// Opens a connection directly for a request or a check; a failure is followed by probes at once.
    async fn reach_and_doubt(&self, key: Key, address: SocketAddr) -> io::Result<Box<dyn ByteStream>> {
        let reached = self.reach(key, address).await;
        if reached.is_err() {
            self.paths.doubted.notify_one();
        }
        reached
    }

    /// Returns an idle connection to an endpoint, or opens a new one, directly or through a peer. `once` tells that the
    /// request may run only once.
    ///
    /// # Errors
    ///
    /// No connection can be opened; nothing was sent.
    pub(crate) async fn connect(
        self: &Arc<Self>,
        key: Key,
        address: SocketAddr,
        once: bool,
    ) -> io::Result<Channel> {
        let lost = self.is_lost(key);
        if let Some(channel) = self.channels.take_idle(key, once, lost) {
            return Ok(channel);
        }
        let (stream, via) = self.open(key, address, lost).await?;
        Channel::new(stream, via, address).await
    }

    /// Opens a connection to an endpoint; peers are asked first if its path is `lost`.
    async fn open(
        self: &Arc<Self>,
        key: Key,
        address: SocketAddr,
        lost: bool,
    ) -> io::Result<(Box<dyn ByteStream>, Via)> {
        type Opened = io::Result<(Box<dyn ByteStream>, Via)>;
        let relays = self.relays().into_iter().take(RELAYS_ASKED_MAX);
        let mut ways: Vec<BoxFuture<'static, Opened>> = relays
            .map(|peer| {
                open_relayed(peer, key).map(|opened| opened.map(|stream| (stream, Via::Peer))).boxed()
            })
            .collect();
        let shared = self.clone();
        let direct = async move {
            // Goes on if a peer is faster, since its outcome tells whether the path is lost.
            let reaching = tokio::spawn(async move { shared.reach_and_doubt(key, address).await });
            reaching.await.map_err(io::Error::other)?.map(|stream| (stream, Via::Direct))
        };
        ways.insert(if lost { ways.len() } else { 0 }, direct.boxed());
        match timeout(CONNECT_TIMEOUT, first_success(ways, STAGGER)).await {
            Ok(Ok((_, opened))) => Ok(opened),
            Ok(Err(mut failures)) => {
                Err(failures.pop().unwrap_or_else(|| io::ErrorKind::NotConnected.into()))
            }
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Reports a failure of an endpoint, unless it is that of this instance's own paths. Returns at once; the paths are checked in
    /// the background.
    pub(crate) fn report_failure(self: &Arc<Self>, key: Key, fault: Fault) {
        let shared = self.clone();
        tokio::spawn(async move {
            if shared.is_endpoint_fault(key, fault).await {
                shared.record_failure(key, fault).await;
                return;
            }
            info!(endpoint:% = key, fault:%; "failure not booked on the endpoint: its path from here is lost");
            counter!("chestnutstage_path_faults_total", "fault" => fault.to_string()).increment(1);
        });
    }

    /// Whether a failure is that of the endpoint rather than of the path to it.
    async fn is_endpoint_fault(self: &Arc<Self>, key: Key, fault: Fault) -> bool {
        if fault != Fault::Connect {
            let found = self.dispatcher.ask(FindAddress { key, open: false }).await;
            let Ok(Some(address)) = found else { return true };
            match self.open(key, address, false).await {
                Ok((_, Via::Direct)) => return true,
                Ok((_, Via::Peer)) => return false,
                Err(_) => {}
            }
        }
        self.reaches_another(key).await
    }

    /// Whether this instance reaches an endpoint other than the one that it failed to reach. Without another one, nothing speaks
    /// against its paths.
    pub(crate) async fn reaches_another(&self, key: Key) -> bool {
        let mut open = self.dispatcher.ask(ListOpen).await.unwrap_or_default();
        open.shuffle(&mut rand::rng());
        let others = choose_witnesses(open, key, WITNESSES);
        if others.is_empty() {
            return true;
        }
        let ways = others.into_iter().map(|other| self.reach(other.key, other.address).boxed()).collect();
        first_success(ways, Duration::ZERO).await.is_ok()
    }
}

fn log_change(change: Option<Change>) {
    match change {
        Some(Change::CutOff) => {
            warn!("no endpoint can be reached from here; connections go through peers");
            counter!("chestnutstage_cut_offs_total").increment(1);
            gauge!("chestnutstage_cut_off").set(1.0);
        }
        Some(Change::Reconnected(after)) => {
            warn!(cut_ms = after.as_millis() as u64; "endpoints can be reached from here again");
            gauge!("chestnutstage_cut_off").set(0.0);
        }
        None => {}
    }
}

/// Probes paths that failed or are suspect; never returns.
pub(crate) async fn watch(shared: Arc<Shared>) {
    let mut returning = false;
    loop {
        let interval = {
            let paths = shared.paths.lock();
            let is_urgent = paths.is_cut_off() || paths.is_doubtful();
            paths.needs_probes().then_some(match (returning, is_urgent) {
                (true, _) => RETURN_INTERVAL,
                (false, true) => PROBE_INTERVAL,
                (false, false) => LOST_INTERVAL,
            })
        };
        // A new doubt is not left waiting for the interval.
        let doubted = shared.paths.doubted.notified();
        match interval {
            Some(interval) => _ = timeout(interval, doubted).await,
            None => doubted.await,
        }
        let mut open = shared.dispatcher.ask(ListOpen).await.unwrap_or_default();
        let chosen = shared.paths.lock().next_probes(&open);
        open.retain(|endpoint| chosen.contains(&endpoint.key));
        returning = join_all(open.into_iter().map(|endpoint| probe(&shared, endpoint))).await.contains(&true);
    }
}

/// Probes the path to an endpoint; returns whether it was lost and is restored.
async fn probe(shared: &Shared, endpoint: OpenEndpoint) -> bool {
    counter!("chestnutstage_path_probes_total").increment(1);
    let was_lost = shared.is_lost(endpoint.key);
    shared.reach(endpoint.key, endpoint.address).await.is_ok() && was_lost
}

/// Tries several ways, the next one when one has failed or `stagger` has passed. Returns the first success with the
/// position of its way, or all failures.
pub(crate) async fn first_success<T, E>(
    ways: Vec<BoxFuture<'_, Result<T, E>>>,
    stagger: Duration,
) -> Result<(usize, T), Vec<E>> {
    let mut waiting = ways.into_iter().enumerate();
    let mut tried = FuturesUnordered::new();
    let mut failures = Vec::new();
    loop {
        let next = waiting.next();
        let is_last = next.is_none();
        tried.extend(next.map(|(position, way)| way.map(move |outcome| (position, outcome))));
        // The next way starts after a failure, or if none has answered in time.
        let outcome = match (is_last, tried.next()) {
            (true, outcome) => outcome.await,
            (false, outcome) => match timeout(stagger, outcome).await {
                Ok(outcome) => outcome,
                Err(_) => continue,
            },
        };
        match outcome {
            Some((position, Ok(success))) => return Ok((position, success)),
            Some((_, Err(failure))) => failures.push(failure),
            None => return Err(failures),
        }
    }
}
