//! The life of one relayed call, from its head to the last byte of its answer.

use std::sync::Arc;

use actix_http::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderValue, RETRY_AFTER};
use actix_http::{Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use cumintrail_config::{Route, Snapshot, TargetKind};
use cumintrail_control::parts::{cache_salt, part_key};
use cumintrail_control::{Arrival, AttemptOutcome, Event, RouteOptions};
use cumintrail_types::{
    AccountKey, BlockKey, CallClass, CallKey, Digest, Moment, Ran, Refusal, RefusalCode, Tokens,
    Urgency, WeightVersion,
};
use tokio::sync::mpsc;

use super::attempt::{self, AttemptEnd};
use super::caller::{Caller, Heard};
use super::dialect::{Asked, Dialect, credential};
use super::events::Events;
use super::lines;
use super::{Worker, attempt::WholeAnswer};
use crate::control_thread::Command;
use crate::metric;

/// Bytes of a body that are read before a target is chosen, and kept for another attempt.
const KEPT_BODY: usize = 64 << 10;
/// Names the client account that calls of public routes are counted for.
pub const PUBLIC_ACCOUNT: &str = "public";
/// Ranks of routes within one rank of accounts.
const ROUTE_RANKS: u8 = 3;
/// How soon a caller may come back when this daemon cannot take the call but another may.
const ELSEWHERE: std::time::Duration = std::time::Duration::from_millis(50);

/// Holds a call from its head on.
pub(super) struct Relayed {
    pub key: CallKey,
    pub asked: Asked,
    pub req: Request,
    pub snapshot: Arc<Snapshot>,
    pub account: AccountKey,
    pub account_name: Option<Arc<str>>,
    pub class: CallClass,
    pub kind: TargetKind,
    pub route: Arc<str>,
    pub urgency: Urgency,
    pub arrived: Moment,
    pub deadline: Moment,
    /// The first bytes of the body, for this and further attempts.
    pub body: Bytes,
    /// Whether all of the body is in `body`.
    pub body_whole: bool,
    /// Whether bytes beyond `body` were sent, so that no other attempt can be made.
    pub body_consumed: bool,
    /// Whether a byte of the call may have reached a target that did not deny having run it.
    pub may_have_run: bool,
    /// Events passed on so far.
    pub events: Events,
    /// Whether the head of the answer was written.
    pub begun: bool,
    /// A failure that a target answered, passed on if no other attempt is made.
    pub failure: Option<WholeAnswer>,
    pub commands: mpsc::UnboundedReceiver<Command>,
}

impl Relayed {
    /// Returns the root of the names under which the state of the prompt is kept.
    pub fn root(&self, secret: &str, version: WeightVersion) -> Option<BlockKey> {
        root(&self.snapshot, self.account, self.kind, secret, version)
    }

    /// Tells whether the call has a prompt whose state can be kept.
    pub fn has_prompt(&self) -> bool {
        !self.asked.parts.is_empty()
    }
}

/// Answers a request; tells whether the connection stays open.
pub(super) async fn answer<D: Dialect>(
    worker: &Worker<D>,
    caller: &mut Caller,
    req: Request,
) -> bool {
    if worker.is_stopping() {
        caller.close_after();
    }
    let asked = match worker.dialect.read(req.head()) {
        Ok(asked) => asked,
        Err(refusal) => {
            return refuse(worker, caller, &Asked::default(), &refusal).await;
        }
    };
    match begin(worker, caller, req, &asked).await {
        Ok(Some(mut call)) => {
            let stays_open = follow(worker, caller, &mut call).await;
            metrics::histogram!(metric::CALL_SECONDS)
                .record(worker.shared.now().since(call.arrived).as_secs_f64());
            stays_open
        }
        Ok(None) => false,
        Err(refusal) => refuse(worker, caller, &asked, &refusal).await,
    }
}

/// Answers a request whose head or body cannot be read.
pub(super) async fn reject<D: Dialect>(worker: &Worker<D>, caller: &mut Caller, refusal: &Refusal) {
    caller.close_after();
    refuse(worker, caller, &Asked::default(), refusal).await;
}

/// Finds route and account, reads the body and announces the call; nothing if the caller left.
async fn begin<D: Dialect>(
    worker: &Worker<D>,
    caller: &mut Caller,
    req: Request,
    asked: &Asked,
) -> Result<Option<Relayed>, Refusal> {
    let shared = &worker.shared;
    let arrived = shared.now();
    let unready = Refusal::not_run(RefusalCode::NotConfigured).retry_after(ELSEWHERE);
    let snapshot = shared.snapshot().ok_or(unready)?;
    let route = find_route(&snapshot, &req)?;
    let (account, account_name) = find_account(&snapshot, route, &req)?;
    let limits = snapshot.deployment.callers;
    let announced = req.head().headers().get(actix_http::header::CONTENT_LENGTH);
    let announced = announced.and_then(|v| v.to_str().ok()?.parse::<usize>().ok());
    if announced.is_some_and(|length| length > limits.body_bytes) {
        caller.close_after();
        return Err(Refusal::not_run(RefusalCode::TooLarge));
    }
    let patience = asked.patience.map_or(route.timeout, |p| p.min(route.timeout));
    let deadline = arrived + patience;
    let read = read_body(caller, limits.body_bytes);
    let Ok(read) = actix_rt::time::timeout(patience, read).await else {
        caller.close_after();
        return Err(Refusal::not_run(RefusalCode::RequestTimeout));
    };
    let Some((body, body_whole)) = read? else {
        return Ok(None);
    };

    let drawn = rand::random();
    let kind = route.choose(drawn).ok_or(Refusal::not_run(RefusalCode::NoTarget))?;
    let declared = snapshot.accounts.get(account).and_then(|a| a.urgency);
    let urgency = rank(declared, route.urgency);
    let version = match kind {
        TargetKind::Engine(model) => snapshot.models.get(model).map(|m| m.version),
        TargetKind::Service(_) => None,
    };
    let version = version.unwrap_or_default();
    let secret = shared.settings.block_secret.expose();
    let cache_salt = root(&snapshot, account, kind, secret, version);
    let named =
        cache_salt.into_iter().flat_map(|salt| asked.parts.iter().map(move |part| (salt, part)));
    let pieces: Vec<BlockKey> = named.map(|(root, part)| part_key(root, &part.name)).collect();
    let mut end = Tokens(0);
    let ends = asked.parts.iter().map(|part| {
        end += part.tokens;
        end
    });
    let key = shared.next_call();
    let arrival = Arrival {
        call: key,
        account,
        class: route.class,
        kind,
        version,
        blocks: pieces.into(),
        prompt: asked.prompt,
        max_output: asked.max_answer,
        deadline,
        options: RouteOptions {
            urgency,
            max_attempts: Some(route.attempts),
            cache_salt,
            block_ends: ends.collect(),
            first_token_objective: Some(route.objective),
        },
    };
    let full = Refusal::not_run(RefusalCode::Overloaded).retry_after(ELSEWHERE);
    let commands = shared.control.arrive(arrival).map_err(|_| full)?;
    let (class, route) = (route.class, route.name.clone());
    Ok(Some(Relayed {
        key,
        events: Events::after(asked.last_event),
        asked: asked.clone(),
        req,
        snapshot,
        account,
        account_name,
        class,
        kind,
        route,
        urgency,
        arrived,
        deadline,
        body,
        body_whole,
        body_consumed: false,
        may_have_run: false,
        begun: false,
        failure: None,
        commands,
    }))
}

/// Ranks a call: by its account first, if that has a rank, then by its route.
fn rank(account: Option<Urgency>, route: Urgency) -> Urgency {
    let route = route.0.min(ROUTE_RANKS - 1);
    account.map_or(Urgency(route), |a| Urgency(a.0.saturating_mul(ROUTE_RANKS) + route))
}

fn find_route<'a>(snapshot: &'a Snapshot, req: &Request) -> Result<&'a Route, Refusal> {
    let host = req.head().headers().get(HOST).and_then(|v| v.to_str().ok()).unwrap_or_default();
    let found = snapshot.routes.find(host, req.path()).and_then(|key| snapshot.routes.get(key));
    found.ok_or(Refusal::not_run(RefusalCode::NotFound))
}

