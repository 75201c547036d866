//! Managed stores, which keep parts of prompts until they are told to free them.

use std::net::SocketAddr;
use std::time::Duration;

use cumintrail_control::parts::{PartsUpdate, StoredPart};

use crate::ClientError;

/// Holds what a store told, and where its changes go on.
#[derive(Debug, Clone)]
pub struct PartsPage {
    /// What it told.
    pub update: PartsUpdate,
    /// The position after it.
    pub next: u64,
    /// Whether changes before it were lost.
    pub lost: bool,
}

/// Reads what a managed store holds, and frees parts.
pub trait PartsStore {
    /// Reads all parts that are whole.
    async fn list(&self, at: SocketAddr) -> Result<PartsPage, ClientError>;
    /// Waits up to `wait` for changes after a position.
    async fn changes(
        &self,
        at: SocketAddr,
        after: u64,
        wait: Duration,
    ) -> Result<PartsPage, ClientError>;
    /// Frees parts, if the store still is in the run of its process that told of them.
    async fn free(
        &self,
        at: SocketAddr,
        epoch: u64,
        parts: &[StoredPart],
    ) -> Result<(), ClientError>;
}
