//! Reads and writes of one traffic thread to the rows of idempotency keys.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_client::Table;
use cumintrail_control::once::{Record, VersionedRecord};
use cumintrail_types::{Refusal, RefusalCode};
use cumintrail_wire::record::{ClaimRecord, KeptAnswer};
use cumintrail_wire::retention::AnsweredKey;

use super::answer_objects::AnswerObjects;
use crate::shared::Shared;
use crate::table::{Lost, TableLink, Urgency, Written, parse};

const PLATFORM_RETRY: Duration = Duration::from_secs(2);

/// Reads and writes the rows of idempotency keys.
#[derive(Clone)]
pub struct Records {
    link: TableLink,
    objects: AnswerObjects,
}

impl Records {
    /// Opens the clients of the current thread.
    pub fn open(shared: Arc<Shared>) -> Self {
        let link = TableLink::open(shared);
        Self { objects: AnswerObjects::new(link.platform.clone()), link }
    }

    /// Returns the way to the bodies of large answers.
    pub const fn objects(&self) -> &AnswerObjects {
        &self.objects
    }

    /// Returns the largest body of an answer that is recorded: that of the largest request.
    pub fn max_answer_bytes(&self) -> usize {
        self.link.shared.settings.max_body_bytes
    }

    /// Reads a row; nothing if it is absent.
    pub async fn read(&self, key: &str) -> Result<Option<VersionedRecord<KeptAnswer>>, Lost> {
        let row = self.link.exchange(self.link.platform.read(key)).await.map_err(|_| Lost)?;
        row.as_ref().map(parse).transpose()
    }

    /// Writes a row if it has `version`; zero demands that it is absent.
    pub async fn write(
        &self,
        key: &str,
        version: u64,
        record: Record<KeptAnswer>,
        urgency: Urgency,
    ) -> Result<Written, Lost> {
        let value = serde_json::to_string(&ClaimRecord::from(record)).map_err(|_| Lost)?;
        self.link.shared.table_writer.write(key, version, value, urgency).await
    }

    /// Notes that a key's answer is recorded, so that it is shrunk once it has expired.
    pub fn note_answered(&self, row: &str, answer: &KeptAnswer) {
        let object = match answer {
            KeptAnswer::Whole(_) => None,
            KeptAnswer::Stored(stored) => Some(stored.object),
        };
        let key = AnsweredKey { row: row.to_owned(), object };
        self.link.shared.table_writer.note_answered(key);
    }
}

/// Refuses a call that needs the table.
pub fn unavailable() -> Refusal {
    Refusal::not_run(RefusalCode::PlatformUnavailable).retry_after(PLATFORM_RETRY)
}
