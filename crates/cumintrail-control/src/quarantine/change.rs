//! Decisions about content, for logs and metrics.

use derive_more::Display;

use super::{ContentKey, Doubt, Quarantined};

/// Describes a decision about content, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineChange {
    /// A target crashed under calls.
    Crashed {
        /// The hash of the target's name.
        target: u64,
        /// The number of calls of this daemon that the crash ended.
        calls: usize,
        /// The number of contents of these calls that no complete response has cleared.
        suspects: usize,
    },
    /// Content was quarantined.
    Quarantined {
        /// The content and the calls that are refused.
        entry: Quarantined,
        /// The number of crashes one after the other; zero if a peer decided.
        crashes: usize,
    },
    /// Enough targets crashed under content, which is not quarantined nevertheless.
    Doubted(Doubt),
    /// A quarantine ended.
    Lifted {
        /// The content.
        content: ContentKey,
        /// Why it ended.
        cause: LiftCause,
    },
}

/// Names why a quarantine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum LiftCause {
    /// A call with the content got a complete response.
    #[display("complete-response")]
    CompleteResponse,
    /// Its time was over.
    #[display("expired")]
    Expired,
    /// A peer reported a complete response.
    #[display("reported")]
    Reported,
    /// An operator lifted it.
    #[display("operator")]
    Operator,
}
