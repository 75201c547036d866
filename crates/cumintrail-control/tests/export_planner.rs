//! Which blocks are exported to a store, and which are freed for them.

use cumintrail_control::directory::{Directory, StoredBlock};
use cumintrail_control::export_planner::{ExportPlanner, PlannedExport, StoreSpace, TooFewUses};
use cumintrail_types::{
    BlockKey, Bytes, Digest, Moment, Sealed, StoreKey, TargetKey, Tier, WriteId,
};

const STORE: StoreKey = StoreKey(0);
const ENGINE: TargetKey = TargetKey(0);
const BLOCK: Bytes = Bytes(100);
const FULL: StoreSpace = StoreSpace { capacity: Bytes(1_000), used: Bytes(1_000), block: BLOCK };

fn key(name: u8) -> BlockKey {
    BlockKey([name; 16])
}

fn sealed(name: u8) -> Sealed {
    let (write_id, digest) = (WriteId([name; 16]), Digest([0; 32]));
    Sealed { key: key(name), write_id, digest, length: BLOCK }
}

fn store(directory: &mut Directory, name: u8) {
    directory.add_stored(StoredBlock { store: STORE, sealed: sealed(name), tier: Tier::Disk });
}

#[test]
fn a_block_is_exported_once_however_many_calls_end_with_it() {
    let (mut planner, directory) = (ExportPlanner::default(), Directory::default());
    for _ in 0..3 {
        planner.plan(Moment(0), &directory, ENGINE, &[key(1)], &[STORE]);
    }
    let first = planner.next_export(Moment(0));
    assert_eq!(first, Some(PlannedExport { target: ENGINE, store: STORE, key: key(1) }));
    planner.start_export(Moment(0), key(1));
    planner.plan(Moment(1), &directory, ENGINE, &[key(1)], &[STORE]);
    assert_eq!(planner.next_export(Moment(1)), None);
}

#[test]
fn a_full_store_frees_the_block_that_was_used_least() {
    let (mut planner, mut directory) = (ExportPlanner::default(), Directory::default());
    store(&mut directory, 1);
    store(&mut directory, 2);
    for _ in 0..3 {
        planner.plan(Moment(0), &directory, ENGINE, &[key(1)], &[STORE]);
    }
    planner.plan(Moment(0), &directory, ENGINE, &[key(2)], &[STORE]);
    for _ in 0..2 {
        planner.plan(Moment(0), &directory, ENGINE, &[key(3)], &[STORE]);
    }
    let export = PlannedExport { target: ENGINE, store: STORE, key: key(3) };
    let victim = planner.choose_victim(Moment(0), &directory, &export, FULL);
    assert_eq!(victim, Ok(Some(sealed(2))));
}

#[test]
fn a_block_used_less_than_all_stored_ones_is_not_exported() {
    let (mut planner, mut directory) = (ExportPlanner::default(), Directory::default());
    store(&mut directory, 1);
    for _ in 0..2 {
        planner.plan(Moment(0), &directory, ENGINE, &[key(1)], &[STORE]);
    }
    planner.plan(Moment(0), &directory, ENGINE, &[key(2)], &[STORE]);
    let export = PlannedExport { target: ENGINE, store: STORE, key: key(2) };
    let victim = planner.choose_victim(Moment(0), &directory, &export, FULL);
    assert_eq!(victim, Err(TooFewUses));
    let empty = StoreSpace { used: Bytes(0), ..FULL };
    assert_eq!(planner.choose_victim(Moment(0), &directory, &export, empty), Ok(None));
}
