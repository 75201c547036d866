//! The steps of claiming a key in the platform's table, whose responses may be lost.

use super::{KeyedRequest, Record, UnixMillis, Verdict};

const MAX_INSERTS: u8 = 3;

/// Pairs a record with the version of its row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedRecord<A> {
    /// The version of the row, which only grows, since rows are never removed while keys are valid.
    pub version: u64,
    /// The record in the row.
    pub record: Record<A>,
}

/// Describes the next step of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep<A> {
    /// Write the claim if the row still has this version; zero means that there is no row.
    Insert(u64),
    /// Read the row.
    Read,
    /// The claim holds and its row has this version: the call may be sent.
    Run(u64),
    /// The claim does not hold: end the request with this verdict.
    Stop(Verdict<A>),
    /// The table does not show whether the claim holds; the call must not be sent.
    Unavailable,
}

/// Decides the steps of one claim when responses of the table may be lost.
///
/// Writing the same claim again is safe: each write requires the row version that was seen, so of a
/// delayed write and its repetition only one takes effect, and both carry the same claim id.
#[derive(Debug, Clone)]
pub struct ClaimMachine {
    request: KeyedRequest,
    inserts: u8,
    seen_version: u64,
}

impl ClaimMachine {
    /// Creates the claim of a key whose row could be claimed at version `seen_version`.
    pub const fn new(request: KeyedRequest, seen_version: u64) -> Self {
        Self { request, inserts: 0, seen_version }
    }

    /// Returns the first step.
    pub const fn start<A>(&mut self) -> ClaimStep<A> {
        self.insert(self.seen_version)
    }

    /// Handles the response to an insert: `found` is the conflicting row, `None` if the claim was
    /// written.
    pub fn handle_insert_response<A>(
        &mut self,
        now: UnixMillis,
        found: Option<VersionedRecord<A>>,
    ) -> ClaimStep<A> {
        match found {
            None => ClaimStep::Run(self.seen_version + 1),
            Some(found) => self.handle_record(now, found),
        }
    }

    /// Handles an insert without a response, which may or may not have taken effect.
    pub const fn handle_insert_lost<A>(&self) -> ClaimStep<A> {
        ClaimStep::Read
    }

    /// Handles the response to a read; `found` is `None` if there is no row.
    pub fn handle_read_response<A>(
        &mut self,
        now: UnixMillis,
        found: Option<VersionedRecord<A>>,
    ) -> ClaimStep<A> {
        match found {
            None => self.insert(0),
            Some(found) => self.handle_record(now, found),
        }
    }

    /// Handles a read without a response.
    pub const fn handle_read_lost<A>(&self) -> ClaimStep<A> {
        ClaimStep::Unavailable
    }

    fn handle_record<A>(&mut self, now: UnixMillis, found: VersionedRecord<A>) -> ClaimStep<A> {
        match self.request.check_record(now, found.record) {
            Verdict::Run => ClaimStep::Run(found.version),
            Verdict::Unclaimed => self.insert(found.version),
            verdict => ClaimStep::Stop(verdict),
        }
    }

    const fn insert<A>(&mut self, version: u64) -> ClaimStep<A> {
        if self.inserts == MAX_INSERTS {
            return ClaimStep::Unavailable;
        }
        self.inserts += 1;
        self.seen_version = version;
        ClaimStep::Insert(version)
    }
}
