//! What a customer is owed, and its limits over all instances.
//!
//! A customer's token rate is shared without a store write per request. Each instance fills a small bucket of its own
//! with its part of [`LOCAL_PART`] of the rate. The rest lies with the customer's home, an instance chosen by hash,
//! which lends it out in larger pieces to the instances where the customer's requests arrive. The parts add up to the
//! rate, so that the limit holds however the balancer spreads the requests; an instance that can't reach the home
//! still has its own part.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::length::Tokens;
use crate::time::Time;

/// Part of the rate that the instances fill their own buckets with.
const LOCAL_PART: f64 = 0.1;
/// Time for which a full bucket lasts at its rate.
const BURST: Duration = Duration::from_secs(10);
/// Time for which a borrowed piece should last at the customer's full rate.
const PIECE: Duration = Duration::from_secs(1);

/// What a customer is owed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Contract {
    /// Tokens a second, prompt and answer together.
    pub rate: u64,
    /// Weight in fair queueing.
    pub weight: u32,
    /// Longest time for an answer, in milliseconds; also the default.
    pub deadline: u64,
}

impl Default for Contract {
    fn default() -> Self {
        Self { rate: 200_000, weight: 1, deadline: 120_000 }
    }
}

impl Contract {
    /// Longest time for an answer.
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline)
    }
}

/// A token bucket that may go into debt by one request.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    level: f64,
    rate: f64,
    at: Time,
}

impl Bucket {
    fn new(now: Time, rate: f64) -> Self {
        Self { level: rate * BURST.as_secs_f64(), rate, at: now }
    }

    /// The local bucket of one of `instances` instances.
    pub fn local(now: Time, contract: &Contract, instances: u32) -> Self {
        Self::new(now, contract.rate as f64 * LOCAL_PART / f64::from(instances.max(1)))
    }

    /// The bucket at the customer's home.
    pub fn home(now: Time, contract: &Contract) -> Self {
        Self::new(now, contract.rate as f64 * (1.0 - LOCAL_PART))
    }

    /// Takes over the rate of `other`; what was spent stays spent.
    pub fn update_rate(&mut self, other: &Self) {
        self.refill(other.at);
        if self.rate.total_cmp(&other.rate).is_eq() {
            // What was lent beyond a full bucket stays for the request that it was lent for.
            return;
        }
        self.rate = other.rate;
        self.level = self.level.min(self.rate * BURST.as_secs_f64());
    }

    fn refill(&mut self, now: Time) {
        let gained = self.rate * now.since(self.at).as_secs_f64();
        self.level = (self.level + gained).min(self.level.max(self.rate * BURST.as_secs_f64()));
        self.at = now;
    }

    /// Spends `cost`, or says how much must be borrowed.
    ///
    /// A request larger than a full bucket is let through when the bucket is full, and paid off afterwards.
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
        let piece = contract.rate as f64 * PIECE.as_secs_f64();
        let retry = Duration::from_secs_f64((missing / (contract.rate as f64).max(1.0)).clamp(1.0, 30.0));
        Err(Shortfall { borrow: Tokens(missing.max(piece) as u64), retry })
    }

    /// Lends up to `wanted`.
    pub fn lend(&mut self, now: Time, wanted: Tokens) -> Tokens {
        self.refill(now);
        let full = self.level >= self.rate * BURST.as_secs_f64() * 0.99;
        let granted = if full { wanted.as_f64() } else { self.level.clamp(0.0, wanted.as_f64()) };
        self.level -= granted;
        Tokens(granted as u64)
    }

    /// Takes in what the home lent.
    pub fn credit(&mut self, amount: Tokens) {
        self.level += amount.as_f64();
    }
}

/// A bucket does not cover a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shortfall {
    /// Amount to borrow from the home.
    pub borrow: Tokens,
    /// When a retry is worthwhile if the home does not lend.
    pub retry: Duration,
}
