//! KV memory reserved on engines for one prompt.
//!
//! The reservations of a prompt are made concurrently; if one fails, all are released. Each has a short lease, renewed
//! while the request runs, so that the reservations of an instance that dies expire on their own. Dropping
//! [`Reservations`] stops the renewal and releases the memory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::future::join_all;
use log::{info, warn};
use metrics::counter;
use tokio::task::JoinHandle;
use tokio::time::{interval, timeout};

use crate::external::Engines;

/// Lease of a reservation; shorter than the time within which unused memory has to be free again.
const LEASE: Duration = Duration::from_millis(3_600);
/// Interval of renewals; one may be lost before the lease expires.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_400);
/// Timeout of a reservation that is made before a request is sent.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(250);

/// Id of the next reservation of this process.
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Address of the engine and the number of tokens to reserve there.
#[derive(Debug, Clone)]
pub(crate) struct ReservationRequest {
    pub(crate) address: SocketAddr,
    pub(crate) tokens: u64,
}

#[derive(Debug, Clone)]
struct Reservation {
    name: String,
    request: ReservationRequest,
}

/// Reservations of one prompt; renewed until dropped.
#[derive(Debug)]
pub(crate) struct Reservations {
    engines: Arc<dyn Engines>,
    held: Arc<[Reservation]>,
    renewal: JoinHandle<()>,
}

impl Reservations {
    /// Makes all reservations. `incarnation` makes their names unique across processes.
    ///
    /// # Errors
    ///
    /// Returns the addresses of the engines that did not confirm. All reservations are released.
    pub(crate) async fn reserve(
        engines: &Arc<dyn Engines>,
        incarnation: &str,
        requests: Vec<ReservationRequest>,
    ) -> Result<Self, Vec<SocketAddr>> {
        let held: Arc<[Reservation]> = requests
            .into_iter()
            .map(|request| Reservation {
                name: format!("{incarnation}-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed)),
                request,
            })
            .collect();
        let renewal = tokio::spawn(renew(engines.clone(), held.clone()));
        let reservations = Self { engines: engines.clone(), held, renewal };
        let pending = reservations.held.iter().map(|h| async move {
            let reserving = engines.reserve(h.request.address, &h.name, h.request.tokens, LEASE);
            match timeout(RESERVE_TIMEOUT, reserving).await {
                Ok(Ok(true)) => None,
                Ok(Ok(false)) => Some(h.request.address),
                Ok(Err(e)) => {
                    info!("KV memory not reserved: {e}");
                    Some(h.request.address)
                }
                Err(_) => {
                    info!(endpoint:% = h.request.address; "KV memory not reserved: no response in time");
                    Some(h.request.address)
                }
            }
        });
        let failed: Vec<_> = join_all(pending).await.into_iter().flatten().collect();
        if failed.is_empty() {
            return Ok(reservations);
        }
        counter!("chestnutstage_reservations_failed_total").increment(1);
        Err(failed)
    }

    /// Name of the reservation at an address.
    pub(crate) fn name(&self, address: SocketAddr) -> Option<String> {
        self.held.iter().find(|h| h.request.address == address).map(|h| h.name.clone())
    }
}

impl Drop for Reservations {
    fn drop(&mut self) {
        self.renewal.abort();
        let (engines, held) = (self.engines.clone(), self.held.clone());
        tokio::spawn(async move {
            let released = held.iter().map(|h| engines.release(h.request.address, &h.name));
            for e in join_all(released).await.into_iter().filter_map(Result::err) {
                warn!("KV memory not released; it is freed when its lease expires: {e}");
            }
        });
    }
}

async fn renew(engines: Arc<dyn Engines>, held: Arc<[Reservation]>) {
    let mut ticks = interval(RENEWAL_INTERVAL);
    ticks.tick().await;
    loop {
        ticks.tick().await;
        let renewals =
            held.iter().map(|h| engines.reserve(h.request.address, &h.name, h.request.tokens, LEASE));
        for e in join_all(renewals).await.into_iter().filter_map(Result::err) {
            warn!("reservation not renewed; its lease may expire: {e}");
        }
    }
}
