//! Tables that are first read in full and then kept up to date by reading their changes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use snafu::Snafu;

use crate::ClientError;

/// A table that the platform or its operators write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FeedTable {
    /// The declarations of operators.
    Operator,
    /// The entries that targets write about themselves.
    Registry,
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

/// The rows of a table, or the changed ones, as of one version.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FeedPage {
    /// All rows of the table, or those that changed.
    pub rows: Vec<FeedRow>,
    /// The version after which the next changes are read.
    pub version: u64,
}

/// Describes why a table could not be read.
#[derive(Debug, Snafu)]
pub enum FeedError {
    /// The requested changes are no longer available, so the whole table must be read.
    #[snafu(display("the history that was asked for is gone"))]
    HistoryLost,
    /// The exchange failed.
    #[snafu(transparent)]
    Client {
        /// The client's error.
        source: ClientError,
    },
}

/// A reader of tables and their changes.
pub trait Feed {
    /// Reads all rows of a table.
    async fn read(&self, table: FeedTable) -> Result<FeedPage, FeedError>;
    /// Waits up to `wait` for changes after a version.
    async fn changes(
        &self,
        table: FeedTable,
        after: u64,
        wait: Duration,
    ) -> Result<FeedPage, FeedError>;
}
