//! The process's monotonic clock, and the time of day for the age of records.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use cumintrail_control::once::WallMillis;
use cumintrail_types::Moment;

/// Counts from the start of the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Starts counting.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Returns the current moment.
    pub fn now(self) -> Moment {
        Moment(self.0.elapsed().as_micros() as u64)
    }
}

/// Returns the time of day, from which only the age of records is told.
pub fn wall_millis() -> WallMillis {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    WallMillis(since_epoch.map_or(0, |time| time.as_millis() as u64))
}
