//! Tables that are first read in full and then kept up to date by reading their changes, and the
//! record of them from which a daemon serves the daemons that follow it; docs/PLATFORM.md,
//! "Readers and followers".

mod log;
mod poll;
mod source;

use std::sync::Arc;

use bytes::Bytes;

pub use self::log::{
    AppliedUpdate, FeedCursor, FeedLog, FeedPositions, FeedUpdate, StorePosition, StoreUpdate,
    TableUpdate,
};
pub use self::poll::{OwnReads, PollRequest, PollSchedule};
pub use self::source::{FeedSource, FeedSourceChoice, MAX_FOLLOWED_AGE, ReaderAssignment};

/// A table that the platform or its operators write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FeedTable {
    /// The declarations of operators.
    Operator,
    /// The entries that targets write about themselves.
    Registry,
}

impl FeedTable {
    /// All tables, in the order of [`FeedTable::index`].
    pub const ALL: [Self; 2] = [Self::Operator, Self::Registry];

    /// Returns the table's position in arrays with one element for each table.
    pub const fn index(self) -> usize {
        match self {
            Self::Operator => 0,
            Self::Registry => 1,
        }
    }
}

/// A row, or the removal of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedRow {
    /// The key of the row.
    pub key: Arc<str>,
    /// The version of the row, from one counter for all tables.
    pub version: u64,
    /// The value; `None` if the row was removed.
    pub value: Option<Bytes>,
}

/// A point in the history of a table.
///
/// A store that was restored from an older copy counts its versions on from that copy, so versions
/// are comparable only within one era.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FeedPosition {
    /// How often the store was restored; zero if it does not report that.
    pub era: u64,
    /// The version after which the next changes are read.
    pub version: u64,
}

/// The rows of a table, or the changed ones, as of one position.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FeedPage {
    /// All rows of the table, or those that changed.
    pub rows: Vec<FeedRow>,
    /// The position after which the next changes are read.
    pub position: FeedPosition,
}
