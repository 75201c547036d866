//! Lifting the quarantine of content.

use cumintrail_client::ClientError;
use cumintrail_wire::operator::LiftRequest;
use snafu::ResultExt;

use crate::errors::{UnreachableSnafu, UsageSnafu};
use crate::{CliError, OperatorClient};

const STATUS_NOT_FOUND: u16 = 404;
const VM_LIST: &str = "the VM list";
const UNREACHABLE_HINT: &str = "the daemons may be cut off; look at `cumintrail status`";

/// Lifts the quarantine of content at one daemon, which reports it to the others.
pub async fn lift(client: &OperatorClient, content: &str) -> Result<(), CliError> {
    let request = LiftRequest { content: content.into() };
    let daemons = client.daemons().await;
    let daemons = daemons.context(UnreachableSnafu { what: VM_LIST, hint: UNREACHABLE_HINT })?;
    let mut unreachable = None;
    for (address, _) in daemons {
        match client.post(address, "/operator/lift", &request).await {
            Ok(()) => return Ok(()),
            Err(ClientError::Status { status: STATUS_NOT_FOUND }) => {}
            Err(e) => unreachable = Some((address, e)),
        }
    }
    if let Some((address, source)) = unreachable {
        let (what, hint) = (address.to_string(), UNREACHABLE_HINT);
        return Err(CliError::Unreachable { what, source, hint });
    }
    let message = format!("no daemon has content `{content}` in quarantine");
    let hint = "look at `cumintrail dump --vm NAME` for the contents in quarantine";
    UsageSnafu { message, hint }.fail()
}
