//! Ownership of endpoints, recomputed whenever members, listing or configuration change.

use std::collections::BTreeSet;
use std::sync::Arc;

use chestnutstage_core::endpoint::Endpoint;
use chestnutstage_core::ids::ModelId;
use chestnutstage_core::route::Peer;
use chestnutstage_core::window::Share;
use kameo::actor::ActorRef;

use crate::actor::members::{MembersActor, OwnedModels};
use crate::actor::owner::{OwnerActor, Ownership};
use crate::config::Snapshot;
use crate::shared::{Roster, Shared, lock};
use crate::store::Listing;

/// Watches members, listing and configuration, and updates the owner and the router.
pub(crate) async fn watch(shared: Arc<Shared>, owner: ActorRef<OwnerActor>, members: ActorRef<MembersActor>) {
    let mut roster = shared.roster.subscribe();
    let mut listing = shared.listing.subscribe();
    let mut config = shared.config.subscribe();
    let mut last = None;
    loop {
        let snapshot = config.borrow_and_update().clone();
        let seen = roster.borrow_and_update().clone();
        let listed = listing.borrow_and_update().clone();
        let ownership = ownership(&shared, &snapshot, &seen, &listed);
        update_routes(&shared, &seen, &listed);
        if last.as_ref() != Some(&ownership)
            && let Ok(models) = owner.ask(ownership.clone()).await
        {
            let _ = members.tell(OwnedModels(models)).await;
            last = Some(ownership);
        }
        let changed = tokio::select! {
            changed = config.changed() => changed,
            changed = roster.changed() => changed,
            changed = listing.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

fn ownership(shared: &Shared, snapshot: &Snapshot, roster: &Roster, listing: &Listing) -> Ownership {
    let owned: Vec<Endpoint> =
        roster.owned_by(shared.me(), listing).map(|e| with_exception(e, snapshot)).collect();
    let out: BTreeSet<_> =
        owned.iter().filter(|e| !snapshot.config.in_service(&e.id, &e.zone)).map(|e| e.id.clone()).collect();
    let share = roster.share.unwrap_or(Share::WHOLE);
    Ownership { owned, out, share, limits: snapshot.config.defaults.limits }
}

/// Returns the listed endpoint, with the capacity from an exception if there is one.
fn with_exception(endpoint: &Endpoint, snapshot: &Snapshot) -> Endpoint {
    let mut endpoint = endpoint.clone();
    if let Some(capacity) = snapshot.capacity(&endpoint.id) {
        endpoint.capacity = capacity;
    }
    endpoint
}

fn update_routes(shared: &Shared, roster: &Roster, listing: &Listing) {
    let models: BTreeSet<ModelId> = listing.endpoints.iter().flat_map(|e| e.models.iter().cloned()).collect();
    let peers = roster.owners().map(|m| Peer { id: &m.id, zone: &m.zone, models: m.models });
    lock(&shared.router).set_peers(peers, &models);
}
