//! Placement of prompts on the model engines where the least value is lost.
//!
//! The mix of requests changes within seconds between many brief prompts and a few very long ones. The
//! prefill of a long prompt stalls all brief requests that decode on the same engine for a whole pass. Brief
//! requests are therefore placed on as few engines as they need, from the start of an order that all
//! instances share, and bulk prompts from its end. A long prompt is prefilled by several engines at once, but
//! by no more than its first event needs to be on time. A request that would be late is refused at once,
//! because admitting it would delay the work behind it as well. This module contains what both kinds of work
//! share and the choice for brief requests; [`super::bulk`] chooses for bulk prompts.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::load::{Load, Loads};
use super::place::{Cause, Demand, GrantedPlacement, Helper, Placement, RETRY_MIN, Refusal};
use super::{Grant, Key, Part, Pool, Site, Work};
use crate::engine::Costs;
use crate::time::Time;

/// Number of unanswered brief requests from which an unresponsive engine gets no new work while others
/// respond; a single request may be slow although the engine responds.
const UNANSWERED_MAX: u32 = 2;
/// Fraction of an engine's slots that brief requests may fill while event gaps stay short.
const BRIEF_SLOTS_PREFERRED: f64 = 0.625;
/// Longest prefill of a brief prompt, in passes.
const BRIEF_PREFILL_PASSES_MAX: f64 = 3.2;
/// Fraction of an engine's slots that brief requests may fill and still meet their targets.
const BRIEF_SLOTS_MAX: f64 = 0.875;
/// Preferred backlog of bulk prefills for each bulk engine, in milliseconds.
const BULK_BACKLOG_PREFERRED_MS: f64 = 250.0;
/// Backlog of bulk prefills at which a bulk engine counts as fully used, in milliseconds.
const BULK_BACKLOG_FULL_MS: f64 = 500.0;
/// Slots of an engine that are kept free for requests that other instances place at the same time, unless planners agree on
/// the last slots.
const SPARE_SLOTS: u32 = 1;
/// Engines reserved for bulk prompts, in eighths of all engines.
const BULK_EIGHTHS: usize = 1;
/// Fraction of the longest event gap that a planned pass may take; the remainder covers effects that are not
/// modelled.
const GAP_SHARE_MAX: f64 = 0.85;
/// Fraction of the target that the planned time to first event may take.
const FIRST_SHARE_MAX: f64 = 0.8;
/// Fraction of an answer's value that is lost when it is late.
pub(super) const LATE_LOSS: f64 = 0.75;
/// Cost of the request bias, for each peer. Requests that peers placed while their messages are on the way
/// are unknown; without the bias all instances would choose the same engine.
const REQUEST_BIAS_COST: f64 = 0.002;
/// Upper limit of that cost; smaller than the cost of brief work on a bulk engine, so that the bias does not
/// mix the two.
const REQUEST_BIAS_MAX: f64 = 0.3;
/// Cost of each request that an engine already holds.
const CROWDING_COST: f64 = 0.01;
/// Ratio of all planners to those whose grants are known, from which too few grants are known to separate
/// brief from bulk work.
const PLANNER_RATIO_MAX: f64 = 2.0;
/// Fraction of an answer's value that is lost for each second of waiting.
pub(super) const WAIT_COST_PER_S: f64 = 0.1;
/// Cost of placing a brief request on an engine in the bulk range.
const BULK_RANGE_COST: f64 = 0.6;
/// Value of an answer to an empty prompt; the value grows with the length of the prompt, by the users'
/// prices.
const VALUE_BASE: f64 = 0.7;
/// Tokens of the prompt that add one unit of value.
const VALUE_TOKENS: f64 = 8_800.0;
/// Fraction of an engine's memory that placements may use; the remainder covers answers that are longer than
/// estimated.
const MEMORY_SHARE_MAX: f64 = 0.96;

/// Longest time that is calculated with; far beyond any deadline.
const SPAN_MAX: Duration = Duration::from_hours(24);

