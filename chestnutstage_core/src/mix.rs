//! The observed mix of lengths, and the part of the pool that it leaves free of long work.

use xxhash_rust::xxh3::xxh3_64;

use crate::endpoint::Size;
use crate::ids::EndpointId;
use crate::length::Class;

/// Weight of one request in the observed mix.
const SAMPLE_WEIGHT: f64 = 0.002;
/// Largest part of the pool that is ever kept free of long work.
const RESERVE_MAX: f64 = 0.8;
/// Parts into which the pool's hash range is divided.
const PARTS: u64 = 1_000;

/// Running shares of work by length.
#[derive(Debug, Default)]
pub struct Mix {
    /// Usual prompt tokens of short and medium requests, per request.
    brief: f64,
    /// Usual prompt tokens of long requests, per request.
    long: f64,
}

impl Mix {
    /// Takes in one request.
    pub fn observe(&mut self, size: Size) {
        let tokens = size.prompt.as_f64();
        let (brief, long) = if size.class() == Class::Long { (0.0, tokens) } else { (tokens, 0.0) };
        self.brief += (brief - self.brief) * SAMPLE_WEIGHT;
        self.long += (long - self.long) * SAMPLE_WEIGHT;
    }

    /// Part of the pool to keep free of long work, `least` at the least.
    pub fn reserve(&self, least: f64) -> f64 {
        let total = self.brief + self.long;
        if total <= 0.0 {
            return least;
        }
        (self.brief / total).clamp(least, RESERVE_MAX.max(least))
    }

    /// Whether `endpoint` belongs to the part kept free of long work.
    ///
    /// The choice hashes the endpoint's name, so that every owner makes the same one without asking.
    pub fn reserves(&self, endpoint: &EndpointId, least: f64) -> bool {
        let part = xxh3_64(endpoint.as_str().as_bytes()) % PARTS;
        (part as f64) < self.reserve(least) * PARTS as f64
    }
}
