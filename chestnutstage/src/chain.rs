//! Runs completions whose prompt exceeds the KV memory of any single engine.
//!
//! [`Chain`] in the core decides the next step, and this module executes it. However the run ends, its KV memory is
//! freed: a [`Reservation`] frees itself when it is dropped, and the engine's owner frees those of a dead entry.

use std::sync::Arc;
use std::time::Duration;

use chestnutstage_core::chain::{Chain, Event, Step, plan};
use chestnutstage_core::endpoint::{Kind, Size};
use chestnutstage_core::ids::RequestId;
use chestnutstage_core::length::{Class, Tokens};
use chestnutstage_core::outcome::{Refusal, SendEvent};
use chestnutstage_core::owner::End;
use chestnutstage_core::reservation::ReservationName;
use log::warn;
use rand::Rng;
use tokio::time::{sleep, sleep_until};

use crate::caller::chat::prompt_text;
use crate::completion::{AttemptResult, Completion};
use crate::engine::{KvReservation, PrefillRequest};
use crate::entry::{Grant, Job};
use crate::failure::{Failure, Stage};
use crate::link::message::EntryMessage;
use crate::shared::{Shared, lock};

/// Minimum backoff after a grant was refused or an engine had too little free memory.
const BACKOFF_MIN_S: f64 = 0.1;
/// Maximum backoff after a grant was refused or an engine had too little free memory.
const BACKOFF_MAX_S: f64 = 0.6;
/// Retry delay returned to a caller whose chain can't be finished before the deadline.
const CHAIN_RETRY_AFTER: Duration = Duration::from_secs(10);

/// A segment of the prompt, with its grant and its reservation.
struct Segment {
    size: Size,
    text: String,
    grant: Option<Grant>,
    reservation: Option<Reservation>,
}

/// A reservation of KV memory on an engine; freed when dropped.
struct Reservation {
    shared: Arc<Shared>,
    address: String,
    name: String,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let (engines, address, name) =
            (self.shared.adapters.engines.clone(), self.address.clone(), self.name.clone());
        tokio::spawn(async move {
            if let Err(e) = engines.free(&address, &name).await {
                warn!("{e}; the engine's owner will free the reservation");
            }
        });
    }
}

impl Reservation {
    /// Location from which another engine imports the KV cache.
    fn location(&self) -> String {
        format!("{}/kv/{}", self.address, self.name)
    }
}

impl Completion {
    /// Segments of the prompt, if no single engine can hold it.
    pub(crate) fn segments(&self) -> Option<Vec<Size>> {
        let largest = self.largest_memory();
        if largest == Tokens(0) || self.job.size.memory() <= largest {
            return None;
        }
        plan(self.job.size, largest)
    }

    fn largest_memory(&self) -> Tokens {
        let listing = self.entry.shared.listing.borrow().clone();
        let engines = listing.endpoints.iter().filter(|e| e.kind == Kind::Engine);
        engines.filter(|e| e.models.contains(&self.job.model)).map(|e| e.memory).max().unwrap_or_default()
    }

    /// Runs a chain of segments of these `sizes` up to the end of the response.
    pub(crate) async fn run_chained(&mut self, sizes: Vec<Size>) {
        if let Err(refusal) = self.admit_chain() {
            return self.refuse(&refusal).await;
        }
        let mut segments = split(&prompt_text(&self.body), sizes);
        let deadline = self.entry.shared.clock.instant(self.job.deadline);
        let deadline_failure = self.deadline_exceeded();
        let caller_gone = self.caller_gone();
        let failure = tokio::select! {
            failure = self.run_steps(&mut segments) => failure,
            () = caller_gone => return,
            () = sleep_until(deadline) => Some(deadline_failure),
        };
        drop(segments);
        if let Some(failure) = failure {
            self.fail(self.with_outcome(failure)).await;
        }
    }

    /// Refuses a request that can't be finished before its deadline even on idle engines.
    fn admit_chain(&self) -> Result<(), Refusal> {
        let listing = self.entry.shared.listing.borrow().clone();
        let engines = listing.endpoints.iter().filter(|e| e.models.contains(&self.job.model));
        let size = self.job.size;
        let estimate = engines.map(|e| e.speed.prefill(size.prompt) + e.speed.decode(size.output)).min();
        let remaining = self.job.deadline.since(self.entry.shared.clock.now());
        match estimate {
            Some(estimate) if estimate > remaining => {
                Err(Refusal::Overloaded { estimate, remaining, retry: CHAIN_RETRY_AFTER })
            }
            _ => Ok(()),
        }
    }

    async fn run_steps(&mut self, segments: &mut [Segment]) -> Option<Failure> {
        let mut chain = Chain::new(segments.len());
        let mut step = chain.next();
        loop {
            step = match step {
                Step::RequestGrant(i) => {
                    let event = self.request_grant(&mut segments[i]).await;
                    chain.step(i, event)
                }
                Step::Reserve(i) => {
                    let event = self.reserve(i, &mut segments[i]).await;
                    chain.step(i, event)
                }
                Step::Prefill(i) => {
                    let import = i
                        .checked_sub(1)
                        .and_then(|previous| segments[previous].reservation.as_ref())
                        .map(Reservation::location);
                    let event = self.prefill(i, &mut segments[i], import).await;
                    chain.step(i, event)
                }
                Step::Decode => {
                    let last = segments.len() - 1;
                    self.chain = segments
                        .iter()
                        .filter_map(|s| s.reservation.as_ref())
                        .map(Reservation::location)
                        .collect();
                    match self.decode(&mut segments[last]).await {
                        Ok(event) => chain.step(last, event),
                        Err(failure) => return Some(failure),
                    }
                }
                Step::BackOff => {
                    segments.iter_mut().for_each(release);
                    let wait = lock(&self.entry.shared.rng).random_range(BACKOFF_MIN_S..BACKOFF_MAX_S);
                    sleep(Duration::from_secs_f64(wait)).await;
                    chain.next()
                }
                Step::Finish => return None,
                Step::Fail => {
                    let message = "too many engines broke under the prompt's segments";
                    return Some(Failure::unknown(Stage::Endpoint, "endpoint_failed", message));
                }
            };
        }
    }

