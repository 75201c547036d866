//! The names of all metrics, and their recorder; docs/OPERATIONS.md is their reference.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Calls by outcome: `answered` or a refusal code.
pub const CALLS: &str = "cumintrail_calls_total";
/// Time from arrival to the first token, in seconds.
pub const FIRST_TOKEN: &str = "cumintrail_first_token_seconds";
/// Prompt tokens by where their state came from: `memory`, `store` or `computed`.
pub const PROMPT_TOKENS: &str = "cumintrail_prompt_tokens_total";
/// Bytes imported from stores.
pub const LINK_BYTES: &str = "cumintrail_link_bytes_total";
/// Blocks by outcome of their import.
pub const IMPORTS: &str = "cumintrail_imports_total";
/// Streams that went on over a new connection.
pub const RESUMES: &str = "cumintrail_stream_resumes_total";
/// Events that were dropped as late, repeated or foreign.
pub const DROPPED_EVENTS: &str = "cumintrail_dropped_events_total";
/// Recorded answers that were repeated under an idempotency key.
pub const REPLAYS: &str = "cumintrail_replays_total";
/// Calls forwarded to the issuer of their operation key, by outcome: `answered` or `lost`.
pub const FORWARDS: &str = "cumintrail_forwards_total";
/// The generation in force.
pub const GENERATION: &str = "cumintrail_generation";
/// Bytes sent to peers.
pub const PEER_BYTES: &str = "cumintrail_peer_bytes_total";
/// Failed exchanges with the platform.
pub const PLATFORM_ERRORS: &str = "cumintrail_platform_errors_total";

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the process's recorder once and returns the handle that renders it.
pub fn install_recorder() -> &'static PrometheusHandle {
    RECORDER.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // A second recorder is refused only if a test installed its own; ours is rendered anyway.
        let _ = metrics::set_global_recorder(recorder);
        handle
    })
}
