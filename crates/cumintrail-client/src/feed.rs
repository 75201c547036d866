//! Tables that are read whole and then followed by their changes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use snafu::Snafu;

use crate::ClientError;

/// Names a table that the platform or its operators write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FeedTable {
    /// What operators declare.
    Operator,
    /// What targets tell of themselves.
    Registry,
}

/// Holds a row, or tells that it was removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedRow {
    /// Its key.
    pub key: Arc<str>,
    /// Its version, from one counter over all tables.
    pub version: u64,
    /// Its value; nothing if it was removed.
    pub value: Option<Bytes>,
}

/// Holds rows as of one version.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FeedPage {
    /// The rows, or those that changed.
    pub rows: Vec<FeedRow>,
    /// The version from which changes follow.
    pub version: u64,
}

/// Reports a feed that could not be read.
#[derive(Debug, Snafu)]
pub enum FeedError {
    /// The changes that were asked for are no longer told; the table is to be read whole.
    #[snafu(display("the history that was asked for is gone"))]
    HistoryLost,
    /// The exchange failed.
    #[snafu(transparent)]
    Client {
        /// How.
        source: ClientError,
    },
}

/// Reads tables and their changes.
pub trait Feed {
    /// Reads a table whole.
    async fn read(&self, table: FeedTable) -> Result<FeedPage, FeedError>;
    /// Waits up to `wait` for changes after a version.
    async fn changes(
        &self,
        table: FeedTable,
        after: u64,
        wait: Duration,
    ) -> Result<FeedPage, FeedError>;
}
