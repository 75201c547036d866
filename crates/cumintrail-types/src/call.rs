//! What is known of a call's execution.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Numbers the attempts of one call, from 1.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
pub struct AttemptNumber(pub u8);

/// Tells whether any target can have run a refused call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No byte of the call can have reached a target.
    #[display("no")]
    No,
    /// A target may have run the call.
    #[display("unknown")]
    Unknown,
}

/// Tells how a call may be repeated and queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CallClass {
    /// A model call: repeatable with the tokens so far.
    #[display("model")]
    Model,
    /// A call to a plain service that is safe to repeat.
    #[display("repeatable")]
    Repeatable,
    /// A call that must run at most once.
    #[display("once")]
    Once,
    /// A streamed answer that another target can continue after the last event passed on.
    #[display("resumable-stream")]
    #[serde(rename = "resumable-stream")]
    ResumableStream,
    /// A streamed answer that nobody can continue; it runs at most once.
    #[display("stream")]
    Stream,
}

impl CallClass {
    /// Tells whether a call may run again after it may have run.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Model | Self::Repeatable | Self::ResumableStream)
    }

    /// Tells whether the answer is a series of events that are passed on as they come.
    pub const fn is_streamed(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }
}

/// Ranks calls and client accounts; a lower one goes first.
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
