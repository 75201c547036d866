//! Reads the platform's VM list.

use std::rc::Rc;

use cumintrail_client::VmList;
use cumintrail_control::{Event, VmEntry, VmRole, VmState};
use rand::Rng;

use super::Background;
use crate::metric;

/// Reads the list at the configuration's interval until the process ends.
pub async fn run(background: Rc<Background>) {
    let settings = &background.shared.settings;
    let known = settings.peers.iter().map(|address| VmEntry {
        address: *address,
        domain: "".into(),
        role: VmRole::Daemon,
        state: VmState::Live,
    });
    let event = Event::VmsListed { sequence: 0, vms: known.collect() };
    background.shared.control.tell(event).await;
    loop {
        match background.platform.vms().await {
            Ok(list) => {
                let vms = list.vms.into_iter().map(VmEntry::from).collect();
                let event = Event::VmsListed { sequence: list.sequence, vms };
                background.shared.control.tell(event).await;
            }
            Err(_) => metrics::counter!(metric::PLATFORM_ERRORS, "part" => "vm_list").increment(1),
        }
        let jitter = rand::rng().random_range(0.8..1.2);
        actix_rt::time::sleep(settings.config_poll.mul_f64(jitter)).await;
    }
}
