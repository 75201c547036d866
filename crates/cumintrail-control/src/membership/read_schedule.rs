//! Schedule of reads of the platform; docs/DESIGN.md, "Membership".
//!
//! Two daemons of each failure domain read; the others receive the age of the last read in digests.
//! A daemon that knows of no recent read reads by itself, whatever the reason.

use std::time::Duration;

use cumintrail_types::Moment;

/// Read intervals after which the last known read counts as stale.
const STALE_INTERVALS: u32 = 2;
/// Maximum of that age, so that a change is in force within seconds even if all readers failed.
const MAX_STALE_AGE: Duration = Duration::from_secs(3);

/// Decides when a daemon reads one item of the platform, such as the VM list.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadSchedule {
    /// When any daemon last read the item with the result that is known here.
    confirmed: Option<Moment>,
    /// Whether the last own read failed; the daemon then reads until the platform responds.
    failed: bool,
    /// The earliest time of the next own read.
    next_read: Moment,
}

impl ReadSchedule {
    /// Returns whether to read now; `wait` is the minimum time until the read after that.
    pub fn is_due(&mut self, now: Moment, is_reader: bool, wait: Duration) -> bool {
        if self.next_read > now || !(is_reader || self.failed || self.is_stale(now, wait)) {
            return false;
        }
        self.next_read = now + wait;
        true
    }

    fn is_stale(&self, now: Moment, wait: Duration) -> bool {
        let limit = (wait * STALE_INTERVALS).min(MAX_STALE_AGE);
        self.confirmed.is_none_or(|at| now.since(at) >= limit)
    }

    /// Returns whether no successful read is known and the last own read, if any, did not fail.
    pub const fn is_pending(&self) -> bool {
        self.confirmed.is_none() && !self.failed
    }

    /// Records the end of an own read and whether the platform responded.
    pub fn record_read(&mut self, now: Moment, answered: bool) {
        self.failed = !answered;
        if answered {
            self.confirmed = Some(now);
        }
    }

    /// Records the age of a read with the result that is known here, as a peer reported it.
    pub fn record_peer_read(&mut self, now: Moment, age: Option<Duration>) {
        let read = age.and_then(|age| now.0.checked_sub(age.as_micros() as u64)).map(Moment);
        self.confirmed = self.confirmed.max(read);
    }

    /// Returns the age of the last known read.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }
}
