//! Calls to plain services: what is asked, and under which key.

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
    ACCOUNT_HEADER, CALL_HEADER, IDEMPOTENCY_HEADER, KEY_TIME_HEADER, REPLAYED_HEADER,
};
use cumintrail_wire::record::claim_key;

use super::keyed::{Keyed, TableClaim};
use super::service_run::{Answered, execute};
use super::{CallerBody, Worker, auth, operation_keys, request};
use crate::clock;

const ROOT: &str = "/services/";
/// Headers that only the daemon sets towards a service.
const OWN_HEADERS: [&str; 2] = [ACCOUNT_HEADER, CALL_HEADER];
const MAX_KEY_BYTES: usize = 255;

/// Describes an authenticated call to a plain service.
pub struct PlainCall {
    /// Its key at this daemon.
    pub key: CallKey,
    /// The client account.
    pub account: AccountKey,
    /// The service.
    pub service: ServiceKey,
    /// Whether it may be sent again.
    pub class: CallClass,
    /// What is sent.
    pub call: ServiceCall,
    /// How long the caller waits.
    pub patience: Duration,
    /// How long an outcome is waited for once the caller was answered; only keyed calls do.
    pub linger: Duration,
}

impl PlainCall {
    /// Returns the digest by which a reuse of a key for something else is told.
    pub fn digest(&self) -> Digest {
        let head = format!("{}\0{}\0", self.call.method, self.call.path);
        Digest::of(&[head.as_bytes(), &*self.call.body].concat())
    }

    /// Lets the target take longer than the caller waits, so that the outcome is still learned.
    pub fn keyed(mut self) -> Self {
        self.call.within = self.patience + self.linger;
        self
    }
}

/// Answers a call to `/services/{name}/…`.
pub async fn answer(
    worker: Rc<Worker>,
    mut req: Request,
    call: CallKey,
) -> Result<Response<CallerBody>, Refusal> {
    let snapshot = worker.snapshot()?;
    let account = auth::account_of(req.head(), &snapshot)?;
    let plain = read_call(&worker, &snapshot, account, call, &mut req).await?;
    let key = idempotency_key(req.head())?.filter(|_| plain.class == CallClass::Once);
    let answered = match key {
        None => execute(worker, plain, Keyed::Unkeyed).await,
        Some(key) if OperationKey::has_prefix(&key) => {
            operation_keys::answer(worker, &snapshot, plain.keyed(), &key).await
        }
        Some(key) => answer_claimed(worker, &snapshot, plain.keyed(), req.head(), &key).await,
    };
    answered.map(to_response)
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
    let patience = request::patience(req.head(), service.timeout)?;
    let settings = &worker.shared.settings;
    let body = request::read_body(req, settings.max_body_bytes, settings.request_timeout).await?;
    let passed =
        |name: &HeaderName| *name != AUTHORIZATION && !OWN_HEADERS.contains(&name.as_str());
    let headers = req.headers().iter().filter(|(name, _)| passed(name));
    let headers = headers.map(|(name, value)| (name.clone(), value.clone()));
    let own = own_headers(worker, snapshot, account, key)?;
    let call = ServiceCall {
        method: req.method().clone(),
        path,
        headers: headers.chain(own).collect(),
        body,
        within: patience,
    };
    let class = class_of(snapshot, service_key, call.method.as_str());
    let linger = service.timeout;
    Ok(PlainCall { key, account, service: service_key, class, call, patience, linger })
}

/// Names the call and its client account to the service, which never sees the API key.
fn own_headers(
    worker: &Worker,
    snapshot: &Snapshot,
    account: AccountKey,
    call: CallKey,
) -> Result<[(HeaderName, HeaderValue); 2], Refusal> {
    let name = snapshot.accounts.get(account).map(|a| a.name.clone()).unwrap_or_default();
    let id = worker.shared.call_id(call);
    let value = |text: &str| HeaderValue::from_bytes(text.as_bytes()).ok();
    let values = value(&name).zip(value(&id)).ok_or(Refusal::not_run(RefusalCode::BadRequest))?;
    let [account, call] = OWN_HEADERS.map(HeaderName::from_static);
    Ok([(account, values.0), (call, values.1)])
}