/// An engine that may get the request or a part of it.
pub(super) struct Candidate<'a> {
    pub(super) key: Key,
    pub(super) site: &'a Site,
    pub(super) load: &'a Load,
    /// Position in the order that all instances share.
    pub(super) rank: usize,
    /// Observed time divided by published time.
    pub(super) pace: f64,
    /// Learned limit of requests in flight.
    pub(super) limit: u32,
    /// Length of a pass with one more request and without prefill, in milliseconds.
    pub(super) pass_ms: f64,
    /// Number between zero and one that differs by instance, so that instances choosing at the same time
    /// choose differently.
    pub(super) instance_bias: f64,
    /// The same, but different for each request; set for brief requests only.
    pub(super) request_bias: f64,
}

/// Engines of one service. Ranks below `brief_count` form the brief range, the others the bulk range.
pub(super) struct Engines<'a> {
    pub(super) costs: &'a Costs,
    pub(super) open: Vec<Candidate<'a>>,
    pub(super) brief_count: usize,
    /// Ratio of all planners to those whose grants are known.
    pub(super) planner_ratio: f64,
    /// Cost of the largest request bias.
    pub(super) bias_cost: f64,
    /// Utilization of the bulk engines, from zero to one.
    pub(super) utilization: f64,
    /// Slots of an engine that are kept free.
    pub(super) spare_slots: u32,
}

impl Pool {
    /// Bias of this instance against an endpoint, between zero and one; with `number`, that of a single
    /// request.
    fn bias(&self, key: Key, number: u64) -> f64 {
        let seed = self.seed.wrapping_add(number);
        xxh3_64_with_seed(&key.0.to_le_bytes(), seed) as f64 / u64::MAX as f64
    }

    /// Places a prompt on one or more engines.
    pub(super) fn place_prompt(
        &self,
        now: Time,
        demand: &Demand<'_>,
        costs: &Costs,
        loads: &Loads,
    ) -> Result<GrantedPlacement, Refusal> {
        let idle = Load::default();
        let work = classify(costs, demand);
        let open = self.open_sites(now, demand);
        let mut open: Vec<_> = open
            .into_iter()
            .map(|(rank, key, site)| {
                let load = loads.get(&key).unwrap_or(&idle);
                let pass_ms = costs.pass_ms(load.held + 1, load.context);
                let instance_bias = self.bias(key, 0);
                let request_bias =
                    if work == Work::Brief { self.bias(key, self.last_number + 1) } else { 0.0 };
                Candidate {
                    key,
                    site,
                    load,
                    rank,
                    pace: self.pace(now, site),
                    limit: self.learned_limit(now, site),
                    pass_ms,
                    instance_bias,
                    request_bias,
                }
            })
            .collect();
        if open.is_empty() {
            return Err(self.refuse_closed(now, demand, RETRY_MIN));
        }
        // An unresponsive engine looks idle and would attract ever more requests.
        let responds = |c: &Candidate<'_>| !c.load.is_unresponsive(UNANSWERED_MAX);
        if open.iter().any(responds) {
            open.retain(responds);
        }
        // Reading a long prompt is much work for one request of a limit.
        let unlimited = |c: &Candidate<'_>| !self.is_limited(c.key);
        if work == Work::Bulk && open.iter().any(unlimited) {
            open.retain(unlimited);
        }
        let planner_ratio = self.planner_ratio();
        let brief_count = brief_count(costs, &open, planner_ratio);
        let bias_cost = (REQUEST_BIAS_COST * self.peers.len() as f64).min(REQUEST_BIAS_MAX);
        let utilization = utilization(&open, brief_count);
        let spare_slots = if self.name.is_some() && !self.alone { 0 } else { SPARE_SLOTS };
        let engines =
            Engines { costs, open, brief_count, planner_ratio, bias_cost, utilization, spare_slots };
        match work {
            Work::Bulk => engines.place_bulk(now, demand),
            _ => engines.place_brief(now, demand),
        }
    }
}

/// Classifies a prompt: it is bulk if its prefill on one engine would stall the requests that decode there.
pub(super) fn classify(costs: &Costs, demand: &Demand<'_>) -> Work {
    let pass_ms = preferred_pass_ms(costs);
    let alone = costs.prefill_ms(demand.tokens, 1);
    let stalls = alone + pass_ms > millis(demand.gap).max(2.0 * pass_ms);
    if stalls || alone > BRIEF_PREFILL_PASSES_MAX * pass_ms { Work::Bulk } else { Work::Brief }
}

