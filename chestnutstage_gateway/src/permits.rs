//! Permits for requests to endpoints that limit them.
//!
//! The planner with the highest hash for an endpoint counts for it. A planner that is linked with it asks it for each placement; one
//! that is not asks the next in that order, which passes the question on if it sees a higher one. In a divided network each part
//! counts for itself, at the rate of its share of the planners.

use std::cmp::Reverse;
use std::time::Duration;

use chestnutstage_core::ids::InstanceId;
use chestnutstage_core::pool::{Key, LimitReport, Permit};
use chestnutstage_core::rendezvous;
use log::{debug, info, warn};
use metrics::counter;
use rand::Rng;
use tokio::time::{Instant, timeout, timeout_at};

use crate::conversation::{Conversation, PeerRequest};
use crate::dispatcher::{RecordLimit, SkipLimited, TakePermit};
use crate::peers::Peers;
use crate::shared::Shared;

/// Time for which an endpoint is skipped if the planner that counts for it does not answer.
const NO_ANSWER_SKIP: Duration = Duration::from_millis(500);
/// Timeout of a question that is passed on.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(100);

/// Who counts the requests to an endpoint.
enum Counter {
    /// This instance, for this fraction of the planners.
    Own(f64),
    /// Another planner.
    Peer(InstanceId),
}

impl Peers {
    fn counter(&self, key: Key) -> Counter {
        let key = key.to_string();
        let own = &self.shared.settings.instance.name;
        let linked = self.linked_planners();
        let candidates = linked.iter().chain([own]);
        let highest = candidates.min_by_key(|id| Reverse(rendezvous::score(&key, id)));
        match highest {
            Some(id) if id != own => Counter::Peer(id.clone()),
            _ => {
                let planners = self.shared.store_cache.planners().count().max(1);
                Counter::Own((linked.len() + 1) as f64 / planners as f64)
            }
        }
    }

    async fn ask_permit(&self, planner: InstanceId, limit: LimitReport) -> Result<Permit, String> {
        let connection = self.connection(&planner).ok_or("the link is lost")?;
        let request = PeerRequest::Permit(limit);
        Conversation::open(Some(planner), &connection, &request).await?.receive_response().await
    }
}

impl Shared {
    /// Obtains permits for all limited endpoints of a placement until the time `until`; returns whether it has. An endpoint without
    /// one is skipped for a time.
    pub(crate) async fn obtain_permits(&self, limits: &[LimitReport], until: Instant) -> bool {
        for limit in limits {
            let asked = timeout_at(until, self.request_permit(*limit)).await;
            let permit = asked.unwrap_or(Permit::Denied(NO_ANSWER_SKIP));
            let Permit::Denied(wait) = permit else {
                counter!("chestnutstage_permits_total", "outcome" => "granted").increment(1);
                continue;
            };
            counter!("chestnutstage_permits_total", "outcome" => "denied").increment(1);
            debug!(endpoint:% = limit.key, rate:? = limit.rate, wait:?; "no permit for a limited endpoint");
            if self.dispatcher.ask(SkipLimited(limit.key, wait)).await.is_err() {
                warn!("dispatcher has stopped; denial of a permit not recorded");
            }
            return false;
        }
        true
    }

    /// Asks the planner that counts for an endpoint, which may be this instance.
    async fn request_permit(&self, limit: LimitReport) -> Permit {
        let Some(peers) = self.peers() else { return Permit::Denied(NO_ANSWER_SKIP) };
        match peers.counter(limit.key) {
            Counter::Own(share) => self.take_permit(limit, share).await,
            Counter::Peer(planner) => match peers.ask_permit(planner.clone(), limit).await {
                Ok(permit) => permit,
                Err(e) => {
                    info!(planner:%, endpoint:% = limit.key; "planner that counts for an endpoint not reached: {e}");
                    Permit::Denied(NO_ANSWER_SKIP)
                }
            },
        }
    }

    /// Answers a peer's question for a permit. Each instance passes it on to one with a higher hash only, so that it ends.
    pub(crate) async fn serve_permit(&self, limit: LimitReport) -> Permit {
        let answer = timeout(FORWARD_TIMEOUT, self.request_permit(limit)).await;
        answer.unwrap_or(Permit::Denied(NO_ANSWER_SKIP))
    }

    async fn take_permit(&self, limit: LimitReport, share: f64) -> Permit {
        let jitter = rand::rng().random_range(0.0..1.0);
        let taken = self.dispatcher.ask(TakePermit { limit, share, jitter }).await;
        taken.unwrap_or_else(|e| {
            warn!("dispatcher can't give out a permit: {e}");
            Permit::Denied(NO_ANSWER_SKIP)
        })
    }

    /// Records the limit that an endpoint named to another instance, or that it named none.
    pub(crate) async fn record_told_limit(&self, key: Key, rate: Option<f64>) {
        let recorded = RecordLimit { key, rate, sent: self.clock.now() };
        if self.dispatcher.ask(recorded).await.is_err() {
            warn!("dispatcher has stopped; limit of endpoint {key} not recorded");
        }
    }
}
