//! The callers' protocol: OpenAI-compatible requests, answers and refusals.

use std::fmt::Write as _;

use cumintrail_types::{Ran, Refusal, RefusalCode};
use serde::{Deserialize, Serialize};

/// Carries the time a caller is ready to wait, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-cumintrail-deadline-ms";
/// Marks a call that the caller may repeat without running it twice.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Tells when the caller made its idempotency key, in milliseconds since the Unix epoch.
pub const KEY_TIME_HEADER: &str = "x-cumintrail-key-time-ms";
/// Marks an answer that was recorded when the call ran and is repeated now.
pub const REPLAYED_HEADER: &str = "x-cumintrail-replayed";
/// Tells a plain service which client account calls; what a caller sends under it is dropped.
pub const ACCOUNT_HEADER: &str = "x-cumintrail-account";
/// Names a call in answers and towards plain services, for support and logs.
pub const CALL_ID_HEADER: &str = "x-cumintrail-call";
/// Ends an SSE stream of a whole answer.
pub const STREAM_END: &str = "[DONE]";
/// The answer length when the caller names none, in tokens.
pub const DEFAULT_MAX_TOKENS: u32 = 256;

/// Answers `POST /v1/operation-keys`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationKeyResponse {
    /// The key, to be sent as the idempotency key of one call.
    pub key: String,
    /// How long it may be used, in milliseconds.
    pub expires_in_ms: u64,
}

/// Holds the body of `POST /v1/completions`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// The model's name.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// The longest answer, in tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
}

/// Holds the body of `POST /v1/chat/completions`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChatRequest {
    /// The model's name.
    pub model: String,
    /// The conversation.
    pub messages: Vec<ChatMessage>,
    /// The longest answer, in tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
}

/// Holds one message of a conversation.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChatMessage {
    /// The speaker.
    pub role: String,
    /// The text.
    pub content: String,
}

impl From<ChatRequest> for CompletionRequest {
    fn from(chat: ChatRequest) -> Self {
        let mut prompt = String::new();
        for message in &chat.messages {
            let _ = writeln!(prompt, "<|{}|>\n{}", message.role, message.content);
        }
        prompt.push_str("<|assistant|>\n");
        Self { model: chat.model, prompt, max_tokens: chat.max_tokens, stream: chat.stream }
    }
}

/// Holds a whole answer, or one chunk of a streamed one.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Completion {
    /// The call's id.
    pub id: String,
    /// The kind of object, as callers' libraries expect it.
    pub object: String,
    /// The model's name.
    pub model: String,
    /// Exactly one choice.
    pub choices: Vec<Choice>,
    /// What the answer cost; in the last chunk of a stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<UsageBody>,
}

/// Holds the text of an answer.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Choice {
    /// Always zero.
    pub index: u32,
    /// The text of a completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// The message of a whole chat completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<ChatMessage>,
    /// The part of a streamed chat completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<ChatDelta>,
    /// Why the answer ended; absent while it goes on.
    pub finish_reason: Option<String>,
}

/// Holds a part of a streamed chat message.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ChatDelta {
    /// The speaker, in the first chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// The text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Counts what an answer cost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageBody {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub completion_tokens: u32,
    /// Both.
    pub total_tokens: u32,
    /// Prompt tokens found in the engine's memory.
    pub cached_tokens: u32,
    /// Prompt tokens imported from a store.
    pub imported_tokens: u32,
}

/// Lists models, as `GET /v1/models` answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ModelList {
    /// Always `list`.
    pub object: String,
    /// The models.
    pub data: Vec<ModelEntry>,
}

/// Names a model.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ModelEntry {
    /// Its name.
    pub id: String,
    /// Always `model`.
    pub object: String,
}

/// Wraps a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// The refusal.
    pub error: RefusalDetail,
}

/// Tells a caller why its call was not answered in full.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalDetail {
    /// The machine-readable reason.
    pub code: RefusalCode,
    /// Whether a target can have run the call.
    pub ran: Ran,
    /// The reason for people.
    pub message: String,
    /// When asking again can help, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl RefusalBody {
    /// Describes a refusal with a message.
    pub fn new(refusal: &Refusal, message: &str) -> Self {
        let retry_after_ms = refusal.retry_after.map(|after| after.as_millis() as u64);
        let error = RefusalDetail {
            code: refusal.code,
            ran: refusal.ran,
            message: message.to_owned(),
            retry_after_ms,
        };
        Self { error }
    }
}
