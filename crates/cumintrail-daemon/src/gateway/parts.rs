//! Follows the lists of parts in managed stores, with one task per store.

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

/// Interval between two checks for stores that are not followed yet.
const STORE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum time that one request waits for changes, a little below the limit of a store.
const MAX_LONG_POLL_WAIT: Duration = Duration::from_millis(950);
/// Minimum wait of a request; a store treats a request with a shorter wait as a probe.
const MIN_LONG_POLL_WAIT: Duration = Duration::from_millis(200);
/// Share of a store's limit on waiting requests that the daemons together aim to use.
const WAITING_SHARE: f64 = 0.6;
/// Minimum interval between two requests, so that a store with many changes gets few requests.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(400);
/// Interval where many daemons share the limit on waiting requests; it is shorter than the 2 s for
/// which the control state uses an update.
const SHARED_REQUEST_INTERVAL: Duration = Duration::from_millis(1_300);
/// Delay after a request to a store failed.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Follows each managed store that stores parts, until the process ends.
pub async fn follow_all<P: Platform>(shared: Arc<Shared>, platform: P) {
    let followed: Rc<RefCell<HashSet<SocketAddr>>> = Rc::default();
    loop {
        let snapshot = shared.snapshot();
        let stores = snapshot.iter().flat_map(|s| s.stores.iter());
        for (key, store) in stores.filter(|(_, s)| s.stores_parts && !s.retired) {
            if followed.borrow_mut().insert(store.address) {
                let (shared, client, followed) =
                    (shared.clone(), platform.open(), followed.clone());
                let at = store.address;
                actix_rt::spawn(async move {
                    follow_store(&shared, &client, key, at).await;
                    followed.borrow_mut().remove(&at);
                });
            }
        }
        actix_rt::time::sleep(STORE_CHECK_INTERVAL).await;
    }
}

/// Follows one store until it is retired or declared at another address.
async fn follow_store<C: PartsStore>(shared: &Shared, client: &C, store: StoreKey, at: SocketAddr) {
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
        let restarted = position.is_some_and(|(epoch, _)| epoch != page.update.epoch);
        if restarted || page.lost {
            log::info!("event=parts store={at} epoch={} outcome=read-whole", page.update.epoch);
            position = None;
            continue;
        }
        position = Some((page.update.epoch, page.next));
        shared.control.send(Event::PartsRead { store, sent, update: page.update }).await;
        actix_rt::time::sleep(interval.saturating_sub(started.elapsed())).await;
    }
}

/// Returns the wait of a request and the interval between the starts of two requests, chosen so
/// that the waiting requests of all daemons fit within a store's limit.
fn poll_schedule(daemons: usize, waiting_readers: u32) -> (Duration, Duration) {
    let share = f64::from(waiting_readers) * WAITING_SHARE / daemons.max(1) as f64;
    let wait = SHARED_REQUEST_INTERVAL.mul_f64(share).clamp(MIN_LONG_POLL_WAIT, MAX_LONG_POLL_WAIT);
    (wait, if wait == MAX_LONG_POLL_WAIT { MIN_REQUEST_INTERVAL } else { SHARED_REQUEST_INTERVAL })
}
