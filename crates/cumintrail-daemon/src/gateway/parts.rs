//! Follows the lists of parts in managed stores, with one task per store.
//!
//! A daemon that follows a reader of its failure domain pauses here; docs/PLATFORM.md, "Readers and
//! followers".

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_client::PartsStore;
use cumintrail_control::Event;
use cumintrail_control::feed::{OwnReads, StorePosition};
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
/// Interval where many daemons share the limit on waiting requests; it is shorter than the time for
/// which the control state uses an update.
const SHARED_REQUEST_INTERVAL: Duration = Duration::from_millis(1_300);
/// Interval of a reader: what its followers know is older by the wait of their own requests.
const READER_REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a request to a store failed.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Follows each managed store that stores parts, until the process ends.
pub async fn follow_all<P: Platform>(shared: Arc<Shared>, platform: P) {
    let followed: Rc<RefCell<HashSet<SocketAddr>>> = Rc::default();
    let mut reads = shared.own_reads.subscribe();
    while reads.wait_for(|reads| reads.stores).await.is_ok() {
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

/// Follows one store until it is retired or declared at another address, or this daemon follows a
/// reader.
async fn follow_store<C: PartsStore>(shared: &Shared, client: &C, store: StoreKey, at: SocketAddr) {
    let waiting_readers = || {
        let snapshot = shared.snapshot();
        let declared = snapshot.as_deref().and_then(|s| s.stores.get(store));
        declared.filter(|s| s.address == at && !s.retired).map(|s| s.waiting_readers)
    };
    let mut must_list = false;
    while let Some(waiting_readers) = waiting_readers() {
        let own_reads = *shared.own_reads.borrow();
        if !own_reads.stores {
            return;
        }
        let (wait, interval) = poll_schedule(own_reads, waiting_readers);
        let position = shared.feed_log().store_position(at).filter(|_| !must_list);
        let (sent, started) = (shared.now(), tokio::time::Instant::now());
        let page = match position {
            None => client.list(at).await,
            Some(position) => client.changes(at, position.next, wait).await,
        };
        let Ok(page) = page else {
            log::debug!("event=parts store={at} outcome=silent");
            actix_rt::time::sleep(RETRY_DELAY).await;
            continue;
        };
        must_list = position.is_some_and(|p| p.epoch != page.update.epoch) || page.lost;
        if must_list {
            log::info!("event=parts store={at} epoch={} outcome=read-whole", page.update.epoch);
            continue;
        }
        let now = shared.now();
        // Without changes, the store responds when the wait ends, and as of that moment.
        let is_unchanged = page.update.stored.is_empty() && page.update.removed.is_empty();
        let waited = is_unchanged && !page.update.complete;
        let as_of = if waited { (sent + wait).min(now) } else { sent };
        let position = StorePosition { address: at, epoch: page.update.epoch, next: page.next };
        shared.feed_log().record_parts(now, position, as_of, &page.update);
        shared.control.send(Event::PartsRead { store, sent: as_of, update: page.update }).await;
        actix_rt::time::sleep(interval.saturating_sub(started.elapsed())).await;
    }
    shared.feed_log().remove_store(at);
}

/// Returns the wait of a request and the interval between the starts of two requests, chosen so
/// that the waiting requests of all daemons that read the store fit within its limit.
fn poll_schedule(own_reads: OwnReads, waiting_readers: u32) -> (Duration, Duration) {
    let readers = own_reads.reader_count.max(1) as f64;
    let share = f64::from(waiting_readers) * WAITING_SHARE / readers;
    if own_reads.has_followers {
        let wait = READER_REQUEST_INTERVAL.mul_f64(share);
        return (wait.clamp(MIN_LONG_POLL_WAIT, READER_REQUEST_INTERVAL), READER_REQUEST_INTERVAL);
    }
    let wait = SHARED_REQUEST_INTERVAL.mul_f64(share).clamp(MIN_LONG_POLL_WAIT, MAX_LONG_POLL_WAIT);
    (wait, if wait == MAX_LONG_POLL_WAIT { MIN_REQUEST_INTERVAL } else { SHARED_REQUEST_INTERVAL })
}
