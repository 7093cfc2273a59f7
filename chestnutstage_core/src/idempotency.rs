//! At-most-once execution of calls that must not be repeated.
//!
//! Before anything is sent, the caller's idempotency key is claimed by one conditional insert into the platform's table
//! service. The claim carries a nonce of this attempt, so that a lost response from the store is resolved by reading the
//! row back. Only the attempt whose nonce is in the row sends the call, once, and only before its own deadline on a
//! monotonic clock that started before the insert. A second write records the result, so that a retry with the same key
//! gets the same response.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::Nonce;
use crate::time::Time;

/// Age from which a claim without a result counts as abandoned, because its sender can no longer be running.
const CLAIM_ABANDONED_AFTER: Duration = Duration::from_mins(2);

/// A service's response, stored for retries with the same key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body, as text.
    pub body: String,
}

/// State of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// The call may be running.
    Claimed,
    /// The call ran and returned this response.
    Answered(Answer),
    /// The call did not run; the key may be claimed again.
    NotRun,
    /// The call may have run; its response is lost.
    Lost,
}

/// Row of the table service, one per key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of the call's method, path and body.
    pub hash: String,
    /// Nonce of the attempt that holds the claim.
    pub nonce: Nonce,
    /// State of the call.
    pub status: Status,
}

/// A claim row with its store version and age.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredClaim {
    /// The row.
    pub claim: Claim,
    /// Version that a conditional write must match to replace the row.
    pub version: u64,
    /// Age by the store's clock.
    pub age: Duration,
}

/// Event in the course of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The conditional write took effect; the row now has this store version.
    Written(u64),
    /// The conditional write found another row.
    Exists(StoredClaim),
    /// The store was not reached, so a write had no effect.
    StoreDown,
    /// The store's response was lost; the write may have taken effect.
    ResponseLost,
    /// The row was read back.
    Read(Option<StoredClaim>),
    /// The service responded.
    Answered(Answer),
    /// No byte was sent to the service, or the service guaranteed that it did not run the call.
    NotSent,
    /// The connection broke after bytes were sent.
    Broken,
}

/// Result of an attempt, as reported to its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The service's response.
    Answer {
        /// The response.
        answer: Answer,
        /// Whether it was recorded by an earlier attempt.
        replayed: bool,
    },
    /// The call did not run.
    NotRun,
    /// The store is unreachable, so the call did not run.
    StoreDown,
    /// The key was used for another call.
    Conflict,
    /// An earlier attempt with the key may still be running.
    InProgress,
    /// The call may have run; its response is lost.
    Unknown,
}

/// Next action of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Insert the row if the key has none.
    Insert(Claim),
    /// Replace the row if it still has this store version.
    Replace(u64, Claim),
    /// Read the row.
    Read,
    /// Send the call.
    Send,
    /// Respond to the caller, and write the row if there is one.
    Finish(Verdict, Option<(u64, Claim)>),
}

/// One attempt at a call that must not be repeated.
#[derive(Debug)]
pub struct Attempt {
    claim: Claim,
    deadline: Time,
    version: u64,
    sent: bool,
}

impl Attempt {
    /// Creates an attempt that may send before `deadline`; `nonce` must be unique.
    pub const fn new(hash: String, nonce: Nonce, deadline: Time) -> Self {
        Self { claim: Claim { hash, nonce, status: Status::Claimed }, deadline, version: 0, sent: false }
    }

    /// Returns the first step.
    pub fn start(&self) -> Step {
        Step::Insert(self.claim.clone())
    }

    /// Returns the step that follows `event`.
    pub fn step(&mut self, now: Time, event: Event) -> Step {
        match event {
            Event::Written(version) => self.on_claimed(now, version),
            Event::Exists(row) | Event::Read(Some(row)) => self.on_existing(now, row),
            // An insert whose response was lost may still be in flight. The same nonce makes a second insert safe.
            Event::Read(None) => self.step_before_deadline(now, Step::Insert(self.claim.clone())),
            Event::StoreDown | Event::ResponseLost => self.step_before_deadline(now, Step::Read),
            Event::Answered(answer) => {
                let status = Status::Answered(answer.clone());
                self.finish(Verdict::Answer { answer, replayed: false }, status)
            }
            Event::NotSent => self.finish(Verdict::NotRun, Status::NotRun),
            Event::Broken => self.finish(Verdict::Unknown, Status::Lost),
        }
    }

    /// This attempt holds the claim: sends the call unless the deadline has passed.
    fn on_claimed(&mut self, now: Time, version: u64) -> Step {
        if self.sent {
            return Step::Finish(Verdict::Unknown, None);
        }
        self.version = version;
        if now >= self.deadline {
            return self.finish(Verdict::NotRun, Status::NotRun);
        }
        self.sent = true;
        Step::Send
    }

    fn on_existing(&mut self, now: Time, row: StoredClaim) -> Step {
        if row.claim.nonce == self.claim.nonce {
            return self.on_claimed(now, row.version);
        }
        if row.claim.hash != self.claim.hash {
            return Step::Finish(Verdict::Conflict, None);
        }
        match row.claim.status {
            Status::Answered(answer) => Step::Finish(Verdict::Answer { answer, replayed: true }, None),
            Status::NotRun => self.step_before_deadline(now, Step::Replace(row.version, self.claim.clone())),
            Status::Claimed if row.age < CLAIM_ABANDONED_AFTER => Step::Finish(Verdict::InProgress, None),
            Status::Claimed | Status::Lost => Step::Finish(Verdict::Unknown, None),
        }
    }

    /// Continues with `step` before the deadline, and ends the attempt after it; nothing has been sent yet.
    fn step_before_deadline(&self, now: Time, step: Step) -> Step {
        if now >= self.deadline {
            return Step::Finish(Verdict::StoreDown, None);
        }
        step
    }

    fn finish(&self, verdict: Verdict, status: Status) -> Step {
        let claim = Claim { status, ..self.claim.clone() };
        Step::Finish(verdict, Some((self.version, claim)))
    }
}
