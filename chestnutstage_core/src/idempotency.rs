//! Calls that may not be repeated run at most once.
//!
//! Before anything is sent, the caller's key is claimed by one conditional insert in the platform's table service. The
//! claim carries a nonce of this attempt, so that a lost answer from the store is settled by reading the row back. Only
//! the one whose nonce stands in the row sends, once, and only before its own deadline on a monotonic clock that
//! started before the insert. The result is recorded by a second write, so that a repeat gets the same answer.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::Nonce;
use crate::time::Time;

/// Age of a claim without a result after which its sender must be gone.
const CLAIM_LIFE: Duration = Duration::from_mins(2);

/// A service's answer, kept for repeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body, as text.
    pub body: String,
}

/// What became of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// May be running.
    Claimed,
    /// Ran, with this answer.
    Answered(Answer),
    /// Did not run; the key may be claimed anew.
    NotRun,
    /// May have run; the answer is lost.
    Lost,
}

/// Row of the table service, one a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of the call: method, path and body.
    pub hash: String,
    /// Identity of the attempt that holds the claim.
    pub nonce: Nonce,
    /// What became of it.
    pub status: Status,
}

/// A row with its store version and age.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredClaim {
    /// The row.
    pub claim: Claim,
    /// Version to compare against when replacing it.
    pub version: u64,
    /// Age by the store's own clock.
    pub age: Duration,
}

/// Something that happened to an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The conditional write took effect; the row now has this store version.
    Written(u64),
    /// The conditional write found another row.
    Exists(StoredClaim),
    /// The store was certainly not reached.
    StoreDown,
    /// The store's answer was lost; the write may have taken effect.
    AnswerLost,
    /// The row was read back.
    Read(Option<StoredClaim>),
    /// The service answered.
    Answered(Answer),
    /// No byte left for the service, or it declined in binding terms.
    NotSent,
    /// The connection broke after bytes had left.
    Broken,
}

/// How an attempt ends for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The service's answer.
    Answer {
        /// The answer.
        answer: Answer,
        /// Whether it comes from an earlier attempt.
        replayed: bool,
    },
    /// It did not run.
    NotRun,
    /// The store is out of reach, so it did not run.
    StoreDown,
    /// The key was used for another call.
    Conflict,
    /// An earlier attempt with the key may still be running.
    InProgress,
    /// It may have run; the answer is lost.
    Unknown,
}

/// What to do next.
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
    /// Answer the caller; record the row, too, if there is one.
    Finish(Verdict, Option<(u64, Claim)>),
}

/// One attempt at a call that may not be repeated.
#[derive(Debug)]
pub struct Attempt {
    claim: Claim,
    until: Time,
    version: u64,
    sent: bool,
}

impl Attempt {
    /// An attempt that may send until `until`; `nonce` must be unique.
    pub const fn new(hash: String, nonce: Nonce, until: Time) -> Self {
        Self { claim: Claim { hash, nonce, status: Status::Claimed }, until, version: 0, sent: false }
    }

    /// First step.
    pub fn start(&self) -> Step {
        Step::Insert(self.claim.clone())
    }

    /// Step after `event`.
    pub fn step(&mut self, now: Time, event: Event) -> Step {
        match event {
            Event::Written(version) => self.claimed(now, version),
            Event::Exists(row) | Event::Read(Some(row)) => self.found(now, row),
            // An insert whose answer was lost may still be on its way. The same nonce makes it safe to insert again.
            Event::Read(None) => self.again(now, Step::Insert(self.claim.clone())),
            Event::StoreDown | Event::AnswerLost => self.again(now, Step::Read),
            Event::Answered(answer) => {
                let status = Status::Answered(answer.clone());
                self.finish(Verdict::Answer { answer, replayed: false }, status)
            }
            Event::NotSent => self.finish(Verdict::NotRun, Status::NotRun),
            Event::Broken => self.finish(Verdict::Unknown, Status::Lost),
        }
    }

    /// The claim is this attempt's: sends, unless it is too late.
    fn claimed(&mut self, now: Time, version: u64) -> Step {
        if self.sent {
            return Step::Finish(Verdict::Unknown, None);
        }
        self.version = version;
        if now >= self.until {
            return self.finish(Verdict::NotRun, Status::NotRun);
        }
        self.sent = true;
        Step::Send
    }

    fn found(&mut self, now: Time, row: StoredClaim) -> Step {
        if row.claim.nonce == self.claim.nonce {
            return self.claimed(now, row.version);
        }
        if row.claim.hash != self.claim.hash {
            return Step::Finish(Verdict::Conflict, None);
        }
        match row.claim.status {
            Status::Answered(answer) => Step::Finish(Verdict::Answer { answer, replayed: true }, None),
            Status::NotRun => self.again(now, Step::Replace(row.version, self.claim.clone())),
            Status::Claimed if row.age < CLAIM_LIFE => Step::Finish(Verdict::InProgress, None),
            Status::Claimed | Status::Lost => Step::Finish(Verdict::Unknown, None),
        }
    }

    /// Goes on settling the claim while there is time; nothing has been sent yet.
    fn again(&self, now: Time, step: Step) -> Step {
        if now >= self.until {
            return Step::Finish(Verdict::StoreDown, None);
        }
        step
    }

    fn finish(&self, verdict: Verdict, status: Status) -> Step {
        let claim = Claim { status, ..self.claim.clone() };
        Step::Finish(verdict, Some((self.version, claim)))
    }
}
