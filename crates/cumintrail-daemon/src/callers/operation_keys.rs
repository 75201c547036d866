//! Operation keys, which are issued without access to the platform and used only at their issuer.

use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, Request, Response};
use cumintrail_client::{Peer, ServiceCall};
use cumintrail_config::Snapshot;
use cumintrail_control::once::{IN_PROGRESS_RETRY_AFTER, OperationKey, Verdict};
use cumintrail_types::{Refusal, RefusalCode, WriteId};
use cumintrail_wire::caller::OperationKeyResponse;
use cumintrail_wire::peer::{ForwardReply, ForwardRequest};
use cumintrail_wire::record::ResponseRecord;

use super::key_guard::{IssuedKey, KeyGuard};
use super::refusal::json_response;
use super::service_call::{PlainCall, class_of};
use super::service_task::{CallResponse, execute};
use super::{ResponseBody, Worker, auth};
use crate::control_thread::OPERATION_KEY_LIFETIME;
use crate::metric;

const OK: u16 = 200;
const STOPPING_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Extends the timeout of a forwarded call, so that a response that the issuer sends at the
/// deadline still arrives.
const FORWARD_MARGIN: Duration = Duration::from_millis(500);

/// Issues a key that only this incarnation of the daemon can use.
pub fn issue(worker: &Worker, req: &Request) -> Result<Response<ResponseBody>, Refusal> {
    let snapshot = worker.snapshot()?;
    let account = auth::authenticate(req.head(), &snapshot)?;
    let shared = &worker.shared;
    if shared.is_stopping() {
        return Err(Refusal::not_run(RefusalCode::Stopping).retry_after(STOPPING_RETRY_AFTER));
    }
    let name = snapshot.accounts.get(account).map(|a| a.name.clone()).unwrap_or_default();
    let (address, incarnation) = (shared.peer_address(), shared.incarnation);
    let id = WriteId(rand::random());
    let key = shared.operation_key_signer.issue(&name, address, incarnation, shared.now(), id);
    let expires_in_ms = OPERATION_KEY_LIFETIME.as_millis() as u64;
    Ok(json_response(OK, &OperationKeyResponse { key: key.to_string(), expires_in_ms }))
}

/// Runs a call under an operation key if this VM issued the key, or forwards it to the issuer.
pub async fn handle(
    worker: Rc<Worker>,
    snapshot: &Snapshot,
    plain: PlainCall,
    text: &str,
) -> Result<CallResponse, Refusal> {
    let account = snapshot.accounts.get(plain.account).map(|a| a.name.clone()).unwrap_or_default();
    let key = verified_key(&worker, &account, text)?;
    if key.address == worker.shared.peer_address() {
        return run(worker, plain, key).await;
    }
    let service = snapshot.services.get(plain.service).map(|s| s.name.to_string());
    forward(&worker, &plain, key, account.to_string(), service.unwrap_or_default()).await
}

fn verified_key(worker: &Worker, account: &str, text: &str) -> Result<OperationKey, Refusal> {
    let parsed = text.parse().ok();
    let verified = parsed.filter(|key| worker.shared.operation_key_signer.verifies(account, key));
    verified.ok_or(Refusal::not_run(RefusalCode::BadRequest))
}

/// Runs a call under a key that carries the address of this VM.
async fn run(
    worker: Rc<Worker>,
    plain: PlainCall,
    key: OperationKey,
) -> Result<CallResponse, Refusal> {
    if key.incarnation != worker.shared.incarnation {
        // The issuing process has ended, and its record of the key is lost.
        return Err(Refusal::unknown(RefusalCode::OutcomeUnknown));
    }
    match worker.shared.control.begin_key(key, plain.digest()).await {
        Verdict::Run => {
            let shared = worker.shared.clone();
            execute(worker, plain, KeyGuard::Issued(IssuedKey { shared, id: key.id })).await
        }
        verdict => CallResponse::from_verdict(verdict),
    }
}

