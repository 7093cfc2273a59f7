//! Calls of plain services.
//!
//! A call that may be repeated is retried within its deadline. One that may not be repeated is claimed first and sent
//! once; what the store holds decides what a repeat with the same key is told.

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

use crate::actor::ledger::{self, Ledger, Put};
use crate::engine::{Call, EndpointError};
use crate::entry::{Entry, Job};
use crate::failure::{Failure, Stage};
use crate::link::message::EntryWord;
use crate::shared::{Serving, lock};
use crate::store::{Effect, Row, Write, Written};

/// Time a call needs at least to be worth sending.
const SEND_MIN: Duration = Duration::from_millis(5);
/// When to ask again about a call that may be running.
const PROGRESS_RETRY: Duration = Duration::from_secs(2);
/// Delay before the store is asked again.
const STORE_DELAY: Duration = Duration::from_millis(50);
/// Tries to record a result.
const RECORD_TRIES: u32 = 20;

/// An answer of a service, and whether it is an earlier attempt's.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) answer: Answer,
    pub(crate) replayed: bool,
}

/// Caller of plain services.
#[derive(Clone)]
pub(crate) struct Calls {
    pub(crate) entry: Entry,
    pub(crate) ledger: ActorRef<Ledger>,
}

impl Calls {
    /// Makes a call that may be repeated.
    ///
    /// # Errors
    ///
    /// [`Failure`] says whether it may have run.
    pub(crate) async fn repeatable(&self, job: &Job, call: &Call) -> Result<Answer, Failure> {
        let shared = &self.entry.shared;
        let _serving = Serving::new(shared, job.id);
        lock(&shared.budget).earn();
        let (mut attempt, mut avoid) = (0, Vec::new());
        let mut sending = SendState::Before;
        for retry in 0.. {
            let seat = self.entry.place(job, &mut attempt, &avoid).await;
            let seat =
                seat.map_err(|r| Failure { outcome: sending.outcome(), ..Failure::refused(&r, None) })?;
            let endpoint = seat.endpoint.clone();
            let error = match self.send(job, call, seat).await {
                Ok(answer) => return Ok(answer),
                Err(e) => e,
            };
            if error.sending == SendState::Started {
                sending = SendState::Started;
            }
            let delay = lock(&shared.budget).retry(retry);
            let Some(delay) = delay.filter(|d| shared.clock.now() + *d < job.deadline) else {
                return Err(failed(&error, sending.outcome()));
            };
            shared.journal.request(
                job.id,
                Decision::Restarted { endpoint: endpoint.clone(), reason: error.to_string() },
            );
            avoid.push(endpoint);
            tokio::time::sleep(delay).await;
        }
        Err(Failure::unknown(Stage::Endpoint, "endpoint_failed", "no try is left"))
    }

    /// Makes a call that must not run twice; `key` names it, `hash` stands for its content.
    ///
    /// # Errors
    ///
    /// [`Failure`] says whether it may have run.
    pub(crate) async fn once(
        &self,
        job: &Job,
        call: &Call,
        key: &str,
        hash: String,
    ) -> Result<Answered, Failure> {
        let shared = &self.entry.shared;
        let _serving = Serving::new(shared, job.id);
        let mut attempt = Attempt::new(hash, shared.nonce(), job.deadline);
        let mut step = attempt.start();
        let mut lost = None;
        loop {
            let event = match step {
                Step::Insert(claim) => self.write(key, 0, claim).await,
                Step::Replace(version, claim) => self.write(key, version, claim).await,
                Step::Read => self.read(key).await,
                Step::Send => self.send_once(job, call, &mut lost).await,
                Step::Finish(verdict, record) => {
                    self.record(key, record);
                    return verdict_of(verdict, lost);
                }
            };
            step = attempt.step(shared.clock.now(), event);
        }
    }

    /// Sends a call on a seat of its own.
    async fn send(&self, job: &Job, call: &Call, seat: crate::entry::Seat) -> Result<Answer, EndpointError> {
        let shared = &self.entry.shared;
        let remaining = job.deadline.since(shared.clock.now());
        if !seat.is_good(shared) || remaining < SEND_MIN {
            seat.tell(EntryWord::Ended(End::Done));
            return Err(EndpointError {
                step: crate::engine::Step::Call,
                peer: seat.endpoint.to_string(),
                reason: "the grant had lapsed, or the endpoint went out of service".into(),
                sending: SendState::Before,
                missing: false,
            });
        }
        let call = Call { remaining, ..call.clone() };
        let result = shared.adapters.services.call(&seat.address, call).await;
        let end = if result.is_ok() { End::Done } else { End::Broken };
        seat.tell(EntryWord::Ended(end));
        shared.journal.request(job.id, Decision::Ended { endpoint: seat.endpoint.clone(), end });
        result
    }

