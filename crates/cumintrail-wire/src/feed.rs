//! The exchange in which a daemon follows the tables and lists of parts that a reader knows.
//!
//! `POST /peer/feed` receives a [`FeedRequest`], waits for a change of a table or the end of the
//! requested wait, and returns a [`FeedReply`]. Moments are sent as ages, since daemons do not share
//! a clock.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cumintrail_control::feed::{
    FeedCursor, FeedPage, FeedPosition, FeedPositions, FeedRow, FeedUpdate, StorePosition,
    StoreUpdate, TableUpdate,
};
use cumintrail_control::parts::{PartsUpdate, StoredPart};
use cumintrail_types::{Incarnation, Moment, Tokens};
use serde::{Deserialize, Serialize};

/// Requests what changed after a cursor, or after positions if the reader does not know the cursor.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FeedRequest {
    cursor: Option<(Incarnation, u64)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    tables: Vec<Option<(u64, u64)>>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    stores: Vec<(SocketAddr, u64, u64)>,
    /// The longest time to wait for a change, in milliseconds.
    pub wait_ms: u32,
}

impl FeedRequest {
    /// Builds a request of a follower at a cursor of the reader, or at positions.
    pub fn new(cursor: Option<FeedCursor>, positions: &FeedPositions, wait: Duration) -> Self {
        let tables = positions.tables.iter().map(|at| at.map(|at| (at.era, at.version)));
        let stores = positions.stores.iter().map(|at| (at.address, at.epoch, at.next));
        Self {
            cursor: cursor.map(|c| (c.incarnation, c.sequence)),
            tables: tables.collect(),
            stores: stores.collect(),
            wait_ms: to_millis(wait),
        }
    }

    /// Returns the follower's cursor.
    pub fn cursor(&self) -> Option<FeedCursor> {
        self.cursor.map(|(incarnation, sequence)| FeedCursor { incarnation, sequence })
    }

    /// Returns the follower's positions.
    pub fn positions(&self) -> FeedPositions {
        let table = |index: usize| {
            let (era, version) = self.tables.get(index).copied().flatten()?;
            Some(FeedPosition { era, version })
        };
        let store = |(address, epoch, next): &(SocketAddr, u64, u64)| StorePosition {
            address: *address,
            epoch: *epoch,
            next: *next,
        };
        FeedPositions {
            tables: [table(0), table(1)],
            stores: self.stores.iter().map(store).collect(),
        }
    }
}

/// The response to a [`FeedRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum FeedReply {
    /// The daemon is not a reader, so it has nothing newer than the follower can get elsewhere.
    NotReader,
    /// What the follower lacks.
    Update(Box<UpdateMessage>),
}

/// Encodes a [`FeedUpdate`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct UpdateMessage {
    incarnation: Incarnation,
    sequence: u64,
    /// The time from the receipt of the request to this response, in milliseconds.
    waited_ms: u32,
    tables: [TableMessage; 2],
    registry_returned: Option<u32>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    salts: Vec<Arc<str>>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    stores: Vec<StoreMessage>,
    /// The addresses of the stores that the reader follows, unless the follower knows them.
    addresses: Option<Vec<SocketAddr>>,
    /// The ages of the lists of these stores, in milliseconds.
    ages: Vec<u32>,
    /// The time on the clock of targets and stores as of this response.
    clock_ms: Option<u64>,
}

/// Encodes a [`TableUpdate`] without field names: whether it is a snapshot, era, version, age in
/// milliseconds, and rows with key, version and value.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct TableMessage(bool, u64, u64, Option<u32>, Vec<(Arc<str>, u64, Option<Bytes>)>);

/// Encodes a [`StoreUpdate`] without field names: address, epoch, next position, whether it is
/// complete, and parts with the index of their cache salt, name and tokens; a removed part has no
/// tokens.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct StoreMessage(SocketAddr, u64, u64, bool, Vec<(u32, Arc<str>, Option<u32>)>);

