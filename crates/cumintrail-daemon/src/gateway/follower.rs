//! Follows a reader of the failure domain instead of the platform and the stores, and decides what
//! this daemon reads by itself meanwhile; docs/PLATFORM.md, "Readers and followers".

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_client::{HttpPeer, Peer};
use cumintrail_control::Event;
use cumintrail_control::feed::{
    AppliedUpdate, FeedCursor, FeedSource, FeedSourceChoice, FeedTable, MAX_FOLLOWED_AGE, OwnReads,
};
use cumintrail_types::{Moment, StoreKey};
use cumintrail_wire::feed::{FeedReply, FeedRequest};
use rand::Rng;
use tokio::sync::mpsc;

use super::follow::FeedEvent;
use super::{Platform, Update};
use crate::shared::Shared;

/// Time that one request waits for changes; it adds to the age of what a follower knows.
const FOLLOW_WAIT: Duration = Duration::from_millis(500);
/// Time allowed for a response beyond its wait; a reader that is suspended is left after it.
const RESPONSE_MARGIN: Duration = Duration::from_millis(400);
/// Minimum interval between requests after a change of a table, so that a series of changes needs
/// few of them.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two checks whether a reader may be followed again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(300);
/// How long no reader may respond before a follower reads the stores itself: there are many of
/// them, and parts that are not known only cost time.
const STORE_FALLBACK_DELAY: Duration = Duration::from_secs(6);

/// The longest time after which a follower knows a change of a table, whichever process failed.
///
/// A reader that was suspended just after its last response is left after one request; so is a
/// second one. The follower then reads the platform itself: the delay before its request, and a
/// response.
pub const MAX_APPLY_DELAY: Duration = Duration::from_millis(2_800);

struct Follower<P> {
    shared: Arc<Shared>,
    platform: P,
    peers: Rc<HttpPeer>,
    updates: mpsc::UnboundedSender<Update>,
    choice: FeedSourceChoice,
    /// The reader that responded last, the cursor in its changes, and the stores that it listed.
    followed: Option<(SocketAddr, FeedCursor, Vec<SocketAddr>)>,
    /// When a reader last responded; `None` while this daemon has none to follow.
    last_response: Option<Moment>,
    /// Stores whose listing the control state has received from here.
    listed: HashSet<(StoreKey, SocketAddr)>,
}

/// Follows the assigned readers until the process ends.
pub async fn run<P: Platform>(
    shared: Arc<Shared>,
    platform: P,
    peers: Rc<HttpPeer>,
    updates: mpsc::UnboundedSender<Update>,
) {
    let mut assignment = shared.reader_assignment.subscribe();
    let choice = FeedSourceChoice::new(shared.peer_address());
    let mut task = Follower {
        shared,
        platform,
        peers,
        updates,
        choice,
        followed: None,
        last_response: None,
        listed: HashSet::new(),
    };
    loop {
        let assigned = assignment.borrow_and_update().clone();
        task.choice.assign(&assigned.readers);
        let now = task.shared.now();
        let own_reads = OwnReads {
            is_follower: !assigned.readers.is_empty(),
            has_followers: assigned.has_followers,
            reader_count: assigned.reader_count,
            domain_daemons: assigned.domain_daemons,
            ..OwnReads::default()
        };
        match task.choice.choose(now) {
            FeedSource::Platform => {
                task.read_by_itself(now, own_reads);
                let pause = RECHECK_INTERVAL.mul_f64(rand::rng().random_range(0.7..1.3));
                let _ = actix_rt::time::timeout(pause, assignment.changed()).await;
            }
            FeedSource::Reader(at) => {
                let started = tokio::time::Instant::now();
                let has_changes = task.request_update(at, own_reads).await;
                if has_changes {
                    let pause = MIN_REQUEST_INTERVAL.saturating_sub(started.elapsed());
                    actix_rt::time::sleep(pause).await;
                }
            }
        }
    }
}

impl<P: Platform> Follower<P> {
    /// Reads the platform, and the stores unless a reader responded a short time ago.
    fn read_by_itself(&mut self, now: Moment, own_reads: OwnReads) {
        let is_follower = own_reads.is_follower;
        let lost = |at: Moment| !is_follower || now.since(at) >= STORE_FALLBACK_DELAY;
        let stores = self.last_response.is_none_or(lost);
        if stores {
            (self.last_response, self.followed) = (None, None);
            self.listed.clear();
        }
        // All daemons of the domain may read by themselves for the same reason.
        let others = if stores && is_follower { own_reads.domain_daemons } else { 0 };
        let reader_count = own_reads.reader_count + others;
        let own_reads = OwnReads { tables: true, stores, reader_count, ..own_reads };
        self.set_own_reads(own_reads, "no reader");
    }

