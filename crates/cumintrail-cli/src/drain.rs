//! Draining a target or a VM before a planned stop.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cumintrail_client::ClientError;
use cumintrail_control::Dump;
use cumintrail_wire::operator::{DrainRequest, Status};
use futures_util::future::join_all;
use serde::Serialize;
use snafu::ResultExt;

use crate::errors::{NotDrainedSnafu, UnreachableSnafu, UsageSnafu};
use crate::{CliError, Missing, OperatorClient, status};

const POLL_INTERVAL: Duration = Duration::from_millis(200);
const STATUS_NOT_FOUND: u16 = 404;
const VM_LIST: &str = "the VM list";
const UNREACHABLE_HINT: &str = "the daemons may be cut off; look at `cumintrail status`";

/// Reports that a target or VM is safe to stop.
#[derive(Debug, Clone, Serialize)]
pub struct Drained {
    /// The name of the target or VM.
    pub name: String,
    /// Always true: a target or VM that is not safe to stop is reported as an error.
    pub safe: bool,
}

/// Drains a target or VM and waits at most `wait` until it is safe to stop.
///
/// A target is safe to stop only when every listed daemon responds and shows it as drained: a
/// daemon that does not respond may still dispatch calls to it.
pub async fn drain(
    client: &OperatorClient,
    request: &DrainRequest,
    wait: Duration,
) -> Result<Drained, CliError> {
    let deadline = Instant::now() + wait;
    loop {
        let missing = match request {
            DrainRequest::Target(name) => drain_target(client, request, name).await?,
            DrainRequest::Vm(name) => drain_vm(client, request, name).await?,
        };
        let (DrainRequest::Target(name) | DrainRequest::Vm(name)) = request;
        if missing.is_empty() {
            return Ok(Drained { name: name.to_string(), safe: true });
        }
        if Instant::now() >= deadline {
            return NotDrainedSnafu { name: &**name, missing }.fail();
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends the request to one daemon of each failure domain, then returns the daemons that do not
/// show the target as drained.
async fn drain_target(
    client: &OperatorClient,
    request: &DrainRequest,
    name: &str,
) -> Result<Missing, CliError> {
    let daemons = client.daemons().await;
    let daemons = daemons.context(UnreachableSnafu { what: VM_LIST, hint: UNREACHABLE_HINT })?;
    let mut by_domain: BTreeMap<&str, Vec<SocketAddr>> = BTreeMap::new();
    for (address, domain) in &daemons {
        by_domain.entry(domain).or_default().push(*address);
    }
    for addresses in by_domain.values() {
        send_request_to_domain(client, addresses, request, name).await?;
    }
    let read_dump = |address: SocketAddr| client.get::<Dump>(address, "/debug/state");
    let dumps = join_all(daemons.iter().map(|(address, _)| read_dump(*address))).await;
    let mut missing = Missing::default();
    for ((address, domain), dump) in daemons.iter().zip(dumps) {
        if let Some(reason) = why_target_not_drained(dump.ok().as_ref(), name) {
            missing.add(domain, &format!("{address}: {reason}"));
        }
    }
    Ok(missing)
}

/// Sends the request to the daemons of one failure domain in turn until one accepts it.
///
/// That daemon reports the target as leaving in its peer digests. If no daemon accepts the request,
/// the dumps do not show the target as leaving.
async fn send_request_to_domain(
    client: &OperatorClient,
    addresses: &[SocketAddr],
    request: &DrainRequest,
    name: &str,
) -> Result<(), CliError> {
    for address in addresses {
        match client.post(*address, "/operator/drain", request).await {
            Ok(()) => return Ok(()),
            Err(ClientError::Status { status: STATUS_NOT_FOUND }) => {
                let hint = "look at the [target NAME] sections of the declarations";
                return UsageSnafu { message: format!("no target `{name}` is declared"), hint }
                    .fail();
            }
            Err(_) => {}
        }
    }
    Ok(())
}

/// Returns why a daemon does not show a target as drained; `None` if it does.
///
/// `dump` is `None` if the daemon did not respond.
fn why_target_not_drained(dump: Option<&Dump>, name: &str) -> Option<String> {
    let Some(dump) = dump else {
        return Some("no answer".into());
    };
    let target = dump.targets.iter().find(|t| &*t.name == name && !t.retired);
    match target {
        Some(t) if !t.leaving => Some("not leaving yet".into()),
        Some(t) if t.in_flight > 0 => Some(format!("{} calls in flight", t.in_flight)),
        _ => None,
    }
}

async fn drain_vm(
    client: &OperatorClient,
    request: &DrainRequest,
    name: &str,
) -> Result<Missing, CliError> {
    let rows = status::read_all(client).await?;
    let named = rows.iter().find(|row| row.status.as_ref().is_some_and(|s| &*s.vm == name));
    let address = named.and_then(|row| Some((row, row.address.parse::<SocketAddr>().ok()?)));
    let Some((row, address)) = address else {
        let hint = "look at `cumintrail status` for the names";
        return UsageSnafu { message: format!("no daemon of VM `{name}` answers"), hint }.fail();
    };
    let sent = client.post(address, "/operator/drain", request).await;
    sent.context(UnreachableSnafu { what: name, hint: UNREACHABLE_HINT })?;
    let mut missing = Missing::default();
    if let Some(reason) = why_vm_not_drained(client, address).await {
        missing.add(&row.domain, &format!("{address}: {reason}"));
    }
    Ok(missing)
}

/// Returns why a VM's daemon is not safe to stop; `None` if it is.
///
/// The status is read after the dump: a call that ends between the two reads is counted in the
/// status until its outcome is recorded.
async fn why_vm_not_drained(client: &OperatorClient, address: SocketAddr) -> Option<String> {
    let dump = client.get::<Dump>(address, "/debug/state").await;
    let status = client.get::<Status>(address, "/operator/status").await;
    match (dump, status) {
        (Err(_), _) | (_, Err(_)) => Some("no answer".to_owned()),
        (Ok(dump), _) if !dump.stopping => Some("still takes calls".to_owned()),
        (Ok(dump), _) if !dump.calls.is_empty() => {
            Some(format!("{} calls in flight", dump.calls.len()))
        }
        (_, Ok(status)) if status.pending_outcomes > 0 => {
            Some(format!("{} outcomes not recorded yet", status.pending_outcomes))
        }
        _ => None,
    }
}
