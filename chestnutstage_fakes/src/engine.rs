//! Model of a batching engine, without clock or I/O.
//!
//! An iteration prefills up to a chunk of prompt tokens, highest priority first, and generates one token for each
//! request whose prompt is done. A cold engine is slower, and falls over when it is given more than its cold capacity.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use chestnutstage_core::endpoint::{Endpoint, Report};
use chestnutstage_core::ids::{BootId, RequestId};
use chestnutstage_core::length::Tokens;
use chestnutstage_core::window::Load;

/// Prompt tokens in one iteration, at the most.
const CHUNK: u64 = 2_048;
/// Time that an iteration takes by itself.
const ITERATION: Duration = Duration::from_millis(8);
/// Time that each generating request adds to an iteration.
const DECODE: Duration = Duration::from_micros(150);
/// Slowdown of a cold engine.
const COLD_SLOWDOWN: u32 = 6;
/// Tokens that a cold engine must process before it is warm.
const WARM_UP: u64 = 20_000;
/// Prefixes kept in the cache.
const CACHE_SIZE: usize = 64;

/// A request to the engine.
#[derive(Debug, Clone)]
pub struct Job {
    /// Its identity.
    pub id: RequestId,
    /// Priority; a lower number goes first.
    pub priority: u8,
    /// Prompt tokens.
    pub prompt: Tokens,
    /// Tokens to generate.
    pub output: Tokens,
    /// Hash of the prompt's first part.
    pub prefix: Option<u64>,
}

#[derive(Debug)]
struct Running {
    job: Job,
    left: u64,
    cached: u64,
    made: u64,
    order: u64,
}

/// Something that an iteration brought about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StepOutput {
    /// A token, with the number of prompt tokens found in the cache.
    Token {
        /// The request.
        id: RequestId,
        /// Number of the token, from zero.
        offset: u64,
        /// Prompt tokens that were cached.
        cached: u64,
        /// Whether it is the last one.
        last: bool,
    },
}

/// An engine.
#[derive(Debug)]
pub struct Engine {
    endpoint: Endpoint,
    boot: BootId,
    running: BTreeMap<RequestId, Running>,
    cache: VecDeque<(u64, u64)>,
    cold: u64,
    order: u64,
    /// Requests beyond the cold capacity that were given to it while cold.
    pub excess: u64,
    /// Times that it fell over.
    pub falls: u64,
}

impl Engine {
    /// An engine in its life `boot`.
    pub fn new(endpoint: Endpoint, boot: BootId, cold: bool) -> Self {
        Self {
            endpoint,
            boot,
            running: BTreeMap::new(),
            cache: VecDeque::new(),
            cold: if cold { WARM_UP } else { 0 },
            order: 0,
            excess: 0,
            falls: 0,
        }
    }

    /// Its present life.
    pub const fn boot(&self) -> BootId {
        self.boot
    }

    /// Its listing.
    pub const fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Whether it is cold.
    pub const fn is_cold(&self) -> bool {
        self.cold > 0
    }

    /// Requests running.
    pub fn running(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.running.keys().copied()
    }

    /// Load as its capacity counts it.
    pub fn load(&self) -> Load {
        let tokens = self.running.values().map(|r| r.left.min(32_768)).sum();
        Load { requests: self.running.len() as u32, tokens: Tokens(tokens) }
    }

    /// What it says of itself.
    pub fn report(&self) -> Report {
        let held = self.running.values().map(|r| r.job.prompt + r.job.output).sum();
        Report { boot: self.boot, cold: self.is_cold(), running: self.running.len() as u32, held }
    }

    /// Turns cold without notice.
    pub const fn turn_cold(&mut self) {
        self.cold = WARM_UP;
    }

    /// Restarts: loses all requests and caches.
    pub fn restart(&mut self) {
        self.boot = BootId(self.boot.0 + 1);
        self.running.clear();
        self.cache.clear();
        self.cold = WARM_UP;
    }

    /// Takes a request; tells whether it went beyond the cold capacity.
    pub fn submit(&mut self, job: Job) -> bool {
        let cached =
            job.prefix.map_or(0, |p| self.touch(p, job.prompt.0)).min(job.prompt.0.saturating_sub(1));
        let left = job.prompt.0 - cached;
        self.order += 1;
        self.running.insert(job.id, Running { job, left, cached, made: 0, order: self.order });
        let bound = self.endpoint.capacity.cold;
        let beyond = self.is_cold() && !Load::default().fits(self.load(), bound);
        self.excess += u64::from(beyond);
        beyond
    }

    /// Drops a request.
    pub fn cancel(&mut self, id: RequestId) -> bool {
        self.running.remove(&id).is_some()
    }

    /// Whether there is anything to do.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty()
    }

    /// Runs one iteration: how long it takes, and what stands at its end.
    pub fn step(&mut self) -> (Duration, Vec<StepOutput>) {
        let mut order: Vec<_> = self.running.values().map(|r| (r.job.priority, r.order, r.job.id)).collect();
        order.sort_unstable();
        let mut budget = CHUNK;
        let mut made = Vec::new();
        let mut decodes = 0;
        for (_, _, id) in order {
            let Some(running) = self.running.get_mut(&id) else {
                continue;
            };
            if running.left > 0 {
                let part = running.left.min(budget);
                running.left -= part;
                budget -= part;
                if running.left > 0 || part == 0 {
                    continue;
                }
            } else {
                decodes += 1;
            }
            let last = running.made + 1 >= running.job.output.0;
            made.push(StepOutput::Token { id, offset: running.made, cached: running.cached, last });
            running.made += 1;
            if last {
                self.running.remove(&id);
            }
        }
        let prefilled = CHUNK - budget;
        let work = self.endpoint.speed.prefill(Tokens(prefilled)) + ITERATION + DECODE * decodes;
        let took = if self.is_cold() { work * COLD_SLOWDOWN } else { work };
        self.cold = self.cold.saturating_sub(prefilled + made.len() as u64 * 16);
        (took, made)
    }

    /// Looks a prefix up and keeps it; gives the tokens that were there.
    fn touch(&mut self, prefix: u64, tokens: u64) -> u64 {
        let found = self.cache.iter().position(|(p, _)| *p == prefix).and_then(|i| self.cache.remove(i));
        if self.cache.len() >= CACHE_SIZE {
            self.cache.pop_front();
        }
        // Requests share their first half; the rest differs.
        let shared = tokens / 2;
        self.cache.push_back((prefix, shared));
        found.map_or(0, |(_, t)| t.min(shared))
    }
}
