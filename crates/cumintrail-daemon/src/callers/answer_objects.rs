//! Bodies of recorded answers that are too large for a row, as objects of the platform.

use std::rc::Rc;

use cumintrail_client::config_log::put_settled;
use cumintrail_client::{HttpPlatform, Objects};
use cumintrail_control::once::{IN_PROGRESS_RETRY_AFTER, Verdict};
use cumintrail_types::{Refusal, RefusalCode, WriteId};
use cumintrail_wire::record::{AnswerRecord, KeptAnswer, StoredAnswer, answer_name};

use crate::table::Lost;

/// Writes and reads the bodies of large answers.
#[derive(Clone)]
pub struct AnswerObjects {
    platform: Rc<HttpPlatform>,
}

impl AnswerObjects {
    /// Uses a client of the current thread.
    pub const fn new(platform: Rc<HttpPlatform>) -> Self {
        Self { platform }
    }

    /// Writes a body; writing it again is harmless, as a claim has one answer.
    pub async fn put(&self, claim: WriteId, body: bytes::Bytes) -> Result<(), Lost> {
        put_settled(&*self.platform, &answer_name(claim), body).await.map_err(|_| Lost)
    }

    /// Completes a verdict whose answer has its body in an object.
    pub async fn complete(&self, verdict: Verdict<KeptAnswer>) -> Verdict<AnswerRecord> {
        match verdict {
            Verdict::Run => Verdict::Run,
            Verdict::Unclaimed => Verdict::Unclaimed,
            Verdict::Refuse(refusal) => Verdict::Refuse(refusal),
            Verdict::Replay(KeptAnswer::Whole(answer)) => Verdict::Replay(answer),
            Verdict::Replay(KeptAnswer::Stored(stored)) => self.read(stored).await,
        }
    }

    /// Reads an answer; the call ran, so anything but the very body leaves its outcome unknown.
    async fn read(&self, stored: StoredAnswer) -> Verdict<AnswerRecord> {
        let unknown = Refusal::unknown(RefusalCode::OutcomeUnknown);
        match self.platform.get(&answer_name(stored.object)).await {
            Ok(body) => {
                let answer = body.and_then(|body| stored.with_body(&body));
                answer.map_or(Verdict::Refuse(unknown), Verdict::Replay)
            }
            Err(_) => Verdict::Refuse(unknown.retry_after(IN_PROGRESS_RETRY_AFTER)),
        }
    }
}
