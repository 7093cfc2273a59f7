//! The process's monotonic clock, as the core sees it.

use chestnutstage_core::time::Time;
use tokio::time::Instant;

/// Measures time since the process's epoch.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    epoch: Instant,
}

impl Clock {
    /// A clock whose epoch is now.
    pub(crate) fn start() -> Self {
        Self { epoch: Instant::now() }
    }

    /// The present time.
    pub(crate) fn now(&self) -> Time {
        Time::from(self.epoch.elapsed())
    }

    /// The runtime's instant at `time`.
    pub(crate) fn instant(&self, time: Time) -> Instant {
        self.epoch + time.since(Time::ZERO)
    }
}
