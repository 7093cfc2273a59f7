//! Time type of the decision logic.
//!
//! The core never reads a clock. Every event carries the time since the process's epoch, measured by a monotonic clock,
//! so that tests and benches can run the same code in virtual time.

use std::time::Duration;

use derive_more::{From, Into};
use serde::{Deserialize, Serialize};

/// Time since the process's epoch.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, From, Into, Serialize, Deserialize,
)]
pub struct Time(Duration);

impl Time {
    /// The process's epoch.
    pub const ZERO: Self = Self(Duration::ZERO);
    /// Time that is never reached.
    pub const NEVER: Self = Self(Duration::MAX);

    /// The time `millis` milliseconds after the epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// The time `secs` seconds after the epoch.
    pub fn from_secs_f64(secs: f64) -> Self {
        Self(Duration::from_secs_f64(secs.max(0.0)))
    }

    /// Time elapsed since `earlier`, or zero if `earlier` is in the future.
    pub const fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Seconds since the epoch.
    pub const fn as_secs_f64(self) -> f64 {
        self.0.as_secs_f64()
    }

    /// Milliseconds since the epoch.
    pub const fn as_millis(self) -> u64 {
        self.0.as_millis() as u64
    }
}

impl std::ops::Add<Duration> for Time {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(rhs))
    }
}

impl std::ops::Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(rhs))
    }
}
