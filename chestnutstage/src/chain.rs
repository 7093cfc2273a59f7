//! Run of a completion whose prompt no single engine can hold.
//!
//! The core's [`Chain`] says what to do next; here it is done. Whatever way the run ends, the memory it took is freed:
//! each reservation frees itself when it is dropped, and the engine's owner frees what a dead entry left behind.

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
use crate::completion::{Completion, Left};
use crate::engine::{KvReservation, PrefillRequest};
use crate::entry::{Job, Seat};
use crate::failure::{Failure, Stage};
use crate::link::message::EntryMessage;
use crate::shared::{Shared, lock};

/// Shortest wait before a chain that found no room is tried again.
const BACKOFF_MIN: f64 = 0.1;
/// Longest wait before a chain that found no room is tried again.
const BACKOFF_MAX: f64 = 0.6;
/// When a caller is told to come back if a chain can't be finished in time.
const RETRY: Duration = Duration::from_secs(10);

/// One segment with what it has so far.
struct Part {
    size: Size,
    text: String,
    seat: Option<Seat>,
    memory: Option<Reservation>,
}

/// Memory reserved on an engine; freed when dropped.
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
                warn!("{e}; the engine's owner frees it later");
            }
        });
    }
}

impl Reservation {
    /// Where others find it.
    fn place(&self) -> String {
        format!("{}/kv/{}", self.address, self.name)
    }
}

impl Completion {
    /// Segments of the prompt, if no engine can hold it whole.
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

    /// Runs a chain of `segments` to the one final answer.
    pub(crate) async fn run_chained(&mut self, segments: Vec<Size>) {
        if let Err(refusal) = self.admit_chain() {
            return self.refuse(&refusal).await;
        }
        let mut parts = cut(&prompt_text(&self.body), segments);
        let deadline = self.entry.shared.clock.instant(self.job.deadline);
        let late = self.late();
        let out = self.deserted();
        let failure = tokio::select! {
            failure = self.chain(&mut parts) => failure,
            () = out => return,
            () = sleep_until(deadline) => Some(late),
        };
        drop(parts);
        if let Some(failure) = failure {
            self.fail(self.judged(failure)).await;
        }
    }

    /// Refuses at once what can't be finished in time even on idle engines.
    fn admit_chain(&self) -> Result<(), Refusal> {
        let listing = self.entry.shared.listing.borrow().clone();
        let engines = listing.endpoints.iter().filter(|e| e.models.contains(&self.job.model));
        let size = self.job.size;
        let estimate = engines.map(|e| e.speed.prefill(size.prompt) + e.speed.decode(size.output)).min();
        let remaining = self.job.deadline.since(self.entry.shared.clock.now());
        match estimate {
            Some(estimate) if estimate > remaining => {
                Err(Refusal::Overloaded { estimate, remaining, retry: RETRY })
            }
            _ => Ok(()),
        }
    }

