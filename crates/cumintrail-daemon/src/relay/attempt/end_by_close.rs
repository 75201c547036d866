//! Distinguishes the end of a response from the end of its process; docs/DESIGN.md, "Relayed calls".

use std::sync::Arc;
use std::time::Duration;

use actix_http::ResponseHead;
use actix_rt::time::timeout;
use cumintrail_client::{
    ClientError, Connection, Framing, IDENTITY_TIMEOUT, Identity, ProcessDemand, ProcessState,
    RetrySafety, identify,
};
use cumintrail_config::Target;
use cumintrail_control::registry::process_name;

use super::{Attempt, AttemptEnd, Destination};
use crate::relay::dialect::HeaderDialect;
use crate::relay::interrupt::next_interrupt;
use crate::relay::lines;

/// How long before a call's deadline a target may stop working on it.
///
/// Targets receive the time that is left in whole milliseconds, and measure it with timers of their
/// own.
const STOP_TOLERANCE: Duration = Duration::from_millis(5);

impl<'a> Destination<'a> {
    /// Returns the target if the start of its process is known, which an identity request can state.
    pub(super) fn identifiable(&self) -> Option<&'a Target> {
        match *self {
            Self::Target { target, .. } if target.name != target.instance => Some(target),
            _ => None,
        }
    }
}

impl<D: HeaderDialect> Attempt<'_, D> {
    /// Returns the end of the attempt if its response, which ended with its connection, counts as cut
    /// off: a target that stops, and the system of one that ends, close connections like a target
    /// that is done.
    pub(super) async fn check_end(&mut self, connection: &Connection) -> Option<AttemptEnd> {
        if connection.framing() != Framing::Close {
            return None;
        }
        if let Some(end) = self.check_deadline().await {
            return Some(end);
        }
        let left = self.call.deadline.since(self.worker.shared.now());
        let limit = left.min(IDENTITY_TIMEOUT);
        let process = if let Some(target) = self.destination.identifiable() {
            let state = self.process_state(connection, target);
            timeout(limit, state).await.unwrap_or(ProcessState::Unreachable)
        } else {
            let evidence = self.evidence.take()?;
            let dialect = &self.worker.dialect;
            let request = dialect.identity_request(&self.name);
            let is_other = |head: &ResponseHead| dialect.is_other_instance(head, &self.name);
            evidence.confirmed_state(request, limit, is_other).await
        };
        lines::unframed_end(self.call, self.number, &self.name, process, left);
        if process.completes_response() {
            return None;
        }
        Some(self.fail(connection, &ClientError::Truncated).await)
    }

    /// Returns whether the process that a connection led to still responds to identity requests: one
    /// that does has ended its response by choice.
    async fn process_state(&self, response: &Connection, target: &Target) -> ProcessState {
        let (pool, at) = (&self.worker.pool, response.address());
        // A process that responds now, and did or was listed before the connection was opened, ran in
        // between.
        let identified = response.process().filter(|process| **process != target.instance);
        let processes = match identified {
            Some(process) => [Some(process), None],
            None => [Some(&target.name), response.earlier_process()],
        };
        let (demand, retry_safety) = (ProcessDemand::None, RetrySafety::Retryable);
        let carried = &self.call.carried_by;
        let pooled = pool.acquire(at, &target.name, demand, retry_safety, carried).await;
        match self.responding_process(pooled, target, &processes).await {
            // The target may have closed the connection before the request arrived, and a late
            // response to another call may have come first.
            ProcessState::Unreachable | ProcessState::Unidentified => {
                let opened = pool.open_connection(at, &target.name).await;
                self.responding_process(opened, target, &processes).await
            }
            state => state,
        }
    }

    /// Compares the process that responds to an identity request on a connection with `processes`.
    async fn responding_process(
        &self,
        connection: Result<Connection, ClientError>,
        target: &Target,
        processes: &[Option<&Arc<str>>],
    ) -> ProcessState {
        let Ok(mut connection) = connection else { return ProcessState::Unreachable };
        let dialect = &self.worker.dialect;
        let request = dialect.identity_request(&target.instance);
        let identity = identify(&mut connection, request, IDENTITY_TIMEOUT).await;
        let Ok(Identity { head, body, is_reusable }) = identity else {
            return ProcessState::Unreachable;
        };
        if dialect.is_other_instance(&head, &target.instance) {
            return ProcessState::Replaced;
        }
        match dialect.process_start(&head, &body).map(|start| process_name(target, start)) {
            None => ProcessState::Unidentified,
            Some(responding) if !processes.contains(&Some(&responding)) => ProcessState::Replaced,
            Some(responding) => {
                connection.set_process(responding);
                if is_reusable {
                    self.worker.pool.release(connection);
                }
                ProcessState::Running
            }
        }
    }

    /// Returns the end of the attempt if its exchange ended at the deadline of the call, at which
    /// targets stop.
    pub(super) async fn check_deadline(&mut self) -> Option<AttemptEnd> {
        let left = self.call.deadline.since(self.worker.shared.now());
        if left > STOP_TOLERANCE {
            return None;
        }
        lines::end_at_deadline(self.call, self.number, &self.name, left);
        // The control thread refuses the call at its deadline.
        let interrupt = next_interrupt(&mut self.call.commands, self.number).await;
        Some(self.interrupt(interrupt))
    }

    /// Records how a response ends, and watches the target's process if it ends with its connection
    /// and nothing else can identify the process.
    pub(super) fn watch_process(&mut self, connection: &Connection) {
        let (worker, at) = (self.worker, connection.address());
        let ends_by_close = connection.framing() == Framing::Close;
        worker.ends.borrow_mut().record(at, ends_by_close);
        // A response to another call may come first, and may end in another way than the one after it.
        if ends_by_close && self.evidence.is_none() && self.destination.identifiable().is_none() {
            self.evidence = Some(worker.processes.watch(at));
        }
    }

    pub(super) fn observe_process(&mut self, connection: &mut Connection) {
        if let Some(evidence) = &mut self.evidence {
            evidence.observe(connection);
        }
    }
}
