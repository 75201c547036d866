//! Records how calls under callers' keys ended, again and again while the platform is away.

use std::time::Duration;

use actix_rt::time::{Instant, sleep};
use cumintrail_control::once::{KeyOutcome, Record, RecordState};
use cumintrail_types::WriteId;
use cumintrail_wire::record::{AnswerRecord, KeptAnswer, StoredAnswer};
use rand::Rng;

use super::records::Records;
use crate::metric;
use crate::shared::PendingOutcome;
use crate::table::{Lost, Urgency, Written};

/// The body of an answer that still fits a row; larger ones become objects.
const MAX_ROW_BODY_BYTES: usize = 64 << 10;
/// Bodies that wait to be recorded, per process; an answer above it is not recorded.
const MAX_PENDING_BYTES: usize = 64 << 20;
const OBJECT_PAUSE: Duration = Duration::from_secs(1);
const OBJECT_PAUSE_MAX: Duration = Duration::from_secs(8);
const READ_PAUSE: Duration = Duration::from_secs(2);
/// A release whose claim does not show up for so long has nothing to release.
const RELEASE_LIMIT: Duration = Duration::from_secs(30);

/// Holds a claim that was written, or may have been.
pub struct Claim {
    /// The record as it was written.
    pub record: Record<KeptAnswer>,
    /// The version of its row, once that is known.
    pub version: Option<u64>,
    /// Counts the claim until its outcome is recorded.
    pub pending: PendingOutcome,
}

/// Writes the final state of a claim.
///
/// All writes demand the version that was seen and rows are never removed, only shrunk, so a delayed write
/// never meets the claim of another.
pub async fn settle(
    records: Records,
    row: String,
    mut claim: Claim,
    end: KeyOutcome<AnswerRecord>,
) {
    claim.record.state = match end {
        KeyOutcome::Unknown => return,
        KeyOutcome::NotSent => RecordState::Released,
        KeyOutcome::Answered(answer, bytes) => {
            match keep(&records, &mut claim, answer, bytes).await {
                Some(kept) => RecordState::Answered(kept),
                None => return,
            }
        }
    };
    let started = Instant::now();
    let mut urgency = first_urgency(&claim);
    loop {
        let found = match claim.version {
            None => records.read(&row).await,
            Some(version) => {
                match records.write(&row, version, claim.record.clone(), urgency).await {
                    Ok(Written::Done) => return note(&records, &row, &claim),
                    Ok(Written::Conflict(found)) => Ok(found),
                    Ok(Written::NotSent) | Err(Lost) => Err(Lost),
                }
            }
        };
        match found {
            Ok(Some(found)) if found.record == claim.record => return note(&records, &row, &claim),
            Ok(Some(found)) if found.record.claim_id == claim.record.claim_id => {
                if claim.version.replace(found.version) == Some(found.version) {
                    urgency = Urgency::Again;
                }
            }
            Ok(Some(_)) => return,
            Ok(None) | Err(Lost) if is_void(&claim, started) => return,
            Ok(None) | Err(Lost) if claim.version.is_none() => {
                sleep(jittered(READ_PAUSE)).await;
            }
            Ok(None) | Err(Lost) => urgency = Urgency::Again,
        }
    }
}

/// Has the record shrunk once it has expired, if it holds an answer.
fn note(records: &Records, row: &str, claim: &Claim) {
    if let RecordState::Answered(answer) = &claim.record.state {
        records.note_answered(row, answer);
    }
}

/// Tells how soon the final state is written: a release lets the caller's next request run.
fn first_urgency(claim: &Claim) -> Urgency {
    match claim.record.state {
        RecordState::Released => Urgency::Claim,
        RecordState::Claimed | RecordState::Answered(_) | RecordState::Expired => Urgency::Outcome,
    }
}

/// Tells whether a release has nothing to release.
fn is_void(claim: &Claim, started: Instant) -> bool {
    claim.record.state == RecordState::Released && started.elapsed() > RELEASE_LIMIT
}

/// Writes a large body as an object, before the row that points at it.
async fn keep(
    records: &Records,
    claim: &mut Claim,
    answer: AnswerRecord,
    bytes: usize,
) -> Option<KeptAnswer> {
    if !claim.pending.hold(bytes, MAX_PENDING_BYTES) {
        return None;
    }
    if bytes <= MAX_ROW_BODY_BYTES {
        return Some(KeptAnswer::Whole(answer));
    }
    if bytes > records.max_answer_bytes() {
        return None;
    }
    let object: WriteId = claim.record.claim_id;
    let body = bytes::Bytes::from(answer.body.clone());
    let stored = StoredAnswer::new(object, &answer, &body);
    drop(answer);
    let mut pause = OBJECT_PAUSE;
    while records.objects().put(object, body.clone()).await.is_err() {
        metrics::counter!(metric::PLATFORM_ERRORS, "part" => "answers").increment(1);
        sleep(jittered(pause)).await;
        pause = (pause * 2).min(OBJECT_PAUSE_MAX);
    }
    Some(KeptAnswer::Stored(stored))
}

fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.5))
}
