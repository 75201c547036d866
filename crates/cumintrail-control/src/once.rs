//! At-most-once execution of keyed calls; docs/DESIGN.md, "At most once".

use cumintrail_types::{Digest, RefusalCode, WriteId};

/// Holds the record of an idempotency key in the platform's table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record<A> {
    /// The random id of the claim, which settles a lost answer to the insert.
    pub claim: WriteId,
    /// The digest of the request, to tell reuse of the key apart.
    pub request: Digest,
    /// The answer, once the call is known to have ended.
    pub outcome: Option<A>,
}

/// Tells what to do with a keyed call after its claim was read back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict<A> {
    /// The claim is ours: send the call.
    Run,
    /// The call was answered before: repeat the answer.
    Replay(A),
    /// Refuse the call.
    Refuse(RefusalCode),
}

/// Compares the record found in the table with our own claim.
pub fn settle<A>(own: WriteId, request: Digest, found: Record<A>) -> Verdict<A> {
    match found.outcome {
        _ if found.request != request => Verdict::Refuse(RefusalCode::KeyReused),
        Some(answer) => Verdict::Replay(answer),
        None if found.claim == own => Verdict::Run,
        None => Verdict::Refuse(RefusalCode::InProgress),
    }
}
