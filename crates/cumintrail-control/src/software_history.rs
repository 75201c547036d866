//! The record of recent software versions that outlives all daemons; docs/DESIGN.md, "Software
//! versions".
//!
//! A daemon that starts sees only the versions that targets have now. A stream that a caller resumes
//! there may have begun at one whose last target has just ended.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_types::Moment;

/// The delay after which a request is repeated that failed or met a newer row.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A software version of a model or service, which is given by the hash of its name.
pub type PoolVersion = (u64, Arc<str>);

/// Represents the row that stores the recent versions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HistoryRow {
    /// The version of the row; zero if there is none.
    pub row_version: u64,
    /// The versions of the models and services that have or lately had several.
    pub versions: Vec<PoolVersion>,
}

/// Describes an access to the row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HistoryRequest {
    /// Read it.
    Read,
    /// Write these versions if the row has this version.
    Write(HistoryRow),
}

/// Decides when the row is read and written.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    /// Whether the row was read since versions may have come and gone that this daemon did not see.
    is_known: bool,
    /// The row as last read or written; `None` if it has to be read.
    row: Option<HistoryRow>,
    pending: Option<HistoryRow>,
    /// The era of the platform's store in which the row was read or written.
    era: u64,
    next_request: Moment,
}

impl SoftwareHistory {
    /// Returns whether the row was read since versions may have come and gone that this daemon did not
    /// see.
    pub const fn is_known(&self) -> bool {
        self.is_known
    }

    /// Lets the row be read again: this daemon had no current entries of the registry for some time.
    pub const fn forget(&mut self) {
        self.is_known = false;
    }

    /// Returns the next access to the row, if one is due: it is read when it is not known, and written
    /// by one daemon when the recent versions differ from it. That daemon reads it again in a new `era` of the
    /// platform's store, which may have been restored from a copy without the last versions.
    pub fn next_request(
        &mut self,
        now: Moment,
        era: u64,
        recent: &[PoolVersion],
        is_writer: bool,
    ) -> Option<HistoryRequest> {
        if self.next_request > now {
            return None;
        }
        if is_writer && era > self.era {
            (self.row, self.era) = (None, era);
        }
        let request = match &self.row {
            None => HistoryRequest::Read,
            Some(_) if !self.is_known => HistoryRequest::Read,
            Some(row) if is_writer && row.versions != recent => {
                let write = HistoryRow { versions: recent.to_vec(), ..row.clone() };
                self.pending = Some(write.clone());
                HistoryRequest::Write(write)
            }
            Some(_) => return None,
        };
        self.next_request = now + RETRY_INTERVAL;
        Some(request)
    }

    /// Handles the row that was read.
    pub fn handle_read(&mut self, row: HistoryRow) {
        self.is_known = true;
        self.row = Some(row);
    }

    /// Handles the end of a write; `row_version` is the version that it gave the row, or `None` if
    /// another daemon wrote the row before or the outcome is unknown.
    pub fn handle_written(&mut self, row_version: Option<u64>) {
        let written = self.pending.take().zip(row_version);
        self.row = written.map(|(row, row_version)| HistoryRow { row_version, ..row });
    }
}
