//! When records of idempotency keys are shrunk, and how many at a time.

use std::time::Duration;

use super::UnixMillis;

const HOUR: Duration = Duration::from_secs(3_600);
/// The allowance for differences between the clocks of VMs.
///
/// A record that is shrunk too early only loses its response, since its row stays.
const CLOCK_SKEW_MARGIN: Duration = Duration::from_secs(3_600);
/// Shards of an hour's index; daemons that write at the same time rarely pick the same one.
pub const SHARDS: u64 = 16;
/// Maximum number of keys with a recorded response that one segment of the index lists.
pub const MAX_SEGMENT_KEYS: usize = 256;
/// Maximum number of segments that one sweep processes.
pub const MAX_SWEEP_SEGMENTS: u64 = 2;

/// Counts hours since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Hour(pub u64);

impl Hour {
    /// Returns the hour that contains `now`.
    pub const fn of(now: UnixMillis) -> Self {
        Self(now.0 / HOUR.as_millis() as u64)
    }

    /// Returns the hour before this one, or hour zero for hour zero.
    #[must_use]
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }

    /// Returns the hour after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns whether all responses recorded in this hour have expired, allowing for
    /// `CLOCK_SKEW_MARGIN` between clocks.
    pub fn has_expired(self, now: UnixMillis, retention: Duration) -> bool {
        let end = UnixMillis((self.0 + 1) * HOUR.as_millis() as u64);
        now.since(end) >= retention + CLOCK_SKEW_MARGIN
    }
}

/// Returns the numbers, counted from 1, of the segments that one sweep of `segments` processes: the
/// last ones.
pub fn sweep_range(segments: u64) -> std::ops::RangeInclusive<u64> {
    segments.saturating_sub(MAX_SWEEP_SEGMENTS) + 1..=segments
}
