//! Calls of plain services.
//!
//! A repeatable call is retried within its deadline. One that must not be repeated is sent once, after its idempotency
//! key was claimed in the store; the stored claim decides the response to a repeat with the same key.

use std::time::Duration;

use axum::http::StatusCode;
use chestnutstage_core::decision::Decision;
use chestnutstage_core::idempotency::{Answer, Attempt, Claim, Event, Step, StoredClaim, Verdict};
use chestnutstage_core::outcome::{Outcome, SendState};
use chestnutstage_core::owner::End;
use kameo::actor::ActorRef;
use log::warn;
use serde_json::Value;
use sha2::{Digest, Sha256};
use tokio::sync::oneshot;

use crate::actor::claim_writer::{self, ClaimWriter, WriteClaim};
use crate::engine::{EndpointError, ServiceCall};
use crate::entry::{Entry, Job};
use crate::failure::{Failure, Stage};
use crate::link::message::EntryMessage;
use crate::shared::{ServingGuard, lock};
use crate::store::{Effect, Row, Write, WriteResult};

/// Minimum time remaining until the deadline for a call to be sent.
const SEND_REMAINING_MIN: Duration = Duration::from_millis(5);
/// Retry delay returned to a caller while an earlier call may be running or the store is unreachable.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Delay before a failed store operation is retried.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest wait for the result of an earlier call with the same key.
const RESULT_WAIT_MAX: Duration = Duration::from_millis(1_500);
/// Delay before that result is first looked for again; doubles each time.
const RESULT_POLL_DELAY: Duration = Duration::from_millis(25);
/// Maximum number of attempts to record the result of a call.
const RECORD_ATTEMPTS_MAX: u32 = 20;

/// Response of a service, and whether it was recorded by an earlier call with the same key.
#[derive(Debug)]
pub(crate) struct ServiceResponse {
    pub(crate) answer: Answer,
    pub(crate) replayed: bool,
}

/// Makes calls of plain services.
#[derive(Clone)]
pub(crate) struct ServiceClient {
    pub(crate) entry: Entry,
    pub(crate) claim_writer: ActorRef<ClaimWriter>,
}

impl ServiceClient {
    /// Makes a repeatable call, with retries on other endpoints.
    ///
    /// # Errors
    ///
    /// The outcome of the [`Failure`] says whether the call may have run.
    pub(crate) async fn call_repeatable(&self, job: &Job, call: &ServiceCall) -> Result<Answer, Failure> {
        let shared = &self.entry.shared;
        let _serving = ServingGuard::new(shared, job.id);
        lock(&shared.budget).earn();
        let (mut attempt, mut avoid) = (0, Vec::new());
        let mut sending = SendState::Before;
        for retry in 0.. {
            let grant = self.entry.place(job, &mut attempt, &avoid).await;
            let grant =
                grant.map_err(|r| Failure { outcome: sending.outcome(), ..Failure::refused(&r, None) })?;
            let endpoint = grant.endpoint.clone();
            let error = match self.send(job, call, grant).await {
                Ok(answer) => return Ok(answer),
                Err(e) => e,
            };
            if error.sending == SendState::Started {
                sending = SendState::Started;
            }
            let delay = lock(&shared.budget).retry(retry);
            let Some(delay) = delay.filter(|d| shared.clock.now() + *d < job.deadline) else {
                return Err(endpoint_failure(&error, sending.outcome()));
            };
            shared.journal.record_request(
                job.id,
                Decision::Restarted { endpoint: endpoint.clone(), reason: error.to_string() },
            );
            avoid.push(endpoint);
            tokio::time::sleep(delay).await;
        }
        Err(Failure::unknown(Stage::Endpoint, "endpoint_failed", "no try is left"))
    }

