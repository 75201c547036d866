//! At-most-once execution of keyed calls; docs/DESIGN.md, "At most once".

mod claim;
mod operation_key;
mod retention;
mod used_keys;

use std::time::Duration;

use cumintrail_types::{Digest, Refusal, RefusalCode, WriteId};

pub use claim::{ClaimMachine, ClaimStep, VersionedRecord};
pub use operation_key::{OperationKey, OperationKeySigner};
pub use retention::{Hour, MAX_SEGMENT_KEYS, SHARDS, sweep_range};
pub use used_keys::{KeyOutcome, UsedKeys};

/// The wait that is named to a caller whose key is in progress.
pub const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Counts milliseconds since the Unix epoch; only ages of records are told from it, never order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// Returns the time since `earlier`, or zero if that lies ahead.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// Holds the record of an idempotency key in the platform's table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record<A> {
    /// The random id of the claim, which settles a lost answer to the insert.
    pub claim_id: WriteId,
    /// The digest of the request, to tell reuse of the key apart.
    pub request_digest: Digest,
    /// When the claim was made.
    pub claimed_at: UnixMillis,
    /// When the claimant stops waiting for its target; later the outcome is unknown.
    pub response_deadline: UnixMillis,
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
    Unclaimed,
    /// The call was answered before: repeat the answer.
    Replay(A),
    /// Refuse the call.
    Refuse(Refusal),
}

/// Describes a request that shows an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyedRequest {
    /// The random id of the claim that this request makes.
    pub claim_id: WriteId,
    /// The digest of the request.
    pub request_digest: Digest,
    /// How long records count.
    pub retention: Duration,
}

impl KeyedRequest {
    /// Compares this request with the record found under its key.
    ///
    /// A record of another claim is never taken over, however old: its holder may be paused.
    pub fn check_record<A>(&self, now: UnixMillis, found: Record<A>) -> Verdict<A> {
        match found.state {
            RecordState::Claimed if found.claim_id == self.claim_id => Verdict::Run,
            RecordState::Released => Verdict::Unclaimed,
            RecordState::Expired => Verdict::Refuse(Refusal::unknown(RefusalCode::KeyExpired)),
            _ if found.request_digest != self.request_digest => {
                Verdict::Refuse(Refusal::not_run(RefusalCode::KeyReused))
            }
            _ if now.since(found.claimed_at) >= self.retention => {
                Verdict::Refuse(Refusal::unknown(RefusalCode::KeyExpired))
            }
            RecordState::Answered(answer) => Verdict::Replay(answer),
            RecordState::Claimed if now < found.response_deadline => {
                let refusal = Refusal::unknown(RefusalCode::InProgress);
                Verdict::Refuse(refusal.retry_after(IN_PROGRESS_RETRY_AFTER))
            }
            RecordState::Claimed => Verdict::Refuse(Refusal::unknown(RefusalCode::OutcomeUnknown)),
        }
    }
}
