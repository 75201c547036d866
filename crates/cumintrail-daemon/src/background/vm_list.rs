//! Reads the VM list from the platform, or requests its changes from a peer.

use std::net::SocketAddr;
use std::rc::Rc;

use cumintrail_client::{Peer, VmListReader};
use cumintrail_control::{Event, VmEntry, VmRole, VmState};
use cumintrail_wire::peer::VmListRequest;
use cumintrail_wire::platform;

use super::Background;
use crate::metric;
use crate::shared::Shared;

/// Reads the VM list at each request of the control state, until the process ends.
pub async fn run(background: Rc<Background>) {
    report_configured_peers(&background.shared).await;
    let mut lagging = None;
    loop {
        background.vm_list_read_requested.notified().await;
        let known = background.shared.vm_list().sequence();
        // A lagging platform would resend its older list at each read, so the request names the
        // sequence number of that list.
        let sequence = match background.platform.vms_if_changed(lagging.unwrap_or(known)).await {
            Ok(Some(list)) => Some(apply_platform_list(&background, list).await),
            Ok(None) => Some(lagging.unwrap_or(known)),
            Err(_) => {
                metrics::counter!(metric::PLATFORM_ERRORS, "part" => "vm_list").increment(1);
                None
            }
        };
        lagging = sequence.filter(|sequence| *sequence < background.shared.vm_list().sequence());
        background.shared.control.send(Event::VmListRead { sequence }).await;
    }
}

/// Stores a list read from the platform and returns its sequence number.
async fn apply_platform_list(background: &Background, list: platform::VmList) -> u64 {
    let vms = list.vms.into_iter().map(VmEntry::from).collect();
    let newer = background.shared.vm_list().replace(list.sequence, vms);
    report_list(background, newer).await;
    list.sequence
}

/// Requests the changes since this daemon's list from a peer that reported a newer list.
pub async fn request_from_peer(background: &Background, from: SocketAddr) {
    if background.vm_list_request_running.replace(true) {
        return;
    }
    let after = background.shared.vm_list().sequence();
    // If the peer does not respond, its next digest causes another request.
    if let Ok(reply) = background.peers.vms(from, &VmListRequest { after }).await {
        let changes: Option<_> = reply.into();
        let newer = changes.is_some_and(|changes| background.shared.vm_list().apply(changes));
        report_list(background, newer).await;
    }
    background.vm_list_request_running.set(false);
}

async fn report_list(background: &Background, newer: bool) {
    if newer {
        let (sequence, vms) = {
            let list = background.shared.vm_list();
            (list.sequence(), list.vms())
        };
        background.shared.control.send(Event::VmListReceived { sequence, vms }).await;
    }
}

/// Sends the peers of the settings to the control state as the VM list with sequence number zero,
/// so that this daemon can send requests to them before any list is read.
pub async fn report_configured_peers(shared: &Shared) {
    let known = shared.settings.peers.iter().map(|address| VmEntry {
        address: *address,
        domain: "".into(),
        role: VmRole::Daemon,
        state: VmState::Live,
    });
    let event = Event::VmListReceived { sequence: 0, vms: known.collect() };
    shared.control.send(event).await;
}
