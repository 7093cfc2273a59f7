//! Rate limits on cold endpoints, shared by all planners.
//!
//! A cold endpoint accepts a limited number of requests in any one-second window, from all instances
//! together. Each planner uses at most an even share of [`USED_SHARE`] of the limit. The limit is divided by
//! the largest number of planners seen so far: shares of disconnected or frozen planners stay unused, so
//! that the sum can't exceed the limit. A planner without peers divides the limit by that
//! number as well.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// Window in which requests are counted; longer than a second, since requests that are sent further apart may
/// arrive within one second.
const WINDOW: Duration = Duration::from_millis(1_150);
/// Fraction of a shared rate that is used; the remainder covers instances that joined but are not known yet.
const USED_SHARE: f64 = 0.7;

/// Counts the requests to one cold endpoint in a sliding window.
#[derive(Debug, Default)]
pub struct ColdGate {
    sent: VecDeque<Time>,
}

impl ColdGate {
    /// Whether one more request fits into this instance's share of `rate` requests per second.
    pub fn has_room(&self, now: Time, rate: f64, shares: usize) -> bool {
        let share = (rate * USED_SHARE / shares.max(1) as f64).floor().max(1.0) as usize;
        self.sent.iter().filter(|&&t| now.since(t) < WINDOW).count() < share
    }

    /// Records a request that is sent now.
    pub fn record(&mut self, now: Time) {
        while self.sent.front().is_some_and(|&t| now.since(t) >= WINDOW) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
