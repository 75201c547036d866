//! A table of the blocks in stores, in bounded memory.
//!
//! All blocks are slots of one dense vector. Slots of the same key are linked by index, so that an
//! entry costs its own bytes and a four-byte index.

use std::collections::HashMap;

use cumintrail_types::{BlockKey, Bytes, Digest, Key, Sealed, StoreKey, Tier, WriteId};

use super::KeyMap;

/// The maximum number of blocks in stores that a daemon tracks.
///
/// At 124 bytes per block the table takes 50 MB of the 128 MB limit of the control state.
pub const MAX_KNOWN_BLOCKS: usize = 400_000;
/// Ends a chain of slots.
const END: u32 = u32::MAX;

/// Describes a block that was written to a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredBlock {
    /// The store that has the block.
    pub store: StoreKey,
    /// The key, write id, digest and length of the block.
    pub sealed: Sealed,
    /// The tier of the store that has the block.
    pub tier: Tier,
}

/// Orders stores by preference of this daemon; stores of lower rank are preferred.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreRank {
    /// Whether the store is in another failure domain than the daemon.
    pub other_domain: bool,
    /// Differs between daemons, so that they list and track different stores first.
    pub tie_breaker: u64,
}

/// Describes the result of adding a block to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AddOutcome {
    /// The block was added.
    Added,
    /// The block was added, and this block of a store of higher rank was evicted.
    Evicted(StoredBlock),
    /// The block was not added: the table is full of blocks of stores of the same or lower rank.
    Refused,
}

#[derive(Debug, Clone, Copy)]
struct Slot {
    key: BlockKey,
    write_id: WriteId,
    digest: Digest,
    length: Bytes,
    store: StoreKey,
    /// The next slot of the same key, or `END`.
    next: u32,
    tier: Tier,
    /// The number of the store's listing during which the block was last added.
    listing: u8,
}

impl Slot {
    const fn block(&self) -> StoredBlock {
        let Self { key, write_id, digest, length, store, tier, .. } = *self;
        StoredBlock { store, sealed: Sealed { key, write_id, digest, length }, tier }
    }
}

/// Summarizes the tracked blocks of one store.
#[derive(Debug, Clone, Copy, Default)]
struct StoreEntry {
    rank: StoreRank,
    blocks: usize,
    bytes: Bytes,
    /// Counts listings, to find blocks that the last listing did not contain; wraps around.
    listing: u8,
    /// Whether blocks were refused or evicted for lack of space since the last listing began.
    partial: bool,
    /// Whether look-ups skip the store's blocks, because the store does not respond.
    hidden: bool,
}

/// Tracks blocks in stores up to a bound, preferring stores of low rank.
#[derive(Debug)]
pub struct StoredBlocks {
    /// The first slot of each key.
    heads: KeyMap<u32>,
    slots: Vec<Slot>,
    stores: HashMap<StoreKey, StoreEntry>,
    bound: usize,
    /// The slot at which the last search for a block to evict ended.
    cursor: usize,
}

impl Default for StoredBlocks {
    fn default() -> Self {
        Self::bounded(MAX_KNOWN_BLOCKS)
    }
}

impl StoredBlocks {
    /// Creates a table for at most `bound` blocks.
    pub fn bounded(bound: usize) -> Self {
        let (heads, slots, stores) = (KeyMap::default(), Vec::new(), HashMap::new());
        Self { heads, slots, stores, bound, cursor: 0 }
    }

    /// Sets the rank of a store.
    pub fn set_rank(&mut self, store: StoreKey, rank: StoreRank) {
        self.stores.entry(store).or_default().rank = rank;
    }

    /// Sets whether look-ups by key skip the blocks of a store; the blocks stay in the table.
    pub fn set_hidden(&mut self, store: StoreKey, hidden: bool) {
        self.stores.entry(store).or_default().hidden = hidden;
    }

