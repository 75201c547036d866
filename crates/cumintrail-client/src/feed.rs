//! Tables that are first read in full and then kept up to date by reading their changes.

use std::time::Duration;

use cumintrail_control::feed::{FeedPage, FeedPosition, FeedTable};
use snafu::Snafu;

use crate::ClientError;

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
    /// Waits up to `wait` for changes after a position.
    ///
    /// Returns [`FeedError::HistoryLost`] if the store was restored since then.
    async fn changes(
        &self,
        table: FeedTable,
        after: FeedPosition,
        wait: Duration,
    ) -> Result<FeedPage, FeedError>;
}
