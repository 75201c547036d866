//! Tests how daemons track stores: they read changes instead of listings, and listings after a cold
//! start leave link capacity to imports.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_http::Method;
use cumintrail_config::{Document, Snapshot, TargetKind};
use cumintrail_control::store_sync::{ChangesPage, ListingPage, StoreRead, StoreResponse};
use cumintrail_control::{
    Action, Actions, Arrival, AttemptOutcome, Control, Event, Identity, RouteOptions, TargetReport,
    Usage,
};
use cumintrail_tests::cluster::{LOOPBACK, Plan, declare};
use cumintrail_tests::deployment::{Deployment, RESPONSE_TIMEOUT};
use cumintrail_tests::http::send;
use cumintrail_tests::standins::engine;
use cumintrail_types::{
    AccountKey, AttemptNumber, BlockKey, Bytes, CallClass, CallKey, Digest, Generation,
    Incarnation, ModelKey, Moment, Sealed, StoreKey, TargetKey, Tier, Tokens, WeightVersion,
    WriteId,
};
use cumintrail_wire::store::{DIGEST_HEADER, WRITE_ID_HEADER};

const BINARY: &str = env!("CARGO_BIN_EXE_cumintrail-tests");
const BLOCKS: u32 = 3_000;
/// The time of two reads of a store's changes, with jitter.
const LEARN_LIMIT: Duration = Duration::from_secs(26);
/// The limit on bytes that two daemons read in that time; a listing has 600 KB.
const FEW_BYTES: u64 = 16 << 10;

fn block(index: u32) -> (Sealed, Tier) {
    let digest = Digest::of(&index.to_le_bytes());
    let mut key = [0; 16];
    key.copy_from_slice(&digest.0[..16]);
    let write_id = WriteId(key);
    (Sealed { key: BlockKey(key), write_id, digest, length: Bytes(400) }, Tier::Disk)
}

async fn all_know(deployment: &Deployment, blocks: u32) -> bool {
    let known = |dump: &serde_json::Value| dump["kept_blocks"] == blocks;
    deployment.until(0, LEARN_LIMIT, known).await && deployment.until(1, LEARN_LIMIT, known).await
}

async fn spawn_with_blocks() -> Deployment {
    let plan = Plan { engines: 1, daemons: 2, services: 0, ..Plan::default() };
    let deployment = Deployment::spawn(BINARY, &plan).await.unwrap();
    deployment.stores[0].seal((0..BLOCKS).map(block));
    assert!(all_know(&deployment, BLOCKS).await);
    deployment
}

#[actix_rt::test]
async fn a_sealed_and_a_freed_block_are_learned_without_a_listing() {
    let deployment = spawn_with_blocks().await;
    let store = &deployment.stores[0];
    let before = store.listed_bytes();
    let bytes = vec![1; 400];
    let digest = Digest::of(&bytes).to_string();
    let write_id = WriteId([1; 16]).to_string();
    let headers = [(WRITE_ID_HEADER, write_id.as_str()), (DIGEST_HEADER, digest.as_str())];
    let path = format!("/blocks/{}", BlockKey([1; 16]));
    let put = send(Method::PUT, store.address(), &path, &headers, bytes, RESPONSE_TIMEOUT).await;
    assert_eq!(put.status, 200);
    assert!(all_know(&deployment, BLOCKS + 1).await, "the daemons do not know the sealed block");
    let tag = format!("\"{write_id}\"");
    let headers = [("if-match", tag.as_str())];
    let freed = send(Method::DELETE, store.address(), &path, &headers, "", RESPONSE_TIMEOUT).await;
    assert_eq!(freed.status, 200);
    assert!(all_know(&deployment, BLOCKS).await, "the daemons still know the freed block");
    let read = store.listed_bytes() - before;
    assert!(read < FEW_BYTES, "{read} bytes were read for two changes");
}

#[actix_rt::test]
async fn a_store_that_forgot_its_log_or_was_replaced_is_listed_again() {
    let mut deployment = spawn_with_blocks().await;
    let store = &deployment.stores[0];
    store.seal((BLOCKS..BLOCKS + 10).map(block));
    store.discard_change_log();
    assert!(
        all_know(&deployment, BLOCKS + 10).await,
        "the store was not listed after its log was lost"
    );
    deployment.replace_store(0).await.unwrap();
    assert!(all_know(&deployment, 0).await, "the blocks of the replaced store are still known");
    deployment.replace_store(0).await.unwrap();
    deployment.stores[0].seal((0..BLOCKS / 2).map(block));
    assert!(all_know(&deployment, BLOCKS / 2).await, "the new store was not listed");
}