/// Number of engines for brief work, counted from the start of the order: as many as preferred unless bulk
/// work needs them, but at least as many as brief requests need. Planners whose grants are unknown are
/// assumed to hold as many brief requests as the others.
fn brief_count(costs: &Costs, open: &[Candidate<'_>], planner_ratio: f64) -> usize {
    let known: u32 = open.iter().map(|c| c.load.briefs).sum();
    if planner_ratio >= PLANNER_RATIO_MAX {
        return open.len();
    }
    let briefs = (f64::from(known) * planner_ratio).ceil() as u32 + 1;
    let preferred = briefs.div_ceil(slot_share(costs, BRIEF_SLOTS_PREFERRED)) as usize + 1;
    let needed = briefs.div_ceil(slot_share(costs, BRIEF_SLOTS_MAX)) as usize;
    let bulk_backlog: f64 = open.iter().map(|c| c.load.bulk_backlog).sum();
    let reserved = (open.len() * BULK_EIGHTHS).div_ceil(8);
    let bulk = ((bulk_backlog / BULK_BACKLOG_PREFERRED_MS).ceil() as usize).max(reserved);
    let limit = open.len().saturating_sub(reserved).max(1);
    open.len().saturating_sub(bulk).clamp(needed.min(limit), preferred.max(needed).min(limit)).max(1)
}

/// Utilization of the bulk engines, from zero to one.
fn utilization(open: &[Candidate<'_>], brief_count: usize) -> f64 {
    let backlog: f64 = open.iter().map(|c| c.load.bulk_backlog).sum();
    let engines = open.len().saturating_sub(brief_count).max(1) as f64;
    (backlog / (engines * BULK_BACKLOG_FULL_MS)).min(1.0)
}

/// Length of a pass of an engine that holds as many brief requests as preferred, in milliseconds.
pub(super) fn preferred_pass_ms(costs: &Costs) -> f64 {
    costs.pass_ms(slot_share(costs, BRIEF_SLOTS_PREFERRED), 0)
}

fn slot_share(costs: &Costs, part: f64) -> u32 {
    ((f64::from(costs.slots) * part) as u32).max(1)
}

pub(super) fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

/// Time of `ms` milliseconds; one that is too long or no number is as long as the longest.
pub(super) fn from_millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1e3).map_or(SPAN_MAX, |span| span.min(SPAN_MAX))
}

/// Tokens in a part of a grant; more than fit into it count as the most that do.
pub(super) fn saturate(tokens: u64) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

pub(super) fn too_late(demand: &Demand<'_>, first_ms: f64) -> Refusal {
    let wait = (first_ms - millis(demand.first)).max(0.0);
    Refusal::new(Cause::TooLate, from_millis(wait), demand.jitter)
}

/// Value of an answer relative to other answers.
pub(super) fn value_of(demand: &Demand<'_>) -> f64 {
    VALUE_BASE + demand.tokens as f64 / VALUE_TOKENS
}

