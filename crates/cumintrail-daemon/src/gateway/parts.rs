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
const STORE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long one request waits for changes, a little below what a store allows.
const MAX_LONG_POLL_WAIT: Duration = Duration::from_millis(950);
/// The shortest wait that a store does not take for a probe.
const MIN_LONG_POLL_WAIT: Duration = Duration::from_millis(200);
/// The part of the requests that a store holds at once up to which daemons keep it waiting.
const WAITING_SHARE: f64 = 0.6;
/// The shortest time between two requests, so that busy stores are not asked all the time.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(400);
/// The same where many daemons take turns; what was told is acted upon for two seconds.
const SHARED_REQUEST_INTERVAL: Duration = Duration::from_millis(1_300);
/// The pause after a store did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Follows each store that keeps parts, until the process ends.
pub async fn sync_all<P: Platform>(shared: Arc<Shared>, platform: P) {
    let synced: Rc<RefCell<HashSet<SocketAddr>>> = Rc::default();
    loop {
        let snapshot = shared.snapshot();
        let stores = snapshot.iter().flat_map(|s| s.stores.iter());
        for (key, store) in stores.filter(|(_, s)| s.keeps_parts && !s.retired) {
            if synced.borrow_mut().insert(store.address) {
                let (shared, client, synced) = (shared.clone(), platform.open(), synced.clone());
                let at = store.address;
                actix_rt::spawn(async move {
                    sync_store(&shared, &client, key, at).await;
                    synced.borrow_mut().remove(&at);
                });
            }
        }
        actix_rt::time::sleep(STORE_CHECK_INTERVAL).await;
    }
}

/// Follows one store until it is no longer declared at its address.
async fn sync_store<C: PartsStore>(shared: &Shared, client: &C, store: StoreKey, at: SocketAddr) {
    let mut position = None;
    let waiting_readers = || {
        let snapshot = shared.snapshot();
        let declared = snapshot.as_deref().and_then(|s| s.stores.get(store));
        declared.filter(|s| s.address == at && !s.retired).map(|s| s.waiting_readers)
    };
    while let Some(waiting_readers) = waiting_readers() {
        let (wait, interval) = poll_schedule(shared.store_limit_daemons(), waiting_readers);
        let (sent, started) = (shared.now(), tokio::time::Instant::now());
        let page = match position {
            None => client.list(at).await,
            Some((_, next)) => client.changes(at, next, wait).await,
        };
        let Ok(page) = page else {
            log::debug!("event=parts store={at} outcome=silent");
            actix_rt::time::sleep(RETRY_DELAY).await;
            continue;
        };
        let restarted = position.is_some_and(|(epoch, _)| epoch != page.heard.epoch);
        if restarted || page.lost {
            log::info!("event=parts store={at} epoch={} outcome=read-whole", page.heard.epoch);
            position = None;
            continue;
        }
        position = Some((page.heard.epoch, page.next));
        shared.control.send(Event::PartsRead { store, sent, update: page.heard }).await;
        actix_rt::time::sleep(interval.saturating_sub(started.elapsed())).await;
    }
}

/// Returns how long one request waits and how far apart two are, so that the requests of all
/// daemons find room at a store.
fn poll_schedule(daemons: usize, waiting_readers: u32) -> (Duration, Duration) {
    let share = f64::from(waiting_readers) * WAITING_SHARE / daemons.max(1) as f64;
    let wait = SHARED_REQUEST_INTERVAL.mul_f64(share).clamp(MIN_LONG_POLL_WAIT, MAX_LONG_POLL_WAIT);
    (wait, if wait == MAX_LONG_POLL_WAIT { MIN_REQUEST_INTERVAL } else { SHARED_REQUEST_INTERVAL })
}
