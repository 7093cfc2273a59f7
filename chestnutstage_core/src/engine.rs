//! Time that a model engine takes, calculated from the costs that its service publishes.
//!
//! An engine runs scheduling passes. A pass with decoding requests consists of [`Costs::stride`] steps and
//! produces one event for each of them. Waiting prompts are prefilled within the steps, in chunks of at most
//! [`Costs::chunk`] tokens. A pass takes longer by the prefill that it includes, which delays all decoding
//! requests of the batch. Prefill takes time for each token and for each pair of a token and an earlier one;
//! the second part grows with the square of the length. Several engines may share a prompt; each prefills an
//! even part of its tokens and pairs.

use serde::{Deserialize, Serialize};

/// Tokens per unit of context costs.
const KILO: f64 = 1e3;
/// Pairs per unit of pair costs.
const MEGA: f64 = 1e6;

/// Batch costs of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Costs {
    /// Time of a step, in milliseconds.
    pub step: f64,
    /// Additional time of a step for each decoding request, in milliseconds.
    pub writer: f64,
    /// Additional time of a step for each thousand tokens of the decoding requests' context, in milliseconds.
    pub context: f64,
    /// Prefill speed, in tokens per millisecond.
    pub rate: f64,
    /// Prefill time for a million pairs of a token and an earlier one, in milliseconds.
    pub pairs: f64,
    /// Maximum number of tokens that one step prefills.
    pub chunk: u32,
    /// Steps of a pass with decoding requests.
    pub stride: u32,
    /// Maximum number of requests in the batch.
    pub slots: u32,
    /// KV memory, in tokens.
    pub memory: u64,
    /// Additional time of a decode step for a prompt that is held by several engines, in milliseconds.
    pub hop: f64,
}

impl Costs {
    /// Length of a pass in which `requests` requests with `context` tokens in total decode and nothing is
    /// prefilled, in milliseconds.
    pub fn pass_ms(&self, requests: u32, context: u64) -> f64 {
        let step = self.step + self.writer * f64::from(requests) + self.context * context as f64 / KILO;
        step * f64::from(self.stride.max(1))
    }

    /// Time to prefill one of `parts` even parts of a prompt of `tokens` tokens, in milliseconds.
    pub fn prefill_ms(&self, tokens: u64, parts: u32) -> f64 {
        let parts = f64::from(parts.max(1));
        let tokens = tokens as f64;
        let pairs = tokens * tokens / 2.0;
        let steps = (tokens / parts / f64::from(self.chunk.max(1))).ceil();
        (tokens / self.rate.max(f64::MIN_POSITIVE) + self.pairs * pairs / MEGA) / parts + self.step * steps
    }
}
