//! Tracks which engines and stores probably have which blocks.
//!
//! The entries are hints. A stale entry costs a failed conditional read but never yields a wrong
//! block: see docs/DESIGN.md, "Sealed blocks".

mod stored;

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

use cumintrail_types::{BlockKey, TargetKey};
use smallvec::SmallVec;

pub use self::stored::{AddOutcome, MAX_KNOWN_BLOCKS, StoreRank, StoredBlock, StoredBlocks};

/// A sweep runs when the stale copies outnumber the blocks of all engines divided by this.
const SWEEP_DIVISOR: usize = 4;
/// The fraction of the eviction age up to which a block counts as cached.
const TRUSTED_AGE_FRACTION: f32 = 0.7;
/// The weight of an observed eviction age that is shorter than the average.
const SHORTER_AGE_WEIGHT: f32 = 0.2;
/// The weight of an observed eviction age that is longer than the average.
const LONGER_AGE_WEIGHT: f32 = 0.05;

/// Lists targets in key order, each with the number of leading prompt blocks that it has cached.
pub type CachedPrefixes = SmallVec<[(TargetKey, usize); 16]>;

/// Tracks the blocks cached in engines and those stored in stores.
#[derive(Debug, Default)]
pub struct Directory {
    stored: StoredBlocks,
    copies: KeyMap<SmallVec<[CachedCopy; 2]>>,
    engines: HashMap<TargetKey, EngineCache>,
    /// The number of copies from past epochs, which the next sweep removes.
    stale: usize,
}

/// Records that an engine has cached a block; the copies of a block are sorted by target.
///
/// A copy is valid only in the current epoch of its engine's cache, so that incrementing the epoch
/// invalidates all copies of an engine at once.
#[derive(Debug, Clone, Copy)]
struct CachedCopy {
    target: TargetKey,
    epoch: u32,
    /// The engine's `insertions` when this block was last used.
    last_use: u32,
}

/// Estimates what the cache of one engine contains.
///
/// Engines report evictions late or not at all, and waiting calls will cause more of them. So a
/// block counts as cached only while the insertions since its last use are at most a fraction of
/// the average number of insertions between last use and eviction.
#[derive(Debug, Clone, Copy, Default)]
struct EngineCache {
    epoch: u32,
    blocks: usize,
    /// Counts inserted blocks; wraps around.
    insertions: u32,
    /// Moving average of the insertions between a block's last use and its eviction; `None` before
    /// the first eviction.
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

    /// Updates the average eviction age with the age of an evicted copy.
    ///
    /// Shorter ages weigh more, since trusting an evicted block costs more than distrusting a
    /// cached one.
    fn record_eviction(&mut self, copy: &CachedCopy) {
        let age = self.insertions.wrapping_sub(copy.last_use) as f32;
        let old = self.eviction_age.unwrap_or(age);
        let weight = if age < old { SHORTER_AGE_WEIGHT } else { LONGER_AGE_WEIGHT };
        self.eviction_age = Some(old + weight * (age - old));
    }
}

type KeyMap<V> = HashMap<BlockKey, V, BuildHasherDefault<KeyHasher>>;

/// Uses the first eight bytes of a block key as its hash, since a block key is a keyed hash.
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
    /// Creates a directory that tracks at most `bound` blocks in stores.
    pub fn bounded(bound: usize) -> Self {
        Self { stored: StoredBlocks::bounded(bound), ..Self::default() }
    }

    /// Returns the table of blocks in stores.
    pub const fn stored_blocks(&self) -> &StoredBlocks {
        &self.stored
    }

    /// Returns the table of blocks in stores for modification.
    pub const fn stored_blocks_mut(&mut self) -> &mut StoredBlocks {
        &mut self.stored
    }

    /// Adds a sealed block in a store.
    pub fn add_stored(&mut self, block: StoredBlock) {
        self.stored.add(block);
    }

    /// Returns the copies of a block in stores that respond.
    pub fn stored(&self, key: BlockKey) -> impl Iterator<Item = StoredBlock> {
        self.stored.get(key)
    }

    /// Returns whether a store that responds probably has a block.
    pub fn is_stored(&self, key: BlockKey) -> bool {
        self.stored(key).next().is_some()
    }

    /// Records blocks that an engine has cached or used, and blocks that it has evicted.
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

    /// Invalidates all copies of an engine after its restart.
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

    /// Returns the number of leading prompt blocks that an engine probably has cached.
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

    /// Returns the number of cached leading prompt blocks of every engine that probably has any.
    ///
    /// One look-up per block serves all targets, so the cost hardly grows with their number.
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

    /// Returns whether any engine is on record for a block; copies that are stale count too.
    pub fn is_cached(&self, key: BlockKey) -> bool {
        self.copies.contains_key(&key)
    }

    /// Returns the number of blocks on record for an engine.
    pub fn cached_block_count(&self, target: TargetKey) -> usize {
        self.engines.get(&target).map_or(0, |cache| cache.blocks)
    }
}
