//! Distinguishes the end of a response from the end of its process; docs/DESIGN.md, "Relayed calls".

use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::timeout;
use cumintrail_client::{
    ClientError, Connection, Framing, IDENTITY_TIMEOUT, Identity, ProcessDemand, ProcessState,
    RetrySafety, identify,
};
use cumintrail_config::Target;

use super::identity::stated_process;
use super::{Attempt, AttemptEnd, Destination};
use crate::relay::dialect::{HeaderDialect, ProcessIdentity};
use crate::relay::interrupt::next_interrupt;
use crate::relay::lines;

/// How long before a call's deadline a target may stop working on it.
///
/// Targets receive the time that is left in whole milliseconds, and measure it with timers of their
/// own.
const STOP_TOLERANCE: Duration = Duration::from_millis(5);

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
        let Destination::Target { target, .. } = self.destination else { return None };
        let state = self.process_state(connection, target);
        let state = timeout(left.min(IDENTITY_TIMEOUT), state).await;
        let process = state.unwrap_or(ProcessState::Unreachable);
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
        let identity = ProcessIdentity::of(target, &self.call.snapshot);
        let request = dialect.identity_request(&target.instance, identity);
        let identity = identify(&mut connection, request, IDENTITY_TIMEOUT).await;
        let Ok(Identity { head, body, is_reusable }) = identity else {
            return ProcessState::Unreachable;
        };
        if dialect.is_other_instance(&head, &target.instance) {
            return ProcessState::Replaced;
        }
        match stated_process(dialect, target, &head, &body) {
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
        let interrupt = next_interrupt(&mut self.call.commands, self.number, self.progress).await;
        Some(self.interrupt(interrupt))
    }

    /// Records how a response ends.
    pub(super) fn record_framing(&self, connection: &Connection) {
        let ends_by_close = connection.framing() == Framing::Close;
        self.worker.ends.borrow_mut().record(connection.address(), ends_by_close);
    }
}
