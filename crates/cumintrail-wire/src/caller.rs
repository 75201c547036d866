//! The callers' protocol: OpenAI-compatible requests, responses and refusals.

use std::fmt::Write as _;

use cumintrail_types::{Ran, Refusal, RefusalCode};
use serde::{Deserialize, Serialize};

/// Carries the time that the caller is ready to wait, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-cumintrail-deadline-ms";
/// Carries the caller's idempotency key, under which a call runs at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Carries the time at which the caller created its idempotency key, in milliseconds since the Unix
/// epoch.
pub const KEY_TIME_HEADER: &str = "x-cumintrail-key-time-ms";
/// Marks a response that was recorded when the call ran and is now replayed.
pub const REPLAYED_HEADER: &str = "x-cumintrail-replayed";
/// Carries the name of the client account to a plain service; a value from the caller is dropped.
pub const ACCOUNT_HEADER: &str = "x-cumintrail-account";
/// Carries the call id in responses and in requests to plain services, for support and logs.
pub const CALL_ID_HEADER: &str = "x-cumintrail-call";
/// The data of the last event in the SSE stream of a complete response.
pub const STREAM_END: &str = "[DONE]";
/// The maximum number of output tokens if the request does not set one.
pub const DEFAULT_MAX_TOKENS: u32 = 256;

/// Represents the response to `POST /v1/operation-keys`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationKeyResponse {
    /// The key, to be sent as the idempotency key of one call.
    pub key: String,
    /// The time during which the key can be used, in milliseconds.
    pub expires_in_ms: u64,
}

/// Represents the body of `POST /v1/completions`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// The model's name.
    pub model: String,
    /// The prompt text.
    pub prompt: String,
    /// The maximum number of output tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: bool,
}

/// Represents the body of `POST /v1/chat/completions`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChatRequest {
    /// The model's name.
    pub model: String,
    /// The conversation, oldest message first.
    pub messages: Vec<ChatMessage>,
    /// The maximum number of output tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: bool,
}

/// Represents one message of a conversation.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChatMessage {
    /// The role of the speaker, such as `assistant`.
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

/// Represents a complete response, or one chunk of a streamed response.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Completion {
    /// The call's id.
    pub id: String,
    /// The kind of object that callers' libraries expect, such as `chat.completion.chunk`.
    pub object: String,
    /// The model's name.
    pub model: String,
    /// Exactly one choice.
    pub choices: Vec<Choice>,
    /// The token counts; in a stream only the last chunk has them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<UsageBody>,
}

/// Represents the text of a response or chunk.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Choice {
    /// Always zero.
    pub index: u32,
    /// The text of a completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// The message of a chat completion that is not streamed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<ChatMessage>,
    /// The new part of a streamed chat completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<ChatDelta>,
    /// Why the output ended, `stop` or `length`; `None` before the last chunk of a stream.
    pub finish_reason: Option<String>,
}

/// Represents a part of a streamed chat message.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ChatDelta {
    /// The role of the speaker, in the first chunk only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// The text that this chunk adds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Counts the tokens of a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageBody {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Output tokens.
    pub completion_tokens: u32,
    /// The sum of prompt tokens and output tokens.
    pub total_tokens: u32,
    /// Prompt tokens whose state was cached in the engine's memory.
    pub cached_tokens: u32,
    /// Prompt tokens whose state was imported from a store.
    pub imported_tokens: u32,
}

/// Represents the response to `GET /v1/models`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ModelList {
    /// Always `list`.
    pub object: String,
    /// The models.
    pub data: Vec<ModelEntry>,
}

/// Describes a model of the list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ModelEntry {
    /// The model's name.
    pub id: String,
    /// Always `model`.
    pub object: String,
}

/// Represents the response body of a refused call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// The details of the refusal.
    pub error: RefusalDetail,
}

/// Explains why a call has no complete response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalDetail {
    /// The machine-readable reason.
    pub code: RefusalCode,
    /// Whether a target can have run the call.
    pub ran: Ran,
    /// The reason as text for people.
    pub message: String,
    /// The time after which a retry may succeed, in milliseconds; absent if none is suggested.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl RefusalBody {
    /// Creates the response body for a refusal, with a text for people.
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
