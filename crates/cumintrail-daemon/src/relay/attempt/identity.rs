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

/// Returns the name of the process that a connection to a target leads to; `None` if its response to
/// an identity request does not state it.
async fn process_of<D: HeaderDialect>(
    dialect: &D,
    target: &Target,
    connection: &mut Connection,
) -> Result<Option<Arc<str>>, ClientError> {
    if let Some(process) = connection.process() {
        return Ok(Some(process.clone()));
    }
    let request = dialect.identity_request(&target.instance);
    let Identity { head, body, is_reusable } =
        identify(connection, request, IDENTITY_TIMEOUT).await?;
    if !is_reusable {
        return Err(ClientError::ConnectionLost);
    }
    let start = dialect.process_start(&head, &body);
    let process = start.map(|start| process_name(target, start));
    if let Some(process) = &process {
        connection.set_process(process.clone());
    }
    Ok(process)
}

impl<D: HeaderDialect> Attempt<'_, D> {
    /// Identifies the process that the connection leads to, if the control thread demands it.
    ///
    /// A stream goes on only at the listed process: the software of another one is not known. A target
    /// may have closed an idle connection, so that a second one is opened.
    pub(super) async fn check_process(
        &mut self,
        mut connection: Connection,
    ) -> Result<Connection, AttemptEnd> {
        let target = match self.destination {
            Destination::Target { dispatch, target } if dispatch.must_identify => target,
            _ => return Ok(connection),
        };
        let mut process = self.identify(target, &mut connection).await?;
        if process.is_err() {
            self.worker.pool.close_idle(target.address);
            connection = self.connect(target.address).await?;
            process = self.identify(target, &mut connection).await?;
        }
        let goes_on = self.call.events.last_id().is_some();
        let states_start = target.name != target.instance;
        match process {
            Ok(Some(process)) if goes_on && process != target.name => {
                self.worker.pool.release(connection);
                let outcome = AttemptOutcome::Unidentified { is_replaced: true };
                Err(self.record_end(outcome, "other-process"))
            }
            Ok(None) if goes_on && states_start => Err(self.end_unidentified()),
            Ok(_) => Ok(connection),
            Err(_) => Err(self.end_unidentified()),
        }
    }

    fn end_unidentified(&mut self) -> AttemptEnd {
        self.record_end(AttemptOutcome::Unidentified { is_replaced: false }, "unidentified")
    }

    async fn identify(
        &mut self,
        target: &Target,
        connection: &mut Connection,
    ) -> Result<Result<Option<Arc<str>>, ClientError>, AttemptEnd> {
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
