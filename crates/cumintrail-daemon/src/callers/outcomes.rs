//! Records of how calls under callers' keys ended, retried while the platform is unreachable.

use std::time::Duration;

use actix_rt::time::{Instant, sleep};
use cumintrail_control::once::{KeyOutcome, Record, RecordState};
use cumintrail_types::WriteId;
use cumintrail_wire::record::{RecordedResponse, ResponseRecord, StoredResponse};
use rand::Rng;

use super::key_records::KeyRecords;
use crate::metric;
use crate::shared::PendingOutcome;
use crate::table::{NoResponse, WriteKind, WriteOutcome};

/// The largest response body that is stored in a table row; larger ones are stored as objects.
const MAX_ROW_BODY_BYTES: usize = 64 << 10;
/// The limit, per process, on response bodies that wait to be recorded; a response beyond it is
/// not recorded.
const MAX_PENDING_BYTES: usize = 64 << 20;
const OBJECT_RETRY_DELAY: Duration = Duration::from_secs(1);
const MAX_OBJECT_RETRY_DELAY: Duration = Duration::from_secs(8);
const READ_RETRY_DELAY: Duration = Duration::from_secs(2);
/// How long a release is retried; a claim that is absent from the table by then counts as never
/// written.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(30);

/// Tracks a claim that has been written or may have been written.
pub struct Claim {
    /// The record of the claim, in the state that was written last or is to be written next.
    pub record: Record<RecordedResponse>,
    /// The version of the row that holds the claim, or `None` while it is unknown.
    pub version: Option<u64>,
    /// Counts the claim as pending until its outcome is recorded.
    pub pending: PendingOutcome,
}

/// Writes the final state of a claim and retries writes that fail; an unknown outcome leaves the
/// claim as it is.
///
/// Each write requires the row version that was seen last, and rows are shrunk but never removed,
/// so that a delayed write cannot overwrite the claim of another request.
pub async fn record_outcome(
    records: KeyRecords,
    row: String,
    mut claim: Claim,
    outcome: KeyOutcome<ResponseRecord>,
) {
    claim.record.state = match outcome {
        KeyOutcome::Unknown => return,
        KeyOutcome::NotSent => RecordState::Released,
        KeyOutcome::Answered(response, bytes) => {
            match store_response(&records, &mut claim, response, bytes).await {
                Some(stored) => RecordState::Answered(stored),
                None => return,
            }
        }
    };
    let started = Instant::now();
    let mut kind = initial_write_kind(&claim);
    loop {
        let found = match claim.version {
            None => records.read(&row).await,
            Some(version) => match records.write(&row, version, claim.record.clone(), kind).await {
                Ok(WriteOutcome::Committed) => return index(&records, &row, &claim),
                Ok(WriteOutcome::Conflict(found)) => Ok(found),
                Ok(WriteOutcome::NotSent) | Err(NoResponse) => Err(NoResponse),
            },
        };
        match found {
            Ok(Some(read)) if read.record == claim.record => return index(&records, &row, &claim),
            Ok(Some(found)) if found.record.claim_id == claim.record.claim_id => {
                if claim.version.replace(found.version) == Some(found.version) {
                    kind = WriteKind::Retry;
                }
            }
            Ok(Some(_)) => return,
            Ok(None) | Err(NoResponse) if is_expired_release(&claim, started) => return,
            Ok(None) | Err(NoResponse) if claim.version.is_none() => {
                sleep(jittered(READ_RETRY_DELAY)).await;
            }
            Ok(None) | Err(NoResponse) => kind = WriteKind::Retry,
        }
    }
}

/// Adds the key to the index if its record has a response, so that the row is shrunk after expiry.
fn index(records: &KeyRecords, row: &str, claim: &Claim) {
    if let RecordState::Answered(response) = &claim.record.state {
        records.index_response(row, response);
    }
}

/// Returns the urgency of the first write: a release is urgent, since the caller's next request
/// under the key can run only after it.
fn initial_write_kind(claim: &Claim) -> WriteKind {
    match claim.record.state {
        RecordState::Released => WriteKind::Claim,
        RecordState::Claimed | RecordState::Answered(_) | RecordState::Expired => {
            WriteKind::Outcome
        }
    }
}

/// Returns whether a release has been retried for too long.
fn is_expired_release(claim: &Claim, started: Instant) -> bool {
    claim.record.state == RecordState::Released && started.elapsed() > RELEASE_TIMEOUT
}

/// Returns the response as the row is to store it, after writing a large body as an object.
///
/// Returns `None` if the response exceeds a size limit and is not recorded.
async fn store_response(
    records: &KeyRecords,
    claim: &mut Claim,
    response: ResponseRecord,
    bytes: usize,
) -> Option<RecordedResponse> {
    if !claim.pending.add_bytes(bytes, MAX_PENDING_BYTES) {
        return None;
    }
    if bytes <= MAX_ROW_BODY_BYTES {
        return Some(RecordedResponse::Inline(response));
    }
    if bytes > records.max_response_bytes() {
        return None;
    }
    let object: WriteId = claim.record.claim_id;
    let body = bytes::Bytes::from(response.body.clone());
    let stored = StoredResponse::new(object, &response, &body);
    drop(response);
    let mut delay = OBJECT_RETRY_DELAY;
    while records.objects().put(object, body.clone()).await.is_err() {
        metrics::counter!(metric::PLATFORM_ERRORS, "part" => "answers").increment(1);
        sleep(jittered(delay)).await;
        delay = (delay * 2).min(MAX_OBJECT_RETRY_DELAY);
    }
    Some(RecordedResponse::Stored(stored))
}

fn jittered(delay: Duration) -> Duration {
    delay.mul_f64(rand::rng().random_range(0.5..1.5))
}
