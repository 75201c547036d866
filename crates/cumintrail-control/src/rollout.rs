//! Orders to targets under a lease with fencing numbers.

use std::time::Duration;

use cumintrail_types::{FencingNumber, Moment};

/// How long a lease lasts.
pub const LEASE: Duration = Duration::from_secs(6);
/// How long an order may take to arrive.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long before the end of its lease a holder stops sending.
pub const SEND_MARGIN: Duration = Duration::from_secs(2);

/// Holds a lease as its holder sees it on its own monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The number that orders carry.
    pub fencing: FencingNumber,
    /// Read before the request that acquired or renewed it was sent.
    pub asked: Moment,
}

impl Lease {
    /// Tells whether an order may still be sent at `now`.
    ///
    /// Counted from before the request, so a slow or late answer only shortens it.
    pub fn may_send(&self, now: Moment) -> bool {
        now < self.asked + LEASE.saturating_sub(SEND_MARGIN)
    }
}

/// Returns how long a new holder waits after the last renewal that it saw of the old lease.
pub fn takeover_wait() -> Duration {
    LEASE + ORDER_TIMEOUT
}
