//! Which engine or store probably has which block; a hint, never the truth.
//!
//! A stale entry costs a failed conditional read, never a wrong one: see docs/DESIGN.md, "Sealed
//! blocks".

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

use cumintrail_types::{BlockKey, Sealed, StoreKey, TargetKey, Tier};
use smallvec::SmallVec;

/// The stale entries, as a part of all, that are worth a sweep.
const SWEEP_DIVISOR: usize = 4;

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

/// Lists targets and the leading pieces that each holds, by target.
pub type Prefixes = SmallVec<[(TargetKey, usize); 16]>;

/// Remembers where blocks were last seen.
#[derive(Debug, Default)]
pub struct Directory {
    kept: KeyMap<SmallVec<[Kept; 1]>>,
    holders: KeyMap<SmallVec<[Holder; 2]>>,
    engines: HashMap<TargetKey, Held>,
    stale: usize,
}

/// Names an engine that holds a block, in the order of targets.
///
/// The epoch lets all holdings of an engine lapse at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Holder {
    target: TargetKey,
    epoch: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct Held {
    epoch: u32,
    blocks: usize,
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

    /// Notes that a read brought a block into a store's memory.
    pub fn promote(&mut self, store: StoreKey, key: BlockKey) {
        let places = self.kept.get_mut(&key).into_iter().flatten();
        for kept in places.filter(|k| k.store == store) {
            kept.tier = Tier::Memory;
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

    /// Lists all blocks in stores.
    pub fn all_kept(&self) -> impl Iterator<Item = &Kept> {
        self.kept.values().flatten()
    }

    /// Notes blocks that an engine holds or has evicted.
    pub fn change_engine(&mut self, target: TargetKey, stored: &[BlockKey], evicted: &[BlockKey]) {
        let held = self.engines.entry(target).or_default();
        let holder = Holder { target, epoch: held.epoch };
        for key in stored {
            let holders = self.holders.entry(*key).or_default();
            match holders.binary_search_by_key(&target, |h| h.target) {
                Ok(at) if holders[at].epoch == held.epoch => {}
                Ok(at) => {
                    holders[at] = holder;
                    held.blocks += 1;
                    self.stale = self.stale.saturating_sub(1);
                }
                Err(at) => {
                    holders.insert(at, holder);
                    held.blocks += 1;
                }
            }
        }
        for key in evicted {
            let Some(holders) = self.holders.get_mut(key) else { continue };
            if let Ok(at) = holders.binary_search(&holder) {
                holders.remove(at);
                held.blocks -= 1;
            }
            if holders.is_empty() {
                self.holders.remove(key);
            }
        }
    }

    /// Forgets what an engine holds, after a restart or lost events.
    pub fn clear_engine(&mut self, target: TargetKey) {
        let held = self.engines.entry(target).or_default();
        self.stale += held.blocks;
        *held = Held { epoch: held.epoch + 1, blocks: 0 };
        if self.stale > self.holders.len() / SWEEP_DIVISOR {
            self.sweep();
        }
    }

    fn sweep(&mut self) {
        let engines = &self.engines;
        self.holders.retain(|_, holders| {
            holders.retain(|h| engines.get(&h.target).is_some_and(|held| held.epoch == h.epoch));
            !holders.is_empty()
        });
        self.stale = 0;
    }

    /// Counts the leading pieces of a prompt that an engine probably holds.
    pub fn held_prefix(&self, target: TargetKey, pieces: &[BlockKey]) -> usize {
        let Some(held) = self.engines.get(&target) else {
            return 0;
        };
        let holder = Holder { target, epoch: held.epoch };
        let holds = |key| self.holders.get(key).is_some_and(|h| h.binary_search(&holder).is_ok());
        pieces.iter().take_while(|key| holds(*key)).count()
    }

    /// Counts the leading pieces of a prompt for all engines that probably hold any.
    ///
    /// One look-up a piece serves all targets, so the cost hardly grows with their number.
    pub fn prefixes(&self, pieces: &[BlockKey]) -> Prefixes {
        let mut found = Prefixes::new();
        for (position, key) in pieces.iter().enumerate() {
            let Some(holders) = self.holders.get(key) else { break };
            let live = |h: &Holder| self.engines.get(&h.target).is_some_and(|e| e.epoch == h.epoch);
            if position == 0 {
                found.extend(holders.iter().filter(|h| live(h)).map(|h| (h.target, 1)));
                continue;
            }
            let mut next = holders.iter().peekable();
            let mut extended = false;
            for (target, length) in found.iter_mut().filter(|(_, length)| *length == position) {
                while next.next_if(|h| h.target < *target).is_some() {}
                if next.peek().is_some_and(|h| h.target == *target && live(h)) {
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
    pub fn is_held(&self, key: BlockKey) -> bool {
        self.holders.contains_key(&key)
    }

    /// Returns the number of blocks known in stores.
    pub fn kept_len(&self) -> usize {
        self.kept.len()
    }

    /// Returns the number of blocks known in an engine.
    pub fn engine_len(&self, target: TargetKey) -> usize {
        self.engines.get(&target).map_or(0, |held| held.blocks)
    }
}
