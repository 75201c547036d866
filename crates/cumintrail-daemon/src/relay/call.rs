//! One relayed call, from the head of its request to the last byte of its response.

use std::sync::Arc;

use actix_http::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderValue, RETRY_AFTER};
use actix_http::{Request, Response, StatusCode};
use cumintrail_config::{Route, Snapshot, TargetKind};
use cumintrail_control::home_regions::AllowedRegions;
use cumintrail_control::parts::part_key;
use cumintrail_control::stream_origins::{StreamId, StreamRequest};
use cumintrail_control::{Arrival, Event, RouteOptions};
use cumintrail_types::{
    AccountKey, BlockKey, CallClass, Digest, Ran, Refusal, RefusalCode, Tokens, Urgency,
};
use smallvec::SmallVec;

use super::attempt::{self, AttemptEnd};
use super::body::read_body;
use super::caller::{CallerConnection, CallerInput};
use super::content::{content, request_content};
use super::dialect::{HeaderDialect, RequestMetadata, bearer_token};
use super::events::EventSplitter;
use super::relayed_call::{RelayedCall, engine_cache_salt, report_attempt_end, write_response};
use super::{Worker, detour, lines};
use crate::control_thread::Command;
use crate::metric;

/// The client account that is charged for calls without a known key on public routes.
pub const PUBLIC_ACCOUNT: &str = "public";
/// The retry delay for callers when this daemon cannot accept a call but another daemon may.
pub(super) const OTHER_DAEMON_RETRY_AFTER: std::time::Duration =
    std::time::Duration::from_millis(50);

/// Handles a request; returns whether the connection can be reused.
pub(super) async fn handle_request<D: HeaderDialect>(
    worker: &Worker<D>,
    caller: &mut CallerConnection,
    req: Request,
) -> bool {
    if worker.is_stopping() {
        caller.disable_keep_alive();
    }
    let metadata = match worker.dialect.parse_request(req.head()) {
        Ok(metadata) => metadata,
        Err(refusal) => {
            return write_refusal(worker, caller, &RequestMetadata::default(), &refusal).await;
        }
    };
    match start_call(worker, caller, req, &metadata).await {
        Ok(Some(mut call)) => {
            let reusable = run_call(worker, caller, &mut call).await;
            metrics::histogram!(metric::RELAYED_CALL_SECONDS)
                .record(worker.shared.now().since(call.arrived).as_secs_f64());
            reusable
        }
        Ok(None) => false,
        Err(refusal) => write_refusal(worker, caller, &metadata, &refusal).await,
    }
}

/// Refuses a request whose head cannot be read, and closes the connection.
pub(super) async fn reject<D: HeaderDialect>(
    worker: &Worker<D>,
    caller: &mut CallerConnection,
    refusal: &Refusal,
) {
    caller.disable_keep_alive();
    write_refusal(worker, caller, &RequestMetadata::default(), refusal).await;
}

