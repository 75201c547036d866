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

use super::model_answer::CallEvent;
use super::{Worker, model_call};
use crate::metric;

/// Resumes in a row that an engine may leave unanswered.
const MAX_UNANSWERED: u8 = 3;
/// Resumes in a row that an engine may answer without a new token; the wait doubles with each.
const MAX_STALLS: u8 = 6;
const PRIORITY_CALL: u8 = 1;
const ESTIMATE_FACTOR: u32 = 2;

/// Holds a model call over all of its attempts.
pub struct EngineCall {
    /// Its key.
    pub call: CallKey,
    id: String,
    account: AccountKey,
    parsed: CompletionRequest,
    pieces: Arc<[BlockKey]>,
    version: WeightVersion,
    arrived: Moment,
    check: StreamChecker,
    answered: Vec<String>,
    sent: bool,
}

/// Tells how an attempt ended.
pub enum AttemptEnd {
    /// The caller closed its connection.
    CallerGone,
    /// The control thread decides what follows.
    Outcome(AttemptOutcome),
}

/// Holds how long the events of an attempt may be waited for.
#[derive(Debug, Clone, Copy)]
struct Gaps {
    /// For the first token, which needs the prompt's state to be computed.
    first: Duration,
    /// For each further one.
    next: Duration,
    /// The last event of earlier attempts.
    before: u32,
}

impl Gaps {
    /// Returns the wait after event `last`, doubled for each stall.
    fn after(self, last: u32, stalls: u8) -> Duration {
        let gap = if last > self.before { self.next } else { self.first };
        gap * 2_u32.pow(u32::from(stalls))
    }
}

/// Counts resumes since the last new token.
///
/// An engine that still knows the call is slow rather than lost. Giving it up early would start the
/// call again elsewhere and add to the load that made it slow.
#[derive(Debug, Clone, Copy, Default)]
struct Resumes {
    /// Those that the engine answered.
    stalls: u8,
    /// Those that it did not, in a row.
    unanswered: u8,
}

impl Resumes {
    const fn are_exhausted(self) -> bool {
        self.stalls >= MAX_STALLS || self.unanswered >= MAX_UNANSWERED
    }
}

/// Tells how one connection of an attempt ended.
enum ConnectionEnd {
    Whole(EndEvent),
    CallerGone,
    /// It went silent, broke, or skipped events: the answer may go on over a new one.
    Lost,
}