    /// Adds a block, or replaces the entry of the same key and store.
    pub fn add(&mut self, block: StoredBlock) -> AddOutcome {
        let entry = self.stores.entry(block.store).or_default();
        let StoredBlock { store, sealed: Sealed { key, write_id, digest, length }, tier } = block;
        let (listing, rank) = (entry.listing, entry.rank);
        let next = self.heads.get(&key).copied().unwrap_or(END);
        let slot = Slot { key, write_id, digest, length, store, next, tier, listing };
        if let Some(at) = self.find(store, key) {
            let entry = self.stores.entry(store).or_default();
            let old = &mut self.slots[at];
            entry.bytes = entry.bytes.saturating_sub(old.length) + length;
            *old = Slot { next: old.next, ..slot };
            return AddOutcome::Added;
        }
        let victim = if self.slots.len() < self.bound { None } else { self.victim(rank) };
        if victim.is_none() && self.slots.len() >= self.bound {
            self.stores.entry(store).or_default().partial = true;
            return AddOutcome::Refused;
        }
        let evicted = victim.map(|at| self.evict(at));
        let entry = self.stores.entry(store).or_default();
        entry.blocks += 1;
        entry.bytes += length;
        // The eviction may have moved the head of the chain.
        let next = self.heads.insert(key, self.slots.len() as u32).unwrap_or(END);
        self.slots.push(Slot { next, ..slot });
        evicted.map_or(AddOutcome::Added, AddOutcome::Evicted)
    }

    /// Removes a block of a store.
    pub fn remove(&mut self, store: StoreKey, key: BlockKey) {
        if let Some(at) = self.find(store, key) {
            self.remove_at(at);
        }
    }

    /// Removes a block of a store unless the entry has another write id.
    pub fn remove_write(&mut self, store: StoreKey, key: BlockKey, write_id: WriteId) {
        let found = self.find(store, key);
        if let Some(at) = found.filter(|at| self.slots[*at].write_id == write_id) {
            self.remove_at(at);
        }
    }

    /// Removes all blocks of a store.
    pub fn clear(&mut self, store: StoreKey) {
        self.retain(|slot| slot.store != store);
    }

    /// Begins a listing of a store; blocks that are not added again are removed at its end.
    pub fn begin_listing(&mut self, store: StoreKey) {
        let entry = self.stores.entry(store).or_default();
        entry.listing = entry.listing.wrapping_add(1);
        entry.partial = false;
    }

    /// Ends a complete listing of a store by removing blocks that were not added since it began.
    pub fn end_listing(&mut self, store: StoreKey) {
        let listing = self.entry(store).listing;
        self.retain(|slot| slot.store != store || slot.listing == listing);
    }

    /// Records that a read moved a block into the memory tier of a store.
    pub fn promote(&mut self, store: StoreKey, key: BlockKey) {
        if let Some(at) = self.find(store, key) {
            self.slots[at].tier = Tier::Memory;
        }
    }

    /// Returns the copies of a block in stores that are not hidden.
    pub fn get(&self, key: BlockKey) -> impl Iterator<Item = StoredBlock> {
        self.chain(key).map(|at| &self.slots[at]).filter_map(|slot| {
            let hidden = self.stores.get(&slot.store).is_some_and(|s| s.hidden);
            (!hidden).then(|| slot.block())
        })
    }

    /// Returns all tracked blocks of a store, also of a hidden one.
    pub fn of_store(&self, store: StoreKey) -> impl Iterator<Item = StoredBlock> {
        self.slots.iter().filter(move |slot| slot.store == store).map(Slot::block)
    }

    /// Returns the number of distinct block keys in the table.
    pub fn len(&self) -> usize {
        self.heads.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.heads.is_empty()
    }

    /// Returns the total length of the tracked blocks of a store.
    pub fn bytes(&self, store: StoreKey) -> Bytes {
        self.entry(store).bytes
    }

    /// Returns the number of tracked blocks of a store.
    pub fn block_count(&self, store: StoreKey) -> usize {
        self.entry(store).blocks
    }

