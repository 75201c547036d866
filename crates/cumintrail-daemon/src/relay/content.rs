//! The content of relayed calls, under which targets may crash; docs/DESIGN.md, "Quarantine".

use actix_http::Request;
use actix_http::header::{HOST, HeaderValue};
use actix_http::uri::PathAndQuery;
use bytes::Bytes;
use cumintrail_control::quarantine::{CallContent, ContentKey};

use super::call::PUBLIC_ACCOUNT;
use super::dialect::RequestMetadata;

/// Returns the content under which targets may crash: the parts of the prompt but the last, which is
/// its own, and the request.
pub(super) fn content(metadata: &RequestMetadata, request: Option<ContentKey>) -> CallContent {
    let shared = metadata.parts.split_last().map_or(&[][..], |(_own, shared)| shared);
    let shared = shared.iter().map(|part| ContentKey::of_part(&part.name)).collect();
    CallContent { shared, request }
}

/// Returns the key of a request by its account, path, prompt and body, whatever its other headers;
/// `None` if its body is not buffered completely.
pub(super) fn request_content(
    req: &Request,
    account: Option<&str>,
    metadata: &RequestMetadata,
    body: &Bytes,
    body_complete: bool,
) -> Option<ContentKey> {
    if !body_complete {
        return None;
    }
    let head = req.head();
    let host = head.headers().get(HOST).map_or(&[][..], HeaderValue::as_bytes);
    let account = account.unwrap_or(PUBLIC_ACCOUNT).as_bytes();
    let target = head.uri.path_and_query().map_or("", PathAndQuery::as_str).as_bytes();
    let method = head.method.as_str().as_bytes();
    let parts = metadata.parts.iter().map(|part| part.name.as_bytes());
    let texts = [account, host, method, target, body].into_iter().chain(parts);
    Some(ContentKey::of_request(texts))
}
