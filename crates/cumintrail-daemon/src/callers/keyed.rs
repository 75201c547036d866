//! What an idempotency key demands before a call is sent and after it ended.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_control::once::{
    Claiming, End, Found, KeyedRequest, Record, RecordState, Step, Verdict, WallMillis,
};
use cumintrail_types::{Refusal, RefusalCode, WriteId};
use cumintrail_wire::record::AnswerRecord;

use super::records::{Lost, Records, Written};
use crate::clock;
use crate::metric;
use crate::shared::{PendingOutcome, Shared};

/// Answers with larger bodies are not recorded; a repeat learns that the outcome is unknown.
const MAX_KEPT_BYTES: usize = 64 << 10;
const PLATFORM_RETRY: Duration = Duration::from_secs(2);
const SETTLE_PAUSE: Duration = Duration::from_millis(100);
const SETTLE_PAUSE_MAX: Duration = Duration::from_secs(2);
/// A release whose claim does not show up for so long has nothing to release.
const RELEASE_LIMIT: Duration = Duration::from_secs(30);

/// Guards one call with its key, if it has one.
pub enum Keyed {
    /// The call has no key: it is sent at most once and never repeated.
    Unkeyed,
    /// The caller chose the key: its claim is a row of the platform's table.
    Claimed(Box<TableClaim>),
    /// This process issued the key and alone remembers its use.
    Issued(IssuedUse),
}

impl Keyed {
    /// Tells whether the call has a key, so that the caller may repeat it.
    pub const fn is_keyed(&self) -> bool {
        !matches!(self, Self::Unkeyed)
    }

    /// Makes sure, right before the first byte, that no other request runs under the key.
    pub async fn before_send(&mut self) -> Verdict<AnswerRecord> {
        match self {
            Self::Unkeyed | Self::Issued(_) => Verdict::Run,
            Self::Claimed(claim) => claim.claim().await,
        }
    }

    /// Records how the call ended; a record that cannot be written now is written later.
    pub async fn ended(self, end: End<AnswerRecord>) {
        match self {
            Self::Unkeyed => {}
            Self::Claimed(claim) => claim.end(end),
            Self::Issued(used) => used.shared.control.end_key(used.id, end).await,
        }
    }
}

/// Uses a key that this process issued.
pub struct IssuedUse {
    /// What the daemon's threads share.
    pub shared: Arc<Shared>,
    /// The key's id.
    pub id: WriteId,
}

/// Claims a caller's key in the platform's table.
pub struct TableClaim {
    records: Records,
    shared: Arc<Shared>,
    row: String,
    request: KeyedRequest,
    seen: u64,
    wait: Duration,
    held: Option<Claim>,
}

/// Holds a claim that was written, or may have been.
struct Claim {
    record: Record<AnswerRecord>,
    version: Option<u64>,
    _pending: PendingOutcome,
}

impl TableClaim {
    /// Looks at the key's row before the call is queued, so that repeats need no target.
    pub async fn look(
        records: Records,
        shared: Arc<Shared>,
        row: String,
        request: KeyedRequest,
        wait: Duration,
    ) -> Result<Self, Verdict<AnswerRecord>> {
        let found = records.read(&row).await.map_err(|Lost| unavailable())?;
        let seen = match found {
            None => 0,
            Some(Found { version, record }) => match request.judge(clock::wall_millis(), record) {
                Verdict::Free => version,
                verdict => return Err(verdict),
            },
        };
        Ok(Self { records, shared, row, request, seen, wait, held: None })
    }

    /// Claims the key, or finds that this call already has.
    async fn claim(&mut self) -> Verdict<AnswerRecord> {
        if self.held.as_ref().is_some_and(|claim| claim.version.is_some()) {
            return Verdict::Run;
        }
        let now = clock::wall_millis();
        let record = Record {
            claim: self.request.claim,
            request: self.request.digest,
            claimed: now,
            answer_by: WallMillis(now.0 + self.wait.as_millis() as u64),
            state: RecordState::Claimed,
        };
        let pending = PendingOutcome::begin(&self.shared);
        self.held = Some(Claim { record: record.clone(), version: None, _pending: pending });
        let mut claiming = Claiming::new(self.request, self.seen);
        let mut step = claiming.start();
        loop {
            step = match step {
                Step::Insert(version) => {
                    match self.records.write(&self.row, version, record.clone()).await {
                        Ok(Written::Done) => claiming.inserted(now, None),
                        Ok(Written::Conflict(Some(found))) => claiming.inserted(now, Some(found)),
                        // Also after an absent row where one was seen: look again.
                        Ok(Written::Conflict(None)) | Err(Lost) => claiming.insert_lost(),
                    }
                }
                Step::Read => match self.records.read(&self.row).await {
                    Ok(found) => claiming.read(now, found),
                    Err(Lost) => claiming.read_lost(),
                },
                Step::Run(version) => {
                    if let Some(claim) = &mut self.held {
                        claim.version = Some(version);
                    }
                    return Verdict::Run;
                }
                Step::Stop(verdict) => {
                    self.held = None;
                    return verdict;
                }
                Step::Unavailable => return unavailable(),
            };
        }
    }

    fn end(self, end: End<AnswerRecord>) {
        let Some(mut claim) = self.held else {
            return;
        };
        claim.record.state = match end {
            End::Unknown => return,
            End::Answered(_, bytes) if bytes > MAX_KEPT_BYTES => return,
            End::Answered(answer, _) => RecordState::Answered(answer),
            End::NotSent => RecordState::Released,
        };
        actix_rt::spawn(settle(self.records, self.row, claim));
    }
}

/// Writes the final state of a claim, again and again while the table does not answer.
///
/// All writes demand the version that was seen and rows are never removed, so a delayed write
/// never meets the claim of another.
async fn settle(records: Records, row: String, mut claim: Claim) {
    let released = claim.record.state == RecordState::Released;
    let started = actix_rt::time::Instant::now();
    let mut pause = SETTLE_PAUSE;
    loop {
        let found = match claim.version {
            None => records.read(&row).await,
            Some(version) => match records.write(&row, version, claim.record.clone()).await {
                Ok(Written::Done) => return,
                Ok(Written::Conflict(found)) => Ok(found),
                Err(Lost) => Err(Lost),
            },
        };
        match found {
            Ok(Some(found)) if found.record == claim.record => return,
            Ok(Some(found)) if found.record.claim == claim.record.claim => {
                let first_look = claim.version.replace(found.version) != Some(found.version);
                if first_look {
                    continue;
                }
            }
            Ok(Some(_)) => return,
            Ok(None) | Err(Lost) if released && started.elapsed() > RELEASE_LIMIT => return,
            Ok(None) => {}
            Err(Lost) => metrics::counter!(metric::PLATFORM_ERRORS).increment(1),
        }
        actix_rt::time::sleep(pause).await;
        pause = (pause * 2).min(SETTLE_PAUSE_MAX);
    }
}

fn unavailable() -> Verdict<AnswerRecord> {
    let refusal = Refusal::not_run(RefusalCode::PlatformUnavailable);
    Verdict::Refuse(refusal.retry_after(PLATFORM_RETRY))
}