    async fn request_grant(&mut self, segment: &mut Segment) -> Event {
        let job = Job { size: segment.size, prefix: None, ..self.job.clone() };
        match self.entry.place_now(&job, &mut self.attempt).await {
            Ok(grant) => {
                segment.grant = Some(grant);
                Event::Granted
            }
            Err(_) => Event::Refused,
        }
    }

    async fn reserve(&mut self, index: usize, segment: &mut Segment) -> Event {
        let shared = self.entry.shared.clone();
        let Some(grant) = segment.grant.as_ref().filter(|s| s.is_usable(&shared)) else {
            release(segment);
            return Event::Broken;
        };
        let name =
            ReservationName { holder: shared.me().clone(), request: self.job.id, segment: index as u32 }
                .to_string();
        let ttl = self.job.deadline.since(shared.clock.now()).as_millis() as u64;
        let kv_reservation = KvReservation { tokens: segment.size.memory().0, ttl, age: 0 };
        // Created before the call, so that the memory is freed even if the response is lost.
        let reservation = Reservation { shared: shared.clone(), address: grant.address.clone(), name };
        self.sending = self.sending.after(SendEvent::FirstByte);
        match shared.adapters.engines.reserve(&reservation.address, &reservation.name, kv_reservation).await {
            Ok(true) => {
                segment.reservation = Some(reservation);
                Event::Reserved
            }
            Ok(false) => Event::NoRoom,
            Err(e) => {
                warn!(request:% = self.job.id; "reserving memory for segment {index} failed; releasing the segment: {e}");
                release(segment);
                Event::Broken
            }
        }
    }

    async fn prefill(&mut self, index: usize, segment: &mut Segment, import: Option<String>) -> Event {
        let shared = self.entry.shared.clone();
        let request = PrefillRequest {
            // Prefills are numbered down from the highest attempt number. Attempts count up from zero, so the ids differ.
            request: RequestId(self.job.id.0 | (u128::from(u16::MAX) - index as u128)),
            text: segment.text.clone(),
            import,
            priority: Class::Long.priority(),
            remaining: self.job.deadline.since(shared.clock.now()),
        };
        let (Some(grant), Some(reservation)) = (segment.grant.as_mut(), segment.reservation.as_ref()) else {
            return Event::Broken;
        };
        let result = tokio::select! {
            result = shared.adapters.engines.prefill(&reservation.address, &reservation.name, request) => result,
            cause = grant.recalled() => {
                warn!(request:% = self.job.id; "grant of segment {index} recalled; releasing the segment: {cause}");
                release(segment);
                return Event::Broken;
            }
        };
        if let Err(e) = result {
            warn!(request:% = self.job.id; "prefill of segment {index} failed; releasing the segment: {e}");
            grant.report(EntryMessage::Ended(End::Broken));
            release(segment);
            return Event::Broken;
        }
        Event::Prefilled
    }

    /// Decodes the response on the last segment's engine.
    async fn decode(&mut self, segment: &mut Segment) -> Result<Event, Failure> {
        let Some(grant) = segment.grant.as_mut() else {
            return Ok(Event::Broken);
        };
        grant.renew(&self.entry.shared);
        match self.run_attempt(grant).await {
            AttemptResult::Complete | AttemptResult::CallerGone => Ok(Event::Done),
            AttemptResult::Retry(..) if self.is_output_empty() => {
                release(segment);
                Ok(Event::Broken)
            }
            AttemptResult::Retry(_, reason) => {
                Err(Failure::unknown(Stage::Endpoint, "endpoint_failed", reason))
            }
            AttemptResult::Failed(failure) => Err(failure),
        }
    }
}

/// Frees a segment's reservation and ends its grant.
fn release(segment: &mut Segment) {
    segment.reservation = None;
    if let Some(grant) = segment.grant.take() {
        grant.report(EntryMessage::Ended(End::Done));
    }
}

/// Splits the text in proportion to the prompt tokens in `sizes`.
fn split(text: &str, sizes: Vec<Size>) -> Vec<Segment> {
    let total: u64 = sizes.iter().map(|s| s.prompt.0).sum::<u64>().max(1);
    let mut start = 0;
    let mut cumulative = 0;
    let mut segments = Vec::new();
    for size in sizes {
        cumulative += size.prompt.0;
        let mut end = (text.len() as u128 * u128::from(cumulative) / u128::from(total)) as usize;
        while !text.is_char_boundary(end) {
            end += 1;
        }
        segments.push(Segment { size, text: text[start..end].to_owned(), grant: None, reservation: None });
        start = end;
    }
    segments
}
