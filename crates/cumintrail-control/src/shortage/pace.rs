//! The learned pace at which calls of one urgency are served.

use std::time::Duration;

use cumintrail_types::Moment;

use crate::target_limits::CallRate;

/// The weight of one sample in smoothed times.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Learns how long calls of one urgency run, and how many this daemon sends.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    /// Smoothed seconds from first token to end; for a plain service, of one call without a queue.
    rest: Option<f64>,
    sent: CallRate,
}

impl Pace {
    /// Records how long a call ran.
    pub fn record_rest(&mut self, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        let previous = self.rest.unwrap_or(elapsed);
        self.rest = Some(previous + SAMPLE_WEIGHT * (elapsed - previous));
    }

    /// Returns how many seconds a call runs; zero before the first sample.
    pub fn rest(&self) -> f64 {
        self.rest.unwrap_or_default()
    }

    /// Counts a call that is sent.
    pub fn record_sent(&mut self, now: Moment) {
        self.sent.record(now);
    }

    /// Returns the time between two calls that are sent; zero without recent ones.
    pub fn interval(&self, now: Moment) -> Duration {
        let per_second = self.sent.per_second(now);
        // Below one call in two seconds the estimate has forgotten the calls before.
        if per_second < 0.5 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(1.0 / per_second)
    }
}
