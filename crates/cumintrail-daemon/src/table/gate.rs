//! Keeps keyed calls away from a table that does not answer; docs/DESIGN.md, "At most once".

use std::sync::Mutex;

use cumintrail_control::retry::{CircuitBreaker, HealthSignal};
use cumintrail_types::Moment;

/// Limits the pause between two trials to 4 s, so that keyed calls run soon after a heal.
const PAUSE_DOUBLINGS: u32 = 2;

/// Shares one breaker between the threads of a process.
#[derive(Debug)]
pub struct TableGate(Mutex<CircuitBreaker>);

impl Default for TableGate {
    fn default() -> Self {
        Self(Mutex::new(CircuitBreaker::with_max_doublings(PAUSE_DOUBLINGS)))
    }
}

impl TableGate {
    /// Admits one exchange, or nothing while the table is known not to answer.
    pub fn enter(&self, now: Moment) -> Option<Passage<'_>> {
        let mut breaker = self.lock();
        if !breaker.allows(now) {
            return None;
        }
        breaker.record_start();
        Some(Passage { gate: self, judged: false })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, CircuitBreaker> {
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Stands for one exchange; one that is dropped unjudged lets another trial take its place.
pub struct Passage<'a> {
    gate: &'a TableGate,
    judged: bool,
}

impl Passage<'_> {
    /// Notes whether the table answered.
    pub fn judge(mut self, now: Moment, answered: bool) {
        self.judged = true;
        let health = if answered { HealthSignal::Success } else { HealthSignal::Failure };
        self.gate.lock().record_end(now, health, &mut rand::rng());
    }
}

impl Drop for Passage<'_> {
    fn drop(&mut self) {
        if !self.judged {
            self.gate.lock().record_end(Moment(0), HealthSignal::Inconclusive, &mut rand::rng());
        }
    }
}
