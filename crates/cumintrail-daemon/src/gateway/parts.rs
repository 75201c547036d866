//! Follows what managed stores hold, store by store.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_client::PartsStore;
use cumintrail_control::Event;
use cumintrail_types::StoreKey;

use super::Platform;
use crate::shared::Shared;

/// The pause between two looks for stores that are not followed yet.
const STORES_INTERVAL: Duration = Duration::from_millis(500);
/// How long one request waits for changes, a little below what a store allows.
const WAIT: Duration = Duration::from_millis(950);
/// The shortest time between two requests, so that busy stores are not asked all the time.
const GATHER: Duration = Duration::from_millis(400);
/// The pause after a store did not answer.
const RETRY: Duration = Duration::from_millis(300);

/// Follows each store that keeps parts, until the process ends.
pub async fn follow_all<P: Platform>(shared: Arc<Shared>, platform: P) {
    let followed: Rc<RefCell<HashSet<SocketAddr>>> = Rc::default();
    loop {
        let snapshot = shared.snapshot();
        let stores = snapshot.iter().flat_map(|s| s.stores.iter());
        for (key, store) in stores.filter(|(_, s)| s.keeps_parts && !s.retired) {
            if followed.borrow_mut().insert(store.address) {
                let (shared, client, followed) =
                    (shared.clone(), platform.open(), followed.clone());
                let at = store.address;
                actix_rt::spawn(async move {
                    follow(&shared, &client, key, at).await;
                    followed.borrow_mut().remove(&at);
                });
            }
        }
        actix_rt::time::sleep(STORES_INTERVAL).await;
    }
}

/// Follows one store until it is no longer declared at its address.
async fn follow<C: PartsStore>(shared: &Shared, client: &C, store: StoreKey, at: SocketAddr) {
    let mut position = None;
    let declared = || {
        let snapshot = shared.snapshot();
        let declared = snapshot.as_deref().and_then(|s| s.stores.get(store));
        declared.is_some_and(|s| s.address == at && !s.retired)
    };
    while declared() {
        let (asked, begun) = (shared.now(), tokio::time::Instant::now());
        let page = match position {
            None => client.list(at).await,
            Some((_, next)) => client.changes(at, next, WAIT).await,
        };
        let Ok(page) = page else {
            log::debug!("event=parts store={at} outcome=silent");
            actix_rt::time::sleep(RETRY).await;
            continue;
        };
        let restarted = position.is_some_and(|(epoch, _)| epoch != page.heard.epoch);
        if restarted || page.lost {
            log::info!("event=parts store={at} epoch={} outcome=read-whole", page.heard.epoch);
            position = None;
            continue;
        }
        position = Some((page.heard.epoch, page.next));
        shared.control.tell(Event::PartsHeard { store, asked, heard: page.heard }).await;
        actix_rt::time::sleep(GATHER.saturating_sub(begun.elapsed())).await;
    }
}
