//! Whether a target may have been replaced by a process that the registry does not list yet;
//! docs/DESIGN.md, "Software versions".

use std::time::Duration;

use cumintrail_types::Moment;

/// The time within which the system closes all sockets of a process that ends, and within which
/// what it had sent before is read.
const EXIT_TIME: Duration = Duration::from_millis(100);

/// Follows the evidence on the process at a target's address since a connection to it broke.
///
/// A broken connection may be the end of the process, and another one with the same id and other
/// software may take its address at once.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcessDoubt {
    /// When a connection last broke or was refused; `None` once the listed process is known to run.
    broken: Option<Moment>,
    /// When the address first accepted a connection or responded after that.
    accepted: Option<Moment>,
}

impl ProcessDoubt {
    /// Returns whether another process may be in the target's place.
    pub const fn exists(&self) -> bool {
        self.broken.is_some()
    }

    /// Records that a connection broke or was refused.
    pub const fn record_break(&mut self, now: Moment) {
        *self = Self { broken: Some(now), accepted: None };
    }

    /// Records that a process which is known to run accepts connections since `sent` at the earliest.
    pub fn record_accepted(&mut self, now: Moment, sent: Moment) {
        if self.broken.is_some_and(|broken| sent >= broken) {
            self.accepted.get_or_insert(now);
        }
    }

    /// Records the complete response of an exchange that had brought an event at `event`.
    ///
    /// The system of a process that ends breaks all its connections.
    pub fn record_complete(&mut self, now: Moment, event: Moment) {
        if self.broken.is_some_and(|broken| event < broken && now >= broken + EXIT_TIME) {
            *self = Self::default();
        }
    }

    /// Records that the registry, as of a moment, lists the same process; returns whether that ends
    /// the doubt, since another one would have written its entry by then.
    pub fn record_listed(&mut self, as_of: Moment, heartbeat_interval: Duration) -> bool {
        let ends = self.accepted.is_some_and(|at| as_of >= at + heartbeat_interval);
        if ends {
            *self = Self::default();
        }
        ends
    }
}
