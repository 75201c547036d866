//! Which engine or store probably has which block; a hint, never the truth.
//!
//! A stale entry costs a failed conditional read, never a wrong one: see docs/DESIGN.md, "Sealed
//! blocks".

mod stored;

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

use cumintrail_types::{BlockKey, TargetKey};
use smallvec::SmallVec;

pub use self::stored::{AddOutcome, MAX_KNOWN_BLOCKS, StoreRank, StoredBlock, StoredBlocks};

/// The stale entries, as a part of all, that are worth a sweep.
const SWEEP_DIVISOR: usize = 4;
/// The part of the usual lifetime for which a block counts as held.
const TRUSTED_AGE_FRACTION: f32 = 0.7;
const SHORTER_AGE_WEIGHT: f32 = 0.2;
const LONGER_AGE_WEIGHT: f32 = 0.05;

/// Lists targets and the leading pieces that each holds, by target.
pub type CachedPrefixes = SmallVec<[(TargetKey, usize); 16]>;

/// Remembers where blocks were last seen.
#[derive(Debug, Default)]
pub struct Directory {
    stored: StoredBlocks,
    copies: KeyMap<SmallVec<[CachedCopy; 2]>>,
    engines: HashMap<TargetKey, EngineCache>,
    stale: usize,
}

/// Names an engine that holds a block, in the order of targets.
///
/// The epoch lets all holdings of an engine lapse at once.
#[derive(Debug, Clone, Copy)]
struct CachedCopy {
    target: TargetKey,
    epoch: u32,
    /// The engine's count of inserted blocks when this one was last used.
    last_use: u32,
}

/// Follows the memory of one engine.
///
/// Evictions are told late or not at all, and calls that wait will cause more. So a block counts
/// as held only while fewer blocks went in after its last use than usually do before an eviction.
#[derive(Debug, Clone, Copy, Default)]
struct EngineCache {
    epoch: u32,
    blocks: usize,
    insertions: u32,
    /// Blocks that go in between a block's last use and its eviction; none seen before the first.
    eviction_age: Option<f32>,
}

impl EngineCache {
    fn likely_has(&self, copy: &CachedCopy) -> bool {
        let age = self.insertions.wrapping_sub(copy.last_use) as f32;
        copy.epoch == self.epoch
            && self
                .eviction_age
                .is_none_or(|eviction_age| age <= eviction_age * TRUSTED_AGE_FRACTION)
    }

    /// Follows short lifetimes faster than long ones, since trusting an evicted block costs more.
    fn record_eviction(&mut self, copy: &CachedCopy) {
        let age = self.insertions.wrapping_sub(copy.last_use) as f32;
        let old = self.eviction_age.unwrap_or(age);
        let weight = if age < old { SHORTER_AGE_WEIGHT } else { LONGER_AGE_WEIGHT };
        self.eviction_age = Some(old + weight * (age - old));
    }
}

type KeyMap<V> = HashMap<BlockKey, V, BuildHasherDefault<KeyHasher>>;

/// Takes the first bytes of a block key, which are those of a keyed hash already.
#[derive(Debug, Default)]
struct KeyHasher(u64);

impl Hasher for KeyHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        let mut first = [0; 8];
        let length = bytes.len().min(8);
        first[..length].copy_from_slice(&bytes[..length]);
        self.0 = u64::from_le_bytes(first);
    }

    fn write_usize(&mut self, _length: usize) {}
}

impl Directory {
    /// Makes a directory that remembers at most `bound` blocks in stores.
    pub fn bounded(bound: usize) -> Self {
        Self { stored: StoredBlocks::bounded(bound), ..Self::default() }
    }

    /// Returns what is known of blocks in stores.
    pub const fn stored_blocks(&self) -> &StoredBlocks {
        &self.stored
    }

    /// Returns what is known of blocks in stores for changing it.
    pub const fn stored_blocks_mut(&mut self) -> &mut StoredBlocks {
        &mut self.stored
    }

    /// Notes a sealed block in a store.
    pub fn add_stored(&mut self, block: StoredBlock) {
        self.stored.add(block);
    }

    /// Returns the stores that answer and probably have a block.
    pub fn stored(&self, key: BlockKey) -> impl Iterator<Item = StoredBlock> {
        self.stored.get(key)
    }

