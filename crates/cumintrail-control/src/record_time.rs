//! Times of records that daemons exchange, which may lie before the start of the receiver.

use std::time::Duration;

use cumintrail_types::Moment;

/// Represents a time on this daemon's clock in microseconds, negative before the process started.
///
/// A daemon that just started learns of events before that.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct RecordTime(i64);

impl RecordTime {
    /// Returns the time that is `age` before `now`.
    pub fn before(now: Moment, age: Duration) -> Self {
        let age = i64::try_from(age.as_micros()).unwrap_or(i64::MAX);
        Self(Self::from(now).0.saturating_sub(age))
    }

    /// Returns the time that is `delay` later.
    pub fn after(self, delay: Duration) -> Self {
        let delay = i64::try_from(delay.as_micros()).unwrap_or(i64::MAX);
        Self(self.0.saturating_add(delay))
    }

    /// Returns the time from this time to `now`.
    pub fn age(self, now: Moment) -> Duration {
        let age = Self::from(now).0.saturating_sub(self.0);
        Duration::from_micros(u64::try_from(age).unwrap_or(0))
    }
}

impl From<Moment> for RecordTime {
    fn from(at: Moment) -> Self {
        Self(i64::try_from(at.0).unwrap_or(i64::MAX))
    }
}
