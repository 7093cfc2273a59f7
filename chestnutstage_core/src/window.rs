//! How much load an endpoint may carry.
//!
//! A window opens at the endpoint's cold capacity and grows by one request for each completion at normal speed, so
//! that it doubles each round of service, as slow start does. A new boot id, a report that says cold, broken
//! streams or a jump in service time close it to the cold capacity at once. The window is exact: the endpoint's one
//! owner counts all that it has granted.

use serde::{Deserialize, Serialize};

use crate::length::Tokens;

/// Load on an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests running.
    pub requests: u32,
    /// Prompt tokens not yet prefilled.
    pub tokens: Tokens,
}

impl Load {
    /// Whether `self` plus `more` stays within `limit`.
    pub fn fits(self, more: Self, limit: Self) -> bool {
        self.requests + more.requests <= limit.requests && self.tokens + more.tokens <= limit.tokens
    }

    /// Sum of two loads.
    #[must_use]
    pub fn plus(self, more: Self) -> Self {
        Self { requests: self.requests + more.requests, tokens: self.tokens + more.tokens }
    }

    /// Difference, never below zero.
    #[must_use]
    pub fn minus(self, less: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(less.requests),
            tokens: self.tokens.saturating_sub(less.tokens),
        }
    }
}

/// What an endpoint can bear.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Load while in cold start.
    pub cold: Load,
    /// Load when warm.
    pub warm: Load,
}

/// Part of the fleet's roster that this instance sees.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Members seen alive, this instance included.
    pub seen: u32,
    /// Members on the roster.
    pub roster: u32,
}

impl Share {
    /// The whole roster is seen.
    pub const WHOLE: Self = Self { seen: 1, roster: 1 };

    fn of(self, count: u64) -> u64 {
        count * u64::from(self.seen.min(self.roster)) / u64::from(self.roster.max(1))
    }
}

/// Slowdown against the usual service time that counts as a cold start.
const COLD_SLOWDOWN: f64 = 4.0;
/// Slowdown up to which a completion still counts as normal speed.
const NORMAL_SLOWDOWN: f64 = 2.0;
/// Weight of a new sample in the usual service time.
const SAMPLE_WEIGHT: f64 = 0.1;

/// What a completion shows of an endpoint's speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// Normal speed; the window grew.
    Normal,
    /// Slower than usual; the window stays.
    Slow,
    /// So slow that the endpoint must have turned cold; the window was reset.
    Cold,
}

/// Bound on an endpoint's load, between cold and warm.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Window {
    capacity: Capacity,
    requests: u32,
    usual: Option<f64>,
}

impl Window {
    /// A window at cold capacity.
    pub const fn new(capacity: Capacity) -> Self {
        Self { capacity, requests: capacity.cold.requests, usual: None }
    }

    /// Takes in another capacity; the window keeps its place between the new bounds.
    pub fn resize(&mut self, capacity: Capacity) {
        self.capacity = capacity;
        let least = capacity.cold.requests;
        self.requests = self.requests.clamp(least, capacity.warm.requests.max(least));
    }

    /// Load allowed now, on the part `share` of the fleet.
    pub fn limit(&self, share: Share) -> Load {
        let Capacity { cold, warm } = self.capacity;
        let span = u64::from(warm.requests.saturating_sub(cold.requests)).max(1);
        let grown = u64::from(self.requests.saturating_sub(cold.requests));
        let tokens = cold.tokens.0 + warm.tokens.0.saturating_sub(cold.tokens.0) * grown / span;
        Load { requests: share.of(u64::from(self.requests)) as u32, tokens: Tokens(share.of(tokens)) }
    }

    /// Whether the window is at the cold capacity.
    pub const fn is_cold(&self) -> bool {
        self.requests <= self.capacity.cold.requests
    }

    /// Whether the window has reached the warm capacity.
    pub const fn is_warm(&self) -> bool {
        self.requests >= self.capacity.warm.requests
    }

    /// Closes the window to the cold capacity.
    pub const fn reset(&mut self) {
        self.requests = self.capacity.cold.requests;
    }

    /// Takes in the service time of one completion, as a multiple of its estimate.
    ///
    /// The window grows only when it was the limit: an idle endpoint proves nothing about load. While the window is
    /// opening, a slow completion halts the growth; a jump closes it again.
    pub fn completed(&mut self, slowdown: f64, used: Load) -> Pace {
        let usual = self.usual.unwrap_or(1.0).max(1.0);
        if slowdown > usual * COLD_SLOWDOWN {
            self.reset();
            return Pace::Cold;
        }
        self.usual = Some(self.usual.map_or(slowdown, |u| u + (slowdown - u) * SAMPLE_WEIGHT));
        if slowdown > usual * NORMAL_SLOWDOWN {
            return Pace::Slow;
        }
        if used.requests * 2 >= self.requests {
            self.requests = (self.requests + 1).min(self.capacity.warm.requests);
        }
        Pace::Normal
    }

    /// Takes in the endpoint's own word that it is warm.
    ///
    /// An idle endpoint completes nothing by which its window could grow, so each such report opens it by half.
    pub fn vouched(&mut self) {
        let more = (self.requests / 2).max(1);
        self.requests = (self.requests + more).min(self.capacity.warm.requests);
    }

    /// Multiple of the estimate beyond which silence counts as a cold start.
    pub fn patience(&self) -> f64 {
        self.usual.unwrap_or(1.0).max(1.0) * COLD_SLOWDOWN
    }
}
