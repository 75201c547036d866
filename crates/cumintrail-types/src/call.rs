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
    /// A call to a plain service that must run at most once.
    #[display("once")]
    Once,
}
