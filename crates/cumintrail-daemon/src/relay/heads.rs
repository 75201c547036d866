//! The heads of relayed requests and responses: which headers are passed on.

use actix_http::body::BodySize;
use actix_http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_http::{RequestHead, Response, ResponseHead};
use cumintrail_client::is_end_to_end;

use super::caller::CallerConnection;
use super::detour;

/// Copies the method, the target and the end-to-end headers of a request.
pub(super) fn end_to_end_head(caller_head: &RequestHead) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = caller_head.method.clone();
    head.uri = caller_head.uri.clone();
    for (name, value) in &caller_head.headers {
        let is_host = *name == actix_http::header::HOST;
        if is_host || is_end_to_end(name) {
            head.headers.append(name.clone(), value.clone());
        }
    }
    detour::remove_headers(&mut head.headers);
    head
}

/// Returns the size of the body that a request declares.
pub(super) fn body_size(head: &RequestHead) -> BodySize {
    let length = head.headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    match length {
        _ if head.headers.contains_key(TRANSFER_ENCODING) => BodySize::Stream,
        Some(length) => BodySize::Sized(length),
        None => BodySize::None,
    }
}

/// Builds the response head for the caller from the end-to-end headers of the target; a peer also
/// gets the target's name.
pub(super) fn caller_response_head(
    head: &ResponseHead,
    caller: &CallerConnection,
    target: &str,
) -> Response<()> {
    let mut res = Response::with_body(head.status, ());
    let headers: &mut HeaderMap = res.headers_mut();
    for (name, value) in head.headers().iter().filter(|(name, _)| is_end_to_end(name)) {
        headers.append(name.clone(), value.clone());
    }
    detour::remove_headers(headers);
    if caller.is_peer() {
        detour::write_target_name(headers, target);
    }
    res
}
