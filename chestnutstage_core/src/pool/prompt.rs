//! Placement of prompts on model engines: the engines that cost the least worth.
//!
//! Load pattern: within seconds the mix swings between many brief prompts and few very long ones. A long read beside
//! brief writers stalls all of them for a whole pass, so brief work stays on as few engines as it needs, counted from one
//! end of an order that all instances share, and long work starts from the other end. A long prompt is read by several
//! engines at once, as many as bring its first event in time and no more. What would come too late is refused at once:
//! admitting it would make the work behind it late as well. Here stand what both kinds of work share and the choice for
//! brief work; [`super::bulk`] chooses for the other kind.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::load::{Load, Loads};
use super::place::{Cause, Demand, Granting, Helper, Placement, RETRY_MIN, Refusal};
use super::{Grant, Key, Part, Pool, Site, Work};
use crate::engine::Costs;
use crate::time::Time;

/// Unanswered brief requests from which a silent engine gets nothing more while others answer; a single one may be slow by
/// itself.
const UNANSWERED_MAX: u32 = 2;
/// Part of an engine's slots with brief requests at which their pauses stay short.
const BRIEFS_LIKED: f64 = 0.625;
/// Passes that a brief prompt's read may last.
const BRIEF_PASSES: f64 = 3.2;
/// Part of an engine's slots with brief requests that still meet their targets.
const BRIEFS_DENSE: f64 = 0.875;
/// Reads that bulk work may have ahead for each of its engines, in milliseconds.
const BULK_READS_LIKED: f64 = 250.0;
/// Reads ahead of each bulk engine at which all its time counts as used, in milliseconds.
const BUSY_READS: f64 = 500.0;
/// Slots of an engine that stay free for requests that other instances are placing at the same moment.
const SPARE_SLOTS: u32 = 1;
/// Engines that stay free of brief work, in eighths of all.
const BULK_EIGHTHS: usize = 1;
/// Part of the longest pause that a pass may take when a read is planned; the rest covers what is not modelled.
const GAP_USED: f64 = 0.85;
/// Part of the target that the first event may take when it is planned.
const FIRST_USED: f64 = 0.8;
/// Part of an answer's worth that is lost when it is late.
pub(super) const LATE: f64 = 0.75;
/// Worth by which requests of brief work differ in their liking of an engine, for each peer: what the peers placed in the
/// time that their messages take isn't known, and without a difference all would choose the same engine.
const SPREAD_PRICE: f64 = 0.002;
/// Most of that difference: less than what keeps brief work from engines that are meant for bulk work.
const SPREAD_MAX: f64 = 0.3;
/// Worth of one more request beside others.
const CROWD_PRICE: f64 = 0.01;
/// Instances for each known one from which the known grants say too little to keep brief and bulk work apart.
const BLIND: f64 = 2.0;
/// Worth of a second of waiting, in parts of the answer's worth.
pub(super) const WAIT_PRICE: f64 = 0.1;
/// Worth lost when brief work goes to an engine that is meant for bulk work.
const BRIEF_REGION: f64 = 0.6;
/// Worth of an answer whose prompt is empty; the users price a long prompt by its length.
const VALUE_BASE: f64 = 0.7;
/// Tokens that add one unit of worth.
const VALUE_TOKENS: f64 = 8_800.0;
/// Share of an engine's memory that is planned; the rest covers output beyond the estimate.
const MEMORY_USED: f64 = 0.96;

/// An engine that may take a part of the request.
pub(super) struct Candidate<'a> {
    pub(super) key: Key,
    pub(super) site: &'a Site,
    pub(super) load: &'a Load,
    pub(super) rank: usize,
    pub(super) pace: f64,
    /// Length of a pass with one more request and without reads, in milliseconds.
    pub(super) pass: f64,
    /// Number between zero and one by which instances that choose at the same moment differ.
    pub(super) taste: f64,
    /// The same for requests of brief work.
    pub(super) chance: f64,
}

/// Engines of one service, and how many of them are meant for brief work.
pub(super) struct Engines<'a> {
    pub(super) costs: &'a Costs,
    pub(super) open: Vec<Candidate<'a>>,
    pub(super) brief_width: usize,
    /// Instances for each one whose grants are known.
    pub(super) unseen: f64,
    /// Worth by which requests of brief work differ in their liking of an engine.
    pub(super) spread: f64,
    /// Part of the bulk engines' time that is used, from zero to one.
    pub(super) busy: f64,
}

