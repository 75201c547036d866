//! Which blocks are written to stores after an answer, and which are freed when a store is full.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use cumintrail_types::{BlockKey, Bytes, Moment, Sealed, StoreKey, TargetKey};

use crate::directory::{Directory, StoredBlock};

/// Exports of this daemon under way at once, so that imports for first tokens keep the links.
const MAX_CONCURRENT_EXPORTS: usize = 8;
/// Uses that are kept without a sweep.
const MIN_SWEEP_BASE: usize = 4_096;
/// How long an export without an answer counts as under way.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(30);
/// Exports that may wait; an engine evicts the blocks of later ones first anyway.
const MAX_QUEUED_EXPORTS: usize = 256;
/// The time in which the value of a use halves.
const USE_HALF_LIFE: Duration = Duration::from_secs(6 * 3_600);
/// Blocks to free that one scan of the directory picks.
const VICTIMS_PER_SCAN: usize = 64;
/// The part of a store's capacity up to which it is filled.
const MAX_FILL_RATIO: f64 = 0.98;

/// Decides what stores keep, by how often blocks are used for each byte that they take.
#[derive(Debug, Default)]
pub struct ExportPlanner {
    uses: HashMap<BlockKey, UseCount>,
    /// The uses that the last sweep left.
    sweep_base: usize,
    queue: VecDeque<PlannedExport>,
    queued: HashSet<BlockKey>,
    /// Exports under way, and when each was ordered.
    in_flight: HashMap<BlockKey, Moment>,
    victims: HashMap<StoreKey, VecDeque<(f64, Sealed)>>,
}

/// Counts the prompts that a block was part of; older ones count less.
#[derive(Debug, Clone, Copy)]
struct UseCount {
    count: f32,
    last: Moment,
}

impl UseCount {
    fn decayed(&self, now: Moment) -> f64 {
        let half_lives = now.since(self.last).as_secs_f64() / USE_HALF_LIFE.as_secs_f64();
        f64::from(self.count) * 0.5_f64.powf(half_lives)
    }
}

/// Names a block that an engine holds and a store should get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedExport {
    /// The engine.
    pub target: TargetKey,
    /// The store.
    pub store: StoreKey,
    /// The block.
    pub key: BlockKey,
}

/// Tells what a store has room for.
#[derive(Debug, Clone, Copy)]
pub struct StoreSpace {
    /// The room that is declared.
    pub capacity: Bytes,
    /// The room that blocks take, as far as known.
    pub used: Bytes,
    /// The room that a block takes.
    pub block: Bytes,
}

impl StoreSpace {
    fn is_full(&self) -> bool {
        (self.used + self.block).0 as f64 > self.capacity.0 as f64 * MAX_FILL_RATIO
    }
}

impl ExportPlanner {
    /// Notes the blocks of an answered prompt and plans to export those that no store has.
    pub fn plan(
        &mut self,
        now: Moment,
        directory: &Directory,
        target: TargetKey,
        blocks: &[BlockKey],
        stores: &[StoreKey],
    ) {
        for key in blocks {
            let old = self.uses.get(key).map_or(0.0, |u| u.decayed(now));
            self.uses.insert(*key, UseCount { count: old as f32 + 1.0, last: now });
        }
        if self.uses.len() > self.sweep_base.max(MIN_SWEEP_BASE) * 2 {
            self.remove_idle_uses(now, directory);
        }
        if stores.is_empty() {
            return;
        }
        for key in blocks.iter().filter(|key| !directory.is_stored(**key)) {
            let store = stores[usize::from(key.0[0]) % stores.len()];
            if self.queue.len() < MAX_QUEUED_EXPORTS
                && !self.in_flight.contains_key(key)
                && self.queued.insert(*key)
            {
                self.queue.push_back(PlannedExport { target, store, key: *key });
            }
        }
    }

    /// Returns the next export that may start, while few are under way.
    pub fn next_export(&mut self, now: Moment) -> Option<PlannedExport> {
        if self.queue.is_empty() {
            return None;
        }
        self.in_flight.retain(|_, ordered| now.since(*ordered) < EXPORT_TIMEOUT);
        if self.in_flight.len() >= MAX_CONCURRENT_EXPORTS {
            return None;
        }
        let next = self.queue.pop_front()?;
        self.queued.remove(&next.key);
        Some(next)
    }

    /// Notes that an export was ordered.
    pub fn start_export(&mut self, now: Moment, key: BlockKey) {
        self.in_flight.insert(key, now);
    }

    /// Notes that an export ended.
    pub fn end_export(&mut self, key: BlockKey) {
        self.in_flight.remove(&key);
    }

    /// Decides what to free for a block; nothing if the block is worth less than all others.
    pub fn choose_victim(
        &mut self,
        now: Moment,
        directory: &Directory,
        planned: &PlannedExport,
        space: StoreSpace,
    ) -> Result<Option<Sealed>, TooFewUses> {
        if !space.is_full() {
            return Ok(None);
        }
        if self.victims.get(&planned.store).is_none_or(VecDeque::is_empty) {
            let found = self.least_used(now, directory, planned.store);
            self.victims.insert(planned.store, found);
        }
        let uses = self.uses.get(&planned.key).map_or(0.0, |u| u.decayed(now));
        let victims = self.victims.entry(planned.store).or_default();
        match victims.pop_front() {
            Some((victim_uses, sealed)) if victim_uses < uses => Ok(Some(sealed)),
            Some(victim) => {
                victims.push_front(victim);
                Err(TooFewUses)
            }
            None => Err(TooFewUses),
        }
    }

    fn least_used(
        &self,
        now: Moment,
        directory: &Directory,
        store: StoreKey,
    ) -> VecDeque<(f64, Sealed)> {
        let uses =
            |block: &StoredBlock| self.uses.get(&block.sealed.key).map_or(0.0, |u| u.decayed(now));
        let blocks = directory.stored_blocks().of_store(store);
        let mut counted: Vec<(f64, Sealed)> = blocks.map(|b| (uses(&b), b.sealed)).collect();
        let by_uses =
            |a: &(f64, Sealed), b: &(f64, Sealed)| a.0.total_cmp(&b.0).then(a.1.key.cmp(&b.1.key));
        if counted.len() > VICTIMS_PER_SCAN {
            counted.select_nth_unstable_by(VICTIMS_PER_SCAN, by_uses);
            counted.truncate(VICTIMS_PER_SCAN);
        }
        counted.sort_unstable_by(by_uses);
        counted.into()
    }

    /// Forgets uses of blocks that are neither kept nor used lately.
    fn remove_idle_uses(&mut self, now: Moment, directory: &Directory) {
        let idle = |u: &UseCount| now.since(u.last) > USE_HALF_LIFE;
        self.uses.retain(|key, u| !idle(u) || directory.is_stored(*key));
        self.sweep_base = self.uses.len();
    }
}

/// Tells that a block is worth less than all that its store keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooFewUses;
