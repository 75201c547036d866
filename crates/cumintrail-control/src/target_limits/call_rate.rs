//! An estimate of how many calls arrive for one model or service.

use std::time::Duration;

use cumintrail_types::Moment;

/// The time over which arrivals are averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(2);

/// Estimates a rate of calls, with an exponentially decaying average.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallRate {
    per_second: f64,
    updated: Moment,
}

impl CallRate {
    /// Counts a call.
    pub fn record(&mut self, now: Moment) {
        self.per_second = self.per_second(now) + 1.0 / AVERAGING_TIME.as_secs_f64();
        self.updated = now;
    }

    /// Returns the calls a second.
    pub fn per_second(&self, now: Moment) -> f64 {
        let elapsed = now.since(self.updated).as_secs_f64() / AVERAGING_TIME.as_secs_f64();
        self.per_second * (-elapsed).exp()
    }
}
