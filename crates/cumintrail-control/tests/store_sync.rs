//! The known blocks converge to the blocks of the store, although responses are lost or delayed,
//! the change log is truncated, or the store is replaced.

use std::collections::BTreeMap;
use std::time::Duration;

use cumintrail_control::directory::StoredBlocks;
use cumintrail_control::store_sync::{
    ChangesPage, ListingPage, StoreChange, StoreRead, StoreResponse, StoreSync,
};
use cumintrail_types::{
    BlockKey, Bytes, Digest, Incarnation, Moment, Sealed, StoreKey, Tier, WriteId,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng;
use rand::rngs::StdRng;

const STORE: StoreKey = StoreKey(0);
const PAGE: usize = 3;
const TICK: Duration = Duration::from_secs(2);
/// Enough ticks for the timeout of a lost response, a listing, and the changes after it.
const SETTLE_TICKS: usize = 60;

/// A store whose change log can be truncated.
struct FakeStore {
    incarnation: u64,
    blocks: BTreeMap<BlockKey, Sealed>,
    log: Vec<StoreChange>,
    /// The number of changes that were removed from the start of the log.
    truncated: usize,
    writes: u8,
    listings: usize,
    responses: usize,
}

impl FakeStore {
    fn new(incarnation: u64) -> Self {
        let (blocks, log) = (BTreeMap::new(), Vec::new());
        Self { incarnation, blocks, log, truncated: 0, writes: 0, listings: 0, responses: 0 }
    }

    fn seal(&mut self, key: u8) {
        self.writes = self.writes.wrapping_add(1);
        let write_id = WriteId([self.writes; 16]);
        let (key, digest) = (BlockKey([key; 16]), Digest([0; 32]));
        let sealed = Sealed { key, write_id, digest, length: Bytes(1) };
        self.blocks.insert(key, sealed);
        self.log.push(StoreChange::Sealed(sealed, Tier::Disk));
    }

    fn free(&mut self, key: u8) {
        if let Some(old) = self.blocks.remove(&BlockKey([key; 16])) {
            self.log.push(StoreChange::Freed(old.key, old.write_id));
        }
    }

    fn respond(&mut self, read: StoreRead) -> StoreResponse {
        self.responses += 1;
        let (incarnation, newest) = (Incarnation(self.incarnation), self.log.len() as u64);
        let after = match read {
            StoreRead::Listing { after } => {
                self.listings += 1;
                let left = self.blocks.values().filter(|s| after.is_none_or(|a| s.key > a));
                let mut blocks: Vec<_> = left.map(|s| (*s, Tier::Disk)).collect();
                let more = blocks.len() > PAGE;
                blocks.truncate(PAGE);
                return StoreResponse::Listing(ListingPage { incarnation, newest, blocks, more });
            }
            StoreRead::Summary => newest,
            StoreRead::Changes { after } => after,
        };
        let from = (after as usize).clamp(self.truncated, self.log.len());
        let changes = self.log[from..].iter().take(PAGE).copied().collect();
        let (oldest, held) = (self.truncated as u64 + 1, self.blocks.len() as u64);
        StoreResponse::Changes(ChangesPage { incarnation, oldest, newest, held, changes })
    }
}

struct World {
    now: Moment,
    store: FakeStore,
    sync: StoreSync,
    known: StoredBlocks,
    rng: StdRng,
    /// Delayed responses with the ids of their requests.
    delayed: Vec<(u32, StoreResponse)>,
}

/// What happens to a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    Received,
    Lost,
    Delayed,
    Failed,
}

impl World {
    fn new(blocks: u8) -> Self {
        let mut store = FakeStore::new(1);
        (0..blocks).for_each(|key| store.seal(key));
        let (sync, known) = (StoreSync::default(), StoredBlocks::bounded(1_000));
        let rng = StdRng::seed_from_u64(1);
        let now = Moment::from_millis(1);
        let mut world = Self { now, store, sync, known, rng, delayed: Vec::new() };
        world.settle();
        world
    }

    fn tick(&mut self, delivery: Delivery) {
        self.now = self.now + TICK;
        let Some(read) = self.sync.due(self.now) else { return };
        let request_id = self.sync.start_read(self.now, read);
        let response = self.store.respond(read);
        match delivery {
            Delivery::Received => self.deliver(request_id, &response),
            Delivery::Lost => {}
            Delivery::Delayed => self.delayed.push((request_id, response)),
            Delivery::Failed => {
                self.sync.finish_read(request_id);
                self.sync.handle_failure(self.now, &mut self.rng);
            }
        }
    }

    fn deliver(&mut self, request_id: u32, response: &StoreResponse) {
        if let Some(read) = self.sync.finish_read(request_id) {
            let (known, rng) = (&mut self.known, &mut self.rng);
            self.sync.handle_response(self.now, STORE, (read, response), known, rng);
        }
    }

    fn deliver_delayed(&mut self) {
        for (request_id, response) in std::mem::take(&mut self.delayed) {
            self.deliver(request_id, &response);
        }
    }

    fn settle(&mut self) {
        (0..SETTLE_TICKS).for_each(|_| self.tick(Delivery::Received));
        let mut known: Vec<Sealed> = self.known.of_store(STORE).map(|k| k.sealed).collect();
        known.sort_unstable_by_key(|s| s.key);
        assert_eq!(known, self.store.blocks.values().copied().collect::<Vec<_>>());
    }
}

