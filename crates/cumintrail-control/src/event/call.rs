//! What events and actions state about calls and their attempts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::TargetKind;
use cumintrail_types::{
    AccountKey, AttemptNumber, BlockKey, CallClass, CallKey, Moment, Sealed, StoreKey, TargetKey,
    Tokens, Urgency, WeightVersion,
};
use derive_more::Display;
use smallvec::SmallVec;

use crate::announcement::Replacement;
use crate::home_regions::AllowedRegions;
use crate::parts::PartPlans;
use crate::quarantine::CallContent;
use crate::stream_origins::{OriginEvidence, StreamRequest};

/// Describes a call that arrived.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The call.
    pub call: CallKey,
    /// The client account that the call counts against.
    pub account: AccountKey,
    /// The class of the call, which determines whether it may be repeated.
    pub class: CallClass,
    /// The model or plain service that it needs.
    pub kind: TargetKind,
    /// The weight version that `blocks` were computed for.
    pub version: WeightVersion,
    /// The keys of the prompt's full blocks or of its parts, in order.
    pub blocks: Arc<[BlockKey]>,
    /// The length of the prompt.
    pub prompt: Tokens,
    /// The requested limit of output tokens.
    pub max_output: Tokens,
    /// When the call is refused if it has not completed.
    pub deadline: Moment,
    /// The options of its route.
    pub options: RouteOptions,
}

/// Collects what a relayed call adds to its arrival; the default sets no limits.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteOptions {
    /// Its priority class.
    pub urgency: Urgency,
    /// The limit of attempts that may have run; `None` for the daemon's own limit of attempts.
    pub max_attempts: Option<u8>,
    /// The cache salt of its parts; `None` for a prompt that is not given as parts.
    pub cache_salt: Option<BlockKey>,
    /// The prompt tokens up to the end of each block; empty for blocks of the declared length.
    pub block_ends: Arc<[Tokens]>,
    /// The objective for the time to the first token; `None` if the route sets none.
    pub first_token_objective: Option<Duration>,
    /// The resumable stream that the call begins or continues.
    pub stream: Option<StreamRequest>,
    /// The content under which a target may crash.
    pub content: CallContent,
    /// The regions to which the call is restricted; `None` for no restriction.
    pub allowed_regions: Option<AllowedRegions>,
    /// The size of its body; zero if the caller did not give it.
    pub body_bytes: u32,
    /// Whether a peer sent the call, so that no further peer gets it.
    pub is_detour: bool,
}

impl RouteOptions {
    /// Returns the length of all parts but the last, which are those shared with other prompts.
    pub fn shared_tokens(&self) -> Tokens {
        self.block_ends.len().checked_sub(2).map_or(Tokens(0), |last| self.block_ends[last])
    }
}

/// Describes one attempt to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// The call.
    pub call: CallKey,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// Where to run it.
    pub target: TargetKey,
    /// The weight version that the call is pinned to.
    pub version: WeightVersion,
    /// The announcement that replaced the target's version, as of the dispatch.
    pub replacement: Option<Replacement>,
    /// What to import first.
    pub plan: FetchPlan,
    /// The expected time from the dispatch to the first token.
    pub first_token: Duration,
    /// The parts of the prompt to read from managed stores and to save there.
    pub parts: PartPlans,
    /// Whether the target has a limit of requests, which a response without one ends.
    pub is_limited: bool,
    /// Whether the process at the other end of the connection must be identified before the call is
    /// sent.
    pub must_identify: bool,
    /// The evidence for the software version that the call goes on at.
    pub origin: OriginEvidence,
}

/// Describes an attempt that a peer makes for a daemon that reaches no target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Detour {
    /// The call.
    pub call: CallKey,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The address on which the peer handles calls of other daemons.
    pub peer: SocketAddr,
}

/// Why an attempt is ended before its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum AbandonReason {
    /// The failure domain of its target is not reached.
    #[display("domain-unreached")]
    DomainUnreached,
    /// The call has not begun, and the weights of its target were replaced too long ago.
    #[display("weights-replaced")]
    WeightsReplaced,
    /// The call was not sent, and its target may get no calls any more.
    #[display("target-withdrawn")]
    TargetWithdrawn,
    /// The call was not sent, and its content is in quarantine.
    #[display("content-quarantined")]
    ContentQuarantined,
}

/// Lists the stored blocks to import before an attempt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FetchPlan {
    /// The blocks, in prompt order.
    pub fetches: SmallVec<[Fetch; 4]>,
    /// The time after which blocks that are not imported yet are recomputed.
    pub timeout: Duration,
}

/// Names one block to import.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fetch {
    /// The store to read from.
    pub store: StoreKey,
    /// The exact write to read.
    pub sealed: Sealed,
}

/// Describes how a fetch ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchOutcome {
    /// The engine staged the block, and its content digest matches the seal.
    Imported,
    /// The store no longer has that write of the block.
    Missing,
    /// The bytes do not match the seal.
    Mismatch,
    /// The fetch failed or ran out of time.
    Failed,
}

/// Describes how an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte of the call left this daemon.
    NotSent,
    /// No connection could be opened, so that no byte of the call left this daemon.
    NoConnection,
    /// The process at the target's address is not known to be the listed one, so that no byte of the
    /// call left this daemon.
    Unidentified {
        /// Whether it is known to be another one.
        is_replaced: bool,
    },
    /// The response is complete.
    Completed(Usage),
    /// The target refused the call and reported that it did not run it.
    RefusedByTarget {
        /// Whether it refuses because it is leaving.
        leaving: bool,
    },
    /// The attempt failed after bytes were sent.
    Failed {
        /// Whether a further attempt can continue what the caller has received so far; true if
        /// that is nothing.
        can_continue: bool,
    },
    /// This daemon ended the attempt because the call would have been sent or have begun too late.
    Abandoned {
        /// Whether bytes of the call may have left this daemon.
        was_sent: bool,
        /// As in [`AttemptOutcome::Failed`].
        can_continue: bool,
    },
    /// The traffic thread responded to the call itself, so no further attempt is needed.
    RespondedLocally,
}

/// Describes what the end of a response shows about its content, if it is not plainly complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseEnd {
    /// The connection broke before the end.
    Broken,
    /// The response is no success, or a crash would have ended it alike.
    Inconclusive,
}

/// Counts the tokens of a call, by how their state was obtained.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Prompt tokens whose state was cached in the engine's memory.
    pub cached: Tokens,
    /// Prompt tokens whose state was imported for this call.
    pub imported: Tokens,
    /// Output tokens.
    pub output: Tokens,
}

impl Usage {
    /// Returns the prompt tokens that were neither cached nor imported.
    pub const fn recomputed(&self) -> Tokens {
        self.prompt.saturating_sub(self.cached).saturating_sub(self.imported)
    }
}
