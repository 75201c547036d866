//! A model call from its parsed request to the first event of its answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::{RequestHead, Response};
use cumintrail_config::{Snapshot, TargetKind};
use cumintrail_control::{Arrival, AttemptOutcome, Event, RouteOptions};
use cumintrail_types::{
    AccountKey, BlockKey, CallClass, CallKey, Refusal, RefusalCode, Tokens, WeightVersion,
};
use cumintrail_wire::caller::{CompletionRequest, DEFAULT_MAX_TOKENS};
use tokio::sync::mpsc;

use super::engine_attempt::{AttemptEnd, EngineCall};
use super::model_answer::{AnswerStyle, CallEvent, Formatter, lost, refused};
use super::{CallerBody, Worker, auth, request};
use crate::control_thread::Command;
use crate::metric;

const COME_BACK: Duration = Duration::from_secs(1);
const EVENTS_AHEAD: usize = 32;
/// Limits the answer that one call may ask for.
const MAX_ANSWER: u32 = 1 << 20;

/// Answers a model call.
pub async fn answer(
    worker: Rc<Worker>,
    head: &RequestHead,
    call: CallKey,
    parsed: CompletionRequest,
    style: AnswerStyle,
) -> Result<Response<CallerBody>, Refusal> {
    let snapshot = worker.snapshot()?;
    let account = auth::account_of(head, &snapshot)?;
    let patience = request::patience(head, snapshot.deployment.default_deadline)?;
    let model = snapshot.model(&parsed.model).ok_or(Refusal::not_run(RefusalCode::NotFound))?;
    let max_tokens = parsed.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if parsed.prompt.is_empty() || max_tokens == 0 || max_tokens > MAX_ANSWER {
        return Err(Refusal::not_run(RefusalCode::BadRequest));
    }
    let version = snapshot.models.get(model).map_or(WeightVersion(0), |m| m.version);
    let pieces = piece_keys(&worker, &snapshot, account, &parsed, version);

    let now = worker.shared.now();
    let arrival = Arrival {
        call,
        account,
        class: CallClass::Model,
        kind: TargetKind::Engine(model),
        version,
        blocks: pieces.clone(),
        prompt: Tokens((parsed.prompt.len() as u32).div_ceil(snapshot.deployment.bytes_per_token)),
        max_output: Tokens(max_tokens),
        deadline: now + patience,
        options: RouteOptions::default(),
    };
    let overloaded = Refusal::not_run(RefusalCode::Overloaded).retry_after(COME_BACK);
    let commands = worker.shared.control.arrive(arrival).map_err(|_| overloaded)?;

    let id = worker.shared.call_id(call);
    let streamed = parsed.stream;
    let formatter = Formatter { id: id.clone(), model: parsed.model.clone(), style };
    let engine_call = EngineCall::new(id.clone(), call, account, parsed, pieces, version, now);
    let (tx, mut rx) = mpsc::channel(EVENTS_AHEAD);
    actix_rt::spawn(run(worker, snapshot, engine_call, commands, tx));

    let first = rx.recv().await.ok_or_else(|| lost().retry_after(COME_BACK))?;
    match first {
        CallEvent::Refused(refusal) => Err(refusal),
        first if streamed => Ok(formatter.streamed(first, rx)),
        first => formatter.whole(first, rx).await,
    }
}

/// Derives the block keys of a prompt for one weight version.
pub fn piece_keys(
    worker: &Worker,
    snapshot: &Snapshot,
    account: AccountKey,
    parsed: &CompletionRequest,
    version: WeightVersion,
) -> Arc<[BlockKey]> {
    let name = snapshot.accounts.get(account).map(|a| a.name.clone()).unwrap_or_default();
    let chain = worker.shared.key_chain(&name, &parsed.model, version);
    let deployment = &snapshot.deployment;
    chain.keys_of(&parsed.prompt, deployment.piece, deployment.bytes_per_token).into()
}

/// Follows the control thread's commands until the call is answered or its caller is gone.
async fn run(
    worker: Rc<Worker>,
    snapshot: Arc<Snapshot>,
    mut engine_call: EngineCall,
    mut commands: mpsc::UnboundedReceiver<Command>,
    tx: mpsc::Sender<CallEvent>,
) {
    let call = engine_call.call;
    loop {
        let command = tokio::select! {
            command = commands.recv() => command,
            () = tx.closed() => return worker.tell_gone(call).await,
        };
        let dispatch = match command {
            Some(Command::Dispatch(dispatch)) => dispatch,
            Some(Command::Refuse(refusal)) => {
                let refusal = Refusal { ran: engine_call.ran(), ..refusal };
                let _ = tx.send(CallEvent::Refused(refusal)).await;
                return;
            }
            None => return,
        };
        let ended = tokio::select! {
            ended = engine_call.attempt(&worker, &snapshot, &dispatch, &tx) => ended,
            refusal = refused(&mut commands) => {
                let refusal = Refusal { ran: engine_call.ran(), ..refusal };
                let _ = tx.send(CallEvent::Refused(refusal)).await;
                return;
            }
        };
        let outcome = match ended {
            AttemptEnd::CallerGone => return worker.tell_gone(call).await,
            AttemptEnd::Outcome(outcome) => outcome,
        };
        let attempt = dispatch.attempt;
        worker.shared.control.tell(Event::AttemptEnded { call, attempt, outcome }).await;
        if let AttemptOutcome::Completed(_) = outcome {
            metrics::counter!(metric::CALLS, "outcome" => "answered").increment(1);
            return;
        }
    }
}

impl Worker {
    async fn tell_gone(&self, call: CallKey) {
        self.shared.control.tell(Event::CallerDisconnected { call }).await;
    }
}
