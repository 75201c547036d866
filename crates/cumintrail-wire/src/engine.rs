//! The model engines' protocol.
//!
//! - `POST /v1/generate` streams an answer as SSE: `token` events with consecutive ids, then `end`.
//! - `GET /v1/streams/{call}` resumes after `Last-Event-ID`; `DELETE` cancels.
//! - `POST /v1/import` stages a block from a store; a later `generate` names the staged ones it
//!   accepts. `POST /v1/export` writes a block to a store.
//! - `GET /v1/report?after=N` answers a [`ProbeResponse`]; an engine that leaves its cache events out is asked
//!   for them by `GET /v1/cache-events?after=N`.
//! - `POST /v1/orders`.

use std::net::SocketAddr;

use cumintrail_control::{TargetReport, Usage};
use cumintrail_types::{
    BlockKey, Bytes, Digest, FencingNumber, Incarnation, Tokens, WeightVersion, WriteId,
};
use serde::{Deserialize, Serialize};

/// The SSE event that carries text.
pub const TOKEN_EVENT: &str = "token";
/// The SSE event that ends an answer.
pub const END_EVENT: &str = "end";
/// Names the call that an answer belongs to; the engine echoes it.
pub const CALL_ID_HEADER: &str = "x-call-id";

/// Holds the body of `POST /v1/generate`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// The call's id, unique over daemons and their restarts.
    pub call: String,
    /// The attempt, from 1.
    pub attempt: u8,
    /// The model's name.
    pub model: String,
    /// The weight version that the call is pinned to; another one is refused.
    pub version: WeightVersion,
    /// The prompt.
    pub prompt: String,
    /// The keys of the prompt's full pieces.
    pub pieces: Vec<BlockKey>,
    /// The length of a piece.
    pub piece_tokens: u32,
    /// The staged imports that may be used.
    pub imports: Vec<String>,
    /// The answer so far, which an earlier attempt gave.
    pub answered: Vec<String>,
    /// The longest answer, in tokens.
    pub max_tokens: u32,
    /// Lower runs first.
    pub priority: u8,
}

/// Holds a `token` event; its SSE id counts from 1.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TokenEvent {
    /// The call's id.
    pub call: String,
    /// The text.
    pub text: String,
}

/// Holds the `end` event; its SSE id is that of the last token.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EndEvent {
    /// The call's id.
    pub call: String,
    /// Why the answer ended: `stop` or `length`.
    pub reason: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens whose state was in memory.
    pub cached_tokens: u32,
    /// Prompt tokens whose state was imported for this call.
    pub imported_tokens: u32,
    /// Tokens of the answer, those of earlier attempts included.
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

/// Tells why an engine did not run a call or follow an order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineRefusal {
    /// The reason.
    pub reason: EngineRefusalReason,
}

/// Names a reason of an engine to refuse.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineRefusalReason {
    /// It takes no new work.
    Leaving,
    /// Its queue is full.
    Busy,
    /// It has another weight version loaded.
    WrongVersion,
    /// The order's fencing number is older than one it has seen.
    OldFencing,
    /// It knows no such stream or block.
    NotFound,
}

/// Holds the body of `POST /v1/import`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ImportRequest {
    /// The name under which the block is staged.
    pub import: String,
    /// The block.
    pub key: BlockKey,
    /// The store to read from.
    pub store: SocketAddr,
    /// The exact write to read, sent as `If-Match`.
    pub write_id: WriteId,
}

/// Answers an import order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ImportResponse {
    /// What was read.
    pub outcome: ImportOutcome,
}

/// Tells what an import read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ImportOutcome {
    /// The block is staged; the digest was computed over the bytes that arrived.
    Staged {
        /// The digest.
        digest: Digest,
        /// The length.
        length: Bytes,
    },
    /// The store no longer has that write.
    Missing,
    /// The store did not answer or broke off.
    Failed,
}

/// Holds the body of `POST /v1/export`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ExportRequest {
    /// The block.
    pub key: BlockKey,
    /// The store to write to.
    pub store: SocketAddr,
    /// The id of the write.
    pub write_id: WriteId,
}

/// Answers an export order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ExportResponse {
    /// The digest of the bytes that were written, or nothing if the write failed.
    pub sealed: Option<(Digest, Bytes)>,
}

/// Answers `GET /v1/report`: one exchange per probe, since heads are larger than reports.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProbeResponse {
    /// The report.
    #[serde(flatten)]
    pub report: Report,
    /// The cache events after the asked number, from an engine that tells them here.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cache: Option<CacheEvents>,
}

/// Tells an engine's state and load.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Report {
    /// The run of the engine's process.
    pub incarnation: Incarnation,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// The weight version that new calls get; zero for plain services.
    pub version: WeightVersion,
    /// Whether weights are being loaded.
    pub loading: bool,
    /// Calls running.
    pub running: u32,
    /// Calls waiting.
    pub waiting: u32,
    /// Prompt tokens still to compute.
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

/// Answers `GET /v1/cache-events`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The run of the engine's process.
    pub incarnation: Incarnation,
    /// The number of the oldest event still known; one above `after` + 1 shows a gap.
    pub oldest: u64,
    /// The events, in order.
    pub events: Vec<CacheEvent>,
}

/// Tells of one block.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The event's number.
    pub number: u64,
    /// The block.
    pub key: BlockKey,
    /// Whether it is now held; otherwise it was evicted.
    pub stored: bool,
}

/// Holds the body of `POST /v1/orders`.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct LoadOrder {
    /// The number of the lease under which it is sent.
    pub fencing: FencingNumber,
    /// The weight version to load.
    pub version: WeightVersion,
}
