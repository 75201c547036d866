//! Parts in managed stores: read only whole and from stores heard of late.

use std::collections::HashMap;
use std::time::Duration;

use cumintrail_control::parts::{
    KNOWLEDGE_LIFE, PartStore, Parts, PartsHeard, SETTLING, StoredPart, part_key,
};
use cumintrail_types::{BlockKey, Moment, StoreKey, Tokens};

const ROOT: BlockKey = BlockKey([3; 16]);
const EARLY: Moment = Moment::from_millis(10_000);

fn stored(name: &str) -> StoredPart {
    let salt = ROOT.to_string().into();
    StoredPart { root: Some(ROOT), salt, name: name.into(), tokens: Tokens(800) }
}

fn stores(weights: &[f64]) -> Vec<PartStore> {
    let store = |(i, weight): (usize, &f64)| PartStore {
        key: StoreKey(i as u16),
        place: i as u64 + 1,
        weight: *weight,
    };
    weights.iter().enumerate().map(store).collect()
}

fn heard(epoch: u64, whole: bool, parts: &[&str]) -> PartsHeard {
    let stored = parts.iter().map(|name| stored(name)).collect();
    PartsHeard { epoch, whole, stored, gone: Vec::new(), clock: Some(1_000_000) }
}

fn prompt(names: &[&str]) -> Vec<BlockKey> {
    names.iter().map(|name| part_key(ROOT, name)).collect()
}

fn known() -> Parts {
    let mut parts = Parts::default();
    parts.take(Moment(0), Moment(0), StoreKey(0), heard(1, true, &[]));
    parts.take(EARLY, EARLY, StoreKey(0), heard(1, false, &["course", "lesson"]));
    parts
}

#[test]
fn shared_parts_are_read_and_the_own_part_is_not_kept() {
    let plans = known().plan(EARLY, &stores(&[1.0]), &prompt(&["course", "lesson", "own"]), true);
    let read: Vec<bool> = plans.parts.iter().map(|p| p.read.is_some()).collect();
    assert_eq!(read, [true, true, false]);
    assert!(plans.parts.iter().all(|p| p.save.is_none()));
    assert_eq!(Parts::tokens_read(&plans), Tokens(1_600));
    assert_eq!(plans.read_until, Some(1_001_500));
}

#[test]
fn a_part_that_no_event_called_whole_is_saved_and_not_read() {
    let plans = known().plan(EARLY, &stores(&[1.0]), &prompt(&["other", "own"]), true);
    assert_eq!((plans.parts[0].read, plans.parts[0].save), (None, Some(StoreKey(0))));
}

#[test]
fn a_store_that_was_not_heard_of_late_is_neither_read_nor_written() {
    let now = EARLY + KNOWLEDGE_LIFE;
    let plans = known().plan(now, &stores(&[1.0]), &prompt(&["course", "other", "own"]), true);
    assert!(plans.parts.iter().all(|p| p.read.is_none() && p.save.is_none()));
}

#[test]
fn a_restarted_store_is_empty_and_takes_parts_only_once_all_know() {
    let mut parts = known();
    parts.take(EARLY, EARLY, StoreKey(0), heard(2, true, &[]));
    let pieces = prompt(&["course", "own"]);
    let plans = parts.plan(EARLY, &stores(&[1.0]), &pieces, true);
    assert_eq!((plans.parts[0].read, plans.parts[0].save), (None, None));
    let later = EARLY + SETTLING;
    parts.take(later, later, StoreKey(0), heard(2, false, &[]));
    assert_eq!(parts.plan(later, &stores(&[1.0]), &pieces, true).parts[0].save, Some(StoreKey(0)));
}

#[test]
fn nothing_is_read_while_names_may_have_changed() {
    let plans = known().plan(EARLY, &stores(&[1.0]), &prompt(&["course", "own"]), false);
    assert_eq!(plans.parts[0].read, None);
}

#[test]
fn stores_get_parts_in_proportion_to_their_room() {
    let stores = stores(&[1.0, 3.0]);
    let mut parts = Parts::default();
    for store in [StoreKey(0), StoreKey(1)] {
        parts.take(Moment(0), Moment(0), store, heard(1, true, &[]));
        parts.take(EARLY, EARLY, store, heard(1, false, &[]));
    }
    let mut shares: HashMap<StoreKey, u32> = HashMap::new();
    for i in 0..4_000 {
        let pieces = prompt(&[&format!("part-{i}"), "own"]);
        let save = parts.plan(EARLY, &stores, &pieces, true).parts[0].save.unwrap();
        *shares.entry(save).or_default() += 1;
    }
    let large = f64::from(shares[&StoreKey(1)]) / 4_000.0;
    assert!((large - 0.75).abs() < 0.03, "{large}");
}

#[test]
fn only_parts_that_may_be_freed_are_listed_and_then_forgotten() {
    let mut parts = known();
    assert_eq!(parts.unused(EARLY, StoreKey(0), |_| false), None);
    let (epoch, unused) = parts.unused(EARLY, StoreKey(0), |root| root == Some(ROOT)).unwrap();
    assert_eq!((epoch, unused.len()), (1, 2));
    parts.forget(StoreKey(0), &unused);
    assert_eq!(parts.unused(EARLY, StoreKey(0), |_| true), None);
    // Knowledge of another run of the store's process frees nothing.
    let late = EARLY + KNOWLEDGE_LIFE + Duration::from_millis(1);
    assert_eq!(known().unused(late, StoreKey(0), |_| true), None);
}
