//! Who reads the platform; docs/DESIGN.md, "Membership".
//!
//! Two daemons of each failure domain read, the others hear from digests how old the last read is.
//! A daemon that hears of no recent read does it itself, whatever became of the readers.

use std::time::Duration;

use cumintrail_types::Moment;

/// Read intervals after which the last read that was heard of counts as old.
const STALE_INTERVALS: u32 = 2;
/// The longest such time, so that a change is in force within seconds although readers died.
const MAX_STALE_AGE: Duration = Duration::from_secs(3);

/// Decides when a daemon reads a part of the platform.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadSchedule {
    /// When anybody last read it with what is known here as the result.
    confirmed: Option<Moment>,
    /// Whether the last own read failed; such a daemon looks itself until the platform answers.
    failed: bool,
    next_read: Moment,
}

impl ReadSchedule {
    /// Tells whether to read now; `wait` is the time until a read that may follow.
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

    /// Tells whether the result is still to come: nobody is known to have read, nor to have failed.
    pub const fn is_pending(&self) -> bool {
        self.confirmed.is_none() && !self.failed
    }

    /// Takes the end of an own read.
    pub fn record_read(&mut self, now: Moment, answered: bool) {
        self.failed = !answered;
        if answered {
            self.confirmed = Some(now);
        }
    }

    /// Takes how long ago a peer heard of a read with the result that is known here.
    pub fn record_peer_read(&mut self, now: Moment, age: Option<Duration>) {
        let read = age.and_then(|age| now.0.checked_sub(age.as_micros() as u64)).map(Moment);
        self.confirmed = self.confirmed.max(read);
    }

    /// Returns how long ago the last read was that this daemon knows of.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }
}