    /// Returns whether blocks of a store were refused or evicted for lack of space since its last
    /// listing began.
    pub fn is_partial(&self, store: StoreKey) -> bool {
        self.entry(store).partial
    }

    /// Returns whether a store with this many blocks should be listed.
    ///
    /// The table must have space for the blocks and `margin` more, also by evicting blocks of
    /// stores of higher rank. Without a margin, a store of the daemon's own failure domain is
    /// always listed, even if only some of its blocks fit. For a store of another failure domain
    /// some blocks are of no use: a prompt can use a block only if all earlier ones are known too.
    pub fn should_list(&self, store: StoreKey, blocks: usize, margin: usize) -> bool {
        let entry = self.entry(store);
        let evictable = self.stores.values().filter(|s| s.rank > entry.rank).map(|s| s.blocks);
        let space = self.bound - self.slots.len() + entry.blocks + evictable.sum::<usize>();
        (margin == 0 && !entry.rank.other_domain) || blocks + margin <= space
    }

    /// Returns the rank of a store.
    pub fn rank(&self, store: StoreKey) -> StoreRank {
        self.entry(store).rank
    }

    fn entry(&self, store: StoreKey) -> StoreEntry {
        self.stores.get(&store).copied().unwrap_or_default()
    }

    fn chain(&self, key: BlockKey) -> impl Iterator<Item = usize> {
        let slot = |at: u32| (at != END).then_some(at as usize);
        let head = self.heads.get(&key).and_then(|at| slot(*at));
        std::iter::successors(head, move |at| slot(self.slots[*at].next))
    }

    fn find(&self, store: StoreKey, key: BlockKey) -> Option<usize> {
        self.chain(key).find(|at| self.slots[*at].store == store)
    }

    /// Returns the store of the highest rank above `rank` that has blocks in the table.
    fn least_preferred_store(&self, rank: StoreRank) -> Option<StoreKey> {
        let others = self.stores.iter().filter(|(_, s)| s.blocks > 0 && s.rank > rank);
        others.max_by_key(|(store, entry)| (entry.rank, store.index())).map(|(store, _)| *store)
    }

    /// Finds a block of the least preferred store to evict, starting where the last search ended.
    fn victim(&mut self, rank: StoreRank) -> Option<usize> {
        let store = self.least_preferred_store(rank)?;
        loop {
            self.cursor = (self.cursor + 1) % self.slots.len();
            if self.slots[self.cursor].store == store {
                return Some(self.cursor);
            }
        }
    }

    fn evict(&mut self, at: usize) -> StoredBlock {
        let block = self.slots[at].block();
        self.stores.entry(block.store).or_default().partial = true;
        self.remove_at(at);
        block
    }

    /// Removes a slot and moves the last slot to its index.
    fn remove_at(&mut self, at: usize) {
        let Slot { key, store, length, next, .. } = self.slots[at];
        let entry = self.stores.entry(store).or_default();
        entry.blocks -= 1;
        entry.bytes = entry.bytes.saturating_sub(length);
        self.relink(key, at, next);
        let last = self.slots.len() - 1;
        if at != last {
            self.relink(self.slots[last].key, last, at as u32);
        }
        self.slots.swap_remove(at);
    }

    /// Makes the head or slot that links to `from` link to `to`.
    fn relink(&mut self, key: BlockKey, from: usize, to: u32) {
        let before = self.chain(key).find(|at| self.slots[*at].next == from as u32);
        match before {
            Some(before) => self.slots[before].next = to,
            None if to == END => {
                self.heads.remove(&key);
            }
            None => {
                self.heads.insert(key, to);
            }
        }
    }

    fn retain(&mut self, keep: impl Fn(&Slot) -> bool) {
        for at in (0..self.slots.len()).rev() {
            if !keep(&self.slots[at]) {
                self.remove_at(at);
            }
        }
    }
}
