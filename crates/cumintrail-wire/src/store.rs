//! The store VMs' protocol: blocks as HTTP objects with strong `ETag`s.
//!
//! - `PUT /blocks/{key}` writes a block; its `ETag` is the write id from [`WRITE_ID_HEADER`].
//! - `GET /blocks/{key}` and `DELETE /blocks/{key}` accept `If-Match`.
//! - `GET /blocks?after=KEY&limit=N` lists sealed blocks.
//! - `GET /changes?after=NUMBER&limit=N` lists the changes after a sequence number; with `limit=0`
//!   it returns only the incarnation, the sequence numbers and the number of blocks.

use cumintrail_control::store_sync::{ChangesPage, ListingPage, StoreChange, StoreResponse};
use cumintrail_types::{BlockKey, Bytes, Digest, Incarnation, Sealed, Tier, WriteId};
use serde::{Deserialize, Serialize};

/// Carries the write id of a block.
pub const WRITE_ID_HEADER: &str = "x-write-id";
/// Carries the digest of a block's bytes.
pub const DIGEST_HEADER: &str = "x-content-digest";

/// Represents the response to `GET /blocks`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListResponse {
    /// The incarnation of the store's process.
    pub incarnation: Incarnation,
    /// The sequence number of the last change when this page was made.
    pub newest: u64,
    /// The sealed blocks, in key order.
    pub blocks: Vec<ListedBlock>,
    /// Whether more blocks follow on the next page.
    pub more: bool,
}

/// Describes a sealed block in a listing or a change.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ListedBlock {
    /// The block's key, write id, digest and length.
    pub sealed: Sealed,
    /// The tier that stores the block.
    pub tier: Tier,
}

/// Represents the response to `GET /changes`.
///
/// Changes are numbered from 1 in each incarnation of the store's process, which retains only the
/// most recent changes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChangesResponse {
    /// The incarnation of the store's process.
    pub incarnation: Incarnation,
    /// The sequence number of the oldest change that the store still retains.
    pub oldest: u64,
    /// The sequence number of the last change.
    pub newest: u64,
    /// The number of sealed blocks in the store.
    pub held: u64,
    /// The changes after the requested one, without gaps.
    pub changes: Vec<BlockChange>,
}

/// Describes a change to a block.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BlockChange {
    /// The block was completely written, or moved to another tier.
    Sealed(ListedBlock),
    /// This write of the block was freed.
    Freed {
        /// The key of the block.
        key: BlockKey,
        /// The id of the freed write.
        write_id: WriteId,
    },
}

/// Represents the response to a completed write.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WriteResponse {
    /// The id of the write.
    pub write_id: WriteId,
    /// The digest of the bytes that the store received.
    pub digest: Digest,
    /// The length of the bytes that the store received.
    pub length: Bytes,
    /// The tier that stores the block.
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
