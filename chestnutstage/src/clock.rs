//! Monotonic clock of the process, in the core's time type.

use chestnutstage_core::time::Time;
use tokio::time::Instant;

/// Measures time since an epoch.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    epoch: Instant,
}

impl Clock {
    /// Creates a clock whose epoch is now.
    pub(crate) fn start() -> Self {
        Self { epoch: Instant::now() }
    }

    /// Time since the epoch.
    pub(crate) fn now(&self) -> Time {
        Time::from(self.epoch.elapsed())
    }

    /// Converts `time` to an instant of the async runtime.
    pub(crate) fn instant(&self, time: Time) -> Instant {
        self.epoch + time.since(Time::ZERO)
    }
}