    /// Requests an update from a reader; returns whether tables changed with it.
    async fn request_update(&mut self, at: SocketAddr, own_reads: OwnReads) -> bool {
        let shared = self.shared.clone();
        let (cursor, mut stores) = match self.followed.take() {
            Some((reader, cursor, stores)) if reader == at => (Some(cursor), stores),
            _ => (None, Vec::new()),
        };
        let positions = match cursor {
            Some(_) => cumintrail_control::feed::FeedPositions::default(),
            None => shared.feed_log().positions(),
        };
        let request = FeedRequest::new(cursor, &positions, FOLLOW_WAIT);
        let sent = shared.now();
        let timeout = FOLLOW_WAIT + RESPONSE_MARGIN;
        let exchange = self.peers.feed(at, &request, timeout);
        let reply = actix_rt::time::timeout(timeout, exchange).await;
        let now = shared.now();
        let message = match reply {
            Ok(Ok(FeedReply::Update(message))) => message,
            other => {
                let reason = match other {
                    Ok(Ok(_)) => "not a reader".into(),
                    Ok(Err(e)) => e.to_string(),
                    Err(_) => "no answer in time".into(),
                };
                log::info!("event=reader-lost reader={at} reason=\"{reason}\"");
                self.choice.record_failure(now, at);
                return false;
            }
        };
        let update = message.into_update(sent, now, &mut stores);
        let cursor = update.cursor;
        let (confirmed, returned_at) = (update.confirmed.clone(), update.registry_returned_at);
        let platform = &self.platform;
        let applied = shared.feed_log().apply_update(now, update, |row| {
            platform.target_change(&row.key, row.value.as_deref())
        });
        if let Some(at) = returned_at {
            let _ = self.updates.send(Update::RegistryReturned(at));
        }
        let has_changes = self.forward(applied, &confirmed).await;
        let as_of = {
            let log = shared.feed_log();
            FeedTable::ALL.map(|table| log.table_as_of(table).unwrap_or_default())
        };
        let as_of = as_of[0].min(as_of[1]);
        self.choice.record_response(now, at, as_of);
        self.followed = Some((at, cursor, stores));
        self.last_response = Some(now);
        let age = now.since(as_of);
        let tables = age >= MAX_FOLLOWED_AGE;
        let reason = if tables { "outdated reader" } else { "reader" };
        self.set_own_reads(OwnReads { tables, stores: false, ..own_reads }, reason);
        has_changes
    }

    /// Forwards an update to the publisher and the control state; returns whether tables changed.
    async fn forward(
        &mut self,
        applied: AppliedUpdate,
        confirmed: &[(SocketAddr, Moment)],
    ) -> bool {
        let shared = self.shared.clone();
        let mut has_changes = false;
        for (table, update) in applied.tables {
            let Some(as_of) = update.as_of else { continue };
            has_changes |= update.is_snapshot || !update.page.rows.is_empty();
            let event = if update.is_snapshot {
                FeedEvent::Snapshot(update.page, as_of)
            } else {
                FeedEvent::Changes(update.page, as_of)
            };
            // The send fails only when the process is ending.
            let _ = self.updates.send(Update::Table(table, event));
        }
        let Some(snapshot) = shared.snapshot() else {
            return has_changes;
        };
        let declared = snapshot.stores.iter().filter(|(_, s)| s.stores_parts && !s.retired);
        let mut confirmations = Vec::new();
        for (store, declared) in declared {
            let at = declared.address;
            let Some((_, as_of)) = confirmed.iter().find(|(address, _)| *address == at) else {
                continue;
            };
            let update = applied.stores.iter().find(|s| s.position.address == at);
            let update = match update {
                _ if self.listed.insert((store, at)) => {
                    shared.feed_log().listing(at).map(|(_, listing)| listing)
                }
                update => update.map(|s| s.update.clone()),
            };
            match update {
                Some(update) => {
                    let event = Event::PartsRead { store, sent: *as_of, update };
                    shared.control.send(event).await;
                }
                None => confirmations.push((store, *as_of)),
            }
        }
        let clock = shared.feed_log().clock();
        shared.control.send(Event::PartsConfirmed { stores: confirmations, clock }).await;
        has_changes
    }

    fn set_own_reads(&self, own_reads: OwnReads, reason: &str) {
        self.shared.own_reads.send_if_modified(|known| {
            if (known.tables, known.stores) != (own_reads.tables, own_reads.stores) {
                log::info!(
                    "event=own-reads tables={} stores={} reason=\"{reason}\"",
                    own_reads.tables,
                    own_reads.stores
                );
            }
            let changed = *known != own_reads;
            *known = own_reads;
            changed
        });
    }
}
