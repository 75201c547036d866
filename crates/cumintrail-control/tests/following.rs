//! What is known of a store follows the store, whatever is lost, late, forgotten or replaced.

use std::collections::BTreeMap;
use std::time::Duration;

use cumintrail_control::directory::KeptBlocks;
use cumintrail_control::following::{
    ChangesPage, Following, ListingPage, StoreAnswer, StoreChange, StoreRead,
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
/// Enough for an answer that was lost, a listing, and the changes after it.
const SETTLE_TICKS: usize = 60;

/// A store that remembers few changes.
struct Fake {
    run: u64,
    blocks: BTreeMap<BlockKey, Sealed>,
    log: Vec<StoreChange>,
    forgotten: usize,
    writes: u8,
    listed: usize,
    answered: usize,
}

impl Fake {
    fn new(run: u64) -> Self {
        let (blocks, log) = (BTreeMap::new(), Vec::new());
        Self { run, blocks, log, forgotten: 0, writes: 0, listed: 0, answered: 0 }
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

    fn answer(&mut self, read: StoreRead) -> StoreAnswer {
        self.answered += 1;
        let (incarnation, newest) = (Incarnation(self.run), self.log.len() as u64);
        let after = match read {
            StoreRead::Listing { after } => {
                self.listed += 1;
                let left = self.blocks.values().filter(|s| after.is_none_or(|a| s.key > a));
                let mut blocks: Vec<_> = left.map(|s| (*s, Tier::Disk)).collect();
                let more = blocks.len() > PAGE;
                blocks.truncate(PAGE);
                return StoreAnswer::Listing(ListingPage { incarnation, newest, blocks, more });
            }
            StoreRead::Summary => newest,
            StoreRead::Changes { after } => after,
        };
        let from = (after as usize).clamp(self.forgotten, self.log.len());
        let changes = self.log[from..].iter().take(PAGE).copied().collect();
        let (oldest, held) = (self.forgotten as u64 + 1, self.blocks.len() as u64);
        StoreAnswer::Changes(ChangesPage { incarnation, oldest, newest, held, changes })
    }
}

struct World {
    now: Moment,
    store: Fake,
    following: Following,
    known: KeptBlocks,
    rng: StdRng,
    /// Answers that are still on their way.
    late: Vec<(u32, StoreAnswer)>,
}

/// What becomes of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Arrives,
    Lost,
    Late,
    Refused,
}

impl World {
    fn new(blocks: u8) -> Self {
        let mut store = Fake::new(1);
        (0..blocks).for_each(|key| store.seal(key));
        let (following, known) = (Following::default(), KeptBlocks::bounded(1_000));
        let rng = StdRng::seed_from_u64(1);
        let now = Moment::from_millis(1);
        let mut world = Self { now, store, following, known, rng, late: Vec::new() };
        world.settle();
        world
    }

    fn tick(&mut self, fate: Fate) {
        self.now = self.now + TICK;
        let Some(read) = self.following.due(self.now) else { return };
        let ticket = self.following.start(self.now, read);
        let answer = self.store.answer(read);
        match fate {
            Fate::Arrives => self.deliver(ticket, &answer),
            Fate::Lost => {}
            Fate::Late => self.late.push((ticket, answer)),
            Fate::Refused => {
                self.following.answered(ticket);
                self.following.take_silence(self.now, &mut self.rng);
            }
        }
    }

    fn deliver(&mut self, ticket: u32, answer: &StoreAnswer) {
        if let Some(read) = self.following.answered(ticket) {
            let (known, rng) = (&mut self.known, &mut self.rng);
            self.following.take(self.now, STORE, (read, answer), known, rng);
        }
    }

    fn deliver_late(&mut self) {
        for (ticket, answer) in std::mem::take(&mut self.late) {
            self.deliver(ticket, &answer);
        }
    }

    fn settle(&mut self) {
        (0..SETTLE_TICKS).for_each(|_| self.tick(Fate::Arrives));
        let mut known: Vec<Sealed> = self.known.of_store(STORE).map(|k| k.sealed).collect();
        known.sort_unstable_by_key(|s| s.key);
        assert_eq!(known, self.store.blocks.values().copied().collect::<Vec<_>>());
    }
}

#[test]
fn changes_are_followed_without_another_listing() {
    let mut world = World::new(10);
    let listed = world.store.listed;
    world.store.seal(20);
    world.store.free(3);
    world.store.seal(4);
    world.settle();
    assert_eq!(world.store.listed, listed);
}

#[test]
fn a_change_during_a_listing_is_not_missed() {
    let mut world = World::new(10);
    world.store = Fake::new(2);
    (0..10).for_each(|key| world.store.seal(key));
    while !world.following.is_listing() {
        world.tick(Fate::Arrives);
    }
    // Both lie on the first page, which has been read.
    world.store.free(0);
    world.store.seal(1);
    world.settle();
}

#[test]
fn a_lost_answer_is_asked_for_again() {
    let mut world = World::new(10);
    world.store.seal(20);
    (0..4).for_each(|_| world.tick(Fate::Lost));
    world.settle();
}

#[test]
fn a_late_answer_to_an_earlier_read_changes_nothing() {
    let mut world = World::new(2);
    world.store.seal(20);
    while world.late.is_empty() {
        world.tick(Fate::Late);
    }
    world.settle();
    world.store.free(20);
    world.settle();
    world.deliver_late();
    world.settle();
    assert_eq!(world.known.get(BlockKey([20; 16])).count(), 0);
}

#[test]
fn a_late_page_is_not_taken_for_the_one_that_was_asked_for() {
    let mut world = World::new(2);
    (20..40).for_each(|key| world.store.seal(key));
    while world.late.is_empty() {
        world.tick(Fate::Late);
    }
    let asked_again = world.store.answered + 1;
    while world.store.answered < asked_again {
        world.tick(Fate::Arrives);
    }
    while world.late.len() < 2 {
        world.tick(Fate::Late);
    }
    world.late.truncate(1);
    let listed = world.store.listed;
    world.deliver_late();
    world.settle();
    assert_eq!(world.store.listed, listed, "a page was lost");
}

#[test]
fn a_store_that_came_back_empty_leaves_nothing_known() {
    let mut world = World::new(10);
    world.store = Fake::new(2);
    world.settle();
}

#[test]
fn a_new_run_hides_what_the_old_one_held_before_its_listing() {
    let mut world = World::new(10);
    world.store = Fake::new(2);
    (20..30).for_each(|key| world.store.seal(key));
    let answered = world.store.answered;
    while world.store.answered == answered {
        world.tick(Fate::Arrives);
    }
    assert_eq!(world.known.len(), 0);
    world.settle();
}

#[test]
fn a_store_that_is_empty_and_forgot_its_log_leaves_nothing_known() {
    let mut world = World::new(10);
    (0..10).for_each(|key| world.store.free(key));
    world.store.forgotten = world.store.log.len();
    world.settle();
}

#[test]
fn a_store_that_forgot_its_log_is_listed_again() {
    let mut world = World::new(10);
    (20..30).for_each(|key| world.store.seal(key));
    (0..5).for_each(|key| world.store.free(key));
    world.store.forgotten = world.store.log.len() - 1;
    world.settle();
}

#[test]
fn a_store_that_counts_from_an_older_copy_is_listed_again() {
    let mut world = World::new(10);
    world.store.log.truncate(4);
    world.store.blocks.retain(|key, _| key.0[0] < 4);
    world.settle();
}

#[test]
fn a_store_replaced_under_the_same_address_is_listed_again() {
    let mut world = World::new(10);
    world.store = Fake::new(2);
    // As many changes as before, so that numbers alone tell no difference.
    (30..40).for_each(|key| world.store.seal(key));
    world.settle();
}

#[test]
fn a_silent_store_is_followed_on_without_a_listing() {
    let mut world = World::new(10);
    let listed = world.store.listed;
    (0..20).for_each(|_| world.tick(Fate::Refused));
    world.store.seal(20);
    world.settle();
    assert_eq!(world.store.listed, listed);
}

fn fate(number: u8) -> Fate {
    match number {
        0..=4 => Fate::Arrives,
        5 => Fate::Lost,
        6 => Fate::Late,
        _ => Fate::Refused,
    }
}

proptest! {
    #![proptest_config(Config { cases: 300, rng_seed: RngSeed::Fixed(11), ..Config::default() })]

    #[test]
    fn what_is_known_ends_up_as_what_the_store_holds(
        steps in prop::collection::vec((0..40_u8, 0..12_u8, 0..8_u8), 1..150)
    ) {
        let mut world = World::new(8);
        let mut run = 1;
        for (step, key, fated) in steps {
            match step {
                0..=9 => world.store.seal(key),
                10..=15 => world.store.free(key),
                16 => world.store.forgotten = world.store.log.len(),
                17 => {
                    run += 1;
                    world.store = Fake::new(run);
                    (0..key).for_each(|key| world.store.seal(key));
                }
                18..=20 => world.deliver_late(),
                _ => world.tick(fate(fated)),
            }
        }
        world.settle();
    }
}