impl UpdateMessage {
    /// Encodes an update at `now`, in response to a request that was received at `received`.
    pub fn new(update: FeedUpdate, received: Moment, now: Moment) -> Self {
        let age = |at: Moment| to_millis(now.since(at));
        let mut salts: Vec<Arc<str>> = Vec::new();
        let mut stores = Vec::new();
        for StoreUpdate { position, update } in update.stores {
            let mut part = |part: &StoredPart, tokens: Option<u32>| {
                let salt = &part.cache_salt_text;
                let index = salts.iter().position(|known| known == salt).unwrap_or_else(|| {
                    salts.push(salt.clone());
                    salts.len() - 1
                });
                (index as u32, part.name.clone(), tokens)
            };
            let mut parts = Vec::with_capacity(update.stored.len() + update.removed.len());
            parts.extend(update.stored.iter().map(|p| part(p, Some(p.tokens.0))));
            parts.extend(update.removed.iter().map(|p| part(p, None)));
            let StorePosition { address, epoch, next } = position;
            stores.push(StoreMessage(address, epoch, next, update.complete, parts));
        }
        let addresses = update.confirmed.iter().map(|(address, _)| *address);
        let addresses = update.are_stores_new.then(|| addresses.collect());
        let clock = update.clock.map(|(at, ms)| ms + u64::from(age(at)));
        Self {
            incarnation: update.cursor.incarnation,
            sequence: update.cursor.sequence,
            waited_ms: to_millis(now.since(received)),
            tables: update.tables.map(|table| TableMessage::new(table, now)),
            registry_returned: update.registry_returned_at.map(age),
            addresses,
            ages: update.confirmed.iter().map(|(_, at)| age(*at)).collect(),
            salts,
            stores,
            clock_ms: clock,
        }
    }

    /// Decodes the update in response to a request that was sent at `sent` and received at `now`.
    ///
    /// The reader composed the response at the earliest after its wait, counted from `sent`, so the
    /// ages count back from then. `known_stores` are the stores that the reader listed last.
    pub fn into_update(
        self,
        sent: Moment,
        now: Moment,
        known_stores: &mut Vec<SocketAddr>,
    ) -> FeedUpdate {
        let composed = (sent + Duration::from_millis(self.waited_ms.into())).min(now);
        let moment = |age: u32| back(composed, age);
        let salts = self.salts;
        let part = |salt: u32, name: Arc<str>, tokens: u32| {
            let salt = salts.get(salt as usize)?.clone();
            let cache_salt = salt.parse().ok();
            Some(StoredPart { cache_salt, cache_salt_text: salt, name, tokens: Tokens(tokens) })
        };
        let stores = self.stores.into_iter().map(|message| {
            let StoreMessage(address, epoch, next, complete, parts) = message;
            let mut update = PartsUpdate { epoch, complete, ..PartsUpdate::default() };
            for (salt, name, tokens) in parts {
                let list = if tokens.is_some() { &mut update.stored } else { &mut update.removed };
                list.extend(part(salt, name, tokens.unwrap_or(0)));
            }
            StoreUpdate { position: StorePosition { address, epoch, next }, update }
        });
        let are_stores_new = self.addresses.is_some();
        if let Some(addresses) = self.addresses {
            *known_stores = addresses;
        }
        let confirmed =
            known_stores.iter().zip(&self.ages).map(|(address, age)| (*address, moment(*age)));
        FeedUpdate {
            cursor: FeedCursor { incarnation: self.incarnation, sequence: self.sequence },
            tables: self.tables.map(|table| table.into_update(composed)),
            registry_returned_at: self.registry_returned.map(moment),
            stores: stores.collect(),
            confirmed: confirmed.collect(),
            are_stores_new,
            clock: self.clock_ms.map(|ms| (now, ms)),
        }
    }
}

impl TableMessage {
    fn new(table: TableUpdate, now: Moment) -> Self {
        let FeedPage { rows, position } = table.page;
        let row = |row: FeedRow| (row.key, row.version, row.value);
        let rows = rows.into_iter().map(row).collect();
        let age = table.as_of.map(|at| to_millis(now.since(at)));
        Self(table.is_snapshot, position.era, position.version, age, rows)
    }

    fn into_update(self, composed: Moment) -> TableUpdate {
        let Self(is_snapshot, era, version, age, rows) = self;
        let row =
            |(key, version, value): (Arc<str>, u64, Option<Bytes>)| FeedRow { key, version, value };
        let page = FeedPage {
            rows: rows.into_iter().map(row).collect(),
            position: FeedPosition { era, version },
        };
        TableUpdate { is_snapshot, page, as_of: age.map(|age| back(composed, age)) }
    }
}

/// Returns the moment `age` milliseconds before another one; the earliest one if it is before the
/// start of the clock.
fn back(at: Moment, age: u32) -> Moment {
    Moment(at.0.saturating_sub(u64::from(age) * 1_000))
}

fn to_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
