//! The HTTP headers that carry the metadata of relayed calls, from callers and to targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_http::header::{AUTHORIZATION, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use actix_http::{Method, RequestHead, ResponseHead, StatusCode, Uri};
use cumintrail_config::{Snapshot, Target};
use cumintrail_control::{NamedLimit, TargetNotice};
use cumintrail_types::{
    BlockKey, Refusal, RefusalCode, RequestRate, Tokens, Urgency, WeightVersion,
};
use smallvec::SmallVec;

/// Stores the metadata of a call that the headers of its request carry.
#[derive(Debug, Clone, Default)]
pub struct RequestMetadata {
    /// The caller's id of the call, which its response repeats.
    pub id: Option<HeaderValue>,
    /// How long the caller waits for the response; `None` for the route's timeout.
    pub timeout: Option<Duration>,
    /// The parts of the prompt, in order; empty for calls without a prompt in parts.
    pub parts: SmallVec<[Part; 4]>,
    /// The number of prompt tokens.
    pub prompt: Tokens,
    /// The most output tokens that the caller requests.
    pub max_output: Tokens,
    /// The id of the last event that the caller received in an earlier response.
    pub last_event_id: Option<u64>,
    /// The caller's id of the call whose response brought the first event of the stream.
    pub resumes: Option<HeaderValue>,
}

/// Describes one part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The name of the part; parts with equal names have equal text.
    pub name: Arc<str>,
    /// The number of tokens in the part.
    pub tokens: Tokens,
}

/// Stores the metadata that is added to a call when it is forwarded to a target.
#[derive(Debug)]
pub struct ForwardMetadata<'a> {
    /// The name of the client account; `None` if the caller sent no known key on a public route.
    pub account: Option<&'a str>,
    /// The instance name that the target must have.
    pub instance: &'a str,
    /// The time until the deadline of the call.
    pub remaining: Duration,
    /// The cache salt of the prompt; `None` for calls without prompt parts and for services.
    pub cache_salt: Option<BlockKey>,
    /// The urgency of the call.
    pub urgency: Urgency,
    /// The weight version that the target must have; `None` for services.
    pub version: Option<WeightVersion>,
    /// The id of the last event that the caller has.
    pub last_event_id: Option<u64>,
    /// For each part of the prompt, the store to read it from and the number of tokens to read.
    pub read: &'a [Option<(SocketAddr, Tokens)>],
    /// For each part of the prompt, the store to save it to.
    pub save: &'a [Option<SocketAddr>],
    /// The deadline of reads in milliseconds on the clock of targets and stores.
    pub read_until: Option<u64>,
}

/// Relates the head of a response to the call that was sent on the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// The response belongs to the call.
    Matching,
    /// The response belongs to another call.
    Foreign,
    /// The target did not run the call and will not run it.
    NotRun {
        /// Whether another instance responded at the target's address, or the target accepts no
        /// further calls.
        instance_gone: bool,
    },
}

/// What identifies a target's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessIdentity<'a> {
    /// The start that the registry lists: later processes may have the same name.
    Start,
    /// The name of the instance: the registry lists no starts, and each process has a name of its own.
    Instance {
        /// The path of requests to which targets respond with it, if it is declared.
        path: Option<&'a str>,
    },
}

impl<'a> ProcessIdentity<'a> {
    /// Returns what identifies the processes of a target.
    pub fn of(target: &Target, declared: &'a Snapshot) -> Self {
        if target.name != target.instance {
            return Self::Start;
        }
        Self::Instance { path: declared.identity_path(target.kind) }
    }
}

