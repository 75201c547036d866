//! Which process a connection leads to; docs/DESIGN.md, "The end of a response" and "Software
//! versions".

use std::sync::Arc;
use std::time::Duration;

use actix_http::ResponseHead;
use cumintrail_client::{ClientError, Connection, Identity, ProcessDemand, identify};
use cumintrail_config::{Snapshot, Target};
use cumintrail_control::registry::process_name;
use cumintrail_control::{AttemptOutcome, Event};

use super::{Attempt, AttemptEnd, Destination};
use crate::relay::dialect::{HeaderDialect, ProcessIdentity};
use crate::relay::interrupt::next_interrupt;

/// How long a target may take to answer an identity request before the call goes elsewhere.
const MAX_IDENTIFICATION_TIME: Duration = Duration::from_secs(1);
/// The part of its remaining time that a call waits for an identity request without which it could be
/// sent too.
const IDENTIFICATION_FRACTION: u32 = 4;

/// What the response to an identity request shows.
enum Responder {
    /// The name of the process that the connection leads to.
    Process(Arc<str>),
    /// The same of a connection that cannot be used after the response.
    Closing(Arc<str>),
    /// The process is not known.
    Unknown,
    /// Another instance has the target's address.
    OtherInstance,
}

async fn ask<D: HeaderDialect>(
    dialect: &D,
    declared: &Snapshot,
    target: &Target,
    connection: &mut Connection,
    limit: Duration,
) -> Result<Responder, ClientError> {
    if let Some(process) = connection.process() {
        return Ok(Responder::Process(process.clone()));
    }
    let identity = ProcessIdentity::of(target, declared);
    let request = dialect.identity_request(&target.instance, identity);
    let Identity { head, body, is_reusable } = identify(connection, request, limit).await?;
    if dialect.is_other_instance(&head, &target.instance) {
        return Ok(Responder::OtherInstance);
    }
    Ok(match stated_process(dialect, target, &head, &body) {
        Some(process) if is_reusable => {
            connection.set_process(process.clone());
            Responder::Process(process)
        }
        Some(process) => Responder::Closing(process),
        None => Responder::Unknown,
    })
}

/// Returns the name of the process that sent the response to an identity request, if it is stated.
pub(super) fn stated_process<D: HeaderDialect>(
    dialect: &D,
    target: &Target,
    head: &ResponseHead,
    body: &[u8],
) -> Option<Arc<str>> {
    if target.name == target.instance {
        return dialect.names_instance(head, &target.instance).then(|| target.name.clone());
    }
    dialect.process_start(head, body).map(|start| process_name(target, start))
}

impl<'a> Destination<'a> {
    /// Returns the name of the listed process, or that of a peer.
    pub(super) const fn listed_process(self, peer: &'a Arc<str>) -> &'a Arc<str> {
        match self {
            Self::Target { target, .. } => &target.name,
            Self::Peer => peer,
        }
    }
}

impl<D: HeaderDialect> Attempt<'_, D> {
    /// Returns what the attempt demands of connections that were used before.
    pub(super) fn process_demand(&self) -> ProcessDemand {
        let now = self.worker.shared.now();
        match self.destination {
            Destination::Target { dispatch, .. } if dispatch.must_identify => ProcessDemand::Listed,
            Destination::Target { target, .. }
                if target.name != target.instance
                    && self.worker.ends.borrow().need_process(now, target.address) =>
            {
                ProcessDemand::Asked
            }
            _ => ProcessDemand::None,
        }
    }

    /// Identifies the process that the connection leads to, if the control thread demands it or the
    /// response may end with the connection.
    pub(super) async fn check_process(
        &mut self,
        connection: Connection,
    ) -> Result<Connection, AttemptEnd> {
        match (self.destination, self.process_demand()) {
            (Destination::Target { target, .. }, ProcessDemand::Listed) => {
                self.check_stream_process(target, connection).await
            }
            (Destination::Target { target, .. }, ProcessDemand::Asked) => {
                self.ask_process(target, connection).await
            }
            _ => Ok(connection),
        }
    }

    /// Asks which process responds at the address of a target, and opens a connection afterwards.
    ///
    /// The call is not sent on the connection with the identity request, which the target may be about
    /// to close. Another call can use it once it has been idle without being closed.
    async fn ask_process(
        &mut self,
        target: &Target,
        connection: Connection,
    ) -> Result<Connection, AttemptEnd> {
        if connection.has_been_used() {
            return Ok(connection);
        }
        let now = self.worker.shared.now();
        let limit = self.call.deadline.since(now) / IDENTIFICATION_FRACTION;
        let limit = limit.min(MAX_IDENTIFICATION_TIME);
        let (connection, responder) = self.identify_responder(target, connection, limit).await?;
        match responder {
            Ok(Responder::Process(process)) => {
                self.worker.pool.release(connection);
                Ok(self.open_connection(target).await?.opened_after(process))
            }
            Ok(Responder::Closing(process)) => {
                Ok(self.open_connection(target).await?.opened_after(process))
            }
            Ok(Responder::OtherInstance) => {
                let outcome = AttemptOutcome::RefusedByTarget { leaving: true };
                Err(self.record_end(outcome, "other-instance"))
            }
            Ok(Responder::Unknown) | Err(_) => {
                let now = self.worker.shared.now();
                self.worker.ends.borrow_mut().record_unidentified(now, target.address);
                self.open_connection(target).await
            }
        }
    }

    /// Identifies the process that the connection of a stream leads to.
    ///
    /// A stream goes on only at the listed process: the software of another one is not known. One that
    /// begins at a process that cannot be identified is not resumed.
    async fn check_stream_process(
        &mut self,
        target: &Target,
        connection: Connection,
    ) -> Result<Connection, AttemptEnd> {
        let limit = MAX_IDENTIFICATION_TIME;
        let (connection, responder) = self.identify_responder(target, connection, limit).await?;
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
            Ok(Responder::Closing(_) | Responder::Unknown) | Err(_) if goes_on => {
                (AttemptOutcome::Unidentified { is_replaced: false }, "unidentified")
            }
            responder => {
                let mut connection = self.open_connection(target).await?;
                connection.set_process(target.instance.clone());
                return Ok(match responder {
                    Ok(Responder::Closing(process)) => connection.opened_after(process),
                    _ => connection,
                });
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
            interrupt = next_interrupt(&mut self.call.commands, self.number, self.progress) =>
                Err(self.interrupt_unsent(interrupt)),
            _ = self.caller.next_input(false) => Err(AttemptEnd::Disconnected),
        }
    }

    /// Asks for the process on a connection, and once more on a new one if it ends before the response.
    async fn identify_responder(
        &mut self,
        target: &Target,
        mut connection: Connection,
        limit: Duration,
    ) -> Result<(Connection, Result<Responder, ClientError>), AttemptEnd> {
        let mut responder = self.ask_on(target, &mut connection, limit).await?;
        if matches!(responder, Err(ClientError::ConnectionLost)) {
            connection = self.open_connection(target).await?;
            responder = self.ask_on(target, &mut connection, limit).await?;
        }
        Ok((connection, responder))
    }

    async fn ask_on(
        &mut self,
        target: &Target,
        connection: &mut Connection,
        limit: Duration,
    ) -> Result<Result<Responder, ClientError>, AttemptEnd> {
        let (dialect, declared) = (&self.worker.dialect, &self.call.snapshot);
        let asked = ask(dialect, declared, target, connection, limit);
        tokio::select! {
            biased;
            responder = asked => Ok(responder),
            interrupt = next_interrupt(&mut self.call.commands, self.number, self.progress) =>
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
