//! Acquiring, renewing and giving up the lease.
//!
//! Any doubt ends the holding: the row is read again, and a row of this very process is acquired
//! anew under the next fencing number.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_types::{FencingNumber, Moment};

use super::{LEASE_DURATION, Lease, takeover_delay};

/// The age of a lease at which it is renewed.
const RENEW_AFTER: Duration = Duration::from_millis(600);
/// The time between two looks at a lease of another holder.
const CANDIDATE_READ_INTERVAL: Duration = Duration::from_millis(400);
/// The same for daemons that are far from taking over.
const STANDBY_READ_INTERVAL: Duration = Duration::from_secs(10);
/// The delay before the first look, for each daemon that is to look first.
const RANK_DELAY: Duration = Duration::from_millis(250);
const RETRY_DELAY: Duration = Duration::from_millis(500);
const CANDIDATE_RANKS: u32 = 3;

/// Holds the lease's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRow {
    /// The row's version, which grows with each write.
    pub version: u64,
    /// The run of the process that wrote it.
    pub holder: Arc<str>,
    /// The number of its holding.
    pub fencing: FencingNumber,
    /// Whether the holder has given it back.
    pub released: bool,
}

/// Writes the lease's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseWrite {
    /// The version that the row must have; zero demands that it is absent.
    pub expected: u64,
    /// The writer.
    pub holder: Arc<str>,
    /// The number of the holding.
    pub fencing: FencingNumber,
    /// Whether the lease is given back.
    pub released: bool,
}

/// Asks for an exchange with the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseRequest {
    /// Read the row.
    Read,
    /// Write the row under its condition.
    Write(LeaseWrite),
}

#[derive(Debug, Clone, Copy)]
enum State {
    /// Nothing is to be done.
    Idle,
    /// Another holder's row is watched until it has not changed for long enough.
    Watching { observed: Option<ObservedRow>, next_read: Moment },
    /// This daemon holds the lease; its row has `version`.
    Holding { lease: Lease, version: u64 },
}

#[derive(Debug, Clone, Copy)]
struct ObservedRow {
    version: u64,
    unchanged_since: Moment,
}

/// Keeps the lease of one daemon; at most one exchange with the table is out at a time.
#[derive(Debug)]
pub struct LeaseMachine {
    holder: Arc<str>,
    state: State,
    is_request_pending: bool,
    /// The number and row version that an acquiring write would lead to.
    pending_acquisition: Option<(FencingNumber, u64)>,
}

impl LeaseMachine {
    /// Starts without the lease.
    pub const fn new(holder: Arc<str>) -> Self {
        Self { holder, state: State::Idle, is_request_pending: false, pending_acquisition: None }
    }

    /// Returns the lease, if it is held.
    pub const fn lease(&self) -> Option<Lease> {
        match self.state {
            State::Holding { lease, .. } => Some(lease),
            State::Idle | State::Watching { .. } => None,
        }
    }

    /// Acts as time passes; `wanted` tells whether there is anything to order.
    pub fn tick(&mut self, now: Moment, wanted: bool, rank: u32) -> Option<LeaseRequest> {
        match &mut self.state {
            State::Idle if wanted => {
                let next_read = now + RANK_DELAY * rank.min(CANDIDATE_RANKS);
                self.state = State::Watching { observed: None, next_read };
                None
            }
            State::Watching { .. } if !wanted && !self.is_request_pending => {
                self.state = State::Idle;
                None
            }
            State::Watching { next_read, .. } if !self.is_request_pending && now >= *next_read => {
                *next_read = now
                    + if rank < CANDIDATE_RANKS {
                        CANDIDATE_READ_INTERVAL
                    } else {
                        STANDBY_READ_INTERVAL
                    };
                self.is_request_pending = true;
                Some(LeaseRequest::Read)
            }
            State::Holding { lease, .. } if now >= lease.requested_at + LEASE_DURATION => {
                self.watch_from(now);
                None
            }
            State::Holding { lease, version }
                if !self.is_request_pending && now >= lease.requested_at + RENEW_AFTER =>
            {
                let (expected, fencing) = (*version, lease.fencing);
                Some(self.write(expected, fencing, false))
            }
            State::Idle | State::Watching { .. } | State::Holding { .. } => None,
        }
    }

    /// Takes the row as it was read.
    pub fn handle_read(&mut self, now: Moment, row: Option<&LeaseRow>) -> Option<LeaseRequest> {
        self.is_request_pending = false;
        let State::Watching { observed, .. } = &mut self.state else {
            return None;
        };
        let Some(row) = row else {
            return Some(self.acquire(0, FencingNumber(1)));
        };
        let next = FencingNumber(row.fencing.0 + 1);
        match *observed {
            _ if row.released || row.holder == self.holder => Some(self.acquire(row.version, next)),
            Some(s)
                if s.version == row.version && now.since(s.unchanged_since) >= takeover_delay() =>
            {
                Some(self.acquire(row.version, next))
            }
            Some(s) if s.version == row.version => None,
            _ => {
                *observed = Some(ObservedRow { version: row.version, unchanged_since: now });
                None
            }
        }
    }

    /// Takes the answer to a write that was sent after `requested_at`.
    ///
    /// `row_version` is the row's version where it does not grow by one with each write.
    pub fn handle_written(
        &mut self,
        now: Moment,
        requested_at: Moment,
        committed: bool,
        row_version: Option<u64>,
    ) {
        self.is_request_pending = false;
        let acquired = self.pending_acquisition.take();
        match &mut self.state {
            State::Idle => {}
            _ if !committed => self.watch_from(now),
            State::Watching { .. } => {
                if let Some((fencing, next)) = acquired {
                    let version = row_version.unwrap_or(next);
                    self.state = State::Holding { lease: Lease { fencing, requested_at }, version };
                }
            }
            State::Holding { lease, version } => {
                lease.requested_at = requested_at;
                *version = row_version.unwrap_or(*version + 1);
            }
        }
    }

    /// Takes that the table did not answer; a write may have taken effect.
    ///
    /// What was seen of the row stays: if its version is still the same later, nobody wrote meanwhile.
    pub fn handle_failure(&mut self, now: Moment) {
        self.is_request_pending = false;
        self.pending_acquisition = None;
        match &mut self.state {
            State::Idle => {}
            State::Watching { next_read, .. } => *next_read = now + RETRY_DELAY,
            State::Holding { .. } => self.watch_from(now + RETRY_DELAY),
        }
    }

    /// Leaves the lease to the holder that a target has heard of.
    pub fn step_down(&mut self, now: Moment) {
        self.watch_from(now + takeover_delay());
    }

    /// Gives the lease back, so that the next holder need not wait.
    pub fn release(&mut self) -> Option<LeaseRequest> {
        let State::Holding { lease, version } = self.state else {
            return None;
        };
        if self.is_request_pending {
            return None;
        }
        self.state = State::Idle;
        Some(self.write(version, lease.fencing, true))
    }

    fn acquire(&mut self, expected: u64, fencing: FencingNumber) -> LeaseRequest {
        self.pending_acquisition = Some((fencing, expected + 1));
        self.write(expected, fencing, false)
    }

    fn write(&mut self, expected: u64, fencing: FencingNumber, released: bool) -> LeaseRequest {
        self.is_request_pending = true;
        let holder = self.holder.clone();
        LeaseRequest::Write(LeaseWrite { expected, holder, fencing, released })
    }

    const fn watch_from(&mut self, next_read: Moment) {
        self.state = State::Watching { observed: None, next_read };
    }
}
