//! Load reports of the engines.
//!
//! Each engine is asked by one instance, chosen by hash among those that are linked; it tells the others the pace. An
//! engine that does not answer twice in a row counts as failed before a request finds out.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chestnutstage_core::pool::{Key, Listing};
use chestnutstage_core::rendezvous;
use log::{info, warn};
use metrics::counter;
use tokio::time::{sleep, timeout};

use crate::dispatcher::{Failed, ListEngines, Reported};
use crate::peers::Peers;
use crate::shared::Shared;

/// Interval between reports of an engine; the reports themselves are some hundred milliseconds old.
const INTERVAL: Duration = Duration::from_millis(600);
/// Time limit of a report.
const LIMIT: Duration = Duration::from_millis(400);
/// Reports in a row that fail before the engine counts as failed.
const MISSES: u32 = 2;
/// Pace from which a change is logged.
const SLOW: f32 = 1.3;

/// Asks the engines of this instance, for ever.
pub(crate) async fn run(shared: Arc<Shared>, peers: Arc<Peers>) {
    let mut misses: HashMap<Key, u32> = HashMap::new();
    loop {
        let engines = shared.dispatcher.ask(ListEngines).await.unwrap_or_default();
        let (me, others) = (&shared.settings.instance.name, peers.linked());
        let is_mine = |l: &Listing| rendezvous::is_among_top(1, l.id.as_str(), me, &others);
        let own: Vec<_> = engines.into_iter().filter(|(_, l)| is_mine(l)).collect();
        misses.retain(|key, _| own.iter().any(|(k, _)| k == key));
        let pause = INTERVAL / own.len().max(1) as u32;
        for (key, listing) in own {
            sleep(pause).await;
            look(&shared, key, &listing, misses.entry(key).or_default()).await;
        }
        if misses.is_empty() {
            sleep(INTERVAL).await;
        }
    }
}

async fn look(shared: &Shared, key: Key, listing: &Listing, misses: &mut u32) {
    counter!("chestnutstage_reports_total").increment(1);
    let report = match timeout(LIMIT, shared.adapters.engines.report(listing.address)).await {
        Ok(Ok(report)) => report,
        Ok(Err(e)) => return missed(shared, key, listing, misses, &e.to_string()).await,
        Err(_) => return missed(shared, key, listing, misses, "no answer").await,
    };
    *misses = 0;
    if report.pace >= SLOW {
        info!(endpoint:% = listing.id, pace = report.pace, waiting = report.waiting; "slow engine");
    }
    let Ok(Some((memory, held))) = shared.dispatcher.ask(Reported(key, report)).await else {
        warn!("the dispatcher is gone");
        return;
    };
    info!(
        endpoint:% = listing.id, used = report.used, believed = memory, running = report.running,
        waiting = report.waiting, held; "engine load"
    );
}

async fn missed(shared: &Shared, key: Key, listing: &Listing, misses: &mut u32, why: &str) {
    *misses += 1;
    info!(endpoint:% = listing.id, misses = *misses; "no load report: {why}");
    if *misses >= MISSES && shared.dispatcher.ask(Failed(key)).await.is_err() {
        warn!("the dispatcher is gone");
    }
}
