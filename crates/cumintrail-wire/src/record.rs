//! Records of idempotency keys in the platform's table, and answers kept for repeats.

use bytes::Bytes;
use cumintrail_control::once::{Record, RecordState, WallMillis};
use cumintrail_types::{Digest, WriteId};
use derive_more::From;
use serde::{Deserialize, Serialize};

/// Holds the row `once/{digest}` of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    claim: WriteId,
    request: Digest,
    claimed_ms: u64,
    answer_by_ms: u64,
    state: ClaimState,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ClaimState {
    Claimed,
    Released,
    Answered(AnswerRecord),
}

/// Holds the whole answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerRecord {
    /// The HTTP status.
    pub status: u16,
    /// The end-to-end headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: BodyRecord,
}

/// Holds a body in the most compact form that both codecs carry.
#[derive(Debug, Clone, PartialEq, Eq, From, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BodyRecord {
    /// Bytes that are valid UTF-8.
    Text(String),
    /// Any other bytes.
    Bytes(Vec<u8>),
}

impl From<&[u8]> for BodyRecord {
    fn from(bytes: &[u8]) -> Self {
        let text = std::str::from_utf8(bytes).map(|text| Self::Text(text.to_owned()));
        text.unwrap_or_else(|_| Self::Bytes(bytes.to_vec()))
    }
}

impl From<BodyRecord> for Bytes {
    fn from(body: BodyRecord) -> Self {
        match body {
            BodyRecord::Text(text) => text.into(),
            BodyRecord::Bytes(bytes) => bytes.into(),
        }
    }
}

impl From<Record<AnswerRecord>> for ClaimRecord {
    fn from(r: Record<AnswerRecord>) -> Self {
        let state = match r.state {
            RecordState::Claimed => ClaimState::Claimed,
            RecordState::Released => ClaimState::Released,
            RecordState::Answered(answer) => ClaimState::Answered(answer),
        };
        Self {
            claim: r.claim,
            request: r.request,
            claimed_ms: r.claimed.0,
            answer_by_ms: r.answer_by.0,
            state,
        }
    }
}

impl From<ClaimRecord> for Record<AnswerRecord> {
    fn from(r: ClaimRecord) -> Self {
        let state = match r.state {
            ClaimState::Claimed => RecordState::Claimed,
            ClaimState::Released => RecordState::Released,
            ClaimState::Answered(answer) => RecordState::Answered(answer),
        };
        Self {
            claim: r.claim,
            request: r.request,
            claimed: WallMillis(r.claimed_ms),
            answer_by: WallMillis(r.answer_by_ms),
            state,
        }
    }
}

/// Names the row of a key; a key belongs to one client account and service.
pub fn claim_key(account: &str, service: &str, key: &str) -> String {
    let named = [account, service, key].map(|part| format!("{}:{part}", part.len())).concat();
    format!("once/{}", Digest::of(named.as_bytes()))
}
