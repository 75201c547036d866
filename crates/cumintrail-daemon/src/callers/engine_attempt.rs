//! Attempts of a model call: block imports, the streamed response, and its resumption after a
//! connection timed out or broke.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_client::{ClientError, Engine, ResponseEvent, ResponseStream};
use cumintrail_config::Snapshot;
use cumintrail_control::stream::{EventCheck, StreamChecker};
use cumintrail_control::{
    AttemptOutcome, Dispatch, Event, Fetch, FetchOutcome, ResponseEnd, Usage,
};
use cumintrail_types::{AccountKey, BlockKey, CallKey, Moment, Ran, StoreKey, WeightVersion};
use cumintrail_wire::caller::{CompletionRequest, DEFAULT_MAX_TOKENS};
use cumintrail_wire::engine::{
    EndEvent, EngineRefusalReason, GenerateRequest, ImportOutcome, ImportRequest,
};
use smallvec::SmallVec;
use tokio::sync::mpsc;

use super::model_response::CallEvent;
use super::{Worker, model_call};
use crate::metric;

/// Consecutive resumes without a response from the engine after which the attempt fails.
const MAX_UNANSWERED_RESUMES: u8 = 3;
/// Resumes with a response but without a new token after which the attempt fails; the timeout
/// doubles with each.
const MAX_STALLED_RESUMES: u8 = 6;
const CALL_PRIORITY: u8 = 1;
const FIRST_TOKEN_ESTIMATE_FACTOR: u32 = 2;

/// Tracks a model call over all of its attempts.
pub struct EngineCall {
    /// The key of the call at this daemon.
    pub call: CallKey,
    id: String,
    account: AccountKey,
    request: CompletionRequest,
    blocks: Arc<[BlockKey]>,
    version: WeightVersion,
    arrived_at: Moment,
    checker: StreamChecker,
    output: Vec<String>,
    sent: bool,
}

/// Describes how an attempt ended.
pub enum AttemptEnd {
    /// The caller closed its connection.
    CallerDisconnected,
    /// The attempt ended with an outcome that the control thread is to handle.
    Outcome(AttemptOutcome),
}

/// Defines how long to wait for each event of an attempt.
#[derive(Debug, Clone, Copy)]
struct EventTimeouts {
    /// The timeout of the first token, for which the engine computes the prompt's state.
    first: Duration,
    /// The timeout of each later event.
    next: Duration,
    /// The id of the last event of earlier attempts, or zero.
    resumed_after: u32,
}

impl EventTimeouts {
    /// Returns the timeout of the event after `last_id`, doubled for each stalled resume.
    fn after_event(self, last_id: u32, stalls: u8) -> Duration {
        let timeout = if last_id > self.resumed_after { self.next } else { self.first };
        timeout * 2_u32.pow(u32::from(stalls))
    }
}

/// Counts resumes since the last new token.
///
/// An engine that still responds to resumes of the call is slow, not failed. Failing the attempt
/// early would restart the call on another engine and add to the load that slowed the first one.
#[derive(Debug, Clone, Copy, Default)]
struct ResumeCounts {
    /// Resumes to which the engine responded.
    stalls: u8,
    /// Consecutive resumes to which the engine did not respond.
    unanswered: u8,
}

impl ResumeCounts {
    const fn are_exhausted(self) -> bool {
        self.stalls >= MAX_STALLED_RESUMES || self.unanswered >= MAX_UNANSWERED_RESUMES
    }
}

/// Describes how one connection of an attempt ended.
enum ConnectionEnd {
    Complete(EndEvent),
    CallerDisconnected,
    /// The connection timed out, broke, skipped an event or delivered one of another call; the
    /// response may be resumed over a new connection.
    Interrupted,
}

