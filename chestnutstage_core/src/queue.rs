//! Queue of one owner for one model: fair between customers, earliest deadline first within each.
//!
//! Each length class has its own queue. It orders customers by start-time fair queueing on token cost over contract
//! weight, so that a few large customers can't starve a small one. Each customer's requests are in order of their
//! deadlines.

use std::collections::{BTreeMap, HashMap};

use crate::fair::FairQueue;
use crate::ids::{CustomerId, Ticket};
use crate::length::{Class, Tokens};
use crate::time::Time;

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

/// Queue of one class, fair between customers.
type ClassQueue = FairQueue<CustomerId, (), Ticket>;

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
        self.classes.range(..=class).map(|(_, queue)| Tokens(queue.total().work)).sum()
    }

    /// Returns the number of requests queued in `class` and in the classes of higher priority.
    pub fn len_ahead(&self, class: Class) -> usize {
        self.classes.range(..=class).map(|(_, queue)| queue.total().count).sum()
    }

    /// Adds a request.
    pub fn push(&mut self, item: Queued) {
        let queue = self.classes.entry(item.class).or_default();
        queue.push(&item.customer, ((), item.deadline, item.ticket), item.cost.0, item.weight);
        self.items.insert(item.ticket, item);
    }

    /// Returns the next request of `class`.
    pub fn peek(&self, class: Class) -> Option<&Queued> {
        let ((), _, ticket) = self.classes.get(&class)?.peek()?;
        self.items.get(&ticket)
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
            queue.remove(&item.customer, &((), item.deadline, item.ticket), served);
        }
        Some(item)
    }
}
