//! Why a call was not answered in full.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Ran;

/// Names the reason of a refusal; docs/OPERATIONS.md tells callers what to do about each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCode {
    /// The request is malformed.
    #[display("bad-request")]
    BadRequest,
    /// The API key is missing or unknown.
    #[display("unauthorized")]
    Unauthorized,
    /// There is no such path, model or service.
    #[display("not-found")]
    NotFound,
    /// The path exists but not for this method.
    #[display("method-not-allowed")]
    MethodNotAllowed,
    /// The body is larger than the declared limit.
    #[display("too-large")]
    TooLarge,
    /// The head of the request is larger than the declared limit.
    #[display("head-too-large")]
    HeadTooLarge,
    /// The body did not arrive within the time limit.
    #[display("request-timeout")]
    RequestTimeout,
    /// The client account's limit is used up.
    #[display("account-limit")]
    AccountLimit,
    /// The queue cannot meet the deadline, or the daemon is overloaded.
    #[display("overloaded")]
    Overloaded,
    /// No usable target for the model or service.
    #[display("no-target")]
    NoTarget,
    /// The deadline passed.
    #[display("deadline")]
    Deadline,
    /// The daemon is stopping.
    #[display("stopping")]
    Stopping,
    /// The daemon has no configuration yet.
    #[display("not-configured")]
    NotConfigured,
    /// The platform's table is unreachable, so at-most-once cannot be assured.
    #[display("platform-unavailable")]
    PlatformUnavailable,
    /// The idempotency key was used with another body.
    #[display("key-reused")]
    KeyReused,
    /// The same idempotency key is in progress.
    #[display("in-progress")]
    InProgress,
    /// The idempotency key is past its declared life.
    #[display("key-expired")]
    KeyExpired,
    /// The outcome of the call cannot be learned.
    #[display("outcome-unknown")]
    OutcomeUnknown,
    /// A target failed and no attempt is left.
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
            | Self::Stopping
            | Self::NotConfigured
            | Self::PlatformUnavailable => 503,
        }
    }

    /// Lists all codes, for the reference in docs/OPERATIONS.md.
    pub const ALL: [Self; 19] = [
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

/// Answers a call that is not answered in full.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub code: RefusalCode,
    /// Whether a target can have run the call.
    pub ran: Ran,
    /// When asking again can help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Refuses a call of which no byte can have reached a target.
    pub const fn not_run(code: RefusalCode) -> Self {
        Self { code, ran: Ran::No, retry_after: None }
    }

    /// Refuses a call that a target may have run.
    pub const fn unknown(code: RefusalCode) -> Self {
        Self { code, ran: Ran::Unknown, retry_after: None }
    }

    /// Adds the time after which asking again can help.
    #[must_use]
    pub const fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}
