//! Which process a connection leads to; docs/DESIGN.md, "Software versions".

use std::sync::Arc;

use cumintrail_client::{ClientError, Connection, Identity, identify};
use cumintrail_config::Target;
use cumintrail_control::registry::process_name;
use cumintrail_control::unsettled_streams::StreamSource;
use cumintrail_control::{AttemptOutcome, Event};
use cumintrail_types::CallClass;

use super::{Attempt, AttemptEnd, Destination};
use crate::relay::CONNECT_TIMEOUT;
use crate::relay::dialect::HeaderDialect;
use crate::relay::interrupt::next_interrupt;

/// Returns the name of the process that a connection to a target leads to; `None` if its response to
/// an identity request does not state it.
pub(in crate::relay) async fn process_of<D: HeaderDialect>(
    dialect: &D,
    target: &Target,
    connection: &mut Connection,
) -> Result<Option<Arc<str>>, ClientError> {
    if let Some(process) = connection.process() {
        return Ok(Some(process.clone()));
    }
    let request = dialect.identity_request(&target.instance);
    let Identity { head, body, is_reusable } =
        identify(connection, request, CONNECT_TIMEOUT).await?;
    let start = dialect.process_start(&head, &body);
    let process = start.map(|start| process_name(target, start));
    if let Some(process) = &process {
        connection.set_process(process.clone());
    }
    if is_reusable { Ok(process) } else { Err(ClientError::NotSent) }
}

impl<D: HeaderDialect> Attempt<'_, D> {
    /// Identifies the process that the connection leads to, if the control thread demands it.
    ///
    /// A stream goes on only at the listed process: the software of another one is not known.
    pub(super) async fn check_process(
        &mut self,
        mut connection: Connection,
    ) -> Result<Connection, AttemptEnd> {
        let (dispatch, target) = match self.destination {
            Destination::Target { dispatch, target } if dispatch.must_identify => {
                (dispatch, target)
            }
            _ => return Ok(connection),
        };
        debug_assert_eq!(dispatch.attempt, self.number);
        let process = tokio::select! {
            biased;
            process = process_of(&self.worker.dialect, target, &mut connection) => process,
            interrupt = next_interrupt(&mut self.call.commands, self.number) =>
                return Err(self.interrupt_unsent(interrupt)),
            _ = self.caller.next_input(false) => return Err(AttemptEnd::Disconnected),
        };
        let goes_on = self.call.events.last_id().is_some();
        match process {
            Err(_) => Err(self.record_end(AttemptOutcome::NotSent, "unidentified")),
            Ok(Some(process)) if goes_on && process != target.name => {
                Err(self.record_end(AttemptOutcome::OtherProcess, "other-process"))
            }
            Ok(_) => Ok(connection),
        }
    }

    /// Reports which process sends the response, before the first event of a resumable stream is
    /// passed on.
    pub(super) async fn report_source(&self, connection: &Connection) {
        let is_resumable = self.call.class == CallClass::ResumableStream;
        let lists_software = match self.destination {
            Destination::Target { target, .. } => target.software.is_some(),
            Destination::Peer => false,
        };
        if !is_resumable || !lists_software {
            return;
        }
        let now = self.worker.shared.now();
        let accepted = || StreamSource::Accepted(now - connection.age());
        let source = connection.process().cloned().map_or_else(accepted, StreamSource::Process);
        let event = Event::StreamSourceKnown { call: self.call.key, source };
        self.worker.shared.control.send(event).await;
    }
}
