//! The tables and lists of parts of a daemon, with their recent changes.
//!
//! A reader serves followers from it. Positions are those of the platform and of the stores, so a
//! follower may continue at another reader.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use cumintrail_types::{Incarnation, Moment};

use super::{FeedPage, FeedPosition, FeedRow, FeedTable};
use crate::parts::{PartsUpdate, StoredPart};
use crate::registry::{EntryChange, is_material};

/// Maximum number of changes that are kept for followers; one that is further behind receives the
/// whole content.
const MAX_CHANGES: usize = 4_096;

/// The cache salt and the name of a part.
type PartName = (Arc<str>, Arc<str>);

/// A point in the changes of one reader.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FeedCursor {
    /// The incarnation of the reader.
    pub incarnation: Incarnation,
    /// The number of the last change that the follower received from it.
    pub sequence: u64,
}

/// The position of a daemon in the events of one store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StorePosition {
    /// The address of the store.
    pub address: SocketAddr,
    /// The incarnation of the store's process.
    pub epoch: u64,
    /// The position after which the next events are read.
    pub next: u64,
}

/// The positions of a daemon in all that it follows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FeedPositions {
    /// The positions in the tables; `None` for a table that was never read.
    pub tables: [Option<FeedPosition>; 2],
    /// The positions in the events of stores.
    pub stores: Vec<StorePosition>,
}

/// What a follower receives of one table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TableUpdate {
    /// Whether the page has all rows.
    pub is_snapshot: bool,
    /// The rows.
    pub page: FeedPage,
    /// When the reader's knowledge of the table was current; `None` if it never was.
    pub as_of: Option<Moment>,
}

/// What a follower receives of one store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreUpdate {
    /// The position after the update.
    pub position: StorePosition,
    /// The parts, or their changes.
    pub update: PartsUpdate,
}

/// What a follower receives in one response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FeedUpdate {
    /// The reader's cursor after the update.
    pub cursor: FeedCursor,
    /// The updates of the tables.
    pub tables: [TableUpdate; 2],
    /// When the registry last responded again after an outage.
    pub registry_returned_at: Option<Moment>,
    /// The updates of stores with changes.
    pub stores: Vec<StoreUpdate>,
    /// All stores that the reader follows, and when its knowledge of each was current.
    pub confirmed: Vec<(SocketAddr, Moment)>,
    /// Whether the follower does not know yet which stores these are.
    pub are_stores_new: bool,
    /// A moment, and the milliseconds on the clock of targets and stores then.
    pub clock: Option<(Moment, u64)>,
}

/// Reports what changed when an update of a reader was applied.
#[derive(Debug, Default)]
pub struct AppliedUpdate {
    /// The updates of tables that are not outdated, in order.
    pub tables: Vec<(FeedTable, TableUpdate)>,
    /// The updates of stores.
    pub stores: Vec<StoreUpdate>,
}

#[derive(Debug, Default)]
struct TableLog {
    position: Option<FeedPosition>,
    rows: BTreeMap<Arc<str>, FeedRow>,
    /// Rows whose last change was not logged since it is not material.
    unlogged: HashMap<Arc<str>, u64>,
    /// The version from which on all changes are logged.
    covered_from: u64,
    /// The number of the change that replaced all rows.
    reset_at: u64,
    as_of: Option<Moment>,
}

#[derive(Debug)]
struct StoreLog {
    epoch: u64,
    next: u64,
    covered_from: u64,
    reset_at: u64,
    parts: HashMap<PartName, StoredPart>,
    as_of: Moment,
}

#[derive(Debug)]
enum Change {
    Row(FeedTable, FeedRow),
    Parts { address: SocketAddr, after: u64, next: u64, update: PartsUpdate },
}

/// Records tables and lists of parts with their recent changes.
#[derive(Debug, Default)]
pub struct FeedLog {
    incarnation: Incarnation,
    tables: [TableLog; 2],
    stores: BTreeMap<SocketAddr, StoreLog>,
    registry_returned_at: Option<Moment>,
    clock: Option<(Moment, u64)>,
    changes: VecDeque<(u64, Change)>,
    /// The number of the last change, and of the last one that is no longer kept.
    sequence: u64,
    discarded: u64,
    /// The number of the last change of a table, and of the last change of which stores there are.
    last_table_change: u64,
    last_store_set_change: u64,
}

