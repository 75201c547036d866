//! The run of a call to a plain service, from its announcement to its outcome.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use cumintrail_client::{ClientError, Service, ServiceAnswer, ServiceCall};
use cumintrail_config::TargetKind;
use cumintrail_control::once::{IN_PROGRESS_RETRY_AFTER, KeyOutcome, Verdict};
use cumintrail_control::{Arrival, AttemptOutcome, Dispatch, Event, Terms, Usage};
use cumintrail_types::{Ran, Refusal, RefusalCode, Tokens, WeightVersion};
use cumintrail_wire::record::AnswerRecord;
use tokio::sync::{mpsc, oneshot};

use super::Worker;
use super::keyed::Keyed;
use super::model_answer::{lost, refused};
use super::service_call::PlainCall;
use crate::control_thread::Command;
use crate::metric;

const OVERLOADED_RETRY: Duration = Duration::from_secs(1);

/// Holds the answer of a service.
pub struct Answered {
    /// The answer.
    pub answer: ServiceAnswer,
    /// Whether it is the recorded answer of an earlier request.
    pub replayed: bool,
}

impl Answered {
    /// Repeats a recorded answer.
    pub fn replayed(record: AnswerRecord) -> Self {
        metrics::counter!(metric::REPLAYS).increment(1);
        Self { answer: record.into(), replayed: true }
    }
}

/// Runs a call; its task goes on when the caller leaves, so the outcome is always learned.
pub async fn execute(
    worker: Rc<Worker>,
    plain: PlainCall,
    keyed: Keyed,
) -> Result<Answered, Refusal> {
    let commands = match announce(&worker, &plain) {
        Ok(commands) => commands,
        Err(refusal) => {
            keyed.ended(KeyOutcome::NotSent).await;
            return Err(refusal);
        }
    };
    let (tx, rx) = oneshot::channel();
    let PlainCall { call, linger, .. } = plain;
    let run = Run { worker, call, keyed, linger, sent: false, commands, reply: Some(tx) };
    actix_rt::spawn(run.finish());
    rx.await.unwrap_or_else(|_| Err(lost()))
}

fn announce(
    worker: &Worker,
    plain: &PlainCall,
) -> Result<mpsc::UnboundedReceiver<Command>, Refusal> {
    let arrival = Arrival {
        call: plain.key,
        account: plain.account,
        class: plain.class,
        kind: TargetKind::Service(plain.service),
        version: WeightVersion(0),
        pieces: [].into(),
        prompt: Tokens(0),
        max_answer: Tokens(0),
        deadline: worker.shared.now() + plain.patience,
        terms: Terms::default(),
    };
    let overloaded = Refusal::not_run(RefusalCode::Overloaded).retry_after(OVERLOADED_RETRY);
    worker.shared.control.arrive(arrival).map_err(|_| overloaded)
}

type Reply = oneshot::Sender<Result<Answered, Refusal>>;

/// Follows the control thread's commands until the call is answered or given up.
struct Run {
    worker: Rc<Worker>,
    call: ServiceCall,
    keyed: Keyed,
    linger: Duration,
    /// Whether bytes of the call can have left in an earlier attempt.
    sent: bool,
    commands: mpsc::UnboundedReceiver<Command>,
    reply: Option<Reply>,
}

impl Run {
    async fn finish(mut self) {
        let end = loop {
            let command = self.commands.recv().await;
            let ended = match command {
                Some(Command::Dispatch(dispatch)) => self.attempt(&dispatch).await,
                Some(Command::Refuse(refusal)) => Some(self.refuse(&refusal)),
                None => Some(self.refuse(&lost())),
            };
            if let Some(end) = ended {
                break end;
            }
        };
        self.keyed.ended(end).await;
    }

