//! The store VMs' protocol: blocks as HTTP objects with strong `ETag`s.
//!
//! - `PUT /blocks/{key}` writes; the `ETag` is the write id from [`WRITE_HEADER`].
//! - `GET /blocks/{key}` and `DELETE` take `If-Match`.
//! - `GET /blocks?after=KEY&limit=N` lists sealed blocks.

use cumintrail_types::{Bytes, Digest, Incarnation, Sealed, Tier, WriteId};
use serde::{Deserialize, Serialize};

/// Carries the id of a write.
pub const WRITE_HEADER: &str = "x-write-id";
/// Carries the digest of a block's bytes.
pub const DIGEST_HEADER: &str = "x-content-digest";

/// Answers `GET /blocks`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Listing {
    /// The run of the store's process.
    pub incarnation: Incarnation,
    /// Sealed blocks in key order.
    pub blocks: Vec<ListedBlock>,
    /// Whether more follow.
    pub more: bool,
}

/// Describes a sealed block.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ListedBlock {
    /// The seal.
    pub sealed: Sealed,
    /// Where it lies.
    pub tier: Tier,
}

/// Answers a completed write.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Written {
    /// The id of the write.
    pub write_id: WriteId,
    /// The digest of what arrived.
    pub digest: Digest,
    /// The length of what arrived.
    pub length: Bytes,
    /// Where it lies.
    pub tier: Tier,
}