    /// Makes a call that must not run twice, claimed under `key`; `hash` is the hash of its content. If an earlier call
    /// with the key has not ended or its result is still being recorded, waits for the result for up to
    /// [`RESULT_WAIT_MAX`].
    ///
    /// # Errors
    ///
    /// The outcome of the [`Failure`] says whether the call may have run.
    pub(crate) async fn call_once(
        &self,
        job: &Job,
        call: &ServiceCall,
        key: &str,
        hash: String,
    ) -> Result<ServiceResponse, Failure> {
        let shared = &self.entry.shared;
        let _serving = ServingGuard::new(shared, job.id);
        let wait_until = job.deadline.min(shared.clock.now() + RESULT_WAIT_MAX);
        let mut delay = RESULT_POLL_DELAY;
        loop {
            let (verdict, failure) = self.try_once(job, call, key, hash.clone()).await;
            if !matches!(verdict, Verdict::InProgress) || shared.clock.now() + delay >= wait_until {
                return verdict_result(verdict, failure);
            }
            tokio::time::sleep(delay).await;
            delay *= 2;
        }
    }

    async fn try_once(
        &self,
        job: &Job,
        call: &ServiceCall,
        key: &str,
        hash: String,
    ) -> (Verdict, Option<Failure>) {
        let shared = &self.entry.shared;
        let mut attempt = Attempt::new(hash, shared.nonce(), job.deadline);
        let mut step = attempt.start();
        let mut failure = None;
        loop {
            let event = match step {
                Step::Insert(claim) => self.write_claim(key, 0, claim).await,
                Step::Replace(version, claim) => self.write_claim(key, version, claim).await,
                Step::Read => self.read_claim(key).await,
                Step::Send => self.send_once(job, call, &mut failure).await,
                Step::Finish(verdict, record) => {
                    self.record(key, record);
                    return (verdict, failure);
                }
            };
            step = attempt.step(shared.clock.now(), event);
        }
    }

    /// Sends a call to the granted endpoint, and reports to the owner how it ended.
    async fn send(
        &self,
        job: &Job,
        call: &ServiceCall,
        grant: crate::entry::Grant,
    ) -> Result<Answer, EndpointError> {
        let shared = &self.entry.shared;
        let remaining = job.deadline.since(shared.clock.now());
        if !grant.is_usable(shared) || remaining < SEND_REMAINING_MIN {
            grant.report(EntryMessage::Ended(End::Done));
            return Err(EndpointError {
                step: crate::engine::Step::Call,
                peer: grant.endpoint.to_string(),
                reason: "the grant had lapsed, or the endpoint went out of service".into(),
                sending: SendState::Before,
                missing: false,
            });
        }
        let call = ServiceCall { remaining, ..call.clone() };
        let result = shared.adapters.services.call(&grant.address, call).await;
        let end = if result.is_ok() { End::Done } else { End::Broken };
        grant.report(EntryMessage::Ended(end));
        shared.journal.record_request(job.id, Decision::Ended { endpoint: grant.endpoint.clone(), end });
        result
    }

    /// Sends a claimed call once; a failure is stored in `failure` for the final verdict.
    async fn send_once(&self, job: &Job, call: &ServiceCall, failure: &mut Option<Failure>) -> Event {
        let mut attempt = 0;
        let grant = match self.entry.place(job, &mut attempt, &[]).await {
            Ok(grant) => grant,
            Err(refusal) => {
                *failure = Some(Failure::refused(&refusal, None));
                return Event::NotSent;
            }
        };
        match self.send(job, call, grant).await {
            Ok(answer) => Event::Answered(answer),
            Err(e) => {
                *failure = Some(endpoint_failure(&e, e.sending.outcome()));
                if e.sending == SendState::Started { Event::Broken } else { Event::NotSent }
            }
        }
    }

    async fn write_claim(&self, key: &str, expect: u64, claim: Claim) -> Event {
        let Ok(value) = serde_json::to_value(&claim) else {
            return Event::StoreDown;
        };
        let (done, result) = oneshot::channel();
        let write = Write { key: key.to_owned(), expect, value };
        let _ = self.claim_writer.tell(WriteClaim { write, done }).await;
        match result.await {
            Ok(Ok(WriteResult::Done(version))) => Event::Written(version),
            Ok(Ok(WriteResult::Conflict(Some(row)))) => {
                parse_claim(row).map_or(Event::ResponseLost, Event::Exists)
            }
            Ok(Ok(WriteResult::Conflict(None))) => Event::Read(None),
            Ok(Err(e)) => {
                warn!("writing an idempotency claim failed: {e}");
                tokio::time::sleep(STORE_RETRY_DELAY).await;
                if e.effect == Effect::None { Event::StoreDown } else { Event::ResponseLost }
            }
            Err(_) => Event::ResponseLost,
        }
    }

