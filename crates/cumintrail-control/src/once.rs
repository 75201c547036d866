//! At-most-once execution of keyed calls; docs/DESIGN.md, "At most once".

mod claim;
mod operation_key;
mod retention;
mod used_keys;

use std::time::Duration;

use cumintrail_types::{Digest, Refusal, RefusalCode, WriteId};

pub use claim::{Claiming, Found, Step};
pub use operation_key::{KeyRing, OperationKey};
pub use retention::{Hour, SEGMENT_KEYS, SHARDS, portion};
pub use used_keys::{End, UsedKeys};

/// The wait that is named to a caller whose key is in progress.
pub const IN_PROGRESS_RETRY: Duration = Duration::from_secs(1);

/// Counts milliseconds since the Unix epoch; only ages of records are told from it, never order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WallMillis(pub u64);

impl WallMillis {
    /// Returns the time since `earlier`, or zero if that lies ahead.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// Holds the record of an idempotency key in the platform's table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record<A> {
    /// The random id of the claim, which settles a lost answer to the insert.
    pub claim: WriteId,
    /// The digest of the request, to tell reuse of the key apart.
    pub request: Digest,
    /// When the claim was made.
    pub claimed: WallMillis,
    /// When the claimant stops waiting for its target; later the outcome is unknown.
    pub answer_by: WallMillis,
    /// What is known of the call.
    pub state: RecordState<A>,
}

/// Tells what is known of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordState<A> {
    /// It may run or have run.
    Claimed,
    /// No byte of it was sent; the key may be claimed anew.
    Released,
    /// It ran and was answered.
    Answered(A),
    /// It ran, was answered, and is too old for its answer to be kept.
    Expired,
}

/// Tells what to do with a keyed call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict<A> {
    /// The claim is ours: send the call.
    Run,
    /// Nobody holds the key, or its holder sent nothing.
    Free,
    /// The call was answered before: repeat the answer.
    Replay(A),
    /// Refuse the call.
    Refuse(Refusal),
}

/// Describes a request that shows an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyedRequest {
    /// The random id of the claim that this request makes.
    pub claim: WriteId,
    /// The digest of the request.
    pub digest: Digest,
    /// How long records count.
    pub life: Duration,
}

impl KeyedRequest {
    /// Compares this request with the record found under its key.
    ///
    /// A record of another claim is never taken over, however old: its holder may be paused.
    pub fn judge<A>(&self, now: WallMillis, found: Record<A>) -> Verdict<A> {
        match found.state {
            RecordState::Claimed if found.claim == self.claim => Verdict::Run,
            RecordState::Released => Verdict::Free,
            RecordState::Expired => Verdict::Refuse(Refusal::unknown(RefusalCode::KeyExpired)),
            _ if found.request != self.digest => {
                Verdict::Refuse(Refusal::not_run(RefusalCode::KeyReused))
            }
            _ if now.since(found.claimed) >= self.life => {
                Verdict::Refuse(Refusal::unknown(RefusalCode::KeyExpired))
            }
            RecordState::Answered(answer) => Verdict::Replay(answer),
            RecordState::Claimed if now < found.answer_by => {
                let refusal = Refusal::unknown(RefusalCode::InProgress);
                Verdict::Refuse(refusal.retry_after(IN_PROGRESS_RETRY))
            }
            RecordState::Claimed => Verdict::Refuse(Refusal::unknown(RefusalCode::OutcomeUnknown)),
        }
    }
}
