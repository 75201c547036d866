//! Refuses exchanges with a table that does not respond; docs/DESIGN.md, "At most once".

use std::sync::Mutex;

use cumintrail_control::retry::{CircuitBreaker, HealthSignal};
use cumintrail_types::Moment;

/// Limits the interval between two trials to about 4 s, so that keyed calls run again soon after
/// the table recovers.
const MAX_OPEN_DOUBLINGS: u32 = 2;

/// Circuit breaker of the table, shared by the threads of a process.
#[derive(Debug)]
pub struct TableBreaker(Mutex<CircuitBreaker>);

impl Default for TableBreaker {
    fn default() -> Self {
        Self(Mutex::new(CircuitBreaker::with_max_doublings(MAX_OPEN_DOUBLINGS)))
    }
}

impl TableBreaker {
    /// Admits one exchange; returns `None` while the breaker is open, unless a trial is due.
    pub fn try_acquire(&self, now: Moment) -> Option<BreakerPermit<'_>> {
        let mut breaker = self.lock();
        if !breaker.allows(now) {
            return None;
        }
        breaker.record_start();
        Some(BreakerPermit { breaker: self, recorded: false })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, CircuitBreaker> {
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Represents one admitted exchange; dropping it without a result allows another trial.
pub struct BreakerPermit<'a> {
    breaker: &'a TableBreaker,
    recorded: bool,
}

impl BreakerPermit<'_> {
    /// Records whether the table responded.
    pub fn record(mut self, now: Moment, responded: bool) {
        self.recorded = true;
        let health = if responded { HealthSignal::Success } else { HealthSignal::Failure };
        self.breaker.lock().record_end(now, health, &mut rand::rng());
    }
}

impl Drop for BreakerPermit<'_> {
    fn drop(&mut self) {
        if !self.recorded {
            self.breaker.lock().record_end(Moment(0), HealthSignal::Inconclusive, &mut rand::rng());
        }
    }
}
