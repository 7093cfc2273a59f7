//! Notices that the process itself was frozen.
//!
//! A process that was paused holds stale beliefs about leases, ownership and zones in service. A gap between its own
//! ticks that is longer than [`PAUSE`] says so, and everything that rests on recent contact is checked again.

use std::time::Duration;

use crate::time::Time;

/// Gap between ticks that counts as a pause.
pub const PAUSE: Duration = Duration::from_millis(1_500);

/// Watches the gaps between ticks.
#[derive(Debug)]
pub struct PauseDetector {
    last: Time,
}

impl PauseDetector {
    /// Starts to watch at `now`.
    pub const fn new(now: Time) -> Self {
        Self { last: now }
    }

    /// Takes in a tick; gives the length of a pause that has just ended.
    pub fn tick(&mut self, now: Time) -> Option<Duration> {
        let gap = now.since(self.last);
        self.last = now;
        (gap > PAUSE).then_some(gap)
    }
}
