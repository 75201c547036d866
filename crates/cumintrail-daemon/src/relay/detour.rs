//! What daemons tell each other about a call that one of them handles for another;
//! docs/DESIGN.md, "Detours".

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{RequestHead, ResponseHead};
use cumintrail_types::{Generation, Moment, RefusalCode};

use super::dialect::HeaderDialect;
use super::heads::end_to_end_head;
use super::relayed_call::RelayedCall;

/// The generation in force at the daemon that the caller is connected to.
const GENERATION: HeaderName = HeaderName::from_static("x-cumintrail-generation");
/// The code of a refusal by the peer itself.
const REFUSAL: HeaderName = HeaderName::from_static("x-cumintrail-refusal");
/// The instance name of the target whose response a peer passes on.
const TARGET: HeaderName = HeaderName::from_static("x-cumintrail-target");

/// Builds the request head for a peer, which derives everything else as for a caller.
pub fn request_head<D: HeaderDialect>(dialect: &D, call: &RelayedCall, now: Moment) -> RequestHead {
    let mut head = end_to_end_head(call.req.head());
    dialect.write_deadline(&mut head.headers, call.deadline.since(now));
    let generation = HeaderValue::from(call.snapshot.generation.0);
    head.headers.insert(GENERATION, generation);
    head
}

/// Returns the generation in force at the daemon that sent a call.
pub fn sender_generation(head: &RequestHead) -> Option<Generation> {
    let value = head.headers.get(GENERATION)?;
    value.to_str().ok()?.parse().ok().map(Generation)
}

/// Marks the refusal of a call that a peer sent.
pub fn write_refusal_code(headers: &mut HeaderMap, code: &str) {
    if let Ok(value) = HeaderValue::from_str(code) {
        headers.insert(REFUSAL, value);
    }
}

/// Returns whether a response is the refusal of a peer that cannot handle calls, while another may.
pub fn is_unable(head: &ResponseHead) -> bool {
    let codes = [RefusalCode::Stopping, RefusalCode::NotConfigured, RefusalCode::NoTarget];
    let is_promise = head.status == actix_http::StatusCode::SERVICE_UNAVAILABLE;
    is_promise
        && refusal_code(head).is_some_and(|refusal| codes.iter().any(|c| c.to_string() == refusal))
}

/// Returns the code with which a peer itself refused a call.
pub fn refusal_code(head: &ResponseHead) -> Option<&str> {
    head.headers().get(REFUSAL)?.to_str().ok()
}

/// Names the target of a response that is passed on to a peer.
pub fn write_target_name(headers: &mut HeaderMap, target: &str) {
    if let Ok(value) = HeaderValue::from_str(target) {
        headers.insert(TARGET, value);
    }
}

/// Returns the name of the target of a response that a peer passes on.
pub fn target_name(head: &ResponseHead) -> Option<&str> {
    head.headers().get(TARGET)?.to_str().ok()
}

/// Removes the headers that concern daemons only.
pub fn remove_headers(headers: &mut HeaderMap) {
    for name in [GENERATION, REFUSAL, TARGET] {
        headers.remove(name);
    }
}
