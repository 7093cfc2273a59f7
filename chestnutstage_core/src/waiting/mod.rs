//! Requests that wait at a planner for a place, and the order in which they get one.
//!
//! The load that this answers: callers of several ranks, with few large customers among many small ones, ask for up to
//! twice the capacity for seconds at a time. Placed in order of arrival, the requests that matter most are refused as
//! often as the others, and the customer that asks most gets most.
//!
//! Requests of one *group* compete for the same places: those of one service and kind of work. Within a group the order
//! is by rank, then callers that return in their turn, then fair between customers by work over weight
//! ([`crate::queue`] shares this part), then the earliest latest start. One service in eight goes to the rank that has
//! waited longest without one. A request waits only while the forecast says that it starts in time.

mod group;
mod rate;
mod round;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use self::group::GroupQueue;
pub use self::round::Round;
use crate::fair::Amount;
use crate::ids::{CustomerId, ModelId};
use crate::pool::Work;
use crate::time::Time;

/// Maximum number of waiting requests.
pub const ENTRIES_MAX: usize = 1_024;
/// Maximum number of waiting requests of one customer; those without a customer count as one.
pub const CUSTOMER_MAX: usize = 256;
/// Factor by which the forecast wait must exceed the remaining time before an entry is dropped, since the rate of a single
/// second varies.
const DROP_RATIO: f64 = 1.5;
/// Time by which it must also exceed it, since a few milliseconds decide nothing.
const DROP_MARGIN: Duration = Duration::from_millis(100);

/// Number that identifies a waiting request at this planner.
pub type Ticket = u64;

/// When the requests of a service wait for a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Where the ranks of the service's routes or of customers differ.
    #[default]
    ByRank,
    /// Always.
    Always,
    /// Never; a request without a place is refused at once.
    Never,
}

impl Mode {
    /// Whether the requests of a service wait, from the ranks of its routes and the customers' own ranks.
    pub fn calls_for_waiting(
        self,
        routes: impl IntoIterator<Item = u8>,
        customers: impl IntoIterator<Item = Option<u8>>,
    ) -> bool {
        match self {
            Self::Always => true,
            Self::Never => false,
            Self::ByRank => {
                let mut ranks = routes.into_iter().chain(customers.into_iter().flatten());
                ranks.next().is_some_and(|first| ranks.any(|rank| rank != first))
            }
        }
    }
}

/// Requests that compete for the same places.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Group {
    /// Service that they call.
    pub service: ModelId,
    /// Kind of work.
    pub work: Work,
}

/// A request that waits or asks for a place.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Identifies the request at this planner.
    pub ticket: Ticket,
    /// Requests with which it competes.
    pub group: Group,
    /// Rank; zero is served first.
    pub rank: u8,
    /// Customer, if known.
    pub customer: Option<CustomerId>,
    /// Weight of the customer; 1 if unknown.
    pub weight: u32,
    /// Work in milliseconds of an engine or of a slot.
    pub work: f64,
    /// Latest time at which it starts early enough to be in time.
    pub latest: Time,
    /// Whether it was refused before and returns in its turn.
    pub returning: bool,
    /// Time of arrival.
    pub arrived: Time,
}

/// Forecast for a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Forecast {
    /// Number of waiting requests that are served before it.
    pub position: usize,
    /// Expected start.
    pub start: Time,
}

/// Reason for which a request can't wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display, Serialize, Deserialize)]
pub enum Reason {
    /// It would start too late.
    #[display("too late")]
    TooLate,
    /// Too many requests wait.
    #[display("queue full")]
    Full,
    /// Too many requests of its customer wait.
    #[display("customer's share of the queue full")]
    CustomerFull,
    /// A request with its ticket waits already.
    #[display("duplicate ticket")]
    Duplicate,
}

/// Refusal to let a request wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{reason}; expected wait {wait:?}")]
pub struct Rejected {
    /// Why it can't wait.
    pub reason: Reason,
    /// Expected wait, for the retry delay; zero if it is unknown.
    pub wait: Duration,
}

/// Requests that wait at one planner.
#[derive(Debug, Default)]
pub struct WaitingQueue {
    entries: HashMap<Ticket, Entry>,
    groups: BTreeMap<Group, GroupQueue>,
    /// Number of entries by customer.
    customers: HashMap<Option<CustomerId>, usize>,
    /// Entries by latest start.
    latest: BTreeSet<(Time, Ticket)>,
}

impl WaitingQueue {
    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Waiting request with a ticket.
    pub fn get(&self, ticket: Ticket) -> Option<&Entry> {
        self.entries.get(&ticket)
    }

    /// Number of waiting requests by group and rank.
    pub fn counts(&self) -> impl Iterator<Item = (&Group, u8, usize)> {
        self.groups
            .iter()
            .flat_map(|(group, queue)| queue.counts().map(move |(rank, count)| (group, rank, count)))
    }

    /// Whether a request has to wait although there may be a place, because one that goes before it waits in its group.
    pub fn must_wait(&self, entry: &Entry) -> bool {
        self.groups.get(&entry.group).is_some_and(|queue| queue.must_wait(entry))
    }

