//! Parts in managed stores are read only when complete and from stores with a recent update.

use std::collections::HashMap;
use std::time::Duration;

use cumintrail_control::parts::{
    MAX_UPDATE_AGE, PartIndex, PartPlans, PartStore, PartsUpdate, SETTLE_DELAY, StoreChoice,
    StoredPart, part_key,
};
use cumintrail_types::{BlockKey, Moment, StoreKey, Tokens};

const CACHE_SALT: BlockKey = BlockKey([3; 16]);
const PART_TOKENS: u32 = 800;
const PREFILL_PER_SECOND: f64 = 100_000.0;
const CAPACITY_TOKENS: u64 = 1_000_000;
const EARLY: Moment = Moment::from_millis(10_000);

fn stored(name: &str) -> StoredPart {
    let cache_salt_text = CACHE_SALT.to_string().into();
    StoredPart {
        cache_salt: Some(CACHE_SALT),
        cache_salt_text,
        name: name.into(),
        tokens: Tokens(PART_TOKENS),
    }
}

fn stores(capacities: &[u64]) -> Vec<PartStore> {
    let store = |(i, capacity_tokens): (usize, &u64)| PartStore {
        key: StoreKey(i as u16),
        name_hash: i as u64 + 1,
        capacity_tokens: *capacity_tokens,
        delay_seconds: 0.0,
        seconds_per_token: 1e-6,
    };
    capacities.iter().enumerate().map(store).collect()
}

/// Plans a prompt whose parts have the length of parts from [`stored`].
fn plan(
    parts: &PartIndex,
    now: Moment,
    stores: &[PartStore],
    keys: &[BlockKey],
    may_read: bool,
) -> PartPlans {
    let ends: Vec<Tokens> = (1..=keys.len() as u32).map(|n| Tokens(n * PART_TOKENS)).collect();
    parts.plan(now, stores, (keys, &ends), PREFILL_PER_SECOND, may_read)
}

fn update(epoch: u64, complete: bool, parts: &[&str]) -> PartsUpdate {
    let stored = parts.iter().map(|name| stored(name)).collect();
    PartsUpdate { epoch, complete, stored, removed: Vec::new(), clock_ms: Some(1_000_000) }
}

fn prompt(names: &[&str]) -> Vec<BlockKey> {
    names.iter().map(|name| part_key(CACHE_SALT, name)).collect()
}

fn known() -> PartIndex {
    let mut parts = PartIndex::default();
    parts.record(Moment(0), Moment(0), StoreKey(0), update(1, true, &[]));
    parts.record(EARLY, EARLY, StoreKey(0), update(1, false, &["course", "lesson"]));
    parts
}

#[test]
fn shared_parts_are_read_and_the_own_part_is_not_stored() {
    let plans = plan(
        &known(),
        EARLY,
        &stores(&[CAPACITY_TOKENS]),
        &prompt(&["course", "lesson", "own"]),
        true,
    );
    let read: Vec<bool> = plans.parts.iter().map(|p| p.read.is_some()).collect();
    assert_eq!(read, [true, true, false]);
    assert!(plans.parts.iter().all(|p| p.save.is_none()));
    assert_eq!(PartIndex::tokens_read(&plans), Tokens(1_600));
    assert_eq!(plans.read_until, Some(1_001_500));
}

#[test]
fn a_part_that_no_event_called_whole_is_saved_and_not_read() {
    let plans =
        plan(&known(), EARLY, &stores(&[CAPACITY_TOKENS]), &prompt(&["other", "own"]), true);
    assert_eq!((plans.parts[0].read, plans.parts[0].save), (None, Some(StoreKey(0))));
}

#[test]
fn a_store_without_a_recent_update_is_neither_read_nor_written() {
    let now = EARLY + MAX_UPDATE_AGE;
    let plans = plan(
        &known(),
        now,
        &stores(&[CAPACITY_TOKENS]),
        &prompt(&["course", "other", "own"]),
        true,
    );
    assert!(plans.parts.iter().all(|p| p.read.is_none() && p.save.is_none()));
}

#[test]
fn a_restarted_store_is_empty_and_takes_parts_only_once_all_know() {
    let mut parts = known();
    parts.record(EARLY, EARLY, StoreKey(0), update(2, true, &[]));
    let keys = prompt(&["course", "own"]);
    let plans = plan(&parts, EARLY, &stores(&[CAPACITY_TOKENS]), &keys, true);
    assert_eq!((plans.parts[0].read, plans.parts[0].save), (None, None));
    let later = EARLY + SETTLE_DELAY;
    parts.record(later, later, StoreKey(0), update(2, false, &[]));
    assert_eq!(
        plan(&parts, later, &stores(&[CAPACITY_TOKENS]), &keys, true).parts[0].save,
        Some(StoreKey(0))
    );
}