const DAEMONS: usize = 36;
const PAGE: usize = 1_000;
const STORED_BLOCKS: u32 = 30_000;
const STEP: Duration = Duration::from_millis(20);
/// The limit on listing pages that a daemon reads per second, with jitter.
const PAGES_PER_SECOND: usize = 10;

fn cold_daemon(index: usize) -> Control {
    let identity = Identity {
        vm: format!("vm-{index}").into(),
        domain: "laguna".into(),
        incarnation: Incarnation(index as u64 + 1),
        address: SocketAddr::from(([10, 0, 1, 0], 7_000 + index as u16)),
        probe_interval: Duration::from_secs(1),
        digest_interval: Duration::from_secs(1),
        processor_share: 0,
    };
    Control::new(identity, index as u64)
}

fn store_response(blocks: &[(Sealed, Tier)], read: StoreRead) -> StoreResponse {
    let incarnation = Incarnation(1);
    if let StoreRead::Listing { after } = read {
        let from = after.map_or(0, |after| blocks.partition_point(|(s, _)| s.key <= after));
        let to = blocks.len().min(from + PAGE);
        let (more, blocks) = (to < blocks.len(), blocks[from..to].to_vec());
        return StoreResponse::Listing(ListingPage { incarnation, newest: 0, blocks, more });
    }
    let held = blocks.len() as u64;
    let page = ChangesPage { incarnation, oldest: 1, newest: 0, held, changes: Vec::new() };
    StoreResponse::Changes(page)
}

/// Returns the store reads that a daemon starts in one second of ticks.
fn started_reads(daemon: &mut Control, now: &mut Moment) -> Vec<(StoreKey, u32, StoreRead)> {
    let mut reads = Vec::new();
    for _ in 0..50 {
        *now = *now + STEP;
        for action in daemon.handle(*now, Event::Tick) {
            if let Action::ReadStore { store, read_id, read } = action {
                reads.push((store, read_id, read));
            }
        }
    }
    reads
}

/// Handles the arrival of a call while the daemon's only engine is idle.
fn arrive(daemon: &mut Control, now: Moment, blocks: Arc<[BlockKey]>) -> Actions {
    let report = TargetReport {
        incarnation: Incarnation(1),
        leaving: false,
        version: WeightVersion(1),
        loading: false,
        running: 0,
        waiting: 0,
        prefill_backlog: Tokens(0),
    };
    daemon.handle(now, Event::TargetReported { target: TargetKey(0), report });
    let arrival = Arrival {
        call: CallKey(1),
        account: AccountKey(0),
        class: CallClass::Model,
        kind: TargetKind::Engine(ModelKey(0)),
        version: WeightVersion(1),
        prompt: Tokens(blocks.len() as u32 * 100 + 50),
        blocks,
        max_output: Tokens(10),
        deadline: now + Duration::from_secs(60),
        options: RouteOptions::default(),
    };
    daemon.handle(now, Event::Arrived(arrival))
}

/// Returns the stores that receive two new blocks with different preferred stores, when another
/// store holds `held_elsewhere` blocks.
fn exported_to(held_elsewhere: u64) -> Vec<StoreKey> {
    let at = |i: u8| SocketAddr::from(([10, 0, i, 0], 9_000));
    let text = declare(&Plan::default(), &[at(1)], &[at(2), at(3), at(4)], &[]);
    let sections = Document::parse(&"test".into(), &text).unwrap().sections;
    let snapshot = Snapshot::build(Generation(1), &sections, None, None).unwrap();
    let (mut daemon, mut now) = (cold_daemon(0), Moment::from_millis(1));
    daemon.handle(now, Event::Configured(snapshot.into()));
    for (store, read_id, _) in started_reads(&mut daemon, &mut now) {
        let held = if store == StoreKey(2) { held_elsewhere } else { 0 };
        let (incarnation, changes) = (Incarnation(1), Vec::new());
        let page = ChangesPage { incarnation, oldest: 1, newest: 0, held, changes };
        let response = StoreResponse::Changes(page);
        daemon.handle(now, Event::StoreResponded { store, read_id, response });
    }
    arrive(&mut daemon, now, [BlockKey([0; 16]), BlockKey([1; 16])].into());
    let (call, attempt) = (CallKey(1), AttemptNumber(1));
    daemon.handle(now, Event::FirstToken { call });
    let outcome = AttemptOutcome::Completed(Usage { prompt: Tokens(250), ..Usage::default() });
    let mut actions = daemon.handle(now, Event::AttemptEnded { call, attempt, outcome });
    actions.extend(daemon.handle(now + STEP, Event::Tick));
    let stores = actions.iter().filter_map(|action| match action {
        Action::Export(export) => Some(export.store),
        _ => None,
    });
    stores.collect()
}

