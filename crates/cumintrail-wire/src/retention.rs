//! The index of idempotency keys with a recorded response, stored in the platform's table by hour
//! and shard.
//!
//! - `once-index/cursor` stores the oldest hour that is not completely swept.
//! - `once-index/{hour}/{shard}` stores the number of segments of a shard.
//! - `once-index/{hour}/{shard}/{number}` stores a segment: a list of [`IndexedResponse`].

use cumintrail_control::once::Hour;
use cumintrail_types::WriteId;
use serde::{Deserialize, Serialize};

/// The key of the row that stores the oldest hour that is not completely swept.
pub const CURSOR_KEY: &str = "once-index/cursor";

/// Represents the row [`CURSOR_KEY`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct CursorRecord {
    /// The hour, in hours since the Unix epoch.
    pub hour: u64,
}

/// Represents the row of a shard; see [`shard_key`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ShardRecord {
    /// The number of segments; segments are numbered from 1.
    pub segments: u64,
}

/// Locates the record of an idempotency key whose response was recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndexedResponse {
    /// The key of the row that stores the record.
    pub row: String,
    /// The id of the object that stores the response body; `None` if the row stores the body.
    pub object: Option<WriteId>,
}

/// Returns the key of the row that stores the number of segments of a shard.
pub fn shard_key(hour: Hour, shard: u64) -> String {
    format!("once-index/{}/{shard}", hour.0)
}

/// Returns the key of the row that stores a segment of a shard.
pub fn segment_key(hour: Hour, shard: u64, number: u64) -> String {
    format!("once-index/{}/{shard}/{number}", hour.0)
}
