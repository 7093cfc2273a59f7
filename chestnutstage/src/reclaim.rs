//! Reclaims orphaned reservations of KV memory on engines.
//!
//! The name of a reservation contains its holder, the request (unique across restarts of the holder) and the segment.
//! The owner of an engine periodically lists the engine's reservations and frees those whose TTL has expired or whose
//! holder no longer needs them, so that neither a lost message nor a dead instance leaks memory.

use std::sync::Arc;
use std::time::Duration;

use chestnutstage_core::decision::Decision;
use chestnutstage_core::endpoint::{Endpoint, Kind};
use chestnutstage_core::members::Health;
use chestnutstage_core::reservation::{Disposition, HolderState, ReservationName};
use log::debug;
use tokio::time::sleep;

use crate::engine::KvReservation;
use crate::link::message::{Reply, Request};
use crate::shared::{Shared, lock};

/// Interval between checks of the engines.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of a query to the holder of a reservation.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(500);

/// Periodically frees orphaned reservations on the engines that this instance owns; never returns.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        for engine in owned_engines(&shared) {
            reclaim_on(&shared, &engine).await;
        }
    }
}

fn owned_engines(shared: &Shared) -> Vec<Endpoint> {
    let roster = shared.roster.borrow().clone();
    let listing = shared.listing.borrow().clone();
    roster.owned_by(shared.me(), &listing).filter(|e| e.kind == Kind::Engine).cloned().collect()
}

async fn reclaim_on(shared: &Arc<Shared>, engine: &Endpoint) {
    let reservations = match shared.adapters.engines.reservations(&engine.address).await {
        Ok(reservations) => reservations,
        Err(e) => return debug!("listing reservations failed; retrying at the next check: {e}"),
    };
    for (name, reservation) in reservations {
        if disposition(shared, &name, &reservation).await == Disposition::Free {
            free(shared, engine, &name).await;
        }
    }
}

/// Whether to keep or to free a reservation.
async fn disposition(shared: &Shared, name: &str, reservation: &KvReservation) -> Disposition {
    // A reservation whose name was not made by this system belongs to another client of the engine.
    let Some(name) = ReservationName::parse(name) else {
        return Disposition::Keep;
    };
    let holder = holder_state(shared, &name).await;
    name.disposition(holder, Duration::from_millis(reservation.age), Duration::from_millis(reservation.ttl))
}

async fn holder_state(shared: &Shared, name: &ReservationName) -> HolderState {
    if name.holder == *shared.me() {
        return if lock(&shared.serving).contains(&name.request) {
            HolderState::Serving
        } else {
            HolderState::Ended
        };
    }
    let roster = shared.roster.borrow().clone();
    let Some(member) = roster.members.iter().find(|m| m.id == name.holder) else {
        return HolderState::Gone;
    };
    if matches!(member.health, Health::Dead | Health::Left) {
        return HolderState::Gone;
    }
    let Some(target) = roster.target(&name.holder) else {
        return HolderState::Unknown;
    };
    match shared.adapters.links.call(&target, Request::Knows { request: name.request }, HOLDER_TIMEOUT).await
    {
        Ok(Reply::Known(true)) => HolderState::Serving,
        Ok(Reply::Known(false)) => HolderState::Ended,
        _ => HolderState::Unknown,
    }
}

async fn free(shared: &Shared, engine: &Endpoint, name: &str) {
    match shared.adapters.engines.free(&engine.address, name).await {
        Ok(()) => {
            let (endpoint, holding) = (engine.id.clone(), name.to_owned());
            shared.journal.record_fleet(Decision::Freed { endpoint, holding });
        }
        Err(e) => debug!("freeing an orphaned reservation failed; retrying at the next check: {e}"),
    }
}