#[test]
fn exports_go_to_all_stores_until_one_cannot_be_known() {
    assert_eq!(exported_to(1_000), [StoreKey(0), StoreKey(1)]);
    assert_eq!(exported_to(500_000), [StoreKey(0), StoreKey(0)]);
}

#[test]
fn a_page_of_a_listing_waits_for_imports_but_not_for_ever() {
    let (engine, store) = (([10, 0, 2, 0], 9_000).into(), ([10, 0, 3, 0], 9_000).into());
    let limits = engine::Limits { prefill_per_second: 3_000, ..engine::Limits::default() };
    let text = declare(&Plan { engine: limits, ..Plan::default() }, &[engine], &[store], &[]);
    let sections = Document::parse(&"test".into(), &text).unwrap().sections;
    let snapshot = Snapshot::build(Generation(1), &sections, None, None).unwrap();
    let mut blocks: Vec<_> = (0..3_000).map(block).collect();
    blocks.sort_unstable_by_key(|(sealed, _)| sealed.key);

    let (mut daemon, mut now) = (cold_daemon(0), Moment::from_millis(1));
    daemon.handle(now, Event::Configured(snapshot.into()));
    while daemon.dump(now).kept_blocks == 0 {
        for (store, read_id, read) in started_reads(&mut daemon, &mut now) {
            let response = store_response(&blocks, read);
            daemon.handle(now, Event::StoreResponded { store, read_id, response });
        }
    }
    let actions = arrive(&mut daemon, now, [blocks[0].0.key].into());
    let imports = |a: &Action| matches!(a, Action::Dispatch(d) if !d.plan.fetches.is_empty());
    assert!(actions.iter().any(imports), "{actions:?}");
    for _ in 0..4 {
        assert_eq!(started_reads(&mut daemon, &mut now), []);
    }
    let late: Vec<_> = (0..2).flat_map(|_| started_reads(&mut daemon, &mut now)).collect();
    assert_eq!(
        late.len(),
        1,
        "the listing did not continue although the end of the import was not reported"
    );
}

#[test]
fn a_failure_domain_that_starts_cold_spreads_its_listings() {
    let store = SocketAddr::from((LOOPBACK.ip(), 9_000));
    let text = declare(&Plan::default(), &[], &[store], &[]);
    let sections = Document::parse(&"test".into(), &text).unwrap().sections;
    let snapshot = Arc::new(Snapshot::build(Generation(1), &sections, None, None).unwrap());
    let mut blocks: Vec<_> = (0..STORED_BLOCKS).map(block).collect();
    blocks.sort_unstable_by_key(|(sealed, _)| sealed.key);

    let mut now = Moment::from_millis(1);
    let mut daemons: Vec<Control> = (0..DAEMONS).map(cold_daemon).collect();
    let mut pages_in_second = vec![0_usize; 60];
    for daemon in &mut daemons {
        daemon.handle(now, Event::Configured(snapshot.clone()));
    }
    for pages in &mut pages_in_second {
        for _ in 0..50 {
            now = now + STEP;
            for daemon in &mut daemons {
                for action in daemon.handle(now, Event::Tick) {
                    let Action::ReadStore { store, read_id, read } = action else { continue };
                    let listing = matches!(read, StoreRead::Listing { .. });
                    *pages += usize::from(listing);
                    let response = store_response(&blocks, read);
                    daemon.handle(now, Event::StoreResponded { store, read_id, response });
                }
            }
        }
    }
    let peak = pages_in_second.iter().max().unwrap();
    assert!(*peak <= DAEMONS * PAGES_PER_SECOND, "{pages_in_second:?}");
    assert!(pages_in_second[0] <= DAEMONS * PAGES_PER_SECOND / 2, "{pages_in_second:?}");
    assert!(daemons.iter().all(|d| d.dump(now).kept_blocks == STORED_BLOCKS as usize));
    let listed = DAEMONS * (STORED_BLOCKS as usize).div_ceil(PAGE);
    assert_eq!(
        pages_in_second.iter().sum::<usize>(),
        listed,
        "the daemons did not read each listing exactly once"
    );
}
