//! Crashes and progress under requests, as recorded in the quarantine of prompt parts.
//!
//! A stream that breaks at its beginning may have ended its engine. The engine itself is asked: only one that can't be connected
//! to has ended.

use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard, PoisonError};

use chestnutstage_core::ids::{CustomerId, ModelId};
use chestnutstage_core::pool::{Cause, Key, Refusal};
use chestnutstage_core::quarantine::{Change, Evidence, PartReport, PromptPart, Quarantine, Verdict};
use chestnutstage_core::time::Time;
use http::HeaderMap;
use log::{info, warn};
use metrics::{counter, gauge};
use tokio::time::timeout;

use crate::external::{ExternalError, Failure};
use crate::liveness::PROBE_TIMEOUT;
use crate::request_digest::RequestDigest;
use crate::shared::Shared;

/// A request whose connection to an engine broke.
pub(crate) struct BrokenRequest {
    pub(crate) id: String,
    pub(crate) parts: Arc<[PromptPart]>,
    pub(crate) digest: RequestDigest,
    pub(crate) customer: Option<CustomerId>,
    pub(crate) engine: Key,
    pub(crate) address: SocketAddr,
    pub(crate) evidence: Evidence,
}

impl Shared {
    fn lock_quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Parts of the prompt of a request that other prompts may share.
    pub(crate) fn shared_parts(&self, service: &ModelId, headers: &HeaderMap) -> Arc<[PromptPart]> {
        let ids = self.adapters.header_format.shared_parts(headers);
        ids.iter().map(|id| PromptPart::new(service, id)).collect()
    }

    /// Decides whether a request with these parts may be placed.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if a part is quarantined; the request must not be sent.
    pub(crate) fn check_parts(&self, request: &str, parts: &[PromptPart]) -> Result<(), Refusal> {
        self.decide(request, parts, Quarantine::check)
    }

    /// Decides the same right before the request is sent; it may be the trial of a quarantined part.
    ///
    /// # Errors
    ///
    /// As for [`Self::check_parts`].
    pub(crate) fn admit_parts(&self, request: &str, parts: &[PromptPart]) -> Result<(), Refusal> {
        self.decide(request, parts, Quarantine::admit)
    }

    fn decide(
        &self,
        request: &str,
        parts: &[PromptPart],
        decide: fn(&mut Quarantine, Time, &[PromptPart]) -> Result<(), Verdict>,
    ) -> Result<(), Refusal> {
        if parts.is_empty() {
            return Ok(());
        }
        let mut quarantine = self.lock_quarantine();
        let decided = decide(&mut quarantine, self.clock.now(), parts);
        log_changes(&mut quarantine);
        decided.map_err(|verdict| refusal(request, verdict))
    }

    /// Records that an engine answered a prompt with these parts beyond the beginning.
    pub(crate) fn record_progress(&self, parts: &[PromptPart]) {
        if !parts.is_empty() {
            self.lock_quarantine().record_progress(self.clock.now(), parts);
        }
    }

    /// Records a crash of the engine under a request if the engine has ended.
    pub(crate) fn record_broken(self: &Arc<Self>, broken: BrokenRequest) {
        let shared = self.clone();
        tokio::spawn(async move {
            let BrokenRequest { id, parts, digest, customer, engine, address, evidence } = broken;
            let report = timeout(PROBE_TIMEOUT, shared.adapters.engines.report(address)).await;
            // One that is silent or overloaded may still run.
            let ended = matches!(report, Ok(Err(ExternalError { failure: Failure::NoAnswer(_), .. })));
            info!(
                request = id, endpoint:% = engine, ended, evidence:%, digest:%, customer:?, parts:? = parts;
                "connection broken before the answer had progressed"
            );
            if ended && !parts.is_empty() {
                shared.report_failure(engine).await;
                shared.lock_quarantine().record_crash(shared.clock.now(), engine, &parts, evidence);
            }
        });
    }

    /// What the peers have to know of crashes; all that is quarantined if `complete`.
    pub(crate) fn quarantine_reports(&self, complete: bool) -> Vec<PartReport> {
        self.lock_quarantine().reports(self.clock.now(), complete)
    }

    /// Applies the reports of a peer.
    pub(crate) fn apply_quarantine(&self, reports: &[PartReport]) {
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

    /// Suspected and quarantined parts as text.
    pub(crate) fn dump_quarantine(&self) -> String {
        self.lock_quarantine().to_string()
    }
}

fn refusal(request: &str, verdict: Verdict) -> Refusal {
    info!(request, part:% = verdict.part, engines = verdict.crashes; "prompt contains a quarantined part");
    Refusal { cause: Cause::Quarantined, retry: verdict.retry }
}

fn log_changes(quarantine: &mut Quarantine) {
    for change in quarantine.take_changes() {
        let kind = match change {
            Change::Convicted { part, crashes, answered } => {
                let engines = crashes.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
                warn!(part:%, engines, answered:?; "engines ended under a prompt part; prompts with it are refused");
                "convicted"
            }
            Change::Acquitted { part } => {
                warn!(part:%; "verdict on a prompt part lifted; prompts with it are accepted again");
                "acquitted"
            }
            Change::Expired { part } => {
                info!(part:%; "quarantine of a prompt part has expired");
                "expired"
            }
            Change::Trial { part, number } => {
                info!(part:%, number; "a request with a quarantined prompt part is tried");
                "trial"
            }
        };
        counter!("chestnutstage_quarantine_changes_total", "kind" => kind).increment(1);
    }
}
