//! The background thread: configuration, VM list, and the I/O that the control state orders.

mod config_sync;
mod orders;
mod rollout;
mod vm_list;
mod warm;

use std::rc::Rc;
use std::sync::Arc;

use cumintrail_client::{HttpEngine, HttpPeer, HttpPlatform, HttpStore};
use cumintrail_control::Action;
use tokio::sync::mpsc;

use crate::metric;
use crate::shared::Shared;

/// Holds the clients of the background thread.
pub struct Background {
    shared: Arc<Shared>,
    engines: HttpEngine,
    stores: HttpStore,
    peers: HttpPeer,
    platform: HttpPlatform,
    adopting: tokio::sync::Mutex<()>,
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
        shared: shared.clone(),
    });
    actix_rt::spawn(config_sync::follow_platform(background.clone()));
    actix_rt::spawn(config_sync::follow_peers(background.clone()));
    actix_rt::spawn(vm_list::run(background.clone()));
    actix_rt::spawn(metric::upkeep());
    let mut cursors = orders::Cursors::default();
    while let Some(action) = orders.recv().await {
        orders::follow(&background, &mut cursors, action);
    }
}
