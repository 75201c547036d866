//! Which blocks are written to stores after an answer, and which are freed when a store is full.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use cumintrail_types::{BlockKey, Bytes, Moment, Sealed, StoreKey, TargetKey};

use crate::directory::{Directory, Kept};

/// Exports of this daemon under way at once, so that imports for first tokens keep the links.
const MAX_EXPORTING: usize = 8;
/// Uses that are kept without a sweep.
const MIN_SWEPT: usize = 4_096;
/// How long an export without an answer counts as under way.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(30);
/// Exports that may wait; an engine evicts the blocks of later ones first anyway.
const MAX_WAITING: usize = 256;
/// The time in which the value of a use halves.
const HALF_LIFE: Duration = Duration::from_secs(6 * 3_600);
/// Blocks to free that one scan of the directory picks.
const VICTIMS_PER_SCAN: usize = 64;
/// The part of a store's capacity up to which it is filled.
const FILL: f64 = 0.98;

/// Decides what stores keep, by how often blocks are used for each byte that they take.
#[derive(Debug, Default)]
pub struct Keeping {
    uses: HashMap<BlockKey, Use>,
    /// The uses that the last sweep left.
    swept: usize,
    waiting: VecDeque<Planned>,
    planned: HashSet<BlockKey>,
    /// Exports under way, and when each was ordered.
    exporting: HashMap<BlockKey, Moment>,
    victims: HashMap<StoreKey, VecDeque<(f64, Sealed)>>,
}

/// Counts the prompts that a block was part of; older ones count less.
#[derive(Debug, Clone, Copy)]
struct Use {
    count: f32,
    last: Moment,
}

impl Use {
    fn at(&self, now: Moment) -> f64 {
        let halves = now.since(self.last).as_secs_f64() / HALF_LIFE.as_secs_f64();
        f64::from(self.count) * 0.5_f64.powf(halves)
    }
}

/// Names a block that an engine holds and a store should get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Planned {
    /// The engine.
    pub target: TargetKey,
    /// The store.
    pub store: StoreKey,
    /// The block.
    pub key: BlockKey,
}

/// Tells what a store has room for.
#[derive(Debug, Clone, Copy)]
pub struct Room {
    /// The room that is declared.
    pub capacity: Bytes,
    /// The room that blocks take, as far as known.
    pub used: Bytes,
    /// The room that a block takes.
    pub block: Bytes,
}

impl Room {
    fn is_full(&self) -> bool {
        (self.used + self.block).0 as f64 > self.capacity.0 as f64 * FILL
    }
}

impl Keeping {
    /// Notes the blocks of an answered prompt and plans to export those that no store has.
    pub fn plan(
        &mut self,
        now: Moment,
        directory: &Directory,
        target: TargetKey,
        pieces: &[BlockKey],
        stores: &[StoreKey],
    ) {
        for key in pieces {
            let old = self.uses.get(key).map_or(0.0, |u| u.at(now));
            self.uses.insert(*key, Use { count: old as f32 + 1.0, last: now });
        }
        if self.uses.len() > self.swept.max(MIN_SWEPT) * 2 {
            self.forget_idle(now, directory);
        }
        if stores.is_empty() {
            return;
        }
        for key in pieces.iter().filter(|key| !directory.is_kept(**key)) {
            let store = stores[usize::from(key.0[0]) % stores.len()];
            if self.waiting.len() < MAX_WAITING
                && !self.exporting.contains_key(key)
                && self.planned.insert(*key)
            {
                self.waiting.push_back(Planned { target, store, key: *key });
            }
        }
    }

    /// Returns the next export that may start, while few are under way.
    pub fn next(&mut self, now: Moment) -> Option<Planned> {
        if self.waiting.is_empty() {
            return None;
        }
        self.exporting.retain(|_, ordered| now.since(*ordered) < EXPORT_TIMEOUT);
        if self.exporting.len() >= MAX_EXPORTING {
            return None;
        }
        let next = self.waiting.pop_front()?;
        self.planned.remove(&next.key);
        Some(next)
    }

    /// Notes that an export was ordered.
    pub fn start(&mut self, now: Moment, key: BlockKey) {
        self.exporting.insert(key, now);
    }

    /// Notes that an export ended.
    pub fn finish(&mut self, key: BlockKey) {
        self.exporting.remove(&key);
    }

    /// Decides what to free for a block; nothing if the block is worth less than all others.
    pub fn make_room(
        &mut self,
        now: Moment,
        directory: &Directory,
        planned: &Planned,
        room: Room,
    ) -> Result<Option<Sealed>, NotWorth> {
        if !room.is_full() {
            return Ok(None);
        }
        if self.victims.get(&planned.store).is_none_or(VecDeque::is_empty) {
            let found = self.least_valuable(now, directory, planned.store);
            self.victims.insert(planned.store, found);
        }
        let value = self.uses.get(&planned.key).map_or(0.0, |u| u.at(now));
        let victims = self.victims.entry(planned.store).or_default();
        match victims.pop_front() {
            Some((worth, sealed)) if worth < value => Ok(Some(sealed)),
            Some(victim) => {
                victims.push_front(victim);
                Err(NotWorth)
            }
            None => Err(NotWorth),
        }
    }

    fn least_valuable(
        &self,
        now: Moment,
        directory: &Directory,
        store: StoreKey,
    ) -> VecDeque<(f64, Sealed)> {
        let value = |kept: &Kept| self.uses.get(&kept.sealed.key).map_or(0.0, |u| u.at(now));
        let kept = directory.stores().of_store(store);
        let mut valued: Vec<(f64, Sealed)> = kept.map(|k| (value(&k), k.sealed)).collect();
        let by_value =
            |a: &(f64, Sealed), b: &(f64, Sealed)| a.0.total_cmp(&b.0).then(a.1.key.cmp(&b.1.key));
        if valued.len() > VICTIMS_PER_SCAN {
            valued.select_nth_unstable_by(VICTIMS_PER_SCAN, by_value);
            valued.truncate(VICTIMS_PER_SCAN);
        }
        valued.sort_unstable_by(by_value);
        valued.into()
    }

    /// Forgets uses of blocks that are neither kept nor used lately.
    fn forget_idle(&mut self, now: Moment, directory: &Directory) {
        let idle = |u: &Use| now.since(u.last) > HALF_LIFE;
        self.uses.retain(|key, u| !idle(u) || directory.is_kept(*key));
        self.swept = self.uses.len();
    }
}

/// Tells that a block is worth less than all that its store keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotWorth;
