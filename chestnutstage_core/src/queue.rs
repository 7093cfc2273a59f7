//! Queue of one owner: fair between customers, by deadline within one.
//!
//! Each class has its own queue. Within it, customers take turns by start-time fair queueing on token cost over
//! contract weight, so that a few large customers can't starve a small one. Within a customer the earliest deadline
//! goes first.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::ids::{CustomerId, Ticket};
use crate::length::{Class, Tokens};
use crate::time::Time;

/// An entry of the queue, in the order in which a customer's own requests are served.
type Place = (Time, Ticket);

/// What the queue must know of a request.
#[derive(Debug, Clone)]
pub struct Queued {
    /// The attempt that waits.
    pub ticket: Ticket,
    /// Who waits.
    pub customer: CustomerId,
    /// Weight of the customer's contract.
    pub weight: u32,
    /// Length class.
    pub class: Class,
    /// Token cost of prefill and decode.
    pub cost: Tokens,
    /// When the whole answer is due.
    pub deadline: Time,
}

/// Virtual time of fair queueing: thousandths of a token per unit of weight.
type Virtual = u64;

/// Fine parts of a token in virtual time.
const VIRTUAL_PARTS: u64 = 1_000;

#[derive(Debug, Default)]
struct Flow {
    places: BTreeSet<Place>,
    start: Virtual,
}

/// One class of the queue.
#[derive(Debug, Default)]
struct Lane {
    flows: HashMap<CustomerId, Flow>,
    /// Customers with waiting requests, in the order of their turns.
    turns: BTreeSet<(Virtual, CustomerId)>,
    clock: Virtual,
    cost: Tokens,
    len: usize,
}

impl Lane {
    fn push(&mut self, item: &Queued) {
        let clock = self.clock;
        let flow = self.flows.entry(item.customer.clone()).or_default();
        if flow.places.is_empty() {
            flow.start = flow.start.max(clock);
            self.turns.insert((flow.start, item.customer.clone()));
        }
        flow.places.insert((item.deadline, item.ticket));
        self.cost += item.cost;
        self.len += 1;
    }

    fn first(&self) -> Option<Ticket> {
        let (_, customer) = self.turns.first()?;
        let (_, ticket) = self.flows.get(customer)?.places.first()?;
        Some(*ticket)
    }

    /// Takes `item` out; a served one is charged to its customer.
    fn remove(&mut self, item: &Queued, served: bool) {
        let Some(flow) = self.flows.get_mut(&item.customer) else {
            return;
        };
        if !flow.places.remove(&(item.deadline, item.ticket)) {
            return;
        }
        self.cost = self.cost.saturating_sub(item.cost);
        self.len -= 1;
        self.turns.remove(&(flow.start, item.customer.clone()));
        if served {
            self.clock = self.clock.max(flow.start);
            flow.start += item.cost.0 * VIRTUAL_PARTS / u64::from(item.weight.max(1));
        }
        if !flow.places.is_empty() {
            self.turns.insert((flow.start, item.customer.clone()));
        } else if flow.start <= self.clock {
            self.flows.remove(&item.customer);
        }
    }
}

/// Requests that wait for an endpoint.
#[derive(Debug, Default)]
pub struct Queue {
    lanes: BTreeMap<Class, Lane>,
    items: HashMap<Ticket, Queued>,
}

impl Queue {
    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Token cost that waits in `class` and in the classes before it.
    pub fn cost_ahead(&self, class: Class) -> Tokens {
        self.lanes.range(..=class).map(|(_, lane)| lane.cost).sum()
    }

    /// Number of requests that wait in `class` and in the classes before it.
    pub fn len_ahead(&self, class: Class) -> usize {
        self.lanes.range(..=class).map(|(_, lane)| lane.len).sum()
    }

    /// Adds a request.
    pub fn push(&mut self, item: Queued) {
        self.lanes.entry(item.class).or_default().push(&item);
        self.items.insert(item.ticket, item);
    }

    /// The request of `class` whose turn it is.
    pub fn peek(&self, class: Class) -> Option<&Queued> {
        self.items.get(&self.lanes.get(&class)?.first()?)
    }

    /// Takes out a request that is served, and charges its customer.
    pub fn serve(&mut self, ticket: Ticket) -> Option<Queued> {
        self.take(ticket, true)
    }

    /// Takes out a request that gave up; its customer is not charged.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Queued> {
        self.take(ticket, false)
    }

    fn take(&mut self, ticket: Ticket, served: bool) -> Option<Queued> {
        let item = self.items.remove(&ticket)?;
        if let Some(lane) = self.lanes.get_mut(&item.class) {
            lane.remove(&item, served);
        }
        Some(item)
    }
}
