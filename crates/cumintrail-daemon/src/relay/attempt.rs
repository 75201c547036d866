//! One attempt of a relayed call: the HTTP exchange with one target.

mod abandonment;
mod end_by_close;
mod identity;
mod response;

use std::net::SocketAddr;
use std::sync::Arc;

use actix_http::body::BodySize;
use actix_http::{RequestHead, ResponseHead, StatusCode};
use cumintrail_client::{ClientError, Connection, RetrySafety};
use cumintrail_config::{Target, TargetKind};
use cumintrail_control::parts::PartPlan;
use cumintrail_control::{
    AttemptOutcome, Detour, Dispatch, Event, NamedLimit, ResponseEnd, TargetNotice,
};
use cumintrail_types::{AttemptNumber, CallClass, Moment, Refusal, TargetKey};
use futures_util::FutureExt as _;
use smallvec::SmallVec;

use super::caller::{CallerConnection, CallerInput};
use super::dialect::{ForwardMetadata, HeaderDialect, ResponseKind};
use super::heads::{body_size, end_to_end_head};
use super::interrupt::{Progress, next_interrupt};
use super::relayed_call::RelayedCall;
use super::{Worker, detour, lines};
use crate::metric;

/// The most responses to other calls that are skipped in one exchange.
const MAX_FOREIGN_RESPONSES: usize = 2;

/// Describes how an attempt ended.
pub(super) enum AttemptEnd {
    /// The complete response was written, and the outcome was reported to the control thread.
    Completed,
    /// The caller disconnected, or its body cannot be decoded.
    Disconnected,
    /// The last write to the caller failed, after the target's response was complete; the outcome
    /// was reported to the control thread.
    Truncated,
    /// The control thread refused the call.
    Refused(Refusal),
    /// The caller's body turned out to be larger than allowed after its start was forwarded.
    TooLarge,
    /// The attempt did not complete the call; the control thread decides on a further attempt.
    Unsuccessful(AttemptOutcome),
}

/// Runs one attempt on the target that the control thread chose.
pub(super) async fn run<D: HeaderDialect>(
    worker: &Worker<D>,
    caller: &mut CallerConnection,
    call: &mut RelayedCall,
    dispatch: &Dispatch,
) -> AttemptEnd {
    let snapshot = worker.shared.snapshot().unwrap_or_else(|| call.snapshot.clone());
    let Some(target) = snapshot.targets.get(dispatch.target) else {
        return AttemptEnd::Unsuccessful(AttemptOutcome::NotSent);
    };
    let (number, name) = (dispatch.attempt, target.instance.clone());
    let destination = Destination::Target { dispatch, target };
    let attempt =
        Attempt { worker, caller, call, number, name, destination, progress: Progress::Unsent };
    attempt.run(target.address).await
}

/// Runs one attempt through the peer that the control thread chose.
pub(super) async fn run_detour<D: HeaderDialect>(
    worker: &Worker<D>,
    caller: &mut CallerConnection,
    call: &mut RelayedCall,
    detour: Detour,
) -> AttemptEnd {
    let (number, name) = (detour.attempt, format!("peer-{}", detour.peer).into());
    let destination = Destination::Peer;
    let attempt =
        Attempt { worker, caller, call, number, name, destination, progress: Progress::Unsent };
    attempt.run(detour.peer).await
}

struct Attempt<'a, D> {
    worker: &'a Worker<D>,
    caller: &'a mut CallerConnection,
    call: &'a mut RelayedCall,
    number: AttemptNumber,
    /// The instance name of the target, or a name for the peer.
    name: Arc<str>,
    destination: Destination<'a>,
    progress: Progress,
}

/// What an attempt is sent to.
#[derive(Clone, Copy)]
enum Destination<'a> {
    Target {
        dispatch: &'a Dispatch,
        target: &'a Target,
    },
    /// A peer, which handles the call like that of a caller.
    Peer,
}

/// Describes what happened first during a wait for the target.
enum WaitResult<T> {
    Target(Result<T, ClientError>),
    Ended(AttemptEnd),
}

