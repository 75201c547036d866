//! The model engines' protocol.
//!
//! - `POST /v1/generate` streams the output as SSE: `token` events with consecutive ids, then
//!   `end`.
//! - `GET /v1/streams/{call}` resumes a stream after `Last-Event-ID`; `DELETE` cancels it.
//! - `POST /v1/import` stages a block from a store; a later `POST /v1/generate` lists the staged
//!   imports that the engine may use. `POST /v1/export` writes a block to a store.
//! - `GET /v1/report?after=N` returns a [`ProbeResponse`]. If it contains no cache events,
//!   `GET /v1/cache-events?after=N` returns them.
//! - `POST /v1/orders` loads a weight version; see [`LoadOrder`].

use std::net::SocketAddr;

use cumintrail_control::{TargetReport, Usage};
use cumintrail_types::{
    BlockKey, Bytes, Digest, FencingNumber, Incarnation, Tokens, WeightVersion, WriteId,
};
use serde::{Deserialize, Serialize};

/// The type of the SSE event that carries output text.
pub const TOKEN_EVENT: &str = "token";
/// The type of the SSE event that ends a response.
pub const END_EVENT: &str = "end";
/// Carries the call id in the request; the engine returns it in the response.
pub const CALL_ID_HEADER: &str = "x-call-id";

/// Represents the body of `POST /v1/generate`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// The call id, unique across daemons and their restarts.
    pub call: String,
    /// The number of the attempt, from 1.
    pub attempt: u8,
    /// The model's name.
    pub model: String,
    /// The weight version that the call is pinned to; the engine refuses any other.
    pub version: WeightVersion,
    /// The prompt text.
    pub prompt: String,
    /// The keys of the prompt's full blocks.
    pub pieces: Vec<BlockKey>,
    /// The length of a block, in tokens.
    pub piece_tokens: u32,
    /// The names of the staged imports that the engine may use.
    pub imports: Vec<String>,
    /// The output tokens of earlier attempts, after which this attempt continues.
    pub answered: Vec<String>,
    /// The maximum number of output tokens, those of earlier attempts included.
    pub max_tokens: u32,
    /// The scheduling priority; calls with lower values run first.
    pub priority: u8,
}

/// Represents the data of a `token` event; the SSE ids of the events count from 1.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TokenEvent {
    /// The call id.
    pub call: String,
    /// The text of the token.
    pub text: String,
}

/// Represents the data of the `end` event; its SSE id is that of the last token.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EndEvent {
    /// The call id.
    pub call: String,
    /// Why the output ended: `stop` or `length`.
    pub reason: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens whose state was cached in the engine's memory.
    pub cached_tokens: u32,
    /// Prompt tokens whose state was imported for this call.
    pub imported_tokens: u32,
    /// Output tokens, those of earlier attempts included.
    pub answer_tokens: u32,
}

impl From<&EndEvent> for Usage {
    fn from(end: &EndEvent) -> Self {
        Self {
            prompt: Tokens(end.prompt_tokens),
            cached: Tokens(end.cached_tokens),
            imported: Tokens(end.imported_tokens),
            output: Tokens(end.answer_tokens),
        }
    }
}

/// Represents the response of an engine that refuses a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineRefusal {
    /// Why the engine refuses the request.
    pub reason: EngineRefusalReason,
}

/// Describes why an engine refuses a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineRefusalReason {
    /// The engine is leaving and accepts no new calls.
    Leaving,
    /// The engine's queue is full.
    Busy,
    /// The engine has another weight version loaded.
    WrongVersion,
    /// The order's fencing number is lower than one that the engine has received.
    OldFencing,
    /// The engine has no such stream or block.
    NotFound,
}

/// Represents the body of `POST /v1/import`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ImportRequest {
    /// The name under which the engine stages the block.
    pub import: String,
    /// The key of the block.
    pub key: BlockKey,
    /// The address of the store to read from.
    pub store: SocketAddr,
    /// The id of the write to read, sent to the store as `If-Match`.
    pub write_id: WriteId,
}

/// Represents the response to `POST /v1/import`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ImportResponse {
    /// The outcome of the import.
    pub outcome: ImportOutcome,
}

/// Describes the outcome of an import.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ImportOutcome {
    /// The block is staged.
    Staged {
        /// The digest, computed over the bytes that the engine received.
        digest: Digest,
        /// The length of the bytes that the engine received.
        length: Bytes,
    },
    /// The store no longer has the requested write.
    Missing,
    /// The store did not respond, or the transfer ended early.
    Failed,
}

/// Represents the body of `POST /v1/export`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ExportRequest {
    /// The key of the block.
    pub key: BlockKey,
    /// The address of the store to write to.
    pub store: SocketAddr,
    /// The id that the write gets.
    pub write_id: WriteId,
}

/// Represents the response to `POST /v1/export`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ExportResponse {
    /// The digest and length of the bytes that were written; `None` if the export failed.
    pub sealed: Option<(Digest, Bytes)>,
}

/// Represents the response to `GET /v1/report`.
///
/// The response includes the cache events, so that a probe is a single exchange: HTTP heads are
/// larger than reports.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProbeResponse {
    /// The state and load of the target.
    #[serde(flatten)]
    pub report: Report,
    /// The cache events after the requested number; `None` from a target that does not include them
    /// in its reports.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cache: Option<CacheEvents>,
}

/// Reports the state and load of a target.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Report {
    /// The incarnation of the target's process.
    pub incarnation: Incarnation,
    /// Whether the target is leaving and accepts no new calls.
    pub leaving: bool,
    /// The weight version that new calls use; zero for plain services.
    pub version: WeightVersion,
    /// Whether the target is loading weights.
    pub loading: bool,
    /// The number of running calls.
    pub running: u32,
    /// The number of calls that wait in the target's queue.
    pub waiting: u32,
    /// The number of prompt tokens that still have to be computed.
    pub prefill_backlog: u32,
}

impl From<Report> for TargetReport {
    fn from(r: Report) -> Self {
        Self {
            incarnation: r.incarnation,
            leaving: r.leaving,
            version: r.version,
            loading: r.loading,
            running: r.running,
            waiting: r.waiting,
            prefill_backlog: Tokens(r.prefill_backlog),
        }
    }
}

/// Represents the response to `GET /v1/cache-events`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The incarnation of the engine's process.
    pub incarnation: Incarnation,
    /// The number of the oldest event that the engine still has; if it is above `after` + 1, events
    /// are missing.
    pub oldest: u64,
    /// The events, in the order of their numbers.
    pub events: Vec<CacheEvent>,
}

/// Reports that a block was added to the engine's cache or evicted.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The sequence number of the event.
    pub number: u64,
    /// The key of the block.
    pub key: BlockKey,
    /// Whether the block is now cached; otherwise it was evicted.
    pub stored: bool,
}

/// Represents the body of `POST /v1/orders`, which makes an engine load a weight version.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct LoadOrder {
    /// The fencing number of the lease under which the order is sent.
    pub fencing: FencingNumber,
    /// The weight version to load.
    pub version: WeightVersion,
}
