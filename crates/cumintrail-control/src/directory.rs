//! Which engine or store probably has which block; a hint, never the truth.
//!
//! A stale entry costs a failed conditional read, never a wrong one: see docs/DESIGN.md, "Sealed
//! blocks".

mod kept;

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

use cumintrail_types::{BlockKey, TargetKey};
use smallvec::SmallVec;

pub use self::kept::{Kept, KeptBlocks, MAX_KNOWN_BLOCKS, Rank, Remembered};

/// The stale entries, as a part of all, that are worth a sweep.
const SWEEP_DIVISOR: usize = 4;
/// The part of the usual lifetime for which a block counts as held.
const TRUSTED_LIFETIME: f32 = 0.7;
const SHORTER_STEP: f32 = 0.2;
const LONGER_STEP: f32 = 0.05;

/// Lists targets and the leading pieces that each holds, by target.
pub type Prefixes = SmallVec<[(TargetKey, usize); 16]>;

/// Remembers where blocks were last seen.
#[derive(Debug, Default)]
pub struct Directory {
    kept: KeptBlocks,
    holders: KeyMap<SmallVec<[Holder; 2]>>,
    engines: HashMap<TargetKey, Held>,
    stale: usize,
}

/// Names an engine that holds a block, in the order of targets.
///
/// The epoch lets all holdings of an engine lapse at once.
#[derive(Debug, Clone, Copy)]
struct Holder {
    target: TargetKey,
    epoch: u32,
    /// The engine's count of inserted blocks when this one was last used.
    stamp: u32,
}

/// Follows the memory of one engine.
///
/// Evictions are told late or not at all, and calls that wait will cause more. So a block counts
/// as held only while fewer blocks went in after its last use than usually do before an eviction.
#[derive(Debug, Clone, Copy, Default)]
struct Held {
    epoch: u32,
    blocks: usize,
    inserted: u32,
    /// Blocks that go in between a block's last use and its eviction; none seen before the first.
    lifetime: Option<f32>,
}

impl Held {
    fn has(&self, holder: &Holder) -> bool {
        let age = self.inserted.wrapping_sub(holder.stamp) as f32;
        holder.epoch == self.epoch
            && self.lifetime.is_none_or(|lifetime| age <= lifetime * TRUSTED_LIFETIME)
    }

    /// Follows short lifetimes faster than long ones, since trusting an evicted block costs more.
    fn learn_lifetime(&mut self, holder: &Holder) {
        let age = self.inserted.wrapping_sub(holder.stamp) as f32;
        let old = self.lifetime.unwrap_or(age);
        let step = if age < old { SHORTER_STEP } else { LONGER_STEP };
        self.lifetime = Some(old + step * (age - old));
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
        Self { kept: KeptBlocks::bounded(bound), ..Self::default() }
    }

    /// Returns what is known of blocks in stores.
    pub const fn stores(&self) -> &KeptBlocks {
        &self.kept
    }

    /// Returns what is known of blocks in stores for changing it.
    pub const fn stores_mut(&mut self) -> &mut KeptBlocks {
        &mut self.kept
    }

    /// Notes a sealed block in a store.
    pub fn add_kept(&mut self, kept: Kept) {
        self.kept.add(kept);
    }

    /// Returns the stores that answer and probably have a block.
    pub fn kept(&self, key: BlockKey) -> impl Iterator<Item = Kept> {
        self.kept.get(key)
    }

    /// Tells whether a store that answers probably has a block.
    pub fn is_kept(&self, key: BlockKey) -> bool {
        self.kept(key).next().is_some()
    }

    /// Notes blocks that an engine holds or has evicted.
    pub fn change_engine(&mut self, target: TargetKey, stored: &[BlockKey], evicted: &[BlockKey]) {
        let held = self.engines.entry(target).or_default();
        for key in stored {
            let holders = self.holders.entry(*key).or_default();
            let found = holders.binary_search_by_key(&target, |h| h.target);
            if found.is_err() || found.is_ok_and(|at| !held.has(&holders[at])) {
                held.inserted = held.inserted.wrapping_add(1);
            }
            let holder = Holder { target, epoch: held.epoch, stamp: held.inserted };
            match found {
                Ok(at) if holders[at].epoch == held.epoch => holders[at] = holder,
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
            let found = holders.binary_search_by_key(&target, |h| h.target);
            if let Ok(at) = found
                && holders[at].epoch == held.epoch
            {
                held.learn_lifetime(&holders.remove(at));
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
        *held = Held { epoch: held.epoch + 1, blocks: 0, ..*held };
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
        let holds = |key: &&BlockKey| {
            let Some(holders) = self.holders.get(*key) else { return false };
            let found = holders.binary_search_by_key(&target, |h| h.target);
            found.is_ok_and(|at| held.has(&holders[at]))
        };
        pieces.iter().take_while(holds).count()
    }

    /// Counts the leading pieces of a prompt for all engines that probably hold any.
    ///
    /// One look-up a piece serves all targets, so the cost hardly grows with their number.
    pub fn prefixes(&self, pieces: &[BlockKey]) -> Prefixes {
        let mut found = Prefixes::new();
        for (position, key) in pieces.iter().enumerate() {
            let Some(holders) = self.holders.get(key) else { break };
            let live = |h: &Holder| self.engines.get(&h.target).is_some_and(|e| e.has(h));
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

    /// Returns the number of blocks known in an engine.
    pub fn engine_len(&self, target: TargetKey) -> usize {
        self.engines.get(&target).map_or(0, |held| held.blocks)
    }
}
