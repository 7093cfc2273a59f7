//! Rate at which the places of a group became free, measured by the placements of the last second.

use crate::time::Time;

/// Length of a bucket, in milliseconds; the measured span differs from a second by less than this.
const BUCKET_MS: u64 = 50;
/// Buckets in a second.
const BUCKETS: usize = 20;

/// Placed work in a sliding window of one second.
#[derive(Debug, Default)]
pub(super) struct PlacementRate {
    /// Number of each bucket since the epoch, and the work placed in it.
    buckets: [(u64, u64); BUCKETS],
}

impl PlacementRate {
    /// Records placed work.
    pub(super) fn record(&mut self, now: Time, work: u64) {
        let number = now.as_millis() / BUCKET_MS;
        let bucket = &mut self.buckets[(number % BUCKETS as u64) as usize];
        if number > bucket.0 {
            *bucket = (number, 0);
        }
        bucket.1 = bucket.1.saturating_add(work);
    }

    /// Work placed in the last second, if any.
    pub(super) fn per_second(&self, now: Time) -> Option<f64> {
        let number = now.as_millis() / BUCKET_MS;
        let recent = self.buckets.iter().filter(|(other, _)| other.saturating_add(BUCKETS as u64) > number);
        let total = recent.fold(0, |sum: u64, (_, work)| sum.saturating_add(*work));
        (total > 0).then_some(total as f64)
    }
}
