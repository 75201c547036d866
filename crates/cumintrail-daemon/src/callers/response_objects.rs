//! Bodies of recorded responses that are too large for a table row, stored as objects.

use std::rc::Rc;

use cumintrail_client::config_log::put_verified;
use cumintrail_client::{HttpPlatform, ObjectStore};
use cumintrail_control::once::{IN_PROGRESS_RETRY_AFTER, Verdict};
use cumintrail_types::{Refusal, RefusalCode, WriteId};
use cumintrail_wire::record::{
    RecordedResponse, ResponseRecord, StoredResponse, response_object_name,
};

use crate::table::NoResponse;

/// Writes and reads the bodies of large responses in the platform's object store.
#[derive(Clone)]
pub struct ResponseObjects {
    platform: Rc<HttpPlatform>,
}

impl ResponseObjects {
    /// Wraps a client of the current thread.
    pub const fn new(platform: Rc<HttpPlatform>) -> Self {
        Self { platform }
    }

    /// Writes the body of a claim's response; repeated writes are safe, since a claim has only one
    /// response.
    pub async fn put(&self, claim: WriteId, body: bytes::Bytes) -> Result<(), NoResponse> {
        put_verified(&*self.platform, &response_object_name(claim), body)
            .await
            .map_err(|_| NoResponse)
    }

    /// Loads the body of a response that is to be replayed, if the body is stored as an object.
    pub async fn complete(&self, verdict: Verdict<RecordedResponse>) -> Verdict<ResponseRecord> {
        match verdict {
            Verdict::Run => Verdict::Run,
            Verdict::Unclaimed => Verdict::Unclaimed,
            Verdict::Refuse(refusal) => Verdict::Refuse(refusal),
            Verdict::Replay(RecordedResponse::Inline(response)) => Verdict::Replay(response),
            Verdict::Replay(RecordedResponse::Stored(stored)) => self.read(stored).await,
        }
    }

    /// Reads the body of a response.
    ///
    /// The call ran, so its outcome is reported as unknown if the body is missing or does not match
    /// its digest. If the read fails, the caller may retry.
    async fn read(&self, stored: StoredResponse) -> Verdict<ResponseRecord> {
        let unknown = Refusal::unknown(RefusalCode::OutcomeUnknown);
        match self.platform.get(&response_object_name(stored.object)).await {
            Ok(body) => {
                let response = body.and_then(|body| stored.with_body(&body));
                response.map_or(Verdict::Refuse(unknown), Verdict::Replay)
            }
            Err(_) => Verdict::Refuse(unknown.retry_after(IN_PROGRESS_RETRY_AFTER)),
        }
    }
}
