//! Placement of bulk prompts: which engines read and hold them, and whether they are admitted at all.

use std::time::Duration;

use super::place::{Cause, Demand, Granting, Helper, Refusal};
use super::prompt::{Candidate, Engines, LATE, WAIT_PRICE, millis, too_late, value_of};
use super::{Part, Work};
use crate::time::Time;

/// Worth that a busy engine earns in a second.
const ENGINE_WORTH: f64 = 8.0;
/// Share of the requests that are admitted although others would earn more, so that no length is shut out.
const SPARED: f64 = 0.55;
/// Part of such a request's worth by which it may fall short.
const SPARED_LOSS: f64 = 0.6;
/// Longest wait for the first event of such a request, in targets.
const LONG_WAIT: f64 = 1.8;
/// Part of the remaining time that the first event may take.
const REMAINING_USED: f64 = 0.7;
/// Numbers of engines that may read a bulk prompt. Two at least: shared parts go before other reads, so that a prompt which
/// one engine reads alone would wait for all of them. Sixteen at the most may be named, the writer among them.
const PARTS: [usize; 9] = [2, 3, 4, 5, 6, 8, 10, 13, 16];
/// Worth that one more engine must save.
const PART_PRICE: f64 = 0.04;
/// Worth that a reservation must save.
const TICKET_PRICE: f64 = 0.06;
/// Worth by which instances differ in their liking of an engine.
const TASTE_PRICE: f64 = 0.08;
/// Free memory by which they differ in their liking of a writer, in parts of it.
const TASTE_LEAD: f64 = 1.0;
/// Worth lost when a part of bulk work goes to an engine that is meant for brief work.
const BULK_REGION: f64 = 3.0;
/// Delay of the slowest engine of a shared prompt on busy engines, in milliseconds, by the square of the logarithm of
/// their number; fitted to the first events of 230 shared prompts.
const STRAGGLE: f64 = 140.0;
/// Part of that delay on idle engines.
const STRAGGLE_IDLE: f64 = 0.4;

/// What a part of bulk work costs on an engine.
#[derive(Clone, Copy)]
struct Rated {
    /// Worth that others lose, and what the choice of the engine costs besides.
    side: f64,
    /// The same with what is lost by waiting.
    cost: f64,
    first: f64,
    index: usize,
}

/// A way to place a request and what it costs.
struct Plan {
    cost: f64,
    first: f64,
    /// Worth that others lose.
    side: f64,
    parts: Vec<usize>,
}

