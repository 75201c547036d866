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
const LONGEST_WAIT: Duration = Duration::from_millis(950);
/// The shortest wait that a store does not take for a probe.
const SHORTEST_WAIT: Duration = Duration::from_millis(200);
/// The part of the requests that a store holds at once up to which daemons keep it waiting.
const HELD_SHARE: f64 = 0.6;
/// The shortest time between two requests, so that busy stores are not asked all the time.
const GATHER: Duration = Duration::from_millis(400);
/// The same where many daemons take turns; what was told is acted upon for two seconds.
const TURN: Duration = Duration::from_millis(1_300);
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
    let readers = || {
        let snapshot = shared.snapshot();
        let declared = snapshot.as_deref().and_then(|s| s.stores.get(store));
        declared.filter(|s| s.address == at && !s.retired).map(|s| s.waiting_readers)
    };
    while let Some(readers) = readers() {
        let (wait, turn) = pace(shared.daemons(), readers);
        let (sent, begun) = (shared.now(), tokio::time::Instant::now());
        let page = match position {
            None => client.list(at).await,
            Some((_, next)) => client.changes(at, next, wait).await,
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
        shared.control.tell(Event::PartsRead { store, sent, update: page.heard }).await;
        actix_rt::time::sleep(turn.saturating_sub(begun.elapsed())).await;
    }
}

/// Returns how long one request waits and how far apart two are, so that the requests of all
/// daemons find room at a store.
fn pace(daemons: usize, readers: u32) -> (Duration, Duration) {
    let share = f64::from(readers) * HELD_SHARE / daemons.max(1) as f64;
    let wait = TURN.mul_f64(share).clamp(SHORTEST_WAIT, LONGEST_WAIT);
    (wait, if wait == LONGEST_WAIT { GATHER } else { TURN })
}
