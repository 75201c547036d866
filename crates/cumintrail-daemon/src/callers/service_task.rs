//! Execution of a call to a plain service, from its submission to its outcome.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use cumintrail_client::{ClientError, Service, ServiceCall, ServiceResponse};
use cumintrail_config::TargetKind;
use cumintrail_control::once::{IN_PROGRESS_RETRY_AFTER, KeyOutcome, Verdict};
use cumintrail_control::quarantine::{CallContent, ContentKey};
use cumintrail_control::{
    Arrival, AttemptOutcome, Dispatch, Event, ResponseEnd, RouteOptions, Usage,
};
use cumintrail_types::{Ran, Refusal, RefusalCode, Tokens, WeightVersion};
use cumintrail_wire::record::ResponseRecord;
use tokio::sync::{mpsc, oneshot};

use super::Worker;
use super::key_guard::KeyGuard;
use super::model_response::{outcome_unknown, wait_for_refusal};
use super::service_call::PlainCall;
use crate::control_thread::Command;
use crate::metric;

const OVERLOADED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Carries the response of a service to the request handler.
pub struct CallResponse {
    /// The status, headers and body.
    pub response: ServiceResponse,
    /// Whether the response was recorded for an earlier request with the same key.
    pub replayed: bool,
}

impl CallResponse {
    /// Creates the replay of a recorded response, and counts it.
    pub fn from_record(record: ResponseRecord) -> Self {
        metrics::counter!(metric::REPLAYED_RESPONSES).increment(1);
        Self { response: record.into(), replayed: true }
    }
}

/// Executes a call in a task that continues after the caller disconnects, so that the outcome is
/// still recorded.
pub async fn execute(
    worker: Rc<Worker>,
    plain: PlainCall,
    key_guard: KeyGuard,
) -> Result<CallResponse, Refusal> {
    let commands = match submit(&worker, &plain) {
        Ok(commands) => commands,
        Err(refusal) => {
            key_guard.record_outcome(KeyOutcome::NotSent).await;
            return Err(refusal);
        }
    };
    let (tx, rx) = oneshot::channel();
    let PlainCall { call, outcome_timeout, .. } = plain;
    let task = ServiceTask {
        worker,
        call,
        key_guard,
        outcome_timeout,
        sent: false,
        commands,
        response_tx: Some(tx),
    };
    actix_rt::spawn(task.run());
    rx.await.unwrap_or_else(|_| Err(outcome_unknown()))
}

fn submit(worker: &Worker, plain: &PlainCall) -> Result<mpsc::UnboundedReceiver<Command>, Refusal> {
    let arrival = Arrival {
        call: plain.key,
        account: plain.account,
        class: plain.class,
        kind: TargetKind::Service(plain.service),
        version: WeightVersion(0),
        blocks: [].into(),
        prompt: Tokens(0),
        max_output: Tokens(0),
        deadline: worker.shared.now() + plain.timeout,
        options: RouteOptions { content: content(worker, plain), ..RouteOptions::default() },
    };
    let overloaded = Refusal::not_run(RefusalCode::Overloaded).retry_after(OVERLOADED_RETRY_AFTER);
    worker.shared.control.submit_call(arrival).map_err(|_| overloaded)
}

/// Returns the content under which targets may crash: the whole request, which a caller may repeat.
fn content(worker: &Worker, plain: &PlainCall) -> CallContent {
    let snapshot = worker.shared.snapshot();
    let service = snapshot.as_ref().and_then(|s| s.services.get(plain.service));
    let service = service.map_or("", |service| &service.name);
    let request = ContentKey::of_request([service.as_bytes(), &plain.digest().0]);
    CallContent { shared: [].into(), request: Some(request) }
}

type ResponseSender = oneshot::Sender<Result<CallResponse, Refusal>>;

/// Executes the control thread's commands until the call is completed or refused.
struct ServiceTask {
    worker: Rc<Worker>,
    call: ServiceCall,
    key_guard: KeyGuard,
    outcome_timeout: Duration,
    /// Whether an earlier attempt may have sent bytes of the call.
    sent: bool,
    commands: mpsc::UnboundedReceiver<Command>,
    response_tx: Option<ResponseSender>,
}

impl ServiceTask {
    async fn run(mut self) {
        let outcome = loop {
            let command = self.commands.recv().await;
            let ended = match command {
                Some(Command::Dispatch(dispatch)) => self.attempt(&dispatch).await,
                Some(Command::Refuse(refusal)) => Some(self.refuse(&refusal)),
                // Only relayed calls take detours or are abandoned.
                Some(Command::Detour(_) | Command::Abandon(..)) | None => {
                    Some(self.refuse(&outcome_unknown()))
                }
            };
            if let Some(outcome) = ended {
                break outcome;
            }
        };
        self.key_guard.record_outcome(outcome).await;
    }