#[test]
fn nothing_is_read_while_names_may_have_changed() {
    let plans =
        plan(&known(), EARLY, &stores(&[CAPACITY_TOKENS]), &prompt(&["course", "own"]), false);
    assert_eq!(plans.parts[0].read, None);
}

#[test]
fn stores_get_parts_in_proportion_to_their_room() {
    let stores = stores(&[CAPACITY_TOKENS, 3 * CAPACITY_TOKENS]);
    let mut parts = PartIndex::default();
    for store in [StoreKey(0), StoreKey(1)] {
        parts.record(Moment(0), Moment(0), store, update(1, true, &[]));
        parts.record(EARLY, EARLY, store, update(1, false, &[]));
    }
    let mut shares: HashMap<StoreKey, u32> = HashMap::new();
    for i in 0..4_000 {
        let keys = prompt(&[&format!("part-{i}"), "own"]);
        let save = plan(&parts, EARLY, &stores, &keys, true).parts[0].save.unwrap();
        *shares.entry(save).or_default() += 1;
    }
    let large = f64::from(shares[&StoreKey(1)]) / 4_000.0;
    assert!((large - 0.75).abs() < 0.03, "{large}");
}

#[test]
fn only_parts_that_may_be_freed_are_listed_and_then_forgotten() {
    let mut parts = known();
    assert_eq!(parts.unused(EARLY, StoreKey(0), |_| false), None);
    let (epoch, unused) =
        parts.unused(EARLY, StoreKey(0), |salt| salt == Some(CACHE_SALT)).unwrap();
    assert_eq!((epoch, unused.len()), (1, 2));
    parts.remove(StoreKey(0), &unused);
    assert_eq!(parts.unused(EARLY, StoreKey(0), |_| true), None);
    // Without a recent update no parts are listed.
    let late = EARLY + MAX_UPDATE_AGE + Duration::from_millis(1);
    assert_eq!(known().unused(late, StoreKey(0), |_| true), None);
}

/// Four fast stores with little capacity and two large ones with a fixed delay per transfer, as in
/// the users' deployments.
fn two_kinds() -> Vec<PartStore> {
    let fast = (0..4).map(|i| (i, 297_000, 0.000_5, 0.8e-6));
    let large = (4..6).map(|i| (i, 2_967_000, 0.006, 2e-6));
    let store = |(i, capacity_tokens, delay_seconds, seconds_per_token)| PartStore {
        key: StoreKey(i),
        name_hash: u64::from(i) + 1,
        capacity_tokens,
        delay_seconds,
        seconds_per_token,
    };
    fast.chain(large).map(store).collect()
}

const fn is_fast(store: StoreKey) -> bool {
    store.0 < 4
}

/// Returns the store that a part is saved to while each fast store has `used_tokens` tokens.
fn saved(tokens: u32, used_tokens: u64) -> Option<StoreKey> {
    let choice = StoreChoice::new(&two_kinds(), part_key(CACHE_SALT, "part"), Tokens(tokens));
    let recompute_seconds = f64::from(tokens) / PREFILL_PER_SECOND;
    choice.store_to_save(recompute_seconds, |store| {
        Some(if is_fast(store) { used_tokens } else { 0 })
    })
}

#[test]
fn short_parts_take_the_quick_store_and_long_ones_the_roomy_one() {
    assert!(saved(500, 0).is_some_and(is_fast));
    assert!(saved(1_500, 0).is_some_and(is_fast));
    assert!(saved(8_600, 0).is_some_and(|store| !is_fast(store)));
    // Once capacity is scarce, fast stores take only the shortest parts.
    assert!(saved(500, 200_000).is_some_and(is_fast));
    assert!(saved(1_500, 200_000).is_some_and(|store| !is_fast(store)));
}

#[test]
fn a_part_is_not_saved_where_reading_it_takes_longer_than_computing_it() {
    assert_eq!(saved(500, 296_000), None);
    assert!(saved(1_500, 296_000).is_some_and(|store| !is_fast(store)));
}

/// Calls of one kind: the rate per second, and the number and length of the parts that they share.
struct CallKind {
    rate: u64,
    parts_of_call: [(u32, u32); 2],
}

/// The calls of the larger of the users' deployments.
const CALL_KINDS: [CallKind; 3] = [
    CallKind { rate: 60, parts_of_call: [(3, 512), (600, 8_610)] },
    CallKind { rate: 85, parts_of_call: [(8, 119), (846, 531)] },
    CallKind { rate: 118, parts_of_call: [(20, 341), (1_179, 1_520)] },
];
/// Time for which engines cache a part after its last use, from the turnover of their memory.
const ENGINE_MEMORY_SECONDS: f64 = 2.5;

