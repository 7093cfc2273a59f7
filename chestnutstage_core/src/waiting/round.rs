//! One pass over the waiting requests, in which each gets a place or blocks its group.

use std::collections::BTreeMap;

use super::{Entry, Group, Ticket, WaitingQueue};
use crate::pool::Work;

/// Bulk prompts that are tried before their group is blocked. They differ in length, so a shorter one may fit.
const BULK_TRIED_MAX: usize = 4;

/// State of one pass over the waiting requests.
///
/// The caller takes the [`next`](WaitingQueue::next) request, tries to place it, and calls
/// [`serve`](WaitingQueue::serve), [`block`](WaitingQueue::block) or [`cancel`](WaitingQueue::cancel), until none is
/// left. A blocked request keeps the others of its group waiting in this round, but not those of other groups.
#[derive(Debug, Default)]
pub struct Round {
    blocked: BTreeMap<Group, Vec<Ticket>>,
}

impl Round {
    fn is_closed(&self, group: &Group) -> bool {
        let limit = if group.work == Work::Bulk { BULK_TRIED_MAX } else { 1 };
        self.blocked.get(group).is_some_and(|tickets| tickets.len() >= limit)
    }
}

impl WaitingQueue {
    /// Next request to place; `None` ends the round.
    pub fn next(&self, round: &Round) -> Option<Ticket> {
        let open = self.groups.iter().filter(|(group, queue)| !queue.is_empty() && !round.is_closed(group));
        let heads = open.filter_map(|(group, queue)| {
            let blocked = round.blocked.get(group).map_or(&[][..], Vec::as_slice);
            self.entries.get(&queue.next(blocked)?)
        });
        // Groups of one rank take turns by arrival.
        let order = |e: &&Entry| (e.rank, !e.returning, e.arrived, e.ticket);
        heads.min_by_key(order).map(|entry| entry.ticket)
    }

    /// Records that there is no place for a request in this round.
    pub fn block(&self, round: &mut Round, ticket: Ticket) {
        if let Some(entry) = self.entries.get(&ticket) {
            round.blocked.entry(entry.group.clone()).or_default().push(ticket);
        }
    }
}
