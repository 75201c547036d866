//! Records of idempotency keys in the platform's table, and the responses that are replayed to
//! repeated calls.

use bytes::Bytes;
use cumintrail_control::once::{Record, RecordState, UnixMillis};
use cumintrail_types::{Digest, WriteId};
use derive_more::From;
use serde::{Deserialize, Serialize};

/// Represents the row `once/{digest}` of an idempotency key; see [`Record`].
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
    Answered(ResponseRecord),
    Stored(StoredResponse),
    Expired,
}

/// Represents a recorded response: completely in the row, or with its body in the object store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordedResponse {
    /// The row stores the complete response.
    Inline(ResponseRecord),
    /// The body is stored as an object, since it is too large for a row.
    Stored(StoredResponse),
}

/// Represents a response whose body is stored as an object, so that the row stays small.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// The random id of the claim, from which the object is named; see [`response_object_name`].
    pub object: WriteId,
    /// The digest of the body, so that a missing or damaged object is never sent as the response.
    pub digest: Digest,
    /// The HTTP status.
    pub status: u16,
    /// The end-to-end headers, as names and values.
    pub headers: Vec<(String, String)>,
}

impl StoredResponse {
    /// Describes a response whose body is stored in the object of claim `object`.
    pub fn new(object: WriteId, response: &ResponseRecord, body: &[u8]) -> Self {
        let (status, headers) = (response.status, response.headers.clone());
        Self { object, digest: Digest::of(body), status, headers }
    }

    /// Returns the complete response, or `None` if `body` does not match the stored digest.
    pub fn with_body(self, body: &[u8]) -> Option<ResponseRecord> {
        let (status, headers) = (self.status, self.headers);
        (Digest::of(body) == self.digest).then(|| ResponseRecord {
            status,
            headers,
            body: body.into(),
        })
    }
}

/// Represents the complete response of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseRecord {
    /// The HTTP status.
    pub status: u16,
    /// The end-to-end headers, as names and values.
    pub headers: Vec<(String, String)>,
    /// The response body.
    pub body: BodyRecord,
}

/// Stores a body in the most compact form that JSON and `MessagePack` both support.
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

impl From<Record<RecordedResponse>> for ClaimRecord {
    fn from(r: Record<RecordedResponse>) -> Self {
        let state = match r.state {
            RecordState::Claimed => ClaimState::Claimed,
            RecordState::Released => ClaimState::Released,
            RecordState::Expired => ClaimState::Expired,
            RecordState::Answered(RecordedResponse::Inline(response)) => {
                ClaimState::Answered(response)
            }
            RecordState::Answered(RecordedResponse::Stored(stored)) => ClaimState::Stored(stored),
        };
        Self {
            claim: r.claim_id,
            request: r.request_digest,
            claimed_ms: r.claimed_at.0,
            answer_by_ms: r.response_deadline.0,
            state,
        }
    }
}

impl From<ClaimRecord> for Record<RecordedResponse> {
    fn from(r: ClaimRecord) -> Self {
        let state = match r.state {
            ClaimState::Claimed => RecordState::Claimed,
            ClaimState::Released => RecordState::Released,
            ClaimState::Expired => RecordState::Expired,
            ClaimState::Answered(response) => {
                RecordState::Answered(RecordedResponse::Inline(response))
            }
            ClaimState::Stored(stored) => RecordState::Answered(RecordedResponse::Stored(stored)),
        };
        Self {
            claim_id: r.claim,
            request_digest: r.request,
            claimed_at: UnixMillis(r.claimed_ms),
            response_deadline: UnixMillis(r.answer_by_ms),
            state,
        }
    }
}

/// Returns the row key for an idempotency key, which belongs to one client account and service.
pub fn claim_key(account: &str, service: &str, key: &str) -> String {
    // Without the lengths, different names could join to the same text.
    let joined = [account, service, key].map(|part| format!("{}:{part}", part.len())).concat();
    format!("once/{}", Digest::of(joined.as_bytes()))
}

/// Returns the name of the object that stores the body of a claim's response.
pub fn response_object_name(claim: WriteId) -> String {
    format!("answers/{claim}")
}

/// Returns the row value of a key whose response has expired; the row only prevents another
/// execution of the key's call.
pub fn expired_row() -> String {
    let record = Record {
        claim_id: WriteId([0; 16]),
        request_digest: Digest::of(&[]),
        claimed_at: UnixMillis(0),
        response_deadline: UnixMillis(0),
        state: RecordState::Expired,
    };
    serde_json::to_string(&ClaimRecord::from(record)).unwrap_or_default()
}
