//! Memory that was left behind on engines.
//!
//! Every reservation on an engine is named after its holder, the holder's life, the request and the segment. The owner
//! of an engine lists what the engine holds, again and again, and frees what has outlived its time or its holder. So no
//! lost message and no dead instance costs memory for good.

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

/// Interval between looks at the engines.
const INTERVAL: Duration = Duration::from_secs(2);
/// Time limit of the holder's answer.
const HOLDER_LIMIT: Duration = Duration::from_millis(500);

/// Frees what was left behind on the engines that this instance owns, for ever.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        sleep(INTERVAL).await;
        for engine in owned(&shared) {
            look(&shared, &engine).await;
        }
    }
}

fn owned(shared: &Shared) -> Vec<Endpoint> {
    let roster = shared.roster.borrow().clone();
    let listing = shared.listing.borrow().clone();
    roster.owned_by(shared.me(), &listing).filter(|e| e.kind == Kind::Engine).cloned().collect()
}

async fn look(shared: &Arc<Shared>, engine: &Endpoint) {
    let holdings = match shared.adapters.engines.reservations(&engine.address).await {
        Ok(holdings) => holdings,
        Err(e) => return debug!("{e}"),
    };
    for (name, holding) in holdings {
        if disposition(shared, &name, &holding).await == Disposition::Free {
            free(shared, engine, &name).await;
        }
    }
}

/// What must happen to a reservation.
async fn disposition(shared: &Shared, name: &str, holding: &KvReservation) -> Disposition {
    // What does not bear a name of this fleet is somebody else's.
    let Some(name) = ReservationName::parse(name) else {
        return Disposition::Keep;
    };
    let holder = holder(shared, &name).await;
    name.disposition(holder, Duration::from_millis(holding.age), Duration::from_millis(holding.ttl))
}

async fn holder(shared: &Shared, name: &ReservationName) -> HolderState {
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
    match shared.adapters.links.call(&target, Request::Knows { request: name.request }, HOLDER_LIMIT).await {
        Ok(Reply::Known(true)) => HolderState::Serving,
        Ok(Reply::Known(false)) => HolderState::Ended,
        _ => HolderState::Unknown,
    }
}

async fn free(shared: &Shared, engine: &Endpoint, name: &str) {
    match shared.adapters.engines.free(&engine.address, name).await {
        Ok(()) => {
            let (endpoint, holding) = (engine.id.clone(), name.to_owned());
            shared.journal.fleet(Decision::Freed { endpoint, holding });
        }
        Err(e) => debug!("{e}"),
    }
}