impl<D: HeaderDialect> Attempt<'_, D> {
    async fn run(mut self, at: SocketAddr) -> AttemptEnd {
        self.call.target_responded = false;
        match self.connect(at).await {
            Ok(connection) => match self.check_process(connection).await {
                Ok(connection) => self.exchange(connection).await,
                Err(end) => end,
            },
            Err(end) => end,
        }
    }

    async fn connect(&mut self, at: SocketAddr) -> Result<Connection, AttemptEnd> {
        let at_most_once = !self.call.class.is_repeatable();
        let retry_safety =
            if at_most_once { RetrySafety::AtMostOnce } else { RetrySafety::Retryable };
        let demand = self.process_demand();
        let listed = self.destination.listed_process(&self.name);
        let carried = &self.call.carried_by;
        let connection = self.worker.pool.acquire(at, listed, demand, retry_safety, carried);
        let connection = tokio::select! {
            biased;
            connection = connection => connection,
            interrupt = next_interrupt(&mut self.call.commands, self.number, self.progress) =>
                return Err(self.interrupt_unsent(interrupt)),
            _ = self.caller.next_input(false) => return Err(AttemptEnd::Disconnected),
        };
        connection.map_err(|_| {
            self.worker.pool.close_idle(at);
            self.record_end(AttemptOutcome::NoConnection, "no-connection")
        })
    }

    async fn exchange(&mut self, mut connection: Connection) -> AttemptEnd {
        let now = self.worker.shared.now();
        if now >= self.call.deadline {
            // The control thread refuses the call at its deadline.
            return self.record_end(AttemptOutcome::NotSent, "too-late");
        }
        if self.call.body_consumed {
            return self.record_end(AttemptOutcome::NotSent, "body-gone");
        }
        // An order may have arrived while the connection became ready.
        let interrupt = next_interrupt(&mut self.call.commands, self.number, self.progress);
        if let Some(interrupt) = interrupt.now_or_never() {
            return self.interrupt_unsent(interrupt);
        }
        self.progress = Progress::Sent;
        self.call.carried_by.push(connection.id());
        let head = match self.destination {
            Destination::Target { dispatch, target } => {
                lines::sent(self.call, now, dispatch, target, &connection);
                self.build_request_head(now, dispatch, target)
            }
            Destination::Peer => {
                let reused = connection.has_been_used();
                lines::detoured(self.call, now, self.number, &self.name, reused);
                detour::request_head(&self.worker.dialect, self.call, now)
            }
        };
        let size = body_size(self.call.req.head());
        let (has_body, body) = (size != BodySize::None, self.call.body.clone());
        let mut queued = connection.start_exchange(head, size);
        if has_body && queued.is_ok() {
            queued = if body.is_empty() { Ok(()) } else { connection.queue_body(Some(body)) };
            if queued.is_ok() && self.call.body_complete {
                queued = connection.queue_body(None);
            }
        }
        if queued.is_err() {
            return self.record_end(AttemptOutcome::NotSent, "bad-request-head");
        }
        let mut foreign_responses = 0;
        loop {
            let head = match self.wait_for_head(&mut connection).await {
                WaitResult::Target(Ok(head)) => head,
                WaitResult::Target(Err(e)) => return self.fail(&connection, &e).await,
                WaitResult::Ended(end) => return end,
            };
            self.record_framing(&connection);
            let dialect = &self.worker.dialect;
            let kind = dialect.classify_response(&head, &self.call.metadata, &self.name);
            self.report_notice(&head, kind, now).await;
            self.call.target_responded = kind == ResponseKind::Matching;
            match kind {
                ResponseKind::Matching if self.is_detour() && detour::is_unable(&head) => {
                    self.end_refused_exchange(connection);
                    let outcome = AttemptOutcome::RefusedByTarget { leaving: false };
                    return self.record_end_with_code(outcome, "peer", detour::refusal_code(&head));
                }
                ResponseKind::Foreign if foreign_responses < MAX_FOREIGN_RESPONSES => {
                    foreign_responses += 1;
                    metrics::counter!(metric::FOREIGN_RESPONSES).increment(1);
                    lines::foreign_response(self.call, &self.name, head.status);
                    match self.skip_response(&mut connection).await {
                        WaitResult::Target(Ok(())) => {}
                        WaitResult::Target(Err(e)) => return self.fail(&connection, &e).await,
                        WaitResult::Ended(end) => return end,
                    }
                }
                ResponseKind::Foreign => {
                    return self.fail(&connection, &ClientError::Malformed).await;
                }
                ResponseKind::NotRun { instance_gone } => {
                    self.end_refused_exchange(connection);
                    let outcome = AttemptOutcome::RefusedByTarget { leaving: instance_gone };
                    return self.record_end(outcome, "target");
                }
                // The target may have run the call, and the caller would take the status as the
                // promise that it has not.
                // The refusal of a peer does not cover an earlier attempt of this daemon.
                ResponseKind::Matching
                    if promises_not_run(head.status)
                        && (!self.is_detour() || self.call.may_have_run) =>
                {
                    return self.record_end(self.failed(), "unproven-refusal");
                }
                // A response that must not have a body cannot be forwarded in chunks.
                ResponseKind::Matching
                    if self.call.class.is_streamed()
                        && head.status.is_success()
                        && head.status != StatusCode::NO_CONTENT =>
                {
                    return self.stream_events(connection, head).await;
                }
                // A response with another status cannot continue the one that the caller receives.
                ResponseKind::Matching if self.call.response_started => {
                    return self.record_end(self.failed(), "failure-answered");
                }
                ResponseKind::Matching => return self.buffer_response(connection, head).await,
            }
        }
    }

    /// Reports what a response says about the target, unless another instance sent it.
    ///
    /// `sent` is when the request was sent.
    async fn report_notice(&self, head: &ResponseHead, kind: ResponseKind, sent: Moment) {
        if kind == (ResponseKind::NotRun { instance_gone: true }) {
            return;
        }
        let (target, is_limited) = match self.destination {
            Destination::Target { dispatch, .. } => (dispatch.target, dispatch.is_limited),
            Destination::Peer => match self.named_target(head) {
                Some(target) => (target, false),
                None => return,
            },
        };
        let control = &self.worker.shared.control;
        let notice = self.worker.dialect.target_notice(head);
        if notice != TargetNotice::default() {
            lines::target_notice(self.call, &self.name, notice);
            control.send(Event::TargetNoticed { target, notice }).await;
        }
        let limit = self.worker.dialect.named_limit(head);
        let is_news = limit != NamedLimit::None || is_limited;
        // A response to an earlier request may have been written at any time.
        if is_news && kind != ResponseKind::Foreign {
            control.send(Event::LimitNamed { target, limit, sent }).await;
        }
    }

    /// Returns the target of a response that a peer passes on.
    fn named_target(&self, head: &ResponseHead) -> Option<TargetKey> {
        let name = detour::target_name(head)?;
        let targets = self.call.snapshot.targets.iter();
        let mut named = targets.filter(|(_, t)| !t.retired && *t.instance == *name);
        named.next().map(|(key, _)| key)
    }

    /// Returns whether a peer handles the attempt.
    const fn is_detour(&self) -> bool {
        matches!(self.destination, Destination::Peer)
    }

    /// Builds the request head for the target from the end-to-end headers of the caller.
    fn build_request_head(&self, now: Moment, dispatch: &Dispatch, target: &Target) -> RequestHead {
        let mut head = end_to_end_head(self.call.req.head());
        let has_prompt = self.call.has_prompt_parts();
        let is_engine = matches!(target.kind, TargetKind::Engine(_));
        let secret = self.worker.shared.settings.block_secret.expose();
        let salt = self.call.cache_salt(secret, dispatch.version).filter(|_| has_prompt);
        let stores = &self.call.snapshot.stores;
        let address = |key| stores.get(key).map(|store| store.address);
        let plans = &dispatch.parts;
        let read = |plan: &PartPlan| plan.read.and_then(|(key, n)| Some((address(key)?, n)));
        let read: SmallVec<[_; 4]> = plans.parts.iter().map(read).collect();
        let save: SmallVec<[_; 4]> =
            plans.parts.iter().map(|plan| plan.save.and_then(address)).collect();
        let forward = ForwardMetadata {
            account: self.call.account_name.as_deref(),
            instance: &target.instance,
            remaining: self.call.deadline.since(now),
            cache_salt: salt,
            urgency: self.call.urgency,
            version: is_engine.then_some(dispatch.version),
            read: &read,
            save: &save,
            read_until: plans.read_until,
            last_event_id: self.call.events.last_id(),
        };
        self.worker.dialect.write_headers(&mut head.headers, &forward);
        head
    }

    /// Waits for the head of the response, and forwards the rest of the body in the meantime.
    async fn wait_for_head(&mut self, connection: &mut Connection) -> WaitResult<ResponseHead> {
        loop {
            let has_room = connection.can_queue_body();
            let wants_room = self.caller.has_unread_body() && !has_room;
            tokio::select! {
                biased;
                head = connection.read_head_or_room(wants_room) => {
                    if let Some(head) = head.transpose() {
                        return WaitResult::Target(head);
                    }
                }
                interrupt = next_interrupt(&mut self.call.commands, self.number, self.progress) =>
                    return WaitResult::Ended(self.interrupt(interrupt)),
                input = self.caller.next_input(has_room) => {
                    if let Some(end) = self.forward_body(connection, input).await {
                        return WaitResult::Ended(end);
                    }
                }
            }
        }
    }

    /// Forwards input from the caller; returns the end of the attempt if it cannot continue.
    async fn forward_body(
        &mut self,
        connection: &mut Connection,
        input: CallerInput,
    ) -> Option<AttemptEnd> {
        let queued = match input {
            CallerInput::Chunk(chunk) if chunk.len() > self.call.body_allowance => {
                return Some(AttemptEnd::TooLarge);
            }
            CallerInput::Chunk(chunk) => {
                self.call.body_consumed = true;
                self.call.body_allowance -= chunk.len();
                connection.queue_body(Some(chunk))
            }
            CallerInput::BodyEnd => {
                self.call.body_complete = !self.call.body_consumed;
                connection.queue_body(None)
            }
            CallerInput::Closed | CallerInput::Malformed | CallerInput::Stalled => {
                return Some(AttemptEnd::Disconnected);
            }
        };
        match queued {
            Ok(()) => None,
            Err(e) => Some(self.fail(connection, &e).await),
        }
    }

    /// Releases the connection after a refusal if its body has arrived and the caller's body was read
    /// to its end, both of which reuse requires. The call goes on without waiting for either.
    fn end_refused_exchange(&self, mut connection: Connection) {
        if connection.discard_arrived() && !self.caller.has_unread_body() {
            self.worker.pool.release(connection);
        }
    }

    async fn report_response_end(&self, end: ResponseEnd) {
        self.worker.shared.control.send(Event::ResponseEnded { call: self.call.key, end }).await;
    }

    /// Ends an attempt whose exchange failed after bytes of the call may have been sent.
    async fn fail(&mut self, connection: &Connection, e: &ClientError) -> AttemptEnd {
        let is_broken = !matches!(e, ClientError::Malformed);
        if is_broken && let Some(end) = self.check_deadline().await {
            return end;
        }
        self.worker.pool.close_idle(connection.address());
        if let (Destination::Target { dispatch, .. }, true) = (self.destination, is_broken) {
            self.report_response_end(ResponseEnd::Broken).await;
            self.worker.check_target(dispatch.target, connection.address());
        }
        let cause = match e {
            ClientError::Malformed => "unreadable",
            ClientError::Truncated => "truncated",
            _ => "broken",
        };
        self.record_end(self.failed(), cause)
    }

    /// Returns whether a further attempt can continue what the caller has received so far, which is
    /// only so for a stream whose last event has an id. One that a peer began is left to its caller to
    /// resume, because this daemon does not know at which software version it began.
    fn can_continue(&self) -> bool {
        let can_resume = self.call.class == CallClass::ResumableStream
            && self.call.events.can_resume()
            && !self.is_detour();
        !self.call.response_started || can_resume
    }

    fn failed(&self) -> AttemptOutcome {
        AttemptOutcome::Failed { can_continue: self.can_continue() }
    }

    fn record_end(&mut self, outcome: AttemptOutcome, cause: &str) -> AttemptEnd {
        self.record_end_with_code(outcome, cause, None)
    }

    /// Records the end of an attempt; `code` is that of a peer's refusal.
    fn record_end_with_code(
        &mut self,
        outcome: AttemptOutcome,
        cause: &str,
        code: Option<&str>,
    ) -> AttemptEnd {
        self.call.may_have_run |= matches!(
            outcome,
            AttemptOutcome::Failed { .. } | AttemptOutcome::Abandoned { was_sent: true, .. }
        );
        let now = self.worker.shared.now();
        lines::attempt_ended(self.call, now, self.number, &self.name, outcome, cause, code);
        AttemptEnd::Unsuccessful(outcome)
    }
}

/// Returns whether callers take a status as the promise that the call has not run and never will.
const fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
