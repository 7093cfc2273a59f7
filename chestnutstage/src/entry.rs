//! Placement of requests at the entry: gets a grant on an endpoint from one of the owners.

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
use crate::owner_client::OwnerClient;
use crate::shared::{Shared, lock};

/// Time without a message after which an owner counts as lost.
const OWNER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum number of rounds over the candidate owners before a request is refused.
const ROUNDS_MAX: u32 = 5;
/// Time in a queue before another owner is asked for free capacity; doubles with every further attempt.
const SEARCH_DELAY_MIN: Duration = Duration::from_millis(100);
/// Maximum time between two such attempts while a request is queued.
const SEARCH_DELAY_MAX: Duration = Duration::from_secs(2);
/// Retry delay returned to a caller if no owner gave one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request to be placed on an endpoint.
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

/// A grant on an endpoint.
#[derive(Debug)]
pub(crate) struct Grant {
    pub(crate) ticket: Ticket,
    pub(crate) endpoint: EndpointId,
    pub(crate) zone: ZoneId,
    pub(crate) address: String,
    /// Work must start before this time.
    expiry: Time,
    messages: mpsc::UnboundedReceiver<OwnerMessage>,
    reports: mpsc::UnboundedSender<EntryMessage>,
}

impl Grant {
    /// Returns whether work may start now: the grant has not expired, and the endpoint is in service.
    pub(crate) fn is_usable(&self, shared: &Shared) -> bool {
        shared.clock.now() < self.expiry && shared.may_use(&self.endpoint, &self.zone)
    }

    /// Restarts the TTL of the grant. Valid only while work on the endpoint is in progress under this grant.
    pub(crate) fn renew(&mut self, shared: &Shared) {
        self.expiry = shared.clock.now() + GRANT_TTL;
    }

    /// Reports the progress of the request to the owner.
    pub(crate) fn report(&self, message: EntryMessage) {
        // Sending fails only if the owner is gone, which needs no report.
        let _ = self.reports.send(message);
    }

    /// Waits until the owner recalls the grant; never returns if the owner is gone.
    pub(crate) async fn recalled(&mut self) -> Cause {
        loop {
            match self.messages.recv().await {
                Some(OwnerMessage::Recalled(cause)) => return cause,
                Some(_) => {}
                None => std::future::pending().await,
            }
        }
    }
}

/// Result of a grant request to one owner.
enum GrantResult {
    Granted(Box<Grant>),
    Refused(Refusal),
    Lost,
}

/// Returns the ticket of the job's next attempt, and increments `attempt`.
const fn next_ticket(job: &Job, attempt: &mut u16) -> Ticket {
    let ticket = Ticket { request: job.id, attempt: *attempt };
    *attempt = attempt.wrapping_add(1);
    ticket
}

/// Places requests on endpoints.
#[derive(Clone)]
pub(crate) struct Entry {
    pub(crate) shared: Arc<Shared>,
    pub(crate) owners: OwnerClient,
}

impl Entry {
    /// Gets a grant for `job`. `attempt` numbers the job's grant requests over all calls; `avoid` lists the endpoints
    /// that failed it.
    ///
    /// # Errors
    ///
    /// The refusal of the last owner asked, as soon as no further round is due; nothing has been sent to an endpoint.
    pub(crate) async fn place(
        &self,
        job: &Job,
        attempt: &mut u16,
        avoid: &[EndpointId],
    ) -> Result<Grant, Refusal> {
        // Owners refuse requests past their deadline. The timeout covers owners that themselves respond too late.
        let due = self.shared.clock.instant(job.deadline);
        match timeout_at(due, self.place_in_rounds(job, attempt, avoid)).await {
            Ok(placed) => placed,
            Err(_) => Err(Refusal::Expired { retry: DEFAULT_RETRY_AFTER }),
        }
    }