    async fn chain(&mut self, parts: &mut [Part]) -> Option<Failure> {
        let mut chain = Chain::new(parts.len());
        let mut step = chain.next();
        loop {
            step = match step {
                Step::RequestGrant(i) => {
                    let event = self.seat(&mut parts[i]).await;
                    chain.step(i, event)
                }
                Step::Reserve(i) => {
                    let event = self.reserve(i, &mut parts[i]).await;
                    chain.step(i, event)
                }
                Step::Prefill(i) => {
                    let import =
                        i.checked_sub(1).and_then(|b| parts[b].memory.as_ref()).map(Reservation::place);
                    let event = self.fill(i, &mut parts[i], import).await;
                    chain.step(i, event)
                }
                Step::Decode => {
                    let last = parts.len() - 1;
                    self.chain =
                        parts.iter().filter_map(|p| p.memory.as_ref()).map(Reservation::place).collect();
                    match self.decode(&mut parts[last]).await {
                        Ok(event) => chain.step(last, event),
                        Err(failure) => return Some(failure),
                    }
                }
                Step::BackOff => {
                    parts.iter_mut().for_each(release);
                    let wait = lock(&self.entry.shared.rng).random_range(BACKOFF_MIN..BACKOFF_MAX);
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

    async fn seat(&mut self, part: &mut Part) -> Event {
        let job = Job { size: part.size, prefix: None, ..self.job.clone() };
        match self.entry.place_now(&job, &mut self.attempt).await {
            Ok(seat) => {
                part.seat = Some(seat);
                Event::Granted
            }
            Err(_) => Event::Refused,
        }
    }

    async fn reserve(&mut self, number: usize, part: &mut Part) -> Event {
        let shared = self.entry.shared.clone();
        let Some(seat) = part.seat.as_ref().filter(|s| s.is_good(&shared)) else {
            release(part);
            return Event::Broken;
        };
        let name =
            ReservationName { holder: shared.me().clone(), request: self.job.id, segment: number as u32 }
                .to_string();
        let ttl = self.job.deadline.since(shared.clock.now()).as_millis() as u64;
        let holding = KvReservation { tokens: part.size.memory().0, ttl, age: 0 };
        // It must be freed even if the answer is lost.
        let reservation = Reservation { shared: shared.clone(), address: seat.address.clone(), name };
        self.sending = self.sending.after(SendEvent::FirstByte);
        match shared.adapters.engines.reserve(&reservation.address, &reservation.name, holding).await {
            Ok(true) => {
                part.memory = Some(reservation);
                Event::Reserved
            }
            Ok(false) => Event::NoRoom,
            Err(e) => {
                warn!(request:% = self.job.id; "{e}");
                release(part);
                Event::Broken
            }
        }
    }

    async fn fill(&mut self, number: usize, part: &mut Part, import: Option<String>) -> Event {
        let shared = self.entry.shared.clone();
        let segment = PrefillRequest {
            request: RequestId(self.job.id.0 | (u128::from(u16::MAX) - number as u128)),
            text: part.text.clone(),
            import,
            priority: Class::Long.priority(),
            remaining: self.job.deadline.since(shared.clock.now()),
        };
        let (Some(seat), Some(memory)) = (part.seat.as_mut(), part.memory.as_ref()) else {
            return Event::Broken;
        };
        let filled = tokio::select! {
            filled = shared.adapters.engines.prefill(&memory.address, &memory.name, segment) => filled,
            cause = seat.recalled() => {
                warn!(request:% = self.job.id; "a segment's grant was taken back: {cause}");
                release(part);
                return Event::Broken;
            }
        };
        if let Err(e) = filled {
            warn!(request:% = self.job.id; "{e}");
            seat.tell(EntryMessage::Ended(End::Broken));
            release(part);
            return Event::Broken;
        }
        Event::Prefilled
    }

    /// Generates the answer on the last segment's engine.
    async fn decode(&mut self, part: &mut Part) -> Result<Event, Failure> {
        let Some(seat) = part.seat.as_mut() else {
            return Ok(Event::Broken);
        };
        seat.renew(&self.entry.shared);
        match self.sit(seat).await {
            Left::Whole | Left::Gone => Ok(Event::Done),
            Left::Again(..) if self.is_untouched() => {
                release(part);
                Ok(Event::Broken)
            }
            Left::Again(_, reason) => Err(Failure::unknown(Stage::Endpoint, "endpoint_failed", reason)),
            Left::Failed(failure) => Err(failure),
        }
    }
}

/// Gives back all that a segment has.
fn release(part: &mut Part) {
    part.memory = None;
    if let Some(seat) = part.seat.take() {
        seat.tell(EntryMessage::Ended(End::Done));
    }
}

/// Cuts the text in proportion to the segments' tokens.
fn cut(text: &str, segments: Vec<Size>) -> Vec<Part> {
    let total: u64 = segments.iter().map(|s| s.prompt.0).sum::<u64>().max(1);
    let mut start = 0;
    let mut before = 0;
    let mut parts = Vec::new();
    for size in segments {
        before += size.prompt.0;
        let mut end = (text.len() as u128 * u128::from(before) / u128::from(total)) as usize;
        while !text.is_char_boundary(end) {
            end += 1;
        }
        parts.push(Part { size, text: text[start..end].to_owned(), seat: None, memory: None });
        start = end;
    }
    parts
}