impl EngineCall {
    /// Creates a call before its first attempt.
    pub const fn new(
        id: String,
        call: CallKey,
        account: AccountKey,
        request: CompletionRequest,
        blocks: Arc<[BlockKey]>,
        version: WeightVersion,
        arrived_at: Moment,
    ) -> Self {
        let checker = StreamChecker::new(String::new());
        Self {
            call,
            id,
            account,
            request,
            blocks,
            version,
            arrived_at,
            checker,
            output: Vec::new(),
            sent: false,
        }
    }

    /// Returns what is known about the execution of the call.
    pub const fn ran(&self) -> Ran {
        if self.sent { Ran::Unknown } else { Ran::No }
    }

    /// Makes one attempt: imports blocks, sends the call and relays its response.
    pub async fn attempt(
        &mut self,
        worker: &Worker,
        snapshot: &Snapshot,
        dispatch: &Dispatch,
        tx: &mpsc::Sender<CallEvent>,
    ) -> AttemptEnd {
        let latest = worker.shared.snapshot();
        let snapshot = latest.as_deref().unwrap_or(snapshot);
        let Some(target) = snapshot.targets.get(dispatch.target) else {
            return AttemptEnd::Outcome(AttemptOutcome::NotSent);
        };
        let at = target.address;
        let wire_id = format!("{}-{}", self.id, dispatch.attempt);
        self.checker = StreamChecker::resumed(wire_id.clone(), self.output.len() as u32);
        let imports = self.import_blocks(worker, snapshot, dispatch, at, &wire_id).await;
        let generate = self.generate_request(worker, snapshot, dispatch, &wire_id, imports);

        let token_timeout = self.token_gap(snapshot);
        let first_timeout = dispatch.first_token * FIRST_TOKEN_ESTIMATE_FACTOR + token_timeout;
        let sent_before = std::mem::replace(&mut self.sent, true);
        let mut stream = match worker.engines.generate(at, &generate, first_timeout).await {
            Ok(stream) => Some(stream),
            Err(ClientError::NotSent) => {
                self.sent = sent_before;
                return AttemptEnd::Outcome(AttemptOutcome::NotSent);
            }
            Err(ClientError::Refused { reason }) => {
                self.sent = sent_before;
                let leaving = reason == EngineRefusalReason::Leaving;
                return AttemptEnd::Outcome(AttemptOutcome::RefusedByTarget { leaving });
            }
            Err(_) => None,
        };
        let timeouts = EventTimeouts {
            first: first_timeout,
            next: token_timeout,
            resumed_after: self.checker.last_id(),
        };
        let mut resumes = ResumeCounts::default();
        loop {
            let last_id = self.checker.last_id();
            if let Some(open) = stream.as_mut() {
                match self.relay_events(worker, open, timeouts, resumes.stalls, tx).await {
                    ConnectionEnd::Complete(end) => return self.finish(worker, end, tx).await,
                    ConnectionEnd::CallerDisconnected => return AttemptEnd::CallerDisconnected,
                    ConnectionEnd::Interrupted => {}
                }
            }
            if self.checker.last_id() > last_id {
                resumes = ResumeCounts::default();
            }
            if resumes.are_exhausted() {
                return self.fail(worker).await;
            }
            metrics::counter!(metric::STREAM_RESUMES).increment(1);
            stream = match worker
                .engines
                .resume(at, &wire_id, self.checker.last_id(), token_timeout)
                .await
            {
                Ok(stream) => {
                    resumes.stalls += 1;
                    resumes.unanswered = 0;
                    Some(stream)
                }
                // An engine that does not have the response cannot deliver it later either.
                Err(ClientError::Refused { .. }) => return self.fail(worker).await,
                Err(_) => {
                    resumes.unanswered += 1;
                    None
                }
            };
        }
    }

    /// Ends an attempt whose response broke off and cannot be resumed.
    async fn fail(&self, worker: &Worker) -> AttemptEnd {
        let event = Event::ResponseEnded { call: self.call, end: ResponseEnd::Broken };
        worker.shared.control.send(event).await;
        AttemptEnd::Outcome(AttemptOutcome::Failed { can_continue: true })
    }