impl Pool {
    /// This instance's liking of an endpoint, between zero and one; with `number`, that of one request.
    fn taste(&self, key: Key, number: u64) -> f64 {
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
    ) -> Result<Granting, Refusal> {
        let idle = Load::default();
        let work = work_of(costs, demand);
        let open = self.open_sites(now, demand);
        let mut open: Vec<_> = open
            .into_iter()
            .map(|(rank, key, site)| {
                let load = loads.get(&key).unwrap_or(&idle);
                let pass = costs.pass(load.held + 1, load.context);
                let taste = self.taste(key, 0);
                let chance = if work == Work::Brief { self.taste(key, self.next + 1) } else { 0.0 };
                Candidate { key, site, load, rank, pace: site.pace(now), pass, taste, chance }
            })
            .collect();
        if open.is_empty() {
            return Err(Refusal::new(Cause::NoEndpoint, RETRY_MIN, demand.jitter));
        }
        // A silent engine looks idle and would get ever more.
        let answers = |c: &Candidate<'_>| !c.load.is_unresponsive(UNANSWERED_MAX);
        if open.iter().any(answers) {
            open.retain(answers);
        }
        let unseen = self.unseen();
        let brief_width = brief_width(costs, &open, unseen);
        let spread = (SPREAD_PRICE * self.peers.len() as f64).min(SPREAD_MAX);
        let busy = busy(&open, brief_width);
        let engines = Engines { costs, open, brief_width, unseen, spread, busy };
        match work {
            Work::Bulk => engines.place_bulk(now, demand),
            _ => engines.place_brief(now, demand),
        }
    }
}

/// Kind of a prompt: bulk if reading it alone would stall the writers of a pass.
fn work_of(costs: &Costs, demand: &Demand<'_>) -> Work {
    let pass = costs.pass(part_of_slots(costs, BRIEFS_LIKED), 0);
    let alone = costs.read(demand.tokens, 1);
    let stalls = alone + pass > millis(demand.gap).max(2.0 * pass);
    if stalls || alone > BRIEF_PASSES * pass { Work::Bulk } else { Work::Brief }
}