#[test]
fn changes_are_applied_without_another_listing() {
    let mut world = World::new(10);
    let listings = world.store.listings;
    world.store.seal(20);
    world.store.free(3);
    world.store.seal(4);
    world.settle();
    assert_eq!(world.store.listings, listings);
}

#[test]
fn a_change_during_a_listing_is_not_missed() {
    let mut world = World::new(10);
    world.store = FakeStore::new(2);
    (0..10).for_each(|key| world.store.seal(key));
    while !world.sync.is_listing() {
        world.tick(Delivery::Received);
    }
    // Both blocks are on the first page, which was read before the changes.
    world.store.free(0);
    world.store.seal(1);
    world.settle();
}

#[test]
fn a_lost_response_is_requested_again() {
    let mut world = World::new(10);
    world.store.seal(20);
    (0..4).for_each(|_| world.tick(Delivery::Lost));
    world.settle();
}

#[test]
fn a_delayed_response_to_an_earlier_read_changes_nothing() {
    let mut world = World::new(2);
    world.store.seal(20);
    while world.delayed.is_empty() {
        world.tick(Delivery::Delayed);
    }
    world.settle();
    world.store.free(20);
    world.settle();
    world.deliver_delayed();
    world.settle();
    assert_eq!(world.known.get(BlockKey([20; 16])).count(), 0);
}

#[test]
fn a_delayed_page_is_not_taken_for_the_requested_one() {
    let mut world = World::new(2);
    (20..40).for_each(|key| world.store.seal(key));
    while world.delayed.is_empty() {
        world.tick(Delivery::Delayed);
    }
    let repeated = world.store.responses + 1;
    while world.store.responses < repeated {
        world.tick(Delivery::Received);
    }
    while world.delayed.len() < 2 {
        world.tick(Delivery::Delayed);
    }
    world.delayed.truncate(1);
    let listings = world.store.listings;
    world.deliver_delayed();
    world.settle();
    assert_eq!(world.store.listings, listings, "a page was lost");
}

#[test]
fn a_store_that_restarted_empty_leaves_nothing_known() {
    let mut world = World::new(10);
    world.store = FakeStore::new(2);
    world.settle();
}

#[test]
fn a_new_incarnation_removes_the_old_blocks_before_its_listing() {
    let mut world = World::new(10);
    world.store = FakeStore::new(2);
    (20..30).for_each(|key| world.store.seal(key));
    let responses = world.store.responses;
    while world.store.responses == responses {
        world.tick(Delivery::Received);
    }
    assert_eq!(world.known.len(), 0);
    world.settle();
}

#[test]
fn an_empty_store_with_a_truncated_log_leaves_nothing_known() {
    let mut world = World::new(10);
    (0..10).for_each(|key| world.store.free(key));
    world.store.truncated = world.store.log.len();
    world.settle();
}

#[test]
fn a_store_with_a_truncated_log_is_listed_again() {
    let mut world = World::new(10);
    (20..30).for_each(|key| world.store.seal(key));
    (0..5).for_each(|key| world.store.free(key));
    world.store.truncated = world.store.log.len() - 1;
    world.settle();
}

#[test]
fn a_store_restored_from_an_older_copy_is_listed_again() {
    let mut world = World::new(10);
    world.store.log.truncate(4);
    world.store.blocks.retain(|key, _| key.0[0] < 4);
    world.settle();
}

#[test]
fn a_store_replaced_under_the_same_address_is_listed_again() {
    let mut world = World::new(10);
    world.store = FakeStore::new(2);
    // The log is as long as before, so the sequence numbers alone show no difference.
    (30..40).for_each(|key| world.store.seal(key));
    world.settle();
}

#[test]
fn a_silent_store_is_synced_on_its_return_without_a_listing() {
    let mut world = World::new(10);
    let listings = world.store.listings;
    (0..20).for_each(|_| world.tick(Delivery::Failed));
    world.store.seal(20);
    world.settle();
    assert_eq!(world.store.listings, listings);
}

fn delivery(number: u8) -> Delivery {
    match number {
        0..=4 => Delivery::Received,
        5 => Delivery::Lost,
        6 => Delivery::Delayed,
        _ => Delivery::Failed,
    }
}

proptest! {
    #![proptest_config(Config { cases: 300, rng_seed: RngSeed::Fixed(11), ..Config::default() })]

    #[test]
    fn known_blocks_end_up_as_the_blocks_of_the_store(
        steps in prop::collection::vec((0..40_u8, 0..12_u8, 0..8_u8), 1..150)
    ) {
        let mut world = World::new(8);
        let mut incarnation = 1;
        for (step, key, number) in steps {
            match step {
                0..=9 => world.store.seal(key),
                10..=15 => world.store.free(key),
                16 => world.store.truncated = world.store.log.len(),
                17 => {
                    incarnation += 1;
                    world.store = FakeStore::new(incarnation);
                    (0..key).for_each(|key| world.store.seal(key));
                }
                18..=20 => world.deliver_delayed(),
                _ => world.tick(delivery(number)),
            }
        }
        world.settle();
    }
}
