//! Schedules the requests with which a daemon reads a table of the platform by itself;
//! docs/PLATFORM.md, "Readers and followers".

use std::time::Duration;

use super::FeedTable;

/// Maximum time that one request waits for changes, at a platform that responds.
///
/// A longer wait would detect a silent connection later; a shorter one would send more requests,
/// which the platform counts.
const LONG_POLL_WAIT: Duration = Duration::from_secs(2);
/// The same where the age of what was read matters: for the registry, and for a daemon that others
/// follow.
const READER_POLL_WAIT: Duration = Duration::from_millis(800);
/// Minimum of that time, whatever the limit on applying changes.
const MIN_POLL_WAIT: Duration = Duration::from_millis(100);
/// Time allowed for a response beyond the wait.
const RESPONSE_MARGIN: Duration = Duration::from_millis(700);
/// Timeout of reading a whole table.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after the first failed request; it doubles with each further failure in a row.
const RETRY_DELAY_BASE: Duration = Duration::from_millis(100);
const MAX_RETRY_DOUBLINGS: u32 = 3;
/// The delay after a failure varies by up to this fraction in both directions.
const RETRY_JITTER: f64 = 0.3;
/// Time from the request that a platform responds to until its changes are in force.
const APPLY_TIME: Duration = Duration::from_millis(100);
/// Minimum interval between requests after a change, so that a series of changes needs few of them.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// The same for the registry at a daemon with followers, which receive a change that much later.
const READER_REQUEST_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum number of daemons that read the registry at `MIN_REQUEST_INTERVAL`; with more of them,
/// the interval grows in proportion to their number.
const MAX_DAEMONS_AT_MIN_INTERVAL: f64 = 16.0;
/// Time from the start of a process in which it reads the registry at that interval: many daemons
/// may start at once, and each reads by itself until readers are assigned.
const STARTUP_TIME: Duration = Duration::from_secs(5);
/// Upper bound of the interval: daemons must receive the drain of a target well within 2 s.
const MAX_REQUEST_INTERVAL: Duration = Duration::from_millis(600);
/// Requests per second to a platform that does not respond, of all followers of a failure domain
/// whose readers have no current tables either.
const FALLBACK_REQUESTS_PER_SECOND: f64 = 10.0;

/// Describes what a daemon reads from the platform and the stores by itself, and which other daemons
/// do.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OwnReads {
    /// Whether it reads the tables.
    pub tables: bool,
    /// Whether it reads the lists of parts in stores.
    pub stores: bool,
    /// Whether it has readers to follow, even if none of them responds.
    pub is_follower: bool,
    /// Whether other daemons follow it.
    pub has_followers: bool,
    /// The number of daemons of the whole deployment that read the platform.
    pub reader_count: usize,
    /// The number of daemons in the failure domain.
    pub domain_daemons: usize,
}

/// Limits the time of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollRequest {
    /// How long the platform may wait for changes before it responds.
    pub wait: Duration,
    /// When the request is given up.
    pub timeout: Duration,
}

impl PollRequest {
    /// The request for all rows of a table.
    pub const WHOLE_TABLE: Self = Self { wait: Duration::ZERO, timeout: READ_TIMEOUT };
}

/// Schedules the requests for one table.
///
/// A request that is pending when the platform fails may never get a response, so the time until it
/// is given up, and the next one has followed, counts toward the time within which a change must be
/// in force.
#[derive(Debug, Clone)]
pub struct PollSchedule {
    table: FeedTable,
    /// The time within which a change must be in force.
    apply_limit: Duration,
    /// The number of requests without a usable response in a row.
    failures: u32,
}

impl PollSchedule {
    /// Creates the schedule of a table that was not read yet and whose changes must be in force
    /// within `apply_limit`.
    pub const fn new(table: FeedTable, apply_limit: Duration) -> Self {
        Self { table, apply_limit, failures: 0 }
    }

