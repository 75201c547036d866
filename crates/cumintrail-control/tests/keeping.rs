//! What stores get and what is freed for it.

use cumintrail_control::directory::{Directory, Kept};
use cumintrail_control::keeping::{Keeping, NotWorth, Planned, Room};
use cumintrail_types::{
    BlockKey, Bytes, Digest, Moment, Sealed, StoreKey, TargetKey, Tier, WriteId,
};

const STORE: StoreKey = StoreKey(0);
const ENGINE: TargetKey = TargetKey(0);
const BLOCK: Bytes = Bytes(100);
const FULL: Room = Room { capacity: Bytes(1_000), used: Bytes(1_000), block: BLOCK };

fn key(name: u8) -> BlockKey {
    BlockKey([name; 16])
}

fn sealed(name: u8) -> Sealed {
    let (write_id, digest) = (WriteId([name; 16]), Digest([0; 32]));
    Sealed { key: key(name), write_id, digest, length: BLOCK }
}

fn keep(directory: &mut Directory, name: u8) {
    directory.add_kept(Kept { store: STORE, sealed: sealed(name), tier: Tier::Disk });
}

#[test]
fn a_block_is_exported_once_however_many_calls_end_with_it() {
    let (mut keeping, directory) = (Keeping::default(), Directory::default());
    for _ in 0..3 {
        keeping.plan(Moment(0), &directory, ENGINE, &[key(1)], &[STORE]);
    }
    let first = keeping.next(Moment(0));
    assert_eq!(first, Some(Planned { target: ENGINE, store: STORE, key: key(1) }));
    keeping.start(Moment(0), key(1));
    keeping.plan(Moment(1), &directory, ENGINE, &[key(1)], &[STORE]);
    assert_eq!(keeping.next(Moment(1)), None);
}

#[test]
fn a_full_store_frees_the_block_that_was_used_least() {
    let (mut keeping, mut directory) = (Keeping::default(), Directory::default());
    keep(&mut directory, 1);
    keep(&mut directory, 2);
    for _ in 0..3 {
        keeping.plan(Moment(0), &directory, ENGINE, &[key(1)], &[STORE]);
    }
    keeping.plan(Moment(0), &directory, ENGINE, &[key(2)], &[STORE]);
    for _ in 0..2 {
        keeping.plan(Moment(0), &directory, ENGINE, &[key(3)], &[STORE]);
    }
    let planned = Planned { target: ENGINE, store: STORE, key: key(3) };
    let freed = keeping.make_room(Moment(0), &directory, &planned, FULL);
    assert_eq!(freed, Ok(Some(sealed(2))));
}

#[test]
fn a_block_worth_less_than_all_kept_ones_is_not_exported() {
    let (mut keeping, mut directory) = (Keeping::default(), Directory::default());
    keep(&mut directory, 1);
    for _ in 0..2 {
        keeping.plan(Moment(0), &directory, ENGINE, &[key(1)], &[STORE]);
    }
    keeping.plan(Moment(0), &directory, ENGINE, &[key(2)], &[STORE]);
    let planned = Planned { target: ENGINE, store: STORE, key: key(2) };
    let freed = keeping.make_room(Moment(0), &directory, &planned, FULL);
    assert_eq!(freed, Err(NotWorth));
    let roomy = Room { used: Bytes(0), ..FULL };
    assert_eq!(keeping.make_room(Moment(0), &directory, &planned, roomy), Ok(None));
}
