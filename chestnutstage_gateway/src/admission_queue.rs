//! Requests that wait at this planner, and the turns of those that it refused.
//!
//! The queue is part of the dispatcher, so that each decision sees the pool as it is. A request that has to wait gets a
//! [`Wait`], which is told of the outcome and removes the request when it is dropped.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

use chestnutstage_core::catalog::Catalog;
use chestnutstage_core::ids::{CustomerId, ModelId};
use chestnutstage_core::pool::{Cause, Refusal, Work};
use chestnutstage_core::quarantine::Feature;
use chestnutstage_core::time::Time;
use chestnutstage_core::turns::{self, Redeemed, TurnBook, TurnReport};
use chestnutstage_core::waiting::{Entry, Group, Mode, Round, Ticket, WaitingQueue};
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use log::{info, warn};
use metrics::{counter, gauge, histogram};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::dispatcher::Dispatcher;
use crate::offers::{Offer, Place};

/// Fraction of the target that a planned time to first event may take.
const TARGET_SHARE: f64 = 0.8;
/// Part of the target of a prompt that is reserved for what the forecast leaves out: connecting, and passes that are longer than
/// planned. With less, requests that waited long miss their targets.
const START_RESERVE: Duration = Duration::from_millis(150);
/// Longest time between two rounds while a request waits.
const ROUND_INTERVAL: Duration = Duration::from_millis(10);
/// Shortest time between a round and one that follows a message of a peer.
const UPDATE_ROUND_INTERVAL: Duration = Duration::from_millis(2);

/// The request for which a place is asked, as described by the instance that received it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Applicant {
    pub(crate) rank: u8,
    pub(crate) customer: Option<CustomerId>,
    pub(crate) digest: Feature,
    /// Attempt id.
    pub(crate) id: String,
    /// Time since the request arrived.
    pub(crate) elapsed: Duration,
    /// Part of the caller's time limit that has passed, also before an earlier refusal.
    pub(crate) spent: Duration,
}

/// Requests a placement for an applicant.
pub(crate) struct Apply {
    pub(crate) place: Place,
    pub(crate) applicant: Applicant,
    /// Set if an offer was made before that could not be used.
    pub(crate) entry: Option<Box<Entry>>,
}

/// Answer to an applicant that is not refused.
#[derive(Debug)]
pub(crate) enum Application {
    Offered(Box<Offer>),
    Queued(Wait),
}

type Outcome = Result<Box<Offer>, Refusal>;

/// A waiting request; removed from the queue when this is dropped.
#[derive(Debug)]
pub(crate) struct Wait {
    dispatcher: ActorRef<Dispatcher>,
    ticket: Ticket,
    /// Expected start of the request, from the time at which it began to wait.
    pub(crate) expected: Duration,
    pub(crate) outcome: oneshot::Receiver<Outcome>,
}

impl Drop for Wait {
    fn drop(&mut self) {
        if self.outcome.is_terminated() {
            return;
        }
        if self.dispatcher.tell(Leave(self.ticket)).try_send().is_err() {
            warn!("dispatcher has stopped; a waiting request is not removed");
        }
    }
}

#[derive(Debug)]
struct Waiting {
    place: Place,
    applicant: Applicant,
    since: Time,
    position: usize,
    outcome: oneshot::Sender<Outcome>,
}

/// Requests that wait, and turns of refused callers.
#[derive(Debug, Default)]
pub(crate) struct AdmissionQueue {
    mode: Mode,
    /// Services whose requests wait.
    services: HashSet<ModelId>,
    queue: WaitingQueue,
    turns: TurnBook,
    waiting: HashMap<Ticket, Waiting>,
    last_ticket: Ticket,
    /// Whether rounds run at intervals.
    ticking: bool,
    /// Start of the last round.
    last_round: Time,
    /// Labels of the gauge that were set.
    shown: BTreeSet<(ModelId, u8)>,
}

impl AdmissionQueue {
    pub(crate) fn new(mode: Mode) -> Self {
        Self { mode, ..Self::default() }
    }

