//! Which process a connection leads to; docs/DESIGN.md, "Software versions".

use std::sync::Arc;
use std::time::Duration;

use cumintrail_client::{ClientError, Connection, Identity, identify};
use cumintrail_config::Target;
use cumintrail_control::registry::process_name;
use cumintrail_control::{AttemptOutcome, Event};

use super::{Attempt, AttemptEnd, Destination};
use crate::relay::dialect::HeaderDialect;
use crate::relay::interrupt::next_interrupt;

/// How long the head of the response to an identity request may take before the call goes elsewhere.
const IDENTITY_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the name of the process that a connection to a target leads to; the target's instance if
/// its response to an identity request does not state it.
async fn process_of<D: HeaderDialect>(
    dialect: &D,
    target: &Target,
    connection: &mut Connection,
) -> Result<Arc<str>, ClientError> {
    if let Some(process) = connection.process() {
        return Ok(process.clone());
    }
    let request = dialect.identity_request(&target.instance);
    let Identity { head, body, is_reusable } =
        identify(connection, request, IDENTITY_TIMEOUT).await?;
    if !is_reusable {
        return Err(ClientError::ConnectionLost);
    }
    let start = dialect.process_start(&head, &body);
    let process = start.map_or(target.instance.clone(), |start| process_name(target, start));
    connection.set_process(process.clone());
    Ok(process)
}

impl<D: HeaderDialect> Attempt<'_, D> {
    /// Identifies the process that the connection leads to, if the control thread demands it.
    ///
    /// A stream goes on only at the listed process: the software of another one is not known. After an
    /// exchange, a late response to another call could pass for the one to the identity request, so
    /// that it goes out on a new connection.
    pub(super) async fn check_process(
        &mut self,
        mut connection: Connection,
    ) -> Result<Connection, AttemptEnd> {
        let target = match self.destination {
            Destination::Target { dispatch, target } if dispatch.must_identify => target,
            _ => return Ok(connection),
        };
        if connection.process().is_none() && connection.has_been_used() {
            self.worker.pool.release(connection);
            connection = self.open_connection(target).await?;
        }
        let mut process = self.identify(target, &mut connection).await?;
        if process.is_err() {
            connection = self.open_connection(target).await?;
            process = self.identify(target, &mut connection).await?;
        }
        let goes_on = self.call.events.last_id().is_some();
        let (is_replaced, cause) = match process {
            Ok(process) if process == target.name || !goes_on => return Ok(connection),
            Ok(process) if process != target.instance => (true, "other-process"),
            Ok(_) | Err(_) => (false, "unidentified"),
        };
        self.worker.pool.release(connection);
        Err(self.record_end(AttemptOutcome::Unidentified { is_replaced }, cause))
    }

    async fn open_connection(&mut self, target: &Target) -> Result<Connection, AttemptEnd> {
        let opened = self.worker.pool.open_connection(target.address, &target.name);
        tokio::select! {
            biased;
            opened = opened => opened
                .map_err(|_| self.record_end(AttemptOutcome::NoConnection, "no-connection")),
            interrupt = next_interrupt(&mut self.call.commands, self.number) =>
                Err(self.interrupt_unsent(interrupt)),
            _ = self.caller.next_input(false) => Err(AttemptEnd::Disconnected),
        }
    }

    async fn identify(
        &mut self,
        target: &Target,
        connection: &mut Connection,
    ) -> Result<Result<Arc<str>, ClientError>, AttemptEnd> {
        tokio::select! {
            biased;
            process = process_of(&self.worker.dialect, target, connection) => Ok(process),
            interrupt = next_interrupt(&mut self.call.commands, self.number) =>
                Err(self.interrupt_unsent(interrupt)),
            _ = self.caller.next_input(false) => Err(AttemptEnd::Disconnected),
        }
    }

    /// Reports which process sends the response, before its first event is passed on.
    pub(super) async fn report_process(&self, connection: &Connection) {
        if let Some(process) = connection.process().cloned() {
            let event = Event::ProcessIdentified { call: self.call.key, process };
            self.worker.shared.control.send(event).await;
        }
    }
}