/// Forwards the call to the issuer of its key; if this fails, no other daemon runs the call.
async fn forward(
    worker: &Worker,
    plain: &PlainCall,
    key: OperationKey,
    account: String,
    service: String,
) -> Result<CallResponse, Refusal> {
    let headers = plain.call.headers.iter();
    let text = headers.filter_map(|(n, v)| Some((n.to_string(), v.to_str().ok()?.to_owned())));
    let request = ForwardRequest {
        account,
        service,
        key: key.to_string(),
        method: plain.call.method.to_string(),
        path: plain.call.path.clone(),
        headers: text.collect(),
        body: (&*plain.call.body).into(),
        within_ms: plain.timeout.as_millis() as u64,
    };
    let within = plain.timeout + FORWARD_MARGIN;
    let reply = worker.peers.forward(key.address, &request, within).await;
    let outcome = if reply.is_ok() { "answered" } else { "lost" };
    metrics::counter!(metric::FORWARDS, "outcome" => outcome).increment(1);
    match reply {
        Ok(ForwardReply::Answered { answer, replayed }) => {
            Ok(CallResponse { response: answer.into(), replayed })
        }
        Ok(ForwardReply::Refused(refusal)) => Err(refusal.into()),
        Err(_) => {
            let refusal = Refusal::unknown(RefusalCode::OutcomeUnknown);
            Err(refusal.retry_after(IN_PROGRESS_RETRY_AFTER))
        }
    }
}

/// Runs a call that another daemon forwarded to this one as the issuer of its key.
pub async fn run_forwarded(worker: Rc<Worker>, request: ForwardRequest) -> ForwardReply {
    match try_forwarded(worker, request).await {
        Ok(CallResponse { response, replayed }) => {
            ForwardReply::Answered { answer: ResponseRecord::from(&response), replayed }
        }
        Err(refusal) => ForwardReply::Refused(refusal.into()),
    }
}

async fn try_forwarded(
    worker: Rc<Worker>,
    request: ForwardRequest,
) -> Result<CallResponse, Refusal> {
    let snapshot = worker.snapshot()?;
    let active = snapshot.accounts.iter().find(|(_, a)| *a.name == *request.account && !a.retired);
    let (account, _) = active.ok_or(Refusal::not_run(RefusalCode::Unauthorized))?;
    let key = verified_key(&worker, &request.account, &request.key)?;
    if key.address != worker.shared.peer_address() {
        return Err(Refusal::unknown(RefusalCode::OutcomeUnknown));
    }
    let plain = to_plain_call(&worker, &snapshot, account, request)?;
    run(worker, plain.with_outcome_timeout(), key).await
}

fn to_plain_call(
    worker: &Worker,
    snapshot: &Snapshot,
    account: cumintrail_types::AccountKey,
    request: ForwardRequest,
) -> Result<PlainCall, Refusal> {
    let key = snapshot.service(&request.service).ok_or(Refusal::not_run(RefusalCode::NotFound))?;
    let service = snapshot.services.get(key).ok_or(Refusal::not_run(RefusalCode::NotFound))?;
    let method = Method::from_bytes(request.method.as_bytes());
    let method = method.map_err(|_| Refusal::not_run(RefusalCode::BadRequest))?;
    let timeout = Duration::from_millis(request.within_ms).min(service.timeout);
    let class = class_of(snapshot, key, method.as_str());
    let headers = request.headers.into_iter();
    let headers = headers.filter_map(|(n, v)| Some((to_name(&n)?, to_value(&v)?)));
    let call = ServiceCall {
        method,
        path: request.path,
        headers: headers.collect(),
        body: request.body.into(),
        response_timeout: timeout,
    };
    let outcome_timeout = service.timeout;
    let call_key = worker.shared.next_call_key();
    Ok(PlainCall { key: call_key, account, service: key, class, call, timeout, outcome_timeout })
}

fn to_name(text: &str) -> Option<HeaderName> {
    text.parse().ok()
}

fn to_value(text: &str) -> Option<HeaderValue> {
    text.parse().ok()
}