    /// Decides for each service whether its requests wait.
    pub(crate) fn set_rules(&mut self, catalog: &Catalog) {
        for service in catalog.services.keys() {
            let routes = catalog.routes.iter().filter(|r| r.shares.iter().any(|s| s.service == *service));
            let customers = catalog.customers.iter().map(|customer| customer.rank);
            let waits = self.mode.calls_for_waiting(routes.map(|route| route.rank), customers);
            let changed =
                if waits { self.services.insert(service.clone()) } else { self.services.remove(service) };
            if changed {
                info!(service:%, waits; "whether requests of the service wait for a place has changed");
            }
        }
    }

    pub(crate) fn apply_turns(&mut self, now: Time, reports: &[TurnReport]) {
        self.turns.apply(now, reports);
    }

    pub(crate) fn take_turns(&mut self, now: Time) -> Vec<TurnReport> {
        self.turns.take_new(now)
    }

    /// Describes the queue for the state dump.
    pub(crate) fn dump(&self) -> String {
        let counts = self.queue.counts().map(|(group, rank, count)| {
            format!("waiting service={} work={:?} rank={rank}: {count}\n", group.service, group.work)
        });
        format!(
            "waiting = {}\n{}turns = {}\n",
            self.queue.len(),
            counts.collect::<String>(),
            self.turns.len()
        )
    }

    /// Delay after which a refused caller is to return.
    fn retry_delay(&mut self, now: Time, entry: &Entry, place: &Place, applicant: &Applicant) -> Duration {
        let age = now.since(entry.arrived);
        let total = place.first + applicant.elapsed;
        let in_time = total.saturating_sub(age.max(applicant.spent));
        let remaining = (place.remaining + applicant.elapsed).saturating_sub(age);
        let rate = self.queue.rate(now, entry);
        let group = turns::Group { service: entry.group.service.clone(), kind: entry.group.work as u8 };
        self.turns.reserve(now, &group, entry.rank, applicant.digest, in_time, remaining, rate, place.jitter)
    }

    fn show_counts(&mut self) {
        let mut counts: BTreeMap<(ModelId, u8), usize> =
            self.shown.iter().map(|label| (label.clone(), 0)).collect();
        for (group, rank, count) in self.queue.counts() {
            *counts.entry((group.service.clone(), rank)).or_default() += count;
        }
        for ((service, rank), count) in &counts {
            let labels = [("service", service.to_string()), ("rank", rank.to_string())];
            gauge!("chestnutstage_waiting", &labels).set(*count as f64);
        }
        self.shown = counts.into_keys().collect();
    }
}

/// Reports what became of a request that waited or was refused.
fn report(applicant: &Applicant, entry: &Entry, position: usize, waited: Duration, outcome: &'static str) {
    info!(
        request = applicant.id, rank = entry.rank, customer:? = entry.customer, position,
        waited_ms = waited.as_millis() as u64, outcome; "request waited for a place"
    );
    let labels = [("rank", entry.rank.to_string()), ("outcome", outcome.to_owned())];
    histogram!("chestnutstage_waited_seconds", &labels).record(waited.as_secs_f64());
}

/// Whether a place may become free for a request that was refused for this cause.
const fn is_temporary(cause: Cause) -> bool {
    matches!(cause, Cause::NoSlot | Cause::NoMemory | Cause::TooLate)
}

impl Dispatcher {
    /// Describes a request that asks for the first time; also returns whether it may wait.
    fn entry(&mut self, now: Time, place: &Place, applicant: &Applicant) -> (Entry, bool) {
        let estimate = self.pool.estimate(&place.demand(Duration::ZERO));
        let redeemed = self.admission.turns.redeem(now, applicant.digest);
        counter!("chestnutstage_turns_total", "outcome" => redeemed.to_string()).increment(1);
        let target = place.first + applicant.elapsed;
        let reserve = if estimate.work == Work::Plain { Duration::ZERO } else { START_RESERVE };
        let planned = target.mul_f64(TARGET_SHARE).min(target.saturating_sub(reserve));
        let planned = planned.min(applicant.elapsed + place.remaining);
        let arrived = now - applicant.elapsed;
        // Only of a caller that was refused is it known when it asked first. One that returns in its turn gets a new target,
        // since room is kept for it.
        let first_asked = if redeemed == Redeemed::Unknown { applicant.elapsed } else { applicant.spent };
        let late = place.first.is_zero() || first_asked >= target;
        let returning = redeemed == Redeemed::Kept;
        let asked = if returning { arrived } else { now - first_asked };
        self.admission.last_ticket += 1;
        let entry = Entry {
            ticket: self.admission.last_ticket,
            group: Group { service: place.service.clone(), work: estimate.work },
            rank: applicant.rank,
            customer: applicant.customer.clone(),
            weight: 1,
            work: estimate.busy,
            latest: asked + planned.saturating_sub(estimate.first),
            returning,
            arrived,
        };
        (entry, !late || returning)
    }

