//! How a daemon reaches the committed generation of the configuration.

use cumintrail_types::Generation;

/// The maximum number of generations that a daemon catches up on by reading single changes.
pub const MAX_INCREMENTAL_CHANGES: u64 = 64;
/// Changes between two snapshots; limits how many changes a new daemon reads.
pub const CHANGES_PER_SNAPSHOT: u64 = 64;
/// Number of changes that the log retains; older ones are removed as new ones are written.
pub const RETAINED_CHANGES: u64 = 1_024;

/// Describes how a daemon gets from the generation in force to the committed one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CatchUpStep {
    /// The committed generation is not newer.
    UpToDate,
    /// Read the changes after the generation in force.
    ReadChanges,
    /// Read a snapshot and the changes after it: no configuration is in force yet, or too many
    /// changes are missing.
    ReadSnapshot,
}

/// Decides how to reach `committed` from `in_force`; never returns to a lower generation.
pub const fn catch_up_step(in_force: Generation, committed: Generation) -> CatchUpStep {
    match committed.0.checked_sub(in_force.0) {
        None | Some(0) => CatchUpStep::UpToDate,
        Some(gap) if in_force.0 > 0 && gap <= MAX_INCREMENTAL_CHANGES => CatchUpStep::ReadChanges,
        Some(_) => CatchUpStep::ReadSnapshot,
    }
}

/// Returns whether a snapshot of `next` is due; `last_snapshot` is zero if there is none.
pub const fn snapshot_is_due(next: Generation, last_snapshot: Generation) -> bool {
    last_snapshot.0 == 0 || next.0 >= last_snapshot.0 + CHANGES_PER_SNAPSHOT
}
