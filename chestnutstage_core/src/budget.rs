//! Retry budget and backoff, so that a failing fleet is not buried in repeats.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Retries earned by one first attempt, in thousandths.
const EARNED: u64 = 100;
/// Most retries that may be saved up, in thousandths.
const SAVED_MAX: u64 = 20_000;
/// Price of one retry, in thousandths.
const PRICE: u64 = 1_000;
/// Delay before the first retry.
const BACKOFF_BASE: Duration = Duration::from_millis(20);
/// Longest delay before a retry.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Retries that one instance may still make.
#[derive(Debug)]
pub struct RetryBudget {
    saved: u64,
    saved_max: u64,
    earned: u64,
    rng: SmallRng,
}

impl RetryBudget {
    /// A full budget; `seed` makes the jitter repeatable.
    pub fn new(seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { saved: SAVED_MAX, saved_max: SAVED_MAX, earned: EARNED, rng }
    }

    /// A full budget that earns `ratio` retries for each first attempt and saves up `saved` at the most.
    pub fn with_limits(seed: u64, ratio: f64, saved: f64) -> Self {
        let saved = (saved * PRICE as f64) as u64;
        let earned = (ratio * PRICE as f64) as u64;
        Self { saved, saved_max: saved, earned, rng: SmallRng::seed_from_u64(seed) }
    }

    /// Changes how many retries may be saved up; what is saved beyond that is dropped.
    pub fn set_max_saved(&mut self, saved: f64) {
        self.saved_max = (saved * PRICE as f64) as u64;
        self.saved = self.saved.min(self.saved_max);
    }

    /// Takes in a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.earned).min(self.saved_max);
    }

    /// Whether a retry is left.
    pub const fn has_retry(&self) -> bool {
        self.saved >= PRICE
    }

    /// Delay before retry number `retry` (from zero), or none if the budget is used up.
    pub fn retry(&mut self, retry: u32) -> Option<Duration> {
        self.saved = self.saved.checked_sub(PRICE)?;
        let ceiling = (BACKOFF_BASE * 2_u32.saturating_pow(retry.min(16))).min(BACKOFF_MAX);
        Some(ceiling.mul_f64(self.rng.random_range(0.5..1.0)))
    }
}
