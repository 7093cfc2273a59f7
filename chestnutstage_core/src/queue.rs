//! Queue of one owner for one model: fair between customers, earliest deadline first within each.
//!
//! Each length class has its own queue. It orders customers by start-time fair queueing on token cost over contract
//! weight, so that a few large customers can't starve a small one. Each customer's requests are in order of their
//! deadlines.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::ids::{CustomerId, Ticket};
use crate::length::{Class, Tokens};
use crate::time::Time;

/// Key by which a customer's requests are ordered.
type FlowKey = (Time, Ticket);

/// A queued request.
#[derive(Debug, Clone)]
pub struct Queued {
    /// The queued attempt.
    pub ticket: Ticket,
    /// The customer.
    pub customer: CustomerId,
    /// Weight of the customer's contract.
    pub weight: u32,
    /// Length class.
    pub class: Class,
    /// Token cost of prefill and decode.
    pub cost: Tokens,
    /// Deadline of the complete response.
    pub deadline: Time,
}

/// Virtual time of fair queueing, in thousandths of a token per unit of weight.
type VirtualTime = u64;

/// Units of virtual time per token, at weight 1.
const UNITS_PER_TOKEN: u64 = 1_000;

/// Queued requests of one customer.
#[derive(Debug, Default)]
struct Flow {
    waiting: BTreeSet<FlowKey>,
    start: VirtualTime,
}

/// Queue of one class.
#[derive(Debug, Default)]
struct ClassQueue {
    flows: HashMap<CustomerId, Flow>,
    /// Customers with queued requests, by start time.
    order: BTreeSet<(VirtualTime, CustomerId)>,
    virtual_now: VirtualTime,
    cost: Tokens,
    len: usize,
}

impl ClassQueue {
    fn push(&mut self, item: &Queued) {
        let virtual_now = self.virtual_now;
        let flow = self.flows.entry(item.customer.clone()).or_default();
        if flow.waiting.is_empty() {
            flow.start = flow.start.max(virtual_now);
            self.order.insert((flow.start, item.customer.clone()));
        }
        flow.waiting.insert((item.deadline, item.ticket));
        self.cost += item.cost;
        self.len += 1;
    }

    fn peek(&self) -> Option<Ticket> {
        let (_, customer) = self.order.first()?;
        let (_, ticket) = self.flows.get(customer)?.waiting.first()?;
        Some(*ticket)
    }

    /// Removes `item`, and charges it to its customer if it is `served`.
    fn remove(&mut self, item: &Queued, served: bool) {
        let Some(flow) = self.flows.get_mut(&item.customer) else {
            return;
        };
        if !flow.waiting.remove(&(item.deadline, item.ticket)) {
            return;
        }
        self.cost = self.cost.saturating_sub(item.cost);
        self.len -= 1;
        self.order.remove(&(flow.start, item.customer.clone()));
        if served {
            self.virtual_now = self.virtual_now.max(flow.start);
            flow.start += item.cost.0 * UNITS_PER_TOKEN / u64::from(item.weight.max(1));
        }
        if !flow.waiting.is_empty() {
            self.order.insert((flow.start, item.customer.clone()));
        } else if flow.start <= self.virtual_now {
            self.flows.remove(&item.customer);
        }
    }
}

/// Requests that wait for an endpoint.
#[derive(Debug, Default)]
pub struct Queue {
    classes: BTreeMap<Class, ClassQueue>,
    items: HashMap<Ticket, Queued>,
}

impl Queue {
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the token cost of the requests queued in `class` and in the classes of higher priority.
    pub fn cost_ahead(&self, class: Class) -> Tokens {
        self.classes.range(..=class).map(|(_, queue)| queue.cost).sum()
    }

    /// Returns the number of requests queued in `class` and in the classes of higher priority.
    pub fn len_ahead(&self, class: Class) -> usize {
        self.classes.range(..=class).map(|(_, queue)| queue.len).sum()
    }

    /// Adds a request.
    pub fn push(&mut self, item: Queued) {
        self.classes.entry(item.class).or_default().push(&item);
        self.items.insert(item.ticket, item);
    }

    /// Returns the next request of `class`.
    pub fn peek(&self, class: Class) -> Option<&Queued> {
        self.items.get(&self.classes.get(&class)?.peek()?)
    }

    /// Removes a request that is served, and charges its customer.
    pub fn serve(&mut self, ticket: Ticket) -> Option<Queued> {
        self.remove_item(ticket, true)
    }

    /// Removes a request that was cancelled or refused, without a charge to its customer.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Queued> {
        self.remove_item(ticket, false)
    }

    fn remove_item(&mut self, ticket: Ticket, served: bool) -> Option<Queued> {
        let item = self.items.remove(&ticket)?;
        if let Some(queue) = self.classes.get_mut(&item.class) {
            queue.remove(&item, served);
        }
        Some(item)
    }
}