impl Engines<'_> {
    /// Expected time to first event of a prefill that is granted now, in milliseconds.
    pub(super) fn time_to_first_ms(candidate: &Candidate<'_>, prefill_ms: f64) -> f64 {
        let Candidate { load, pass_ms, pace, .. } = candidate;
        let current = if load.held > 0 { pass_ms / 2.0 } else { 0.0 };
        (current + load.interleaved(prefill_ms) + prefill_ms + pass_ms) * pace
    }

    /// Value that the requests on an engine lose in a pass that is longer by a prefill of `prefill_ms`.
    pub(super) fn value_lost(candidate: &Candidate<'_>, prefill_ms: f64) -> f64 {
        let pass_ms = candidate.pass_ms + candidate.load.backlog_ms;
        let factor = candidate.pace / GAP_SHARE_MAX;
        LATE_LOSS * candidate.load.added_value_lost(pass_ms * factor, (pass_ms + prefill_ms) * factor)
    }

    /// Value that the request loses when its first event takes `first_ms` and the longest later pass
    /// `pass_ms`.
    pub(super) fn lateness_cost(demand: &Demand<'_>, first_ms: f64, pass_ms: f64) -> f64 {
        let value = value_of(demand);
        let late =
            first_ms > FIRST_SHARE_MAX * millis(demand.first) || pass_ms > GAP_SHARE_MAX * millis(demand.gap);
        WAIT_COST_PER_S * value * first_ms / 1e3 + if late { LATE_LOSS * value } else { 0.0 }
    }

    /// Longest pass of an engine while its granted prefills and one of `prefill_ms` run, in milliseconds.
    pub(super) fn longest_pass_ms(candidate: &Candidate<'_>, prefill_ms: f64) -> f64 {
        (candidate.pass_ms + candidate.load.backlog_ms + prefill_ms) * candidate.pace
    }

    pub(super) fn has_slot(&self, candidate: &Candidate<'_>) -> bool {
        candidate.load.held + self.spare_slots < candidate.site.listing.slots.min(self.costs.slots).max(2)
            && (candidate.limit >= candidate.site.listing.slots || candidate.load.held < candidate.limit)
    }

    pub(super) fn free_memory(&self, candidate: &Candidate<'_>) -> u64 {
        let planned = (self.costs.memory as f64 * MEMORY_SHARE_MAX) as u64;
        planned.saturating_sub(candidate.load.memory)
    }

    fn place_brief(&self, now: Time, demand: &Demand<'_>) -> Result<GrantedPlacement, Refusal> {
        let prefill_ms = self.costs.prefill_ms(demand.tokens, 1);
        let memory = demand.memory();
        let score = |c: &Candidate<'_>| {
            let first_ms = Self::time_to_first_ms(c, prefill_ms);
            let own = Self::lateness_cost(demand, first_ms, Self::longest_pass_ms(c, prefill_ms));
            let range_cost = if c.rank < self.brief_count { 0.0 } else { BULK_RANGE_COST };
            let crowding = f64::from(c.load.held) * CROWDING_COST
                + c.instance_bias * (self.planner_ratio - 1.0).min(1.0);
            (
                own + Self::value_lost(c, prefill_ms)
                    + range_cost
                    + crowding
                    + c.request_bias * self.bias_cost,
                first_ms,
            )
        };
        let best = self
            .open
            .iter()
            .filter(|c| self.has_slot(c) && self.free_memory(c) >= memory)
            .map(|c| (score(c), c))
            .min_by(|a, b| a.0.0.total_cmp(&b.0.0));
        let Some(((_, first_ms), c)) = best else {
            let wait = preferred_pass_ms(self.costs) * 8.0;
            return Err(Refusal::new(Cause::NoSlot, from_millis(wait), demand.jitter));
        };
        if first_ms > millis(demand.remaining) {
            return Err(too_late(demand, first_ms));
        }
        let part = Part {
            endpoint: c.key,
            read: prefill_ms as f32,
            memory: saturate(memory),
            context: saturate(memory),
        };
        Ok(self.build_placement(now, demand, Work::Brief, vec![part], first_ms, Vec::new(), 0))
    }

    #[expect(clippy::too_many_arguments, reason = "everything that a placement and its grant consist of")]
    pub(super) fn build_placement(
        &self,
        now: Time,
        demand: &Demand<'_>,
        work: Work,
        parts: Vec<Part>,
        first_ms: f64,
        helpers: Vec<Helper>,
        reserve: u64,
    ) -> GrantedPlacement {
        let key = parts[0].endpoint;
        let listing = self.open.iter().find(|c| c.key == key).map(|c| c.site.listing.clone());
        let listing = listing.expect("the decode engine is one of the open engines");
        let rank = |key| self.open.iter().find(|c| c.key == key).map(|c| c.rank);
        let ranks = parts.iter().filter_map(|p| rank(p.endpoint)).collect();
        let gap = demand.gap.as_millis() as u32;
        let value = value_of(demand) as f32;
        let expected = from_millis(first_ms);
        let grant = Grant { work, parts, granted: now, first: None, due: now + demand.first, gap, value };
        (key, grant, Placement { number: 0, key, listing, reserve, helpers, ranks, expected })
    }
}