    async fn place_in_rounds(
        &self,
        job: &Job,
        attempt: &mut u16,
        avoid: &[EndpointId],
    ) -> Result<Grant, Refusal> {
        let mut refusal = Refusal::NoEndpoint { retry: DEFAULT_RETRY_AFTER };
        for round in 0..ROUNDS_MAX {
            self.shared.check_current()?;
            match self.round(job, attempt, avoid).await {
                Ok(grant) => return Ok(*grant),
                Err(r) => refusal = r,
            }
            // The endpoints may be moving to another owner, which can grant the request in the next round.
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

    /// Gets a grant only if an owner has free capacity for `job` now; does not queue.
    pub(crate) async fn place_now(&self, job: &Job, attempt: &mut u16) -> Result<Grant, Refusal> {
        self.shared.check_current()?;
        let now = self.shared.clock.now();
        let candidates = lock(&self.shared.router).candidates(now, &job.model, job.size.class(), job.prefix);
        let mut refusal = Refusal::NoEndpoint { retry: DEFAULT_RETRY_AFTER };
        for owner in candidates {
            let ticket = next_ticket(job, attempt);
            match self.request_grant(job, ticket, &[], &owner, false).await {
                GrantResult::Granted(grant) => return Ok(*grant),
                GrantResult::Refused(r) => refusal = r,
                GrantResult::Lost => {}
            }
        }
        Err(refusal)
    }

    /// Asks the candidates in turn, and queues at the one with the shortest wait if none has free capacity.
    async fn round(&self, job: &Job, attempt: &mut u16, avoid: &[EndpointId]) -> Result<Box<Grant>, Refusal> {
        let now = self.shared.clock.now();
        let candidates = lock(&self.shared.router).candidates(now, &job.model, job.size.class(), job.prefix);
        let mut refusal = Refusal::NoEndpoint { retry: DEFAULT_RETRY_AFTER };
        let mut shortest: Option<(Duration, InstanceId)> = None;
        for owner in candidates {
            let ticket = next_ticket(job, attempt);
            match self.request_grant(job, ticket, avoid, &owner, false).await {
                GrantResult::Granted(grant) => return Ok(grant),
                GrantResult::Refused(Refusal::Busy { wait }) => {
                    if shortest.as_ref().is_none_or(|(w, _)| wait < *w) {
                        shortest = Some((wait, owner));
                    }
                }
                GrantResult::Refused(r) => refusal = r,
                GrantResult::Lost => {}
            }
        }
        let Some((_, owner)) = shortest else {
            return Err(refusal);
        };
        self.queue(job, attempt, avoid, &owner).await
    }

    /// Waits in the queue of `owner`, and meanwhile asks other owners for free capacity.
    async fn queue(
        &self,
        job: &Job,
        attempt: &mut u16,
        avoid: &[EndpointId],
        owner: &InstanceId,
    ) -> Result<Box<Grant>, Refusal> {
        let ticket = next_ticket(job, attempt);
        let mut queued = pin!(self.request_grant(job, ticket, avoid, owner, true));
        let mut delay = SEARCH_DELAY_MIN;
        loop {
            match timeout(delay, &mut queued).await {
                Ok(GrantResult::Granted(grant)) => return Ok(grant),
                Ok(GrantResult::Refused(refusal)) => return Err(refusal),
                Ok(GrantResult::Lost) => return Err(Refusal::NoEndpoint { retry: DEFAULT_RETRY_AFTER }),
                Err(_) => {}
            }
            // If another owner grants, dropping the queued request removes it from the queue.
            if let Some(grant) = self.ask_other(job, attempt, avoid, owner).await {
                return Ok(grant);
            }
            delay = (delay * 2).min(SEARCH_DELAY_MAX);
        }
    }

    /// Asks one random candidate other than `queued` for free capacity.
    async fn ask_other(
        &self,
        job: &Job,
        attempt: &mut u16,
        avoid: &[EndpointId],
        queued: &InstanceId,
    ) -> Option<Box<Grant>> {
        let now = self.shared.clock.now();
        let candidates = lock(&self.shared.router).candidates(now, &job.model, job.size.class(), job.prefix);
        let others: Vec<_> = candidates.into_iter().filter(|c| c != queued).collect();
        let chosen = lock(&self.shared.rng).random_range(0..others.len().max(1));
        let owner = others.get(chosen)?;
        let ticket = next_ticket(job, attempt);
        match self.request_grant(job, ticket, avoid, owner, false).await {
            GrantResult::Granted(grant) => Some(grant),
            _ => None,
        }
    }

    async fn request_grant(
        &self,
        job: &Job,
        ticket: Ticket,
        avoid: &[EndpointId],
        owner: &InstanceId,
        may_queue: bool,
    ) -> GrantResult {
        let asked = self.shared.clock.now();
        let request = GrantRequest {
            ticket,
            customer: job.customer.clone(),
            weight: job.weight,
            model: job.model.clone(),
            size: job.size,
            prefix: job.prefix,
            may_queue,
            avoid: avoid.to_vec(),
        };
        self.shared.journal.record_request(job.id, Decision::Routed { owner: owner.clone() });
        let Ok(stream) = self.owners.request_grant(owner, request, job.deadline.since(asked)).await else {
            return self.owner_lost(job, owner);
        };
        self.await_grant(job, ticket, owner, asked, stream).await
    }

    /// Waits for the owner to grant or refuse, as long as its messages are at most [`OWNER_TIMEOUT`] apart.
    async fn await_grant(
        &self,
        job: &Job,
        ticket: Ticket,
        owner: &InstanceId,
        asked: Time,
        stream: GrantStream,
    ) -> GrantResult {
        let GrantStream { incoming: mut messages, outgoing: reports } = stream;
        loop {
            let Ok(Some(message)) = timeout(OWNER_TIMEOUT, messages.recv()).await else {
                return self.owner_lost(job, owner);
            };
            match message {
                OwnerMessage::Queued => {}
                OwnerMessage::Granted { endpoint, zone, address, waited, summary } => {
                    self.record_summary(owner, job, summary);
                    let granted = Decision::Granted { endpoint: endpoint.clone() };
                    self.shared.journal.record_request(job.id, granted);
                    let expiry = asked + waited + GRANT_TTL;
                    return GrantResult::Granted(Box::new(Grant {
                        ticket,
                        endpoint,
                        zone,
                        address,
                        expiry,
                        messages,
                        reports,
                    }));
                }
                OwnerMessage::Refused { refusal, summary } => {
                    self.record_summary(owner, job, summary);
                    return GrantResult::Refused(refusal);
                }
                OwnerMessage::Recalled(_) => return self.owner_lost(job, owner),
            }
        }
    }

    fn record_summary(&self, owner: &InstanceId, job: &Job, summary: Summary) {
        lock(&self.shared.router).record_summary(self.shared.clock.now(), owner, &job.model, summary);
    }

    fn owner_lost(&self, job: &Job, owner: &InstanceId) -> GrantResult {
        lock(&self.shared.router).avoid(self.shared.clock.now(), owner);
        self.shared.journal.record_request(job.id, Decision::OwnerLost { owner: owner.clone() });
        GrantResult::Lost
    }
}
