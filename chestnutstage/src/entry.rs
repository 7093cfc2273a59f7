//! The entry's part in the path of a request: from a customer's wish to a seat at an endpoint.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use chestnutstage_core::decision::Decision;
use chestnutstage_core::endpoint::Size;
use chestnutstage_core::ids::{CustomerId, EndpointId, InstanceId, ModelId, RequestId, Ticket, ZoneId};
use chestnutstage_core::outcome::Refusal;
use chestnutstage_core::owner::{Cause, GRANT_TTL, GrantRequest, Summary};
use chestnutstage_core::time::Time;
use rand::Rng;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, timeout_at};

use crate::link::GrantStream;
use crate::link::message::{EntryMessage, OwnerMessage};
use crate::owners::Owners;
use crate::shared::{Shared, lock};

/// Silence after which an owner that holds a waiting request is given up.
const OWNER_SILENCE: Duration = Duration::from_millis(2_500);
/// Rounds over the candidates before a refusal stands.
const ROUNDS_MAX: u32 = 5;
/// Wait in a queue before room is looked for elsewhere.
const HUNT_FIRST: Duration = Duration::from_millis(100);
/// Longest interval between looks elsewhere.
const HUNT_MAX: Duration = Duration::from_secs(2);
/// When a caller is told to come back if no owner could be reached.
const RETRY_DEFAULT: Duration = Duration::from_secs(1);

/// A request that wants an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) id: RequestId,
    pub(crate) customer: CustomerId,
    pub(crate) weight: u32,
    pub(crate) model: ModelId,
    pub(crate) size: Size,
    pub(crate) prefix: Option<u64>,
    pub(crate) deadline: Time,
}

/// A granted place at an endpoint.
#[derive(Debug)]
pub(crate) struct Seat {
    pub(crate) ticket: Ticket,
    pub(crate) endpoint: EndpointId,
    pub(crate) zone: ZoneId,
    pub(crate) address: String,
    /// Work must start before this time.
    until: Time,
    words: mpsc::UnboundedReceiver<OwnerMessage>,
    tell: mpsc::UnboundedSender<EntryMessage>,
}

impl Seat {
    /// Whether work may start now: the grant is fresh and the endpoint is in service.
    pub(crate) fn is_good(&self, shared: &Shared) -> bool {
        shared.clock.now() < self.until && shared.may_use(&self.endpoint, &self.zone)
    }

    /// Counts the grant as fresh: work on the endpoint is under way, and it is still owned by the same grant.
    pub(crate) fn renew(&mut self, shared: &Shared) {
        self.until = shared.clock.now() + GRANT_TTL;
    }

    /// Tells the owner of the request's course.
    pub(crate) fn tell(&self, word: EntryMessage) {
        // An owner that is gone needs no word.
        let _ = self.tell.send(word);
    }

    /// Waits until the owner takes the grant back; forever if the owner is gone.
    pub(crate) async fn recalled(&mut self) -> Cause {
        loop {
            match self.words.recv().await {
                Some(OwnerMessage::Recalled(cause)) => return cause,
                Some(_) => {}
                None => std::future::pending().await,
            }
        }
    }
}

/// What asking one owner gave.
enum Asked {
    Seat(Box<Seat>),
    Refused(Refusal),
    Lost,
}

/// Ticket of the job's next attempt.
const fn next_ticket(job: &Job, attempt: &mut u16) -> Ticket {
    let ticket = Ticket { request: job.id, attempt: *attempt };
    *attempt = attempt.wrapping_add(1);
    ticket
}

/// Finds endpoints for requests.
#[derive(Clone)]
pub(crate) struct Entry {
    pub(crate) shared: Arc<Shared>,
    pub(crate) owners: Owners,
}

