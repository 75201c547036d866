//! Attempts of a model call: imports, the streamed answer, and its continuation when a connection
//! goes silent or breaks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_client::{AnswerEvent, AnswerStream, ClientError, Engine};
use cumintrail_config::Snapshot;
use cumintrail_control::stream::{EventCheck, StreamChecker};
use cumintrail_control::{AttemptOutcome, Dispatch, Event, Fetch, FetchOutcome, Usage};
use cumintrail_types::{AccountKey, BlockKey, CallKey, Moment, Ran, StoreKey, WeightVersion};
use cumintrail_wire::caller::{CompletionRequest, DEFAULT_MAX_TOKENS};
use cumintrail_wire::engine::{EndEvent, EngineReason, Generate, ImportOrder, ImportOutcome};
use smallvec::SmallVec;
use tokio::sync::mpsc;

use super::model_response::CallEvent;
use super::{Worker, model_call};
use crate::metric;

/// Resumes in a row that an engine may leave unanswered.
const MAX_UNANSWERED_RESUMES: u8 = 3;
/// Resumes in a row that an engine may answer without a new token; the wait doubles with each.
const MAX_STALLED_RESUMES: u8 = 6;
const CALL_PRIORITY: u8 = 1;
const FIRST_TOKEN_ESTIMATE_FACTOR: u32 = 2;

/// Holds a model call over all of its attempts.
pub struct EngineCall {
    /// Its key.
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

/// Tells how an attempt ended.
pub enum AttemptEnd {
    /// The caller closed its connection.
    CallerDisconnected,
    /// The control thread decides what follows.
    Outcome(AttemptOutcome),
}

/// Holds how long the events of an attempt may be waited for.
#[derive(Debug, Clone, Copy)]
struct EventTimeouts {
    /// For the first token, which needs the prompt's state to be computed.
    first: Duration,
    /// For each further one.
    next: Duration,
    /// The last event of earlier attempts.
    resumed_after: u32,
}

impl EventTimeouts {
    /// Returns the wait after event `last`, doubled for each stall.
    fn after_event(self, last: u32, stalls: u8) -> Duration {
        let timeout = if last > self.resumed_after { self.next } else { self.first };
        timeout * 2_u32.pow(u32::from(stalls))
    }
}

/// Counts resumes since the last new token.
///
/// An engine that still knows the call is slow rather than lost. Giving it up early would start the
/// call again elsewhere and add to the load that made it slow.
#[derive(Debug, Clone, Copy, Default)]
struct ResumeCounts {
    /// Those that the engine answered.
    stalls: u8,
    /// Those that it did not, in a row.
    unanswered: u8,
}

impl ResumeCounts {
    const fn are_exhausted(self) -> bool {
        self.stalls >= MAX_STALLED_RESUMES || self.unanswered >= MAX_UNANSWERED_RESUMES
    }
}

/// Tells how one connection of an attempt ended.
enum ConnectionEnd {
    Complete(EndEvent),
    CallerDisconnected,
    /// It went silent, broke, or skipped events: the answer may go on over a new one.
    Interrupted,
}

impl EngineCall {
    /// Makes a call that no attempt was made of.
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

    /// Tells what is known of the call's execution.
    pub const fn ran(&self) -> Ran {
        if self.sent { Ran::Unknown } else { Ran::No }
    }

    /// Makes one attempt.
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
                let leaving = reason == EngineReason::Leaving;
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
            let last = self.checker.last_id();
            if let Some(open) = stream.as_mut() {
                match self.relay_events(worker, open, timeouts, resumes.stalls, tx).await {
                    ConnectionEnd::Complete(end) => return self.finish(worker, end, tx).await,
                    ConnectionEnd::CallerDisconnected => return AttemptEnd::CallerDisconnected,
                    ConnectionEnd::Interrupted => {}
                }
            }
            if self.checker.last_id() > last {
                resumes = ResumeCounts::default();
            }
            if resumes.are_exhausted() {
                return self.failed();
            }
            metrics::counter!(metric::RESUMES).increment(1);
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
                // An engine that does not know the answer will not learn of it again.
                Err(ClientError::Refused { .. }) => return self.failed(),
                Err(_) => {
                    resumes.unanswered += 1;
                    None
                }
            };
        }
    }

    const fn failed(&self) -> AttemptEnd {
        AttemptEnd::Outcome(AttemptOutcome::Failed { delivered: self.checker.output_tokens() })
    }

    /// Imports the planned blocks and returns the names of those that match their seals.
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
        worker.shared.control.tell(Event::FetchesEnded { call, target, outcomes, elapsed }).await;
        names
    }

    fn generate_request(
        &self,
        worker: &Worker,
        snapshot: &Snapshot,
        dispatch: &Dispatch,
        wire_id: &str,
        imports: Vec<String>,
    ) -> Generate {
        let blocks = if dispatch.version == self.version {
            self.blocks.clone()
        } else {
            model_call::block_keys(worker, snapshot, self.account, &self.request, dispatch.version)
        };
        Generate {
            call: wire_id.to_owned(),
            attempt: dispatch.attempt.0,
            model: self.request.model.clone(),
            version: dispatch.version,
            prompt: self.request.prompt.clone(),
            pieces: blocks.to_vec(),
            piece_tokens: snapshot.deployment.piece.0,
            imports,
            answered: self.output.clone(),
            max_tokens: self.request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            priority: CALL_PRIORITY,
        }
    }

    /// Passes on what one connection yields, as long as it is consecutive and the call's own.
    async fn relay_events(
        &mut self,
        worker: &Worker,
        stream: &mut AnswerStream,
        timeouts: EventTimeouts,
        stalls: u8,
        tx: &mpsc::Sender<CallEvent>,
    ) -> ConnectionEnd {
        let timeout = worker.shared.settings.request_timeout;
        let opened_at = self.checker.last_id();
        loop {
            let last = self.checker.last_id();
            let limit = timeouts.after_event(last, if last > opened_at { 0 } else { stalls });
            let event = tokio::select! {
                event = stream.next(limit) => event,
                () = tx.closed() => return ConnectionEnd::CallerDisconnected,
            };
            match event {
                Ok(AnswerEvent::Token(id, token)) => match self.checker.token(&token.call, id) {
                    EventCheck::Accept => {
                        self.record_token(worker, token.text.clone()).await;
                        // A caller that does not read holds its slot no longer than one that
                        // does not write.
                        let sending = tx.send_timeout(CallEvent::Token(token.text), timeout);
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
                Ok(AnswerEvent::End(id, end)) => match self.checker.end(&end.call, id) {
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
            metrics::histogram!(metric::FIRST_TOKEN).record(waited.as_secs_f64());
            worker.shared.control.tell(Event::FirstToken { call: self.call }).await;
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

/// Lets the engine stage one block and compares what arrived with its seal.
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
    let order = ImportOrder {
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
        metrics::counter!(metric::LINK_BYTES).increment(fetch.sealed.length.0);
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
