//! Customer contracts, and rate limits that hold across all instances.
//!
//! Instances enforce a customer's token rate together, without a store write per request. Each instance refills a small
//! local bucket with an equal part of [`LOCAL_FRACTION`] of the rate. The remaining rate belongs to the customer's
//! home, an instance chosen by hash, which lends tokens in larger amounts to the instances that receive the customer's
//! requests. The parts add up to the rate, so the limit holds however the load balancer distributes requests. An
//! instance that cannot reach the home still has its local bucket.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::length::Tokens;
use crate::time::Time;

/// Fraction of the rate that refills the local buckets of all instances together.
const LOCAL_FRACTION: f64 = 0.1;
/// Size of a full bucket, as the time in which its rate refills it.
const BURST_PERIOD: Duration = Duration::from_secs(10);
/// Minimum size of a loan, as the time for which it lasts at the customer's full rate.
const LOAN_PERIOD_MIN: Duration = Duration::from_secs(1);

/// Rate, weight and deadline that a customer has agreed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Contract {
    /// Tokens per second, prompt and answer together.
    pub rate: u64,
    /// Weight in fair queueing.
    pub weight: u32,
    /// Maximum time for a complete response, in milliseconds; also applies to requests that set no deadline.
    pub deadline: u64,
}

impl Default for Contract {
    fn default() -> Self {
        Self { rate: 200_000, weight: 1, deadline: 120_000 }
    }
}

impl Contract {
    /// Maximum time for a complete response.
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline)
    }
}

/// Token bucket that can be overdrawn by one request.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    level: f64,
    rate: f64,
    at: Time,
}

impl Bucket {
    fn new(now: Time, rate: f64) -> Self {
        Self { level: rate * BURST_PERIOD.as_secs_f64(), rate, at: now }
    }

    /// Creates the local bucket of one of `instances` instances.
    pub fn local(now: Time, contract: &Contract, instances: u32) -> Self {
        Self::new(now, contract.rate as f64 * LOCAL_FRACTION / f64::from(instances.max(1)))
    }

    /// Creates the bucket at the customer's home.
    pub fn home(now: Time, contract: &Contract) -> Self {
        Self::new(now, contract.rate as f64 * (1.0 - LOCAL_FRACTION))
    }

    /// Adopts the rate of `other`; tokens already spent are not refunded.
    pub fn update_rate(&mut self, other: &Self) {
        self.refill(other.at);
        if self.rate.total_cmp(&other.rate).is_eq() {
            // A loan beyond a full bucket stays available to the request that it was granted for.
            return;
        }
        self.rate = other.rate;
        self.level = self.level.min(self.rate * BURST_PERIOD.as_secs_f64());
    }

    fn refill(&mut self, now: Time) {
        let gained = self.rate * now.since(self.at).as_secs_f64();
        self.level = (self.level + gained).min(self.level.max(self.rate * BURST_PERIOD.as_secs_f64()));
        self.at = now;
    }

    /// Spends `cost`, or returns the amount to borrow.
    ///
    /// # Errors
    ///
    /// [`Shortfall`] when the level does not cover `cost`; nothing is spent.
    pub fn spend(&mut self, now: Time, cost: Tokens, contract: &Contract) -> Result<(), Shortfall> {
        self.refill(now);
        if self.level >= cost.as_f64() {
            self.level -= cost.as_f64();
            return Ok(());
        }
        let missing = cost.as_f64() - self.level;
        let loan = contract.rate as f64 * LOAN_PERIOD_MIN.as_secs_f64();
        let retry = Duration::from_secs_f64((missing / (contract.rate as f64).max(1.0)).clamp(1.0, 30.0));
        Err(Shortfall { borrow: Tokens(missing.max(loan) as u64), retry })
    }

    /// Lends up to `wanted` tokens.
    ///
    /// A full bucket lends all of `wanted` even if that overdraws it, so that a request larger than the bucket is
    /// admitted; later refills pay off the debt.
    pub fn lend(&mut self, now: Time, wanted: Tokens) -> Tokens {
        self.refill(now);
        let full = self.level >= self.rate * BURST_PERIOD.as_secs_f64() * 0.99;
        let granted = if full { wanted.as_f64() } else { self.level.clamp(0.0, wanted.as_f64()) };
        self.level -= granted;
        Tokens(granted as u64)
    }

    /// Adds a loan from the home.
    pub fn credit(&mut self, amount: Tokens) {
        self.level += amount.as_f64();
    }
}

/// Error for a bucket that does not cover a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shortfall {
    /// Amount to borrow from the home.
    pub borrow: Tokens,
    /// Delay before a retry, if the home lends too little.
    pub retry: Duration,
}
