//! Chooses the connection to close when too much is held, without I/O.

use std::cmp::Reverse;
use std::time::Duration;

/// Added to the time without progress, so that of connections that progressed at the same moment the
/// one that holds most is closed.
const BASE_TIME: Duration = Duration::from_millis(20);

/// Describes a connection that may be closed.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Identifies the connection; later ones have higher numbers.
    pub id: u64,
    /// What it holds.
    pub bytes: usize,
    /// The time since its exchange last progressed.
    pub without_progress: Duration,
    /// Whether its exchange waits for the other end. One that waits for a target is not closed: its
    /// caller has done its part, and the call's deadline bounds the time.
    pub awaits_caller: bool,
}

/// Returns the connection to close first: the one that holds most for the time without progress.
///
/// A request that just arrived holds little and has just progressed, so it comes last.
pub fn worst(candidates: impl Iterator<Item = Candidate>) -> Option<u64> {
    let closable = candidates.filter(|candidate| candidate.awaits_caller);
    // Of equal ones, the first to be accepted is closed, since later ones may have just arrived.
    closable.max_by_key(|candidate| (candidate.cost(), Reverse(candidate.id))).map(|c| c.id)
}

impl Candidate {
    const fn cost(&self) -> u128 {
        self.bytes as u128 * (self.without_progress.as_micros() + BASE_TIME.as_micros())
    }
}
