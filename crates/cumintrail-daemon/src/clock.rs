//! The time of day, from which only the age of records is told.

use std::time::{SystemTime, UNIX_EPOCH};

use cumintrail_control::once::UnixMillis;

/// Returns the time of day.
pub fn unix_millis() -> UnixMillis {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    UnixMillis(since_epoch.map_or(0, |time| time.as_millis() as u64))
}