    async fn read_claim(&self, key: &str) -> Event {
        if let Ok(row) = self.entry.shared.adapters.tables.read(claim_writer::TABLE, key).await {
            match row.map(parse_claim) {
                Some(Some(row)) => Event::Read(Some(row)),
                Some(None) => Event::ResponseLost,
                None => Event::Read(None),
            }
        } else {
            tokio::time::sleep(STORE_RETRY_DELAY).await;
            Event::StoreDown
        }
    }

    /// Records a result in the background; until then repeats are told that the outcome is unknown.
    fn record(&self, key: &str, record: Option<(u64, Claim)>) {
        let Some((version, claim)) = record else { return };
        let (client, key) = (self.clone(), key.to_owned());
        tokio::spawn(async move {
            for _ in 0..RECORD_ATTEMPTS_MAX {
                match client.write_claim(&key, version, claim.clone()).await {
                    Event::Written(_) | Event::Exists(_) => return,
                    _ => tokio::time::sleep(STORE_RETRY_DELAY).await,
                }
            }
            warn!(
                "could not record the result of a call in {RECORD_ATTEMPTS_MAX} attempts; repeats with its key get an unknown outcome"
            );
        });
    }
}

fn parse_claim(row: Row<Value>) -> Option<StoredClaim> {
    let (version, age) = (row.version, row.age());
    serde_json::from_value(row.value).ok().map(|claim| StoredClaim { claim, version, age })
}

fn endpoint_failure(error: &EndpointError, outcome: Outcome) -> Failure {
    let base =
        Failure::not_run(Stage::Endpoint, "endpoint_failed", error.to_string()).at_peer(error.peer.clone());
    let status =
        if outcome == Outcome::Unknown { StatusCode::BAD_GATEWAY } else { StatusCode::SERVICE_UNAVAILABLE };
    let failure = Failure { outcome, ..base.with_status(status) };
    if outcome == Outcome::NotRun { failure.retry_after(Duration::from_secs(1)) } else { failure }
}

fn verdict_result(verdict: Verdict, failure: Option<Failure>) -> Result<ServiceResponse, Failure> {
    let claim_failure = |code, message: &str| Failure::not_run(Stage::Claim, code, message);
    match verdict {
        Verdict::Answer { answer, replayed } => Ok(ServiceResponse { answer, replayed }),
        Verdict::NotRun => Err(failure.map_or_else(
            || {
                claim_failure("not_sent", "the deadline left no time to send the call")
                    .with_status(StatusCode::SERVICE_UNAVAILABLE)
                    .retry_after(Duration::from_secs(1))
            },
            |f| Failure { outcome: Outcome::NotRun, ..f },
        )),
        Verdict::StoreDown => {
            Err(claim_failure("store_unavailable", "the platform's table service can't be reached")
                .with_status(StatusCode::SERVICE_UNAVAILABLE)
                .retry_after(CLAIM_RETRY_AFTER))
        }
        Verdict::Conflict => {
            Err(claim_failure("key_conflict", "the idempotency key was used for another call")
                .with_status(StatusCode::UNPROCESSABLE_ENTITY))
        }
        Verdict::InProgress => Err(Failure::unknown(
            Stage::Claim,
            "in_progress",
            "an earlier call with the same key may still be running",
        )
        .with_status(StatusCode::CONFLICT)
        .retry_after(CLAIM_RETRY_AFTER)),
        Verdict::Unknown => Err(failure.unwrap_or_else(|| {
            Failure::unknown(Stage::Claim, "outcome_unknown", "the call may have run; its answer is lost")
        })),
    }
}

/// Store key of a claim, derived from customer, service and idempotency key, so that customers never share a claim.
pub(crate) fn claim_key(customer: &str, service: &str, key: &str) -> String {
    hash_parts(&[customer.as_bytes(), service.as_bytes(), key.as_bytes()])
}

/// Hash of a call's method, path and body.
pub(crate) fn content_hash(method: &str, path: &str, body: &[u8]) -> String {
    hash_parts(&[method.as_bytes(), path.as_bytes(), body])
}

fn hash_parts(parts: &[&[u8]]) -> String {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hex::encode(hash.finalize())
}