impl FeedLog {
    /// Creates the empty log of a process.
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, ..Self::default() }
    }

    /// Returns the position in a table; `None` before its first read.
    pub fn table_position(&self, table: FeedTable) -> Option<FeedPosition> {
        self.tables[table.index()].position
    }

    /// Returns when the knowledge of a table was current; `None` before its first read.
    pub fn table_as_of(&self, table: FeedTable) -> Option<Moment> {
        self.tables[table.index()].as_of
    }

    /// Returns the position in the events of a store; `None` before its first listing.
    pub fn store_position(&self, address: SocketAddr) -> Option<StorePosition> {
        let store = self.stores.get(&address)?;
        Some(StorePosition { address, epoch: store.epoch, next: store.next })
    }

    /// Returns all positions.
    pub fn positions(&self) -> FeedPositions {
        FeedPositions {
            tables: FeedTable::ALL.map(|table| self.table_position(table)),
            stores: self.stores.keys().filter_map(|at| self.store_position(*at)).collect(),
        }
    }

    /// Returns the parts of a store as one complete listing.
    pub fn listing(&self, address: SocketAddr) -> Option<(Moment, PartsUpdate)> {
        let store = self.stores.get(&address)?;
        Some((store.as_of, store.listing()))
    }

    /// Records a page of a table; returns `false` for a page of an earlier era, which came late.
    ///
    /// `parse` decodes a row of the registry.
    pub fn record_page(
        &mut self,
        table: FeedTable,
        is_snapshot: bool,
        page: &FeedPage,
        as_of: Moment,
        parse: impl Fn(&FeedRow) -> EntryChange,
    ) -> bool {
        let known = &mut self.tables[table.index()];
        let before = known.position.unwrap_or_default();
        if page.position.era < before.era
            || (!is_snapshot && (known.position.is_none() || page.position.era != before.era))
        {
            return false;
        }
        let version = page.position.version.max(if page.position.era == before.era {
            before.version
        } else {
            0
        });
        known.position = Some(FeedPosition { era: page.position.era, version });
        known.as_of = known.as_of.max(Some(as_of));
        if is_snapshot {
            self.sequence += 1;
            self.last_table_change = self.sequence;
            known.reset_at = self.sequence;
            known.covered_from = version;
            known.unlogged.clear();
            known.rows = page.rows.iter().map(|row| (row.key.clone(), row.clone())).collect();
            return true;
        }
        for row in &page.rows {
            self.record_row(table, row, &parse);
        }
        true
    }

    fn record_row(
        &mut self,
        table: FeedTable,
        row: &FeedRow,
        parse: &impl Fn(&FeedRow) -> EntryChange,
    ) {
        let known = &mut self.tables[table.index()];
        let before = known.rows.get(&row.key).cloned();
        if before.as_ref().is_some_and(|before| before.version >= row.version) {
            return;
        }
        let is_logged = match (table, &before) {
            (FeedTable::Registry, Some(before)) => is_material(&parse(before), &parse(row)),
            (FeedTable::Registry, None) => row.value.is_some(),
            (FeedTable::Operator, _) => true,
        };
        let removed = row.value.is_none();
        let unlogged = known.unlogged.remove(&row.key).is_some();
        if removed {
            known.rows.remove(&row.key);
        } else {
            known.rows.insert(row.key.clone(), row.clone());
        }
        if !is_logged {
            known.unlogged.insert(row.key.clone(), row.version);
            return;
        }
        // Followers reject a late write of an ended target by its last heartbeat.
        let last = before.filter(|_| removed && unlogged);
        for row in last.into_iter().chain([row.clone()]) {
            self.push(Change::Row(table, row));
        }
        self.last_table_change = self.sequence;
    }

    /// Records that the registry responds again after an outage of the platform.
    pub fn record_registry_return(&mut self, at: Moment) {
        self.registry_returned_at = self.registry_returned_at.max(Some(at));
    }

    /// Returns a moment, and the milliseconds on the clock of targets and stores then.
    pub const fn clock(&self) -> Option<(Moment, u64)> {
        self.clock
    }

    /// Records an update of a store that is current as of a moment and was received at `now`.
    pub fn record_parts(
        &mut self,
        now: Moment,
        position: StorePosition,
        as_of: Moment,
        update: &PartsUpdate,
    ) {
        if let Some(clock) = update.clock_ms {
            self.clock = Some((now, clock));
        }
        let StorePosition { address, epoch, next } = position;
        if update.complete {
            self.sequence += 1;
            let parts = update.stored.iter().map(|part| (part_name(part), part.clone())).collect();
            let (covered_from, reset_at) = (next, self.sequence);
            let log = StoreLog { epoch, next, covered_from, reset_at, parts, as_of };
            if self.stores.insert(address, log).is_none() {
                self.last_store_set_change = self.sequence;
            }
            return;
        }
        let Some(store) = self.stores.get_mut(&address).filter(|s| s.epoch == epoch) else {
            return;
        };
        store.as_of = store.as_of.max(as_of);
        let after = store.next;
        store.next = next.max(after);
        for part in &update.removed {
            store.parts.remove(&part_name(part));
        }
        for part in &update.stored {
            store.parts.insert(part_name(part), part.clone());
        }
        if !update.stored.is_empty() || !update.removed.is_empty() {
            let update = PartsUpdate { clock_ms: None, ..update.clone() };
            self.push(Change::Parts { address, after, next, update });
        }
    }

    /// Forgets a store that is no longer declared.
    pub fn remove_store(&mut self, address: SocketAddr) {
        if self.stores.remove(&address).is_some() {
            self.sequence += 1;
            self.last_store_set_change = self.sequence;
        }
    }

    /// Returns the stores that are followed.
    pub fn store_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.stores.keys().copied()
    }

    /// Returns whether a follower at a cursor lacks changes of tables, for which it does not wait.
    pub fn has_table_changes(&self, cursor: Option<FeedCursor>) -> bool {
        self.continues(cursor).is_none_or(|sequence| self.last_table_change > sequence)
    }

    fn continues(&self, cursor: Option<FeedCursor>) -> Option<u64> {
        let cursor = cursor.filter(|c| c.incarnation == self.incarnation)?;
        Some(cursor.sequence).filter(|s| (self.discarded..=self.sequence).contains(s))
    }

    /// Returns what a follower lacks: the changes after its cursor, or those after its positions if
    /// the cursor is unknown here.
    pub fn update_for(&self, cursor: Option<FeedCursor>, positions: &FeedPositions) -> FeedUpdate {
        let after = self.continues(cursor);
        let tables = FeedTable::ALL
            .map(|table| self.table_update(table, after, positions.tables[table.index()]));
        let changed_parts = self.changed_parts(after, &positions.stores);
        let stores = self.stores.iter().filter_map(|(address, store)| {
            let known = positions.stores.iter().find(|known| known.address == *address);
            store.update_for(*address, after, known, changed_parts.get(address))
        });
        FeedUpdate {
            cursor: FeedCursor { incarnation: self.incarnation, sequence: self.sequence },
            tables,
            registry_returned_at: self.registry_returned_at,
            stores: stores.collect(),
            confirmed: self.stores.iter().map(|(address, s)| (*address, s.as_of)).collect(),
            are_stores_new: after.is_none_or(|after| self.last_store_set_change > after),
            clock: self.clock,
        }
    }

    fn table_update(
        &self,
        table: FeedTable,
        after: Option<u64>,
        known: Option<FeedPosition>,
    ) -> TableUpdate {
        let log = &self.tables[table.index()];
        let position = log.position.unwrap_or_default();
        let mut update = TableUpdate { as_of: log.as_of, ..TableUpdate::default() };
        update.page.position = position;
        let is_newer = |row: &FeedRow| {
            after.is_some() || known.is_none_or(|known| row.version > known.version)
        };
        update.is_snapshot = match (after, known) {
            _ if log.position.is_none() => false,
            (Some(after), _) => log.reset_at > after,
            (None, Some(known)) => known.era != position.era || known.version < log.covered_from,
            (None, None) => true,
        };
        update.page.rows = if update.is_snapshot {
            log.rows.values().cloned().collect()
        } else {
            let first = after.map_or(0, |after| {
                self.changes.partition_point(|(sequence, _)| *sequence <= after)
            });
            let changes = self.changes.range(first..).filter_map(|(_, change)| match change {
                Change::Row(of, row) if *of == table && is_newer(row) => Some(row),
                Change::Row(..) | Change::Parts { .. } => None,
            });
            changes.cloned().collect()
        };
        update
    }

    /// Collects the parts with changes that a follower lacks, by store.
    fn changed_parts(
        &self,
        after: Option<u64>,
        known: &[StorePosition],
    ) -> HashMap<SocketAddr, HashMap<PartName, &StoredPart>> {
        let known: HashMap<SocketAddr, u64> = known.iter().map(|p| (p.address, p.next)).collect();
        let mut changed: HashMap<SocketAddr, HashMap<_, _>> = HashMap::new();
        let newest_first = self.changes.iter().rev();
        let lacking = newest_first.take_while(|(sequence, _)| after.is_none_or(|a| *sequence > a));
        for (_, change) in lacking {
            let Change::Parts { address, after: from, update, .. } = change else {
                continue;
            };
            // Changes of the store's earlier incarnations stay in the list for a while.
            let is_current = self.stores.get(address).is_some_and(|s| s.epoch == update.epoch);
            let is_known = after.is_none() && known.get(address).is_some_and(|next| from < next);
            if is_current && !is_known {
                let parts = update.stored.iter().chain(&update.removed);
                changed.entry(*address).or_default().extend(parts.map(|p| (part_name(p), p)));
            }
        }
        changed
    }

    /// Applies the update of a reader; `parse` decodes a row of the registry.
    pub fn apply_update(
        &mut self,
        now: Moment,
        update: FeedUpdate,
        parse: impl Fn(&FeedRow) -> EntryChange,
    ) -> AppliedUpdate {
        let mut applied = AppliedUpdate::default();
        if let Some(at) = update.registry_returned_at {
            self.record_registry_return(at);
        }
        for (table, update) in FeedTable::ALL.into_iter().zip(update.tables) {
            let Some(as_of) = update.as_of else { continue };
            if self.record_page(table, update.is_snapshot, &update.page, as_of, &parse) {
                applied.tables.push((table, update));
            }
        }
        for store in update.stores {
            let confirmed = update.confirmed.iter().find(|(at, _)| *at == store.position.address);
            let as_of = confirmed.map_or(Moment::default(), |(_, as_of)| *as_of);
            self.record_parts(now, store.position, as_of, &store.update);
            applied.stores.push(store);
        }
        for (address, as_of) in &update.confirmed {
            if let Some(store) = self.stores.get_mut(address) {
                store.as_of = store.as_of.max(*as_of);
            }
        }
        self.clock = update.clock.or(self.clock);
        applied
    }

    fn push(&mut self, change: Change) {
        self.sequence += 1;
        self.changes.push_back((self.sequence, change));
        while self.changes.len() > MAX_CHANGES {
            let Some((sequence, change)) = self.changes.pop_front() else { break };
            self.discarded = sequence;
            match change {
                Change::Row(table, row) => {
                    let log = &mut self.tables[table.index()];
                    log.covered_from = log.covered_from.max(row.version);
                }
                Change::Parts { address, next, update, .. } => {
                    let store = self.stores.get_mut(&address);
                    if let Some(store) = store.filter(|s| s.epoch == update.epoch) {
                        store.covered_from = store.covered_from.max(next);
                    }
                }
            }
        }
    }
}

