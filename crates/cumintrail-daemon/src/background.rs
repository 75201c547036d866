//! The background thread: reads of the configuration and the VM list, and the I/O that the control
//! state requests.

mod actions;
mod config_sync;
mod rollout;
mod software;
mod vm_list;
mod warm;

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_client::{HttpEngine, HttpPeer, HttpPlatform, HttpStore};
use cumintrail_control::Action;
use tokio::sync::{Notify, mpsc};

pub use self::actions::send_digest;
pub use self::rollout::{exchange_lease, order_outcome, run_before};
pub use self::software::exchange_history;
pub use self::vm_list::report_configured_peers;
use crate::metric;
use crate::shared::Shared;

const TRAFFIC_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Bundles the clients and the state that the tasks of the background thread share.
pub struct Background {
    shared: Arc<Shared>,
    engines: HttpEngine,
    stores: HttpStore,
    peers: HttpPeer,
    platform: HttpPlatform,
    adoption_lock: tokio::sync::Mutex<()>,
    /// Wakes the task that reads the committed generation from the platform.
    generation_read_requested: Notify,
    /// Wakes the task that reads the VM list from the platform.
    vm_list_read_requested: Notify,
    /// Whether a request for a peer's VM list is in progress.
    vm_list_request_running: Cell<bool>,
}

/// Runs the background tasks until the control thread ends.
pub async fn run(shared: Arc<Shared>, mut actions: mpsc::UnboundedReceiver<Action>) {
    let s = &shared.settings;
    let background = Rc::new(Background {
        engines: HttpEngine::open(),
        stores: HttpStore::open(),
        peers: HttpPeer::open(s.peer_key.expose()),
        platform: HttpPlatform::open(s.table, s.objects, s.vm_list),
        adoption_lock: tokio::sync::Mutex::new(()),
        generation_read_requested: Notify::new(),
        vm_list_read_requested: Notify::new(),
        vm_list_request_running: Cell::new(false),
        shared: shared.clone(),
    });
    actix_rt::spawn(config_sync::sync_with_platform(background.clone()));
    actix_rt::spawn(config_sync::sync_with_peers(background.clone()));
    actix_rt::spawn(vm_list::run(background.clone()));
    actix_rt::spawn(report_control_traffic(background.clone()));
    actix_rt::spawn(metric::run_maintenance());
    let mut cursors = actions::CacheCursors::default();
    while let Some(action) = actions.recv().await {
        actions::start(&background, &mut cursors, action);
    }
}

/// Adds the bytes that the clients counted to the metric, until the process ends.
async fn report_control_traffic(background: Rc<Background>) {
    let mut reported = [0; 4];
    loop {
        actix_rt::time::sleep(TRAFFIC_REPORT_INTERVAL).await;
        let counts = [
            ("engines", background.engines.control_bytes()),
            ("stores", background.stores.control_bytes()),
            ("peers", background.peers.control_bytes()),
            ("platform", background.platform.control_bytes()),
        ];
        for ((part, bytes), reported) in counts.into_iter().zip(&mut reported) {
            metrics::counter!(metric::CONTROL_BYTES, "part" => part).increment(bytes - *reported);
            *reported = bytes;
        }
    }
}