    fn apply(&mut self, msg: Apply, own: &ActorRef<Self>) -> Result<Application, Refusal> {
        let Apply { place, applicant, entry } = msg;
        let now = self.clock.now();
        let demand = place.demand(Duration::ZERO);
        // A bulk prompt that waits is placed as soon as it just fits, which delays the brief prompts that decode there.
        let waits = self.admission.services.contains(&place.service)
            && self.pool.estimate(&demand).work != Work::Bulk;
        if !waits {
            return Ok(Application::Offered(Box::new(self.offer(now, &demand, own)?)));
        }
        let (entry, may_wait) =
            entry.map_or_else(|| self.entry(now, &place, &applicant), |entry| (*entry, true));
        let age = now.since(entry.arrived).saturating_sub(applicant.elapsed);
        let blocked = if may_wait {
            self.admission.queue.must_wait(&entry)
        } else {
            self.admission.queue.has_waiting(&entry.group)
        };
        let mut cause = Cause::NoSlot;
        if !blocked {
            match self.offer(now, &place.demand(age), own) {
                Ok(offer) => {
                    let offer = self.settle(now, offer, entry);
                    return Ok(Application::Offered(Box::new(offer)));
                }
                Err(refusal) if !is_temporary(refusal.cause) => return Err(refusal),
                Err(refusal) => cause = refusal.cause,
            }
        }
        let admitted = may_wait.then(|| self.admission.queue.admit(now, entry.clone()));
        let Some(Ok(forecast)) = admitted else {
            report(&applicant, &entry, 0, age, "refused");
            let retry = self.admission.retry_delay(now, &entry, &place, &applicant);
            return Err(Refusal { cause, retry });
        };
        let (sender, outcome) = oneshot::channel();
        let ticket = entry.ticket;
        let position = forecast.position;
        let waiting = Waiting { place, applicant, since: now, position, outcome: sender };
        self.admission.waiting.insert(ticket, waiting);
        if blocked {
            self.run_round(now, own);
        }
        self.start_ticking(own);
        let expected = forecast.start.since(now);
        Ok(Application::Queued(Wait { dispatcher: own.clone(), ticket, expected, outcome }))
    }

    /// Counts a placement now if nothing more is needed for it, otherwise lets the offer name the request.
    fn settle(&mut self, now: Time, mut offer: Offer, entry: Entry) -> Offer {
        let queue = &mut self.admission.queue;
        if offer.claim.is_some() || !offer.granted.limits.is_empty() {
            queue.cancel(entry.ticket);
            offer.entry = Some(Box::new(entry));
        } else if queue.serve(now, entry.ticket).is_none() {
            queue.record_placement(now, &entry);
        }
        offer
    }

    /// Places as many waiting requests as there are places.
    pub(crate) fn run_round(&mut self, now: Time, own: &ActorRef<Self>) {
        let mut round = Round::default();
        self.admission.last_round = now;
        while let Some(ticket) = self.admission.queue.next(&round) {
            let Some((entry, waiting)) =
                self.admission.queue.get(ticket).zip(self.admission.waiting.get(&ticket))
            else {
                self.admission.queue.cancel(ticket);
                continue;
            };
            let age = now.since(entry.arrived).saturating_sub(waiting.applicant.elapsed);
            let (entry, place) = (entry.clone(), waiting.place.clone());
            match self.offer(now, &place.demand(age), own) {
                Ok(offer) => {
                    let Some(waiting) = self.admission.waiting.remove(&ticket) else { continue };
                    let left = waiting.outcome.is_closed();
                    let outcome = if left { "left" } else { "placed" };
                    report(&waiting.applicant, &entry, waiting.position, now.since(waiting.since), outcome);
                    if left {
                        self.admission.queue.cancel(ticket);
                        continue;
                    }
                    let offer = self.settle(now, offer, entry);
                    // An offer that its receiver misses is dropped, which ends the grant.
                    _ = waiting.outcome.send(Ok(Box::new(offer)));
                }
                Err(refusal) if is_temporary(refusal.cause) => {
                    self.admission.queue.block(&mut round, ticket);
                }
                Err(refusal) => {
                    self.admission.queue.cancel(ticket);
                    self.refuse(now, &entry, Some(refusal));
                }
            }
        }
    }

