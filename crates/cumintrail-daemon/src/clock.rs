//! The wall clock, used only to compute the age of records and keys.

use std::time::{SystemTime, UNIX_EPOCH};

use cumintrail_control::once::UnixMillis;

/// Returns the current wall clock time.
pub fn unix_millis() -> UnixMillis {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    UnixMillis(since_epoch.map_or(0, |time| time.as_millis() as u64))
}
