//! Window on an endpoint's load, with slow start.
//!
//! A window starts at the endpoint's cold capacity and grows by one request for each first token at normal speed, so
//! that it doubles in each round, as in TCP slow start. A new boot id, a report of a cold start, or a first token that
//! is overdue or far later than usual closes it to the cold capacity at once. The load that it bounds is exact, because
//! all grants on an endpoint come from its one owner.

use serde::{Deserialize, Serialize};

use crate::length::Tokens;

/// Load on an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Running requests.
    pub requests: u32,
    /// Prompt tokens not yet prefilled.
    pub tokens: Tokens,
}

impl Load {
    /// Returns whether `self` plus `more` is within `limit`.
    pub fn fits(self, more: Self, limit: Self) -> bool {
        self.requests + more.requests <= limit.requests && self.tokens + more.tokens <= limit.tokens
    }

    /// Returns the sum of two loads.
    #[must_use]
    pub fn plus(self, more: Self) -> Self {
        Self { requests: self.requests + more.requests, tokens: self.tokens + more.tokens }
    }

    /// Returns the difference, with zero as the minimum.
    #[must_use]
    pub fn minus(self, less: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(less.requests),
            tokens: self.tokens.saturating_sub(less.tokens),
        }
    }
}

/// Maximum load on an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Maximum load during a cold start.
    pub cold: Load,
    /// Maximum load when warm.
    pub warm: Load,
}

/// Part of the fleet's roster that this instance sees.
///
/// Windows are scaled by it, so that two owners of one endpoint with disjoint views of the roster together stay within
/// its capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Members seen alive, including this instance.
    pub seen: u32,
    /// Members on the roster.
    pub roster: u32,
}

impl Share {
    /// The whole roster.
    pub const WHOLE: Self = Self { seen: 1, roster: 1 };

    fn of(self, count: u64) -> u64 {
        count * u64::from(self.seen.min(self.roster)) / u64::from(self.roster.max(1))
    }
}

/// Ratio of a slowdown to the average slowdown above which an endpoint is assumed to be in cold start.
const COLD_SLOWDOWN: f64 = 4.0;
/// Ratio of a slowdown to the average slowdown up to which the speed is normal.
const NORMAL_SLOWDOWN: f64 = 2.0;
/// Weight of a new sample in the average slowdown.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Speed of an endpoint, judged by the latest first token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// Normal speed; the window grew.
    Normal,
    /// Slower than usual; the window stays.
    Slow,
    /// So slow that a cold start is assumed; the window was reset.
    Cold,
}

/// Limit on an endpoint's load, between its cold and its warm capacity.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Window {
    capacity: Capacity,
    requests: u32,
    /// Moving average of actual over estimated time to first token.
    #[serde(rename = "usual")]
    mean_slowdown: Option<f64>,
}

impl Window {
    /// Creates a window at the cold capacity.
    pub const fn new(capacity: Capacity) -> Self {
        Self { capacity, requests: capacity.cold.requests, mean_slowdown: None }
    }

    /// Sets a new capacity, and clamps the window's size to it.
    pub fn resize(&mut self, capacity: Capacity) {
        self.capacity = capacity;
        let min_requests = capacity.cold.requests;
        self.requests = self.requests.clamp(min_requests, capacity.warm.requests.max(min_requests));
    }

    /// Returns the load that is allowed now, scaled by `share`.
    pub fn limit(&self, share: Share) -> Load {
        let Capacity { cold, warm } = self.capacity;
        let span = u64::from(warm.requests.saturating_sub(cold.requests)).max(1);
        let grown = u64::from(self.requests.saturating_sub(cold.requests));
        let tokens = cold.tokens.0 + warm.tokens.0.saturating_sub(cold.tokens.0) * grown / span;
        Load { requests: share.of(u64::from(self.requests)) as u32, tokens: Tokens(share.of(tokens)) }
    }

    /// Returns whether the window is at the cold capacity.
    pub const fn is_cold(&self) -> bool {
        self.requests <= self.capacity.cold.requests
    }

    /// Returns whether the window is at the warm capacity.
    pub const fn is_warm(&self) -> bool {
        self.requests >= self.capacity.warm.requests
    }

    /// Closes the window to the cold capacity.
    pub const fn reset(&mut self) {
        self.requests = self.capacity.cold.requests;
    }

    /// Records the ratio of actual to estimated time to first token of one request, at the load `used`.
    ///
    /// The window grows only if at least half of it was in use, because the speed of an idle endpoint says nothing
    /// about its speed under load. A slow first token leaves the window as it is; a much slower one closes it.
    pub fn record_slowdown(&mut self, slowdown: f64, used: Load) -> Pace {
        let average = self.mean_slowdown.unwrap_or(1.0).max(1.0);
        if slowdown > average * COLD_SLOWDOWN {
            self.reset();
            return Pace::Cold;
        }
        self.mean_slowdown =
            Some(self.mean_slowdown.map_or(slowdown, |u| u + (slowdown - u) * SAMPLE_WEIGHT));
        if slowdown > average * NORMAL_SLOWDOWN {
            return Pace::Slow;
        }
        if used.requests * 2 >= self.requests {
            self.requests = (self.requests + 1).min(self.capacity.warm.requests);
        }
        Pace::Normal
    }

    /// Grows the window by half, after the endpoint reported that it is warm.
    ///
    /// An idle endpoint completes no requests by which its window could grow.
    pub fn record_warm_report(&mut self) {
        let more = (self.requests / 2).max(1);
        self.requests = (self.requests + more).min(self.capacity.warm.requests);
    }

    /// Returns the multiple of its estimated time after which a missing first token counts as a cold start.
    pub fn overdue_factor(&self) -> f64 {
        self.mean_slowdown.unwrap_or(1.0).max(1.0) * COLD_SLOWDOWN
    }
}
