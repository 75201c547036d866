//! The process's monotonic clock.

use std::time::Instant;

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