    /// Imports the planned blocks and returns the import names of those that match their seals.
    async fn import_blocks(
        &self,
        worker: &Worker,
        snapshot: &Snapshot,
        dispatch: &Dispatch,
        at: SocketAddr,
        wire_id: &str,
    ) -> Vec<String> {
        let plan = &dispatch.plan;
        if plan.fetches.is_empty() {
            return Vec::new();
        }
        let started = worker.shared.now();
        let orders = plan.fetches.iter().enumerate().map(|(i, fetch)| {
            let name = format!("{wire_id}-{i}");
            import_block(worker, snapshot, at, *fetch, name, plan.timeout)
        });
        let results = futures_util::future::join_all(orders).await;

        let mut outcomes: SmallVec<[(StoreKey, BlockKey, FetchOutcome); 4]> = SmallVec::new();
        let mut names = Vec::new();
        for (fetch, (name, outcome)) in plan.fetches.iter().zip(results) {
            outcomes.push((fetch.store, fetch.sealed.key, outcome));
            count_import(fetch, outcome);
            if outcome == FetchOutcome::Imported {
                names.push(name);
            }
        }
        let elapsed = worker.shared.now().since(started);
        let (call, target) = (self.call, dispatch.target);
        worker.shared.control.send(Event::FetchesEnded { call, target, outcomes, elapsed }).await;
        names
    }

    fn generate_request(
        &self,
        worker: &Worker,
        snapshot: &Snapshot,
        dispatch: &Dispatch,
        wire_id: &str,
        imports: Vec<String>,
    ) -> GenerateRequest {
        let blocks = if dispatch.version == self.version {
            self.blocks.clone()
        } else {
            model_call::block_keys(worker, snapshot, self.account, &self.request, dispatch.version)
        };
        GenerateRequest {
            call: wire_id.to_owned(),
            attempt: dispatch.attempt.0,
            model: self.request.model.clone(),
            version: dispatch.version,
            prompt: self.request.prompt.clone(),
            pieces: blocks.to_vec(),
            piece_tokens: snapshot.deployment.block_tokens.0,
            imports,
            answered: self.output.clone(),
            max_tokens: self.request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            priority: CALL_PRIORITY,
        }
    }

    /// Relays the events of one connection while they are consecutive and belong to the call.
    async fn relay_events(
        &mut self,
        worker: &Worker,
        stream: &mut ResponseStream,
        timeouts: EventTimeouts,
        stalls: u8,
        tx: &mpsc::Sender<CallEvent>,
    ) -> ConnectionEnd {
        let send_timeout = worker.shared.settings.request_timeout;
        let start_id = self.checker.last_id();
        loop {
            let last_id = self.checker.last_id();
            let timeout =
                timeouts.after_event(last_id, if last_id > start_id { 0 } else { stalls });
            let event = tokio::select! {
                event = stream.next(timeout) => event,
                () = tx.closed() => return ConnectionEnd::CallerDisconnected,
            };
            match event {
                Ok(ResponseEvent::Token(id, token)) => match self.checker.token(&token.call, id) {
                    EventCheck::Accept => {
                        self.record_token(worker, token.text.clone()).await;
                        // A caller that stops reading its response occupies a slot no longer than
                        // one that stops sending its request: both have the request timeout.
                        let sending = tx.send_timeout(CallEvent::Token(token.text), send_timeout);
                        if sending.await.is_err() {
                            return ConnectionEnd::CallerDisconnected;
                        }
                    }
                    EventCheck::Duplicate => count_dropped_event("duplicate"),
                    EventCheck::Gap => {
                        count_dropped_event("gap");
                        return ConnectionEnd::Interrupted;
                    }
                    EventCheck::Foreign => {
                        count_dropped_event("foreign");
                        return ConnectionEnd::Interrupted;
                    }
                },
                Ok(ResponseEvent::End(id, end)) => match self.checker.end(&end.call, id) {
                    EventCheck::Accept => return ConnectionEnd::Complete(end),
                    check => {
                        count_dropped_event(if check == EventCheck::Foreign {
                            "foreign"
                        } else {
                            "gap"
                        });
                        return ConnectionEnd::Interrupted;
                    }
                },
                Err(_) => return ConnectionEnd::Interrupted,
            }
        }
    }

