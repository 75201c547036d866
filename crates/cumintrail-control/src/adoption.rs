//! Which configuration a daemon puts in force.

use cumintrail_types::Generation;

/// Tells how to get from the generation in force to the one that was heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing newer was heard of.
    Keep,
    /// Read the changes after the generation in force.
    ReadChanges {
        /// The first change to read.
        from: Generation,
        /// The last change to read.
        to: Generation,
    },
    /// Read a snapshot, since the gap is long.
    ReadSnapshot,
}

/// The longest gap that is closed change by change.
pub const MAX_CHANGES: u64 = 64;

/// Decides how to reach `heard` from `in_force`; never goes back.
pub const fn next_step(in_force: Generation, heard: Generation) -> Step {
    match heard.0.checked_sub(in_force.0) {
        None | Some(0) => Step::Keep,
        Some(gap) if in_force.0 > 0 && gap <= MAX_CHANGES => {
            Step::ReadChanges { from: Generation(in_force.0 + 1), to: heard }
        }
        Some(_) => Step::ReadSnapshot,
    }
}
