//! Placement of bulk prompts: selects the engines that prefill and hold them, and decides on admission.

use std::time::Duration;

use super::place::{Cause, Demand, GrantedPlacement, Helper, Refusal};
use super::prompt::{Candidate, Engines, LATE_LOSS, WAIT_COST_PER_S, millis, saturate, too_late, value_of};
use super::{Part, Work};
use crate::time::Time;

/// Value that a fully used engine produces per second.
const ENGINE_VALUE_PER_S: f64 = 8.0;
/// Share of requests that are admitted although other requests would bring more value, so that no prompt
/// length is refused entirely.
const EXEMPT_SHARE: f64 = 0.55;
/// Largest negative gain of such a request, as a fraction of its own value.
const EXEMPT_LOSS_MAX: f64 = 0.6;
/// Longest time to first event of such a request, as a multiple of its target.
const EXEMPT_WAIT_MAX: f64 = 1.8;
/// Fraction of the remaining time that the first event may take.
const REMAINING_SHARE_MAX: f64 = 0.7;
/// Numbers of engines that are considered for a bulk prompt. At least two: engines prefill shared parts
/// before other prompts, so a prompt on a single engine would wait for all of them. At most sixteen engines
/// can be named in a request, including the decode engine.
const PART_COUNTS: [usize; 9] = [2, 3, 4, 5, 6, 8, 10, 13, 16];
/// Cost of each engine of a placement: an additional one must save more than this value.
const PART_COST: f64 = 0.04;
/// Cost of each engine when the placement needs reservations.
const RESERVATION_COST: f64 = 0.06;
/// Cost of an engine with the largest instance bias.
const INSTANCE_BIAS_COST: f64 = 0.08;
/// Weight of the instance bias in the choice of the decode engine, as a fraction of its free memory.
const DECODE_BIAS_WEIGHT: f64 = 1.0;
/// Cost of placing a part of a bulk prompt on an engine in the brief range.
const BRIEF_RANGE_COST: f64 = 3.0;
/// Delay of the slowest engine of a shared prompt when the bulk engines are fully used, in milliseconds per
/// squared natural logarithm of the number of engines.
const STRAGGLER_DELAY_MS: f64 = 140.0;
/// Fraction of that delay that remains when the bulk engines are idle.
const STRAGGLER_IDLE_SHARE: f64 = 0.4;

/// Cost of one part of a bulk prompt on an engine.
#[derive(Clone, Copy)]
struct PartCost {
    /// Value that other requests lose, and the fixed costs of choosing this engine.
    base: f64,
    /// The same, plus the value that the request loses by waiting.
    cost: f64,
    /// Expected time to first event, in milliseconds.
    first_ms: f64,
    /// Index among the open engines.
    index: usize,
}

/// A set of engines for a request, with its cost.
struct Plan {
    cost: f64,
    /// Expected time to first event, in milliseconds.
    first_ms: f64,
    /// Value that other requests lose, and the fixed costs of the engines.
    base: f64,
    /// Indices among the open engines, the decode engine first.
    parts: Vec<usize>,
}

