//! Calls that must not be repeated run at most once.

use std::collections::VecDeque;
use std::time::Duration;

use chestnutstage_core::idempotency::{Answer, Attempt, Claim, Event, Status, Step, StoredClaim, Verdict};
use chestnutstage_core::ids::Nonce;
use chestnutstage_core::time::Time;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn attempt(nonce: u128) -> Attempt {
    Attempt::new("hash".into(), Nonce(nonce), at(1_000))
}

fn row(nonce: u128, status: Status) -> StoredClaim {
    let claim = Claim { hash: "hash".into(), nonce: Nonce(nonce), status };
    StoredClaim { claim, version: 1, age: Duration::ZERO }
}

fn answer() -> Answer {
    Answer { status: 201, body: "booked".into() }
}

#[test]
fn lost_insert_response() {
    let mut attempt = attempt(1);
    assert_eq!(attempt.step(at(0), Event::ResponseLost), Step::Read);
    assert_eq!(attempt.step(at(10), Event::Read(Some(row(1, Status::Claimed)))), Step::Send);
}

#[test]
fn insert_in_flight() {
    let mut attempt = attempt(1);
    attempt.step(at(0), Event::ResponseLost);
    assert!(matches!(attempt.step(at(10), Event::Read(None)), Step::Insert(_)));
    assert_eq!(attempt.step(at(20), Event::Exists(row(1, Status::Claimed))), Step::Send);
}

#[test]
fn paused_sender() {
    let mut attempt = attempt(1);
    let step = attempt.step(at(5_000), Event::Written(1));
    assert!(matches!(step, Step::Finish(Verdict::NotRun, Some((1, Claim { status: Status::NotRun, .. })))));
}

#[test]
fn key_reuse_conflict() {
    let mut other = row(2, Status::Claimed);
    other.claim.hash = "another".into();
    assert_eq!(attempt(1).step(at(0), Event::Exists(other)), Step::Finish(Verdict::Conflict, None));
}

#[test]
fn replayed_answer() {
    let found = Event::Exists(row(2, Status::Answered(answer())));
    let verdict = Verdict::Answer { answer: answer(), replayed: true };
    assert_eq!(attempt(1).step(at(0), found), Step::Finish(verdict, None));
}

#[test]
fn dead_sender() {
    let mut old = row(2, Status::Claimed);
    assert_eq!(attempt(1).step(at(0), Event::Exists(old.clone())), Step::Finish(Verdict::InProgress, None));
    old.age = Duration::from_hours(1);
    assert_eq!(attempt(1).step(at(0), Event::Exists(old)), Step::Finish(Verdict::Unknown, None));
}

#[test]
fn not_run_retried() {
    let mut attempt = attempt(1);
    let step = attempt.step(at(0), Event::Exists(row(2, Status::NotRun)));
    assert!(matches!(step, Step::Replace(1, _)));
    assert_eq!(attempt.step(at(10), Event::Written(2)), Step::Send);
}

#[test]
fn broken_call() {
    let mut attempt = attempt(1);
    attempt.step(at(0), Event::Written(1));
    let step = attempt.step(at(10), Event::Broken);
    assert!(matches!(step, Step::Finish(Verdict::Unknown, Some((1, Claim { status: Status::Lost, .. })))));
}

#[test]
fn store_down() {
    let mut attempt = attempt(1);
    assert_eq!(attempt.step(at(0), Event::StoreDown), Step::Read);
    assert_eq!(attempt.step(at(1_000), Event::StoreDown), Step::Finish(Verdict::StoreDown, None));
}

/// A store that loses responses, delays writes and becomes unreachable, according to the generated faults.
#[derive(Debug, Default)]
struct Store {
    row: Option<(Claim, u64)>,
    delayed: VecDeque<(u64, Claim)>,
}

impl Store {
    fn write(&mut self, expect: u64, claim: Claim) -> Result<u64, Option<StoredClaim>> {
        let version = self.row.as_ref().map_or(0, |(_, v)| *v);
        if version != expect {
            return Err(self.read());
        }
        self.row = Some((claim, version + 1));
        Ok(version + 1)
    }

    fn read(&self) -> Option<StoredClaim> {
        let (claim, version) = self.row.clone()?;
        Some(StoredClaim { claim, version, age: Duration::ZERO })
    }

    /// Applies the oldest delayed write.
    fn apply_delayed(&mut self) {
        if let Some((expect, claim)) = self.delayed.pop_front() {
            let _ = self.write(expect, claim);
        }
    }
}

/// One of several clients that use the same key, in sequence or concurrently.
struct Client {
    attempt: Attempt,
    step: Option<Step>,
    verdict: Option<Verdict>,
}

proptest! {
    #![proptest_config(Config { cases: 4_000, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() })]

    /// Several attempts with one key, interleaved at every step, against a store with all of these faults.
    #[test]
    fn any_interleaving(choices in prop::collection::vec((0_usize..4, 0_u8..12, 0_u64..300), 1..80)) {
        let mut store = Store::default();
        let mut runs = 0;
        let mut now = 0;
        let mut clients: Vec<_> = (0..4).map(|i| {
            let attempt = Attempt::new("hash".into(), Nonce(i + 1), at(4_000));
            let step = Some(attempt.start());
            Client { attempt, step, verdict: None }
        }).collect();
        for (index, fault, pause) in choices {
            now += pause;
            if fault == 0 {
                store.apply_delayed();
            }
            let client = &mut clients[index];
            let event = match client.step.take() {
                None => continue,
                Some(Step::Insert(claim)) => write(&mut store, 0, claim, fault),
                Some(Step::Replace(expect, claim)) => write(&mut store, expect, claim, fault),
                Some(Step::Read) if fault == 1 => Event::StoreDown,
                Some(Step::Read) => Event::Read(store.read()),
                Some(Step::Send) => match fault {
                    2 | 3 => Event::NotSent,
                    4 => { runs += 1; Event::Broken }
                    5 => Event::Broken,
                    _ => { runs += 1; Event::Answered(answer()) }
                },
                Some(Step::Finish(verdict, record)) => {
                    if let Some((version, claim)) = record && fault != 6 {
                        let _ = store.write(version, claim);
                    }
                    client.verdict = Some(verdict);
                    continue;
                }
            };
            client.step = Some(client.attempt.step(at(now), event));
        }
        prop_assert!(runs <= 1, "the call ran {runs} times");
        let reported = |v: &Verdict| clients.iter().any(|c| c.verdict.as_ref() == Some(v));
        let done = Verdict::Answer { answer: answer(), replayed: false };
        prop_assert!(!reported(&done) || runs == 1);
        let refused = clients.iter().all(|c| matches!(c.verdict, Some(Verdict::NotRun | Verdict::StoreDown)));
        prop_assert!(!refused || runs == 0, "the call ran, but every client was told that it did not");
    }
}

fn write(store: &mut Store, expect: u64, claim: Claim, fault: u8) -> Event {
    match fault {
        1 => Event::StoreDown,
        2 => {
            let _ = store.write(expect, claim);
            Event::ResponseLost
        }
        3 => {
            store.delayed.push_back((expect, claim));
            Event::ResponseLost
        }
        _ => match store.write(expect, claim) {
            Ok(version) => Event::Written(version),
            Err(Some(row)) => Event::Exists(row),
            Err(None) => Event::Read(None),
        },
    }
}
