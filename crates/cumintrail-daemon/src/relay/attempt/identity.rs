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

/// How long a target may take to answer an identity request before the call goes elsewhere.
const MAX_IDENTIFICATION_TIME: Duration = Duration::from_secs(1);

/// What the response to an identity request shows.
enum Responder {
    /// The name of the process that the connection leads to.
    Process(Arc<str>),
    /// The process is not known, or the connection cannot be used after the response.
    Unknown,
    /// Another instance has the target's address.
    OtherInstance,
}

async fn ask<D: HeaderDialect>(
    dialect: &D,
    target: &Target,
    connection: &mut Connection,
) -> Result<Responder, ClientError> {
    if let Some(process) = connection.process() {
        return Ok(Responder::Process(process.clone()));
    }
    let request = dialect.identity_request(&target.instance);
    let Identity { head, body, is_reusable } =
        identify(connection, request, MAX_IDENTIFICATION_TIME).await?;
    if dialect.is_other_instance(&head, &target.instance) {
        return Ok(Responder::OtherInstance);
    }
    let stated = dialect.process_start(&head, &body).map(|start| process_name(target, start));
    let is_nameless = target.name == target.instance;
    let process = stated.or_else(|| is_nameless.then(|| target.name.clone()));
    Ok(process.filter(|_| is_reusable).map_or(Responder::Unknown, |process| {
        connection.set_process(process.clone());
        Responder::Process(process)
    }))
}

impl<D: HeaderDialect> Attempt<'_, D> {
    /// Identifies the process that the connection leads to, if the control thread demands it.
    ///
    /// A stream goes on only at the listed process: the software of another one is not known. One that
    /// begins at a process that cannot be identified is not resumed.
    pub(super) async fn check_process(
        &mut self,
        mut connection: Connection,
    ) -> Result<Connection, AttemptEnd> {
        let target = match self.destination {
            Destination::Target { dispatch, target } if dispatch.must_identify => target,
            _ => return Ok(connection),
        };
        let mut responder = self.identify_responder(target, &mut connection).await?;
        if matches!(responder, Err(ClientError::ConnectionLost)) {
            connection = self.open_connection(target).await?;
            responder = self.identify_responder(target, &mut connection).await?;
        }
        let goes_on = self.call.events.last_id().is_some();
        let (outcome, cause) = match responder {
            Ok(Responder::Process(process)) if process == target.name || !goes_on => {
                return Ok(connection);
            }
            Ok(Responder::Process(_)) => {
                self.worker.pool.release(connection);
                (AttemptOutcome::Unidentified { is_replaced: true }, "other-process")
            }
            Ok(Responder::OtherInstance) => {
                (AttemptOutcome::RefusedByTarget { leaving: true }, "other-instance")
            }
            Err(ClientError::Timeout) => (AttemptOutcome::NotSent, "unidentified"),
            Ok(Responder::Unknown) | Err(_) if goes_on => {
                (AttemptOutcome::Unidentified { is_replaced: false }, "unidentified")
            }
            Ok(Responder::Unknown) | Err(_) => {
                let mut connection = self.open_connection(target).await?;
                connection.set_process(target.instance.clone());
                return Ok(connection);
            }
        };
        Err(self.record_end(outcome, cause))
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

    async fn identify_responder(
        &mut self,
        target: &Target,
        connection: &mut Connection,
    ) -> Result<Result<Responder, ClientError>, AttemptEnd> {
        tokio::select! {
            biased;
            responder = ask(&self.worker.dialect, target, connection) => Ok(responder),
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