    /// Tells whether a store that answers probably has a block.
    pub fn is_stored(&self, key: BlockKey) -> bool {
        self.stored(key).next().is_some()
    }

    /// Notes blocks that an engine holds or has evicted.
    pub fn update_engine_cache(
        &mut self,
        target: TargetKey,
        stored: &[BlockKey],
        evicted: &[BlockKey],
    ) {
        let cache = self.engines.entry(target).or_default();
        for key in stored {
            let copies = self.copies.entry(*key).or_default();
            let found = copies.binary_search_by_key(&target, |c| c.target);
            if found.is_err() || found.is_ok_and(|at| !cache.likely_has(&copies[at])) {
                cache.insertions = cache.insertions.wrapping_add(1);
            }
            let copy = CachedCopy { target, epoch: cache.epoch, last_use: cache.insertions };
            match found {
                Ok(at) if copies[at].epoch == cache.epoch => copies[at] = copy,
                Ok(at) => {
                    copies[at] = copy;
                    cache.blocks += 1;
                    self.stale = self.stale.saturating_sub(1);
                }
                Err(at) => {
                    copies.insert(at, copy);
                    cache.blocks += 1;
                }
            }
        }
        for key in evicted {
            let Some(copies) = self.copies.get_mut(key) else { continue };
            let found = copies.binary_search_by_key(&target, |c| c.target);
            if let Ok(at) = found
                && copies[at].epoch == cache.epoch
            {
                cache.record_eviction(&copies.remove(at));
                cache.blocks -= 1;
            }
            if copies.is_empty() {
                self.copies.remove(key);
            }
        }
    }

    /// Forgets what an engine holds, after a restart or lost events.
    pub fn clear_engine_cache(&mut self, target: TargetKey) {
        let cache = self.engines.entry(target).or_default();
        self.stale += cache.blocks;
        *cache = EngineCache { epoch: cache.epoch + 1, blocks: 0, ..*cache };
        if self.stale > self.copies.len() / SWEEP_DIVISOR {
            self.sweep();
        }
    }

    fn sweep(&mut self) {
        let engines = &self.engines;
        self.copies.retain(|_, copies| {
            copies.retain(|c| engines.get(&c.target).is_some_and(|cache| cache.epoch == c.epoch));
            !copies.is_empty()
        });
        self.stale = 0;
    }

    /// Counts the leading pieces of a prompt that an engine probably holds.
    pub fn cached_prefix(&self, target: TargetKey, blocks: &[BlockKey]) -> usize {
        let Some(cache) = self.engines.get(&target) else {
            return 0;
        };
        let is_cached = |key: &&BlockKey| {
            let Some(copies) = self.copies.get(*key) else { return false };
            let found = copies.binary_search_by_key(&target, |c| c.target);
            found.is_ok_and(|at| cache.likely_has(&copies[at]))
        };
        blocks.iter().take_while(is_cached).count()
    }

    /// Counts the leading pieces of a prompt for all engines that probably hold any.
    ///
    /// One look-up a piece serves all targets, so the cost hardly grows with their number.
    pub fn cached_prefixes(&self, blocks: &[BlockKey]) -> CachedPrefixes {
        let mut found = CachedPrefixes::new();
        for (position, key) in blocks.iter().enumerate() {
            let Some(copies) = self.copies.get(key) else { break };
            let is_cached =
                |c: &CachedCopy| self.engines.get(&c.target).is_some_and(|e| e.likely_has(c));
            if position == 0 {
                found.extend(copies.iter().filter(|c| is_cached(c)).map(|c| (c.target, 1)));
                continue;
            }
            let mut next = copies.iter().peekable();
            let mut extended = false;
            for (target, length) in found.iter_mut().filter(|(_, length)| *length == position) {
                while next.next_if(|c| c.target < *target).is_some() {}
                if next.peek().is_some_and(|c| c.target == *target && is_cached(c)) {
                    *length += 1;
                    extended = true;
                }
            }
            if !extended {
                break;
            }
        }
        found
    }

    /// Tells whether any engine probably holds a block.
    pub fn is_cached(&self, key: BlockKey) -> bool {
        self.copies.contains_key(&key)
    }

    /// Returns the number of blocks known in an engine.
    pub fn cached_block_count(&self, target: TargetKey) -> usize {
        self.engines.get(&target).map_or(0, |cache| cache.blocks)
    }
}