/// Finds the client account that pays for a call, and its name if the target is told.
fn find_account(
    snapshot: &Snapshot,
    route: &Route,
    req: &Request,
) -> Result<(AccountKey, Option<Arc<str>>), Refusal> {
    let shown = credential(req.head()).map(|key| Digest::of(key.as_bytes()));
    let known = shown.and_then(|digest| snapshot.account_of(&digest));
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

/// Returns the root of the names under which the state of a prompt is kept.
fn root(
    snapshot: &Snapshot,
    account: AccountKey,
    kind: TargetKind,
    secret: &str,
    version: WeightVersion,
) -> Option<BlockKey> {
    match kind {
        TargetKind::Engine(model) => Some(cache_salt(secret, snapshot, account, model, version)),
        TargetKind::Service(_) => None,
    }
}

/// Reads the first bytes of a body; nothing if the caller left.
async fn read_body(caller: &mut Caller, limit: usize) -> Result<Option<(Bytes, bool)>, Refusal> {
    let mut body = BytesMut::new();
    while caller.is_body_open() {
        match caller.hear(true).await {
            Heard::Chunk(chunk) if body.len() + chunk.len() > limit => {
                caller.close_after();
                return Err(Refusal::not_run(RefusalCode::TooLarge));
            }
            Heard::Chunk(chunk) => body.extend_from_slice(&chunk),
            Heard::BodyEnd => break,
            Heard::Gone => return Ok(None),
            Heard::Malformed => {
                caller.close_after();
                return Err(Refusal::not_run(RefusalCode::BadRequest));
            }
        }
        if body.len() >= KEPT_BODY {
            break;
        }
    }
    let whole = !caller.is_body_open();
    Ok(Some((body.freeze(), whole)))
}

/// Follows the control thread's commands until the call is answered; tells whether the connection
/// stays open.
async fn follow<D: Dialect>(worker: &Worker<D>, caller: &mut Caller, call: &mut Relayed) -> bool {
    loop {
        let command = tokio::select! {
            biased;
            command = call.commands.recv() => command,
            heard = caller.hear(false) => {
                debug_assert!(matches!(heard, Heard::Gone), "only an end is waited for");
                return leave(worker, call).await;
            }
        };
        let refusal = match command {
            Some(Command::Dispatch(dispatch)) => {
                match attempt::run(worker, caller, call, &dispatch).await {
                    AttemptEnd::Answered => return caller.stays_open(),
                    AttemptEnd::CallerGone => return leave(worker, call).await,
                    AttemptEnd::Cut => return false,
                    AttemptEnd::Refused(refusal) => refusal,
                    AttemptEnd::Ended(outcome) => {
                        let (call, attempt) = (call.key, dispatch.attempt);
                        let event = Event::AttemptEnded { call, attempt, outcome };
                        worker.shared.control.tell(event).await;
                        continue;
                    }
                }
            }
            Some(Command::Refuse(refusal)) => refusal,
            // The control thread ends last; without it nothing more is decided.
            None => Refusal::not_run(RefusalCode::Stopping).retry_after(ELSEWHERE),
        };
        return end(worker, caller, call, refusal).await;
    }
}

/// Ends a call that is given up.
async fn end<D: Dialect>(
    worker: &Worker<D>,
    caller: &mut Caller,
    call: &mut Relayed,
    refusal: Refusal,
) -> bool {
    if call.begun {
        // An answer that ends early must not look complete.
        lines::ended(call, worker.shared.now(), "cut", refusal.code);
        return false;
    }
    if let Some(failure) = call.failure.take() {
        lines::ended(call, worker.shared.now(), "failure-passed-on", refusal.code);
        return attempt::write_whole(caller, failure).await.is_ok() && caller.stays_open();
    }
    if !call.body_whole {
        caller.close_after();
    }
    let ran = if call.may_have_run { Ran::Unknown } else { Ran::No };
    let refusal = Refusal { ran, ..refusal };
    lines::ended(call, worker.shared.now(), "refused", refusal.code);
    refuse(worker, caller, &call.asked, &refusal).await
}

/// Gives a call up whose caller left.
async fn leave<D: Dialect>(worker: &Worker<D>, call: &Relayed) -> bool {
    lines::left(call, worker.shared.now());
    worker.shared.control.tell(Event::CallerDisconnected { call: call.key }).await;
    false
}

/// Returns the status that tells a caller whether its call can have run.
fn status_of(refusal: &Refusal) -> u16 {
    match (refusal.code, refusal.ran) {
        // Nothing was sent, so the caller may come back.
        (RefusalCode::Deadline | RefusalCode::TargetFailed, Ran::No) => 503,
        (RefusalCode::Deadline, Ran::Unknown) => 504,
        (_, Ran::Unknown) => 502,
        (code, Ran::No) => code.status(),
    }
}

/// Writes a refusal; tells whether the connection stays open.
async fn refuse<D: Dialect>(
    worker: &Worker<D>,
    caller: &mut Caller,
    asked: &Asked,
    refusal: &Refusal,
) -> bool {
    let code = refusal.code.to_string();
    metrics::counter!(metric::CALLS, "outcome" => code.clone()).increment(1);
    let status = StatusCode::from_u16(status_of(refusal)).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut head = Response::with_body(status, ());
    let headers: &mut HeaderMap = head.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    worker.dialect.sign(headers, asked);
    if let Some(after) = refusal.retry_after.filter(|_| refusal.ran == Ran::No)
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64()))
    {
        headers.insert(RETRY_AFTER, value);
    }
    let ran = refusal.ran;
    let body = format!("{{\"code\":\"{code}\",\"ran\":\"{ran}\"}}");
    caller.write_whole(head, body.into()).await.is_ok() && caller.stays_open()
}

/// Tells the control thread that a call was answered by this thread.
pub(super) async fn settle<D: Dialect>(
    worker: &Worker<D>,
    call: &Relayed,
    dispatch: &cumintrail_control::Dispatch,
    outcome: AttemptOutcome,
) {
    let attempt = dispatch.attempt;
    worker.shared.control.tell(Event::AttemptEnded { call: call.key, attempt, outcome }).await;
}
