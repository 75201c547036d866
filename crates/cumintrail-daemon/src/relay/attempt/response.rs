//! Forwards a target's response to the caller: buffered, as it arrives, or in batches of events.

use actix_http::header::CONTENT_ENCODING;
use actix_http::{ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use cumintrail_client::{BodyPart, ClientError, Connection, Framing, MAX_DISCARDED_BYTES};
use cumintrail_control::{AttemptOutcome, Event, ResponseEnd, Usage};
use cumintrail_types::CallClass;
use futures_util::FutureExt as _;

use super::{Attempt, AttemptEnd, WaitResult};
use crate::metric;
use crate::relay::dialect::HeaderDialect;
use crate::relay::events::MalformedStream;
use crate::relay::heads::caller_response_head;
use crate::relay::interrupt::{Progress, next_interrupt};
use crate::relay::lines;
use crate::relay::relayed_call::{BufferedResponse, report_attempt_end, write_response};

/// The largest response that is buffered completely; a larger one is forwarded as it arrives.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 256 << 10;

impl<D: HeaderDialect> Attempt<'_, D> {
    /// Reads a response completely, then forwards it.
    pub(super) async fn buffer_response(
        &mut self,
        mut connection: Connection,
        head: ResponseHead,
    ) -> AttemptEnd {
        let (mut body, mut room) = (BytesMut::new(), self.worker.pool.hold_response());
        loop {
            let chunk = match self.wait_for_chunk(&mut connection).await {
                WaitResult::Target(Ok(chunk)) => chunk,
                WaitResult::Target(Err(e)) => return self.fail(&connection, &e).await,
                WaitResult::Ended(end) => return end,
            };
            match chunk {
                Some(chunk)
                    if body.len() + chunk.len() > MAX_BUFFERED_RESPONSE_BYTES
                        || !room.hold(body.len() + chunk.len()) =>
                {
                    drop(room);
                    body.extend_from_slice(&chunk);
                    return self.forward_unbuffered(connection, head, body.freeze()).await;
                }
                Some(chunk) => {
                    body.extend_from_slice(&chunk);
                    // A call that its target responds to is not refused for what it holds.
                    let _ = self.caller.hold_buffer(self.call.body.len() + body.len());
                }
                None => break,
            }
        }
        if let Some(end) = self.check_end(&connection).await {
            return end;
        }
        let framing = connection.framing();
        self.worker.pool.release(connection);
        let status = head.status;
        let (target, body) = (self.name.clone(), body.freeze());
        let response = BufferedResponse { head, target, body, _held: room };
        // A peer has made all attempts that the call may have.
        let may_repeat = self.call.class == CallClass::Repeatable
            && !self.call.body_consumed
            && !self.is_detour();
        if status.is_server_error() && may_repeat {
            self.call.failed_response = Some(response);
            return self
                .record_end(AttemptOutcome::Failed { can_continue: true }, "failure-answered");
        }
        self.log_answered(status, framing);
        self.disable_keep_alive_if_needed();
        let written = write_response(self.caller, response).await;
        self.report_response(status, framing).await;
        if written.is_ok() { AttemptEnd::Completed } else { AttemptEnd::Truncated }
    }

    /// Forwards a response that is too large to be buffered, beginning with its bytes in `first`.
    async fn forward_unbuffered(
        &mut self,
        mut connection: Connection,
        head: ResponseHead,
        first: Bytes,
    ) -> AttemptEnd {
        let status = head.status;
        self.disable_keep_alive_if_needed();
        self.call.response_started = true;
        let mut next = Some(first);
        let caller_head = caller_response_head(&head, self.caller, &self.name);
        if self.caller.queue_response_head(caller_head).is_err() {
            return AttemptEnd::Disconnected;
        }
        while let Some(chunk) = next {
            if self.caller.write_chunk(Some(chunk)).await.is_err() {
                return AttemptEnd::Disconnected;
            }
            next = match self.wait_for_chunk(&mut connection).await {
                WaitResult::Target(Ok(chunk)) => chunk,
                WaitResult::Target(Err(e)) => return self.fail(&connection, &e).await,
                WaitResult::Ended(end) => return end,
            };
        }
        if let Some(end) = self.check_end(&connection).await {
            return end;
        }
        let framing = connection.framing();
        self.worker.pool.release(connection);
        let written = self.caller.write_chunk(None).await;
        self.report_response(status, framing).await;
        if written.is_ok() { AttemptEnd::Completed } else { AttemptEnd::Truncated }
    }

    /// Forwards a streamed response in batches of complete events.
    pub(super) async fn stream_events(
        &mut self,
        mut connection: Connection,
        head: ResponseHead,
    ) -> AttemptEnd {
        let status = head.status;
        if head.headers().contains_key(CONTENT_ENCODING) {
            return self.fail(&connection, &ClientError::Malformed).await;
        }
        self.call.events.drop_partial();
        let mut room = self.worker.pool.hold_response();
        loop {
            let chunk = match self.wait_for_chunk(&mut connection).await {
                WaitResult::Target(Ok(chunk)) => chunk,
                WaitResult::Target(Err(e)) => return self.fail(&connection, &e).await,
                WaitResult::Ended(end) => return end,
            };
            let Some(chunk) = chunk else { break };
            let batch = self.call.events.push(&chunk);
            let begins = batch.count > 0 && self.progress != Progress::Begun;
            if begins {
                self.progress = Progress::Begun;
            }
            if begins && self.call.response_started {
                self.report_first_token().await;
            }
            let is_passed_on = batch.bytes.is_empty()
                || self.start_stream(&head, &connection).await
                    && self.write_events(batch.bytes).await.is_ok();
            let has_room = room.hold(self.call.events.remainder_len());
            match batch.rest {
                _ if !is_passed_on => return AttemptEnd::Disconnected,
                Ok(()) if has_room => {}
                Err(MalformedStream::OutOfOrder) => {
                    self.worker.pool.close_idle(connection.address());
                    return self.record_end(self.failed(), "out-of-order");
                }
                _ => return self.fail(&connection, &ClientError::Malformed).await,
            }
        }
        // Without an event, a close does not distinguish the end of the stream from a crash, also
        // where the stream is resumed.
        let is_empty = connection.framing() == Framing::Close && self.progress != Progress::Begun;
        let rest = match self.call.events.finish() {
            Ok(rest) if !is_empty => rest,
            _ => return self.fail(&connection, &ClientError::Truncated).await,
        };
        let end = match connection.framing() {
            // A target that stops may write the last chunk.
            Framing::Chunked => self.check_deadline().await,
            _ => self.check_end(&connection).await,
        };
        if let Some(end) = end {
            return end;
        }
        self.log_answered(status, connection.framing());
        if !self.start_stream(&head, &connection).await {
            return AttemptEnd::Disconnected;
        }
        if !rest.is_empty() && self.write_events(rest).await.is_err() {
            return AttemptEnd::Disconnected;
        }
        let framing = connection.framing();
        self.worker.pool.release(connection);
        let written = self.caller.write_chunk(None).await;
        self.report_response(status, framing).await;
        if written.is_ok() { AttemptEnd::Completed } else { AttemptEnd::Truncated }
    }

    async fn write_events(&mut self, bytes: Bytes) -> std::io::Result<()> {
        self.caller.write_chunk(Some(bytes)).await
    }

    /// Queues the head of the response before its first event, unless an earlier attempt did;
    /// returns whether this succeeded.
    async fn start_stream(&mut self, head: &ResponseHead, connection: &Connection) -> bool {
        if self.call.response_started {
            return true;
        }
        self.call.response_started = true;
        self.call.may_have_run = true;
        let now = self.worker.shared.now();
        metrics::histogram!(metric::FIRST_TOKEN_SECONDS)
            .record(now.since(self.call.arrived).as_secs_f64());
        self.report_process(connection).await;
        self.report_first_token().await;
        self.disable_keep_alive_if_needed();
        let caller_head = caller_response_head(head, self.caller, &self.name);
        self.caller.queue_response_head(caller_head).is_ok()
    }

    async fn report_first_token(&self) {
        self.worker.shared.control.send(Event::FirstToken { call: self.call.key }).await;
    }

    fn log_answered(&self, status: StatusCode, framing: Framing) {
        let now = self.worker.shared.now();
        lines::answered(self.call, now, self.number, status.as_u16(), framing);
    }

    /// Closes the caller's connection after this response if the request body was not read to its
    /// end, or if a planned stop has begun.
    fn disable_keep_alive_if_needed(&mut self) {
        if self.caller.has_unread_body() || self.worker.is_stopping() {
            self.caller.disable_keep_alive();
        }
    }

    /// Waits for the next chunk of the response. A target may respond before it has read the whole
    /// request, so the rest of its body is forwarded in the meantime.
    pub(super) async fn wait_for_chunk(
        &mut self,
        connection: &mut Connection,
    ) -> WaitResult<Option<Bytes>> {
        // Chunks that are always ready must not keep a response beyond its deadline.
        if self.call.response_started
            && let Some(interrupt) =
                next_interrupt(&mut self.call.commands, self.number, self.progress).now_or_never()
        {
            return WaitResult::Ended(self.interrupt(interrupt));
        }
        loop {
            let has_room = connection.can_queue_body();
            let wants_room = self.caller.has_unread_body() && !has_room;
            tokio::select! {
                biased;
                part = connection.read_chunk_or_room(wants_room) => match part {
                    Ok(BodyPart::Chunk(chunk)) => return WaitResult::Target(Ok(Some(chunk))),
                    Ok(BodyPart::End) => return WaitResult::Target(Ok(None)),
                    Ok(BodyPart::Pending) => {}
                    Err(e) => return WaitResult::Target(Err(e)),
                },
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

    /// Discards the response to another call that this connection had before.
    pub(super) async fn skip_response(&mut self, connection: &mut Connection) -> WaitResult<()> {
        let mut remaining = MAX_DISCARDED_BYTES;
        loop {
            match self.wait_for_chunk(connection).await {
                WaitResult::Target(Ok(Some(chunk))) if chunk.len() <= remaining => {
                    remaining -= chunk.len();
                }
                WaitResult::Target(Ok(Some(_))) => {
                    return WaitResult::Target(Err(ClientError::Malformed));
                }
                WaitResult::Target(Ok(None)) => {
                    connection.expect_response();
                    return WaitResult::Target(Ok(()));
                }
                WaitResult::Target(Err(e)) => return WaitResult::Target(Err(e)),
                WaitResult::Ended(end) => return WaitResult::Ended(end),
            }
        }
    }

    async fn report_response(&mut self, status: StatusCode, framing: Framing) {
        // A crash can look like the end of a response that ends with its connection.
        if !status.is_success() || framing == Framing::Close {
            self.report_response_end(ResponseEnd::Inconclusive).await;
        }
        let outcome = if status.is_success() { "answered" } else { "answered-with-failure" };
        metrics::counter!(metric::CALLS, "outcome" => outcome).increment(1);
        let usage = Usage { prompt: self.call.metadata.prompt, ..Usage::default() };
        report_attempt_end(self.worker, self.call, self.number, AttemptOutcome::Completed(usage))
            .await;
    }
}
