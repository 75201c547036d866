//! Selects the blocks to export to stores after a response, and those to free in a full store.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use cumintrail_types::{BlockKey, Bytes, Moment, Sealed, StoreKey, TargetKey};

use crate::directory::{Directory, StoredBlock};

/// The maximum number of concurrent exports of this daemon. It leaves link bandwidth to imports,
/// which first tokens wait for.
const MAX_CONCURRENT_EXPORTS: usize = 8;
/// The minimum sweep base; a sweep runs when there are more use counts than twice the base.
const MIN_SWEEP_BASE: usize = 4_096;
/// The time after which an export without a result no longer counts as in flight.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum number of queued exports. An engine would evict the blocks of further exports
/// before they start.
const MAX_QUEUED_EXPORTS: usize = 256;
/// The half-life of a use count.
const USE_HALF_LIFE: Duration = Duration::from_secs(6 * 3_600);
/// The number of blocks to free that one scan of the directory selects.
const VICTIMS_PER_SCAN: usize = 64;
/// The fraction of a store's capacity up to which it is filled.
const MAX_FILL_RATIO: f64 = 0.98;

/// Plans exports and selects blocks to free, by how often prompts contained each block.
#[derive(Debug, Default)]
pub struct ExportPlanner {
    uses: HashMap<BlockKey, UseCount>,
    /// The number of use counts after the last sweep.
    sweep_base: usize,
    queue: VecDeque<PlannedExport>,
    /// The keys in `queue`.
    queued: HashSet<BlockKey>,
    /// When each export in flight was started.
    in_flight: HashMap<BlockKey, Moment>,
    /// The next blocks to free in each store with their use counts at the scan, least used first.
    victims: HashMap<StoreKey, VecDeque<(f64, Sealed)>>,
}

/// Counts the prompts that contained a block, with exponential decay.
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

/// Describes an export of a block from an engine to a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedExport {
    /// The engine that has the block cached.
    pub target: TargetKey,
    /// The store that the block is written to.
    pub store: StoreKey,
    /// The key of the block.
    pub key: BlockKey,
}

/// Describes the space of a store and the space that a block needs.
#[derive(Debug, Clone, Copy)]
pub struct StoreSpace {
    /// The declared capacity of the store.
    pub capacity: Bytes,
    /// The total length of the store's blocks in the directory.
    pub used: Bytes,
    /// The space that the block to export takes.
    pub block: Bytes,
}

impl StoreSpace {
    fn is_full(&self) -> bool {
        (self.used + self.block).0 as f64 > self.capacity.0 as f64 * MAX_FILL_RATIO
    }
}

impl ExportPlanner {
    /// Counts a use of each block of a prompt that was responded to, and queues exports of those
    /// that no responding store has.
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

    /// Removes and returns the next queued export, unless the maximum number is in flight.
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

    /// Records the start of an export.
    pub fn start_export(&mut self, now: Moment, key: BlockKey) {
        self.in_flight.insert(key, now);
    }

    /// Records the end of an export.
    pub fn end_export(&mut self, key: BlockKey) {
        self.in_flight.remove(&key);
    }

    /// Returns the block to free before an export, or `None` if the store has space.
    ///
    /// Fails if the least used block of the store, as of the last scan of the directory, has no
    /// fewer uses than the block to export.
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

    /// Removes use counts of blocks that are not stored and were not used within a half-life.
    fn remove_idle_uses(&mut self, now: Moment, directory: &Directory) {
        let idle = |u: &UseCount| now.since(u.last) > USE_HALF_LIFE;
        self.uses.retain(|key, u| !idle(u) || directory.is_stored(*key));
        self.sweep_base = self.uses.len();
    }
}

/// The error for a block that has no more uses than any block to free in its full store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooFewUses;
