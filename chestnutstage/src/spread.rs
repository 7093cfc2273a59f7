//! Spreading of configuration changes to all instances.
//!
//! The instance that committed a change hands it to a few others, each with a part of the rest to hand it on to, and
//! gathers who has it in force. A branch whose head does not answer is split again, so that one dead instance costs its
//! branch a time limit and no more.

use std::sync::Arc;
use std::time::Duration;

use chestnutstage_config::fleet::LogEntry;
use chestnutstage_core::ids::{InstanceId, Version};
use chestnutstage_core::rollout::{AckTracker, Progress, fan_out};
use futures::FutureExt;
use futures::future::{BoxFuture, join_all};

use crate::link::message::{Reply, Request, Target};
use crate::shared::Shared;

/// Members that one instance hands a change to.
const FANOUT: usize = 8;
/// Time limit of one branch.
const BRANCH_LIMIT: Duration = Duration::from_millis(1_500);
/// Time for which an operator waits for a change to be in force.
const ACCEPT_LIMIT: Duration = Duration::from_millis(8_500);
/// Delay between rounds to members that have not acknowledged.
const ROUND_DELAY: Duration = Duration::from_millis(250);

/// Hands `entries` to `targets` and gathers who has them in force.
pub(crate) fn spread<'a>(
    shared: &'a Shared,
    entries: &'a [String],
    targets: &'a [Target],
) -> BoxFuture<'a, Vec<(InstanceId, Version)>> {
    async move {
        let parts = fan_out(targets, FANOUT);
        let calls = parts.into_iter().map(|(head, rest)| branch(shared, entries, head, rest));
        join_all(calls).await.into_iter().flatten().collect()
    }
    .boxed()
}

async fn branch(
    shared: &Shared,
    entries: &[String],
    head: Target,
    rest: Vec<Target>,
) -> Vec<(InstanceId, Version)> {
    let request = Request::Spread { entries: entries.to_vec(), targets: rest.clone() };
    match shared.adapters.links.call(&head, request, BRANCH_LIMIT).await {
        Ok(Reply::Spread { acked }) => acked,
        _ if rest.is_empty() => Vec::new(),
        _ => spread(shared, entries, &rest).await,
    }
}

/// Takes entries that a peer handed on: puts them in force and hands them on further.
pub(crate) async fn take(
    shared: &Arc<Shared>,
    entries: Vec<String>,
    targets: Vec<Target>,
) -> Vec<(InstanceId, Version)> {
    let parsed: Vec<LogEntry> = entries.iter().filter_map(|e| serde_json::from_str(e).ok()).collect();
    let version = shared.config.apply(&parsed, &shared.journal);
    let mut acked = vec![(shared.me().clone(), version)];
    if !targets.is_empty() {
        acked.extend(spread(shared, &entries, &targets).await);
    }
    acked
}

/// Spreads a committed change until it is in force everywhere, or the time for it is up.
pub(crate) async fn accept(shared: &Arc<Shared>, entry: &LogEntry) -> Progress {
    let now = || shared.clock.now();
    let until = now() + ACCEPT_LIMIT;
    let roster = shared.roster.borrow().clone();
    let active = roster.members.iter().filter(|m| m.health != chestnutstage_core::members::Health::Left);
    let members = active.map(|m| m.id.clone()).chain([shared.me().clone()]);
    let mut acks = AckTracker::new(now(), entry.version, members);
    acks.record_ack(shared.me(), shared.config.version());
    loop {
        let progress = acks.progress(now());
        if progress == Progress::InForce || now() >= until {
            return progress;
        }
        // Members that lag get what they lack as well.
        let tail = shared.config.recent_changes(Version(entry.version.0.saturating_sub(8)));
        let entries: Vec<_> = tail.iter().filter_map(|e| serde_json::to_string(e).ok()).collect();
        let roster = shared.roster.borrow().clone();
        let targets: Vec<_> = acks.missing().filter_map(|id| roster.target(id)).collect();
        for (member, version) in spread(shared, &entries, &targets).await {
            acks.record_ack(&member, version);
        }
        if acks.missing().next().is_some() {
            tokio::time::sleep(ROUND_DELAY).await;
        }
    }
}
