//! Which configuration a daemon puts in force.

use cumintrail_types::Generation;

/// The longest gap that is closed change by change.
pub const MAX_INCREMENTAL_CHANGES: u64 = 64;
/// Changes between two snapshots; bounds what a new daemon reads.
pub const CHANGES_PER_SNAPSHOT: u64 = 64;
/// Changes that the log keeps; older ones are removed as new ones are written.
pub const RETAINED_CHANGES: u64 = 1_024;

/// Tells how to get from the generation in force to the one that was heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CatchUpStep {
    /// Nothing newer was heard of.
    UpToDate,
    /// Read the changes after the generation in force.
    ReadChanges,
    /// Read a snapshot and the changes after it, since the gap is long.
    ReadSnapshot,
}

/// Decides how to reach `heard` from `in_force`; never goes back.
pub const fn catch_up_step(in_force: Generation, announced: Generation) -> CatchUpStep {
    match announced.0.checked_sub(in_force.0) {
        None | Some(0) => CatchUpStep::UpToDate,
        Some(gap) if in_force.0 > 0 && gap <= MAX_INCREMENTAL_CHANGES => CatchUpStep::ReadChanges,
        Some(_) => CatchUpStep::ReadSnapshot,
    }
}

/// Tells whether `next` is to be written as a whole, given the last snapshot.
pub const fn snapshot_is_due(next: Generation, last_snapshot: Generation) -> bool {
    last_snapshot.0 == 0 || next.0 >= last_snapshot.0 + CHANGES_PER_SNAPSHOT
}
