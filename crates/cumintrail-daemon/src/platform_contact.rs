//! When the platform last responded.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use cumintrail_types::Moment;

/// Remembers the last exchange with the platform; written by the configuration task.
#[derive(Debug, Default)]
pub struct PlatformContact {
    /// Microseconds of the last answer; zero before the first.
    last_response: AtomicU64,
    unreachable: AtomicBool,
}

impl PlatformContact {
    /// Notes an exchange and tells whether contact was gained or lost by it.
    pub fn record_exchange(&self, now: Moment, responded: bool) -> bool {
        if responded {
            self.last_response.store(now.0.max(1), Ordering::Relaxed);
        }
        self.unreachable.swap(!responded, Ordering::Relaxed) == responded
    }

    /// Returns when the platform last responded.
    pub fn last_response(&self) -> Option<Moment> {
        Some(Moment(self.last_response.load(Ordering::Relaxed))).filter(|at| at.0 > 0)
    }

    /// Tells whether the last exchange failed.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable.load(Ordering::Relaxed)
    }
}