impl Engines<'_> {
    pub(super) fn place_bulk(&self, now: Time, demand: &Demand<'_>) -> Result<Granting, Refusal> {
        let most = self.open.len();
        let mut rated = Vec::with_capacity(most);
        let plans = PARTS.iter().filter_map(|&parts| self.plan(demand, parts.min(most), &mut rated));
        let Some(plan) = plans.min_by(|a, b| a.cost.total_cmp(&b.cost)) else {
            return Err(Refusal::new(Cause::NoMemory, Duration::from_secs(1), demand.jitter));
        };
        let gain = self.gain(demand, &plan);
        let spared = demand.jitter < SPARED
            && plan.first < LONG_WAIT * millis(demand.first)
            && gain > -SPARED_LOSS * value_of(demand);
        if plan.first > REMAINING_USED * millis(demand.remaining) || (gain < 0.0 && !spared) {
            return Err(too_late(demand, plan.first));
        }
        let chosen: Vec<&Candidate<'_>> = plan.parts.iter().map(|&i| &self.open[i]).collect();
        let Some(memory) = self.spread(&chosen, demand) else {
            return Err(Refusal::new(Cause::NoMemory, Duration::from_secs(1), demand.jitter));
        };
        let count = chosen.len() as u32;
        let read = self.costs.read(demand.tokens, count) as f32;
        let context = (demand.tokens / u64::from(count)) as u32;
        let parts = chosen
            .iter()
            .zip(&memory)
            .map(|(c, m)| Part {
                endpoint: c.key,
                read,
                memory: *m as u32,
                context: if *m > 0 { context } else { 0 },
            })
            .collect();
        let tickets = memory[1..].iter().any(|m| *m > 0);
        let helpers = chosen[1..].iter().zip(&memory[1..]);
        let helpers = helpers
            .map(|(c, m)| Helper { key: c.key, address: c.site.listing.address, reserve: *m })
            .collect();
        let reserve = if tickets { memory[0] } else { 0 };
        Ok(self.placed(now, demand, Work::Bulk, parts, plan.first, helpers, reserve))
    }

    /// Worth that is won by admitting a request: its own, less what others lose by it and what the engines could do in
    /// the time, which counts by how much they have ahead.
    fn gain(&self, demand: &Demand<'_>, plan: &Plan) -> f64 {
        let late = plan.first > millis(demand.first);
        let own = value_of(demand) * if late { 1.0 - LATE } else { 1.0 };
        let work = self.costs.read(demand.tokens, 1) / 1e3;
        own - plan.side - work * ENGINE_WORTH * self.busy
    }

    /// The best choice of `parts` engines, the writer first. `rated` is room to work in.
    fn plan(&self, demand: &Demand<'_>, parts: usize, rated: &mut Vec<Rated>) -> Option<Plan> {
        let read = self.costs.read(demand.tokens, parts as u32);
        let wait = WAIT_PRICE * value_of(demand) / 1e3;
        rated.clear();
        rated.extend(self.open.iter().enumerate().map(|(index, c)| {
            let first = Self::first(c, read);
            let region = if c.rank < self.brief_width { BULK_REGION } else { 0.0 };
            let side = Self::damage(c, read) + region + TASTE_PRICE * c.taste;
            Rated { side, cost: side + wait * first, first, index }
        }));
        if parts < rated.len() {
            rated.select_nth_unstable_by(parts, |a, b| a.cost.total_cmp(&b.cost));
            rated.truncate(parts);
        }
        let first = rated.iter().map(|r| r.first).fold(0.0, f64::max) + self.straggle(parts);
        let side: f64 = rated.iter().map(|r| r.side).sum();
        let mut parts: Vec<usize> = rated.iter().map(|r| r.index).collect();
        let needed = demand.tokens + demand.output;
        self.lead_first(&mut parts, needed)?;
        let pass = Self::longest_pass(&self.open[parts[0]], read);
        let tickets = if self.free(&self.open[parts[0]]) < needed { TICKET_PRICE } else { 0.0 };
        let price = (PART_PRICE + tickets) * parts.len() as f64;
        let cost = Self::lateness(demand, first, pass) + side + price;
        let room: u64 = parts.iter().map(|&i| self.free(&self.open[i])).sum();
        (room >= needed).then_some(Plan { cost, first, side, parts })
    }

    /// Time by which the slowest of `parts` engines is later than forecast: each is delayed by what is placed there
    /// meanwhile, and the first event waits for all of them.
    fn straggle(&self, parts: usize) -> f64 {
        let spread = (parts as f64).ln();
        STRAGGLE * spread * spread * (STRAGGLE_IDLE + (1.0 - STRAGGLE_IDLE) * self.busy)
    }

    /// Puts the writer first: an engine with a slot and much free memory. Instances that choose at the same moment differ
    /// among those with enough of it, so that one engine is not promised twice.
    fn lead_first(&self, parts: &mut [usize], needed: u64) -> Option<()> {
        let liking = |p: usize| {
            let candidate = &self.open[parts[p]];
            let free = self.free(candidate);
            let taste = if free >= needed { candidate.taste } else { 0.0 };
            free as f64 * (1.0 + TASTE_LEAD * taste)
        };
        let lead = (0..parts.len())
            .filter(|&p| self.has_slot(&self.open[parts[p]]))
            .max_by(|&a, &b| liking(a).total_cmp(&liking(b)))?;
        parts.swap(0, lead);
        Some(())
    }

    /// Memory to fill at each engine: all at the writer if it fits there.
    fn spread(&self, chosen: &[&Candidate<'_>], demand: &Demand<'_>) -> Option<Vec<u64>> {
        let needed = demand.tokens + demand.output;
        let mut memory = vec![0; chosen.len()];
        let lead = self.free(chosen[0]);
        if lead >= needed {
            memory[0] = needed;
            return Some(memory);
        }
        let mut rest = needed;
        let even = needed.div_ceil(chosen.len() as u64);
        for (slot, c) in memory.iter_mut().zip(chosen) {
            *slot = even.min(self.free(c)).min(rest);
            rest -= *slot;
        }
        for (slot, c) in memory.iter_mut().zip(chosen) {
            let more = rest.min(self.free(c) - *slot);
            *slot += more;
            rest -= more;
        }
        (rest == 0).then_some(memory)
    }
}