/// Translates the metadata of calls from and to HTTP headers.
pub trait HeaderDialect: Clone + Send + 'static {
    /// Reads the metadata of a call from the head of its request.
    fn parse_request(&self, head: &RequestHead) -> Result<RequestMetadata, Refusal>;
    /// Adds the metadata for the target to the headers of a forwarded request.
    fn write_headers(&self, headers: &mut HeaderMap, forward: &ForwardMetadata<'_>);
    /// Writes how long the caller still waits, for a daemon that handles the call.
    fn write_deadline(&self, headers: &mut HeaderMap, remaining: Duration);
    /// Relates the head of a response to the call with `metadata` that was sent to `instance`.
    fn classify_response(
        &self,
        head: &ResponseHead,
        metadata: &RequestMetadata,
        instance: &str,
    ) -> ResponseKind;
    /// Reads what the head of a response says about its target, apart from the call.
    fn target_notice(&self, head: &ResponseHead) -> TargetNotice;
    /// Reads the limit of requests that the head of a response names.
    fn named_limit(&self, head: &ResponseHead) -> NamedLimit;
    /// Builds a request that every target answers without running anything, with what identifies its
    /// process.
    fn identity_request(&self, instance: &str, by: ProcessIdentity<'_>) -> RequestHead;
    /// Returns whether another instance than `instance` responded to an identity request.
    fn is_other_instance(&self, head: &ResponseHead, instance: &str) -> bool;
    /// Returns whether the response to an identity request names `instance`.
    fn names_instance(&self, head: &ResponseHead, instance: &str) -> bool;
    /// Returns the start of the process that responded to an identity request, as the registry lists
    /// it, if the response states it.
    fn process_start(&self, head: &ResponseHead, body: &[u8]) -> Option<u64>;
    /// Writes the caller's id of a refused call into the headers of the refusal.
    fn write_call_id(&self, headers: &mut HeaderMap, metadata: &RequestMetadata);
}

/// Returns the bearer token of a request, which is the key of a client account.
pub fn bearer_token(head: &RequestHead) -> Option<&str> {
    let value = head.headers().get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Translates the headers of cumintrail's native interface; docs/OPERATIONS.md, "Relayed calls".
#[derive(Debug, Clone, Copy, Default)]
pub struct NativeDialect;

const CALL_ID: HeaderName = HeaderName::from_static("x-cumintrail-call");
const DEADLINE: HeaderName = HeaderName::from_static("x-cumintrail-deadline-ms");
const ACCOUNT: HeaderName = HeaderName::from_static("x-cumintrail-account");
const INSTANCE: HeaderName = HeaderName::from_static("x-cumintrail-instance");
const NOT_RUN: HeaderName = HeaderName::from_static("x-cumintrail-not-run");
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
const RESUMES: HeaderName = HeaderName::from_static("x-cumintrail-resumes");
const LEAVING: HeaderName = HeaderName::from_static("x-cumintrail-leaving");
/// The requests a second that a target takes from all daemons together, a decimal number.
const LIMIT: HeaderName = HeaderName::from_static("x-cumintrail-limit");
/// The start of the target's process, a number that is higher for a later process of one name.
const PROCESS_START: HeaderName = HeaderName::from_static("x-cumintrail-process-start");
/// Lists the prompt's parts as `name:tokens`, separated by commas.
const PROMPT_PARTS: HeaderName = HeaderName::from_static("x-cumintrail-parts");

impl HeaderDialect for NativeDialect {
    fn parse_request(&self, head: &RequestHead) -> Result<RequestMetadata, Refusal> {
        let id = head.headers().get(CALL_ID).cloned();
        let timeout = integer_header(head.headers(), &DEADLINE)?.map(Duration::from_millis);
        let last_event_id = integer_header(head.headers(), &LAST_EVENT_ID)?;
        let resumes = head.headers().get(RESUMES).cloned();
        let parts = head.headers().get(PROMPT_PARTS).map(parse_parts).transpose()?;
        let parts = parts.unwrap_or_default();
        let prompt = parts.iter().map(|part| part.tokens).sum();
        let metadata = RequestMetadata::default();
        Ok(RequestMetadata { id, timeout, parts, prompt, last_event_id, resumes, ..metadata })
    }

    fn write_headers(&self, headers: &mut HeaderMap, forward: &ForwardMetadata<'_>) {
        headers.remove(AUTHORIZATION);
        set_or_remove(headers, ACCOUNT, forward.account);
        set_or_remove(headers, INSTANCE, Some(forward.instance));
        self.write_deadline(headers, forward.remaining);
        if let Some(last) = forward.last_event_id {
            set_or_remove(headers, LAST_EVENT_ID, Some(&last.to_string()));
        }
    }

    fn write_deadline(&self, headers: &mut HeaderMap, remaining: Duration) {
        set_or_remove(headers, DEADLINE, Some(&remaining.as_millis().to_string()));
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
            id if metadata.id.is_some() && metadata.id.as_ref() != id => ResponseKind::Foreign,
            _ if misdirected => ResponseKind::NotRun { instance_gone: other_instance },
            _ if head.headers().contains_key(NOT_RUN) => {
                ResponseKind::NotRun { instance_gone: false }
            }
            _ => ResponseKind::Matching,
        }
    }

    fn target_notice(&self, head: &ResponseHead) -> TargetNotice {
        let leaving = head.headers().get(LEAVING).is_some_and(|value| value == "1");
        TargetNotice { leaving, quiet_for: quiet_period(head) }
    }

    fn named_limit(&self, head: &ResponseHead) -> NamedLimit {
        named_limit(head.headers(), &LIMIT)
    }

    fn identity_request(&self, instance: &str, by: ProcessIdentity<'_>) -> RequestHead {
        let (method, path) = match by {
            ProcessIdentity::Instance { path: Some(path) } => (Method::GET, path),
            _ => (Method::OPTIONS, "*"),
        };
        identity_request(method, path, INSTANCE, instance)
    }

    fn is_other_instance(&self, head: &ResponseHead, instance: &str) -> bool {
        is_other_instance(head, &INSTANCE, instance)
    }

    fn names_instance(&self, head: &ResponseHead, instance: &str) -> bool {
        head.headers().get(INSTANCE).is_some_and(|name| name == instance)
    }

    fn process_start(&self, head: &ResponseHead, _: &[u8]) -> Option<u64> {
        integer_header(head.headers(), &PROCESS_START).ok().flatten()
    }

    fn write_call_id(&self, headers: &mut HeaderMap, metadata: &RequestMetadata) {
        if let Some(id) = &metadata.id {
            headers.insert(CALL_ID, id.clone());
        }
    }
}

/// Builds a request without a body that names the instance that may respond.
pub fn identity_request(
    method: Method,
    path: &str,
    name: HeaderName,
    instance: &str,
) -> RequestHead {
    let mut head = RequestHead::default();
    (head.method, head.uri) = (method, Uri::try_from(path).unwrap_or_default());
    set_or_remove(&mut head.headers, name, Some(instance));
    head
}

/// Returns whether a response is the refusal of another instance, or `name` has another one's name.
pub fn is_other_instance(head: &ResponseHead, name: &HeaderName, instance: &str) -> bool {
    let names_other = head.headers().get(name).is_some_and(|value| value != instance);
    names_other || head.status == StatusCode::MISDIRECTED_REQUEST
}

/// Returns how long a target that is unavailable wants no requests, from its `Retry-After` in
/// seconds, which may have a fraction; `None` for a date or any other text.
pub fn quiet_period(head: &ResponseHead) -> Option<Duration> {
    let value = head.headers().get(RETRY_AFTER)?;
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    let is_unavailable = head.status == StatusCode::SERVICE_UNAVAILABLE;
    Duration::try_from_secs_f64(seconds).ok().filter(|period| is_unavailable && !period.is_zero())
}

/// Reads a header that names the requests a second that a target takes.
pub fn named_limit(headers: &HeaderMap, name: &HeaderName) -> NamedLimit {
    let Some(value) = headers.get(name) else {
        return NamedLimit::None;
    };
    let rate = value.to_str().ok().and_then(RequestRate::parse);
    rate.map_or(NamedLimit::Unreadable, NamedLimit::Rate)
}

/// Parses a list of the parts of a prompt as `name:tokens`, separated by commas.
pub fn parse_parts(list: &HeaderValue) -> Result<SmallVec<[Part; 4]>, Refusal> {
    let parse = |part: &str| {
        let (name, tokens) = part.trim().rsplit_once(':')?;
        Some(Part { name: name.into(), tokens: Tokens(tokens.parse().ok()?) })
    };
    let parts = list.to_str().ok().and_then(|list| list.split(',').map(parse).collect());
    parts.ok_or(Refusal::not_run(RefusalCode::BadRequest))
}

/// Parses a header that holds an unsigned integer; `None` if the header is absent.
pub fn integer_header(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    parsed.map(Some).ok_or(Refusal::not_run(RefusalCode::BadRequest))
}

/// Sets a header; removes it if `value` is `None` or not a valid header value, so that a value
/// from the caller is never forwarded in its place.
pub fn set_or_remove(headers: &mut HeaderMap, name: HeaderName, value: Option<&str>) {
    match value.and_then(|text| HeaderValue::from_str(text).ok()) {
        Some(value) => drop(headers.insert(name, value)),
        None => drop(headers.remove(name)),
    }
}
