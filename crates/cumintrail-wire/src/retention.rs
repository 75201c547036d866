//! The index of answered idempotency keys in the platform's table, by hour and shard.
//!
//! - `once-index/cursor` names the oldest hour that is not swept.
//! - `once-index/{hour}/{shard}` counts the segments of a shard.
//! - `once-index/{hour}/{shard}/{number}` names answered keys.

use cumintrail_control::once::Hour;
use cumintrail_types::WriteId;
use serde::{Deserialize, Serialize};

/// The row of the oldest hour that is not swept.
pub const CURSOR_KEY: &str = "once-index/cursor";

/// Holds the row [`CURSOR_KEY`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct CursorRecord {
    /// The hour since the Unix epoch.
    pub hour: u64,
}

/// Holds the head of a shard.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ShardRecord {
    /// How many segments it has, numbered from 1.
    pub segments: u64,
}

/// Names one answered key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndexedResponse {
    /// Its row.
    pub row: String,
    /// The object with the body of its answer, if it is large.
    pub object: Option<WriteId>,
}

/// Names the head of a shard.
pub fn shard_key(hour: Hour, shard: u64) -> String {
    format!("once-index/{}/{shard}", hour.0)
}

/// Names a segment of a shard.
pub fn segment_key(hour: Hour, shard: u64, number: u64) -> String {
    format!("once-index/{}/{shard}/{number}", hour.0)
}
