//! Rollout of configuration changes to all instances.
//!
//! The instance that committed a change sends it to a few others, each of which forwards it to a part of the remaining
//! ones, and collects which instances have it in force. If the head of a branch does not answer, the remaining targets
//! of the branch are split again, so that an unresponsive instance delays its branch by no more than one timeout.

use std::sync::Arc;
use std::time::Duration;

use chestnutstage_config::fleet::LogEntry;
use chestnutstage_core::ids::{InstanceId, Version};
use chestnutstage_core::rollout::{AckTracker, Progress, fan_out};
use futures::FutureExt;
use futures::future::{BoxFuture, join_all};

use crate::link::message::{Reply, Request, Target};
use crate::shared::Shared;

/// Maximum number of members to which one instance sends a change itself.
const FANOUT_MAX: usize = 8;
/// Timeout of one branch.
const BRANCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum time for which an operator waits for a change to be in force.
const ROLLOUT_TIMEOUT: Duration = Duration::from_millis(8_500);
/// Delay between rounds to members that have not acknowledged.
const ROUND_DELAY: Duration = Duration::from_millis(250);

/// Sends `entries` to `targets`; returns the members that acknowledged, with their versions in force.
pub(crate) fn forward<'a>(
    shared: &'a Shared,
    entries: &'a [String],
    targets: &'a [Target],
) -> BoxFuture<'a, Vec<(InstanceId, Version)>> {
    async move {
        let parts = fan_out(targets, FANOUT_MAX);
        let calls = parts.into_iter().map(|(head, others)| branch(shared, entries, head, others));
        join_all(calls).await.into_iter().flatten().collect()
    }
    .boxed()
}

async fn branch(
    shared: &Shared,
    entries: &[String],
    head: Target,
    others: Vec<Target>,
) -> Vec<(InstanceId, Version)> {
    let request = Request::Spread { entries: entries.to_vec(), targets: others.clone() };
    match shared.adapters.links.call(&head, request, BRANCH_TIMEOUT).await {
        Ok(Reply::Spread { acked }) => acked,
        _ if others.is_empty() => Vec::new(),
        _ => forward(shared, entries, &others).await,
    }
}

/// Puts entries from a peer in force, and forwards them to `targets`.
pub(crate) async fn apply_and_forward(
    shared: &Arc<Shared>,
    entries: Vec<String>,
    targets: Vec<Target>,
) -> Vec<(InstanceId, Version)> {
    let parsed: Vec<LogEntry> = entries.iter().filter_map(|e| serde_json::from_str(e).ok()).collect();
    let version = shared.config.apply(&parsed, &shared.journal);
    let mut acked = vec![(shared.me().clone(), version)];
    if !targets.is_empty() {
        acked.extend(forward(shared, &entries, &targets).await);
    }
    acked
}

/// Rolls a committed change out until it is in force on all instances or [`ROLLOUT_TIMEOUT`] has passed.
pub(crate) async fn roll_out(shared: &Arc<Shared>, entry: &LogEntry) -> Progress {
    let now = || shared.clock.now();
    let deadline = now() + ROLLOUT_TIMEOUT;
    let roster = shared.roster.borrow().clone();
    let active = roster.members.iter().filter(|m| m.health != chestnutstage_core::members::Health::Left);
    let members = active.map(|m| m.id.clone()).chain([shared.me().clone()]);
    let mut acks = AckTracker::new(now(), entry.version, members);
    acks.record_ack(shared.me(), shared.config.version());
    loop {
        let progress = acks.progress(now());
        if progress == Progress::InForce || now() >= deadline {
            return progress;
        }
        // Includes preceding changes, up to eight in all with this one, for members that lag.
        let recent_changes = shared.config.recent_changes(Version(entry.version.0.saturating_sub(8)));
        let entries: Vec<_> = recent_changes.iter().filter_map(|e| serde_json::to_string(e).ok()).collect();
        let roster = shared.roster.borrow().clone();
        let targets: Vec<_> = acks.missing().filter_map(|id| roster.target(id)).collect();
        for (member, version) in forward(shared, &entries, &targets).await {
            acks.record_ack(&member, version);
        }
        if acks.missing().next().is_some() {
            tokio::time::sleep(ROUND_DELAY).await;
        }
    }
}
