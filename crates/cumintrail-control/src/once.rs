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

/// The delay after which a caller may retry a key whose call is in progress.
pub const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Counts milliseconds since the Unix epoch, for ages and deadlines of records but not their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// Returns the time since `earlier`, or zero if `earlier` is later than this time.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// Describes the use of an idempotency key, as stored in the platform's table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record<A> {
    /// The random id of the claim, which shows whose insert took effect after a lost response.
    pub claim_id: WriteId,
    /// The digest of the request, which reveals use of the key for another request.
    pub request_digest: Digest,
    /// When the claim was made.
    pub claimed_at: UnixMillis,
    /// When the claimant stops waiting for its target; a claim without a response is of unknown
    /// outcome from then on.
    pub response_deadline: UnixMillis,
    /// The state of the call.
    pub state: RecordState<A>,
}

/// Describes what is known of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordState<A> {
    /// The call may be running or have run.
    Claimed,
    /// The call did not run; the key may be claimed again.
    Released,
    /// The call ran and has this response.
    Answered(A),
    /// The call ran; its response is too old to be stored.
    Expired,
}

/// Describes what to do with a call under a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict<A> {
    /// The claim of this request holds: send the call.
    Run,
    /// No claim holds the key, or the call of its last claim did not run.
    Unclaimed,
    /// The call has run: send its stored response.
    Replay(A),
    /// Refuse the call.
    Refuse(Refusal),
}

/// Describes a request that carries an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyedRequest {
    /// The random id of the claim that this request makes.
    pub claim_id: WriteId,
    /// The digest of the request.
    pub request_digest: Digest,
    /// How long after the claim its record can be used.
    pub retention: Duration,
}

impl KeyedRequest {
    /// Compares this request with the record found under its key.
    ///
    /// The claim of another request is never taken over, however old: its daemon may be paused and
    /// send the call later.
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
            RecordState::Answered(response) => Verdict::Replay(response),
            RecordState::Claimed if now < found.response_deadline => {
                let refusal = Refusal::unknown(RefusalCode::InProgress);
                Verdict::Refuse(refusal.retry_after(IN_PROGRESS_RETRY_AFTER))
            }
            RecordState::Claimed => Verdict::Refuse(Refusal::unknown(RefusalCode::OutcomeUnknown)),
        }
    }
}
