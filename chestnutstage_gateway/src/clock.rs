//! Time as the gateway measures it.
//!
//! The clock goes on while the machine is suspended, so that what was known before a freeze has its true age after it.

use std::time::Duration;

use chestnutstage_core::time::Time;
use rustix::time::{ClockId, clock_gettime};

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

/// Measures time since the process's epoch.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    epoch: Duration,
}

impl Clock {
    /// A clock whose epoch is now.
    pub fn start() -> Self {
        Self { epoch: boot_time() }
    }

    /// The present time.
    pub fn now(&self) -> Time {
        Time::from(boot_time().saturating_sub(self.epoch))
    }
}
