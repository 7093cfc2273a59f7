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

use crate::external::Engines;

/// Lease of a reservation; shorter than the time in which unused memory must be free.
const HOLD: Duration = Duration::from_millis(3_600);
/// Interval of renewals: one may be lost before the lease ends.
const RENEWAL: Duration = Duration::from_millis(1_400);
/// Time limit for a reservation before a request is sent.
const RESERVE_LIMIT: Duration = Duration::from_millis(250);

/// Number of the next reservation of this process.
static NEXT: AtomicU64 = AtomicU64::new(1);

/// Where memory is wanted, and how many tokens.
#[derive(Debug, Clone)]
pub(crate) struct Wanted {
    pub(crate) address: SocketAddr,
    pub(crate) tokens: u64,
}

#[derive(Debug, Clone)]
struct Held {
    name: String,
    wanted: Wanted,
}

/// Reservations of one prompt.
#[derive(Debug)]
pub(crate) struct Tickets {
    engines: Arc<dyn Engines>,
    held: Arc<[Held]>,
    renewal: JoinHandle<()>,
}

impl Tickets {
    /// Reserves all that is wanted. `owner` makes the names unique over all processes.
    ///
    /// # Errors
    ///
    /// The addresses that did not grant it; the others were released.
    pub(crate) async fn reserve(
        engines: &Arc<dyn Engines>,
        owner: &str,
        wanted: Vec<Wanted>,
    ) -> Result<Self, Vec<SocketAddr>> {
        let held: Arc<[Held]> = wanted
            .into_iter()
            .map(|wanted| Held { name: format!("{owner}-{}", NEXT.fetch_add(1, Ordering::Relaxed)), wanted })
            .collect();
        let renewal = tokio::spawn(renew(engines.clone(), held.clone()));
        let tickets = Self { engines: engines.clone(), held, renewal };
        let asked = tickets.held.iter().map(|h| async move {
            let asked = engines.reserve(h.wanted.address, &h.name, h.wanted.tokens, HOLD);
            match timeout(RESERVE_LIMIT, asked).await {
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
            return Ok(tickets);
        }
        counter!("chestnutstage_reservations_failed_total").increment(1);
        Err(missing)
    }

    /// Name of the reservation at an address.
    pub(crate) fn name(&self, address: SocketAddr) -> Option<String> {
        self.held.iter().find(|h| h.wanted.address == address).map(|h| h.name.clone())
    }
}

impl Drop for Tickets {
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

async fn renew(engines: Arc<dyn Engines>, held: Arc<[Held]>) {
    let mut ticks = interval(RENEWAL);
    ticks.tick().await;
    loop {
        ticks.tick().await;
        let asked = held.iter().map(|h| engines.reserve(h.wanted.address, &h.name, h.wanted.tokens, HOLD));
        for e in join_all(asked).await.into_iter().filter_map(Result::err) {
            warn!("renewal: {e}");
        }
    }
}