    /// Lets a request wait. A round has to follow, so that it doesn't wait while there is a place.
    ///
    /// # Errors
    ///
    /// Returns [`Rejected`] if it would start too late or the queue is full.
    pub fn admit(&mut self, now: Time, entry: Entry) -> Result<Forecast, Rejected> {
        let ahead = self.groups.get(&entry.group).map_or_else(Amount::default, |q| q.ahead(&entry));
        let wait = self.wait(now, &entry.group, ahead);
        let reject = |reason| Err(Rejected { reason, wait: wait.unwrap_or_default() });
        if self.entries.contains_key(&entry.ticket) {
            return reject(Reason::Duplicate);
        }
        let Some(start) = wait.map(|wait| now + wait).filter(|s| *s <= entry.latest && now < entry.latest)
        else {
            return reject(Reason::TooLate);
        };
        if self.entries.len() >= ENTRIES_MAX {
            return reject(Reason::Full);
        }
        if self.customers.get(&entry.customer).is_some_and(|count| *count >= CUSTOMER_MAX) {
            return reject(Reason::CustomerFull);
        }
        *self.customers.entry(entry.customer.clone()).or_default() += 1;
        self.latest.insert((entry.latest, entry.ticket));
        self.groups.entry(entry.group.clone()).or_default().push(&entry);
        self.entries.insert(entry.ticket, entry);
        Ok(Forecast { position: ahead.count, start })
    }

    /// Current forecast for a waiting request; `None` if it doesn't wait or the placement rate is unknown.
    pub fn forecast(&self, now: Time, ticket: Ticket) -> Option<Forecast> {
        let entry = self.entries.get(&ticket)?;
        let ahead = self.groups.get(&entry.group)?.ahead(entry);
        Some(Forecast { position: ahead.count, start: now + self.wait(now, &entry.group, ahead)? })
    }

    /// Measured rate at which requests like this one are placed, in requests a second; zero if it is unknown.
    pub fn rate(&self, now: Time, entry: &Entry) -> f64 {
        self.groups.get(&entry.group).and_then(|queue| queue.rate(now, entry)).unwrap_or_default()
    }

    /// Whether any request of a group waits.
    pub fn has_waiting(&self, group: &Group) -> bool {
        self.groups.get(group).is_some_and(|queue| !queue.is_empty())
    }

    fn wait(&self, now: Time, group: &Group, ahead: Amount) -> Option<Duration> {
        self.groups.get(group).map_or(Some(Duration::ZERO), |queue| queue.wait(now, group.work, ahead))
    }

    /// Records a placement outside of the queue.
    pub fn record_placement(&mut self, now: Time, entry: &Entry) {
        self.groups.entry(entry.group.clone()).or_default().record_placement(now, entry);
    }

    /// Removes a request that was placed, and charges its customer.
    pub fn serve(&mut self, now: Time, ticket: Ticket) -> Option<Entry> {
        let entry = self.take(ticket)?;
        if let Some(queue) = self.groups.get_mut(&entry.group) {
            queue.serve(now, &entry);
        }
        Some(entry)
    }

    /// Removes a request whose caller left, without a charge to its customer.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<Entry> {
        let entry = self.take(ticket)?;
        if let Some(queue) = self.groups.get_mut(&entry.group) {
            queue.remove(&entry);
        }
        Some(entry)
    }

    fn take(&mut self, ticket: Ticket) -> Option<Entry> {
        let entry = self.entries.remove(&ticket)?;
        self.latest.remove(&(entry.latest, ticket));
        if let Some(count) = self.customers.get_mut(&entry.customer) {
            *count -= 1;
            if *count == 0 {
                self.customers.remove(&entry.customer);
            }
        }
        Some(entry)
    }

    /// Earliest latest start of a waiting request.
    pub fn next_expiry(&self) -> Option<Time> {
        self.latest.first().map(|(latest, _)| *latest)
    }

    /// Removes and returns the requests that are to be refused: those past their latest start, and those that are now
    /// expected to start well past it.
    pub fn expire(&mut self, now: Time) -> Vec<Entry> {
        let past: Vec<Ticket> = self.latest.range(..=(now, Ticket::MAX)).map(|(_, ticket)| *ticket).collect();
        let mut expired: Vec<Entry> = past.into_iter().filter_map(|ticket| self.cancel(ticket)).collect();
        // Rank by rank, so that what is dropped from one no longer counts for those after it.
        let lanes: Vec<(Group, u8)> = self.counts().map(|(group, rank, _)| (group.clone(), rank)).collect();
        for (group, rank) in lanes {
            let late = self.expected_late(now, &group, rank);
            expired.extend(late.into_iter().filter_map(|ticket| self.cancel(ticket)));
        }
        self.groups.retain(|_, queue| !queue.is_idle(now));
        expired
    }

    /// Requests of a group and rank that are expected to start well past their latest start.
    fn expected_late(&self, now: Time, group: &Group, rank: u8) -> Vec<Ticket> {
        let Some(queue) = self.groups.get(group) else {
            return Vec::new();
        };
        queue.dropped(rank, |ticket, ahead| {
            let remaining = self.entries.get(&ticket).map(|entry| entry.latest.since(now));
            queue.wait(now, group.work, ahead).zip(remaining).is_some_and(|(wait, remaining)| {
                wait.as_secs_f64() > remaining.as_secs_f64() * DROP_RATIO + DROP_MARGIN.as_secs_f64()
            })
        })
    }
}
