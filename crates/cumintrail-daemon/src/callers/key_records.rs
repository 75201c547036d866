//! Access of one worker thread to the records of idempotency keys in the platform's table.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_client::Table;
use cumintrail_control::once::{Record, VersionedRecord};
use cumintrail_types::{Refusal, RefusalCode};
use cumintrail_wire::record::{ClaimRecord, RecordedResponse};
use cumintrail_wire::retention::IndexedResponse;

use super::response_objects::ResponseObjects;
use crate::shared::Shared;
use crate::table::{NoResponse, TableClient, WriteKind, WriteOutcome, parse_record};

const PLATFORM_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Reads and writes the rows of idempotency keys.
#[derive(Clone)]
pub struct KeyRecords {
    client: TableClient,
    objects: ResponseObjects,
}

impl KeyRecords {
    /// Creates the clients of the current thread.
    pub fn open(shared: Arc<Shared>) -> Self {
        let client = TableClient::open(shared);
        Self { objects: ResponseObjects::new(client.platform.clone()), client }
    }

    /// Returns the object storage of large response bodies.
    pub const fn objects(&self) -> &ResponseObjects {
        &self.objects
    }

    /// Returns the size limit of recorded response bodies, which is that of request bodies.
    pub fn max_response_bytes(&self) -> usize {
        self.client.shared.settings.max_body_bytes
    }

    /// Reads a row; returns `None` if it is absent.
    pub async fn read(
        &self,
        key: &str,
    ) -> Result<Option<VersionedRecord<RecordedResponse>>, NoResponse> {
        let row =
            self.client.exchange(self.client.platform.read(key)).await.map_err(|_| NoResponse)?;
        row.as_ref().map(parse_record).transpose()
    }

    /// Writes a row if its current version is `version`; zero requires that the row is absent.
    pub async fn write(
        &self,
        key: &str,
        version: u64,
        record: Record<RecordedResponse>,
        kind: WriteKind,
    ) -> Result<WriteOutcome, NoResponse> {
        let value = serde_json::to_string(&ClaimRecord::from(record)).map_err(|_| NoResponse)?;
        self.client.shared.table_writer.write(key, version, value, kind).await
    }

    /// Adds a key with a recorded response to the index, so that its row is shrunk after expiry.
    pub fn index_response(&self, row: &str, response: &RecordedResponse) {
        let object = match response {
            RecordedResponse::Inline(_) => None,
            RecordedResponse::Stored(stored) => Some(stored.object),
        };
        let key = IndexedResponse { row: row.to_owned(), object };
        self.client.shared.table_writer.index_response(key);
    }
}

/// Returns the refusal of a call whose key cannot be claimed in the platform's table now.
pub fn platform_unavailable() -> Refusal {
    Refusal::not_run(RefusalCode::PlatformUnavailable).retry_after(PLATFORM_RETRY_AFTER)
}
