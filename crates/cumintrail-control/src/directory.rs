//! Which engine or store probably has which block; a hint, never the truth.
//!
//! A stale entry costs a failed conditional read, never a wrong one: see docs/DESIGN.md, "Sealed
//! blocks".

use std::collections::{HashMap, HashSet};

use cumintrail_types::{BlockKey, Sealed, StoreKey, TargetKey, Tier};
use smallvec::SmallVec;

/// Names a write of a block in a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kept {
    /// The store.
    pub store: StoreKey,
    /// The write.
    pub sealed: Sealed,
    /// Where the store holds it.
    pub tier: Tier,
}

/// Remembers where blocks were last seen.
#[derive(Debug, Default)]
pub struct Directory {
    kept: HashMap<BlockKey, SmallVec<[Kept; 1]>>,
    engines: HashMap<TargetKey, HashSet<BlockKey>>,
}

impl Directory {
    /// Notes a sealed block in a store.
    pub fn add_kept(&mut self, kept: Kept) {
        let places = self.kept.entry(kept.sealed.key).or_default();
        places.retain(|k| k.store != kept.store);
        places.push(kept);
    }

    /// Forgets a write of a block that a store no longer has.
    pub fn remove_kept(&mut self, store: StoreKey, key: BlockKey) {
        if let Some(places) = self.kept.get_mut(&key) {
            places.retain(|k| k.store != store);
            if places.is_empty() {
                self.kept.remove(&key);
            }
        }
    }

    /// Forgets all blocks of a store.
    pub fn clear_store(&mut self, store: StoreKey) {
        self.kept.retain(|_, places| {
            places.retain(|k| k.store != store);
            !places.is_empty()
        });
    }

    /// Returns the stores that probably have a block.
    pub fn kept(&self, key: BlockKey) -> &[Kept] {
        self.kept.get(&key).map(SmallVec::as_slice).unwrap_or_default()
    }

    /// Notes blocks that an engine holds or has evicted.
    pub fn change_engine(&mut self, target: TargetKey, stored: &[BlockKey], evicted: &[BlockKey]) {
        let held = self.engines.entry(target).or_default();
        held.extend(stored);
        for key in evicted {
            held.remove(key);
        }
    }

    /// Forgets what an engine holds, after a restart or lost events.
    pub fn clear_engine(&mut self, target: TargetKey) {
        self.engines.remove(&target);
    }

    /// Counts the leading pieces of a prompt that an engine probably holds.
    pub fn held_prefix(&self, target: TargetKey, pieces: &[BlockKey]) -> usize {
        let Some(held) = self.engines.get(&target) else {
            return 0;
        };
        pieces.iter().take_while(|key| held.contains(*key)).count()
    }

    /// Returns the number of blocks known in stores.
    pub fn kept_len(&self) -> usize {
        self.kept.len()
    }

    /// Returns the number of blocks known in an engine.
    pub fn engine_len(&self, target: TargetKey) -> usize {
        self.engines.get(&target).map_or(0, HashSet::len)
    }
}
