//! Retry budget and exponential backoff, which keep retries from overloading a failing fleet.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Retries earned by one first attempt, in thousandths of a retry.
const EARNED_PER_ATTEMPT: u64 = 100;
/// Maximum number of saved retries, in thousandths of a retry.
const SAVED_MAX: u64 = 20_000;
/// Cost of one retry, in thousandths of a retry.
const RETRY_COST: u64 = 1_000;
/// Upper bound of the delay before the first retry; doubles with every further retry.
const BACKOFF_BASE: Duration = Duration::from_millis(20);
/// Maximum delay before a retry.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Budget of retries of one instance; first attempts earn them.
#[derive(Debug)]
pub struct RetryBudget {
    saved: u64,
    saved_max: u64,
    earned: u64,
    rng: SmallRng,
}

impl RetryBudget {
    /// Creates a full budget; `seed` makes the jitter reproducible.
    pub fn new(seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { saved: SAVED_MAX, saved_max: SAVED_MAX, earned: EARNED_PER_ATTEMPT, rng }
    }

    /// Creates a full budget that earns `ratio` retries per first attempt and saves at most `saved` retries.
    pub fn with_limits(seed: u64, ratio: f64, saved: f64) -> Self {
        let saved = (saved * RETRY_COST as f64) as u64;
        let earned = (ratio * RETRY_COST as f64) as u64;
        Self { saved, saved_max: saved, earned, rng: SmallRng::seed_from_u64(seed) }
    }

    /// Sets the maximum number of saved retries, and drops those beyond it.
    pub fn set_max_saved(&mut self, saved: f64) {
        self.saved_max = (saved * RETRY_COST as f64) as u64;
        self.saved = self.saved.min(self.saved_max);
    }

    /// Credits the retries earned by a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.earned).min(self.saved_max);
    }

    /// Credits a retry that was spent and not used.
    pub fn give_back(&mut self) {
        self.saved = (self.saved + RETRY_COST).min(self.saved_max);
    }

    /// Whether a retry is available.
    pub const fn has_retry(&self) -> bool {
        self.saved >= RETRY_COST
    }

    /// Spends one retry and returns the delay before retry number `retry` (from zero), or `None` if the budget is
    /// exhausted.
    pub fn retry(&mut self, retry: u32) -> Option<Duration> {
        self.saved = self.saved.checked_sub(RETRY_COST)?;
        let ceiling = (BACKOFF_BASE * 2_u32.saturating_pow(retry.min(16))).min(BACKOFF_MAX);
        Some(ceiling.mul_f64(self.rng.random_range(0.5..1.0)))
    }
}