/// Tells how calls with this method may be repeated.
pub fn class_of(snapshot: &Snapshot, service: ServiceKey, method: &str) -> CallClass {
    let declared = snapshot.services.get(service);
    match declared {
        Some(service) if service.repeatable.iter().any(|m| **m == *method) => CallClass::Repeatable,
        _ => CallClass::Once,
    }
}

fn split_path(snapshot: &Snapshot, req: &Request) -> Result<(ServiceKey, String), Refusal> {
    let rest = req.path().strip_prefix(ROOT).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let query = req.uri().query().map(|q| format!("?{q}")).unwrap_or_default();
    let key = snapshot.service(name).ok_or(Refusal::not_run(RefusalCode::NotFound))?;
    Ok((key, format!("/{path}{query}")))
}

fn idempotency_key(head: &RequestHead) -> Result<Option<String>, Refusal> {
    let Some(value) = head.headers().get(IDEMPOTENCY_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().ok().filter(|t| !t.is_empty() && t.len() <= MAX_KEY_BYTES);
    text.map(|t| Some(t.to_owned())).ok_or(Refusal::not_run(RefusalCode::BadRequest))
}

/// Answers a call under a key that the caller chose.
async fn answer_claimed(
    worker: Rc<Worker>,
    snapshot: &Snapshot,
    plain: PlainCall,
    head: &RequestHead,
    key: &str,
) -> Result<Answered, Refusal> {
    let retention = snapshot.deployment.record_life;
    refuse_old_key(head, retention)?;
    let account = snapshot.accounts.get(plain.account).map(|a| a.name.clone());
    let service = snapshot.services.get(plain.service).map(|s| s.name.clone());
    let row = claim_key(&account.unwrap_or_default(), &service.unwrap_or_default(), key);
    let claim_id = WriteId(rand::random());
    let request = KeyedRequest { claim_id, request_digest: plain.digest(), retention };
    let (records, shared) = (worker.records.clone(), worker.shared.clone());
    let wait = plain.patience + plain.linger;
    match TableClaim::look(records, shared, row, request, wait).await {
        Ok(claim) => execute(worker, plain, Keyed::Claimed(Box::new(claim))).await,
        Err(verdict) => Answered::from_verdict(verdict),
    }
}

/// Refuses a key that its caller made too long ago, without a look at the table.
fn refuse_old_key(head: &RequestHead, retention: Duration) -> Result<(), Refusal> {
    let Some(value) = head.headers().get(KEY_TIME_HEADER) else {
        return Ok(());
    };
    let millis = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    let made = millis.map(UnixMillis).ok_or(Refusal::not_run(RefusalCode::BadRequest))?;
    if clock::wall_millis().since(made) >= retention {
        return Err(Refusal::unknown(RefusalCode::KeyExpired));
    }
    Ok(())
}

impl Answered {
    /// Answers without running, as a key's record demands.
    pub fn from_verdict(
        verdict: Verdict<cumintrail_wire::record::AnswerRecord>,
    ) -> Result<Self, Refusal> {
        match verdict {
            Verdict::Replay(answer) => Ok(Self::replayed(answer)),
            Verdict::Refuse(refusal) => Err(refusal),
            Verdict::Run | Verdict::Unclaimed => Err(Refusal::unknown(RefusalCode::OutcomeUnknown)),
        }
    }
}

fn to_response(answered: Answered) -> Response<CallerBody> {
    let Answered { answer, replayed } = answered;
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::with_body(status, CallerBody::Whole(answer.body));
    for (name, value) in answer.headers {
        response.headers_mut().append(name, value);
    }
    if replayed {
        let name = HeaderName::from_static(REPLAYED_HEADER);
        response.headers_mut().insert(name, HeaderValue::from_static("true"));
    }
    response
}
