//! Model of an engine with continuous batching, without clock or I/O.
//!
//! A step prefills up to a fixed number of prompt tokens, highest priority first, and generates one token for each
//! request whose prompt is done. A cold engine is slower; a real one fails when it gets more than its cold capacity,
//! which this model only counts.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use chestnutstage_core::endpoint::{Endpoint, Report};
use chestnutstage_core::ids::{BootId, RequestId};
use chestnutstage_core::length::Tokens;
use chestnutstage_core::window::Load;

/// Maximum number of prompt tokens that one step prefills.
const STEP_PREFILL_TOKENS: u64 = 2_048;
/// Fixed time of a step.
const STEP_OVERHEAD: Duration = Duration::from_millis(8);
/// Time that each decoding request adds to a step.
const DECODE_TIME: Duration = Duration::from_micros(150);
/// Factor by which a cold engine is slower.
const COLD_SLOWDOWN: u32 = 6;
/// Tokens that a cold engine must process before it is warm.
const WARM_UP_TOKENS: u64 = 20_000;
/// Maximum number of prefixes in the cache.
const CACHED_PREFIXES_MAX: usize = 64;

/// A request to the engine.
#[derive(Debug, Clone)]
pub struct Job {
    /// Request id.
    pub id: RequestId,
    /// Priority; a lower number goes first.
    pub priority: u8,
    /// Prompt tokens.
    pub prompt: Tokens,
    /// Tokens to generate.
    pub output: Tokens,
    /// Hash of the first part of the prompt.
    pub prefix: Option<u64>,
}

#[derive(Debug)]
struct Running {
    job: Job,
    remaining: u64,
    cached: u64,
    generated: u64,
    arrival: u64,
}

/// Output of a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StepOutput {
    /// A generated token.
    Token {
        /// Request id.
        id: RequestId,
        /// Position of the token in the output, from zero.
        offset: u64,
        /// Prompt tokens that were found in the cache.
        cached: u64,
        /// Whether it is the last token of the output.
        last: bool,
    },
}

/// Model of an engine.
#[derive(Debug)]
pub struct Engine {
    endpoint: Endpoint,
    boot: BootId,
    running: BTreeMap<RequestId, Running>,
    cache: VecDeque<(u64, u64)>,
    /// Tokens to process until the engine is warm.
    warm_up: u64,
    arrivals: u64,
    /// Requests beyond the cold capacity that were submitted while the engine was cold.
    pub excess: u64,
    /// Crashes because of overload; the model doesn't simulate them.
    pub crashes: u64,
}

impl Engine {
    /// Creates an engine with the boot id `boot`.
    pub fn new(endpoint: Endpoint, boot: BootId, cold: bool) -> Self {
        Self {
            endpoint,
            boot,
            running: BTreeMap::new(),
            cache: VecDeque::new(),
            warm_up: if cold { WARM_UP_TOKENS } else { 0 },
            arrivals: 0,
            excess: 0,
            crashes: 0,
        }
    }

    /// Boot id of the current incarnation.
    pub const fn boot(&self) -> BootId {
        self.boot
    }

    /// Entry of the engine in the instance list.
    pub const fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Whether it is cold.
    pub const fn is_cold(&self) -> bool {
        self.warm_up > 0
    }

    /// Running requests.
    pub fn running(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.running.keys().copied()
    }

    /// Current load, in the units of the capacity.
    pub fn load(&self) -> Load {
        let tokens = self.running.values().map(|r| r.remaining.min(32_768)).sum();
        Load { requests: self.running.len() as u32, tokens: Tokens(tokens) }
    }

    /// Load report.
    pub fn report(&self) -> Report {
        let held = self.running.values().map(|r| r.job.prompt + r.job.output).sum();
        Report { boot: self.boot, cold: self.is_cold(), running: self.running.len() as u32, held }
    }

    /// Turns the engine cold; the boot id stays the same.
    pub const fn turn_cold(&mut self) {
        self.warm_up = WARM_UP_TOKENS;
    }

    /// Restarts the engine: it gets a new boot id, loses all requests and its cache, and is cold.
    pub fn restart(&mut self) {
        self.boot = BootId(self.boot.0 + 1);
        self.running.clear();
        self.cache.clear();
        self.warm_up = WARM_UP_TOKENS;
    }

    /// Adds a request; returns whether the engine is cold and the request exceeds its cold capacity.
    pub fn submit(&mut self, job: Job) -> bool {
        let cached = job
            .prefix
            .map_or(0, |p| self.look_up_prefix(p, job.prompt.0))
            .min(job.prompt.0.saturating_sub(1));
        let remaining = job.prompt.0 - cached;
        self.arrivals += 1;
        self.running.insert(job.id, Running { job, remaining, cached, generated: 0, arrival: self.arrivals });
        let limit = self.endpoint.capacity.cold;
        let exceeds = self.is_cold() && !Load::default().fits(self.load(), limit);
        self.excess += u64::from(exceeds);
        exceeds
    }

    /// Cancels a request; returns whether it was running.
    pub fn cancel(&mut self, id: RequestId) -> bool {
        self.running.remove(&id).is_some()
    }

    /// Whether no request is running.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty()
    }

    /// Runs one step; returns the time that it takes and its output.
    pub fn step(&mut self) -> (Duration, Vec<StepOutput>) {
        let mut schedule: Vec<_> =
            self.running.values().map(|r| (r.job.priority, r.arrival, r.job.id)).collect();
        schedule.sort_unstable();
        let mut budget = STEP_PREFILL_TOKENS;
        let mut outputs = Vec::new();
        let mut decodes = 0;
        for (_, _, id) in schedule {
            let Some(running) = self.running.get_mut(&id) else {
                continue;
            };
            if running.remaining > 0 {
                let part = running.remaining.min(budget);
                running.remaining -= part;
                budget -= part;
                if running.remaining > 0 || part == 0 {
                    continue;
                }
            } else {
                decodes += 1;
            }
            let last = running.generated + 1 >= running.job.output.0;
            outputs.push(StepOutput::Token { id, offset: running.generated, cached: running.cached, last });
            running.generated += 1;
            if last {
                self.running.remove(&id);
            }
        }
        let prefilled = STEP_PREFILL_TOKENS - budget;
        let work = self.endpoint.speed.prefill(Tokens(prefilled)) + STEP_OVERHEAD + DECODE_TIME * decodes;
        let duration = if self.is_cold() { work * COLD_SLOWDOWN } else { work };
        self.warm_up = self.warm_up.saturating_sub(prefilled + outputs.len() as u64 * 16);
        (duration, outputs)
    }

    /// Looks a prefix up and adds it to the cache; returns the number of its tokens that were cached.
    fn look_up_prefix(&mut self, prefix: u64, tokens: u64) -> u64 {
        let found = self.cache.iter().position(|(p, _)| *p == prefix).and_then(|i| self.cache.remove(i));
        if self.cache.len() >= CACHED_PREFIXES_MAX {
            self.cache.pop_front();
        }
        // Prompts with the same prefix share their first half and differ after it.
        let shared = tokens / 2;
        self.cache.push_back((prefix, shared));
        found.map_or(0, |(_, t)| t.min(shared))
    }
}