impl Entry {
    /// Gets a seat for `job`; `attempt` counts over the job's seats, `avoid` names the endpoints that failed it.
    ///
    /// # Errors
    ///
    /// The refusal of the last owner asked, at once; nothing has been sent to an endpoint.
    pub(crate) async fn place(
        &self,
        job: &Job,
        attempt: &mut u16,
        avoid: &[EndpointId],
    ) -> Result<Seat, Refusal> {
        // The owner refuses what is late; an owner that is late itself must not keep the caller waiting.
        let due = self.shared.clock.instant(job.deadline);
        match timeout_at(due, self.place_in_rounds(job, attempt, avoid)).await {
            Ok(placed) => placed,
            Err(_) => Err(Refusal::Expired { retry: RETRY_DEFAULT }),
        }
    }

    async fn place_in_rounds(
        &self,
        job: &Job,
        attempt: &mut u16,
        avoid: &[EndpointId],
    ) -> Result<Seat, Refusal> {
        let mut refusal = Refusal::NoEndpoint { retry: RETRY_DEFAULT };
        for round in 0..ROUNDS_MAX {
            self.shared.check_current()?;
            match self.round(job, attempt, avoid).await {
                Ok(seat) => return Ok(*seat),
                Err(r) => refusal = r,
            }
            // Ownership may be on the move; a moment later another instance has the endpoints.
            if !matches!(refusal, Refusal::NoEndpoint { .. } | Refusal::Leaving | Refusal::Busy { .. }) {
                return Err(refusal);
            }
            let Some(delay) = lock(&self.shared.budget).retry(round + 2) else {
                return Err(refusal);
            };
            if self.shared.clock.now() + delay >= job.deadline {
                return Err(refusal);
            }
            sleep(delay).await;
        }
        Err(refusal)
    }

    /// Gets a seat only if some owner has room for `job` now.
    pub(crate) async fn place_now(&self, job: &Job, attempt: &mut u16) -> Result<Seat, Refusal> {
        self.shared.check_current()?;
        let now = self.shared.clock.now();
        let candidates = lock(&self.shared.router).candidates(now, &job.model, job.size.class(), job.prefix);
        let mut refusal = Refusal::NoEndpoint { retry: RETRY_DEFAULT };
        for owner in candidates {
            let ticket = next_ticket(job, attempt);
            match self.ask(job, ticket, &[], &owner, false).await {
                Asked::Seat(seat) => return Ok(*seat),
                Asked::Refused(r) => refusal = r,
                Asked::Lost => {}
            }
        }
        Err(refusal)
    }

    /// Asks the candidates in turn, and waits at the one with the shortest queue if none has room.
    async fn round(&self, job: &Job, attempt: &mut u16, avoid: &[EndpointId]) -> Result<Box<Seat>, Refusal> {
        let now = self.shared.clock.now();
        let candidates = lock(&self.shared.router).candidates(now, &job.model, job.size.class(), job.prefix);
        let mut refusal = Refusal::NoEndpoint { retry: RETRY_DEFAULT };
        let mut shortest: Option<(Duration, InstanceId)> = None;
        for owner in candidates {
            let ticket = next_ticket(job, attempt);
            match self.ask(job, ticket, avoid, &owner, false).await {
                Asked::Seat(seat) => return Ok(seat),
                Asked::Refused(Refusal::Busy { wait }) => {
                    if shortest.as_ref().is_none_or(|(w, _)| wait < *w) {
                        shortest = Some((wait, owner));
                    }
                }
                Asked::Refused(r) => refusal = r,
                Asked::Lost => {}
            }
        }
        let Some((_, owner)) = shortest else {
            return Err(refusal);
        };
        self.queue(job, attempt, avoid, &owner).await
    }

