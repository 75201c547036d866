//! One attempt of a relayed call: the exchange with its target.

use actix_http::body::BodySize;
use actix_http::header::{CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_http::{RequestHead, Response, ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use cumintrail_client::{Care, ClientError, Connection, is_end_to_end};
use cumintrail_control::parts::PartPlan;
use cumintrail_control::{AttemptOutcome, Dispatch, Event, Usage};
use cumintrail_types::{CallClass, Refusal, RefusalCode, Tokens};

use smallvec::SmallVec;

use super::call::{Relayed, settle};
use super::caller::{Caller, Heard};
use super::dialect::{Dialect, Outgoing, Said};
use super::{Worker, lines};
use crate::control_thread::Command;
use crate::metric;

/// The longest answer that is held until it is whole; a longer one is passed on as it comes.
const HELD_ANSWER: usize = 256 << 10;
/// Answers to other calls that are read past on one connection.
const MAX_FOREIGN: usize = 2;

/// Tells how an attempt ended.
pub(super) enum AttemptEnd {
    /// The caller has its whole answer, and the control thread knows.
    Answered,
    /// The caller left.
    CallerGone,
    /// The answer had begun and cannot be completed, and the control thread knows.
    Cut,
    /// The control thread gave the call up.
    Refused(Refusal),
    /// The control thread decides what follows.
    Ended(AttemptOutcome),
}

/// Holds an answer of a target until it is passed on.
pub(super) struct WholeAnswer {
    head: ResponseHead,
    body: Bytes,
}

/// Runs an attempt.
pub(super) async fn run<D: Dialect>(
    worker: &Worker<D>,
    caller: &mut Caller,
    call: &mut Relayed,
    dispatch: &Dispatch,
) -> AttemptEnd {
    let snapshot = worker.shared.snapshot().unwrap_or_else(|| call.snapshot.clone());
    let Some(target) = snapshot.targets.get(dispatch.target) else {
        return AttemptEnd::Ended(AttemptOutcome::NotSent);
    };
    let mut attempt = Attempt { worker, caller, call, dispatch, target: &target.instance };
    let end = attempt.connect(target.address).await;
    match end {
        Ok(connection) => attempt.exchange(connection).await,
        Err(end) => end,
    }
}

struct Attempt<'a, D> {
    worker: &'a Worker<D>,
    caller: &'a mut Caller,
    call: &'a mut Relayed,
    dispatch: &'a Dispatch,
    target: &'a str,
}

/// Tells what happened first while the target was waited for.
enum Next<T> {
    Target(Result<T, ClientError>),
    Ended(AttemptEnd),
}

impl<D: Dialect> Attempt<'_, D> {
    async fn connect(&mut self, at: std::net::SocketAddr) -> Result<Connection, AttemptEnd> {
        let once = !self.call.class.is_repeatable();
        let care = if once { Care::High } else { Care::Usual };
        let taken = self.worker.pool.take(at, care);
        let taken = tokio::select! {
            biased;
            taken = taken => taken,
            refusal = refused(&mut self.call.commands) => return Err(AttemptEnd::Refused(refusal)),
            _ = self.caller.hear(false) => return Err(AttemptEnd::CallerGone),
        };
        taken.map_err(|_| {
            self.worker.pool.forget(at);
            self.ended(AttemptOutcome::NotSent, "no-connection")
        })
    }

    async fn exchange(&mut self, mut connection: Connection) -> AttemptEnd {
        let now = self.worker.shared.now();
        if now >= self.call.deadline {
            // The control thread's refusal is on its way.
            return self.ended(AttemptOutcome::NotSent, "too-late");
        }
        if self.call.body_consumed {
            return self.ended(AttemptOutcome::NotSent, "body-gone");
        }
        let reused = connection.is_used();
        lines::sent(self.call, now, self.dispatch, self.target, reused);
        let (head, size) = self.request(now);
        let (has_body, body) = (size != BodySize::None, self.call.body.clone());
        let mut begun = connection.begin(head, size);
        if has_body && begun.is_ok() {
            begun = if body.is_empty() { Ok(()) } else { connection.queue(Some(body)) };
            if begun.is_ok() && self.call.body_whole {
                begun = connection.queue(None);
            }
        }
        if begun.is_err() {
            return self.ended(AttemptOutcome::NotSent, "bad-request-head");
        }
        let mut foreign = 0;
        loop {
            let head = match self.next_head(&mut connection).await {
                Next::Target(Ok(head)) => head,
                Next::Target(Err(e)) => return self.failed(&connection, &e),
                Next::Ended(end) => return end,
            };
            let said = self.worker.dialect.judge(&head, &self.call.asked, self.target);
            match said {
                Said::Foreign if foreign < MAX_FOREIGN => {
                    foreign += 1;
                    metrics::counter!(metric::FOREIGN_ANSWERS).increment(1);
                    if let Err(e) = connection.skip_answer().await {
                        return self.failed(&connection, &e);
                    }
                }
                Said::Foreign => return self.failed(&connection, &ClientError::Unreadable),
                Said::NotRun { gone } => {
                    if self.finish_body(&mut connection).await {
                        self.worker.pool.put(connection);
                    }
                    let outcome = AttemptOutcome::RefusedByTarget { leaving: gone };
                    return self.ended(outcome, "target");
                }
                Said::Answer if self.call.class.is_streamed() && head.status.is_success() => {
                    return self.stream(connection, head).await;
                }
                Said::Answer => return self.whole(connection, head).await,
            }
        }
    }

    /// Makes the head for the target, with the headers that concern both ends.
    fn request(&self, now: cumintrail_types::Moment) -> (RequestHead, BodySize) {
        let asked = self.call.req.head();
        let mut head = RequestHead::default();
        head.method = asked.method.clone();
        head.uri = asked.uri.clone();
        for (name, value) in &asked.headers {
            let is_host = *name == actix_http::header::HOST;
            if is_host || is_end_to_end(name) {
                head.headers.append(name.clone(), value.clone());
            }
        }
        let has_prompt = self.call.has_prompt();
        let secret = self.worker.shared.settings.block_secret.expose();
        let root = self.call.root(secret, self.dispatch.version).filter(|_| has_prompt);
        let stores = &self.call.snapshot.stores;
        let address = |key| stores.get(key).map(|store| store.address);
        let plans = &self.dispatch.parts;
        let read = |plan: &PartPlan| plan.read.and_then(|(key, n)| Some((address(key)?, n)));
        let read: SmallVec<[_; 4]> = plans.parts.iter().map(read).collect();
        let save: SmallVec<[_; 4]> =
            plans.parts.iter().map(|plan| plan.save.and_then(address)).collect();
        let outgoing = Outgoing {
            account: self.call.account_name.as_deref(),
            instance: self.target,
            left: self.call.deadline.since(now),
            cache: root,
            urgency: self.call.urgency,
            version: root.map(|_| self.dispatch.version),
            read: &read,
            save: &save,
            read_until: plans.read_until,
            last_event: self.call.events.last(),
        };
        self.worker.dialect.write(&mut head.headers, &outgoing);
        let length = asked.headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
        let size = match length {
            _ if asked.headers.contains_key(TRANSFER_ENCODING) => BodySize::Stream,
            Some(length) => BodySize::Sized(length),
            None => BodySize::None,
        };
        (head, size)
    }

    /// Waits for the head of the answer, passing on the rest of the body meanwhile.
    async fn next_head(&mut self, connection: &mut Connection) -> Next<ResponseHead> {
        loop {
            let wants_body = self.caller.is_body_open() && connection.has_room();
            tokio::select! {
                biased;
                head = connection.read_head() => return Next::Target(head),
                refusal = refused(&mut self.call.commands) => return self.given_up(refusal),
                heard = self.caller.hear(wants_body) => {
                    if let Some(end) = self.pass_body(connection, heard) {
                        return Next::Ended(end);
                    }
                }
            }
        }
    }

    /// Notes that the control thread gave up a call that may have run.
    fn given_up<T>(&mut self, refusal: Refusal) -> Next<T> {
        self.call.may_have_run = true;
        Next::Ended(AttemptEnd::Refused(refusal))
    }

    /// Passes on what came from the caller; returns how the attempt ends if it cannot go on.
    fn pass_body(&mut self, connection: &mut Connection, heard: Heard) -> Option<AttemptEnd> {
        let queued = match heard {
            Heard::Chunk(chunk) => {
                self.call.body_consumed = true;
                connection.queue(Some(chunk))
            }
            Heard::BodyEnd => connection.queue(None),
            Heard::Gone | Heard::Malformed => return Some(AttemptEnd::CallerGone),
        };
        queued.err().map(|e| self.failed(connection, &e))
    }

    /// Tells whether the whole body was passed on, so that the connection can be used again.
    async fn finish_body(&mut self, connection: &mut Connection) -> bool {
        matches!(connection.read_chunk().await, Ok(None | Some(_))) && !self.caller.is_body_open()
    }

    /// Reads an answer until it is whole, then passes it on.
    async fn whole(&mut self, mut connection: Connection, head: ResponseHead) -> AttemptEnd {
        let mut body = BytesMut::new();
        loop {
            let chunk = match self.next_chunk(&mut connection).await {
                Next::Target(Ok(chunk)) => chunk,
                Next::Target(Err(e)) => return self.failed(&connection, &e),
                Next::Ended(end) => return end,
            };
            match chunk {
                Some(chunk) if body.len() + chunk.len() > HELD_ANSWER => {
                    body.extend_from_slice(&chunk);
                    return self.pass_on(connection, head, body.freeze()).await;
                }
                Some(chunk) => body.extend_from_slice(&chunk),
                None => break,
            }
        }
        self.worker.pool.put(connection);
        let status = head.status;
        let answer = WholeAnswer { head, body: body.freeze() };
        let may_repeat = self.call.class == CallClass::Repeatable && !self.call.body_consumed;
        if status.is_server_error() && may_repeat {
            self.call.failure = Some(answer);
            return self.ended(AttemptOutcome::Failed { delivered: Tokens(0) }, "failure-answered");
        }
        lines::answered(self.call, self.worker.shared.now(), self.dispatch, status.as_u16());
        self.close_if_unread();
        let written = write_whole(self.caller, answer).await;
        self.settle_answered(status).await;
        if written.is_ok() { AttemptEnd::Answered } else { AttemptEnd::Cut }
    }

    /// Passes on an answer that is too long to be held.
    async fn pass_on(
        &mut self,
        mut connection: Connection,
        head: ResponseHead,
        first: Bytes,
    ) -> AttemptEnd {
        let status = head.status;
        self.close_if_unread();
        self.call.begun = true;
        let mut next = Some(first);
        if self.caller.queue_head(answer_head(&head)).is_err() {
            return AttemptEnd::CallerGone;
        }
        while let Some(chunk) = next {
            if self.caller.write_chunk(Some(chunk)).await.is_err() {
                return AttemptEnd::CallerGone;
            }
            next = match self.next_chunk(&mut connection).await {
                Next::Target(Ok(chunk)) => chunk,
                Next::Target(Err(e)) => return self.failed(&connection, &e),
                Next::Ended(end) => return end,
            };
        }
        self.worker.pool.put(connection);
        let written = self.caller.write_chunk(None).await;
        self.settle_answered(status).await;
        if written.is_ok() { AttemptEnd::Answered } else { AttemptEnd::Cut }
    }

    /// Passes on a streamed answer event by event.
    async fn stream(&mut self, mut connection: Connection, head: ResponseHead) -> AttemptEnd {
        let status = head.status;
        if head.headers().contains_key(CONTENT_ENCODING) {
            return self.failed(&connection, &ClientError::Unreadable);
        }
        self.call.events.drop_partial();
        loop {
            let chunk = match self.next_chunk(&mut connection).await {
                Next::Target(Ok(chunk)) => chunk,
                Next::Target(Err(e)) => return self.failed(&connection, &e),
                Next::Ended(end) => return end,
            };
            let Some(chunk) = chunk else { break };
            let Ok(batch) = self.call.events.push(&chunk) else {
                return self.failed(&connection, &ClientError::Unreadable);
            };
            let Some(batch) = batch else { continue };
            if !self.begin_stream(&head).await || self.write(batch.bytes).await.is_err() {
                return AttemptEnd::CallerGone;
            }
        }
        let rest = self.call.events.take_rest();
        if !self.begin_stream(&head).await {
            return AttemptEnd::CallerGone;
        }
        if !rest.is_empty() && self.write(rest).await.is_err() {
            return AttemptEnd::CallerGone;
        }
        self.worker.pool.put(connection);
        lines::answered(self.call, self.worker.shared.now(), self.dispatch, status.as_u16());
        let written = self.caller.write_chunk(None).await;
        self.settle_answered(status).await;
        if written.is_ok() { AttemptEnd::Answered } else { AttemptEnd::Cut }
    }

    async fn write(&mut self, bytes: Bytes) -> std::io::Result<()> {
        self.caller.write_chunk(Some(bytes)).await
    }

    /// Queues the head of the answer before its first event, once for all attempts.
    async fn begin_stream(&mut self, head: &ResponseHead) -> bool {
        if self.call.begun {
            return true;
        }
        self.call.begun = true;
        self.call.may_have_run = true;
        let now = self.worker.shared.now();
        metrics::histogram!(metric::FIRST_TOKEN).record(now.since(self.call.arrived).as_secs_f64());
        self.worker.shared.control.tell(Event::FirstToken { call: self.call.key }).await;
        self.close_if_unread();
        self.caller.queue_head(answer_head(head)).is_ok()
    }

    /// Lets the connection end with this answer if the request's body was not read to its end.
    fn close_if_unread(&mut self) {
        if self.caller.is_body_open() || self.worker.is_stopping() {
            self.caller.close_after();
        }
    }

    async fn next_chunk(&mut self, connection: &mut Connection) -> Next<Option<Bytes>> {
        tokio::select! {
            biased;
            chunk = connection.read_chunk() => Next::Target(chunk),
            refusal = refused(&mut self.call.commands) => self.given_up(refusal),
            _ = self.caller.hear(false) => Next::Ended(AttemptEnd::CallerGone),
        }
    }

    async fn settle_answered(&mut self, status: StatusCode) {
        let outcome = if status.is_success() { "answered" } else { "answered-with-failure" };
        metrics::counter!(metric::CALLS, "outcome" => outcome).increment(1);
        let usage = Usage { prompt: self.call.asked.prompt, ..Usage::default() };
        settle(self.worker, self.call, self.dispatch, AttemptOutcome::Completed(usage)).await;
    }

    /// Ends an attempt whose exchange broke after bytes may have left.
    fn failed(&mut self, connection: &Connection, e: &ClientError) -> AttemptEnd {
        self.worker.pool.forget(connection.at());
        let delivered = Tokens(u32::from(self.call.begun));
        let cause = match e {
            ClientError::Unreadable => "unreadable",
            _ => "broken",
        };
        self.ended(AttemptOutcome::Failed { delivered }, cause)
    }

    fn ended(&mut self, outcome: AttemptOutcome, cause: &str) -> AttemptEnd {
        self.call.may_have_run |= matches!(outcome, AttemptOutcome::Failed { .. });
        let now = self.worker.shared.now();
        lines::attempt_ended(self.call, now, self.dispatch, self.target, outcome, cause);
        AttemptEnd::Ended(outcome)
    }
}

/// Writes an answer that is whole.
pub(super) async fn write_whole(caller: &mut Caller, answer: WholeAnswer) -> std::io::Result<()> {
    caller.write_whole(answer_head(&answer.head), answer.body).await
}

/// Makes the head for the caller, with the headers that concern both ends.
fn answer_head(head: &ResponseHead) -> Response<()> {
    let mut res = Response::with_body(head.status, ());
    let headers: &mut HeaderMap = res.headers_mut();
    for (name, value) in head.headers().iter().filter(|(name, _)| is_end_to_end(name)) {
        headers.append(name.clone(), value.clone());
    }
    res
}

/// Waits until the control thread gives the call up.
async fn refused(commands: &mut tokio::sync::mpsc::UnboundedReceiver<Command>) -> Refusal {
    match commands.recv().await {
        Some(Command::Refuse(refusal)) => refusal,
        // Another attempt is never ordered while one is out, and the link outlives the call.
        Some(Command::Dispatch(_)) | None => Refusal::unknown(RefusalCode::TargetFailed),
    }
}