    /// Sends a claimed call, once.
    async fn send_once(&self, job: &Job, call: &Call, lost: &mut Option<Failure>) -> Event {
        let mut attempt = 0;
        let seat = match self.entry.place(job, &mut attempt, &[]).await {
            Ok(seat) => seat,
            Err(refusal) => {
                *lost = Some(Failure::refused(&refusal, None));
                return Event::NotSent;
            }
        };
        match self.send(job, call, seat).await {
            Ok(answer) => Event::Answered(answer),
            Err(e) => {
                *lost = Some(failed(&e, e.sending.outcome()));
                if e.sending == SendState::Started { Event::Broken } else { Event::NotSent }
            }
        }
    }

    async fn write(&self, key: &str, expect: u64, claim: Claim) -> Event {
        let Ok(value) = serde_json::to_value(&claim) else {
            return Event::StoreDown;
        };
        let (done, result) = oneshot::channel();
        let write = Write { key: key.to_owned(), expect, value };
        let _ = self.ledger.tell(Put { write, done }).await;
        match result.await {
            Ok(Ok(Written::Done(version))) => Event::Written(version),
            Ok(Ok(Written::Conflict(Some(row)))) => stored(row).map_or(Event::ResponseLost, Event::Exists),
            Ok(Ok(Written::Conflict(None))) => Event::Read(None),
            Ok(Err(e)) => {
                warn!("{e}");
                tokio::time::sleep(STORE_DELAY).await;
                if e.effect == Effect::None { Event::StoreDown } else { Event::ResponseLost }
            }
            Err(_) => Event::ResponseLost,
        }
    }

    async fn read(&self, key: &str) -> Event {
        if let Ok(row) = self.entry.shared.adapters.tables.read(ledger::TABLE, key).await {
            match row.map(stored) {
                Some(Some(row)) => Event::Read(Some(row)),
                Some(None) => Event::ResponseLost,
                None => Event::Read(None),
            }
        } else {
            tokio::time::sleep(STORE_DELAY).await;
            Event::StoreDown
        }
    }

    /// Records a result in the background; without it a repeat is told that the outcome is unknown.
    fn record(&self, key: &str, record: Option<(u64, Claim)>) {
        let Some((version, claim)) = record else { return };
        let (calls, key) = (self.clone(), key.to_owned());
        tokio::spawn(async move {
            for _ in 0..RECORD_TRIES {
                match calls.write(&key, version, claim.clone()).await {
                    Event::Written(_) | Event::Exists(_) => return,
                    _ => tokio::time::sleep(STORE_DELAY).await,
                }
            }
            warn!("the result of a call could not be recorded; repeats are told that it is unknown");
        });
    }
}

fn stored(row: Row<Value>) -> Option<StoredClaim> {
    let (version, age) = (row.version, row.age());
    serde_json::from_value(row.value).ok().map(|claim| StoredClaim { claim, version, age })
}

fn failed(error: &EndpointError, outcome: Outcome) -> Failure {
    let base = Failure::bad(Stage::Endpoint, "endpoint_failed", error.to_string()).at(error.peer.clone());
    let status =
        if outcome == Outcome::Unknown { StatusCode::BAD_GATEWAY } else { StatusCode::SERVICE_UNAVAILABLE };
    let failure = Failure { outcome, ..base.with_status(status) };
    if outcome == Outcome::NotRun { failure.retry_after(Duration::from_secs(1)) } else { failure }
}

fn verdict_of(verdict: Verdict, lost: Option<Failure>) -> Result<Answered, Failure> {
    let refusal = |code, message: &str| Failure::bad(Stage::Claim, code, message);
    match verdict {
        Verdict::Answer { answer, replayed } => Ok(Answered { answer, replayed }),
        Verdict::NotRun => Err(lost.map_or_else(
            || {
                refusal("not_sent", "the deadline left no time to send the call")
                    .with_status(StatusCode::SERVICE_UNAVAILABLE)
                    .retry_after(Duration::from_secs(1))
            },
            |f| Failure { outcome: Outcome::NotRun, ..f },
        )),
        Verdict::StoreDown => {
            Err(refusal("store_unavailable", "the platform's table service can't be reached")
                .with_status(StatusCode::SERVICE_UNAVAILABLE)
                .retry_after(PROGRESS_RETRY))
        }
        Verdict::Conflict => Err(refusal("key_conflict", "the idempotency key was used for another call")
            .with_status(StatusCode::UNPROCESSABLE_ENTITY)),
        Verdict::InProgress => Err(Failure::unknown(
            Stage::Claim,
            "in_progress",
            "an earlier call with the same key may still be running",
        )
        .with_status(StatusCode::CONFLICT)
        .retry_after(PROGRESS_RETRY)),
        Verdict::Unknown => Err(lost.unwrap_or_else(|| {
            Failure::unknown(Stage::Claim, "outcome_unknown", "the call may have run; its answer is lost")
        })),
    }
}

/// Key of a claim: bound to the customer and the service, so that nobody meets another's.
pub(crate) fn claim_key(customer: &str, service: &str, key: &str) -> String {
    digest(&[customer.as_bytes(), service.as_bytes(), key.as_bytes()])
}

/// Hash of a call's content.
pub(crate) fn content_hash(method: &str, path: &str, body: &[u8]) -> String {
    digest(&[method.as_bytes(), path.as_bytes(), body])
}

fn digest(parts: &[&[u8]]) -> String {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hex::encode(hash.finalize())
}
