//! Polls the engines for load reports.
//!
//! Each engine is polled by one planner, chosen by hash among the linked ones, which passes the pace on to its peers.
//! An engine that misses two reports in a row counts as failed, so that the failure is detected before it affects a
//! request.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chestnutstage_core::pool::{Key, Listing};
use chestnutstage_core::rendezvous;
use log::{info, warn};
use metrics::counter;
use tokio::time::{sleep, timeout};

use crate::dispatcher::{ListEngines, LoadReported};
use crate::fault::Fault;
use crate::peers::Peers;
use crate::shared::Shared;

/// Interval between the reports of an engine; the reports themselves are a few hundred milliseconds old.
const REPORT_INTERVAL: Duration = Duration::from_millis(600);
/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Consecutive missed reports after which an engine counts as failed.
const MISSES_MAX: u32 = 2;
/// Pace from which an engine is logged as slow.
const SLOW_PACE_MIN: f32 = 1.3;

/// Polls the engines that are assigned to this instance; never returns.
pub(crate) async fn run(shared: Arc<Shared>, peers: Arc<Peers>) {
    let mut misses: HashMap<Key, u32> = HashMap::new();
    loop {
        if !shared.store_cache.is_planner() {
            misses.clear();
            sleep(REPORT_INTERVAL).await;
            continue;
        }
        let engines = shared.dispatcher.ask(ListEngines).await.unwrap_or_default();
        let (own_id, others) = (&shared.settings.instance.name, peers.linked_planners());
        let is_assigned = |l: &Listing| rendezvous::is_among_top(1, l.id.as_str(), own_id, &others);
        let own: Vec<_> = engines.into_iter().filter(|(_, l)| is_assigned(l)).collect();
        misses.retain(|key, _| own.iter().any(|(k, _)| k == key));
        let delay = REPORT_INTERVAL / own.len().max(1) as u32;
        for (key, listing) in own {
            sleep(delay).await;
            poll_engine(&shared, key, &listing, misses.entry(key).or_default()).await;
        }
        if misses.is_empty() {
            sleep(REPORT_INTERVAL).await;
        }
    }
}

async fn poll_engine(shared: &Arc<Shared>, key: Key, listing: &Listing, misses: &mut u32) {
    counter!("chestnutstage_reports_total").increment(1);
    let report = match timeout(REPORT_TIMEOUT, shared.adapters.engines.report(listing.address)).await {
        Ok(Ok(report)) => report,
        Ok(Err(e)) => return record_miss(shared, key, listing, misses, &e.to_string()),
        Err(_) => return record_miss(shared, key, listing, misses, "timed out"),
    };
    *misses = 0;
    if report.pace >= SLOW_PACE_MIN {
        info!(endpoint:% = listing.id, pace = report.pace, waiting = report.waiting; "engine is slow");
    }
    let Ok(Some((memory, held))) = shared.dispatcher.ask(LoadReported(key, report)).await else {
        warn!("dispatcher has stopped; load report dropped");
        return;
    };
    info!(
        endpoint:% = listing.id, used = report.used, believed = memory, running = report.running,
        waiting = report.waiting, held; "engine load"
    );
}

fn record_miss(shared: &Arc<Shared>, key: Key, listing: &Listing, misses: &mut u32, reason: &str) {
    *misses += 1;
    info!(endpoint:% = listing.id, misses = *misses; "no load report: {reason}");
    if *misses >= MISSES_MAX {
        shared.report_failure(key, Fault::Silence);
    }
}
