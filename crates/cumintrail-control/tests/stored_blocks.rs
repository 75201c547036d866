//! Compares the bounded table of stored blocks with a plain list.

use cumintrail_control::directory::{AddOutcome, StoreRank, StoredBlock, StoredBlocks};
use cumintrail_types::{BlockKey, Bytes, Digest, Sealed, StoreKey, Tier, WriteId};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const STORES: u16 = 4;
const KEYS: u8 = 12;
const BOUND: usize = 16;

/// The reference model: a list without chains or indices. It takes from the table only which block
/// was evicted.
#[derive(Default)]
struct Model {
    blocks: Vec<(StoredBlock, u32)>,
    listings: [u32; STORES as usize],
    hidden: [bool; STORES as usize],
}

impl Model {
    fn add(&mut self, block: StoredBlock, outcome: AddOutcome) {
        let listing = self.listings[block.store.0 as usize];
        let same = |b: &StoredBlock| (b.store, b.sealed.key) == (block.store, block.sealed.key);
        if let Some(old) = self.blocks.iter_mut().find(|(b, _)| same(b)) {
            *old = (block, listing);
            return assert_eq!(outcome, AddOutcome::Added);
        }
        let worst = self.blocks.iter().map(|(b, _)| rank(b.store)).max();
        match outcome {
            AddOutcome::Added => assert!(self.blocks.len() < BOUND),
            AddOutcome::Refused => {
                assert_eq!(self.blocks.len(), BOUND);
                return assert!(worst <= Some(rank(block.store)));
            }
            AddOutcome::Evicted(victim) => {
                assert_eq!(self.blocks.len(), BOUND);
                assert!(rank(victim.store) > rank(block.store));
                assert_eq!(Some(rank(victim.store)), worst);
                let at = self.blocks.iter().position(|(b, _)| *b == victim);
                self.blocks.swap_remove(at.expect("the evicted block was in the table"));
            }
        }
        self.blocks.push((block, listing));
    }

    fn end_listing(&mut self, store: StoreKey) {
        let listing = self.listings[store.0 as usize];
        self.blocks.retain(|(b, listed)| b.store != store || *listed == listing);
    }
}

/// Ranks the stores by number; only the first is in the own failure domain.
fn rank(store: StoreKey) -> StoreRank {
    StoreRank { other_domain: store.0 > 0, tie_breaker: u64::from(store.0) }
}

fn stored_block(store: u16, key: u8, write: u8) -> StoredBlock {
    let sealed = Sealed {
        key: BlockKey([key; 16]),
        write_id: WriteId([write; 16]),
        digest: Digest([write; 32]),
        length: Bytes(u64::from(write) + 1),
    };
    StoredBlock { store: StoreKey(store), sealed, tier: Tier::Disk }
}

fn sorted(blocks: impl Iterator<Item = StoredBlock>) -> Vec<StoredBlock> {
    let mut blocks: Vec<StoredBlock> = blocks.collect();
    blocks.sort_unstable_by_key(|b| (b.store, b.sealed.key));
    blocks
}

fn compare(table: &StoredBlocks, model: &Model) {
    for store in (0..STORES).map(StoreKey) {
        let of_store = || model.blocks.iter().map(|(b, _)| *b).filter(|b| b.store == store);
        assert_eq!(sorted(table.of_store(store)), sorted(of_store()));
        assert_eq!(table.block_count(store), of_store().count());
        assert_eq!(table.bytes(store), of_store().map(|b| b.sealed.length).sum());
    }
    for key in (0..KEYS).map(|key| BlockKey([key; 16])) {
        let visible = model.blocks.iter().map(|(b, _)| *b);
        let visible = visible.filter(|b| b.sealed.key == key && !model.hidden[b.store.0 as usize]);
        assert_eq!(sorted(table.get(key)), sorted(visible));
    }
}

fn steps() -> impl Strategy<Value = Vec<(u8, u16, u8, u8)>> {
    prop::collection::vec((0..16_u8, 0..STORES, 0..KEYS, 0..3_u8), 1..200)
}

proptest! {
    #![proptest_config(Config { cases: 500, rng_seed: RngSeed::Fixed(7), ..Config::default() })]

    #[test]
    fn the_bounded_table_equals_a_plain_list(steps in steps()) {
        let (mut table, mut model) = (StoredBlocks::bounded(BOUND), Model::default());
        (0..STORES).map(StoreKey).for_each(|store| table.set_rank(store, rank(store)));
        for (step, number, key, write) in steps {
            let (store, block) = (StoreKey(number), BlockKey([key; 16]));
            let here = |b: &StoredBlock| (b.store, b.sealed.key) == (store, block);
            match step {
                0..=9 => {
                    let new = stored_block(number, key, write);
                    let outcome = table.add(new);
                    model.add(new, outcome);
                }
                10 => {
                    table.remove(store, block);
                    model.blocks.retain(|(b, _)| !here(b));
                }
                11 => {
                    let write_id = WriteId([write; 16]);
                    table.remove_write(store, block, write_id);
                    model.blocks.retain(|(b, _)| !here(b) || b.sealed.write_id != write_id);
                }
                12 if key == 0 => {
                    table.clear(store);
                    model.blocks.retain(|(b, _)| b.store != store);
                }
                13 => {
                    table.begin_listing(store);
                    model.listings[number as usize] += 1;
                }
                14 => {
                    table.end_listing(store);
                    model.end_listing(store);
                }
                15 => {
                    let hidden = write == 0;
                    table.set_hidden(store, hidden);
                    model.hidden[number as usize] = hidden;
                }
                _ => {}
            }
            compare(&table, &model);
        }
    }
}

#[test]
fn own_domain_stores_go_first_and_others_only_as_a_whole() {
    let mut table = StoredBlocks::bounded(BOUND);
    (0..STORES).map(StoreKey).for_each(|store| table.set_rank(store, rank(store)));
    assert!(
        table.should_list(StoreKey(1), BOUND, 0),
        "a store of another domain that fits is listed"
    );
    for key in 0..10 {
        table.add(stored_block(1, key, 0));
    }
    assert!(!table.should_list(StoreKey(2), 7, 0), "a part of another domain's store is of no use");
    assert!(table.should_list(StoreKey(0), 100, 0), "a part of an own domain's store is of use");
    for key in 0..12 {
        table.add(stored_block(0, key, 0));
    }
    assert_eq!((table.block_count(StoreKey(0)), table.block_count(StoreKey(1))), (12, 4));
    assert!(table.is_partial(StoreKey(1)) && !table.is_partial(StoreKey(0)));
}
