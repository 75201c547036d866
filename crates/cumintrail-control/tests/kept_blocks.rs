//! The bounded table of kept blocks against a plain list of them.

use cumintrail_control::directory::{Kept, KeptBlocks, Rank, Remembered};
use cumintrail_types::{BlockKey, Bytes, Digest, Sealed, StoreKey, Tier, WriteId};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const STORES: u16 = 4;
const KEYS: u8 = 12;
const BOUND: usize = 16;

/// Does the same without chains or indices; it learns from the table only which block was forgotten.
#[derive(Default)]
struct Naive {
    blocks: Vec<(Kept, u32)>,
    listings: [u32; STORES as usize],
    hidden: [bool; STORES as usize],
}

impl Naive {
    fn add(&mut self, kept: Kept, told: Remembered) {
        let listing = self.listings[kept.store.0 as usize];
        let same = |k: &Kept| (k.store, k.sealed.key) == (kept.store, kept.sealed.key);
        if let Some(old) = self.blocks.iter_mut().find(|(k, _)| same(k)) {
            *old = (kept, listing);
            return assert_eq!(told, Remembered::Added);
        }
        let worst = self.blocks.iter().map(|(k, _)| rank(k.store)).max();
        match told {
            Remembered::Added => assert!(self.blocks.len() < BOUND),
            Remembered::Refused => {
                assert_eq!(self.blocks.len(), BOUND);
                return assert!(worst <= Some(rank(kept.store)));
            }
            Remembered::Instead(victim) => {
                assert_eq!(self.blocks.len(), BOUND);
                assert!(rank(victim.store) > rank(kept.store));
                assert_eq!(Some(rank(victim.store)), worst);
                let at = self.blocks.iter().position(|(k, _)| *k == victim);
                self.blocks.swap_remove(at.expect("a known block was forgotten"));
            }
        }
        self.blocks.push((kept, listing));
    }

    fn end_listing(&mut self, store: StoreKey) {
        let listing = self.listings[store.0 as usize];
        self.blocks.retain(|(k, named)| k.store != store || *named == listing);
    }
}

/// The first store is the own failure domain's.
fn rank(store: StoreKey) -> Rank {
    Rank { foreign: store.0 > 0, order: u64::from(store.0) }
}

fn kept(store: u16, key: u8, write: u8) -> Kept {
    let sealed = Sealed {
        key: BlockKey([key; 16]),
        write_id: WriteId([write; 16]),
        digest: Digest([write; 32]),
        length: Bytes(u64::from(write) + 1),
    };
    Kept { store: StoreKey(store), sealed, tier: Tier::Disk }
}

fn sorted(kept: impl Iterator<Item = Kept>) -> Vec<Kept> {
    let mut kept: Vec<Kept> = kept.collect();
    kept.sort_unstable_by_key(|k| (k.store, k.sealed.key));
    kept
}

fn compare(table: &KeptBlocks, naive: &Naive) {
    for store in (0..STORES).map(StoreKey) {
        let of_store = || naive.blocks.iter().map(|(k, _)| *k).filter(|k| k.store == store);
        assert_eq!(sorted(table.of_store(store)), sorted(of_store()));
        assert_eq!(table.blocks(store), of_store().count());
        assert_eq!(table.bytes(store), of_store().map(|k| k.sealed.length).sum());
    }
    for key in (0..KEYS).map(|key| BlockKey([key; 16])) {
        let offered = naive.blocks.iter().map(|(k, _)| *k);
        let offered = offered.filter(|k| k.sealed.key == key && !naive.hidden[k.store.0 as usize]);
        assert_eq!(sorted(table.get(key)), sorted(offered));
    }
}

fn steps() -> impl Strategy<Value = Vec<(u8, u16, u8, u8)>> {
    prop::collection::vec((0..16_u8, 0..STORES, 0..KEYS, 0..3_u8), 1..200)
}

proptest! {
    #![proptest_config(Config { cases: 500, rng_seed: RngSeed::Fixed(7), ..Config::default() })]

    #[test]
    fn the_bounded_table_equals_a_plain_list(steps in steps()) {
        let (mut table, mut naive) = (KeptBlocks::bounded(BOUND), Naive::default());
        (0..STORES).map(StoreKey).for_each(|store| table.set_rank(store, rank(store)));
        for (step, number, key, write) in steps {
            let (store, block) = (StoreKey(number), BlockKey([key; 16]));
            let here = |k: &Kept| (k.store, k.sealed.key) == (store, block);
            match step {
                0..=9 => {
                    let new = kept(number, key, write);
                    let told = table.add(new);
                    naive.add(new, told);
                }
                10 => {
                    table.remove(store, block);
                    naive.blocks.retain(|(k, _)| !here(k));
                }
                11 => {
                    let write_id = WriteId([write; 16]);
                    table.remove_write(store, block, write_id);
                    naive.blocks.retain(|(k, _)| !here(k) || k.sealed.write_id != write_id);
                }
                12 if key == 0 => {
                    table.clear(store);
                    naive.blocks.retain(|(k, _)| k.store != store);
                }
                13 => {
                    table.begin_listing(store);
                    naive.listings[number as usize] += 1;
                }
                14 => {
                    table.end_listing(store);
                    naive.end_listing(store);
                }
                15 => {
                    let hidden = write == 0;
                    table.set_hidden(store, hidden);
                    naive.hidden[number as usize] = hidden;
                }
                _ => {}
            }
            compare(&table, &naive);
        }
    }
}

#[test]
fn the_own_stores_go_first_and_others_only_as_a_whole() {
    let mut table = KeptBlocks::bounded(BOUND);
    (0..STORES).map(StoreKey).for_each(|store| table.set_rank(store, rank(store)));
    assert!(table.is_worth_listing(StoreKey(1), BOUND, 0), "all stores are used at today's size");
    for key in 0..10 {
        table.add(kept(1, key, 0));
    }
    assert!(!table.is_worth_listing(StoreKey(2), 7, 0), "a part of another store is of no use");
    assert!(table.is_worth_listing(StoreKey(0), 100, 0), "a part of the own store is");
    for key in 0..12 {
        table.add(kept(0, key, 0));
    }
    assert_eq!((table.blocks(StoreKey(0)), table.blocks(StoreKey(1))), (12, 4));
    assert!(table.is_partial(StoreKey(1)) && !table.is_partial(StoreKey(0)));
}
