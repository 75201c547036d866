//! When the platform last answered.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use cumintrail_types::Moment;

/// Remembers the last exchange with the platform; written by the configuration task.
#[derive(Debug, Default)]
pub struct Contact {
    /// Microseconds of the last answer; zero before the first.
    last: AtomicU64,
    lost: AtomicBool,
}

impl Contact {
    /// Notes an exchange and tells whether contact was gained or lost by it.
    pub fn note(&self, now: Moment, answered: bool) -> bool {
        if answered {
            self.last.store(now.0.max(1), Ordering::Relaxed);
        }
        self.lost.swap(!answered, Ordering::Relaxed) == answered
    }

    /// Returns when the platform last answered.
    pub fn last_answer(&self) -> Option<Moment> {
        Some(Moment(self.last.load(Ordering::Relaxed))).filter(|at| at.0 > 0)
    }

    /// Tells whether the last exchange failed.
    pub fn is_lost(&self) -> bool {
        self.lost.load(Ordering::Relaxed)
    }
}
