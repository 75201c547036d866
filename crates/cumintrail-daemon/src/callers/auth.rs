//! Authentication of requests by the bearer key in their `authorization` header.

use actix_http::RequestHead;
use actix_http::header::AUTHORIZATION;
use cumintrail_config::Snapshot;
use cumintrail_types::{AccountKey, Digest, Refusal, RefusalCode};
use subtle::ConstantTimeEq;

/// Returns the client account that the request's API key belongs to.
pub fn authenticate(head: &RequestHead, snapshot: &Snapshot) -> Result<AccountKey, Refusal> {
    let presented = bearer(head).map(|key| Digest::of(key.as_bytes()));
    let found =
        presented.and_then(|digest| Some((digest, snapshot.account_by_key_digest(&digest)?)));
    let verified = found.filter(|(digest, key)| {
        let account = snapshot.accounts.get(*key);
        let digests = account.map(|a| a.key_digests.as_slice()).unwrap_or_default();
        digests.iter().any(|d| bool::from(d.0.ct_eq(&digest.0)))
    });
    verified.map(|(_, key)| key).ok_or_else(|| Refusal::not_run(RefusalCode::Unauthorized))
}

/// Returns whether the request carries `key`; compares the digests of both keys in constant time.
pub fn has_bearer_key(head: &RequestHead, key: &str) -> bool {
    bearer(head).is_some_and(|presented| {
        bool::from(Digest::of(presented.as_bytes()).0.ct_eq(&Digest::of(key.as_bytes()).0))
    })
}

fn bearer(head: &RequestHead) -> Option<&str> {
    head.headers().get(AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}
