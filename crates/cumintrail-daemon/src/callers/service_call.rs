//! Calls to plain services: their requests, keys and HTTP responses.

use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{AUTHORIZATION, HeaderName, HeaderValue};
use actix_http::{HttpMessage, Request, RequestHead, Response, StatusCode};
use cumintrail_client::ServiceCall;
use cumintrail_config::Snapshot;
use cumintrail_control::once::{KeyedRequest, OperationKey, UnixMillis, Verdict};
use cumintrail_types::{
    AccountKey, CallClass, CallKey, Digest, Refusal, RefusalCode, ServiceKey, WriteId,
};
use cumintrail_wire::caller::{
    ACCOUNT_HEADER, CALL_ID_HEADER, IDEMPOTENCY_KEY_HEADER, KEY_TIME_HEADER, REPLAYED_HEADER,
};
use cumintrail_wire::record::claim_key;

use super::key_guard::{KeyGuard, TableClaim};
use super::service_task::{CallResponse, execute};
use super::{ResponseBody, Worker, auth, operation_keys, request};
use crate::clock;

const SERVICES_PREFIX: &str = "/services/";
/// Headers that the daemon sets on requests to services; those that callers send are dropped.
const DAEMON_HEADERS: [&str; 2] = [ACCOUNT_HEADER, CALL_ID_HEADER];
const MAX_KEY_BYTES: usize = 255;

/// Describes an authenticated call to a plain service.
pub struct PlainCall {
    /// The key of the call at this daemon.
    pub key: CallKey,
    /// The client account of the caller.
    pub account: AccountKey,
    /// The service that is to run the call.
    pub service: ServiceKey,
    /// Whether the call may be sent more than once.
    pub class: CallClass,
    /// The request to the service.
    pub call: ServiceCall,
    /// How long the caller waits for the response.
    pub timeout: Duration,
    /// How long a keyed call waits for its outcome after the caller was refused.
    pub outcome_timeout: Duration,
}

impl PlainCall {
    /// Returns the digest of the request, which reveals use of its key for another request.
    pub fn digest(&self) -> Digest {
        let head = format!("{}\0{}\0", self.call.method, self.call.path);
        Digest::of(&[head.as_bytes(), &*self.call.body].concat())
    }

    /// Extends the target's timeout beyond the caller's, so that the outcome can still be recorded.
    pub fn with_outcome_timeout(mut self) -> Self {
        self.call.response_timeout = self.timeout + self.outcome_timeout;
        self
    }
}

/// Handles a request to `/services/{name}/…`.
pub async fn handle(
    worker: Rc<Worker>,
    mut req: Request,
    call: CallKey,
) -> Result<Response<ResponseBody>, Refusal> {
    let snapshot = worker.snapshot()?;
    let account = auth::authenticate(req.head(), &snapshot)?;
    let plain = read_call(&worker, &snapshot, account, call, &mut req).await?;
    let key = idempotency_key(req.head())?.filter(|_| plain.class == CallClass::Once);
    let result = match key {
        None => execute(worker, plain, KeyGuard::Unkeyed).await,
        Some(key) if OperationKey::has_prefix(&key) => {
            operation_keys::handle(worker, &snapshot, plain.with_outcome_timeout(), &key).await
        }
        Some(key) => {
            execute_claimed(worker, &snapshot, plain.with_outcome_timeout(), req.head(), &key).await
        }
    };
    result.map(to_http_response)
}

async fn read_call(
    worker: &Worker,
    snapshot: &Snapshot,
    account: AccountKey,
    key: CallKey,
    req: &mut Request,
) -> Result<PlainCall, Refusal> {
    let (service_key, path) = split_path(snapshot, req)?;
    let service =
        snapshot.services.get(service_key).ok_or(Refusal::not_run(RefusalCode::NotFound))?;
    let timeout = request::caller_timeout(req.head(), service.timeout)?;
    let settings = &worker.shared.settings;
    let body = request::read_body(req, settings.max_body_bytes, settings.request_timeout).await?;
    let is_forwarded =
        |name: &HeaderName| *name != AUTHORIZATION && !DAEMON_HEADERS.contains(&name.as_str());
    let headers = req.headers().iter().filter(|(name, _)| is_forwarded(name));
    let headers = headers.map(|(name, value)| (name.clone(), value.clone()));
    let daemon_headers = daemon_headers(worker, snapshot, account, key)?;
    let call = ServiceCall {
        method: req.method().clone(),
        path,
        headers: headers.chain(daemon_headers).collect(),
        body,
        response_timeout: timeout,
    };
    let class = class_of(snapshot, service_key, call.method.as_str());
    let outcome_timeout = service.timeout;
    Ok(PlainCall { key, account, service: service_key, class, call, timeout, outcome_timeout })
}

