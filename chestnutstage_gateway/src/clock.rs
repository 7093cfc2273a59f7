//! Monotonic clock of the gateway.
//!
//! The clock also advances while the machine is suspended, so that data read before a suspension has its true age after
//! it.

use std::time::Duration;

use chestnutstage_core::time::Time;
use rustix::time::{ClockId, clock_gettime};

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

/// Measures the time since its epoch.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    epoch: Duration,
}

impl Clock {
    /// Creates a clock whose epoch is the current time.
    pub fn start() -> Self {
        Self { epoch: boot_time() }
    }

    /// Time since the epoch.
    pub fn now(&self) -> Time {
        Time::from(boot_time().saturating_sub(self.epoch))
    }
}
