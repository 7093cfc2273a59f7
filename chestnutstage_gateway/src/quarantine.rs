//! Crashes and progress under requests, as recorded in the quarantine.
//!
//! A request whose connection breaks before its answer has progressed may have ended its endpoint. The endpoint itself is asked: only
//! one that can't be connected to has ended.

use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard, PoisonError};

use chestnutstage_core::ids::{CustomerId, ModelId};
use chestnutstage_core::pool::{Cause, Key, Refusal};
use chestnutstage_core::quarantine::{Change, Evidence, Feature, FeatureReport, Quarantine, Verdict};
use chestnutstage_core::time::Time;
use http::HeaderMap;
use log::{info, warn};
use metrics::{counter, gauge};
use tokio::time::timeout;

use crate::external::{ExternalError, Failure};
use crate::fault::Fault;
use crate::liveness::PROBE_TIMEOUT;
use crate::shared::Shared;

/// A request whose connection to an endpoint broke.
pub(crate) struct BrokenRequest {
    pub(crate) id: String,
    pub(crate) features: Arc<[Feature]>,
    pub(crate) customer: Option<CustomerId>,
    pub(crate) endpoint: Key,
    pub(crate) address: SocketAddr,
    pub(crate) evidence: Evidence,
}

impl Shared {
    fn lock_quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Parts of the prompt of a request that other prompts may share.
    pub(crate) fn shared_parts(&self, service: &ModelId, headers: &HeaderMap) -> Vec<Feature> {
        let ids = self.adapters.header_format.shared_parts(headers);
        ids.iter().map(|id| Feature::part(service, id)).collect()
    }

    /// Decides whether a request with these features may be placed.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if a feature is quarantined; the request must not be sent.
    pub(crate) fn check_features(&self, request: &str, features: &[Feature]) -> Result<(), Refusal> {
        self.decide(request, features, Quarantine::check)
    }

    /// Decides the same right before the request is sent; it may be the trial of a quarantined feature.
    ///
    /// # Errors
    ///
    /// As for [`Self::check_features`].
    pub(crate) fn admit_features(&self, request: &str, features: &[Feature]) -> Result<(), Refusal> {
        self.decide(request, features, Quarantine::admit)
    }

    fn decide(
        &self,
        request: &str,
        features: &[Feature],
        decide: fn(&mut Quarantine, Time, &[Feature]) -> Result<(), Verdict>,
    ) -> Result<(), Refusal> {
        let mut quarantine = self.lock_quarantine();
        let decided = decide(&mut quarantine, self.clock.now(), features);
        log_changes(&mut quarantine);
        decided.map_err(|verdict| refusal(request, verdict))
    }

    /// Records that an endpoint answered a request with these features beyond the beginning.
    pub(crate) fn record_progress(&self, features: &[Feature]) {
        self.lock_quarantine().record_progress(self.clock.now(), features);
    }

    /// Records a crash of the endpoint under a request if the endpoint has ended.
    pub(crate) fn record_broken(self: &Arc<Self>, broken: BrokenRequest) {
        let shared = self.clone();
        tokio::spawn(async move {
            let BrokenRequest { id, features, customer, endpoint, address, evidence } = broken;
            let report = timeout(PROBE_TIMEOUT, shared.adapters.engines.report(address)).await;
            // One that is silent or overloaded may still run.
            let unanswered = matches!(report, Ok(Err(ExternalError { failure: Failure::NoAnswer(_), .. })));
            // Where nothing else can be reached either, the connection broke with the path.
            let ended = unanswered && shared.reaches_another(endpoint).await;
            info!(
                request = id, endpoint:%, ended, evidence:%, customer:?, features = join(&*features);
                "connection broken before the answer had progressed"
            );
            if ended {
                shared.record_failure(endpoint, Fault::Broken).await;
                shared.lock_quarantine().record_crash(shared.clock.now(), endpoint, &features, evidence);
            }
        });
    }

    /// What the peers have to know of crashes; all that is quarantined if `complete`.
    pub(crate) fn quarantine_reports(&self, complete: bool) -> Vec<FeatureReport> {
        self.lock_quarantine().reports(self.clock.now(), complete)
    }

    /// Applies the reports of a peer.
    pub(crate) fn apply_quarantine(&self, reports: &[FeatureReport]) {
        if !reports.is_empty() {
            self.lock_quarantine().apply(self.clock.now(), reports);
        }
    }

    /// Sets who takes turns in trials.
    pub(crate) fn update_quarantine_members(&self) {
        let members = self.store_cache.members().into_iter().map(|member| member.id).collect();
        self.lock_quarantine().set_members(members);
    }

    /// Removes what is too old, and logs what has changed.
    pub(crate) fn sweep_quarantine(&self) {
        let mut quarantine = self.lock_quarantine();
        quarantine.remove_expired(self.clock.now());
        gauge!("chestnutstage_quarantine_suspects").set(quarantine.sizes().0 as f64);
        log_changes(&mut quarantine);
    }

    /// Suspected and quarantined features as text.
    pub(crate) fn dump_quarantine(&self) -> String {
        self.lock_quarantine().to_string()
    }
}

fn refusal(request: &str, verdict: Verdict) -> Refusal {
    info!(request, part:% = verdict.feature, engines = verdict.crashes; "request is quarantined");
    let cause = match verdict.feature {
        Feature::Part(_) => Cause::Quarantined,
        Feature::Request(_) => Cause::CrashingRequest,
    };
    Refusal { cause, retry: verdict.retry }
}

fn join<'a, T: ToString + 'a>(items: impl IntoIterator<Item = &'a T>) -> String {
    items.into_iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
}

fn log_changes(quarantine: &mut Quarantine) {
    for change in quarantine.take_changes() {
        let kind = match change {
            Change::Convicted { feature, crashes, answered } => {
                let engines = join(&crashes);
                warn!(part:% = feature, engines, answered:?; "endpoints ended under requests; those alike are refused");
                "convicted"
            }
            Change::Acquitted { feature } => {
                warn!(part:% = feature; "verdict on requests lifted; they are accepted again");
                "acquitted"
            }
            Change::Expired { feature } => {
                info!(part:% = feature; "quarantine has expired");
                "expired"
            }
            Change::Trial { feature, number } => {
                info!(part:% = feature, number; "a quarantined request is tried");
                "trial"
            }
        };
        counter!("chestnutstage_quarantine_changes_total", "kind" => kind).increment(1);
    }
}