/// Finds the route and the account, reads the start of the body and registers the call with the
/// control thread; `None` if the caller disconnected.
async fn start_call<D: HeaderDialect>(
    worker: &Worker<D>,
    caller: &mut CallerConnection,
    req: Request,
    metadata: &RequestMetadata,
) -> Result<Option<RelayedCall>, Refusal> {
    let shared = &worker.shared;
    let arrived = shared.now();
    let not_configured =
        Refusal::not_run(RefusalCode::NotConfigured).retry_after(OTHER_DAEMON_RETRY_AFTER);
    let snapshot = shared.snapshot().ok_or(not_configured)?;
    // The caller may know a configuration that is in force at its own daemon already.
    if caller.is_peer() && detour::sender_generation(req.head()) > Some(snapshot.generation) {
        return Err(Refusal::not_run(RefusalCode::NotConfigured));
    }
    let route = find_route(&snapshot, &req)?;
    let (account, account_name) = find_account(&snapshot, route, &req)?;
    let limits = snapshot.deployment.callers;
    let content_length = req.head().headers().get(actix_http::header::CONTENT_LENGTH);
    let content_length = content_length.and_then(|v| v.to_str().ok()?.parse::<usize>().ok());
    if content_length.is_some_and(|length| length > limits.body_bytes) {
        caller.disable_keep_alive();
        return Err(Refusal::not_run(RefusalCode::TooLarge));
    }
    let timeout = metadata.timeout.map_or(route.timeout, |t| t.min(route.timeout));
    let deadline = arrived + timeout;
    let read = read_body(caller, limits.body_bytes);
    let read = tokio::select! {
        read = actix_rt::time::timeout(timeout, read) => read,
        () = worker.calls_ended() => {
            let refusal = Refusal::not_run(RefusalCode::Stopping);
            return Err(refusal.retry_after(OTHER_DAEMON_RETRY_AFTER));
        }
    };
    let Ok(read) = read else {
        caller.disable_keep_alive();
        return Err(Refusal::not_run(RefusalCode::RequestTimeout));
    };
    let Some((body, body_complete)) = read? else {
        return Ok(None);
    };

    let random = rand::random();
    let kind = route.choose_kind(random).ok_or(Refusal::not_run(RefusalCode::NoTarget))?;
    let declared_account = snapshot.accounts.get(account);
    let account_urgency = declared_account.and_then(|a| a.urgency);
    let account_regions = declared_account.map_or(&[][..], |a| &a.allowed_regions);
    let allowed_regions = AllowedRegions::combine(&route.allowed_regions, account_regions);
    let urgency = Urgency::combine(account_urgency, route.urgency);
    let version = match kind {
        TargetKind::Engine(model) => snapshot.models.get(model).map(|m| m.version),
        TargetKind::Service(_) => None,
    };
    let version = version.unwrap_or_default();
    let secret = shared.settings.block_secret.expose();
    let regions = allowed_regions.as_ref();
    let cache_salt = engine_cache_salt(&snapshot, account, kind, secret, version, regions);
    let named =
        cache_salt.into_iter().flat_map(|salt| metadata.parts.iter().map(move |part| (salt, part)));
    let blocks: Vec<BlockKey> = named.map(|(salt, part)| part_key(salt, &part.name)).collect();
    let mut end = Tokens(0);
    let block_ends = metadata.parts.iter().map(|part| {
        end += part.tokens;
        end
    });
    let key = shared.next_call_key();
    let body_bytes = content_length.unwrap_or_default().max(body.len()) as u32;
    let body_allowance = limits.body_bytes - body.len();
    let request = request_content(&req, account_name.as_deref(), metadata, &body, body_complete);
    let arrival = Arrival {
        call: key,
        account,
        class: route.class,
        kind,
        version,
        blocks: blocks.into(),
        prompt: metadata.prompt,
        max_output: metadata.max_output,
        deadline,
        options: RouteOptions {
            urgency,
            max_attempts: Some(route.max_attempts),
            cache_salt,
            block_ends: block_ends.collect(),
            first_token_objective: Some(route.latency_objective),
            stream: stream_request(route.class, account_name.as_deref(), metadata),
            content: content(metadata, request),
            allowed_regions: allowed_regions.clone(),
            body_bytes,
            is_detour: caller.is_peer(),
        },
    };
    let overloaded =
        Refusal::not_run(RefusalCode::Overloaded).retry_after(OTHER_DAEMON_RETRY_AFTER);
    let commands = shared.control.submit_call(arrival).map_err(|_| overloaded)?;
    let (class, route) = (route.class, route.name.clone());
    Ok(Some(RelayedCall {
        key,
        events: EventSplitter::resume_after(metadata.last_event_id),
        metadata: metadata.clone(),
        req,
        snapshot,
        account,
        account_name,
        allowed_regions,
        class,
        kind,
        route,
        urgency,
        arrived,
        deadline,
        body,
        body_complete,
        body_consumed: false,
        body_allowance,
        carried_by: SmallVec::new(),
        may_have_run: false,
        target_responded: false,
        response_started: false,
        failed_response: None,
        request,
        commands,
    }))
}

/// Describes how a call relates to a resumable stream; `None` for other classes.
fn stream_request(
    class: CallClass,
    account: Option<&str>,
    metadata: &RequestMetadata,
) -> Option<StreamRequest> {
    let account = account.unwrap_or(PUBLIC_ACCOUNT);
    let stream = |id: &Option<HeaderValue>| {
        let id = id.as_ref()?.to_str().ok()?;
        Some(StreamId::of(account, id))
    };
    match metadata.last_event_id {
        _ if class != CallClass::ResumableStream => None,
        Some(_) => Some(StreamRequest::Continue(stream(&metadata.resumes))),
        None => Some(StreamRequest::Begin(stream(&metadata.id))),
    }
}

fn find_route<'a>(snapshot: &'a Snapshot, req: &Request) -> Result<&'a Route, Refusal> {
    let host = req.head().headers().get(HOST).and_then(|v| v.to_str().ok()).unwrap_or_default();
    let found = snapshot.routes.find(host, req.path()).and_then(|key| snapshot.routes.get(key));
    found.ok_or(Refusal::not_run(RefusalCode::NotFound))
}

/// Finds the client account that is charged for a call; the name is `None` for a call without a
/// known key on a public route.
fn find_account(
    snapshot: &Snapshot,
    route: &Route,
    req: &Request,
) -> Result<(AccountKey, Option<Arc<str>>), Refusal> {
    let key_digest = bearer_token(req.head()).map(|key| Digest::of(key.as_bytes()));
    let known = key_digest.and_then(|digest| snapshot.account_by_key_digest(&digest));
    let named = |key: AccountKey| snapshot.accounts.get(key).map(|a| a.name.clone());
    let public = || snapshot.accounts.iter().find(|(_, a)| &*a.name == PUBLIC_ACCOUNT);
    match known {
        Some(key) => Ok((key, named(key))),
        None if route.public => {
            let public = public().map(|(key, _)| (key, None));
            public.ok_or(Refusal::not_run(RefusalCode::Unauthorized))
        }
        None => Err(Refusal::not_run(RefusalCode::Unauthorized)),
    }
}

