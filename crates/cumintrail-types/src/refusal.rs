//! The responses to calls that get no complete response.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Ran;

/// Identifies the reason of a refusal; docs/OPERATIONS.md describes how callers handle each one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCode {
    /// The request is malformed.
    #[display("bad-request")]
    BadRequest,
    /// The API key is missing or unknown.
    #[display("unauthorized")]
    Unauthorized,
    /// The path, model or service does not exist.
    #[display("not-found")]
    NotFound,
    /// The path exists but does not accept this method.
    #[display("method-not-allowed")]
    MethodNotAllowed,
    /// The request body is larger than the declared limit.
    #[display("too-large")]
    TooLarge,
    /// The head of the request is larger than the declared limit.
    #[display("head-too-large")]
    HeadTooLarge,
    /// The body did not arrive within the time limit.
    #[display("request-timeout")]
    RequestTimeout,
    /// The client account has reached one of its limits.
    #[display("account-limit")]
    AccountLimit,
    /// The queue cannot meet the deadline, or the daemon is overloaded.
    #[display("overloaded")]
    Overloaded,
    /// The model or service has no usable target.
    #[display("no-target")]
    NoTarget,
    /// The call continues a stream of which this daemon does not know where it began.
    #[display("unknown-stream")]
    UnknownStream,
    /// Targets crashed under calls with the same content, so that none is sent any more.
    #[display("quarantined")]
    Quarantined,
    /// The deadline of the call has passed.
    #[display("deadline")]
    Deadline,
    /// The daemon is stopping.
    #[display("stopping")]
    Stopping,
    /// The daemon has no configuration yet.
    #[display("not-configured")]
    NotConfigured,
    /// The platform's table is unreachable, so at-most-once execution cannot be guaranteed.
    #[display("platform-unavailable")]
    PlatformUnavailable,
    /// The idempotency key was already used with another request.
    #[display("key-reused")]
    KeyReused,
    /// A call with the same idempotency key is in progress.
    #[display("in-progress")]
    InProgress,
    /// The idempotency key is past its declared lifetime.
    #[display("key-expired")]
    KeyExpired,
    /// The outcome of the call cannot be determined.
    #[display("outcome-unknown")]
    OutcomeUnknown,
    /// A target failed and no further attempt is allowed.
    #[display("target-failed")]
    TargetFailed,
}

impl RefusalCode {
    /// Returns the HTTP status that carries this code.
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::NotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::RequestTimeout => 408,
            Self::InProgress => 409,
            Self::KeyExpired => 410,
            Self::TooLarge => 413,
            Self::KeyReused => 422,
            Self::HeadTooLarge => 431,
            Self::AccountLimit => 429,
            Self::OutcomeUnknown | Self::TargetFailed => 502,
            Self::Deadline => 504,
            Self::Overloaded
            | Self::NoTarget
            | Self::UnknownStream
            | Self::Quarantined
            | Self::Stopping
            | Self::NotConfigured
            | Self::PlatformUnavailable => 503,
        }
    }

    /// All codes, for the reference in docs/OPERATIONS.md.
    pub const ALL: [Self; 21] = [
        Self::BadRequest,
        Self::Unauthorized,
        Self::NotFound,
        Self::MethodNotAllowed,
        Self::TooLarge,
        Self::HeadTooLarge,
        Self::RequestTimeout,
        Self::AccountLimit,
        Self::Overloaded,
        Self::NoTarget,
        Self::UnknownStream,
        Self::Quarantined,
        Self::Deadline,
        Self::Stopping,
        Self::NotConfigured,
        Self::PlatformUnavailable,
        Self::KeyReused,
        Self::InProgress,
        Self::KeyExpired,
        Self::OutcomeUnknown,
        Self::TargetFailed,
    ];
}

/// Describes the response to a call that gets no complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub code: RefusalCode,
    /// Whether a target may have executed the call.
    pub ran: Ran,
    /// The delay after which a retry may succeed; `None` if no delay is suggested.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a call of which no byte can have reached a target.
    pub const fn not_run(code: RefusalCode) -> Self {
        Self { code, ran: Ran::No, retry_after: None }
    }

    /// Creates a refusal of a call that a target may have executed.
    pub const fn unknown(code: RefusalCode) -> Self {
        Self { code, ran: Ran::Unknown, retry_after: None }
    }

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub const fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}
