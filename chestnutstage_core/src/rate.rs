//! Rates that no second may pass, shared by all instances.
//!
//! A cold endpoint bears a number of requests in any one-second window, whoever sends them. Each instance keeps to an
//! even share of [`USED`] of it, by the largest number of instances that it has seen: shares of instances that are cut off
//! or frozen stay unused, so that the sum can't pass the bound. An instance that hears of no other takes the share that
//! the deployment's size allows it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// Window in which requests are counted; longer than a second, since requests sent apart may arrive together.
const WINDOW: Duration = Duration::from_millis(1_150);
/// Part of a shared rate that is used; the rest covers instances that joined unseen.
const USED: f64 = 0.7;

/// Counts the requests to one cold endpoint in a sliding window.
#[derive(Debug, Default)]
pub struct ColdGate {
    sent: VecDeque<Time>,
}

impl ColdGate {
    /// Whether one more request fits into this instance's share of `rate` requests a second.
    pub fn has_room(&self, now: Time, rate: f64, sharers: usize) -> bool {
        let share = (rate * USED / sharers.max(1) as f64).floor().max(1.0) as usize;
        self.sent.iter().filter(|&&t| now.since(t) < WINDOW).count() < share
    }

    /// Counts a request that is sent now.
    pub fn count(&mut self, now: Time) {
        while self.sent.front().is_some_and(|&t| now.since(t) >= WINDOW) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
