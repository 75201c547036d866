//! How relayed calls name their properties on the wire, towards callers and targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_http::header::{AUTHORIZATION, HeaderMap, HeaderName, HeaderValue};
use actix_http::{RequestHead, ResponseHead, StatusCode};
use cumintrail_types::{BlockKey, Refusal, RefusalCode, Tokens, Urgency, WeightVersion};
use smallvec::SmallVec;

/// Holds what the head of a request asks for, besides its route and body.
#[derive(Debug, Clone, Default)]
pub struct RequestMetadata {
    /// The name of the call, which the answer repeats.
    pub id: Option<HeaderValue>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The parts of the prompt, in order; empty for other calls.
    pub parts: SmallVec<[Part; 4]>,
    /// The length of the prompt.
    pub prompt: Tokens,
    /// The longest answer asked for.
    pub max_output: Tokens,
    /// The last event that the caller has of an earlier answer.
    pub last_event_id: Option<u64>,
}

/// Names a part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The part's name; equal names stand for equal text.
    pub name: Arc<str>,
    /// Its length.
    pub tokens: Tokens,
}

/// Holds what a target is told of a call besides what the caller sent.
#[derive(Debug)]
pub struct ForwardMetadata<'a> {
    /// The client account, if the route is not public.
    pub account: Option<&'a str>,
    /// The name that the target must answer to.
    pub instance: &'a str,
    /// The time that is left.
    pub remaining: Duration,
    /// Where the state of the prompt is kept apart; nothing for calls without prompt.
    pub cache_salt: Option<BlockKey>,
    /// The rank of the call.
    pub urgency: Urgency,
    /// The weight version that the target must have, if that matters.
    pub version: Option<WeightVersion>,
    /// The last event that was passed on.
    pub last_event_id: Option<u64>,
    /// Where each part of the prompt is read from, and how many tokens of it.
    pub read: &'a [Option<(SocketAddr, Tokens)>],
    /// Where each part of the prompt is saved to.
    pub save: &'a [Option<SocketAddr>],
    /// The time by which reads must have ended, on the targets' clock, in milliseconds.
    pub read_until: Option<u64>,
}

/// Tells what an answer says about the call that it answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// It answers the call.
    Matching,
    /// It answers another call.
    Foreign,
    /// The target did not run the call and never will.
    NotRun {
        /// Whether another process answers at the address, or this one takes no calls any more.
        instance_gone: bool,
    },
}

/// Translates between calls and the heads of requests and answers.
pub trait HeaderDialect: Clone + Send + 'static {
    /// Reads what a request asks for.
    fn parse_request(&self, head: &RequestHead) -> Result<RequestMetadata, Refusal>;
    /// Writes what a target is told into the headers that the caller sent.
    fn write_headers(&self, headers: &mut HeaderMap, forward: &ForwardMetadata<'_>);
    /// Tells what an answer says, given the id of the call.
    fn classify_response(
        &self,
        head: &ResponseHead,
        metadata: &RequestMetadata,
        instance: &str,
    ) -> ResponseKind;
    /// Names a refused call in its answer.
    fn write_call_id(&self, headers: &mut HeaderMap, metadata: &RequestMetadata);
}

/// Returns the key that a caller shows.
pub fn bearer_token(head: &RequestHead) -> Option<&str> {
    let value = head.headers().get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// The headers of cumintrail's own interface; docs/OPERATIONS.md, "Relayed calls".
#[derive(Debug, Clone, Copy, Default)]
pub struct NativeDialect;

const CALL_ID: HeaderName = HeaderName::from_static("x-cumintrail-call");
const DEADLINE: HeaderName = HeaderName::from_static("x-cumintrail-deadline-ms");
const ACCOUNT: HeaderName = HeaderName::from_static("x-cumintrail-account");
const INSTANCE: HeaderName = HeaderName::from_static("x-cumintrail-instance");
const NOT_RUN: HeaderName = HeaderName::from_static("x-cumintrail-not-run");
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

impl HeaderDialect for NativeDialect {
    fn parse_request(&self, head: &RequestHead) -> Result<RequestMetadata, Refusal> {
        let id = head.headers().get(CALL_ID).cloned();
        let timeout = integer_header(head.headers(), &DEADLINE)?.map(Duration::from_millis);
        let last_event_id = integer_header(head.headers(), &LAST_EVENT_ID)?;
        Ok(RequestMetadata { id, timeout, last_event_id, ..RequestMetadata::default() })
    }

    fn write_headers(&self, headers: &mut HeaderMap, forward: &ForwardMetadata<'_>) {
        headers.remove(AUTHORIZATION);
        set_or_remove(headers, ACCOUNT, forward.account);
        set_or_remove(headers, INSTANCE, Some(forward.instance));
        set_or_remove(headers, DEADLINE, Some(&forward.remaining.as_millis().to_string()));
        if let Some(last) = forward.last_event_id {
            set_or_remove(headers, LAST_EVENT_ID, Some(&last.to_string()));
        }
    }

    fn classify_response(
        &self,
        head: &ResponseHead,
        metadata: &RequestMetadata,
        instance: &str,
    ) -> ResponseKind {
        let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        let other_instance = head.headers().get(INSTANCE).is_some_and(|name| name != instance);
        match head.headers().get(CALL_ID) {
            Some(id) if metadata.id.as_ref().is_some_and(|expected| expected != id) => {
                ResponseKind::Foreign
            }
            _ if misdirected => ResponseKind::NotRun { instance_gone: other_instance },
            _ if head.headers().contains_key(NOT_RUN) => {
                ResponseKind::NotRun { instance_gone: false }
            }
            _ => ResponseKind::Matching,
        }
    }

    fn write_call_id(&self, headers: &mut HeaderMap, metadata: &RequestMetadata) {
        if let Some(id) = &metadata.id {
            headers.insert(CALL_ID, id.clone());
        }
    }
}

/// Reads a header that holds a whole number.
pub fn integer_header(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    parsed.map(Some).ok_or(Refusal::not_run(RefusalCode::BadRequest))
}

/// Sets a header, or removes what a caller sent under its name.
pub fn set_or_remove(headers: &mut HeaderMap, name: HeaderName, value: Option<&str>) {
    match value.and_then(|text| HeaderValue::from_str(text).ok()) {
        Some(value) => drop(headers.insert(name, value)),
        None => drop(headers.remove(name)),
    }
}
