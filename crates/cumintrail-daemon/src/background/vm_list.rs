//! Reads the platform's VM list, or asks a peer for what changed in it.

use std::net::SocketAddr;
use std::rc::Rc;

use cumintrail_client::{Peer, VmList};
use cumintrail_control::{Event, VmEntry, VmRole, VmState};
use cumintrail_wire::peer::VmsRequest;

use super::Background;
use crate::metric;

/// Reads the list when ordered, until the process ends.
pub async fn run(background: Rc<Background>) {
    tell_configured_peers(&background).await;
    // The list that the platform told last, which may be older than the one that is known.
    let mut last_read = 0;
    loop {
        background.read_vms.notified().await;
        match background.platform.vms_unless(last_read).await {
            Ok(Some(list)) => {
                last_read = list.sequence;
                let vms = list.vms.into_iter().map(VmEntry::from).collect();
                let newer = background.shared.vm_book().take(last_read, vms);
                tell_list(&background, newer).await;
                background.shared.control.tell(Event::VmsRead { sequence: Some(last_read) }).await;
            }
            Ok(None) => {
                background.shared.control.tell(Event::VmsRead { sequence: Some(last_read) }).await;
            }
            Err(_) => {
                metrics::counter!(metric::PLATFORM_ERRORS, "part" => "vm_list").increment(1);
                background.shared.control.tell(Event::VmsRead { sequence: None }).await;
            }
        }
    }
}

/// Asks a peer that told of a newer list for what this daemon's lacks.
pub async fn ask(background: &Background, from: SocketAddr) {
    if background.asking_vms.replace(true) {
        return;
    }
    let after = background.shared.vm_book().sequence();
    // A peer that does not answer is heard of again with the next digest.
    if let Ok(reply) = background.peers.vms(from, &VmsRequest { after }).await {
        let changes: Option<_> = reply.into();
        let newer = changes.is_some_and(|changes| background.shared.vm_book().apply(changes));
        tell_list(background, newer).await;
    }
    background.asking_vms.set(false);
}

async fn tell_list(background: &Background, newer: bool) {
    if newer {
        let (sequence, vms) = {
            let book = background.shared.vm_book();
            (book.sequence(), book.vms())
        };
        background.shared.control.tell(Event::VmsListed { sequence, vms }).await;
    }
}

/// Names the peers of the settings, which may be asked before any list is read.
async fn tell_configured_peers(background: &Background) {
    let known = background.shared.settings.peers.iter().map(|address| VmEntry {
        address: *address,
        domain: "".into(),
        role: VmRole::Daemon,
        state: VmState::Live,
    });
    let event = Event::VmsListed { sequence: 0, vms: known.collect() };
    background.shared.control.tell(event).await;
}