    /// Makes one attempt; returns `None` if the control thread decides whether another one follows.
    async fn attempt(&mut self, dispatch: &Dispatch) -> Option<KeyOutcome<ResponseRecord>> {
        let verdict = tokio::select! {
            biased;
            verdict = self.key_guard.before_send() => verdict,
            refusal = wait_for_refusal(&mut self.commands) => return Some(self.refuse(&refusal)),
        };
        if verdict != Verdict::Run {
            self.report_end(dispatch, AttemptOutcome::RespondedLocally).await;
            self.respond(CallResponse::from_verdict(verdict));
            return Some(self.outcome_without_response());
        }
        let sent = {
            let mut sending = pin!(send(&self.worker, dispatch, &self.call));
            tokio::select! {
                biased;
                sent = &mut sending => sent,
                refusal = wait_for_refusal(&mut self.commands) => {
                    let has_key = self.key_guard.has_key();
                    let refusal = Refusal { ran: Ran::Unknown, ..refusal };
                    send_response(&mut self.response_tx, Err(add_retry_after(refusal, has_key)));
                    let timeout = if has_key { self.outcome_timeout } else { Duration::ZERO };
                    let sent = actix_rt::time::timeout(timeout, sending).await;
                    return Some(late_outcome(sent.unwrap_or(Err(ClientError::Timeout)), self.sent));
                }
            }
        };
        let outcome = match &sent {
            Ok(_) => AttemptOutcome::Completed(Usage::default()),
            Err(e) if e.may_have_arrived() => AttemptOutcome::Failed { can_continue: true },
            Err(_) => AttemptOutcome::NotSent,
        };
        self.sent |= outcome != AttemptOutcome::NotSent;
        let end = match &sent {
            Ok(response) if (200..300).contains(&response.status) => None,
            Ok(_) => Some(ResponseEnd::Inconclusive),
            Err(_) => Some(ResponseEnd::Broken),
        };
        if let Some(end) = end.filter(|_| outcome != AttemptOutcome::NotSent) {
            let event = Event::ResponseEnded { call: dispatch.call, end };
            self.worker.shared.control.send(event).await;
        }
        self.report_end(dispatch, outcome).await;
        let response = sent.ok()?;
        metrics::counter!(metric::CALLS, "outcome" => "answered").increment(1);
        let key_outcome = KeyOutcome::Answered((&response).into(), response.body.len());
        self.respond(Ok(CallResponse { response, replayed: false }));
        Some(key_outcome)
    }

    async fn report_end(&self, dispatch: &Dispatch, outcome: AttemptOutcome) {
        let (call, attempt) = (dispatch.call, dispatch.attempt);
        self.worker.shared.control.send(Event::AttemptEnded { call, attempt, outcome }).await;
    }

    /// Responds with the control thread's refusal, but sets `ran` here, since only this task knows
    /// whether bytes of the call may have been sent.
    fn refuse(&mut self, refusal: &Refusal) -> KeyOutcome<ResponseRecord> {
        let ran = if self.sent { Ran::Unknown } else { Ran::No };
        let refusal = add_retry_after(Refusal { ran, ..refusal.clone() }, self.key_guard.has_key());
        self.respond(Err(refusal));
        self.outcome_without_response()
    }

    fn respond(&mut self, result: Result<CallResponse, Refusal>) {
        send_response(&mut self.response_tx, result);
    }

    const fn outcome_without_response(&self) -> KeyOutcome<ResponseRecord> {
        if self.sent { KeyOutcome::Unknown } else { KeyOutcome::NotSent }
    }
}

/// Sends the response to the handler unless one was sent before; a disconnected caller gets none.
fn send_response(tx: &mut Option<ResponseSender>, result: Result<CallResponse, Refusal>) {
    if let Some(tx) = tx.take() {
        let _ = tx.send(result);
    }
}

/// Adds a retry delay to a refusal of a call that may have run, if its key makes a retry safe.
fn add_retry_after(refusal: Refusal, has_key: bool) -> Refusal {
    match refusal.ran {
        Ran::Unknown if has_key => refusal.retry_after(IN_PROGRESS_RETRY_AFTER),
        _ => refusal,
    }
}

/// Returns the outcome of a call whose target responded or failed after the caller was refused.
fn late_outcome(
    result: Result<ServiceResponse, ClientError>,
    sent_before: bool,
) -> KeyOutcome<ResponseRecord> {
    match result {
        Ok(response) => KeyOutcome::Answered((&response).into(), response.body.len()),
        Err(e) if !e.may_have_arrived() && !sent_before => KeyOutcome::NotSent,
        Err(_) => KeyOutcome::Unknown,
    }
}

async fn send(
    worker: &Worker,
    dispatch: &Dispatch,
    call: &ServiceCall,
) -> Result<ServiceResponse, ClientError> {
    let snapshot = worker.shared.snapshot();
    let target = snapshot.as_ref().and_then(|s| s.targets.get(dispatch.target));
    match target {
        Some(target) => worker.services.call(target.address, call).await,
        None => Err(ClientError::NotSent),
    }
}