    async fn record_token(&mut self, worker: &Worker, text: String) {
        if self.output.is_empty() {
            let waited = worker.shared.now().since(self.arrived_at);
            metrics::histogram!(metric::FIRST_TOKEN_SECONDS).record(waited.as_secs_f64());
            worker.shared.control.send(Event::FirstToken { call: self.call }).await;
        }
        self.output.push(text);
    }

    async fn finish(
        &self,
        worker: &Worker,
        end: EndEvent,
        tx: &mpsc::Sender<CallEvent>,
    ) -> AttemptEnd {
        let usage = Usage::from(&end);
        count_prompt_tokens(usage);
        let reason = end.reason;
        let timeout = worker.shared.settings.request_timeout;
        match tx.send_timeout(CallEvent::End { reason, usage }, timeout).await {
            Ok(()) => AttemptEnd::Outcome(AttemptOutcome::Completed(usage)),
            Err(_) => AttemptEnd::CallerDisconnected,
        }
    }

    fn token_gap(&self, snapshot: &Snapshot) -> Duration {
        let model = snapshot.model(&self.request.model).and_then(|key| snapshot.models.get(key));
        model.map_or(Duration::from_secs(2), |m| m.token_gap)
    }
}

/// Requests the engine to stage one block, and compares the staged block with its seal.
async fn import_block(
    worker: &Worker,
    snapshot: &Snapshot,
    at: SocketAddr,
    fetch: Fetch,
    name: String,
    within: Duration,
) -> (String, FetchOutcome) {
    let Some(store) = snapshot.stores.get(fetch.store) else {
        return (name, FetchOutcome::Missing);
    };
    let sealed = fetch.sealed;
    let order = ImportRequest {
        import: name.clone(),
        key: sealed.key,
        store: store.address,
        write_id: sealed.write_id,
    };
    let outcome = match worker.engines.import(at, &order, within).await.map(|r| r.outcome) {
        Ok(ImportOutcome::Staged { digest, length }) if sealed.matches(digest, length) => {
            FetchOutcome::Imported
        }
        Ok(ImportOutcome::Staged { .. }) => FetchOutcome::Mismatch,
        Ok(ImportOutcome::Missing) => FetchOutcome::Missing,
        Ok(ImportOutcome::Failed) | Err(_) => FetchOutcome::Failed,
    };
    (name, outcome)
}

fn count_import(fetch: &Fetch, outcome: FetchOutcome) {
    let label = match outcome {
        FetchOutcome::Imported => "imported",
        FetchOutcome::Missing => "missing",
        FetchOutcome::Mismatch => "mismatch",
        FetchOutcome::Failed => "failed",
    };
    metrics::counter!(metric::IMPORTS, "outcome" => label).increment(1);
    if outcome == FetchOutcome::Imported {
        metrics::counter!(metric::IMPORTED_BYTES).increment(fetch.sealed.length.0);
    }
}

fn count_prompt_tokens(usage: Usage) {
    let sources =
        [("memory", usage.cached), ("store", usage.imported), ("computed", usage.recomputed())];
    for (source, tokens) in sources {
        metrics::counter!(metric::PROMPT_TOKENS, "source" => source).increment(tokens.0.into());
    }
}

fn count_dropped_event(reason: &'static str) {
    metrics::counter!(metric::DROPPED_EVENTS, "reason" => reason).increment(1);
}
