//! What an idempotency key demands before a call is sent and after it ended.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_control::once::{
    ClaimMachine, ClaimStep, KeyOutcome, KeyedRequest, Record, RecordState, UnixMillis, Verdict,
    VersionedRecord,
};
use cumintrail_types::WriteId;
use cumintrail_wire::record::{AnswerRecord, KeptAnswer};

use super::outcomes::{Claim, settle};
use super::records::{Records, unavailable};
use crate::clock;
use crate::shared::{PendingOutcome, Shared};
use crate::table::{Lost, Urgency, Written};

/// Calls with a key that one process may have open; more are refused before they run.
const MAX_OPEN: usize = 4_096;

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
            Self::Claimed(claim) => {
                let verdict = claim.claim().await;
                claim.records.objects().complete(verdict).await
            }
        }
    }

    /// Records how the call ended; a record that cannot be written now is written later.
    pub async fn ended(self, end: KeyOutcome<AnswerRecord>) {
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

impl TableClaim {
    /// Looks at the key's row before the call is queued, so that repeats need no target.
    pub async fn look(
        records: Records,
        shared: Arc<Shared>,
        row: String,
        request: KeyedRequest,
        wait: Duration,
    ) -> Result<Self, Verdict<AnswerRecord>> {
        let found = records.read(&row).await;
        let found = found.map_err(|Lost| Verdict::Refuse(unavailable()))?;
        let seen = match found {
            None => 0,
            Some(VersionedRecord { version, record }) => {
                match request.check_record(clock::wall_millis(), record) {
                    Verdict::Unclaimed => version,
                    verdict => return Err(records.objects().complete(verdict).await),
                }
            }
        };
        Ok(Self { records, shared, row, request, seen, wait, held: None })
    }

    /// Claims the key, or finds that this call already has.
    async fn claim(&mut self) -> Verdict<KeptAnswer> {
        if self.held.as_ref().is_some_and(|claim| claim.version.is_some()) {
            return Verdict::Run;
        }
        if self.shared.pending_outcomes() >= MAX_OPEN {
            return Verdict::Refuse(unavailable());
        }
        let now = clock::wall_millis();
        let record = Record {
            claim_id: self.request.claim_id,
            request_digest: self.request.request_digest,
            claimed_at: now,
            response_deadline: UnixMillis(now.0 + self.wait.as_millis() as u64),
            state: RecordState::Claimed,
        };
        let pending = PendingOutcome::begin(&self.shared);
        self.held = Some(Claim { record: record.clone(), version: None, pending });
        let mut claiming = ClaimMachine::new(self.request, self.seen);
        let mut sent = false;
        let mut step = claiming.start();
        loop {
            step = match step {
                ClaimStep::Insert(version) => {
                    let written =
                        self.records.write(&self.row, version, record.clone(), Urgency::Claim);
                    let written = written.await;
                    sent |= written != Ok(Written::NotSent);
                    match written {
                        Ok(Written::NotSent) => ClaimStep::Unavailable,
                        Ok(Written::Done) => claiming.handle_insert_response(now, None),
                        Ok(Written::Conflict(Some(found))) => {
                            claiming.handle_insert_response(now, Some(found))
                        }
                        // Also after an absent row where one was seen: look again.
                        Ok(Written::Conflict(None)) | Err(Lost) => claiming.handle_insert_lost(),
                    }
                }
                ClaimStep::Read => match self.records.read(&self.row).await {
                    Ok(found) => claiming.handle_read_response(now, found),
                    Err(Lost) => claiming.handle_read_lost(),
                },
                ClaimStep::Run(version) => {
                    if let Some(claim) = &mut self.held {
                        claim.version = Some(version);
                    }
                    return Verdict::Run;
                }
                ClaimStep::Stop(verdict) => {
                    self.held = None;
                    return verdict;
                }
                ClaimStep::Unavailable => {
                    if !sent {
                        self.held = None;
                    }
                    return Verdict::Refuse(unavailable());
                }
            };
        }
    }

    fn end(self, end: KeyOutcome<AnswerRecord>) {
        if let Some(claim) = self.held {
            actix_rt::spawn(settle(self.records, self.row, claim, end));
        }
    }
}
