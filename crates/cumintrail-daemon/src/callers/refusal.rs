//! Responses that report refusals, and the JSON responses of all handlers.

use actix_http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use actix_http::{Response, StatusCode};
use cumintrail_types::{Refusal, RefusalCode};
use cumintrail_wire::caller::RefusalBody;
use serde::Serialize;

use super::ResponseBody;
use crate::metric;

/// Builds the response that reports a refusal, and counts the refusal.
pub fn refusal_response(refusal: &Refusal) -> Response<ResponseBody> {
    metrics::counter!(metric::CALLS, "outcome" => refusal.code.to_string()).increment(1);
    let body = RefusalBody::new(refusal, refusal_message(refusal.code));
    let mut response = json_response(refusal.code.status(), &body);
    if let Some(after) = refusal.retry_after {
        let seconds = after.as_millis().div_ceil(1_000) as u64;
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Builds a response with a JSON body.
pub fn json_response<T: Serialize>(status: u16, body: &T) -> Response<ResponseBody> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = Response::with_body(status, ResponseBody::Full(bytes.into()));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Returns the human-readable message of a refusal code.
pub const fn refusal_message(code: RefusalCode) -> &'static str {
    match code {
        RefusalCode::BadRequest => "the request is malformed",
        RefusalCode::Unauthorized => "the API key is missing or unknown",
        RefusalCode::NotFound => "there is no such path, model or service",
        RefusalCode::MethodNotAllowed => "the path does not take this method",
        RefusalCode::TooLarge => "the request body is larger than allowed",
        RefusalCode::HeadTooLarge => "the request head is larger than allowed",
        RefusalCode::RequestTimeout => "the request body did not arrive in time",
        RefusalCode::AccountLimit => "the client account's limit is used up",
        RefusalCode::Overloaded => "the call cannot be answered before its deadline",
        RefusalCode::NoTarget => "no usable target",
        RefusalCode::Quarantined => "targets crashed under calls with the same content",
        RefusalCode::UnknownStream => "it is not known here where the stream began",
        RefusalCode::Deadline => "the deadline passed",
        RefusalCode::Stopping => "this VM is stopping; ask another",
        RefusalCode::NotConfigured => "this VM has no configuration yet",
        RefusalCode::PlatformUnavailable => "the platform's table cannot be reached",
        RefusalCode::KeyReused => "the idempotency key was used with another request",
        RefusalCode::InProgress => "a call with this idempotency key is in progress",
        RefusalCode::KeyExpired => "the idempotency key is too old",
        RefusalCode::OutcomeUnknown => "the call was sent but its outcome is unknown",
        RefusalCode::TargetFailed => "the target failed before the answer was complete",
    }
}
