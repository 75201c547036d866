//! Exchanges with the table, limited by a timeout and a circuit breaker.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_client::{ClientError, HttpPlatform};
use cumintrail_control::once::VersionedRecord;
use cumintrail_wire::platform::Row;
use cumintrail_wire::record::{ClaimRecord, RecordedResponse};

use crate::metric;
use crate::shared::Shared;

/// Timeout of one exchange, after which the table counts as unreachable.
pub const TABLE_TIMEOUT: Duration = Duration::from_millis(750);

/// Reports that no usable response arrived; a write may or may not have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoResponse;

/// Reports an exchange without a usable response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableError {
    /// The request was not sent, since the circuit breaker is open.
    NotSent,
    /// The request may have taken effect.
    NoResponse,
}

/// Describes the outcome of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Committed,
    /// The row has another version than required, or is absent (`None`).
    Conflict(Option<VersionedRecord<RecordedResponse>>),
    /// The write was not sent, since the circuit breaker is open or the write waited too long.
    NotSent,
}

/// Exchanges messages with the table from one thread.
#[derive(Clone)]
pub struct TableClient {
    /// The client of the current thread.
    pub platform: Rc<HttpPlatform>,
    /// The state that the daemon's threads share.
    pub shared: Arc<Shared>,
}

impl TableClient {
    /// Opens a client for the current thread.
    pub fn open(shared: Arc<Shared>) -> Self {
        let s = &shared.settings;
        let platform = Rc::new(HttpPlatform::open(s.table, s.objects, s.vm_list));
        Self { platform, shared }
    }

    /// Runs an exchange with a timeout, unless the circuit breaker refuses it.
    pub async fn exchange<T>(
        &self,
        exchange: impl Future<Output = Result<T, ClientError>>,
    ) -> Result<T, TableError> {
        let breaker = &self.shared.table_breaker;
        let permit = breaker.try_acquire(self.shared.now()).ok_or(TableError::NotSent)?;
        let result = match actix_rt::time::timeout(TABLE_TIMEOUT, exchange).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(_)) | Err(_) => Err(TableError::NoResponse),
        };
        permit.record(self.shared.now(), result.is_ok());
        if result.is_err() {
            metrics::counter!(metric::PLATFORM_ERRORS, "part" => "records").increment(1);
        }
        result
    }
}

/// Parses the record of a row.
pub fn parse_record(row: &Row) -> Result<VersionedRecord<RecordedResponse>, NoResponse> {
    let record: ClaimRecord = serde_json::from_str(&row.value).map_err(|_| NoResponse)?;
    Ok(VersionedRecord { version: row.version, record: record.into() })
}