    fn refuse(&mut self, now: Time, entry: &Entry, refusal: Option<Refusal>) {
        let Some(waiting) = self.admission.waiting.remove(&entry.ticket) else { return };
        report(&waiting.applicant, entry, waiting.position, now.since(waiting.since), "refused");
        let refusal = refusal.unwrap_or_else(|| {
            let retry = self.admission.retry_delay(now, entry, &waiting.place, &waiting.applicant);
            Refusal { cause: Cause::NoSlot, retry }
        });
        // The receiver may have left.
        _ = waiting.outcome.send(Err(refusal));
    }

    /// Runs a round if anything waits.
    pub(crate) fn place_waiting(&mut self, own: &ActorRef<Self>) {
        if !self.admission.queue.is_empty() {
            self.run_round(self.clock.now(), own);
        }
    }

    /// Runs a round after a message of a peer. Messages of many peers arrive within a moment, and each round costs about as
    /// much as a placement.
    pub(crate) fn place_waiting_after_update(&mut self, own: &ActorRef<Self>) {
        if self.clock.now().since(self.admission.last_round) >= UPDATE_ROUND_INTERVAL {
            self.place_waiting(own);
        }
    }

    /// Starts the task that runs rounds at intervals until nothing waits.
    fn start_ticking(&mut self, own: &ActorRef<Self>) {
        if std::mem::replace(&mut self.admission.ticking, true) {
            return;
        }
        let dispatcher = own.clone();
        tokio::spawn(async move {
            while let Ok(true) = dispatcher.ask(Tick).await {
                sleep(ROUND_INTERVAL).await;
            }
        });
    }
}

impl Message<Apply> for Dispatcher {
    type Reply = Result<Application, Refusal>;

    async fn handle(&mut self, msg: Apply, context: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.apply(msg, context.actor_ref())
    }
}

/// Counts a placement whose claims and permits were obtained.
pub(crate) struct Confirm(pub(crate) Box<Entry>);

impl Message<Confirm> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: Confirm, _: &mut Context<Self, Self::Reply>) {
        self.admission.queue.record_placement(self.clock.now(), &msg.0);
    }
}

/// Removes a waiting request whose caller left.
struct Leave(Ticket);

impl Message<Leave> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: Leave, _: &mut Context<Self, Self::Reply>) {
        let Some(entry) = self.admission.queue.cancel(msg.0) else { return };
        if let Some(waiting) = self.admission.waiting.remove(&msg.0) {
            let waited = self.clock.now().since(waiting.since);
            report(&waiting.applicant, &entry, waiting.position, waited, "left");
        }
    }
}

/// Runs a round and refuses those that would start too late.
struct Tick;

impl Message<Tick> for Dispatcher {
    /// Whether anything waits.
    type Reply = bool;

    async fn handle(&mut self, _: Tick, context: &mut Context<Self, Self::Reply>) -> bool {
        let now = self.clock.now();
        self.run_round(now, context.actor_ref());
        for entry in self.admission.queue.expire(now) {
            self.refuse(now, &entry, None);
        }
        self.admission.show_counts();
        self.admission.ticking = !self.admission.queue.is_empty();
        self.admission.ticking
    }
}

/// Applies the turns that another planner issued or redeemed.
pub(crate) struct ApplyTurns(pub(crate) Vec<TurnReport>);

impl Message<ApplyTurns> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: ApplyTurns, _: &mut Context<Self, Self::Reply>) {
        self.admission.apply_turns(self.clock.now(), &msg.0);
    }
}

/// Takes the turns that the other planners don't know of.
pub(crate) struct TakeTurns;

impl Message<TakeTurns> for Dispatcher {
    type Reply = Vec<TurnReport>;

    async fn handle(&mut self, _: TakeTurns, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.admission.take_turns(self.clock.now())
    }
}
