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
use crate::{Access, CliError, Missing, status};

const POLL: Duration = Duration::from_millis(200);
const NOT_FOUND: u16 = 404;
const VMS: &str = "the VM list";
const HINT: &str = "the daemons may be cut off; look at `cumintrail status`";

/// Tells that a target or VM may be stopped.
#[derive(Debug, Clone, Serialize)]
pub struct Drained {
    /// The target or VM.
    pub name: String,
    /// Whether it may be stopped; always true, since all else is an error.
    pub safe: bool,
}

/// Drains a target or VM and waits until it is safe to stop, at most `wait`.
///
/// It is safe only when every listed daemon shows it: one that does not answer may still send it
/// work.
pub async fn drain(
    access: &Access,
    order: &DrainRequest,
    wait: Duration,
) -> Result<Drained, CliError> {
    let deadline = Instant::now() + wait;
    loop {
        let missing = match order {
            DrainRequest::Target(name) => drain_target(access, order, name).await?,
            DrainRequest::Vm(name) => drain_vm(access, order, name).await?,
        };
        let (DrainRequest::Target(name) | DrainRequest::Vm(name)) = order;
        if missing.is_empty() {
            return Ok(Drained { name: name.to_string(), safe: true });
        }
        if Instant::now() >= deadline {
            return NotDrainedSnafu { name: &**name, missing }.fail();
        }
        actix_rt::time::sleep(POLL).await;
    }
}

/// Orders one daemon of each failure domain and lists the daemons that do not show it yet.
async fn drain_target(
    access: &Access,
    order: &DrainRequest,
    name: &str,
) -> Result<Missing, CliError> {
    let daemons = access.daemons().await;
    let daemons = daemons.context(UnreachableSnafu { what: VMS, hint: HINT })?;
    let mut by_domain: BTreeMap<&str, Vec<SocketAddr>> = BTreeMap::new();
    for (address, domain) in &daemons {
        by_domain.entry(domain).or_default().push(*address);
    }
    for addresses in by_domain.values() {
        tell_one(access, addresses, order, name).await?;
    }
    let ask = |at: SocketAddr| access.get::<Dump>(at, "/debug/state");
    let dumps = join_all(daemons.iter().map(|(address, _)| ask(*address))).await;
    let mut missing = Missing::default();
    for ((address, domain), dump) in daemons.iter().zip(dumps) {
        if let Some(reason) = reason_of_target(dump.ok().as_ref(), name) {
            missing.add(domain, &format!("{address}: {reason}"));
        }
    }
    Ok(missing)
}

/// Tells the first daemon that answers; the others hear of it from that one.
async fn tell_one(
    access: &Access,
    addresses: &[SocketAddr],
    order: &DrainRequest,
    name: &str,
) -> Result<(), CliError> {
    for address in addresses {
        match access.post(*address, "/operator/drain", order).await {
            Ok(()) => return Ok(()),
            Err(ClientError::Status { status: NOT_FOUND }) => {
                let hint = "look at the [target NAME] sections of the declarations";
                return UsageSnafu { message: format!("no target `{name}` is declared"), hint }
                    .fail();
            }
            Err(_) => {}
        }
    }
    Ok(())
}

/// Tells why a daemon does not show a target as drained.
fn reason_of_target(dump: Option<&Dump>, name: &str) -> Option<String> {
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

async fn drain_vm(access: &Access, order: &DrainRequest, name: &str) -> Result<Missing, CliError> {
    let rows = status::ask(access).await?;
    let named = rows.iter().find(|row| row.status.as_ref().is_some_and(|s| &*s.vm == name));
    let address = named.and_then(|row| Some((row, row.address.parse::<SocketAddr>().ok()?)));
    let Some((row, address)) = address else {
        let hint = "look at `cumintrail status` for the names";
        return UsageSnafu { message: format!("no daemon of VM `{name}` answers"), hint }.fail();
    };
    let told = access.post(address, "/operator/drain", order).await;
    told.context(UnreachableSnafu { what: name, hint: HINT })?;
    let mut missing = Missing::default();
    if let Some(reason) = reason_of_vm(access, address).await {
        missing.add(&row.domain, &format!("{address}: {reason}"));
    }
    Ok(missing)
}

/// Tells why a daemon is not safe to stop.
///
/// The status is read after the dump: a call that has ended meanwhile is counted there until its
/// outcome is recorded.
async fn reason_of_vm(access: &Access, address: SocketAddr) -> Option<String> {
    let dump = access.get::<Dump>(address, "/debug/state").await;
    let status = access.get::<Status>(address, "/operator/status").await;
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
