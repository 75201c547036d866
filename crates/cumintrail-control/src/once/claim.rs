//! The steps of claiming a key in the platform's table, whose answers may be lost.

use super::{KeyedRequest, Record, Verdict, WallMillis};

const MAX_INSERTS: u8 = 3;

/// Holds a record as it was found, with the version of its row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Found<A> {
    /// The version; rows are never removed within the life of a key, so it only grows.
    pub version: u64,
    /// The record.
    pub record: Record<A>,
}

/// Names the next step of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step<A> {
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
pub struct Claiming {
    request: KeyedRequest,
    inserts: u8,
    seen: u64,
}

impl Claiming {
    /// Starts with a row that was seen free at version `seen`.
    pub const fn new(request: KeyedRequest, seen: u64) -> Self {
        Self { request, inserts: 0, seen }
    }

    /// Returns the first step.
    pub const fn start<A>(&mut self) -> Step<A> {
        self.insert(self.seen)
    }

    /// Takes the answer to an insert: the row found instead, or that the claim was written.
    pub fn inserted<A>(&mut self, now: WallMillis, found: Option<Found<A>>) -> Step<A> {
        match found {
            None => Step::Run(self.seen + 1),
            Some(found) => self.judge(now, found),
        }
    }

    /// Takes that an insert was not answered, so that it may or may not have taken effect.
    pub const fn insert_lost<A>(&self) -> Step<A> {
        Step::Read
    }

    /// Takes the answer to a read.
    pub fn read<A>(&mut self, now: WallMillis, found: Option<Found<A>>) -> Step<A> {
        match found {
            None => self.insert(0),
            Some(found) => self.judge(now, found),
        }
    }

    /// Takes that a read was not answered.
    pub const fn read_lost<A>(&self) -> Step<A> {
        Step::Unavailable
    }

    fn judge<A>(&mut self, now: WallMillis, found: Found<A>) -> Step<A> {
        match self.request.judge(now, found.record) {
            Verdict::Run => Step::Run(found.version),
            Verdict::Free => self.insert(found.version),
            verdict => Step::Stop(verdict),
        }
    }

    const fn insert<A>(&mut self, version: u64) -> Step<A> {
        if self.inserts == MAX_INSERTS {
            return Step::Unavailable;
        }
        self.inserts += 1;
        self.seen = version;
        Step::Insert(version)
    }
}