    /// Waits in the queue of `owner`, and goes on looking for room elsewhere meanwhile.
    async fn queue(
        &self,
        job: &Job,
        attempt: &mut u16,
        avoid: &[EndpointId],
        owner: &InstanceId,
    ) -> Result<Box<Seat>, Refusal> {
        let ticket = next_ticket(job, attempt);
        let mut queued = pin!(self.ask(job, ticket, avoid, owner, true));
        let mut pause = HUNT_FIRST;
        loop {
            match timeout(pause, &mut queued).await {
                Ok(Asked::Seat(seat)) => return Ok(seat),
                Ok(Asked::Refused(refusal)) => return Err(refusal),
                Ok(Asked::Lost) => return Err(Refusal::NoEndpoint { retry: RETRY_DEFAULT }),
                Err(_) => {}
            }
            // Dropping the place in the queue ends it there.
            if let Some(seat) = self.hunt(job, attempt, avoid, owner).await {
                return Ok(seat);
            }
            pause = (pause * 2).min(HUNT_MAX);
        }
    }

    /// Asks one other owner for room.
    async fn hunt(
        &self,
        job: &Job,
        attempt: &mut u16,
        avoid: &[EndpointId],
        queued: &InstanceId,
    ) -> Option<Box<Seat>> {
        let now = self.shared.clock.now();
        let candidates = lock(&self.shared.router).candidates(now, &job.model, job.size.class(), job.prefix);
        let others: Vec<_> = candidates.into_iter().filter(|c| c != queued).collect();
        let chosen = lock(&self.shared.rng).random_range(0..others.len().max(1));
        let owner = others.get(chosen)?;
        let ticket = next_ticket(job, attempt);
        match self.ask(job, ticket, avoid, owner, false).await {
            Asked::Seat(seat) => Some(seat),
            _ => None,
        }
    }

    async fn ask(
        &self,
        job: &Job,
        ticket: Ticket,
        avoid: &[EndpointId],
        owner: &InstanceId,
        may_queue: bool,
    ) -> Asked {
        let asked = self.shared.clock.now();
        let ask = GrantRequest {
            ticket,
            customer: job.customer.clone(),
            weight: job.weight,
            model: job.model.clone(),
            size: job.size,
            prefix: job.prefix,
            may_queue,
            avoid: avoid.to_vec(),
        };
        self.shared.journal.request(job.id, Decision::Routed { owner: owner.clone() });
        let Ok(conversation) = self.owners.ask(owner, ask, job.deadline.since(asked)).await else {
            return self.lost(job, owner);
        };
        self.await_seat(job, ticket, owner, asked, conversation).await
    }

    /// Waits for the owner's word, as long as the owner shows that it is there.
    async fn await_seat(
        &self,
        job: &Job,
        ticket: Ticket,
        owner: &InstanceId,
        asked: Time,
        conversation: GrantStream,
    ) -> Asked {
        let GrantStream { incoming: mut words, outgoing: tell } = conversation;
        loop {
            let Ok(Some(word)) = timeout(OWNER_SILENCE, words.recv()).await else {
                return self.lost(job, owner);
            };
            match word {
                OwnerMessage::Queued => {}
                OwnerMessage::Granted { endpoint, zone, address, waited, summary } => {
                    self.learn(owner, job, summary);
                    let granted = Decision::Granted { endpoint: endpoint.clone() };
                    self.shared.journal.request(job.id, granted);
                    let until = asked + waited + GRANT_TTL;
                    return Asked::Seat(Box::new(Seat {
                        ticket,
                        endpoint,
                        zone,
                        address,
                        until,
                        words,
                        tell,
                    }));
                }
                OwnerMessage::Refused { refusal, summary } => {
                    self.learn(owner, job, summary);
                    return Asked::Refused(refusal);
                }
                OwnerMessage::Recalled(_) => return self.lost(job, owner),
            }
        }
    }

    fn learn(&self, owner: &InstanceId, job: &Job, summary: Summary) {
        lock(&self.shared.router).record_summary(self.shared.clock.now(), owner, &job.model, summary);
    }

    fn lost(&self, job: &Job, owner: &InstanceId) -> Asked {
        lock(&self.shared.router).avoid(self.shared.clock.now(), owner);
        self.shared.journal.request(job.id, Decision::OwnerLost { owner: owner.clone() });
        Asked::Lost
    }
}