/// Simulates stores whose links transfer one part after the other.
struct Simulation {
    parts: PartIndex,
    /// The actual stores, which may differ from the declared ones.
    stores: Vec<PartStore>,
    free_at: Vec<f64>,
    /// Parts that are being saved, and when they will be complete.
    in_transfer: Vec<(f64, StoreKey, StoredPart)>,
    used_at: HashMap<String, f64>,
    longest: f64,
}

impl Simulation {
    /// Simulates calls for `seconds` while daemons know the `declared` stores, and returns the
    /// longest wait for a link in seconds after the first half.
    fn longest_wait(declared: &[PartStore], seconds: u64) -> f64 {
        let stores = two_kinds();
        let mut simulation = Self {
            parts: PartIndex::default(),
            free_at: vec![0.0; stores.len()],
            stores,
            in_transfer: Vec::new(),
            used_at: HashMap::new(),
            longest: 0.0,
        };
        for store in declared {
            simulation.parts.record(Moment(0), Moment(0), store.key, update(1, true, &[]));
        }
        for ms in 0..seconds * 1_000 {
            let now = EARLY + Duration::from_millis(ms);
            simulation.report_events(now, ms as f64 / 1e3);
            if ms == seconds * 500 {
                simulation.longest = 0.0;
            }
            for (kind, CallKind { rate, .. }) in CALL_KINDS.iter().enumerate() {
                for call in ms * rate / 1_000..(ms + 1) * rate / 1_000 {
                    simulation.call(now, ms as f64 / 1e3, declared, kind, call);
                }
            }
        }
        simulation.longest
    }

    fn report_events(&mut self, now: Moment, at: f64) {
        let in_transfer = std::mem::take(&mut self.in_transfer);
        let (complete, rest) =
            in_transfer.into_iter().partition::<Vec<_>, _>(|(end, ..)| *end <= at);
        self.in_transfer = rest;
        for store in &self.stores {
            let here = complete.iter().filter(|(_, key, _)| *key == store.key);
            let stored = here.map(|(_, _, part)| part.clone()).collect();
            self.parts.record(now, now, store.key, PartsUpdate { stored, ..update(1, false, &[]) });
        }
    }

    fn call(&mut self, now: Moment, at: f64, declared: &[PartStore], kind: usize, call: u64) {
        let parts_of_call = CALL_KINDS[kind].parts_of_call;
        let draw = |i: usize, things: u32| {
            let hash = blake3::hash(format!("{kind} {call} {i}").as_bytes());
            u32::from_le_bytes(hash.as_bytes()[..4].try_into().unwrap()) % things
        };
        let name = |i: usize| format!("{kind}/{i}/{}", draw(i, parts_of_call[i].0));
        let names = [name(0), name(1)];
        let keys = [
            part_key(CACHE_SALT, &names[0]),
            part_key(CACHE_SALT, &names[1]),
            part_key(CACHE_SALT, "own"),
        ];
        let ends = [
            Tokens(parts_of_call[0].1),
            Tokens(parts_of_call[0].1 + parts_of_call[1].1),
            Tokens(u32::MAX),
        ];
        let plans = self.parts.plan(now, declared, (&keys, &ends), PREFILL_PER_SECOND, true);
        for ((plan, name), (_, tokens)) in plans.parts.iter().zip(names).zip(parts_of_call) {
            let read = plan.read.map(|(store, _)| store);
            let used_at = self.used_at.insert(name.clone(), at);
            let in_memory = used_at.is_some_and(|used_at| at - used_at < ENGINE_MEMORY_SECONDS);
            let transfer = read.filter(|_| !in_memory).or(plan.save);
            let Some(key) = transfer else { continue };
            let store = usize::from(key.0);
            let wait = (self.free_at[store] - at).max(0.0);
            self.longest = self.longest.max(wait);
            self.free_at[store] = at + wait + self.stores[store].transfer_seconds(Tokens(tokens));
            if read.is_none() {
                let part = StoredPart { tokens: Tokens(tokens), ..stored(&name) };
                self.in_transfer.push((self.free_at[store], key, part));
            }
        }
    }
}

/// Maximum wait of a call for a link: half of the shortest time within which callers require a
/// response.
const MAX_LINK_WAIT_SECONDS: f64 = 0.2;

#[test]
fn links_of_stores_keep_up_with_the_calls_of_a_day() {
    let wait = Simulation::longest_wait(&two_kinds(), 30);
    assert!(wait < MAX_LINK_WAIT_SECONDS, "a call waits {wait:.3} s for a link");
    // Stores that are chosen by capacity alone get more short parts than their links can transfer.
    let alike = two_kinds().into_iter().map(|s| PartStore {
        delay_seconds: 0.0,
        seconds_per_token: 2e-6,
        ..s
    });
    let wait = Simulation::longest_wait(&alike.collect::<Vec<_>>(), 30);
    assert!(wait > MAX_LINK_WAIT_SECONDS, "capacity alone would do: {wait:.3} s");
}
