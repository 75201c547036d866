//! The background thread: configuration, VM list, and the I/O that the control state orders.

mod config_sync;
mod orders;
mod rollout;
mod vm_list;
mod warm;

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_client::{HttpEngine, HttpPeer, HttpPlatform, HttpStore};
use cumintrail_control::Action;
use tokio::sync::{Notify, mpsc};

pub use self::orders::send_digest;
pub use self::rollout::{before, exchange_lease, settle_order};
pub use self::vm_list::tell_configured_peers;
use crate::metric;
use crate::shared::Shared;

const TRAFFIC_INTERVAL: Duration = Duration::from_millis(500);

/// Holds the clients of the background thread.
pub struct Background {
    shared: Arc<Shared>,
    engines: HttpEngine,
    stores: HttpStore,
    peers: HttpPeer,
    platform: HttpPlatform,
    adopting: tokio::sync::Mutex<()>,
    /// Wake the tasks that read the platform.
    read_head: Notify,
    read_vms: Notify,
    /// Whether a peer is being asked for its VM list.
    asking_vms: Cell<bool>,
}

/// Runs until the control thread ends.
pub async fn run(shared: Arc<Shared>, mut orders: mpsc::UnboundedReceiver<Action>) {
    let s = &shared.settings;
    let background = Rc::new(Background {
        engines: HttpEngine::open(),
        stores: HttpStore::open(),
        peers: HttpPeer::open(s.peer_key.expose()),
        platform: HttpPlatform::open(s.table, s.objects, s.vm_list),
        adopting: tokio::sync::Mutex::new(()),
        read_head: Notify::new(),
        read_vms: Notify::new(),
        asking_vms: Cell::new(false),
        shared: shared.clone(),
    });
    actix_rt::spawn(config_sync::follow_platform(background.clone()));
    actix_rt::spawn(config_sync::follow_peers(background.clone()));
    actix_rt::spawn(vm_list::run(background.clone()));
    actix_rt::spawn(count_traffic(background.clone()));
    actix_rt::spawn(metric::upkeep());
    let mut cursors = orders::Cursors::default();
    while let Some(action) = orders.recv().await {
        orders::follow(&background, &mut cursors, action);
    }
}

/// Adds what the clients counted to the metric until the process ends.
async fn count_traffic(background: Rc<Background>) {
    let mut told = [0; 4];
    loop {
        actix_rt::time::sleep(TRAFFIC_INTERVAL).await;
        let counts = [
            ("engines", background.engines.control_bytes()),
            ("stores", background.stores.control_bytes()),
            ("peers", background.peers.control_bytes()),
            ("platform", background.platform.control_bytes()),
        ];
        for ((part, bytes), told) in counts.into_iter().zip(&mut told) {
            metrics::counter!(metric::CONTROL_BYTES, "part" => part).increment(bytes - *told);
            *told = bytes;
        }
    }
}