/// Returns the headers that identify the client account and the call to the service, which never
/// receives the API key.
fn daemon_headers(
    worker: &Worker,
    snapshot: &Snapshot,
    account: AccountKey,
    call: CallKey,
) -> Result<[(HeaderName, HeaderValue); 2], Refusal> {
    let name = snapshot.accounts.get(account).map(|a| a.name.clone()).unwrap_or_default();
    let id = worker.shared.call_id(call);
    let value = |text: &str| HeaderValue::from_bytes(text.as_bytes()).ok();
    let values = value(&name).zip(value(&id)).ok_or(Refusal::not_run(RefusalCode::BadRequest))?;
    let [account, call] = DAEMON_HEADERS.map(HeaderName::from_static);
    Ok([(account, values.0), (call, values.1)])
}

/// Returns whether calls with this method may be repeated, as the service declares.
pub fn class_of(snapshot: &Snapshot, service: ServiceKey, method: &str) -> CallClass {
    let declared = snapshot.services.get(service);
    match declared {
        Some(service) if service.repeatable.iter().any(|m| **m == *method) => CallClass::Repeatable,
        _ => CallClass::Once,
    }
}

fn split_path(snapshot: &Snapshot, req: &Request) -> Result<(ServiceKey, String), Refusal> {
    let rest = req.path().strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let query = req.uri().query().map(|q| format!("?{q}")).unwrap_or_default();
    let key = snapshot.service(name).ok_or(Refusal::not_run(RefusalCode::NotFound))?;
    Ok((key, format!("/{path}{query}")))
}

fn idempotency_key(head: &RequestHead) -> Result<Option<String>, Refusal> {
    let Some(value) = head.headers().get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().ok().filter(|t| !t.is_empty() && t.len() <= MAX_KEY_BYTES);
    text.map(|t| Some(t.to_owned())).ok_or(Refusal::not_run(RefusalCode::BadRequest))
}

/// Executes a call under a key that the caller chose.
async fn execute_claimed(
    worker: Rc<Worker>,
    snapshot: &Snapshot,
    plain: PlainCall,
    head: &RequestHead,
    key: &str,
) -> Result<CallResponse, Refusal> {
    let retention = snapshot.deployment.record_retention;
    check_key_age(head, retention)?;
    let account = snapshot.accounts.get(plain.account).map(|a| a.name.clone());
    let service = snapshot.services.get(plain.service).map(|s| s.name.clone());
    let row = claim_key(&account.unwrap_or_default(), &service.unwrap_or_default(), key);
    let claim_id = WriteId(rand::random());
    let request = KeyedRequest { claim_id, request_digest: plain.digest(), retention };
    let (records, shared) = (worker.records.clone(), worker.shared.clone());
    let wait = plain.timeout + plain.outcome_timeout;
    match TableClaim::check_row(records, shared, row, request, wait).await {
        Ok(claim) => execute(worker, plain, KeyGuard::Claimed(Box::new(claim))).await,
        Err(verdict) => CallResponse::from_verdict(verdict),
    }
}

/// Refuses a key whose creation time, as sent by the caller, is `retention` or more ago, without a
/// read of the table.
fn check_key_age(head: &RequestHead, retention: Duration) -> Result<(), Refusal> {
    let Some(value) = head.headers().get(KEY_TIME_HEADER) else {
        return Ok(());
    };
    let millis = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    let created = millis.map(UnixMillis).ok_or(Refusal::not_run(RefusalCode::BadRequest))?;
    if clock::unix_millis().since(created) >= retention {
        return Err(Refusal::unknown(RefusalCode::KeyExpired));
    }
    Ok(())
}

impl CallResponse {
    /// Converts the verdict on a key into the result of a call that is not sent.
    pub fn from_verdict(
        verdict: Verdict<cumintrail_wire::record::ResponseRecord>,
    ) -> Result<Self, Refusal> {
        match verdict {
            Verdict::Replay(record) => Ok(Self::from_record(record)),
            Verdict::Refuse(refusal) => Err(refusal),
            Verdict::Run | Verdict::Unclaimed => Err(Refusal::unknown(RefusalCode::OutcomeUnknown)),
        }
    }
}

fn to_http_response(call_response: CallResponse) -> Response<ResponseBody> {
    let CallResponse { response, replayed } = call_response;
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut http_response = Response::with_body(status, ResponseBody::Full(response.body));
    for (name, value) in response.headers {
        http_response.headers_mut().append(name, value);
    }
    if replayed {
        let name = HeaderName::from_static(REPLAYED_HEADER);
        http_response.headers_mut().insert(name, HeaderValue::from_static("true"));
    }
    http_response
}
