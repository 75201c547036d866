//! Acquiring, renewing and releasing the lease.
//!
//! After a failed or rejected write, or an expiry, the daemon no longer holds the lease: it reads
//! the row again and, if the row names this incarnation, acquires the lease under the next fencing
//! number.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_types::{FencingNumber, Moment};

use super::{LEASE_DURATION, Lease, takeover_delay};

/// Age at which a held lease is renewed.
const RENEW_AFTER: Duration = Duration::from_millis(600);
/// Interval of reads of the lease's row by the first [`CANDIDATE_RANKS`] daemons.
const CANDIDATE_READ_INTERVAL: Duration = Duration::from_millis(400);
/// Interval of reads of the lease's row by all other daemons.
const STANDBY_READ_INTERVAL: Duration = Duration::from_secs(10);
/// Delay of a daemon's first read for each lower rank, up to [`CANDIDATE_RANKS`] of them.
const RANK_DELAY: Duration = Duration::from_millis(250);
/// Delay before the row is read after a failed exchange with the table.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Number of daemons, counted from rank zero, that read the row often to take the lease over.
const CANDIDATE_RANKS: u32 = 3;
/// Fencing numbers of one era of the table; more than any era uses.
const FENCING_NUMBERS_PER_ERA: u64 = 1_000_000;

/// Represents the lease's row in the platform's table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRow {
    /// The row's version, which grows with each write.
    pub version: u64,
    /// The incarnation that wrote the row.
    pub holder: Arc<str>,
    /// The fencing number of the lease.
    pub fencing: FencingNumber,
    /// Whether the holder has released the lease.
    pub released: bool,
}

/// Describes a conditional write of the lease's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseWrite {
    /// The version that the row must have; zero means that the row must be absent.
    pub expected: u64,
    /// The incarnation that writes the row.
    pub holder: Arc<str>,
    /// The fencing number of the lease.
    pub fencing: FencingNumber,
    /// Whether the write releases the lease.
    pub released: bool,
}

/// Requests a read or write of the lease's row in the platform's table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseRequest {
    /// Read the row.
    Read,
    /// Write the row if it has the expected version.
    Write(LeaseWrite),
}

#[derive(Debug, Clone, Copy)]
enum State {
    /// The daemon neither holds nor wants the lease.
    Idle,
    /// The daemon wants the lease and reads the row until it may acquire it.
    Watching { observed: Option<ObservedRow>, next_read: Moment },
    /// The daemon holds the lease; `version` is the version of the row.
    Holding { lease: Lease, version: u64 },
}

#[derive(Debug, Clone, Copy)]
struct ObservedRow {
    version: u64,
    /// When this daemon first read the row at `version`.
    unchanged_since: Moment,
}

/// Acquires, renews and releases one daemon's lease, with at most one pending request to the table.
#[derive(Debug)]
pub struct LeaseMachine {
    holder: Arc<str>,
    state: State,
    is_request_pending: bool,
    /// The fencing number and the row version that result if the pending acquisition commits.
    pending_acquisition: Option<(FencingNumber, u64)>,
    /// The era of the table, and when this daemon first knew of it.
    era: u64,
    era_since: Option<Moment>,
}

impl LeaseMachine {
    /// Creates a state machine without the lease; `holder` identifies this incarnation.
    pub const fn new(holder: Arc<str>) -> Self {
        Self {
            holder,
            state: State::Idle,
            is_request_pending: false,
            pending_acquisition: None,
            era: 0,
            era_since: None,
        }
    }

    /// Returns the era of the table that is known here.
    pub const fn era(&self) -> u64 {
        self.era
    }

    /// Records the era of a response; a higher one means that the table was restored from an older
    /// copy.
    ///
    /// The row may then be one from before this daemon acquired the lease, and its version may be
    /// given out again, so the daemon gives the lease up.
    pub fn record_era(&mut self, now: Moment, era: u64) {
        if era < self.era || self.era_since.is_some() && era == self.era {
            return;
        }
        let is_restored = self.era_since.is_some();
        (self.era, self.era_since) = (era, Some(now));
        if is_restored {
            self.pending_acquisition = None;
            if !matches!(self.state, State::Idle) {
                self.watch_from(now);
            }
        }
    }

    /// Returns whether a row that names no other holder proves that there is none.
    ///
    /// For some time after a restore, the table may have forgotten a holder that still sends orders.
    fn proves_absence(&self, now: Moment) -> bool {
        let is_settled = |since: Moment| now.since(since) >= takeover_delay();
        self.era == 0 || self.era_since.is_some_and(is_settled)
    }

    /// Returns the fencing number that follows `last`; those of a later era are higher than all of
    /// an earlier one, which the restored table may have forgotten.
    const fn next_fencing(&self, last: u64) -> FencingNumber {
        let first = self.era.saturating_mul(FENCING_NUMBERS_PER_ERA);
        FencingNumber(if last > first { last } else { first } + 1)
    }

    /// Returns the lease, if this daemon holds it.
    pub const fn lease(&self) -> Option<Lease> {
        match self.state {
            State::Holding { lease, .. } => Some(lease),
            State::Idle | State::Watching { .. } => None,
        }
    }

    /// Returns the next request, if one is due; `wanted` says whether there is anything to order.
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

    /// Handles a read of the row, and returns a write if the lease may be acquired.
    pub fn handle_read(&mut self, now: Moment, row: Option<&LeaseRow>) -> Option<LeaseRequest> {
        self.is_request_pending = false;
        let next = self.next_fencing(row.map_or(0, |row| row.fencing.0));
        let proves_absence = self.proves_absence(now);
        let State::Watching { observed, .. } = &mut self.state else {
            return None;
        };
        let Some(row) = row else {
            return proves_absence.then(|| self.acquire(0, next));
        };
        let is_free = row.released || row.holder == self.holder;
        match *observed {
            _ if is_free && proves_absence => Some(self.acquire(row.version, next)),
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

    /// Handles the response to a write that was sent after `requested_at`.
    ///
    /// `row_version` is the row's new version where it does not grow by one with each write.
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

    /// Handles a request that failed; a write may have taken effect.
    ///
    /// A daemon that does not hold the lease keeps the observed row: if a later read returns the
    /// same version, nobody has written the row in between.
    pub fn handle_failure(&mut self, now: Moment) {
        self.is_request_pending = false;
        self.pending_acquisition = None;
        match &mut self.state {
            State::Idle => {}
            State::Watching { next_read, .. } => *next_read = now + RETRY_DELAY,
            State::Holding { .. } => self.watch_from(now + RETRY_DELAY),
        }
    }

    /// Gives up the lease after a target has refused its fencing number.
    ///
    /// The holder with the higher number keeps the lease: this daemon reads the row again only
    /// after the takeover delay.
    pub fn step_down(&mut self, now: Moment) {
        self.watch_from(now + takeover_delay());
    }

    /// Releases the lease, so that the next holder can acquire it without the takeover delay.
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
