//! The store VMs' protocol: blocks as HTTP objects with strong `ETag`s.
//!
//! - `PUT /blocks/{key}` writes; the `ETag` is the write id from [`WRITE_ID_HEADER`].
//! - `GET /blocks/{key}` and `DELETE` take `If-Match`.
//! - `GET /blocks?after=KEY&limit=N` lists sealed blocks.
//! - `GET /changes?after=NUMBER&limit=N` tells what was sealed and freed since; with a limit of
//!   zero only who answers and how much it holds.

use cumintrail_control::store_sync::{ChangesPage, ListingPage, StoreChange, StoreResponse};
use cumintrail_types::{BlockKey, Bytes, Digest, Incarnation, Sealed, Tier, WriteId};
use serde::{Deserialize, Serialize};

/// Carries the id of a write.
pub const WRITE_ID_HEADER: &str = "x-write-id";
/// Carries the digest of a block's bytes.
pub const DIGEST_HEADER: &str = "x-content-digest";

/// Answers `GET /blocks`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListResponse {
    /// The run of the store's process.
    pub incarnation: Incarnation,
    /// The number of the last change when this page was made.
    pub newest: u64,
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

/// Answers `GET /changes`.
///
/// Changes are numbered from one on in each run of the store's process, which keeps the last ones.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChangesResponse {
    /// The run of the store's process.
    pub incarnation: Incarnation,
    /// The number of the oldest change that the store still knows.
    pub oldest: u64,
    /// The number of the last change.
    pub newest: u64,
    /// The sealed blocks that the store holds.
    pub held: u64,
    /// The changes after the one that was named, without gaps.
    pub changes: Vec<BlockChange>,
}

/// Names what happened to a block.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BlockChange {
    /// The block was completely written, or moved to another tier.
    Sealed(ListedBlock),
    /// This write of the block was freed.
    Freed {
        /// The block.
        key: BlockKey,
        /// The write.
        write_id: WriteId,
    },
}

/// Answers a completed write.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WriteResponse {
    /// The id of the write.
    pub write_id: WriteId,
    /// The digest of what arrived.
    pub digest: Digest,
    /// The length of what arrived.
    pub length: Bytes,
    /// Where it lies.
    pub tier: Tier,
}

impl From<ListResponse> for StoreResponse {
    fn from(listing: ListResponse) -> Self {
        let ListResponse { incarnation, newest, blocks, more } = listing;
        let blocks = blocks.iter().map(|b| (b.sealed, b.tier)).collect();
        Self::Listing(ListingPage { incarnation, newest, blocks, more })
    }
}

impl From<ChangesResponse> for StoreResponse {
    fn from(response: ChangesResponse) -> Self {
        let ChangesResponse { incarnation, oldest, newest, held, changes } = response;
        let changes = changes.into_iter().map(StoreChange::from).collect();
        Self::Changes(ChangesPage { incarnation, oldest, newest, held, changes })
    }
}

impl From<BlockChange> for StoreChange {
    fn from(change: BlockChange) -> Self {
        match change {
            BlockChange::Sealed(ListedBlock { sealed, tier }) => Self::Sealed(sealed, tier),
            BlockChange::Freed { key, write_id } => Self::Freed(key, write_id),
        }
    }
}
