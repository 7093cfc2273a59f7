//! Entries of one group: a fair queue for each rank, and the placement rate.

use std::collections::BTreeMap;
use std::time::Duration;

use super::rate::PlacementRate;
use super::{Entry, Ticket};
use crate::fair::{Amount, FairQueue, Key};
use crate::ids::CustomerId;
use crate::pool::Work;
use crate::time::Time;

/// Services between two that go to the rank that has waited longest without one.
const SERVICES_BY_RANK: u64 = 7;
/// Longest wait that is forecast; far beyond any deadline.
const WAIT_MAX_SECS: f64 = 3_600.0;
/// Shortest work, in milliseconds; without work, a customer would never be charged.
const WORK_MIN_MS: f64 = 0.1;
/// Longest work, in milliseconds; far beyond that of the longest prompt. Bounds the effect of a wrong number.
const WORK_MAX_MS: f64 = 120_000.0;
/// Largest ratio of two weights. Bounds the effect of a wrong number.
const WEIGHT_MAX: u32 = 1_000;

/// Whether an entry is a newcomer; those that return in their turn go first.
type Newcomer = bool;

/// Work in microseconds; work that is not a number counts as the least.
fn micros(work: f64) -> u64 {
    let work = if work.is_nan() { WORK_MIN_MS } else { work };
    (work.clamp(WORK_MIN_MS, WORK_MAX_MS) * 1e3) as u64
}

fn weight(entry: &Entry) -> u32 {
    entry.weight.clamp(1, WEIGHT_MAX)
}

const fn key(entry: &Entry) -> Key<Newcomer, Ticket> {
    (!entry.returning, entry.latest, entry.ticket)
}

/// Entries of one rank.
#[derive(Debug, Default)]
struct Lane {
    queue: FairQueue<Option<CustomerId>, Newcomer, Ticket>,
    /// Number of the last service, or of the service after which the rank began to wait.
    served: u64,
}

#[derive(Debug, Default)]
pub(super) struct GroupQueue {
    lanes: BTreeMap<u8, Lane>,
    /// Number of services so far.
    services: u64,
    /// Services since the last one for the rank that has waited longest.
    in_order: u64,
    rate: PlacementRate,
}

