//! Start-time fair queueing between flows, for example customers.
//!
//! Each flow has a virtual start time, which grows with the work served for it over its weight. The flow with the earliest
//! start is served next; a flow that had nothing queued starts at the current virtual time, so that it can't save up
//! service. Precedence `P` goes before fairness.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::hash::Hash;
use std::ops::Bound;

use crate::time::Time;

/// Virtual time, in thousandths of a unit of work per unit of weight.
type VirtualTime = u64;

/// Units of virtual time per unit of work, at weight 1.
const UNITS_PER_WORK: u64 = 1_000;
/// Flows without queued items whose start is remembered. Bounds the memory; far more than there are customers.
const IDLE_MAX: usize = 4_096;

/// Key by which the items of a flow are ordered: precedence, deadline, id.
pub(crate) type Key<P, T> = (P, Time, T);

/// Work of an item, and its charge to the flow.
#[derive(Debug, Clone, Copy)]
struct Cost {
    work: u64,
    charge: VirtualTime,
}

/// Queued items of one flow.
#[derive(Debug)]
struct Flow<P, T> {
    items: BTreeMap<Key<P, T>, Cost>,
    start: VirtualTime,
}

/// Number and total work of some items.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Amount {
    pub(crate) count: usize,
    pub(crate) work: u64,
}

/// Items of several flows, in fair order.
#[derive(Debug)]
pub(crate) struct FairQueue<F, P, T> {
    flows: HashMap<F, Flow<P, T>>,
    /// Flows with queued items, by the precedence of their first item and their start.
    order: BTreeSet<(P, VirtualTime, F)>,
    /// Flows without queued items, by start.
    idle: BTreeSet<(VirtualTime, F)>,
    virtual_now: VirtualTime,
    total: Amount,
}

impl<F, P, T> Default for FairQueue<F, P, T> {
    fn default() -> Self {
        Self {
            flows: HashMap::new(),
            order: BTreeSet::new(),
            idle: BTreeSet::new(),
            virtual_now: 0,
            total: Amount::default(),
        }
    }
}

fn charge(work: u64, weight: u32) -> VirtualTime {
    work.saturating_mul(UNITS_PER_WORK) / u64::from(weight.max(1))
}

impl<F: Clone + Ord + Hash, P: Copy + Ord, T: Copy + Ord> FairQueue<F, P, T> {
    /// Number and total work of the queued items.
    pub(crate) const fn total(&self) -> Amount {
        self.total
    }

    /// Virtual time at which the next item of `flow` starts if it has nothing queued.
    fn start(&self, flow: &F) -> VirtualTime {
        self.flows.get(flow).map_or(0, |f| f.start).max(self.virtual_now)
    }

    /// Adds an item.
    pub(crate) fn push(&mut self, id: &F, key: Key<P, T>, work: u64, weight: u32) {
        let start = self.start(id);
        self.detach(id);
        let flow = self.flows.entry(id.clone()).or_insert(Flow { items: BTreeMap::new(), start });
        if flow.items.is_empty() {
            flow.start = start;
        }
        let replaced = flow.items.insert(key, Cost { work, charge: charge(work, weight) });
        self.total.count += usize::from(replaced.is_none());
        self.total.work = self.total.work.saturating_sub(replaced.map_or(0, |c| c.work)).saturating_add(work);
        self.attach(id);
    }

    /// Returns the next item.
    pub(crate) fn peek(&self) -> Option<Key<P, T>> {
        let (_, _, flow) = self.order.first()?;
        self.flows.get(flow)?.items.first_key_value().map(|(key, _)| *key)
    }

    /// Removes an item, and charges it to its flow if it is `served`. Returns whether it was queued.
    pub(crate) fn remove(&mut self, id: &F, key: &Key<P, T>, served: bool) -> bool {
        if !self.flows.get(id).is_some_and(|f| f.items.contains_key(key)) {
            return false;
        }
        self.detach(id);
        if let Some(flow) = self.flows.get_mut(id)
            && let Some(cost) = flow.items.remove(key)
        {
            self.total.count -= 1;
            self.total.work = self.total.work.saturating_sub(cost.work);
            if served {
                self.virtual_now = self.virtual_now.max(flow.start);
                flow.start = flow.start.saturating_add(cost.charge);
            }
        }
        self.attach(id);
        self.forget_idle();
        true
    }

    /// Charges work that was served without being queued.
    pub(crate) fn charge(&mut self, id: &F, work: u64, weight: u32) {
        let start = self.start(id).saturating_add(charge(work, weight));
        self.detach(id);
        self.flows.entry(id.clone()).or_insert(Flow { items: BTreeMap::new(), start }).start = start;
        self.attach(id);
        self.forget_idle();
    }

    /// Takes a flow out of the orders before it is changed.
    fn detach(&mut self, id: &F) {
        let Some(flow) = self.flows.get(id) else {
            return;
        };
        match flow.items.first_key_value() {
            Some(((precedence, ..), _)) => self.order.remove(&(*precedence, flow.start, id.clone())),
            None => self.idle.remove(&(flow.start, id.clone())),
        };
    }

    fn attach(&mut self, id: &F) {
        let Some(flow) = self.flows.get(id) else {
            return;
        };
        match flow.items.first_key_value() {
            Some(((precedence, ..), _)) => self.order.insert((*precedence, flow.start, id.clone())),
            None => self.idle.insert((flow.start, id.clone())),
        };
    }

    /// Drops idle flows that would start at the current virtual time again.
    fn forget_idle(&mut self) {
        while let Some((start, _)) = self.idle.first()
            && (*start <= self.virtual_now || self.idle.len() > IDLE_MAX)
        {
            if let Some((_, id)) = self.idle.pop_first() {
                self.flows.remove(&id);
            }
        }
    }

    /// Number and work of the queued items that are served before an item with `key`, which need not be queued.
    pub(crate) fn ahead(&self, id: &F, key: &Key<P, T>) -> Amount {
        let mut ahead = Amount::default();
        let mut start = self.start(id);
        if let Some(flow) = self.flows.get(id) {
            if !flow.items.is_empty() {
                start = flow.start;
            }
            for (_, cost) in flow.items.range(..key) {
                start = start.saturating_add(cost.charge);
                ahead.count += 1;
                ahead.work += cost.work;
            }
        }
        let own = (key.0, start, id);
        for (precedence, first, other) in &self.order {
            if (*precedence, *first, other) >= own {
                break;
            }
            if other == id {
                continue;
            }
            let mut start = *first;
            for ((precedence, ..), cost) in self.flows.get(other).into_iter().flat_map(|f| &f.items) {
                if (*precedence, start, other) >= own {
                    break;
                }
                ahead.count += 1;
                ahead.work += cost.work;
                start = start.saturating_add(cost.charge);
            }
        }
        ahead
    }

    /// Returns the queued items in the order in which they are served if no more arrive, with their work.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (T, u64)> {
        let heads = self.order.iter().filter_map(|(precedence, start, id)| {
            Some(Reverse((*precedence, *start, id, self.flows.get(id)?.items.first_key_value()?.0)))
        });
        let mut heads: BinaryHeap<_> = heads.collect();
        std::iter::from_fn(move || {
            let Reverse((_, start, id, key)) = heads.pop()?;
            let items = &self.flows.get(id)?.items;
            let cost = items.get(key)?;
            let after = (Bound::Excluded(key), Bound::Unbounded);
            if let Some((next, _)) = items.range(after).next() {
                heads.push(Reverse((next.0, start.saturating_add(cost.charge), id, next)));
            }
            Some((key.2, cost.work))
        })
    }
}