/// Executes the commands of the control thread until the call ends; returns whether the connection
/// can be reused.
async fn run_call<D: HeaderDialect>(
    worker: &Worker<D>,
    caller: &mut CallerConnection,
    call: &mut RelayedCall,
) -> bool {
    loop {
        let command = tokio::select! {
            biased;
            command = call.commands.recv() => command,
            input = caller.next_input(false) => {
                debug_assert!(matches!(input, CallerInput::Closed), "no body chunk was requested");
                return abandon_call(worker, call).await;
            }
        };
        let (attempt, end) = match command {
            Some(Command::Dispatch(dispatch)) => {
                (dispatch.attempt, attempt::run(worker, caller, call, &dispatch).await)
            }
            Some(Command::Detour(detour)) => {
                (detour.attempt, attempt::run_detour(worker, caller, call, detour).await)
            }
            // The attempt ended before it could be abandoned.
            Some(Command::Abandon(..)) => continue,
            Some(Command::Refuse(refusal)) => {
                return end_refused_call(worker, caller, call, refusal).await;
            }
            // The control thread, which stops last, has stopped, so no further command follows.
            None => {
                let refusal = Refusal::not_run(RefusalCode::Stopping);
                let refusal = refusal.retry_after(OTHER_DAEMON_RETRY_AFTER);
                return end_refused_call(worker, caller, call, refusal).await;
            }
        };
        let refusal = match end {
            AttemptEnd::Completed => return caller.is_reusable(),
            AttemptEnd::Disconnected => return abandon_call(worker, call).await,
            AttemptEnd::Truncated => return false,
            AttemptEnd::Refused(refusal) => refusal,
            AttemptEnd::TooLarge => {
                let event = Event::CallerDisconnected { call: call.key };
                worker.shared.control.send(event).await;
                caller.disable_keep_alive();
                Refusal::not_run(RefusalCode::TooLarge)
            }
            AttemptEnd::Unsuccessful(outcome) => {
                report_attempt_end(worker, call, attempt, outcome).await;
                continue;
            }
        };
        return end_refused_call(worker, caller, call, refusal).await;
    }
}

/// Ends a call that the control thread refused; returns whether the connection can be reused.
async fn end_refused_call<D: HeaderDialect>(
    worker: &Worker<D>,
    caller: &mut CallerConnection,
    call: &mut RelayedCall,
    refusal: Refusal,
) -> bool {
    if call.response_started {
        // Closing the connection shows the caller that the response is truncated.
        lines::ended(call, worker.shared.now(), "cut", refusal.code);
        return false;
    }
    if let Some(failure) = call.failed_response.take() {
        lines::ended(call, worker.shared.now(), "failure-passed-on", refusal.code);
        return write_response(caller, failure).await.is_ok() && caller.is_reusable();
    }
    if !call.body_complete {
        caller.disable_keep_alive();
    }
    let ran = if call.may_have_run { Ran::Unknown } else { Ran::No };
    let refusal = Refusal { ran, ..refusal };
    lines::ended(call, worker.shared.now(), "refused", refusal.code);
    write_refusal(worker, caller, &call.metadata, &refusal).await
}

/// Ends a call whose caller disconnected; returns that the connection cannot be reused.
async fn abandon_call<D: HeaderDialect>(worker: &Worker<D>, call: &RelayedCall) -> bool {
    lines::caller_left(call, worker.shared.now());
    worker.shared.control.send(Event::CallerDisconnected { call: call.key }).await;
    false
}

/// Returns the status of a refusal, from which a caller learns whether its call may have run.
fn refusal_status(refusal: &Refusal) -> u16 {
    match (refusal.code, refusal.ran) {
        // No target ran the call, so the caller may retry it.
        (RefusalCode::Deadline | RefusalCode::TargetFailed, Ran::No) => 503,
        (RefusalCode::Deadline, Ran::Unknown) => 504,
        (_, Ran::Unknown) => 502,
        (code, Ran::No) => code.status(),
    }
}

/// Writes a refusal; returns whether the connection can be reused.
async fn write_refusal<D: HeaderDialect>(
    worker: &Worker<D>,
    caller: &mut CallerConnection,
    metadata: &RequestMetadata,
    refusal: &Refusal,
) -> bool {
    if worker.is_stopping() {
        caller.disable_keep_alive();
    }
    let code = refusal.code.to_string();
    metrics::counter!(metric::CALLS, "outcome" => code.clone()).increment(1);
    let status = StatusCode::from_u16(refusal_status(refusal)).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut head = Response::with_body(status, ());
    let headers: &mut HeaderMap = head.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    worker.dialect.write_call_id(headers, metadata);
    if caller.is_peer() {
        detour::write_refusal_code(headers, &code);
    }
    if let Some(after) = refusal.retry_after.filter(|_| refusal.ran == Ran::No)
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64()))
    {
        headers.insert(RETRY_AFTER, value);
    }
    let ran = refusal.ran;
    let body = format!("{{\"code\":\"{code}\",\"ran\":\"{ran}\"}}");
    caller.write_response(head, body.into()).await.is_ok() && caller.is_reusable()
}