    /// Makes one attempt; returns nothing if the control thread decides what follows.
    async fn attempt(&mut self, dispatch: &Dispatch) -> Option<KeyOutcome<AnswerRecord>> {
        let verdict = tokio::select! {
            biased;
            verdict = self.keyed.before_send() => verdict,
            refusal = refused(&mut self.commands) => return Some(self.refuse(&refusal)),
        };
        if verdict != Verdict::Run {
            self.tell(dispatch, AttemptOutcome::Settled).await;
            self.answer(Answered::from_verdict(verdict));
            return Some(self.end_unanswered());
        }
        let sent = {
            let mut sending = pin!(send(&self.worker, dispatch, &self.call));
            tokio::select! {
                biased;
                sent = &mut sending => sent,
                refusal = refused(&mut self.commands) => {
                    let keyed = self.keyed.is_keyed();
                    let refusal = Refusal { ran: Ran::Unknown, ..refusal };
                    answer(&mut self.reply, Err(repeatable(refusal, keyed)));
                    let linger = if keyed { self.linger } else { Duration::ZERO };
                    let late = actix_rt::time::timeout(linger, sending).await;
                    return Some(late_end(late.unwrap_or(Err(ClientError::Silent)), self.sent));
                }
            }
        };
        let outcome = match &sent {
            Ok(_) => AttemptOutcome::Answered(Usage::default()),
            Err(e) if e.may_have_arrived() => AttemptOutcome::Failed { answered: Tokens(0) },
            Err(_) => AttemptOutcome::NotSent,
        };
        self.sent |= outcome != AttemptOutcome::NotSent;
        self.tell(dispatch, outcome).await;
        let answer = sent.ok()?;
        metrics::counter!(metric::CALLS, "outcome" => "answered").increment(1);
        let end = KeyOutcome::Answered((&answer).into(), answer.body.len());
        self.answer(Ok(Answered { answer, replayed: false }));
        Some(end)
    }

    async fn tell(&self, dispatch: &Dispatch, outcome: AttemptOutcome) {
        let (call, attempt) = (dispatch.call, dispatch.attempt);
        self.worker.shared.control.tell(Event::AttemptEnded { call, attempt, outcome }).await;
    }

    /// Answers with the control thread's refusal; this task knows better whether bytes have left.
    fn refuse(&mut self, refusal: &Refusal) -> KeyOutcome<AnswerRecord> {
        let ran = if self.sent { Ran::Unknown } else { Ran::No };
        let refusal = repeatable(Refusal { ran, ..refusal.clone() }, self.keyed.is_keyed());
        self.answer(Err(refusal));
        self.end_unanswered()
    }

    fn answer(&mut self, result: Result<Answered, Refusal>) {
        answer(&mut self.reply, result);
    }

    const fn end_unanswered(&self) -> KeyOutcome<AnswerRecord> {
        if self.sent { KeyOutcome::Unknown } else { KeyOutcome::NotSent }
    }
}

/// Answers the caller once; one that is gone takes no answer.
fn answer(reply: &mut Option<Reply>, result: Result<Answered, Refusal>) {
    if let Some(reply) = reply.take() {
        let _ = reply.send(result);
    }
}

/// Invites a caller back whose call may have run only if its key makes the repeat safe.
fn repeatable(refusal: Refusal, keyed: bool) -> Refusal {
    match refusal.ran {
        Ran::Unknown if keyed => refusal.retry_after(IN_PROGRESS_RETRY_AFTER),
        _ => refusal,
    }
}

/// Tells what a late result means for the call's key.
fn late_end(
    late: Result<ServiceAnswer, ClientError>,
    sent_before: bool,
) -> KeyOutcome<AnswerRecord> {
    match late {
        Ok(answer) => KeyOutcome::Answered((&answer).into(), answer.body.len()),
        Err(e) if !e.may_have_arrived() && !sent_before => KeyOutcome::NotSent,
        Err(_) => KeyOutcome::Unknown,
    }
}

async fn send(
    worker: &Worker,
    dispatch: &Dispatch,
    call: &ServiceCall,
) -> Result<ServiceAnswer, ClientError> {
    let snapshot = worker.shared.snapshot();
    let target = snapshot.as_ref().and_then(|s| s.targets.get(dispatch.target));
    match target {
        Some(target) => worker.services.call(target.address, call).await,
        None => Err(ClientError::NotSent),
    }
}
