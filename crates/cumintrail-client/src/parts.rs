//! Clients of managed stores, which store parts of prompts until a client frees them.

use std::net::SocketAddr;
use std::time::Duration;

use cumintrail_control::parts::{PartsUpdate, StoredPart};

use crate::ClientError;

/// The parts in a store, or changes of them, and the position after which the changes continue.
#[derive(Debug, Clone)]
pub struct PartsPage {
    /// The parts or changes that the store reported.
    pub update: PartsUpdate,
    /// The position after which the next changes are read.
    pub next: u64,
    /// Whether changes since the requested position are no longer available.
    pub lost: bool,
}

/// A client of managed stores.
pub trait PartsStore {
    /// Reads the list of all complete parts in a store.
    async fn list(&self, at: SocketAddr) -> Result<PartsPage, ClientError>;
    /// Waits up to `wait` for changes after a position.
    async fn changes(
        &self,
        at: SocketAddr,
        after: u64,
        wait: Duration,
    ) -> Result<PartsPage, ClientError>;
    /// Frees parts, if the store's process still has the incarnation `epoch`.
    async fn free(
        &self,
        at: SocketAddr,
        epoch: u64,
        parts: &[StoredPart],
    ) -> Result<(), ClientError>;
}