    /// Returns the number of requests in a row that failed.
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the next request; `is_known` is whether the table was read before, so that a request
    /// for its changes is enough.
    pub fn next_request(&self, own_reads: OwnReads, is_known: bool) -> PollRequest {
        if !is_known {
            return PollRequest::WHOLE_TABLE;
        }
        // Entries of the registry change with each heartbeat, so that short waits cost no requests.
        let needs_age = own_reads.has_followers || self.table == FeedTable::Registry;
        let wait = match needs_age {
            // Without a wait, a platform that still does not respond is noticed sooner.
            _ if self.failures > 0 => Duration::ZERO,
            true => READER_POLL_WAIT.min(self.max_wait()),
            false => LONG_POLL_WAIT.min(self.max_wait()),
        };
        PollRequest { wait, timeout: wait + RESPONSE_MARGIN }
    }

    /// Returns the time that remains of the limit for a wait or a delay, beside a request without a
    /// response and the next one.
    const fn spare_time(&self) -> Duration {
        self.apply_limit.saturating_sub(RESPONSE_MARGIN).saturating_sub(APPLY_TIME)
    }

    /// Returns the longest wait after which the delay of a first failure fits within the limit.
    fn max_wait(&self) -> Duration {
        let delay = RETRY_DELAY_BASE.mul_f64(1.0 + RETRY_JITTER);
        self.spare_time().saturating_sub(delay).max(MIN_POLL_WAIT)
    }

    /// Records a failed request and returns the delay before the next one; `random` is between 0 and
    /// 1.
    ///
    /// Followers share a limit on requests, since they receive the tables from their readers once
    /// these have them again.
    pub fn record_failure(&mut self, own_reads: OwnReads, random: f64) -> Duration {
        let doublings = self.failures.min(MAX_RETRY_DOUBLINGS);
        self.failures += 1;
        let delay = RETRY_DELAY_BASE * 2_u32.pow(doublings);
        let jitter = 1.0 + RETRY_JITTER * (2.0 * random - 1.0);
        if own_reads.is_follower {
            return delay.max(fallback_interval(own_reads)).mul_f64(jitter);
        }
        delay.mul_f64(jitter).min(self.spare_time().max(RETRY_DELAY_BASE))
    }

    /// Records a response and returns the minimum time from its request to the next one.
    ///
    /// For the registry it grows with the number of daemons that read it: that of a large deployment
    /// changes constantly, and the platform counts requests. `uptime` is the age of the process at
    /// the request.
    pub fn record_response(
        &mut self,
        own_reads: OwnReads,
        has_changes: bool,
        uptime: Duration,
    ) -> Duration {
        self.failures = 0;
        match self.table {
            _ if !has_changes => Duration::ZERO,
            FeedTable::Operator => MIN_REQUEST_INTERVAL,
            FeedTable::Registry if uptime < STARTUP_TIME || own_reads.has_followers => {
                READER_REQUEST_INTERVAL
            }
            FeedTable::Registry => {
                let factor = own_reads.reader_count as f64 / MAX_DAEMONS_AT_MIN_INTERVAL;
                MIN_REQUEST_INTERVAL.mul_f64(factor.max(1.0)).min(MAX_REQUEST_INTERVAL)
            }
        }
    }

    /// Records a response that an update of a later era has overtaken, and returns the delay before
    /// the next request.
    pub const fn record_outdated(&mut self) -> Duration {
        self.failures = 0;
        MIN_REQUEST_INTERVAL
    }

    /// Returns the delay before a follower reads by itself, with which those of a failure domain are
    /// spread; `random` is between 0 and 1.
    pub fn resume_delay(own_reads: OwnReads, random: f64) -> Duration {
        fallback_interval(own_reads).mul_f64(0.1).min(READER_POLL_WAIT).mul_f64(random)
    }
}

/// Returns the interval at which each daemon of a failure domain may read by itself.
fn fallback_interval(own_reads: OwnReads) -> Duration {
    Duration::from_secs_f64(own_reads.domain_daemons as f64 / FALLBACK_REQUESTS_PER_SECOND)
}
