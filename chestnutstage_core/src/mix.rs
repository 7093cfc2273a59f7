//! Observed mix of prompt lengths, and the endpoints that it reserves for short and medium prompts.

use xxhash_rust::xxh3::xxh3_64;

use crate::endpoint::Size;
use crate::ids::EndpointId;
use crate::length::Class;

/// Weight of one request in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.002;
/// Maximum fraction of the endpoints that is reserved.
const RESERVED_MAX: f64 = 0.8;
/// Number of buckets into which endpoint ids are hashed.
const HASH_BUCKETS: u64 = 1_000;

/// Moving averages of prompt tokens by length.
#[derive(Debug, Default)]
pub struct Mix {
    /// Prompt tokens in short and medium requests, averaged over all requests.
    short_medium: f64,
    /// Prompt tokens in long requests, averaged over all requests.
    long: f64,
}

impl Mix {
    /// Records the prompt length of one request.
    pub fn record(&mut self, size: Size) {
        let tokens = size.prompt.as_f64();
        let (short_medium, long) = if size.class() == Class::Long { (0.0, tokens) } else { (tokens, 0.0) };
        self.short_medium += (short_medium - self.short_medium) * SAMPLE_WEIGHT;
        self.long += (long - self.long) * SAMPLE_WEIGHT;
    }

    /// Returns the fraction of endpoints to reserve for short and medium prompts, at least `min_fraction`.
    pub fn reserved_fraction(&self, min_fraction: f64) -> f64 {
        let total = self.short_medium + self.long;
        if total <= 0.0 {
            return min_fraction;
        }
        (self.short_medium / total).clamp(min_fraction, RESERVED_MAX.max(min_fraction))
    }

    /// Returns whether `endpoint` is reserved for short and medium prompts.
    ///
    /// The choice depends on a hash of the endpoint's id, so that all owners make the same one without coordination.
    pub fn is_reserved(&self, endpoint: &EndpointId, min_fraction: f64) -> bool {
        let bucket = xxh3_64(endpoint.as_str().as_bytes()) % HASH_BUCKETS;
        (bucket as f64) < self.reserved_fraction(min_fraction) * HASH_BUCKETS as f64
    }
}
