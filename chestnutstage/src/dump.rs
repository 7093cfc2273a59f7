//! Dumps of the process's state, and the decisions about a request.

use std::sync::atomic::Ordering;

use chestnutstage_core::ids::RequestId;
use kameo::actor::ActorRef;
use serde_json::{Value, json};

use crate::actor::owner::{Dump, OwnerActor};
use crate::shared::{Shared, lock};

/// Maximum number of decisions in a dump, which holds the latest ones.
const DECISIONS_MAX: usize = 200;

/// Returns the state of the process for operators.
pub(crate) async fn state(shared: &Shared, owner: &ActorRef<OwnerActor>) -> Value {
    let now = shared.clock.now();
    let roster = shared.roster.borrow().clone();
    let endpoints = owner.ask(Dump).await.unwrap_or_default();
    let (version, newest, current, fresh) = {
        let tracker = lock(&shared.config.tracker);
        (tracker.version(), tracker.newest(), tracker.is_current(now), tracker.fresh(now))
    };
    json!({
        "instance": shared.settings.instance,
        "uptime_ms": now.as_millis(),
        "leaving": shared.is_leaving(),
        "open_requests": shared.open_requests.load(Ordering::Relaxed),
        "config": {"version": version, "newest": newest, "current": current, "fresh": fresh},
        "members": roster.members,
        "share": roster.share,
        "owner": endpoints,
        "decisions": shared.journal.last(DECISIONS_MAX),
    })
}

/// Returns the decisions of this instance about a request.
pub(crate) fn explain(shared: &Shared, request: RequestId) -> Value {
    json!({"instance": shared.me(), "decisions": shared.journal.for_request(request)})
}
