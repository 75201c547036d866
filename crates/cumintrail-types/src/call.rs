//! Retry class, execution state and urgency of calls.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Numbers the attempts of one call, starting at 1.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
pub struct AttemptNumber(pub u8);

/// Describes whether a target may have executed a refused call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No byte of the call can have reached a target.
    #[display("no")]
    No,
    /// A target may have executed the call.
    #[display("unknown")]
    Unknown,
}

/// Classifies how a call may be repeated and queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CallClass {
    /// A model call: repeatable with the tokens generated so far.
    #[display("model")]
    Model,
    /// A call to a plain service that is safe to repeat.
    #[display("repeatable")]
    Repeatable,
    /// A call that must be executed at most once.
    #[display("once")]
    Once,
    /// A streamed response that another target can resume after the last forwarded event.
    #[display("resumable-stream")]
    #[serde(rename = "resumable-stream")]
    ResumableStream,
    /// A streamed response that no target can resume; the call is executed at most once.
    #[display("stream")]
    Stream,
}

impl CallClass {
    /// Returns whether a call may be executed again after a target may have executed it.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Model | Self::Repeatable | Self::ResumableStream)
    }

    /// Returns whether the response is a series of events that are forwarded as they arrive.
    pub const fn is_streamed(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }
}

/// Ranks calls and client accounts by priority; a lower value goes first.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Display,
    Serialize,
    Deserialize,
)]
pub struct Urgency(pub u8);

/// Urgency levels of routes within one urgency level of accounts.
const ROUTE_URGENCY_LEVELS: u8 = 3;

impl Urgency {
    /// Combines the urgency of a client account, if it has one, with that of a route; the account's
    /// urgency takes precedence.
    #[must_use]
    pub fn combine(account: Option<Self>, route: Self) -> Self {
        let route = route.0.min(ROUTE_URGENCY_LEVELS - 1);
        account.map_or(Self(route), |a| Self(a.0.saturating_mul(ROUTE_URGENCY_LEVELS) + route))
    }
}
