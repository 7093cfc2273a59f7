//! Detection of pauses of this process.
//!
//! After a pause, what the process knows about leases, ownership and zones in service is out of date. A gap between ticks longer
//! than [`PAUSE_THRESHOLD`] counts as a pause; all state that depends on recent contact must then be verified again.

use std::time::Duration;

use crate::time::Time;

/// Gap between ticks above which the process counts as paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_500);

/// Detects pauses by the gaps between ticks.
#[derive(Debug)]
pub struct PauseDetector {
    last: Time,
}

impl PauseDetector {
    /// Creates a detector whose first gap starts at `now`.
    pub const fn new(now: Time) -> Self {
        Self { last: now }
    }

    /// Records a tick, and returns the length of a pause that has just ended.
    pub fn tick(&mut self, now: Time) -> Option<Duration> {
        let gap = now.since(self.last);
        self.last = now;
        (gap > PAUSE_THRESHOLD).then_some(gap)
    }
}