impl GroupQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }

    /// Whether nothing waits and nothing was placed during the last second.
    pub(super) fn is_idle(&self, now: Time) -> bool {
        self.lanes.is_empty() && self.rate.per_second(now).is_none()
    }

    /// Number of entries by rank.
    pub(super) fn counts(&self) -> impl Iterator<Item = (u8, usize)> {
        self.lanes.iter().map(|(rank, lane)| (*rank, lane.queue.total().count))
    }

    pub(super) fn push(&mut self, entry: &Entry) {
        let served = self.services;
        let lane = self.lanes.entry(entry.rank).or_insert_with(|| Lane { served, ..Lane::default() });
        lane.queue.push(&entry.customer, key(entry), micros(entry.work), weight(entry));
    }

    /// Removes an entry without a charge.
    pub(super) fn remove(&mut self, entry: &Entry) {
        self.take(entry, false);
    }

    /// Removes an entry that was placed, and charges its customer.
    pub(super) fn serve(&mut self, now: Time, entry: &Entry) {
        self.count_service(entry.rank);
        self.take(entry, true);
        self.record_rate(now, entry);
    }

    /// Records a placement outside of the queue; its customer is charged if others of its rank wait.
    pub(super) fn record_placement(&mut self, now: Time, entry: &Entry) {
        self.count_service(entry.rank);
        if let Some(lane) = self.lanes.get_mut(&entry.rank) {
            lane.queue.charge(&entry.customer, micros(entry.work), weight(entry));
        }
        self.record_rate(now, entry);
    }

    fn take(&mut self, entry: &Entry, served: bool) {
        if let Some(lane) = self.lanes.get_mut(&entry.rank) {
            lane.queue.remove(&entry.customer, &key(entry), served);
            if lane.queue.total().count == 0 {
                self.lanes.remove(&entry.rank);
            }
        }
    }

    /// Rate at which requests like `entry` are placed, in requests a second.
    pub(super) fn rate(&self, now: Time, entry: &Entry) -> Option<f64> {
        let size = Self::size(entry.group.work, Amount { count: 1, work: micros(entry.work) });
        Some(self.rate.per_second(now)? / size)
    }

    fn record_rate(&mut self, now: Time, entry: &Entry) {
        let size = Self::size(entry.group.work, Amount { count: 1, work: micros(entry.work) });
        self.rate.record(now, size as u64);
    }

    fn count_service(&mut self, rank: u8) {
        self.services += 1;
        let others = self.lanes.keys().any(|other| *other != rank);
        if !others || self.overdue_rank() == Some(rank) {
            self.in_order = 0;
        } else {
            self.in_order += 1;
        }
        if let Some(lane) = self.lanes.get_mut(&rank) {
            lane.served = self.services;
        }
    }

    /// Rank to which the next service goes because it has waited longest without one.
    fn overdue_rank(&self) -> Option<u8> {
        if self.in_order < SERVICES_BY_RANK {
            return None;
        }
        self.lanes.iter().min_by_key(|(_, lane)| lane.served).map(|(rank, _)| *rank)
    }

    /// Next entry, skipping those in `blocked`.
    pub(super) fn next(&self, blocked: &[Ticket]) -> Option<Ticket> {
        let overdue = self.overdue_rank().and_then(|rank| self.lanes.get(&rank));
        let mut lanes = overdue.into_iter().chain(self.lanes.values());
        if blocked.is_empty() {
            return lanes.next()?.queue.peek().map(|(_, _, ticket)| ticket);
        }
        lanes.flat_map(|lane| lane.queue.iter()).map(|(ticket, _)| ticket).find(|t| !blocked.contains(t))
    }

    /// Whether an entry goes before one that is not in the queue.
    pub(super) fn must_wait(&self, entry: &Entry) -> bool {
        self.lanes.range(..entry.rank).next().is_some()
            || self.overdue_rank().is_some_and(|rank| rank != entry.rank)
            || self
                .lanes
                .get(&entry.rank)
                .is_some_and(|lane| lane.queue.ahead(&entry.customer, &key(entry)).count > 0)
    }

    /// Entries that are served before `entry`, which need not be in the queue.
    pub(super) fn ahead(&self, entry: &Entry) -> Amount {
        let own = self
            .lanes
            .get(&entry.rank)
            .map_or_else(Amount::default, |lane| lane.queue.ahead(&entry.customer, &key(entry)));
        self.with_other_ranks(entry.rank, own)
    }

    /// Adds the entries of other ranks that are served before one with `own` ahead of it in its rank.
    fn with_other_ranks(&self, rank: u8, own: Amount) -> Amount {
        let total = |lanes: &mut dyn Iterator<Item = &Lane>| {
            lanes.map(|lane| lane.queue.total()).fold(Amount::default(), |sum, t| Amount {
                count: sum.count + t.count,
                work: sum.work.saturating_add(t.work),
            })
        };
        let higher = total(&mut self.lanes.range(..rank).map(|(_, lane)| lane));
        let lower = total(&mut self.lanes.iter().filter(|(other, _)| **other > rank).map(|(_, lane)| lane));
        // The overdue services are shared by all ranks but the first.
        let starved = self.lanes.keys().skip(1).filter(|other| **other != rank).count() + 1;
        let before = starved.saturating_mul(SERVICES_BY_RANK as usize + 1) - 1;
        let higher = limited(higher, before.saturating_mul(own.count + 1));
        let in_order = higher.count + own.count;
        let lower = limited(lower, in_order / SERVICES_BY_RANK as usize);
        Amount {
            count: in_order + lower.count,
            work: own.work.saturating_add(higher.work).saturating_add(lower.work),
        }
    }

    /// Amount in the unit of the placement rate. Bulk prompts differ in length by far more than others, so their work
    /// is measured; others are counted.
    fn size(work: Work, amount: Amount) -> f64 {
        if work == Work::Bulk { amount.work as f64 } else { amount.count as f64 }
    }

    /// Time until the work ahead is placed; `None` if it is unknown.
    pub(super) fn wait(&self, now: Time, work: Work, ahead: Amount) -> Option<Duration> {
        let size = Self::size(work, ahead);
        if size <= 0.0 {
            return Some(Duration::ZERO);
        }
        let secs = size / self.rate.per_second(now)?;
        Some(Duration::from_secs_f64(secs.min(WAIT_MAX_SECS)))
    }

    /// Entries of a rank for which `drop` returns true, given what is served before each. Dropped entries are not
    /// counted for those behind them.
    pub(super) fn dropped(&self, rank: u8, drop: impl Fn(Ticket, Amount) -> bool) -> Vec<Ticket> {
        let mut dropped = Vec::new();
        let mut own = Amount::default();
        for (ticket, work) in self.lanes.get(&rank).into_iter().flat_map(|lane| lane.queue.iter()) {
            if drop(ticket, self.with_other_ranks(rank, own)) {
                dropped.push(ticket);
            } else {
                own.count += 1;
                own.work = own.work.saturating_add(work);
            }
        }
        dropped
    }
}

/// The first `count` entries of an amount, each taken to have the mean work.
fn limited(amount: Amount, count: usize) -> Amount {
    if amount.count <= count {
        return amount;
    }
    let work = amount.work as f64 * count as f64 / amount.count as f64;
    Amount { count, work: work as u64 }
}