impl EngineCall {
    /// Makes a call that no attempt was made of.
    pub const fn new(
        id: String,
        call: CallKey,
        account: AccountKey,
        parsed: CompletionRequest,
        pieces: Arc<[BlockKey]>,
        version: WeightVersion,
        arrived: Moment,
    ) -> Self {
        let check = StreamChecker::new(String::new());
        Self {
            call,
            id,
            account,
            parsed,
            pieces,
            version,
            arrived,
            check,
            answered: Vec::new(),
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
        self.check = StreamChecker::resumed(wire_id.clone(), self.answered.len() as u32);
        let imports = self.import(worker, snapshot, dispatch, at, &wire_id).await;
        let generate = self.generate(worker, snapshot, dispatch, &wire_id, imports);

        let gap = self.token_gap(snapshot);
        let first_gap = dispatch.first_token * ESTIMATE_FACTOR + gap;
        let sent_before = std::mem::replace(&mut self.sent, true);
        let mut stream = match worker.engines.generate(at, &generate, first_gap).await {
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
        let gaps = Gaps { first: first_gap, next: gap, before: self.check.last_id() };
        let mut resumes = Resumes::default();
        loop {
            let last = self.check.last_id();
            if let Some(open) = stream.as_mut() {
                match self.follow(worker, open, gaps, resumes.stalls, tx).await {
                    ConnectionEnd::Whole(end) => return self.finish(worker, end, tx).await,
                    ConnectionEnd::CallerGone => return AttemptEnd::CallerGone,
                    ConnectionEnd::Lost => {}
                }
            }
            if self.check.last_id() > last {
                resumes = Resumes::default();
            }
            if resumes.are_exhausted() {
                return self.failed();
            }
            metrics::counter!(metric::RESUMES).increment(1);
            stream = match worker.engines.resume(at, &wire_id, self.check.last_id(), gap).await {
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
        AttemptEnd::Outcome(AttemptOutcome::Failed { answered: self.check.output_tokens() })
    }

    /// Imports the planned blocks and returns the names of those that match their seals.
    async fn import(
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
            import_one(worker, snapshot, at, *fetch, name, plan.within)
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
        let took = worker.shared.now().since(started);
        let (call, target) = (self.call, dispatch.target);
        worker.shared.control.tell(Event::Fetched { call, target, outcomes, took }).await;
        names
    }

    fn generate(
        &self,
        worker: &Worker,
        snapshot: &Snapshot,
        dispatch: &Dispatch,
        wire_id: &str,
        imports: Vec<String>,
    ) -> Generate {
        let pieces = if dispatch.version == self.version {
            self.pieces.clone()
        } else {
            model_call::piece_keys(worker, snapshot, self.account, &self.parsed, dispatch.version)
        };
        Generate {
            call: wire_id.to_owned(),
            attempt: dispatch.attempt.0,
            model: self.parsed.model.clone(),
            version: dispatch.version,
            prompt: self.parsed.prompt.clone(),
            pieces: pieces.to_vec(),
            piece_tokens: snapshot.deployment.piece.0,
            imports,
            answered: self.answered.clone(),
            max_tokens: self.parsed.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            priority: PRIORITY_CALL,
        }
    }

    /// Passes on what one connection yields, as long as it is consecutive and the call's own.
    async fn follow(
        &mut self,
        worker: &Worker,
        stream: &mut AnswerStream,
        gaps: Gaps,
        stalls: u8,
        tx: &mpsc::Sender<CallEvent>,
    ) -> ConnectionEnd {
        let patience = worker.shared.settings.request_timeout;
        let opened_at = self.check.last_id();
        loop {
            let last = self.check.last_id();
            let limit = gaps.after(last, if last > opened_at { 0 } else { stalls });
            let event = tokio::select! {
                event = stream.next(limit) => event,
                () = tx.closed() => return ConnectionEnd::CallerGone,
            };
            match event {
                Ok(AnswerEvent::Token(id, token)) => match self.check.token(&token.call, id) {
                    EventCheck::Accept => {
                        self.note_token(worker, token.text.clone()).await;
                        // A caller that does not read holds its slot no longer than one that
                        // does not write.
                        let sending = tx.send_timeout(CallEvent::Token(token.text), patience);
                        if sending.await.is_err() {
                            return ConnectionEnd::CallerGone;
                        }
                    }
                    EventCheck::Duplicate => count_dropped("duplicate"),
                    EventCheck::Gap => {
                        count_dropped("gap");
                        return ConnectionEnd::Lost;
                    }
                    EventCheck::Foreign => {
                        count_dropped("foreign");
                        return ConnectionEnd::Lost;
                    }
                },
                Ok(AnswerEvent::End(id, end)) => match self.check.end(&end.call, id) {
                    EventCheck::Accept => return ConnectionEnd::Whole(end),
                    check => {
                        count_dropped(if check == EventCheck::Foreign { "foreign" } else { "gap" });
                        return ConnectionEnd::Lost;
                    }
                },
                Err(_) => return ConnectionEnd::Lost,
            }
        }
    }

    async fn note_token(&mut self, worker: &Worker, text: String) {
        if self.answered.is_empty() {
            let waited = worker.shared.now().since(self.arrived);
            metrics::histogram!(metric::FIRST_TOKEN).record(waited.as_secs_f64());
            worker.shared.control.tell(Event::FirstToken { call: self.call }).await;
        }
        self.answered.push(text);
    }

    async fn finish(
        &self,
        worker: &Worker,
        end: EndEvent,
        tx: &mpsc::Sender<CallEvent>,
    ) -> AttemptEnd {
        let usage = Usage::from(&end);
        count_prompt(usage);
        let reason = end.reason;
        let patience = worker.shared.settings.request_timeout;
        match tx.send_timeout(CallEvent::End { reason, usage }, patience).await {
            Ok(()) => AttemptEnd::Outcome(AttemptOutcome::Answered(usage)),
            Err(_) => AttemptEnd::CallerGone,
        }
    }

    fn token_gap(&self, snapshot: &Snapshot) -> Duration {
        let model = snapshot.model(&self.parsed.model).and_then(|key| snapshot.models.get(key));
        model.map_or(Duration::from_secs(2), |m| m.token_gap)
    }
}

/// Lets the engine stage one block and compares what arrived with its seal.
async fn import_one(
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

fn count_prompt(usage: Usage) {
    let sources =
        [("memory", usage.cached), ("store", usage.imported), ("computed", usage.recomputed())];
    for (source, tokens) in sources {
        metrics::counter!(metric::PROMPT_TOKENS, "source" => source).increment(tokens.0.into());
    }
}

fn count_dropped(reason: &'static str) {
    metrics::counter!(metric::DROPPED_EVENTS, "reason" => reason).increment(1);
}
