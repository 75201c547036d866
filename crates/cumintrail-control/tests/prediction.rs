//! Estimates of transfer times and of the blocks in engines' memory.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cumintrail_config::Store;
use cumintrail_control::directory::Directory;
use cumintrail_control::links::{Links, TransferBytes};
use cumintrail_types::{BlockKey, Bytes, CallKey, DomainKey, Moment, StoreKey, TargetKey};

const FAST: StoreKey = StoreKey(0);
const SLOW: StoreKey = StoreKey(1);

fn store() -> Store {
    Store {
        name: "s".into(),
        address: SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 1),
        domain: DomainKey(0),
        link_bytes_per_second: Bytes(1_000),
        transfer_delay: Duration::ZERO,
        disk_bytes_per_second: Bytes(500),
        capacity: Bytes(1_000_000),
        stores_parts: false,
        waiting_readers: 12,
        retired: false,
    }
}

fn load(bytes: u64) -> TransferBytes {
    TransferBytes { link: Bytes(bytes), disk: Bytes(0) }
}

/// A fetch from two stores ends with the slower one, and its duration was also counted as a
/// slowdown of the faster store.
#[test]
fn a_store_is_not_taken_for_slow_because_another_was_waited_for() {
    let mut links = Links::default();
    for call in 0..10 {
        let now = Moment::from_millis(call * 100_000);
        links.start(now, CallKey(call), FAST, load(100), &store());
        links.start(now, CallKey(call), SLOW, load(2_000), &store());
        links.finish(now + Duration::from_secs(2), CallKey(call), true);
    }
    let later = Moment::from_millis(903_000);
    let seconds = links.estimate(later, FAST, &store()).seconds(load(1_000));
    assert!((seconds - 1.0).abs() < 1e-6, "{seconds}");
}

#[test]
fn a_slow_link_is_noticed_and_tried_again_later() {
    let mut links = Links::default();
    for call in 0..10 {
        let now = Moment::from_millis(call * 10_000);
        links.start(now, CallKey(call), SLOW, load(1_000), &store());
        links.finish(now + Duration::from_secs(5), CallKey(call), true);
    }
    let seconds = |at| links.estimate(at, SLOW, &store()).seconds(load(1_000));
    assert!(seconds(Moment::from_millis(96_000)) > 3.0);
    assert!(seconds(Moment::from_millis(500_000)) < 1.1);
}

#[test]
fn a_block_counts_as_cached_only_for_as_long_as_blocks_usually_stay() {
    let engine = TargetKey(0);
    let key = |name: u8| BlockKey([name; 16]);
    let mut directory = Directory::default();
    for name in 0..10 {
        directory.update_engine_cache(engine, &[key(name)], &[]);
    }
    directory.update_engine_cache(engine, &[], &[key(0)]);
    assert_eq!(directory.cached_prefix(engine, &[key(9)]), 1);
    for name in 10..30 {
        directory.update_engine_cache(engine, &[key(name)], &[]);
    }
    assert_eq!(directory.cached_prefix(engine, &[key(9)]), 0, "its eviction was not reported");
    assert_eq!(directory.cached_prefixes(&[key(9)]).len(), 0);
    assert_eq!(directory.cached_prefixes(&[key(29)]).as_slice(), [(engine, 1)]);
}
