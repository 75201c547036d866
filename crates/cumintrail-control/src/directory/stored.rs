//! The blocks known in stores, in bounded memory.
//!
//! Blocks lie in one dense table, and those of the same key are chained, so that an entry costs
//! its own bytes and an index of four.

use std::collections::HashMap;

use cumintrail_types::{BlockKey, Bytes, Digest, Key, Sealed, StoreKey, Tier, WriteId};

use super::KeyMap;

/// The blocks that a daemon remembers at most.
///
/// At 124 bytes each they take 50 MB of the 128 that control may take.
pub const MAX_KNOWN_BLOCKS: usize = 400_000;
const END: u32 = u32::MAX;

/// Names a write of a block in a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredBlock {
    /// The store.
    pub store: StoreKey,
    /// The write.
    pub sealed: Sealed,
    /// Where the store holds it.
    pub tier: Tier,
}

/// Orders stores by how much their blocks are worth to this daemon; lower ones go first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreRank {
    /// Whether the store stands in another failure domain.
    pub other_domain: bool,
    /// Differs from daemon to daemon, so that they know and read different stores first.
    pub tie_breaker: u64,
}

/// Tells what became of a block that was to be remembered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AddOutcome {
    /// It is known now.
    Added,
    /// It is known now, and this block of a store of higher rank no more.
    Evicted(StoredBlock),
    /// The table is full of blocks of stores of the same or lower rank.
    Refused,
}

#[derive(Debug, Clone, Copy)]
struct Slot {
    key: BlockKey,
    write_id: WriteId,
    digest: Digest,
    length: Bytes,
    store: StoreKey,
    /// The next slot of the same key.
    next: u32,
    tier: Tier,
    /// The listing that named it last.
    listing: u8,
}

impl Slot {
    const fn block(&self) -> StoredBlock {
        let Self { key, write_id, digest, length, store, tier, .. } = *self;
        StoredBlock { store, sealed: Sealed { key, write_id, digest, length }, tier }
    }
}

/// Sums up what is known of one store.
#[derive(Debug, Clone, Copy, Default)]
struct StoreEntry {
    rank: StoreRank,
    blocks: usize,
    bytes: Bytes,
    /// Counts listings, so that blocks which the last one did not name are found.
    listing: u8,
    /// Whether blocks were left out for want of room since the last listing began.
    partial: bool,
    /// Whether the store does not answer, so that its blocks are not offered.
    hidden: bool,
}

/// Remembers blocks in stores up to a bound, those of stores of low rank first.
#[derive(Debug)]
pub struct StoredBlocks {
    heads: KeyMap<u32>,
    slots: Vec<Slot>,
    stores: HashMap<StoreKey, StoreEntry>,
    bound: usize,
    /// Where the search for a block to forget goes on.
    cursor: usize,
}

impl Default for StoredBlocks {
    fn default() -> Self {
        Self::bounded(MAX_KNOWN_BLOCKS)
    }
}

impl StoredBlocks {
    /// Makes a table for at most `bound` blocks.
    pub fn bounded(bound: usize) -> Self {
        let (heads, slots, stores) = (KeyMap::default(), Vec::new(), HashMap::new());
        Self { heads, slots, stores, bound, cursor: 0 }
    }

    /// Sets how much a store's blocks are worth.
    pub fn set_rank(&mut self, store: StoreKey, rank: StoreRank) {
        self.stores.entry(store).or_default().rank = rank;
    }

    /// Offers a store's blocks or not, without forgetting them.
    pub fn set_hidden(&mut self, store: StoreKey, hidden: bool) {
        self.stores.entry(store).or_default().hidden = hidden;
    }

    /// Remembers a write of a block, in place of an older one in the same store.
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

    /// Forgets a block of a store.
    pub fn remove(&mut self, store: StoreKey, key: BlockKey) {
        if let Some(at) = self.find(store, key) {
            self.remove_at(at);
        }
    }

    /// Forgets a block of a store unless another write has taken its place.
    pub fn remove_write(&mut self, store: StoreKey, key: BlockKey, write_id: WriteId) {
        let found = self.find(store, key);
        if let Some(at) = found.filter(|at| self.slots[*at].write_id == write_id) {
            self.remove_at(at);
        }
    }

    /// Forgets all blocks of a store.
    pub fn clear(&mut self, store: StoreKey) {
        self.retain(|slot| slot.store != store);
    }

    /// Begins a listing of a store; blocks that it does not name are forgotten at its end.
    pub fn begin_listing(&mut self, store: StoreKey) {
        let entry = self.stores.entry(store).or_default();
        entry.listing = entry.listing.wrapping_add(1);
        entry.partial = false;
    }

    /// Ends a listing of a store that was read to its end.
    pub fn end_listing(&mut self, store: StoreKey) {
        let listing = self.entry(store).listing;
        self.retain(|slot| slot.store != store || slot.listing == listing);
    }

    /// Notes that a read brought a block into a store's memory.
    pub fn promote(&mut self, store: StoreKey, key: BlockKey) {
        if let Some(at) = self.find(store, key) {
            self.slots[at].tier = Tier::Memory;
        }
    }

    /// Returns the stores that answer and probably have a block.
    pub fn get(&self, key: BlockKey) -> impl Iterator<Item = StoredBlock> {
        self.chain(key).map(|at| &self.slots[at]).filter_map(|slot| {
            let hidden = self.stores.get(&slot.store).is_some_and(|s| s.hidden);
            (!hidden).then(|| slot.block())
        })
    }

    /// Lists all known blocks of a store.
    pub fn of_store(&self, store: StoreKey) -> impl Iterator<Item = StoredBlock> {
        self.slots.iter().filter(move |slot| slot.store == store).map(Slot::block)
    }

    /// Returns the number of different blocks that are known.
    pub fn len(&self) -> usize {
        self.heads.len()
    }

    /// Tells whether no block is known.
    pub fn is_empty(&self) -> bool {
        self.heads.is_empty()
    }

    /// Returns the bytes known in a store.
    pub fn bytes(&self, store: StoreKey) -> Bytes {
        self.entry(store).bytes
    }

    /// Returns the number of blocks known in a store.
    pub fn block_count(&self, store: StoreKey) -> usize {
        self.entry(store).blocks
    }

    /// Tells whether blocks of a store were left out for want of room.
    pub fn is_partial(&self, store: StoreKey) -> bool {
        self.entry(store).partial
    }

    /// Tells whether a listing of a store that holds `held` blocks is worth reading.
    ///
    /// A part of another failure domain's store is not: a prompt can only use a block if all
    /// earlier ones are known too.
    pub fn should_list(&self, store: StoreKey, blocks: usize, margin: usize) -> bool {
        let entry = self.entry(store);
        let evictable = self.stores.values().filter(|s| s.rank > entry.rank).map(|s| s.blocks);
        let room = self.bound - self.slots.len() + entry.blocks + evictable.sum::<usize>();
        (margin == 0 && !entry.rank.other_domain) || blocks + margin <= room
    }

    /// Returns what a store's blocks are worth.
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

    /// Returns the known store of the highest rank above `rank`.
    fn least_preferred_store(&self, rank: StoreRank) -> Option<StoreKey> {
        let others = self.stores.iter().filter(|(_, s)| s.blocks > 0 && s.rank > rank);
        others.max_by_key(|(store, entry)| (entry.rank, store.index())).map(|(store, _)| *store)
    }

    /// Finds a block to forget, going on where the last search ended.
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

    /// Removes a slot and moves the last one into its place.
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

    /// Lets whatever points to a slot point elsewhere.
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
