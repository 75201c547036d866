//! When records of idempotency keys are shrunk, and in which portions.

use std::time::Duration;

use super::UnixMillis;

const HOUR: Duration = Duration::from_secs(3_600);
/// Covers differences between the clocks of VMs; a record that is shrunk early only loses its
/// answer, since its row stays.
const CLOCK_SKEW_MARGIN: Duration = Duration::from_secs(3_600);
/// Parts of an hour's index, so that daemons rarely meet in one.
pub const SHARDS: u64 = 16;
/// Answered keys that one segment of the index names at most.
pub const MAX_SEGMENT_KEYS: usize = 256;
/// Segments that one sweep takes at most.
pub const MAX_SWEEP_SEGMENTS: u64 = 2;

/// Counts hours since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Hour(pub u64);

impl Hour {
    /// Returns the hour of a moment.
    pub const fn of(now: UnixMillis) -> Self {
        Self(now.0 / HOUR.as_millis() as u64)
    }

    /// Returns the hour before.
    #[must_use]
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }

    /// Returns the hour after.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Tells whether all records that were answered in this hour have expired everywhere.
    pub fn has_expired(self, now: UnixMillis, retention: Duration) -> bool {
        let end = UnixMillis((self.0 + 1) * HOUR.as_millis() as u64);
        now.since(end) >= retention + CLOCK_SKEW_MARGIN
    }
}

/// Returns the segments, counted from 1, that one sweep of `segments` takes: the last ones.
pub fn sweep_range(segments: u64) -> std::ops::RangeInclusive<u64> {
    segments.saturating_sub(MAX_SWEEP_SEGMENTS) + 1..=segments
}