/// Engines that are meant for brief work, counted from the start of the order: as many as it likes while bulk work leaves
/// them, and no fewer than it needs. Instances whose grants are not known have `unseen` times as many as the others.
fn brief_width(costs: &Costs, open: &[Candidate<'_>], unseen: f64) -> usize {
    let known: u32 = open.iter().map(|c| c.load.briefs).sum();
    if unseen >= BLIND {
        return open.len();
    }
    let briefs = (f64::from(known) * unseen).ceil() as u32 + 1;
    let liked = briefs.div_ceil(part_of_slots(costs, BRIEFS_LIKED)) as usize + 1;
    let needed = briefs.div_ceil(part_of_slots(costs, BRIEFS_DENSE)) as usize;
    let bulk_reads: f64 = open.iter().map(|c| c.load.bulk_reads).sum();
    let floor = (open.len() * BULK_EIGHTHS).div_ceil(8);
    let bulk = ((bulk_reads / BULK_READS_LIKED).ceil() as usize).max(floor);
    let most = open.len().saturating_sub(floor).max(1);
    open.len().saturating_sub(bulk).clamp(needed.min(most), liked.max(needed).min(most)).max(1)
}

/// Part of the bulk engines' time that is used, from zero to one.
fn busy(open: &[Candidate<'_>], brief_width: usize) -> f64 {
    let ahead: f64 = open.iter().map(|c| c.load.bulk_reads).sum();
    let engines = open.len().saturating_sub(brief_width).max(1) as f64;
    (ahead / (engines * BUSY_READS)).min(1.0)
}

fn part_of_slots(costs: &Costs, part: f64) -> u32 {
    ((f64::from(costs.slots) * part) as u32).max(1)
}

pub(super) fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

pub(super) fn too_late(demand: &Demand<'_>, first: f64) -> Refusal {
    let wait = (first - millis(demand.first)).max(0.0);
    Refusal::new(Cause::TooLate, Duration::from_secs_f64(wait / 1e3), demand.jitter)
}

/// Worth of an answer in relation to others.
pub(super) fn value_of(demand: &Demand<'_>) -> f64 {
    VALUE_BASE + demand.tokens as f64 / VALUE_TOKENS
}

impl Engines<'_> {
    /// Time until a read that is granted now is done and its first event is out, in milliseconds.
    pub(super) fn first(candidate: &Candidate<'_>, read: f64) -> f64 {
        let Candidate { load, pass, pace, .. } = candidate;
        let current = if load.held > 0 { pass / 2.0 } else { 0.0 };
        (current + load.ahead(read) + read + pass) * pace
    }

    /// Worth lost by the writers at an engine in the pass that reads `read` more.
    pub(super) fn damage(candidate: &Candidate<'_>, read: f64) -> f64 {
        let pass = candidate.pass + candidate.load.backlog;
        let factor = candidate.pace / GAP_USED;
        LATE * candidate.load.added_loss(pass * factor, (pass + read) * factor)
    }

    /// Worth of the request that is lost when its first event takes `first` and a pass after it `pass` milliseconds.
    pub(super) fn lateness(demand: &Demand<'_>, first: f64, pass: f64) -> f64 {
        let value = value_of(demand);
        let late = first > FIRST_USED * millis(demand.first) || pass > GAP_USED * millis(demand.gap);
        WAIT_PRICE * value * first / 1e3 + if late { LATE * value } else { 0.0 }
    }

    /// Longest pass of an engine while its reads and one of `read` milliseconds are done.
    pub(super) fn longest_pass(candidate: &Candidate<'_>, read: f64) -> f64 {
        (candidate.pass + candidate.load.backlog + read) * candidate.pace
    }

    pub(super) fn has_slot(&self, candidate: &Candidate<'_>) -> bool {
        candidate.load.held + SPARE_SLOTS < candidate.site.listing.slots.min(self.costs.slots).max(2)
    }

    pub(super) fn free(&self, candidate: &Candidate<'_>) -> u64 {
        let planned = (self.costs.memory as f64 * MEMORY_USED) as u64;
        planned.saturating_sub(candidate.load.memory)
    }

    fn place_brief(&self, now: Time, demand: &Demand<'_>) -> Result<Granting, Refusal> {
        let read = self.costs.read(demand.tokens, 1);
        let memory = demand.tokens + demand.output;
        let rate = |c: &Candidate<'_>| {
            let first = Self::first(c, read);
            let own = Self::lateness(demand, first, Self::longest_pass(c, read));
            let region = if c.rank < self.brief_width { 0.0 } else { BRIEF_REGION };
            let crowd = f64::from(c.load.held) * CROWD_PRICE + c.taste * (self.unseen - 1.0).min(1.0);
            (own + Self::damage(c, read) + region + crowd + c.chance * self.spread, first)
        };
        let best = self
            .open
            .iter()
            .filter(|c| self.has_slot(c) && self.free(c) >= memory)
            .map(|c| (rate(c), c))
            .min_by(|a, b| a.0.0.total_cmp(&b.0.0));
        let Some(((_, first), c)) = best else {
            let wait = self.costs.pass(part_of_slots(self.costs, BRIEFS_LIKED), 0) * 8.0;
            return Err(Refusal::new(Cause::NoSlot, Duration::from_secs_f64(wait / 1e3), demand.jitter));
        };
        if first > millis(demand.remaining) {
            return Err(too_late(demand, first));
        }
        let part = Part { endpoint: c.key, read: read as f32, memory: memory as u32, context: memory as u32 };
        Ok(self.placed(now, demand, Work::Brief, vec![part], first, Vec::new(), 0))
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of a placement, put together in one place")]
    pub(super) fn placed(
        &self,
        now: Time,
        demand: &Demand<'_>,
        work: Work,
        parts: Vec<Part>,
        first: f64,
        helpers: Vec<Helper>,
        reserve: u64,
    ) -> Granting {
        let key = parts[0].endpoint;
        let listing = self.open.iter().find(|c| c.key == key).map(|c| c.site.listing.clone());
        let listing = listing.expect("the writer is one of the open engines");
        let rank = |key| self.open.iter().find(|c| c.key == key).map(|c| c.rank);
        let ranks = parts.iter().filter_map(|p| rank(p.endpoint)).collect();
        let gap = demand.gap.as_millis() as u32;
        let value = value_of(demand) as f32;
        let expected = Duration::from_secs_f64(first / 1e3);
        let grant = Grant { work, parts, granted: now, first: None, due: now + demand.first, gap, value };
        (key, grant, Placement { number: 0, key, listing, reserve, helpers, ranks, expected })
    }
}
