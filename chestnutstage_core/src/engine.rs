//! Time that a model engine takes, by the costs that its service publishes.
//!
//! An engine works in passes. A pass with writers runs [`Costs::stride`] steps and gives every writer one event. Waiting
//! prompts are read in pieces of at most [`Costs::chunk`] tokens inside the steps, so that a pass lasts longer by what is
//! read in it, and all writers of the pass wait for that. Reading costs time for each token, and for each pair of a token
//! and one before it: the second part grows with the square of the length. Several engines may share a prompt; each reads
//! an even part of its tokens and of its pairs.

use serde::{Deserialize, Serialize};

/// Tokens in a thousand, the unit of context costs.
const KILO: f64 = 1e3;
/// Pairs in a million, the unit of pair costs.
const MEGA: f64 = 1e6;

/// Batch costs of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Costs {
    /// Time of a step, in milliseconds.
    pub step: f64,
    /// Additional time of a step for each writer, in milliseconds.
    pub writer: f64,
    /// Additional time of a step for a thousand tokens of the writers' context, in milliseconds.
    pub context: f64,
    /// Tokens read in a millisecond.
    pub rate: f64,
    /// Time for a million pairs of a token and an earlier one, in milliseconds.
    pub pairs: f64,
    /// Tokens read in a step, at the most.
    pub chunk: u32,
    /// Steps of a pass with writers.
    pub stride: u32,
    /// Requests in the batch, at the most.
    pub slots: u32,
    /// Memory, in tokens.
    pub memory: u64,
    /// Additional time of a step of a writer whose prompt several engines hold, in milliseconds.
    pub hop: f64,
}

impl Costs {
    /// Length of a pass in which `writers` with `context` tokens write and nothing is read, in milliseconds.
    pub fn pass(&self, writers: u32, context: u64) -> f64 {
        let step = self.step + self.writer * f64::from(writers) + self.context * context as f64 / KILO;
        step * f64::from(self.stride.max(1))
    }

    /// Time to read one of `parts` even parts of a prompt of `tokens`, in milliseconds.
    pub fn read(&self, tokens: u64, parts: u32) -> f64 {
        let parts = f64::from(parts.max(1));
        let tokens = tokens as f64;
        let pairs = tokens * tokens / 2.0;
        let steps = (tokens / parts / f64::from(self.chunk.max(1))).ceil();
        (tokens / self.rate.max(f64::MIN_POSITIVE) + self.pairs * pairs / MEGA) / parts + self.step * steps
    }
}