impl Engines<'_> {
    pub(super) fn place_bulk(&self, now: Time, demand: &Demand<'_>) -> Result<GrantedPlacement, Refusal> {
        let limit = self.open.len();
        let mut part_costs = Vec::with_capacity(limit);
        let plans =
            PART_COUNTS.iter().filter_map(|&parts| self.plan(demand, parts.min(limit), &mut part_costs));
        let Some(plan) = plans.min_by(|a, b| a.cost.total_cmp(&b.cost)) else {
            return Err(Refusal::new(Cause::NoMemory, Duration::from_secs(1), demand.jitter));
        };
        let gain = self.gain(demand, &plan);
        let exempt = demand.jitter < EXEMPT_SHARE
            && plan.first_ms < EXEMPT_WAIT_MAX * millis(demand.first)
            && gain > -EXEMPT_LOSS_MAX * value_of(demand);
        if plan.first_ms > REMAINING_SHARE_MAX * millis(demand.remaining) || (gain < 0.0 && !exempt) {
            return Err(too_late(demand, plan.first_ms));
        }
        let chosen: Vec<&Candidate<'_>> = plan.parts.iter().map(|&i| &self.open[i]).collect();
        let Some(memory) = self.split_memory(&chosen, demand) else {
            return Err(Refusal::new(Cause::NoMemory, Duration::from_secs(1), demand.jitter));
        };
        let count = chosen.len() as u32;
        let prefill_ms = self.costs.prefill_ms(demand.tokens, count) as f32;
        let context = saturate(demand.tokens / u64::from(count));
        let parts = chosen
            .iter()
            .zip(&memory)
            .map(|(c, m)| Part {
                endpoint: c.key,
                read: prefill_ms,
                memory: saturate(*m),
                context: if *m > 0 { context } else { 0 },
            })
            .collect();
        let reserves = memory[1..].iter().any(|m| *m > 0);
        let helpers = chosen[1..].iter().zip(&memory[1..]);
        let helpers = helpers
            .map(|(c, m)| Helper { key: c.key, address: c.site.listing.address, reserve: *m })
            .collect();
        let reserve = if reserves { memory[0] } else { 0 };
        Ok(self.build_placement(now, demand, Work::Bulk, parts, plan.first_ms, helpers, reserve))
    }

    /// Value gained by admitting a request: its own, minus what other requests lose and what the engines
    /// could produce in the same time, weighted by the utilization of the bulk engines.
    fn gain(&self, demand: &Demand<'_>, plan: &Plan) -> f64 {
        let late = plan.first_ms > millis(demand.first);
        let own = value_of(demand) * if late { 1.0 - LATE_LOSS } else { 1.0 };
        let work = self.costs.prefill_ms(demand.tokens, 1) / 1e3;
        own - plan.base - work * ENGINE_VALUE_PER_S * self.utilization
    }

    /// Cheapest choice of `parts` engines, the decode engine first. `part_costs` is a scratch buffer.
    fn plan(&self, demand: &Demand<'_>, parts: usize, part_costs: &mut Vec<PartCost>) -> Option<Plan> {
        let prefill_ms = self.costs.prefill_ms(demand.tokens, parts as u32);
        let wait = WAIT_COST_PER_S * value_of(demand) / 1e3;
        part_costs.clear();
        part_costs.extend(self.open.iter().enumerate().map(|(index, c)| {
            let first_ms = Self::time_to_first_ms(c, prefill_ms);
            let range_cost = if c.rank < self.brief_count { BRIEF_RANGE_COST } else { 0.0 };
            let base = Self::value_lost(c, prefill_ms) + range_cost + INSTANCE_BIAS_COST * c.instance_bias;
            PartCost { base, cost: base + wait * first_ms, first_ms, index }
        }));
        if parts < part_costs.len() {
            part_costs.select_nth_unstable_by(parts, |a, b| a.cost.total_cmp(&b.cost));
            part_costs.truncate(parts);
        }
        let first_ms = part_costs.iter().map(|r| r.first_ms).fold(0.0, f64::max) + self.straggler_ms(parts);
        let base: f64 = part_costs.iter().map(|r| r.base).sum();
        let mut parts: Vec<usize> = part_costs.iter().map(|r| r.index).collect();
        let needed = demand.memory();
        self.put_decode_first(&mut parts, needed)?;
        let pass_ms = Self::longest_pass_ms(&self.open[parts[0]], prefill_ms);
        let reservation =
            if self.free_memory(&self.open[parts[0]]) < needed { RESERVATION_COST } else { 0.0 };
        let fixed = (PART_COST + reservation) * parts.len() as f64;
        let cost = Self::lateness_cost(demand, first_ms, pass_ms) + base + fixed;
        let free = parts.iter().map(|&i| self.free_memory(&self.open[i])).fold(0, u64::saturating_add);
        (free >= needed).then_some(Plan { cost, first_ms, base, parts })
    }

    /// Expected extra delay of the slowest of `parts` engines: each one is delayed by work placed there in
    /// the meantime, and the first event waits for all of them. In milliseconds.
    fn straggler_ms(&self, parts: usize) -> f64 {
        let log = (parts as f64).ln();
        STRAGGLER_DELAY_MS
            * log
            * log
            * (STRAGGLER_IDLE_SHARE + (1.0 - STRAGGLER_IDLE_SHARE) * self.utilization)
    }

    /// Puts the decode engine first: one with a free slot and as much free memory as possible. Among engines
    /// with enough memory the choice is biased by instance, so that instances choosing at the same time don't
    /// plan with the same memory.
    fn put_decode_first(&self, parts: &mut [usize], needed: u64) -> Option<()> {
        let score = |p: usize| {
            let candidate = &self.open[parts[p]];
            let free = self.free_memory(candidate);
            let instance_bias = if free >= needed { candidate.instance_bias } else { 0.0 };
            free as f64 * (1.0 + DECODE_BIAS_WEIGHT * instance_bias)
        };
        let decode = (0..parts.len())
            .filter(|&p| self.has_slot(&self.open[parts[p]]))
            .max_by(|&a, &b| score(a).total_cmp(&score(b)))?;
        parts.swap(0, decode);
        Some(())
    }

    /// KV memory to fill on each engine: all of it on the decode engine if it fits there, otherwise spread
    /// evenly.
    fn split_memory(&self, chosen: &[&Candidate<'_>], demand: &Demand<'_>) -> Option<Vec<u64>> {
        let needed = demand.memory();
        let mut memory = vec![0; chosen.len()];
        let decode_free = self.free_memory(chosen[0]);
        if decode_free >= needed {
            memory[0] = needed;
            return Some(memory);
        }
        let mut remaining = needed;
        let even = needed.div_ceil(chosen.len() as u64);
        for (slot, c) in memory.iter_mut().zip(chosen) {
            *slot = even.min(self.free_memory(c)).min(remaining);
            remaining -= *slot;
        }
        for (slot, c) in memory.iter_mut().zip(chosen) {
            let extra = remaining.min(self.free_memory(c) - *slot);
            *slot += extra;
            remaining -= extra;
        }
        (remaining == 0).then_some(memory)
    }
}
