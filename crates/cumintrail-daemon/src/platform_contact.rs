//! Tracks when the platform last responded.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use cumintrail_types::Moment;

/// Records the result of the last exchange with the platform, as seen by the configuration task.
#[derive(Debug, Default)]
pub struct PlatformContact {
    /// The time of the last response, in microseconds; zero before the first response.
    last_response: AtomicU64,
    unreachable: AtomicBool,
}

impl PlatformContact {
    /// Records an exchange and returns whether reachability changed with it.
    pub fn record_exchange(&self, now: Moment, responded: bool) -> bool {
        if responded {
            self.last_response.store(now.0.max(1), Ordering::Relaxed);
        }
        self.unreachable.swap(!responded, Ordering::Relaxed) == responded
    }

    /// Returns when the platform last responded, or `None` before the first response.
    pub fn last_response(&self) -> Option<Moment> {
        Some(Moment(self.last_response.load(Ordering::Relaxed))).filter(|at| at.0 > 0)
    }

    /// Returns whether the last exchange failed.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable.load(Ordering::Relaxed)
    }
}
