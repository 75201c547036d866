//! The steps of claiming a key in the platform's table, whose answers may be lost.

use super::{KeyedRequest, Record, UnixMillis, Verdict};

const MAX_INSERTS: u8 = 3;

/// Holds a record as it was found, with the version of its row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedRecord<A> {
    /// The version; rows are never removed within the life of a key, so it only grows.
    pub version: u64,
    /// The record.
    pub record: Record<A>,
}

/// Names the next step of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep<A> {
    /// Write the claim if the row still has this version; zero stands for an absent row.
    Insert(u64),
    /// Read the row.
    Read,
    /// The claim holds and its row has this version: the call may be sent.
    Run(u64),
    /// The claim does not hold: answer with this.
    Stop(Verdict<A>),
    /// The table cannot tell; the call must not be sent.
    Unavailable,
}

/// Follows one claim over lost answers.
///
/// Writing the same claim again is harmless: each write demands the version that was seen, so of a
/// delayed write and its repetition only one takes effect, and both carry the same claim id.
#[derive(Debug, Clone)]
pub struct ClaimMachine {
    request: KeyedRequest,
    inserts: u8,
    seen_version: u64,
}

impl ClaimMachine {
    /// Starts with a row that was seen free at version `seen`.
    pub const fn new(request: KeyedRequest, seen_version: u64) -> Self {
        Self { request, inserts: 0, seen_version }
    }

    /// Returns the first step.
    pub const fn start<A>(&mut self) -> ClaimStep<A> {
        self.insert(self.seen_version)
    }

    /// Takes the answer to an insert: the row found instead, or that the claim was written.
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

    /// Takes that an insert was not answered, so that it may or may not have taken effect.
    pub const fn handle_insert_lost<A>(&self) -> ClaimStep<A> {
        ClaimStep::Read
    }

    /// Takes the answer to a read.
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

    /// Takes that a read was not answered.
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