impl StoreLog {
    /// Returns what a follower lacks of this store; `changed` are the parts with recent changes.
    fn update_for(
        &self,
        address: SocketAddr,
        after: Option<u64>,
        known: Option<&StorePosition>,
        changed: Option<&HashMap<PartName, &StoredPart>>,
    ) -> Option<StoreUpdate> {
        let position = StorePosition { address, epoch: self.epoch, next: self.next };
        let is_complete = match (after, known) {
            (Some(after), _) => self.reset_at > after,
            (None, Some(known)) => known.epoch != self.epoch || known.next < self.covered_from,
            (None, None) => true,
        };
        if is_complete {
            return Some(StoreUpdate { position, update: self.listing() });
        }
        let mut update = PartsUpdate { epoch: self.epoch, ..PartsUpdate::default() };
        for part in changed?.values() {
            match self.parts.get(&part_name(part)) {
                Some(present) => update.stored.push(present.clone()),
                None => update.removed.push((*part).clone()),
            }
        }
        Some(StoreUpdate { position, update })
    }

    fn listing(&self) -> PartsUpdate {
        PartsUpdate {
            epoch: self.epoch,
            complete: true,
            stored: self.parts.values().cloned().collect(),
            ..PartsUpdate::default()
        }
    }
}

fn part_name(part: &StoredPart) -> PartName {
    (part.cache_salt_text.clone(), part.name.clone())
}
