//! Claims of idempotency keys before calls are sent, and records of how these calls ended.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_control::once::{
    ClaimMachine, ClaimStep, KeyOutcome, KeyedRequest, Record, RecordState, UnixMillis, Verdict,
    VersionedRecord,
};
use cumintrail_types::WriteId;
use cumintrail_wire::record::{RecordedResponse, ResponseRecord};

use super::key_records::{KeyRecords, platform_unavailable};
use super::outcomes::{Claim, record_outcome};
use crate::clock;
use crate::shared::{PendingOutcome, Shared};
use crate::table::{NoResponse, WriteKind, WriteOutcome};

/// The limit, per process, on claims with a pending outcome; further calls are refused before they
/// run.
const MAX_OPEN_CLAIMS: usize = 4_096;

/// Ensures that a call with an idempotency key runs at most once under this key.
pub enum KeyGuard {
    /// The call needs no key: it carries none, or it is repeatable anyway.
    Unkeyed,
    /// The caller chose the key, whose claim is a row of the platform's table.
    Claimed(Box<TableClaim>),
    /// This process issued the key and records its use in memory only.
    Issued(IssuedKey),
}

impl KeyGuard {
    /// Returns whether the call runs under a key, so that the caller may safely repeat it.
    pub const fn has_key(&self) -> bool {
        !matches!(self, Self::Unkeyed)
    }

    /// Claims the key before an attempt is sent, unless an earlier attempt has claimed it.
    ///
    /// The attempt may be sent only if the verdict is [`Verdict::Run`].
    pub async fn before_send(&mut self) -> Verdict<ResponseRecord> {
        match self {
            Self::Unkeyed | Self::Issued(_) => Verdict::Run,
            Self::Claimed(claim) => {
                let verdict = claim.claim().await;
                claim.records.objects().complete(verdict).await
            }
        }
    }

    /// Records how the call ended; a write to the table that fails is retried in the background.
    pub async fn record_outcome(self, outcome: KeyOutcome<ResponseRecord>) {
        match self {
            Self::Unkeyed => {}
            Self::Claimed(claim) => claim.record_outcome(outcome),
            Self::Issued(key) => key.shared.control.end_key(key.id, outcome).await,
        }
    }
}

/// Identifies a key that this process issued.
pub struct IssuedKey {
    /// The state that all threads of the daemon share.
    pub shared: Arc<Shared>,
    /// The key's id.
    pub id: WriteId,
}

/// Claims a caller's key in the platform's table.
pub struct TableClaim {
    records: KeyRecords,
    shared: Arc<Shared>,
    row: String,
    request: KeyedRequest,
    seen_version: u64,
    response_timeout: Duration,
    claim: Option<Claim>,
}

impl TableClaim {
    /// Reads the key's row before the call is queued, so that a repeated call needs no target.
    ///
    /// Returns the verdict as an error if the key cannot be claimed.
    pub async fn check_row(
        records: KeyRecords,
        shared: Arc<Shared>,
        row: String,
        request: KeyedRequest,
        response_timeout: Duration,
    ) -> Result<Self, Verdict<ResponseRecord>> {
        let found = records.read(&row).await;
        let found = found.map_err(|NoResponse| Verdict::Refuse(platform_unavailable()))?;
        let seen_version = match found {
            None => 0,
            Some(VersionedRecord { version, record }) => {
                match request.check_record(clock::unix_millis(), record) {
                    Verdict::Unclaimed => version,
                    verdict => return Err(records.objects().complete(verdict).await),
                }
            }
        };
        Ok(Self { records, shared, row, request, seen_version, response_timeout, claim: None })
    }

    /// Claims the key, unless this call already holds the claim.
    async fn claim(&mut self) -> Verdict<RecordedResponse> {
        if self.claim.as_ref().is_some_and(|claim| claim.version.is_some()) {
            return Verdict::Run;
        }
        if self.shared.pending_outcomes() >= MAX_OPEN_CLAIMS {
            return Verdict::Refuse(platform_unavailable());
        }
        let now = clock::unix_millis();
        let record = Record {
            claim_id: self.request.claim_id,
            request_digest: self.request.request_digest,
            claimed_at: now,
            response_deadline: UnixMillis(now.0 + self.response_timeout.as_millis() as u64),
            state: RecordState::Claimed,
        };
        let pending = PendingOutcome::begin(&self.shared);
        self.claim = Some(Claim { record: record.clone(), version: None, pending });
        let mut machine = ClaimMachine::new(self.request, self.seen_version);
        let mut sent = false;
        let mut step = machine.start();
        loop {
            step = match step {
                ClaimStep::Insert(version) => {
                    let written =
                        self.records.write(&self.row, version, record.clone(), WriteKind::Claim);
                    let written = written.await;
                    sent |= written != Ok(WriteOutcome::NotSent);
                    match written {
                        Ok(WriteOutcome::NotSent) => ClaimStep::Unavailable,
                        Ok(WriteOutcome::Committed) => machine.handle_insert_response(now, None),
                        Ok(WriteOutcome::Conflict(Some(found))) => {
                            machine.handle_insert_response(now, Some(found))
                        }
                        // Read the row again: the write may have taken effect, or the row that was
                        // seen before is absent now.
                        Ok(WriteOutcome::Conflict(None)) | Err(NoResponse) => {
                            machine.handle_insert_lost()
                        }
                    }
                }
                ClaimStep::Read => match self.records.read(&self.row).await {
                    Ok(found) => machine.handle_read_response(now, found),
                    Err(NoResponse) => machine.handle_read_lost(),
                },
                ClaimStep::Run(version) => {
                    if let Some(claim) = &mut self.claim {
                        claim.version = Some(version);
                    }
                    return Verdict::Run;
                }
                ClaimStep::Stop(verdict) => {
                    self.claim = None;
                    return verdict;
                }
                ClaimStep::Unavailable => {
                    if !sent {
                        self.claim = None;
                    }
                    return Verdict::Refuse(platform_unavailable());
                }
            };
        }
    }

    fn record_outcome(self, outcome: KeyOutcome<ResponseRecord>) {
        if let Some(claim) = self.claim {
            actix_rt::spawn(record_outcome(self.records, self.row, claim, outcome));
        }
    }
}
