//! Handling of model calls, from the parsed request to the response.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::{RequestHead, Response};
use cumintrail_config::{Snapshot, TargetKind};
use cumintrail_control::quarantine::{CallContent, ContentKey};
use cumintrail_control::{Arrival, AttemptOutcome, Event, RouteOptions};
use cumintrail_types::{
    AccountKey, BlockKey, CallClass, CallKey, Refusal, RefusalCode, Tokens, WeightVersion,
};
use cumintrail_wire::caller::{CompletionRequest, DEFAULT_MAX_TOKENS};
use tokio::sync::mpsc;

use super::engine_attempt::{AttemptEnd, EngineCall};
use super::model_response::{
    CallEvent, ResponseFormat, ResponseFormatter, outcome_unknown, wait_for_refusal,
};
use super::{ResponseBody, Worker, auth, request};
use crate::control_thread::Command;
use crate::metric;

const RETRY_AFTER: Duration = Duration::from_secs(1);
const EVENT_BUFFER_LEN: usize = 32;
const MAX_OUTPUT_TOKENS: u32 = 1 << 20;
/// Maximum number of blocks of one prompt that are suspected of a crash.
const MAX_SHARED_CONTENT: usize = 64;

/// Authenticates the caller, submits its call to the control thread and returns the response.
pub async fn handle(
    worker: Rc<Worker>,
    head: &RequestHead,
    call: CallKey,
    request: CompletionRequest,
    format: ResponseFormat,
) -> Result<Response<ResponseBody>, Refusal> {
    let snapshot = worker.snapshot()?;
    let account = auth::authenticate(head, &snapshot)?;
    let timeout = request::caller_timeout(head, snapshot.deployment.default_deadline)?;
    let model = snapshot.model(&request.model).ok_or(Refusal::not_run(RefusalCode::NotFound))?;
    let max_tokens = request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if request.prompt.is_empty() || max_tokens == 0 || max_tokens > MAX_OUTPUT_TOKENS {
        return Err(Refusal::not_run(RefusalCode::BadRequest));
    }
    let version = snapshot.models.get(model).map_or(WeightVersion(0), |m| m.version);
    let blocks = block_keys(&worker, &snapshot, account, &request, version);

    let now = worker.shared.now();
    let arrival = Arrival {
        call,
        account,
        class: CallClass::Model,
        kind: TargetKind::Engine(model),
        version,
        blocks: blocks.clone(),
        prompt: Tokens((request.prompt.len() as u32).div_ceil(snapshot.deployment.bytes_per_token)),
        max_output: Tokens(max_tokens),
        deadline: now + timeout,
        options: RouteOptions {
            content: content(&snapshot, account, &request, &blocks),
            ..RouteOptions::default()
        },
    };
    let overloaded = Refusal::not_run(RefusalCode::Overloaded).retry_after(RETRY_AFTER);
    let commands = worker.shared.control.submit_call(arrival).map_err(|_| overloaded)?;

    let id = worker.shared.call_id(call);
    let streamed = request.stream;
    let formatter = ResponseFormatter { id: id.clone(), model: request.model.clone(), format };
    let engine_call = EngineCall::new(id.clone(), call, account, request, blocks, version, now);
    let (tx, mut rx) = mpsc::channel(EVENT_BUFFER_LEN);
    actix_rt::spawn(run(worker, snapshot, engine_call, commands, tx));

    let first = rx.recv().await.ok_or_else(|| outcome_unknown().retry_after(RETRY_AFTER))?;
    match first {
        CallEvent::Refused(refusal) => Err(refusal),
        first if streamed => Ok(formatter.streamed_response(first, rx)),
        first => formatter.full_response(first, rx).await,
    }
}

/// Returns the content under which engines may crash: the first blocks of the prompt but the last,
/// which is its own, and the request.
fn content(
    snapshot: &Snapshot,
    account: AccountKey,
    request: &CompletionRequest,
    blocks: &[BlockKey],
) -> CallContent {
    let shared = blocks.split_last().map_or(&[][..], |(_own, shared)| shared);
    let shared = shared.iter().take(MAX_SHARED_CONTENT);
    let account = snapshot.accounts.get(account).map_or("", |account| &account.name);
    let max_tokens = request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).to_le_bytes();
    let (model, prompt) = (request.model.as_bytes(), request.prompt.as_bytes());
    let texts = [account.as_bytes(), model, prompt, &max_tokens[..]];
    CallContent {
        shared: shared.map(|block| ContentKey::of_hash(&block.0)).collect(),
        request: Some(ContentKey::of_request(texts)),
    }
}

/// Derives the block keys of a prompt for one weight version.
pub fn block_keys(
    worker: &Worker,
    snapshot: &Snapshot,
    account: AccountKey,
    request: &CompletionRequest,
    version: WeightVersion,
) -> Arc<[BlockKey]> {
    let name = snapshot.accounts.get(account).map(|a| a.name.clone()).unwrap_or_default();
    let chain = worker.shared.key_chain(&name, &request.model, version);
    let deployment = &snapshot.deployment;
    chain.block_keys(&request.prompt, deployment.block_tokens, deployment.bytes_per_token).into()
}

/// Executes the control thread's commands until the call is completed or refused, or its caller
/// disconnects.
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
            () = tx.closed() => return worker.report_disconnect(call).await,
        };
        let dispatch = match command {
            Some(Command::Dispatch(dispatch)) => dispatch,
            Some(Command::Refuse(refusal)) => {
                let refusal = Refusal { ran: engine_call.ran(), ..refusal };
                let _ = tx.send(CallEvent::Refused(refusal)).await;
                return;
            }
            // Only relayed calls take detours or are abandoned.
            Some(Command::Detour(_) | Command::Abandon(..)) | None => return,
        };
        let ended = tokio::select! {
            ended = engine_call.attempt(&worker, &snapshot, &dispatch, &tx) => ended,
            refusal = wait_for_refusal(&mut commands) => {
                let refusal = Refusal { ran: engine_call.ran(), ..refusal };
                let _ = tx.send(CallEvent::Refused(refusal)).await;
                return;
            }
        };
        let outcome = match ended {
            AttemptEnd::CallerDisconnected => return worker.report_disconnect(call).await,
            AttemptEnd::Outcome(outcome) => outcome,
        };
        let attempt = dispatch.attempt;
        worker.shared.control.send(Event::AttemptEnded { call, attempt, outcome }).await;
        if let AttemptOutcome::Completed(_) = outcome {
            metrics::counter!(metric::CALLS, "outcome" => "answered").increment(1);
            return;
        }
    }
}

impl Worker {
    async fn report_disconnect(&self, call: CallKey) {
        self.shared.control.send(Event::CallerDisconnected { call }).await;
    }
}
