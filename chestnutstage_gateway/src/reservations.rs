//! Memory reserved on engines for one prompt.
//!
//! All reservations of a prompt are made at once, or none is kept. They are short and renewed while the request runs, so
//! that those of an instance that dies end by themselves. Dropping them ends the renewal and releases the memory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::future::join_all;
use log::{info, warn};
use metrics::counter;
use tokio::task::JoinHandle;
use tokio::time::{interval, timeout};

use crate::outside::Engines;

/// Lease of a reservation; shorter than the time in which unused memory must be free.
const LEASE: Duration = Duration::from_millis(3_600);
/// Interval of renewals: one may be lost before the lease ends.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_400);
/// Time limit for a reservation before a request is sent.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(250);

/// Number of the next reservation of this process.
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Where memory is wanted, and how many tokens.
#[derive(Debug, Clone)]
pub(crate) struct ReservationRequest {
    pub(crate) address: SocketAddr,
    pub(crate) tokens: u64,
}

#[derive(Debug, Clone)]
struct Reservation {
    name: String,
    wanted: ReservationRequest,
}

/// Reservations of one prompt.
#[derive(Debug)]
pub(crate) struct Reservations {
    engines: Arc<dyn Engines>,
    held: Arc<[Reservation]>,
    renewal: JoinHandle<()>,
}

impl Reservations {
    /// Reserves all that is wanted. `owner` makes the names unique over all processes.
    ///
    /// # Errors
    ///
    /// The addresses that did not grant it; the others were released.
    pub(crate) async fn reserve(
        engines: &Arc<dyn Engines>,
        owner: &str,
        wanted: Vec<ReservationRequest>,
    ) -> Result<Self, Vec<SocketAddr>> {
        let held: Arc<[Reservation]> = wanted
            .into_iter()
            .map(|wanted| Reservation {
                name: format!("{owner}-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed)),
                wanted,
            })
            .collect();
        let renewal = tokio::spawn(renew(engines.clone(), held.clone()));
        let reservations = Self { engines: engines.clone(), held, renewal };
        let asked = reservations.held.iter().map(|h| async move {
            let asked = engines.reserve(h.wanted.address, &h.name, h.wanted.tokens, LEASE);
            match timeout(RESERVE_TIMEOUT, asked).await {
                Ok(Ok(true)) => None,
                Ok(Ok(false)) => Some(h.wanted.address),
                Ok(Err(e)) => {
                    info!("{e}");
                    Some(h.wanted.address)
                }
                Err(_) => {
                    info!(endpoint:% = h.wanted.address; "no answer to a reservation");
                    Some(h.wanted.address)
                }
            }
        });
        let missing: Vec<_> = join_all(asked).await.into_iter().flatten().collect();
        if missing.is_empty() {
            return Ok(reservations);
        }
        counter!("chestnutstage_reservations_failed_total").increment(1);
        Err(missing)
    }

    /// Name of the reservation at an address.
    pub(crate) fn name(&self, address: SocketAddr) -> Option<String> {
        self.held.iter().find(|h| h.wanted.address == address).map(|h| h.name.clone())
    }
}

impl Drop for Reservations {
    fn drop(&mut self) {
        self.renewal.abort();
        let (engines, held) = (self.engines.clone(), self.held.clone());
        tokio::spawn(async move {
            let released = held.iter().map(|h| engines.release(h.wanted.address, &h.name));
            for e in join_all(released).await.into_iter().filter_map(Result::err) {
                // The lease ends it.
                warn!("{e}");
            }
        });
    }
}

async fn renew(engines: Arc<dyn Engines>, held: Arc<[Reservation]>) {
    let mut ticks = interval(RENEWAL_INTERVAL);
    ticks.tick().await;
    loop {
        ticks.tick().await;
        let asked = held.iter().map(|h| engines.reserve(h.wanted.address, &h.name, h.wanted.tokens, LEASE));
        for e in join_all(asked).await.into_iter().filter_map(Result::err) {
            warn!("renewal: {e}");
        }
    }
}
